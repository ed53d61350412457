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
class LateStartTest {
  /** By then a mixer is ready, whatever else is down. */
  private static final long READY_MS = 10_000;

  private static final int PATIENCE_MS = 2000;
  private static final String[] LONG_DIALS = {
    "\"DialTimeoutMs\": 250.0", "\"DialTimeoutMs\": 20000.0"
  };

  private enum Discovery {
    REFUSES,
    IS_SILENT,
    ACCEPTS,
    SAYS_A_HEAD
  }

  /** Where the searchers' connections are held up: as they come up, or once they are up. */
  private enum Gate {
    BEFORE_UP,
    BEFORE_SERVED
  }

  /** Searchers behind a gate; those of four cells hold each part twice. */
  private static final class Searchers implements Closeable {
    final Gate gate;
    final List<SlowAcceptSearcher> late = new ArrayList<>();

    Searchers(Gate gate, int... cells) throws IOException {
      this.gate = gate;
      for (int cell : cells) {
        late.add(
            gate == Gate.BEFORE_UP
                ? new SlowAcceptSearcher("late" + cell, cell)
                : SlowAcceptSearcher.withSmallReceiveBuffer("late" + cell, cell));
      }
    }

    /** From now on they come up, and answer whatever comes. */
    void open() throws IOException {
      for (SlowAcceptSearcher each : late) {
        if (gate == Gate.BEFORE_UP) {
          each.releaseBacklog();
        }
        MixerTestHarness.runInBackground(
            () -> {
              while (true) {
                MixerTestHarness.answerAllCalls(each.link());
              }
            });
      }
    }

    @Override
    public void close() throws IOException {
      for (SlowAcceptSearcher each : late) {
        each.close();
      }
    }
  }

  /** A mixer that starts with these known. */
  private static MixerTestHarness start(Discovery discovery, String[] swaps, String... members)
      throws Exception {
    List<String> all =
        new ArrayList<>(
            List.of(
                "\"complete\": true, \"members\": []",
                "\"complete\": true, \"members\": [" + String.join(",", members) + "]"));
    all.addAll(Arrays.asList(swaps));
    MixerTestHarness rig =
        new MixerTestHarness(discovery != Discovery.REFUSES, all.toArray(String[]::new));
    if (discovery == Discovery.ACCEPTS || discovery == Discovery.SAYS_A_HEAD) {
      MixerTestHarness.runInBackground(
          () -> {
            while (true) {
              MixerTestHarness.DiscoveryConnection call = rig.agent.acceptRequest();
              if (discovery == Discovery.SAYS_A_HEAD) {
                call.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
              }
            }
          });
    }
    return rig;
  }

  private static String[] members(Searchers searchers) {
    return searchers.late.stream().map(each -> each.member("SERVING")).toArray(String[]::new);
  }

  /** It is ready by its time, which began with the start. */
  private static void ready(MixerTestHarness rig, long startNanos) throws Exception {
    MixerTestHarness.Client asks = rig.connectClient();
    while (!asks.isReady()) {
      assertTrue(
          System.nanoTime() - startNanos < READY_MS * 1_000_000,
          "not ready in time: " + rig.server.counts);
      Thread.sleep(5);
    }
    asks.close();
  }

  /** Scans are answered without a value by the mixer itself, within their clients' time. */
  private static void refused(MixerTestHarness rig, String what) throws Exception {
    for (String grade : new String[] {"search", "post"}) {
      MixerTestHarness.Client client = rig.connectClient();
      client.socket.setSoTimeout(2 * PATIENCE_MS); // a bound, and no figure
      client.write(rig.scanRequest(grade, PATIENCE_MS, 0, 1, 2, 3));
      String answer = client.readAnswer();
      assertTrue(answer.startsWith("50"), what + ": " + answer + ", " + rig.server.counts);
      client.close();
    }
  }

  /**
   * Scans are served whole from some moment on, eight of them in a row, one after the other: the
   * system asks a full queue again after a second, or two, and a mixer keeps some back for
   * searchers that were silent.
   */
  private static void servedWhole(MixerTestHarness rig, String what) throws Exception {
    List<String> answers = new ArrayList<>();
    try (MixerTestHarness.Client client = rig.connectClient()) {
      int[] inRow = new int[1];
      MixerTestHarness.await(
          "whole answers",
          () -> {
            try {
              client.write(
                  rig.scanRequest(
                      inRow[0] % 2 == 0 ? "search" : "post", PATIENCE_MS, inRow[0], 7 - inRow[0]));
              answers.add(client.readAnswer());
            } catch (IOException e) {
              throw new AssertionError(e);
            }
            String last = answers.get(answers.size() - 1);
            // what cannot be served whole yet is answered all the same
            assertTrue(last.matches("(?s)(200|50\\d).*"), last);
            inRow[0] = last.startsWith("200 {\"whole\":true") ? inRow[0] + 1 : 0;
            return inRow[0] == 8;
          });
    } catch (AssertionError e) {
      throw new AssertionError(
          what
              + ": "
              + answers.stream().distinct().collect(Collectors.joining("; "))
              + ", "
              + rig.server.counts,
          e);
    }
  }

