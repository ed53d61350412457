package gingerring.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Starts a mixer with a stored member list while its searchers are late (their connections are not
 * established, or are established but not read) and discovery does not help; see docs/crossings.md.
 * The searchers are released before or after the mixer reports that it is ready.
 */
@Timeout(300)
class StartWithLateSearchersTest {
  /** Time limit for the mixer to become ready, whatever else is down. */
  private static final long READY_DEADLINE_MS = 10_000;

  private static final int SCAN_DEADLINE_MS = 2000;
  private static final String[] LONG_DIAL_TIMEOUT = {
    "\"DialTimeoutMs\": 250.0", "\"DialTimeoutMs\": 20000.0"
  };

  private enum DiscoveryFault {
    REFUSES_CONNECTIONS,
    LEAVES_CONNECTIONS_IN_BACKLOG,
    READS_REQUEST_ONLY,
    SENDS_HEAD_ONLY
  }

  /** Where the searchers' connections hang: while they are established, or once they are. */
  private enum HoldPoint {
    BEFORE_CONNECT,
    BEFORE_READ
  }

  /**
   * Searchers that do not answer before they are released. If they fill four cells, each part has
   * two holders.
   */
  private static final class HeldSearchers implements Closeable {
    final HoldPoint holdPoint;
    final List<SlowAcceptSearcher> searchers = new ArrayList<>();

    HeldSearchers(HoldPoint holdPoint, int... cells) throws IOException {
      this.holdPoint = holdPoint;
      for (int cell : cells) {
        searchers.add(
            holdPoint == HoldPoint.BEFORE_CONNECT
                ? new SlowAcceptSearcher("late" + cell, cell)
                : SlowAcceptSearcher.withSmallReceiveBuffer("late" + cell, cell));
      }
    }

    /** Lets connections be established and answers every call from now on. */
    void release() throws IOException {
      for (SlowAcceptSearcher searcher : searchers) {
        if (holdPoint == HoldPoint.BEFORE_CONNECT) {
          searcher.releaseBacklog();
        }
        MixerTestHarness.runInBackground(
            () -> {
              while (true) {
                MixerTestHarness.answerAllCalls(searcher.acceptConnection());
              }
            });
      }
    }

    @Override
    public void close() throws IOException {
      for (SlowAcceptSearcher searcher : searchers) {
        searcher.close();
      }
    }
  }

  /** Starts a mixer whose stored member list has these members. */
  private static MixerTestHarness startMixer(
      DiscoveryFault discovery, String[] replacements, String... members) throws Exception {
    List<String> allReplacements =
        new ArrayList<>(
            List.of(
                "\"complete\": true, \"members\": []",
                "\"complete\": true, \"members\": [" + String.join(",", members) + "]"));
    allReplacements.addAll(Arrays.asList(replacements));
    MixerTestHarness harness =
        new MixerTestHarness(
            discovery != DiscoveryFault.REFUSES_CONNECTIONS,
            allReplacements.toArray(String[]::new));
    if (discovery == DiscoveryFault.READS_REQUEST_ONLY
        || discovery == DiscoveryFault.SENDS_HEAD_ONLY) {
      MixerTestHarness.runInBackground(
          () -> {
            while (true) {
              MixerTestHarness.DiscoveryConnection connection = harness.agent.acceptRequest();
              if (discovery == DiscoveryFault.SENDS_HEAD_ONLY) {
                connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
              }
            }
          });
    }
    return harness;
  }

  private static String[] memberJsons(HeldSearchers searchers) {
    return searchers.searchers.stream()
        .map(searcher -> searcher.memberJson("SERVING"))
        .toArray(String[]::new);
  }

  /** Asserts that the mixer is ready within {@link #READY_DEADLINE_MS} of its start. */
  private static void awaitReadyInTime(MixerTestHarness harness, long startNanos) throws Exception {
    MixerTestHarness.Client client = harness.connectClient();
    while (!client.isReady()) {
      assertTrue(
          System.nanoTime() - startNanos < READY_DEADLINE_MS * 1_000_000,
          "not ready in time: " + harness.server.counts);
      Thread.sleep(5);
    }
    client.close();
  }

