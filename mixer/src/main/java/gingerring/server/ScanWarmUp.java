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
 * Before the first client comes, sample scans go the whole way from a client's bytes to a
 * searcher's and back, through everything that real ones pass but the sockets: on a loop, network
 * and mixer of its own that are dropped after it. Guards against a first second of answers that are
 * late because the JVM has yet to load and compile all that they need, on part of a core.
 */
final class ScanWarmUp {
  private static final int SAMPLE_SCANS = 60;
  private static final Duration TIME_LIMIT = Duration.ofMillis(1500);
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

  ScanWarmUp(Settings told) {
    Map<String, String> map = new HashMap<>(told.values());
    map.put("Discovery", "none here");
    settings = new Settings(map);
  }

  private static InetSocketAddress loopbackAddress(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  /** Returns how many sample scans were answered, the less the less of a core there is. */
  int run() {
    Network store = new Network(loop, counts, true);
    MixerHost desk = new MixerHost(loop, settings, counts, 0);
    Backend back = new Backend(network, desk, settings, counts, loop);
    List<MemberListUpdate.Member> members = new ArrayList<>();
    for (int cell = 0; cell < settings.count("Domain.Places"); cell++) {
      members.add(
          new MemberListUpdate.Member(
              "sample-" + cell, searcherAddress, "", "", cell, Status.READY, 1, 0));
    }
    DiscoveryWatch watch = new DiscoveryWatch(network, loopbackAddress(3), 0, desk, counts, loop);
    desk.start(back, watch, 0, new MemberListUpdate(0, true, members));
    try {
      store.listen(
          searcherAddress,
          Integer.MAX_VALUE,
          BUFFER_BYTES,
          connection -> connection.setHandler(new SampleSearcher(connection)));
      new Frontend(network, desk, settings, counts, loop, loop::post, Integer.MAX_VALUE)
          .listen(frontendAddress);
    } catch (IOException e) {
      return 0; // without it the mixer starts all the same, and slowly
    }
    for (int i = 0; i < CLIENT_COUNT; i++) {
      new SampleClient();
    }
    loop.schedule(TIME_LIMIT, loop::stop);
    loop.run(
        back::dispatch,
        () -> {
          network.flush();
          store.flush();
        });
    network.dispose();
    store.dispose();
    return scansAnswered;
  }

  /** Asks for one scan after the other on one connection. */
  private final class SampleClient implements ConnectionHandler {
    private final Connection connection = network.dial(frontendAddress, BUFFER_BYTES, this);

    @Override
    public void onOpened() {
      sendScan();
    }

    private void sendScan() {
      int number = scansSent++;
      int grade = number % settings.count("Classes.count");
      int parts = Math.min(MAX_PARTS_PER_SCAN, settings.count("Domain.Slices"));
      StringBuilder targets = new StringBuilder();
      for (int i = 0; i < parts; i++) {
        targets
            .append(i == 0 ? "" : ",")
            .append("{\"partition\":")
            .append((number + i) % settings.count("Domain.Slices"))
            .append(",\"share\":")
            .append(1.0 / parts)
            .append(",\"est_us\":1000}");
      }
      String body = "{\"targets\":[" + targets + "],\"query\":\"\"}";
      connection.output.put(
          ("POST /api HTTP/1.1\r\nHost: sample\r\nX-Txn: sample-"
                  + number
                  + "\r\nX-Lane: "
                  + settings.text("Classes." + grade + ".Name")
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
      // an answer is put whole, and leaves whole
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

  /** A searcher that has every part at once. */
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
      for (String part : parts.split("\n")) { // their text is empty
        String rest = "R" + part.split(" ", 2)[0] + " done 1 -\nvalue";
        connection.output.put(
            ByteBuffer.allocate(4 + rest.length())
                .order(ByteOrder.LITTLE_ENDIAN)
                .putInt(rest.length())
                .put(rest.getBytes(StandardCharsets.US_ASCII))
                .array());
      }
      connection.requestFlush();
    }

    @Override
    public void onClosed() {}
  }
}
