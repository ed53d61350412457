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

/** The count of connections against the limit. */
@Timeout(120)
class ConnectionLimitTest {
  private static final int MAX_CONNECTIONS = 8;
  private static final int WAIT_S = 60;

  /**
   * Guards against a closed connection that stops counting before its descriptor is free. The test
   * blocks MINA's thread between the end of the connection and the next select, which frees the
   * descriptor. There is no other connection whose events would wake the thread.
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
           * Number of posted events; the third is the end of the connection, since no bytes are
           * sent.
           */
          private int posted;

          @Override
          public synchronized void post(Runnable event) {
            events.add(event);
            if (++posted == 3) { // accepted, opened, closed
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
    // the timeout of the test bounds this loop
    while (network.availableConnections() < MAX_CONNECTIONS) {
      TimeUnit.MILLISECONDS.sleep(1);
    }
    events.take().run();
    network.dispose();
  }
}
