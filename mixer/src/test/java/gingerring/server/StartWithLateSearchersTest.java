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
 * A start with a known list whose searchers' connections come up late, or come up and are not
 * served, while discovery is of no help: see docs/crossings.md. A gate stands before the searchers,
 * and opens before or after the mixer says that it is ready.
 */
@Timeout(300)
class StartWithLateSearchersTest {
  /** By then a mixer is ready, whatever else is down. */
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

  /** Where the searchers' connections are held up: as they come up, or once they are up. */
  private enum HoldPoint {
    BEFORE_CONNECT,
    BEFORE_READ
  }

  /** Searchers behind a gate; those of four cells hold each part twice. */
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

    /** From now on they come up, and answer whatever comes. */
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

  /** A mixer that starts with these known. */
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

  /** It is ready by its time, which began with the start. */
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

  /** Scans are answered without a value by the mixer itself, within their clients' time. */
  private static void assertScansFailInTime(MixerTestHarness harness, String description)
      throws Exception {
    for (String serviceClass : new String[] {"search", "post"}) {
      MixerTestHarness.Client client = harness.connectClient();
      client.socket.setSoTimeout(2 * SCAN_DEADLINE_MS); // a bound, and no figure
      client.write(harness.scanRequest(serviceClass, SCAN_DEADLINE_MS, 0, 1, 2, 3));
      String answer = client.readAnswer();
      assertTrue(
          answer.startsWith("50"), description + ": " + answer + ", " + harness.server.counts);
      client.close();
    }
  }

  /**
   * Scans are served whole from some moment on, eight of them in a row, one after the other: the
   * system asks a full queue again after a second, or two, and a mixer keeps some back for
   * searchers that were silent.
   */
  private static void awaitCompleteAnswersInARow(MixerTestHarness harness, String description)
      throws Exception {
    List<String> answers = new ArrayList<>();
    try (MixerTestHarness.Client client = harness.connectClient()) {
      int[] consecutive = new int[1];
      MixerTestHarness.await(
          "whole answers",
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
            // what cannot be served whole yet is answered all the same
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
   * Guards against a mixer that waits for its searchers before it is ready, or keeps scans for
   * them.
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

  /**
   * Guards against scans that are lost while they wait for discovery, or for connections that are
   * late.
   */
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
            if (!waitsForDiscovery) { // it had its word at once: its parts wait for connections,
              // and not for
              // discovery
              harness.awaitCount("links dialled", 1);
            }
            try (MixerTestHarness.LoopGate loopGate =
                harness
                    .pauseLoop()) { // it cannot say that it is ready before the other gate is open
              searchers.release();
            }
            awaitReadyInTime(harness, startNanos);
            String answer = earlyClient.readAnswer();
            boolean mayBeTooLate =
                !waitsForDiscovery
                    && holdPoint
                        == HoldPoint.BEFORE_CONNECT; // what was dialled comes up in a second or two
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

  /** One searcher is prompt and holds half: partial answers, in time, until the other comes up. */
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
              "whole answers",
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

  /** A searcher that answers at once. */
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
