package gingerring.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gingerring.net.Connection;
import gingerring.net.Counts;
import gingerring.net.Network;
import gingerring.net.Party;
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
  private final Counts counts = new Counts();
  private final EventLoop loop = new EventLoop(counts);
  private final Network network = new Network(loop, counts, false);
  private final List<String> done = new ArrayList<>();

  private void practise(InetSocketAddress front) {
    new SocketWarmUp(
            network,
            front,
            1024,
            counts,
            () -> {
              done.add("done");
              loop.wakeAfter(Duration.ofMillis(100), loop::stop);
            })
        .start();
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
            connection -> connection.party(new Echo(connection)));
    practise(front);
    assertEquals(192, counts.get("answers practised"));
    assertEquals(0, network.connections());
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
            connection -> connection.party(Party.NONE));
    SocketWarmUp practice =
        new SocketWarmUp(
            network,
            front,
            1024,
            counts,
            () -> {
              done.add("done");
              loop.wakeAfter(Duration.ofMillis(100), loop::stop);
            });
    practice.start();
    loop.wakeAfter(Duration.ofMillis(100), practice::closeAll);
    loop.run(() -> {}, network::flush);
    network.dispose();
    assertEquals(List.of("done"), done);
    assertEquals(0, network.connections());
  }

  /** Answers a request, which comes whole here. */
  private record Echo(Connection connection) implements Party {
    @Override
    public void readable() {
      connection.in.clear();
      connection.out.put(new byte[] {'x'});
      connection.touch();
    }

    @Override
    public void closed() {}
  }
}
