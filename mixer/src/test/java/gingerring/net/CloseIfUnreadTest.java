package gingerring.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.time.Duration;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Closing an idle connection unless bytes were read from it. */
@Timeout(30)
class CloseIfUnreadTest {
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
  private Connection accepted;

  private Socket connect() throws Exception {
    InetSocketAddress address =
        network.listen(
            new InetSocketAddress("127.0.0.1", 0),
            10,
            1000,
            connection -> {
              connection.setHandler(ConnectionHandler.NO_OP);
              accepted = connection;
            });
    Socket socket = new Socket(address.getAddress(), address.getPort());
    while (accepted == null) {
      events.poll(10, TimeUnit.SECONDS).run();
    }
    events.poll(10, TimeUnit.SECONDS).run(); // the event that the connection is open
    return socket;
  }

  /** Guards against a request that was read and is lost when its connection is closed as idle. */
  @Test
  void isNotClosedOnceBytesWereRead() throws Exception {
    try (Socket socket = connect()) {
      socket.getOutputStream().write(7);
      Runnable readEvent = events.poll(10, TimeUnit.SECONDS);
      assertFalse(accepted.closeIfUnread());
      readEvent.run();
      assertTrue(accepted.isOpen());
    }
    network.dispose();
  }

  @Test
  void nothingIsReadAfterClose() throws Exception {
    try (Socket socket = connect()) {
      synchronized (accepted) { // MINA's thread cannot read before the connection is closed
        socket.getOutputStream().write(7);
        Thread.sleep(100);
        assertTrue(accepted.closeIfUnread());
      }
      assertEquals(-1, read(socket));
      assertEquals(0, accepted.input.size());
    }
    network.dispose();
  }

  private static int read(Socket socket) throws Exception {
    try {
      return socket.getInputStream().read();
    } catch (SocketException e) {
      return -1; // closing with unread bytes resets the connection
    }
  }
}
