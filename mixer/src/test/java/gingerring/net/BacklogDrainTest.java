package gingerring.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Accepting the connections of the backlog when listening stops. */
@Timeout(30)
class BacklogDrainTest {
  private static final int CONNECTIONS = 5;
  private final LinkedBlockingQueue<Runnable> events = new LinkedBlockingQueue<>();
  private final Network network =
      new Network(
          new EventQueue() {
            @Override
            public void post(Runnable event) {
              events.add(event);
            }

            @Override
            public Duration currentTime() {
              return Duration.ofNanos(System.nanoTime());
            }
          },
          new Counters(),
          false);
  private final List<Connection> accepted = new ArrayList<>();

  /**
   * Guards against connections in the backlog that are reset when listening stops: their clients
   * have connected, and may have sent a request.
   */
  @Test
  void backlogIsAcceptedWhenListeningStops() throws Exception {
    InetSocketAddress address =
        network.listen(
            new InetSocketAddress("127.0.0.1", 0),
            10,
            1000,
            connection -> {
              connection.setHandler(ConnectionHandler.NO_OP);
              accepted.add(connection);
            });
    List<Socket> sockets = new ArrayList<>();
    Thread stopper = new Thread(network::stopListening);
    // holding the lock keeps the acceptor from accepting more than one connection
    synchronized (network.acceptLock) {
      for (int i = 0; i < CONNECTIONS; i++) {
        sockets.add(new Socket(address.getAddress(), address.getPort()));
        sockets.get(i).setSoTimeout(10_000);
        sockets.get(i).getOutputStream().write(i);
      }
      stopper.start();
      while (stopper.getState() != Thread.State.TIMED_WAITING
          && stopper.getState() != Thread.State.WAITING) {
        Thread.sleep(1);
      }
    }
    stopper.join(10_000);
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
    while (accepted.size() < CONNECTIONS && System.nanoTime() < deadlineNanos) {
      Runnable event = events.poll(10, TimeUnit.MILLISECONDS);
      if (event != null) {
        event.run();
      }
    }
    assertEquals(CONNECTIONS, accepted.size());
    assertEquals("refused", tryConnect(address));
    for (Socket socket : sockets) {
      socket.close();
    }
    network.dispose();
  }

  private static String tryConnect(InetSocketAddress address) {
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      return "taken";
    } catch (IOException e) {
      return "refused";
    }
  }
}
