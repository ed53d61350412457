package gingerring.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What room there is for connections, by the count that newcomers are taken by. */
@Timeout(120)
class ConnectionLimitTest {
  private static final int MAX_CONNECTIONS = 8;
  private static final int WAIT_S = 60;

  /**
   * MINA's thread is held between the end of a connection and its next look at the selector, which
   * lets go of the descriptor. Guards against room that is counted before: it was the last
   * connection, too, so that the thread has nobody else to turn for.
   */
  @Test
  void closedConnectionCountsUntilItsDescriptorIsFree() throws Exception {
    BlockingQueue<Runnable> events = new LinkedBlockingQueue<>();
    CountDownLatch accepted = new CountDownLatch(1);
    CountDownLatch closePosted = new CountDownLatch(1);
    Semaphore gate = new Semaphore(0);
    EventQueue eventQueue =
        new EventQueue() {
          /**
           * Of a connection's events its end is the one that is posted once it is up and nothing
           * was read.
           */
          private int posted;

          @Override
          public synchronized void post(Runnable event) {
            events.add(event);
            if (++posted == 3) { // it came, it is open, it has ended
              closePosted.countDown();
              gate.acquireUninterruptibly();
            }
          }

          @Override
          public Duration currentTime() {
            return Duration.ofNanos(System.nanoTime());
          }
        };
    Network network = new Network(eventQueue, new Counters(), false);
    InetSocketAddress address =
        network.listen(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            MAX_CONNECTIONS,
            1024,
            connection -> {
              connection.setHandler(ConnectionHandler.NO_OP);
              accepted.countDown();
            });
    Socket socket = new Socket(address.getAddress(), address.getPort());
    for (int i = 0; i < 2; i++) {
      events.take().run();
    }
    assertTrue(accepted.await(WAIT_S, TimeUnit.SECONDS));
    assertEquals(MAX_CONNECTIONS - 1, network.availableConnections());
    socket.close();
    assertTrue(closePosted.await(WAIT_S, TimeUnit.SECONDS));
    assertEquals(MAX_CONNECTIONS - 1, network.availableConnections());
    gate.release();
    while (network.availableConnections() < MAX_CONNECTIONS) { // bounded by the test's time
      TimeUnit.MILLISECONDS.sleep(1);
    }
    events.take().run();
    network.dispose();
  }
}
