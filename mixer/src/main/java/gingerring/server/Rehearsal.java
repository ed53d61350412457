package gingerring.server;

import gingerring.backend.Back;
import gingerring.decide.MemberEntry.Status;
import gingerring.decide.Settings;
import gingerring.discovery.DiscoveryWatch;
import gingerring.discovery.MemberListUpdate;
import gingerring.frontend.Front;
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
final class Rehearsal {
  private static final int SCANS = 60;
  private static final Duration LONGEST = Duration.ofMillis(1500);
  private static final int CALLERS = 4;
  private static final int PARTS = 6;
  private static final int OUT_MOST = 1 << 16;

  private final Settings terms;
  private final Counters counts = new Counters();
  private final Loop loop = new Loop(counts);
  private final Network network = new Network(loop, counts, true);
  private final InetSocketAddress front = place(1);
  private final InetSocketAddress searchers = place(2);
  private int asked;
  private int answered;

  Rehearsal(Settings told) {
    Map<String, String> map = new HashMap<>(told.values());
    map.put("Discovery", "none here");
    terms = new Settings(map);
  }

  private static InetSocketAddress place(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  /** Returns how many sample scans were answered, the less the less of a core there is. */
  int run() {
    Network store = new Network(loop, counts, true);
    MixerHost desk = new MixerHost(loop, terms, counts, 0);
    Back back = new Back(network, desk, terms, counts, loop);
    List<MemberListUpdate.Member> members = new ArrayList<>();
    for (int cell = 0; cell < terms.count("Domain.Places"); cell++) {
      members.add(
          new MemberListUpdate.Member(
              "sample-" + cell, searchers, "", "", cell, Status.READY, 1, 0));
    }
    DiscoveryWatch watch = new DiscoveryWatch(network, place(3), 0, desk, counts, loop);
    desk.start(back, watch, 0, new MemberListUpdate(0, true, members));
    try {
      store.listen(
          searchers,
          Integer.MAX_VALUE,
          OUT_MOST,
          connection -> connection.setHandler(new Sample(connection)));
      new Front(network, desk, terms, counts, loop, loop::post, Integer.MAX_VALUE).listen(front);
    } catch (IOException e) {
      return 0; // without it the mixer starts all the same, and slowly
    }
    for (int i = 0; i < CALLERS; i++) {
      new Caller();
    }
    loop.schedule(LONGEST, loop::stop);
    loop.run(
        back::dispatch,
        () -> {
          network.flush();
          store.flush();
        });
    network.dispose();
    store.dispose();
    return answered;
  }

  /** Asks for one scan after the other on one connection. */
  private final class Caller implements ConnectionHandler {
    private final Connection connection = network.dial(front, OUT_MOST, this);

    @Override
    public void onOpened() {
      ask();
    }

    private void ask() {
      int number = asked++;
      int grade = number % terms.count("Classes.count");
      int parts = Math.min(PARTS, terms.count("Domain.Slices"));
      StringBuilder targets = new StringBuilder();
      for (int i = 0; i < parts; i++) {
        targets
            .append(i == 0 ? "" : ",")
            .append("{\"partition\":")
            .append((number + i) % terms.count("Domain.Slices"))
            .append(",\"share\":")
            .append(1.0 / parts)
            .append(",\"est_us\":1000}");
      }
      String body = "{\"targets\":[" + targets + "],\"query\":\"\"}";
      connection.output.put(
          ("POST /api HTTP/1.1\r\nHost: sample\r\nX-Txn: sample-"
                  + number
                  + "\r\nX-Lane: "
                  + terms.text("Classes." + grade + ".Name")
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
      if (++answered >= SCANS) {
        loop.stop();
      } else {
        ask();
      }
    }

    @Override
    public void onClosed() {}
  }

  /** A searcher that has every part at once. */
  private static final class Sample implements ConnectionHandler {
    private final Connection connection;
    private final byte[] bytes = new byte[OUT_MOST];
    private int held;

    Sample(Connection connection) {
      this.connection = connection;
    }

    @Override
    public void onReadable() {
      held += connection.input.take(bytes, held, bytes.length - held);
      ByteBuffer buffer = ByteBuffer.wrap(bytes, 0, held).order(ByteOrder.LITTLE_ENDIAN);
      while (buffer.remaining() >= 4
          && buffer.remaining() >= 4 + buffer.getInt(buffer.position())) {
        byte[] frame = new byte[buffer.getInt()];
        buffer.get(frame);
        if (frame[0] == 'S') {
          answer(new String(frame, 1, frame.length - 1, StandardCharsets.US_ASCII));
        }
      }
      buffer.compact();
      held = buffer.position();
      connection.resumeReading();
    }

    private void answer(String parts) {
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