  /** Asserts that the mixer answers scans without a value, within their clients' deadline. */
  private static void assertScansFailInTime(MixerTestHarness harness, String description)
      throws Exception {
    for (String serviceClass : new String[] {"search", "post"}) {
      MixerTestHarness.Client client = harness.connectClient();
      // Twice the deadline is an upper bound, not a measured time.
      client.socket.setSoTimeout(2 * SCAN_DEADLINE_MS);
      client.write(harness.scanRequest(serviceClass, SCAN_DEADLINE_MS, 0, 1, 2, 3));
      String answer = client.readAnswer();
      assertTrue(
          answer.startsWith("50"), description + ": " + answer + ", " + harness.server.counts);
      client.close();
    }
  }

  /**
   * Sends scans one after the other until eight in a row are answered completely. This takes a
   * while: the kernel repeats a connection attempt to a full backlog after one or two seconds, and
   * the mixer sends less to searchers that did not answer.
   */
  private static void awaitCompleteAnswersInARow(MixerTestHarness harness, String description)
      throws Exception {
    List<String> answers = new ArrayList<>();
    try (MixerTestHarness.Client client = harness.connectClient()) {
      int[] consecutive = new int[1];
      MixerTestHarness.await(
          "complete answers",
          () -> {
            try {
              client.write(
                  harness.scanRequest(
                      consecutive[0] % 2 == 0 ? "search" : "post",
                      SCAN_DEADLINE_MS,
                      consecutive[0],
                      7 - consecutive[0]));
              answers.add(client.readAnswer());
            } catch (IOException e) {
              throw new AssertionError(e);
            }
            String lastAnswer = answers.get(answers.size() - 1);
            // Scans that cannot be answered completely yet still get an answer.
            assertTrue(lastAnswer.matches("(?s)(200|50\\d).*"), lastAnswer);
            consecutive[0] = lastAnswer.startsWith("200 {\"whole\":true") ? consecutive[0] + 1 : 0;
            return consecutive[0] == 8;
          });
    } catch (AssertionError e) {
      throw new AssertionError(
          description
              + ": "
              + answers.stream().distinct().collect(Collectors.joining("; "))
              + ", "
              + harness.server.counts,
          e);
    }
  }

  /**
   * Guards against a mixer that waits for its searchers before it is ready, or holds scans until
   * they connect.
   */
  @Test
  void becomesReadyBeforeSearchersConnectAndServesOnceTheyDo() throws Exception {
    for (DiscoveryFault discovery : DiscoveryFault.values()) {
      for (HoldPoint holdPoint : HoldPoint.values()) {
        String description = discovery + ", " + holdPoint;
        try (HeldSearchers searchers = new HeldSearchers(holdPoint, 0, 1, 2, 3)) {
          long startNanos = System.nanoTime();
          try (MixerTestHarness harness =
              startMixer(discovery, new String[0], memberJsons(searchers))) {
            awaitReadyInTime(harness, startNanos);
            assertScansFailInTime(harness, description);
            assertEquals(
                0, harness.count("whole answers") + harness.count("partial answers"), description);
            assertEquals(0, harness.count("scans the mixer left open"), description);
            searchers.release();
            awaitCompleteAnswersInARow(harness, description);
            assertEquals(0, harness.count("lists told"), description);
          }
        }
      }
    }
  }

