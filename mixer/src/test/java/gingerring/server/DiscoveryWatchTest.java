package gingerring.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gingerring.discovery.DiscoveryWatch;
import gingerring.discovery.MemberListUpdate;
import gingerring.net.Counters;
import gingerring.net.LoopTimer;
import gingerring.net.Network;
import gingerring.net.ScheduledTask;
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
 * Tests a watch on a real loop and real sockets; the test plays the discovery agent, and nothing
 * requests the list apart from the watch itself.
 */
@Timeout(60)
class DiscoveryWatchTest {
  private static final int TIMEOUT_MS = 20_000;
  private static final int CLOCK_SPEEDUP = 10;

  private final Counters counters = new Counters();
  private final EventLoop loop = new EventLoop(counters);
  private final Network network = new Network(loop, counters, false);
  private final BlockingQueue<String> notifications = new LinkedBlockingQueue<>();
  private ServerSocket agent;
  private Thread loopThread;

  /**
   * Runs ten times as fast as the loop's clock, so that the test does not wait out the watch's
   * longest periods.
   */
  private final class FastClock implements LoopTimer {
    @Override
    public Duration now() {
      return loop.now().multipliedBy(CLOCK_SPEEDUP);
    }

    @Override
    public ScheduledTask schedule(Duration span, Runnable task) {
      return loop.schedule(span.dividedBy(CLOCK_SPEEDUP), task);
    }
  }

  private void startWatch(long revision, LoopTimer clock) {
    DiscoveryWatch watch =
        new DiscoveryWatch(
            network,
            (InetSocketAddress) agent.getLocalSocketAddress(),
            revision,
            new DiscoveryWatch.Listener() {
              @Override
              public void onUpdate(MemberListUpdate members) {
                notifications.add("list " + members.revision());
              }

              @Override
              public void onFailure() {
                notifications.add("failed");
              }
            },
            counters,
            clock);
    loop.post(watch::open);
    loopThread = new Thread(() -> loop.run(() -> {}, network::flush));
    loopThread.start();
  }

  /**
   * Accepts the next watch, checks the revision in its request and sends the head of the response.
   */
  private Socket acceptWatch(String index) throws IOException {
    Socket socket = agent.accept();
    socket.setSoTimeout(TIMEOUT_MS);
    BufferedReader input = new BufferedReader(new InputStreamReader(socket.getInputStream()));
    assertEquals("GET /v1/endpoints?stream=1&index=" + index + " HTTP/1.1", input.readLine());
    socket
        .getOutputStream()
        .write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes());
    return socket;
  }

  private static void sendLine(Socket socket, String line) throws IOException {
    socket
        .getOutputStream()
        .write(
            (Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n")
                .getBytes(StandardCharsets.US_ASCII));
  }

  private static String memberListLine(int revision, boolean complete) {
    return "{\"revision\":" + revision + ",\"complete\":" + complete + ",\"members\":[]}";
  }

  private String nextNotification() throws InterruptedException {
    return notifications.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  @BeforeEach
  void startAgent() throws IOException {
    agent = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
    agent.setSoTimeout(TIMEOUT_MS);
  }

  @AfterEach
  void stopAll() throws Exception {
    loop.post(loop::stop);
    loopThread.join(TIMEOUT_MS);
    network.dispose();
    agent.close();
  }

  /**
   * Guards against a mixer that has no open watch while its agent has a newer list, which counts as
   * known to the mixer.
   */
  @Test
  void reopensEndedOrSilentWatchAtOnce() throws Exception {
    startWatch(0, loop);
    Socket first = acceptWatch("0");
    sendLine(first, memberListLine(5, true));
    assertEquals("list 5", nextNotification());
    Thread.sleep(1500);
    first.close();
    Socket second = acceptWatch("5");
    sendLine(second, memberListLine(6, false));
    assertEquals("failed", nextNotification());
    assertEquals("list 6", nextNotification());
    // The second watch stays open without further lines.
    Socket third = acceptWatch("6");
    assertEquals("failed", nextNotification());
    // An agent that ends each watch immediately is not reconnected to without a pause, although
    // nothing requests the list.
    third.close();
    assertEquals("failed", nextNotification());
    agent.setSoTimeout(500);
    assertThrows(SocketTimeoutException.class, agent::accept);
    agent.setSoTimeout(TIMEOUT_MS);
    acceptWatch("6").close();
    second.close();
  }

  /**
   * Guards against a slow agent that is never heard: each call was given up after a second without
   * a byte, however many had been before, so that drains stayed unknown.
   */
  @Test
  void hearsAnAgentThatBeginsEachAnswerLate() throws Exception {
    int delayMs = 1500;
    MixerTestHarness.runInBackground(
        () -> {
          while (true) {
            Socket call = agent.accept();
            MixerTestHarness.runInBackground(
                () -> {
                  try {
                    Thread.sleep(delayMs);
                  } catch (InterruptedException e) {
                    return;
                  }
                  call.getOutputStream()
                      .write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes());
                  sendLine(call, memberListLine(5, true));
                });
          }
        });
    startWatch(0, loop);
    String notification = nextNotification();
    while ("failed".equals(notification)) {
      notification = nextNotification();
    }
    assertEquals("list 5", notification);
  }

  /**
   * Guards against an outdated agent whose list brings back searchers that are known to be draining
   * or gone.
   */
  @Test
  void ignoresCompleteListOlderThanTheCurrentOne() throws Exception {
    startWatch(41, loop);
    Socket staleWatch = acceptWatch("41");
    sendLine(staleWatch, memberListLine(39, true));
    sendLine(staleWatch, memberListLine(40, false));
    sendLine(staleWatch, memberListLine(42, false));
    assertEquals("list 42", nextNotification());
    assertEquals(1, counters.get("lists older than the one held"));
    staleWatch.close();
  }

  /**
   * Guards against a mixer that keeps its list for ever after the agent has restarted its revision
   * numbers.
   */
  @Test
  void acceptsOlderListOnceRevisionsHaveRestarted() throws Exception {
    startWatch(41, new FastClock());
    Socket staleWatch = acceptWatch("41");
    sendLine(staleWatch, memberListLine(3, true));
    Socket restartedWatch = null;
    for (String index = "41"; restartedWatch == null; ) {
      // The agent sends no further lines, so the watch is reopened again and again.
      Socket socket = agent.accept();
      String requestLine =
          new BufferedReader(new InputStreamReader(socket.getInputStream())).readLine();
      socket
          .getOutputStream()
          .write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes());
      sendLine(socket, memberListLine(3, true));
      restartedWatch = requestLine.contains("index=0 ") ? socket : null;
      assertTrue(
          restartedWatch != null || requestLine.contains("index=" + index + ' '), requestLine);
    }
    for (String notification = nextNotification();
        !notification.equals("list 3");
        notification = nextNotification()) {
      assertEquals("failed", notification);
    }
    restartedWatch.close();
  }
}
