package gingerring.server;

import gingerring.backend.Backend;
import gingerring.decide.MemberEntry.Status;
import gingerring.decide.Settings;
import gingerring.discovery.DiscoveryWatch;
import gingerring.discovery.MemberListUpdate;
import gingerring.frontend.Frontend;
import gingerring.net.Connection;
import gingerring.net.ConnectionHandler;
import gingerring.net.Counters;
import gingerring.net.MemoryBudget;
import gingerring.net.Network;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Warms up the JVM before the first client connects: sample scans pass through all code that real
 * ones use, from a client's bytes to a searcher's and back, except the sockets. They run on a
 * separate event loop, network and mixer that are dropped afterwards. Without the warm-up, answers
 * of the first second are late, because the JVM still loads and compiles classes while it has only
 * part of a core.
 */
final class ScanWarmUp {
  private static final int SAMPLE_SCANS = 60;
  private static final Duration TIME_LIMIT = Duration.ofMillis(1500);
  private static final double WHOLE_CORE = 1;
  private static final int CLIENT_COUNT = 4;
  private static final int MAX_PARTS_PER_SCAN = 6;
  private static final int BUFFER_BYTES = 1 << 16;

  private final Settings settings;
  private final Counters counts = new Counters();
  private final EventLoop loop = new EventLoop(counts);
  private final Network network = new Network(loop, counts, true);
  private final InetSocketAddress frontendAddress = loopbackAddress(1);
  private final InetSocketAddress searcherAddress = loopbackAddress(2);
  private int scansSent;
  private int scansAnswered;

  ScanWarmUp(Settings deploymentSettings) {
    Map<String, String> values = new HashMap<>(deploymentSettings.values());
    values.put("Discovery", "none here");
    settings = new Settings(values);
  }

  private static InetSocketAddress loopbackAddress(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  /** Returns the number of sample scans answered; the less CPU time is available, the fewer. */
  int run() {
    Network searcherNetwork = new Network(loop, counts, true);
    MixerHost host = new MixerHost(loop, settings, counts, 0);
    Backend backend = new Backend(network, host, settings, counts, loop);
    List<MemberListUpdate.Member> members = new ArrayList<>();
    for (int cell = 0; cell < settings.count("Domain.Places"); cell++) {
      members.add(
          new MemberListUpdate.Member(
              "sample-" + cell, searcherAddress, "", "", cell, Status.READY, 1, 0));
    }
    DiscoveryWatch watch = new DiscoveryWatch(network, loopbackAddress(3), 0, host, counts, loop);
    host.start(backend, watch, 0, new MemberListUpdate(0, true, members));
    try {
      searcherNetwork.listen(
          searcherAddress,
          Integer.MAX_VALUE,
          BUFFER_BYTES,
          connection -> connection.setHandler(new SampleSearcher(connection)));
      new Frontend(
              network,
              host,
              settings,
              counts,
              loop,
              loop::post,
              Integer.MAX_VALUE,
              MemoryBudget.UNLIMITED,
              WHOLE_CORE)
          .listen(frontendAddress);
    } catch (IOException e) {
      return 0; // without the warm-up the mixer still starts, but its first answers are slow
    }
    for (int i = 0; i < CLIENT_COUNT; i++) {
      new SampleClient();
    }
    loop.schedule(TIME_LIMIT, loop::stop);
    loop.run(
        backend::dispatch,
        () -> {
          network.flush();
          searcherNetwork.flush();
        });
    network.dispose();
    searcherNetwork.dispose();
    return scansAnswered;
  }

  /** A client that sends one scan after the other on one connection. */
  private final class SampleClient implements ConnectionHandler {
    private final Connection connection = network.dial(frontendAddress, BUFFER_BYTES, this);

    @Override
    public void onOpened() {
      sendScan();
    }

    private void sendScan() {
      int number = scansSent++;
      int serviceClass = number % settings.count("Classes.count");
      int partCount = Math.min(MAX_PARTS_PER_SCAN, settings.count("Domain.Slices"));
      StringBuilder targets = new StringBuilder();
      for (int i = 0; i < partCount; i++) {
        targets
            .append(i == 0 ? "" : ",")
            .append("{\"partition\":")
            .append((number + i) % settings.count("Domain.Slices"))
            .append(",\"share\":")
            .append(1.0 / partCount)
            .append(",\"est_us\":1000}");
      }
      String body = "{\"targets\":[" + targets + "],\"query\":\"\"}";
      connection.output.put(
          ("POST /api HTTP/1.1\r\nHost: sample\r\nX-Txn: sample-"
                  + number
                  + "\r\nX-Lane: "
                  + settings.text("Classes." + serviceClass + ".Name")
                  + "\r\nX-Remaining-Ms: 60000\r\nIdempotency-Key: "
                  + number
                  + "\r\nContent-Length: "
                  + body.length()
                  + "\r\n\r\n"
                  + body)
              .getBytes(StandardCharsets.US_ASCII));
      connection.requestFlush();
    }

    @Override
    public void onReadable() {
      // a response is written and sent as a whole
      connection.input.clear();
      if (++scansAnswered >= SAMPLE_SCANS) {
        loop.stop();
      } else {
        sendScan();
      }
    }

    @Override
    public void onClosed() {}
  }

  /** A searcher that answers every part at once. */
  private static final class SampleSearcher implements ConnectionHandler {
    private final Connection connection;
    private final byte[] buffered = new byte[BUFFER_BYTES];
    private int bufferedLength;

    SampleSearcher(Connection connection) {
      this.connection = connection;
    }

    @Override
    public void onReadable() {
      bufferedLength +=
          connection.input.take(buffered, bufferedLength, buffered.length - bufferedLength);
      ByteBuffer buffer =
          ByteBuffer.wrap(buffered, 0, bufferedLength).order(ByteOrder.LITTLE_ENDIAN);
      while (buffer.remaining() >= 4
          && buffer.remaining() >= 4 + buffer.getInt(buffer.position())) {
        byte[] frame = new byte[buffer.getInt()];
        buffer.get(frame);
        if (frame[0] == 'S') {
          answerParts(new String(frame, 1, frame.length - 1, StandardCharsets.US_ASCII));
        }
      }
      buffer.compact();
      bufferedLength = buffer.position();
      connection.resumeReading();
    }

    private void answerParts(String parts) {
      for (String part : parts.split("\n")) { // the query text of each part is empty
        String payload = "R" + part.split(" ", 2)[0] + " done 1 -\nvalue";
        connection.output.put(
            ByteBuffer.allocate(4 + payload.length())
                .order(ByteOrder.LITTLE_ENDIAN)
                .putInt(payload.length())
                .put(payload.getBytes(StandardCharsets.US_ASCII))
                .array());
      }
      connection.requestFlush();
    }

    @Override
    public void onClosed() {}
  }
}
