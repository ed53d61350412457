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
class SocketWarmUpTest {
  private final Counters counters = new Counters();
  private final EventLoop loop = new EventLoop(counters);
  private final Network network = new Network(loop, counters, false);
  private final List<String> completions = new ArrayList<>();

  private void runWarmUp(InetSocketAddress listenAddress) {
    new SocketWarmUp(
            network,
            listenAddress,
            1024,
            counters,
            () -> {
              completions.add("done");
              loop.schedule(Duration.ofMillis(100), loop::stop);
            })
        .start();
    loop.run(() -> {}, network::flush);
    network.dispose();
    assertEquals(List.of("done"), completions);
  }

  /** Guards against a warm-up that never ends or leaves connections open. */
  @Test
  void endsOnceEveryRequestIsAnswered() throws IOException {
    InetSocketAddress listenAddress =
        network.listen(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            100,
            1024,
            connection -> connection.setHandler(new AnsweringHandler(connection)));
    runWarmUp(listenAddress);
    assertEquals(192, counters.get("answers practised"));
    assertEquals(0, network.connectionCount());
  }

  /** Guards against a mixer that never becomes ready because it cannot connect to itself. */
  @Test
  void endsIfConnectionsAreRefused() throws IOException {
    InetSocketAddress closedAddress;
    try (ServerSocket closedSocket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      closedAddress = (InetSocketAddress) closedSocket.getLocalSocketAddress();
    }
    runWarmUp(closedAddress);
    assertEquals(0, counters.get("answers practised"));
  }

  /** Guards against a warm-up that gets no answers and keeps its descriptors for ever. */
  @Test
  void endsWhenStoppedIfNothingIsAnswered() throws IOException {
    InetSocketAddress listenAddress =
        network.listen(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            100,
            1024,
            connection -> connection.setHandler(ConnectionHandler.NO_OP));
    SocketWarmUp warmUp =
        new SocketWarmUp(
            network,
            listenAddress,
            1024,
            counters,
            () -> {
              completions.add("done");
              loop.schedule(Duration.ofMillis(100), loop::stop);
            });
    warmUp.start();
    loop.schedule(Duration.ofMillis(100), warmUp::closeAll);
    loop.run(() -> {}, network::flush);
    network.dispose();
    assertEquals(List.of("done"), completions);
    assertEquals(0, network.connectionCount());
  }

  /** Answers each read with one byte; a request arrives in one read here. */
  private record AnsweringHandler(Connection connection) implements ConnectionHandler {
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
