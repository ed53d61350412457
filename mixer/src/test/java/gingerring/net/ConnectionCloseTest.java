package gingerring.net;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** How connections end, from either side: in order, or by a reset. */
@Timeout(30)
class ConnectionCloseTest {
  private final LinkedBlockingQueue<Runnable> events = new LinkedBlockingQueue<>();
  private final Counters counts = new Counters();
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
          counts,
          false);
  private final Heard heard = new Heard();
  private Connection accepted;
  private Socket socket;

  /** What the connection's party was told. */
  private final class Heard implements ConnectionHandler {
    private int read;
    private int drained;
    private boolean closed;
    private boolean orderly;

    @Override
    public void onReadable() {
      read++;
    }

    @Override
    public void onFlushed() {
      drained++;
      assertTrue(accepted.isFlushed());
    }

    @Override
    public void onClosed() {
      closed = true;
      orderly = accepted.closedGracefully();
    }
  }

  private void connect() throws Exception {
    InetSocketAddress at =
        network.listen(
            new InetSocketAddress("127.0.0.1", 0),
            10,
            1 << 22,
            connection -> {
              connection.setHandler(heard);
              accepted = connection;
            });
    socket = new Socket(at.getAddress(), at.getPort());
    socket.setSoTimeout(10_000);
    until(() -> accepted != null && accepted.isOpen());
  }

  /** Runs what is posted, on this thread as on the loop's, until something holds. */
  private void until(BooleanSupplier holds) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
    while (!holds.getAsBoolean()) {
      assertTrue(System.nanoTime() < end, "not within 10 s");
      Runnable event = events.poll(10, TimeUnit.MILLISECONDS);
      if (event != null) {
        event.run();
      }
      network.flush();
    }
  }

  @AfterEach
  void end() throws IOException {
    socket.close();
    network.dispose();
  }

  @Test
  void aCloseByTheOtherSideIsOrderly() throws Exception {
    connect();
    socket.getOutputStream().write(new byte[] {1, 2});
    socket.close();
    until(() -> heard.closed);
    assertTrue(heard.orderly);
    assertEquals(2, accepted.input.size());
  }

  @Test
  void aResetByTheOtherSideIsNot() throws Exception {
    connect();
    socket.getOutputStream().write(new byte[] {1, 2});
    until(() -> accepted.input.size() == 2);
    socket.setSoLinger(true, 0);
    socket.close();
    until(() -> heard.closed);
    assertFalse(heard.orderly);
  }

  @Test
  void anEndOfOurOwnIsNot() throws Exception {
    connect();
    accepted.close();
    until(() -> heard.closed);
    assertFalse(heard.orderly);
  }

  /** Guards against bytes that are taken for sent while MINA has them in hand. */
  @Test
  void whatWaitsToLeaveIsToldUntilItHasLeft() throws Exception {
    connect();
    assertTrue(accepted.isFlushed());
    accepted.output.put(new byte[1 << 21]); // more than the system takes at once
    accepted.requestFlush();
    network.flush();
    assertFalse(accepted.isFlushed());
    Thread reader =
        new Thread(
            () -> {
              try {
                socket.getInputStream().readNBytes(1 << 21);
              } catch (IOException e) {
                // the test is over
              }
            });
    reader.start();
    until(() -> heard.drained > 0);
    assertTrue(accepted.isFlushed());
    reader.join(10_000);
  }

  /**
   * Guards against a close over unread bytes, which resets the connection and the answer with it.
   */
  @Test
  void anAnswerOutlivesItsConnectionsEndOverUnreadBytes() throws Exception {
    connect();
    byte[] answer = new byte[50_000];
    Arrays.fill(answer, (byte) 'a');
    accepted.output.put(answer);
    accepted.closeGracefully();
    until(accepted::isFlushed);
    socket.getOutputStream().write(new byte[20_000]); // more than one read, and than the ring
    assertArrayEquals(answer, socket.getInputStream().readNBytes(answer.length));
    assertEquals(-1, socket.getInputStream().read()); // an orderly end
    assertFalse(heard.closed);
    socket.getOutputStream().write(new byte[20_000]); // and nothing resets it yet
    socket.close();
    until(() -> heard.closed);
    assertTrue(counts.get("bytes dropped") > 0);
    assertEquals(0, heard.read);
    assertEquals(0, counts.get("ends cut short"));
  }

  /** The same while reading is suspended because the ring is full. */
  @Test
  void anEndIsOrderlyWhereReadingWasSuspended() throws Exception {
    connect();
    socket.getOutputStream().write(new byte[30_000]);
    until(() -> accepted.input.remainingCapacity() < Connection.MAX_READ_BYTES);
    accepted.output.put(new byte[] {7});
    accepted.closeGracefully();
    until(accepted::isFlushed);
    assertEquals(7, socket.getInputStream().read());
    assertEquals(-1, socket.getInputStream().read());
    socket.close();
    until(() -> heard.closed);
    assertEquals(0, accepted.input.size());
  }

  /**
   * Guards against a client that stays, or sends without an end, after its connection's last
   * answer.
   */
  @Test
  void anEndThatTheOtherSideDoesNotShareIsBounded() throws Exception {
    connect();
    accepted.output.put(new byte[] {7});
    accepted.closeGracefully();
    until(accepted::isFlushed);
    assertEquals(7, socket.getInputStream().read());
    Thread flood =
        new Thread(
            () -> {
              try {
                for (int i = 0; i < 10_000; i++) {
                  socket.getOutputStream().write(new byte[4096]);
                }
              } catch (SocketException e) {
                // reset in the end
              } catch (IOException e) {
                throw new IllegalStateException(e);
              }
            });
    flood.start();
    until(() -> heard.closed);
    flood.join(10_000);
    assertFalse(flood.isAlive());
    assertEquals(1, counts.get("ends cut short"));
    assertTrue(counts.get("bytes dropped") < 10_000 * 4096L / 2); // of a flood, a part
    assertEquals(0, network.connectionCount());
  }
}
