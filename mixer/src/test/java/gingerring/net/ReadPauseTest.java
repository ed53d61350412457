package gingerring.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Reading that is suspended while the input buffer is full, and resumed by the event loop. */
@Timeout(120)
class ReadPauseTest {
  private static final int BLOCK_BYTES = 1 << 16;
  private static final int BLOCKS = 4000;
  private static final int WAIT_S = 60;

  /**
   * Guards against a resume that comes between the two steps of a suspension: the connection was
   * never read again.
   */
  @Test
  void connectionWithAFastReaderIsReadToItsEnd() throws Exception {
    BlockingQueue<Runnable> events = new LinkedBlockingQueue<>();
    EventQueue eventQueue =
        new EventQueue() {
          @Override
          public void post(Runnable event) {
            events.add(event);
          }

          @Override
          public Duration currentTime() {
            return Duration.ofNanos(System.nanoTime());
          }
        };
    Network network = new Network(eventQueue, new Counters(), false);
    Thread loop =
        new Thread(
            () -> {
              try {
                while (true) {
                  events.take().run();
                  network.flush();
                }
              } catch (InterruptedException e) {
                // the test is over
              }
            },
            "loop");
    loop.setDaemon(true);
    loop.start();
    AtomicLong bytesRead = new AtomicLong();
    CountDownLatch allRead = new CountDownLatch(1);
    InetSocketAddress address =
        network.listen(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            8,
            1024,
            connection ->
                connection.setHandler(
                    new ConnectionHandler() {
                      @Override
                      public void onOpened() {}

                      @Override
                      public void onReadable() {
                        byte[] buffer = new byte[Connection.MAX_READ_BYTES];
                        for (int count = 1; count > 0; ) {
                          count = connection.input.take(buffer, 0, buffer.length);
                          if (bytesRead.addAndGet(count) == (long) BLOCK_BYTES * BLOCKS) {
                            allRead.countDown();
                          }
                        }
                      }

                      @Override
                      public void onClosed() {}
                    }));
    Socket socket = new Socket(address.getAddress(), address.getPort());
    Thread writer =
        new Thread(
            () -> {
              try {
                OutputStream out = socket.getOutputStream();
                for (int i = 0; i < BLOCKS; i++) {
                  out.write(new byte[BLOCK_BYTES]);
                }
              } catch (java.io.IOException e) {
                // the test has failed
              }
            },
            "writer");
    writer.setDaemon(true);
    writer.start();
    allRead.await(WAIT_S, TimeUnit.SECONDS);
    socket.close();
    assertEquals((long) BLOCK_BYTES * BLOCKS, bytesRead.get());
    loop.interrupt();
    network.dispose();
  }
}
