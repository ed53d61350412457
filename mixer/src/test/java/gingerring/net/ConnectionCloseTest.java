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

/** Closing of connections from either side, gracefully or by a reset. */
@Timeout(30)
class ConnectionCloseTest {
  private final LinkedBlockingQueue<Runnable> events = new LinkedBlockingQueue<>();
  private final Counters counters = new Counters();
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
          counters,
          false);
  private final RecordingHandler handler = new RecordingHandler();
  private Connection accepted;
  private Socket socket;

  /** Records the calls that the handler of the connection gets. */
  private final class RecordingHandler implements ConnectionHandler {
    private int readableCalls;
    private int flushedCalls;
    private boolean closed;
    private boolean closedGracefully;

    @Override
    public void onReadable() {
      readableCalls++;
    }

    @Override
    public void onFlushed() {
      flushedCalls++;
      assertTrue(accepted.isFlushed());
    }

    @Override
    public void onClosed() {
      closed = true;
      closedGracefully = accepted.closedGracefully();
    }
  }

  private void connect() throws Exception {
    InetSocketAddress address =
        network.listen(
            new InetSocketAddress("127.0.0.1", 0),
            10,
            1 << 22,
            connection -> {
              connection.setHandler(handler);
              accepted = connection;
            });
    socket = new Socket(address.getAddress(), address.getPort());
    socket.setSoTimeout(10_000);
    runUntil(() -> accepted != null && accepted.isOpen());
  }

  /** Runs posted events on this thread, in place of the event loop, until a condition holds. */
  private void runUntil(BooleanSupplier condition) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < deadlineNanos, "condition did not hold within 10 s");
      Runnable event = events.poll(10, TimeUnit.MILLISECONDS);
      if (event != null) {
        event.run();
      }
      network.flush();
    }
  }

  @AfterEach
  void closeSocketAndNetwork() throws IOException {
    socket.close();
    network.dispose();
  }

  @Test
  void closeByThePeerIsGraceful() throws Exception {
    connect();
    socket.getOutputStream().write(new byte[] {1, 2});
    socket.close();
    runUntil(() -> handler.closed);
    assertTrue(handler.closedGracefully);
    assertEquals(2, accepted.input.size());
  }

  @Test
  void resetByThePeerIsNotGraceful() throws Exception {
    connect();
    socket.getOutputStream().write(new byte[] {1, 2});
    runUntil(() -> accepted.input.size() == 2);
    socket.setSoLinger(true, 0);
    socket.close();
    runUntil(() -> handler.closed);
    assertFalse(handler.closedGracefully);
  }

  @Test
  void immediateCloseIsNotGraceful() throws Exception {
    connect();
    accepted.close();
    runUntil(() -> handler.closed);
    assertFalse(handler.closedGracefully);
  }

  /** Guards against output that counts as sent while MINA still has to write it. */
  @Test
  void isNotFlushedUntilAllBytesWereSent() throws Exception {
    connect();
    assertTrue(accepted.isFlushed());
    accepted.output.put(new byte[1 << 21]); // more than the socket buffers take at once
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
    runUntil(() -> handler.flushedCalls > 0);
    assertTrue(accepted.isFlushed());
    reader.join(10_000);
  }

  /**
   * Guards against a close with unread bytes, which resets the connection and loses the response.
   */
  @Test
  void responseArrivesWhenClosedOverUnreadBytes() throws Exception {
    connect();
    byte[] response = new byte[50_000];
    Arrays.fill(response, (byte) 'a');
    accepted.output.put(response);
    accepted.closeGracefully();
    runUntil(accepted::isFlushed);
    // more than one read and more than the input buffer
    socket.getOutputStream().write(new byte[20_000]);
    assertArrayEquals(response, socket.getInputStream().readNBytes(response.length));
    assertEquals(-1, socket.getInputStream().read()); // the output was shut down
    assertFalse(handler.closed);
    socket.getOutputStream().write(new byte[20_000]); // the connection is not reset yet
    socket.close();
    runUntil(() -> handler.closed);
    assertTrue(counters.get("bytes dropped") > 0);
    assertEquals(0, handler.readableCalls);
    assertEquals(0, counters.get("ends cut short"));
  }

  /** The same while reading is suspended because the input buffer is full. */
  @Test
  void closesGracefullyWhileReadingIsSuspended() throws Exception {
    connect();
    socket.getOutputStream().write(new byte[30_000]);
    runUntil(() -> accepted.input.remainingCapacity() < Connection.MAX_READ_BYTES);
    accepted.output.put(new byte[] {7});
    accepted.closeGracefully();
    runUntil(accepted::isFlushed);
    assertEquals(7, socket.getInputStream().read());
    assertEquals(-1, socket.getInputStream().read());
    socket.close();
    runUntil(() -> handler.closed);
    assertEquals(0, accepted.input.size());
  }

  /**
   * Guards against a client that stays connected, or sends without end, after the last response.
   */
  @Test
  void closeIsBoundedWhenThePeerKeepsSending() throws Exception {
    connect();
    accepted.output.put(new byte[] {7});
    accepted.closeGracefully();
    runUntil(accepted::isFlushed);
    assertEquals(7, socket.getInputStream().read());
    Thread sender =
        new Thread(
            () -> {
              try {
                for (int i = 0; i < 10_000; i++) {
                  socket.getOutputStream().write(new byte[4096]);
                }
              } catch (SocketException e) {
                // the connection was reset, as expected
              } catch (IOException e) {
                throw new IllegalStateException(e);
              }
            });
    sender.start();
    runUntil(() -> handler.closed);
    sender.join(10_000);
    assertFalse(sender.isAlive());
    assertEquals(1, counters.get("ends cut short"));
    // only part of the input was read
    assertTrue(counters.get("bytes dropped") < 10_000 * 4096L / 2);
    assertEquals(0, network.connectionCount());
  }
}