  /** Guards against scans that are lost while they wait for discovery or for late connections. */
  @Test
  void servesOnceReadyIfSearchersConnectedBefore() throws Exception {
    for (DiscoveryFault discovery : DiscoveryFault.values()) {
      for (HoldPoint holdPoint : HoldPoint.values()) {
        String description = discovery + ", " + holdPoint;
        try (HeldSearchers searchers = new HeldSearchers(holdPoint, 0, 1, 2, 3)) {
          long startNanos = System.nanoTime();
          try (MixerTestHarness harness =
              startMixer(discovery, LONG_DIAL_TIMEOUT, memberJsons(searchers))) {
            MixerTestHarness.Client earlyClient = harness.connectClient();
            earlyClient.write(harness.scanRequest("search", SCAN_DEADLINE_MS, 0, 1, 2, 3));
            harness.awaitCount("scans taken", 1);
            boolean waitsForDiscovery = discovery != DiscoveryFault.REFUSES_CONNECTIONS;
            // If discovery has failed at once, the scan's parts wait for connections only.
            if (!waitsForDiscovery) {
              harness.awaitCount("links dialled", 1);
            }
            // The mixer cannot become ready before the searchers are released.
            try (MixerTestHarness.LoopGate loopGate = harness.pauseLoop()) {
              searchers.release();
            }
            awaitReadyInTime(harness, startNanos);
            String answer = earlyClient.readAnswer();
            // A pending connection attempt succeeds only after one or two seconds.
            boolean mayBeTooLate = !waitsForDiscovery && holdPoint == HoldPoint.BEFORE_CONNECT;
            assertTrue(
                answer.matches(mayBeTooLate ? "(?s)(200|50\\d).*" : "(?s)200.*"),
                description + ": " + answer + ", " + harness.server.counts);
            awaitCompleteAnswersInARow(harness, description);
            assertEquals(0, harness.count("scans the mixer left open"), description);
            assertEquals(0, harness.count("lists told"), description);
          }
        }
      }
    }
  }

  /**
   * One of two searchers answers at once: scans get partial answers in time until the other
   * connects.
   */
  @Test
  void answersPartiallyWhileHalfOfTheSearchersAreLate() throws Exception {
    for (DiscoveryFault discovery : DiscoveryFault.values()) {
      String description = discovery.toString();
      try (HeldSearchers searchers = new HeldSearchers(HoldPoint.BEFORE_CONNECT, 3);
          PromptSearcher prompt = new PromptSearcher("prompt", 1)) {
        long startNanos = System.nanoTime();
        try (MixerTestHarness harness =
            startMixer(
                discovery,
                LONG_DIAL_TIMEOUT,
                searchers.searchers.get(0).memberJson("SERVING"),
                prompt.memberJson())) {
          awaitReadyInTime(harness, startNanos);
          MixerTestHarness.Client client = harness.connectClient();
          client.socket.setSoTimeout(2 * SCAN_DEADLINE_MS);
          client.write(harness.scanRequest("search", SCAN_DEADLINE_MS, 0, 2));
          String answer = client.readAnswer();
          assertTrue(
              answer.startsWith("200 {\"whole\":false"),
              description + ": " + answer + ", " + harness.server.counts);
          searchers.release();
          MixerTestHarness.await(
              "complete answers",
              () -> {
                try {
                  client.write(harness.scanRequest("search", SCAN_DEADLINE_MS, 0, 2));
                  return client.readAnswer().startsWith("200 {\"whole\":true");
                } catch (IOException e) {
                  throw new AssertionError(description, e);
                }
              });
          assertEquals(0, harness.count("scans the mixer left open"), description);
        }
      }
    }
  }

  private static final class PromptSearcher implements Closeable {
    private final String name;
    private final int cell;
    private final ServerSocket listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());

    PromptSearcher(String name, int cell) throws IOException {
      this.name = name;
      this.cell = cell;
      MixerTestHarness.runInBackground(
          () -> {
            while (true) {
              MixerTestHarness.answerAllCalls(
                  new MixerTestHarness.BoxConnection(listener.accept()));
            }
          });
    }

    String memberJson() {
      return "{\"id\":\""
          + name
          + "\",\"host_port\":\"127.0.0.1:"
          + listener.getLocalPort()
          + "\",\"locality\":\"a\",\"flavor\":\"toy\",\"cell\":"
          + cell
          + ",\"phase\":\"SERVING\",\"size\":1.0,\"up_since_ms\":0}";
    }

    @Override
    public void close() throws IOException {
      listener.close();
    }
  }
}
