package gingerring.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gingerring.net.Connection;
import gingerring.net.ConnectionHandler;
import gingerring.net.Counters;
import gingerring.net.Network;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class PracticeTest {
  private final Counters counts = new Counters();
  private final Loop loop = new Loop(counts);
  private final Network network = new Network(loop, counts, false);
  private final List<String> done = new ArrayList<>();

  private void practise(InetSocketAddress front) {
    new Practice(
            network,
            front,
            1024,
            counts,
            () -> {
              done.add("done");
              loop.schedule(Duration.ofMillis(100), loop::stop);
            })
        .begin();
    loop.run(() -> {}, network::flush);
    network.dispose();
    assertEquals(List.of("done"), done);
  }

  /** Guards against a practice that goes on for ever, or leaves connections behind. */
  @Test
  void endsOnceAllItsCallsHaveHadTheirAnswers() throws IOException {
    InetSocketAddress front =
        network.listen(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            100,
            1024,
            connection -> connection.setHandler(new Echo(connection)));
    practise(front);
    assertEquals(192, counts.get("answers practised"));
    assertEquals(0, network.connectionCount());
  }

  /** Guards against a mixer that is never ready where it cannot call itself. */
  @Test
  void endsWhereNobodyListens() throws IOException {
    InetSocketAddress nobody;
    try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      nobody = (InetSocketAddress) closed.getLocalSocketAddress();
    }
    practise(nobody);
    assertEquals(0, counts.get("answers practised"));
  }

  /** Guards against a practice that nobody answers, and that holds its descriptors for ever. */
  @Test
  void endsWhereNobodyAnswersOnceItIsTold() throws IOException {
    InetSocketAddress front =
        network.listen(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            100,
            1024,
            connection -> connection.setHandler(ConnectionHandler.NO_OP));
    Practice practice =
        new Practice(
            network,
            front,
            1024,
            counts,
            () -> {
              done.add("done");
              loop.schedule(Duration.ofMillis(100), loop::stop);
            });
    practice.begin();
    loop.schedule(Duration.ofMillis(100), practice::end);
    loop.run(() -> {}, network::flush);
    network.dispose();
    assertEquals(List.of("done"), done);
    assertEquals(0, network.connectionCount());
  }

  /** Answers a request, which comes whole here. */
  private record Echo(Connection connection) implements ConnectionHandler {
    @Override
    public void onReadable() {
      connection.input.clear();
      connection.output.put(new byte[] {'x'});
      connection.requestFlush();
    }

    @Override
    public void onClosed() {}
  }
}
