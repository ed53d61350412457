package gingerring.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gingerring.discovery.DiscoveryWatch;
import gingerring.discovery.MemberListUpdate;
import gingerring.net.Counters;
import gingerring.net.LoopTimer;
import gingerring.net.Network;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A watch on a real loop and real sockets, before an agent that is played by the test; nobody asks
 * for it again.
 */
@Timeout(60)
class WatchTest {
  private static final int WAIT_MS = 20_000;
  private static final int FASTER = 10;

  private final Counters counts = new Counters();
  private final Loop loop = new Loop(counts);
  private final Network network = new Network(loop, counts, false);
  private final BlockingQueue<String> told = new LinkedBlockingQueue<>();
  private ServerSocket agent;
  private Thread thread;

  /** Its seconds are tenths of a second, so that nobody waits for the longest of them. */
  private final class Fast implements LoopTimer {
    @Override
    public Duration now() {
      return loop.now().multipliedBy(FASTER);
    }

    @Override
    public void schedule(Duration span, Runnable task) {
      loop.schedule(span.dividedBy(FASTER), task);
    }
  }

  private void follow(long revision, LoopTimer clock) {
    DiscoveryWatch watch =
        new DiscoveryWatch(
            network,
            (InetSocketAddress) agent.getLocalSocketAddress(),
            revision,
            new DiscoveryWatch.Listener() {
              @Override
              public void onUpdate(MemberListUpdate members) {
                told.add("list " + members.revision());
              }

              @Override
              public void onFailure() {
                told.add("failed");
              }
            },
            counts,
            clock);
    loop.post(watch::open);
    thread = new Thread(() -> loop.run(() -> {}, network::flush));
    thread.start();
  }

  /** The agent's side of one watch. */
  private Socket accept(String index) throws IOException {
    Socket socket = agent.accept();
    socket.setSoTimeout(WAIT_MS);
    BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream()));
    assertEquals("GET /v1/endpoints?stream=1&index=" + index + " HTTP/1.1", in.readLine());
    socket
        .getOutputStream()
        .write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes());
    return socket;
  }

  private static void say(Socket socket, String line) throws IOException {
    socket
        .getOutputStream()
        .write(
            (Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n")
                .getBytes(StandardCharsets.US_ASCII));
  }

  private static String list(int revision, boolean all) {
    return "{\"revision\":" + revision + ",\"complete\":" + all + ",\"members\":[]}";
  }

  private String next() throws InterruptedException {
    return told.poll(WAIT_MS, TimeUnit.MILLISECONDS);
  }

  @BeforeEach
  void listen() throws IOException {
    agent = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
    agent.setSoTimeout(WAIT_MS);
  }

  @AfterEach
  void end() throws Exception {
    loop.post(loop::stop);
    thread.join(WAIT_MS);
    network.dispose();
    agent.close();
  }

  /** Guards against a mixer without a watch while its agent has news, which counts as told. */
  @Test
  void opensAWatchAnewAtOnceThatEndsOrFallsSilent() throws Exception {
    follow(0, loop);
    Socket first = accept("0");
    say(first, list(5, true));
    assertEquals("list 5", next());
    Thread.sleep(1500);
    first.close();
    Socket second = accept("5");
    say(second, list(6, false));
    assertEquals("failed", next());
    assertEquals("list 6", next());
    // and now it stays open and says nothing more
    Socket third = accept("6");
    assertEquals("failed", next());
    // but an agent that ends each watch as it begins is not called without a pause, though nobody
    // has to ask
    third.close();
    assertEquals("failed", next());
    agent.setSoTimeout(500);
    assertThrows(SocketTimeoutException.class, agent::accept);
    agent.setSoTimeout(WAIT_MS);
    accept("6").close();
    second.close();
  }

  /**
   * Guards against an agent that is late, and brings searchers back that are known to drain or to
   * have gone.
   */
  @Test
  void takesNoWholeListThatIsOlderThanTheOneHeld() throws Exception {
    follow(41, loop);
    Socket late = accept("41");
    say(late, list(39, true));
    say(late, list(40, false));
    say(late, list(42, false));
    assertEquals("list 42", next());
    assertEquals(1, counts.get("lists older than the one held"));
    late.close();
  }

  /** Guards against a mixer that holds on to its list for good where versions are counted anew. */
  @Test
  void takesAnOlderListOnceItCannotBeLateAnyMore() throws Exception {
    follow(41, new Fast());
    Socket late = accept("41");
    say(late, list(3, true));
    Socket anew = null;
    for (String index = "41"; anew == null; ) {
      // it says nothing more, so that the watch is opened again and again
      Socket next = agent.accept();
      String line = new BufferedReader(new InputStreamReader(next.getInputStream())).readLine();
      next.getOutputStream()
          .write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes());
      say(next, list(3, true));
      anew = line.contains("index=0 ") ? next : null;
      assertTrue(anew != null || line.contains("index=" + index + ' '), line);
    }
    for (String line = next(); !line.equals("list 3"); line = next()) {
      assertEquals("failed", line);
    }
    anew.close();
  }
}