  /**
   * Guards against a mixer that waits for its searchers before it is ready, or keeps scans for
   * them.
   */
  @Test
  void readyBeforeItsSearchersComeUpAndServesOnceTheyDo() throws Exception {
    for (Discovery discovery : Discovery.values()) {
      for (Gate gate : Gate.values()) {
        String what = discovery + ", " + gate;
        try (Searchers searchers = new Searchers(gate, 0, 1, 2, 3)) {
          long start = System.nanoTime();
          try (MixerTestHarness rig = start(discovery, new String[0], members(searchers))) {
            ready(rig, start);
            refused(rig, what);
            assertEquals(0, rig.count("whole answers") + rig.count("partial answers"), what);
            assertEquals(0, rig.count("scans the mixer left open"), what);
            searchers.open();
            servedWhole(rig, what);
            assertEquals(0, rig.count("lists told"), what);
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
  void servesOnceItIsReadyWhereItsSearchersComeUpBefore() throws Exception {
    for (Discovery discovery : Discovery.values()) {
      for (Gate gate : Gate.values()) {
        String what = discovery + ", " + gate;
        try (Searchers searchers = new Searchers(gate, 0, 1, 2, 3)) {
          long start = System.nanoTime();
          try (MixerTestHarness rig = start(discovery, LONG_DIALS, members(searchers))) {
            MixerTestHarness.Client early = rig.connectClient();
            early.write(rig.scanRequest("search", PATIENCE_MS, 0, 1, 2, 3));
            rig.awaitCount("scans taken", 1);
            boolean waits = discovery != Discovery.REFUSES;
            if (!waits) { // it had its word at once: its parts wait for connections, and not for
              // discovery
              rig.awaitCount("links dialled", 1);
            }
            try (MixerTestHarness.LoopGate turn =
                rig.pauseLoop()) { // it cannot say that it is ready before the other gate is open
              searchers.open();
            }
            ready(rig, start);
            String answer = early.readAnswer();
            boolean late =
                !waits && gate == Gate.BEFORE_UP; // what was dialled comes up in a second or two
            assertTrue(
                answer.matches(late ? "(?s)(200|50\\d).*" : "(?s)200.*"),
                what + ": " + answer + ", " + rig.server.counts);
            servedWhole(rig, what);
            assertEquals(0, rig.count("scans the mixer left open"), what);
            assertEquals(0, rig.count("lists told"), what);
          }
        }
      }
    }
  }

  /** One searcher is prompt and holds half: partial answers, in time, until the other comes up. */
  @Test
  void answersInPartWhileHalfOfItsSearchersAreLate() throws Exception {
    for (Discovery discovery : Discovery.values()) {
      String what = discovery.toString();
      try (Searchers searchers = new Searchers(Gate.BEFORE_UP, 3);
          Prompt prompt = new Prompt("prompt", 1)) {
        long start = System.nanoTime();
        try (MixerTestHarness rig =
            start(
                discovery, LONG_DIALS, searchers.late.get(0).member("SERVING"), prompt.member())) {
          ready(rig, start);
          MixerTestHarness.Client client = rig.connectClient();
          client.socket.setSoTimeout(2 * PATIENCE_MS);
          client.write(rig.scanRequest("search", PATIENCE_MS, 0, 2));
          String answer = client.readAnswer();
          assertTrue(
              answer.startsWith("200 {\"whole\":false"),
              what + ": " + answer + ", " + rig.server.counts);
          searchers.open();
          MixerTestHarness.await(
              "whole answers",
              () -> {
                try {
                  client.write(rig.scanRequest("search", PATIENCE_MS, 0, 2));
                  return client.readAnswer().startsWith("200 {\"whole\":true");
                } catch (IOException e) {
                  throw new AssertionError(what, e);
                }
              });
          assertEquals(0, rig.count("scans the mixer left open"), what);
        }
      }
    }
  }

  /** A searcher that answers at once. */
  private static final class Prompt implements Closeable {
    private final String name;
    private final int cell;
    private final ServerSocket door = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());

    Prompt(String name, int cell) throws IOException {
      this.name = name;
      this.cell = cell;
      MixerTestHarness.runInBackground(
          () -> {
            while (true) {
              MixerTestHarness.answerAllCalls(new MixerTestHarness.BoxConnection(door.accept()));
            }
          });
    }

    String member() {
      return "{\"id\":\""
          + name
          + "\",\"host_port\":\"127.0.0.1:"
          + door.getLocalPort()
          + "\",\"locality\":\"a\",\"flavor\":\"toy\",\"cell\":"
          + cell
          + ",\"phase\":\"SERVING\",\"size\":1.0,\"up_since_ms\":0}";
    }

    @Override
    public void close() throws IOException {
      door.close();
    }
  }
}
