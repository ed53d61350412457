package gingerring.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Settings that another customer may well have: each is served by a mixer in this process, end to
 * end.
 */
@Timeout(120)
class SettingsTest {
  /**
   * What is tried, and pairs of a text of the example's configuration and what stands in its place.
   */
  record Served(String what, String... swaps) {
    @Override
    public String toString() {
      return what;
    }
  }

  static List<Served> served() {
    return List.of(
        new Served(
            "a deadline under the dial time-out",
            "\"DialTimeoutMs\": 250.0",
            "\"DialTimeoutMs\": 5000"),
        new Served("an aim over the deadline", "\"AimMs\": 600.0", "\"AimMs\": 9000.0"),
        new Served("a window under one trip", "\"WindowMs\": 5000.0", "\"WindowMs\": 0.1"),
        new Served("a window of nothing", "\"WindowMs\": 5000.0", "\"WindowMs\": 0"),
        new Served("a class with no worth", "\"Worth\": 5.0", "\"Worth\": 0"),
        new Served("a class that does not tell its worth", ", \"Worth\": 5.0", ""),
        new Served("a least share of nothing", "[0.4, 1.0]", "[0, 1.0]"),
        new Served("no zone", "[\"a\"]", "[]"),
        new Served("no probes", "\"Probing\": true", "\"Probing\": false"),
        new Served("no cancel", "\"Cancel\": true", "\"Cancel\": false"),
        new Served(
            "no second copies, no cancel",
            "\"SecondCopies\": true",
            "\"SecondCopies\": false",
            "\"Cancel\": true",
            "\"Cancel\": false"),
        new Served("one attempt", "\"MaxAttempts\": 3", "\"MaxAttempts\": 1"),
        new Served("a batch of one", "\"Batch\": 4", "\"Batch\": 1"),
        new Served("a batch that nothing fills", "\"Batch\": 4", "\"Batch\": 1000000000"),
        new Served("one stream", "\"StreamsPerConn\": 32", "\"StreamsPerConn\": 1"),
        new Served(
            "an idle time below the dial time-out",
            "\"ConnIdleMs\": 30000.0",
            "\"ConnIdleMs\": 100"),
        new Served("a fleet that does not tell its size", "\"FleetSize\": 1,", ""),
        new Served("no idle time", "\"ConnIdleMs\": 30000.0", "\"ConnIdleMs\": 0"),
        new Served("a drain grace of 0.5 s", "\"DrainGraceMs\": 250.0", "\"DrainGraceMs\": 500"),
        new Served("no drain grace", "\"DrainGraceMs\": 250.0", "\"DrainGraceMs\": 0"),
        new Served("no warm-up", "\"WarmUpMs\": 5000.0", "\"WarmUpMs\": 0"),
        new Served("no time after which cold ones fall", ", \"TipAfterMs\": 2000.0", ""),
        new Served("one scan at a time", "\"MostHeld\": 60", "\"MostHeld\": 3"),
        new Served("more copies than cells", "\"Reach\": 2", "\"Reach\": 9"),
        new Served("one cell", "\"Places\": 4", "\"Places\": 1"),
        new Served("no word of retry", "\"MaxRetryAfterMs\": 500.0", "\"MaxRetryAfterMs\": 0"),
        new Served(
            "no reports",
            "{\"Columns\": [\"depth\", \"concurrent\"], \"Source\": \"answers\"}",
            "{\"Columns\": [], \"Source\": \"none\"}"),
        new Served(
            "a budget of nothing",
            "\"Safety\": {",
            "\"Safety\": {\"ExtraFree\": 0, \"ResendRatio\": 0, \"ResendSpanMs\": 1000, "),
        new Served("lists on request", "\"automatic\"", "\"subscribe\""),
        new Served(
            "lists on request, nothing called off, short rests",
            "\"automatic\"",
            "\"subscribe\"",
            "\"Cancel\": true",
            "\"Cancel\": false",
            "\"SecondCopies\": true",
            "\"SecondCopies\": false",
            "\"ConnIdleMs\": 30000.0",
            "\"ConnIdleMs\": 1000",
            "\"DialTimeoutMs\": 250.0",
            "\"DialTimeoutMs\": 400",
            "\"Source\": \"answers\"",
            "\"Source\": \"probe\"",
            "\"idempotent\"",
            "\"at_most_once\"",
            "[0.4, 1.0]",
            "[1, 1]"),
        new Served(
            "calls of several parts on connections that carry few",
            "\"StreamsPerConn\": 32",
            "\"StreamsPerConn\": 5",
            "\"Probing\": true",
            "\"Probing\": false",
            "\"ConnIdleMs\": 30000.0",
            "\"ConnIdleMs\": 800",
            "\"MaxAttempts\": 3",
            "\"MaxAttempts\": 2"),
        new Served("256 descriptors", "\"sockets\": 1024", "\"sockets\": 256"),
        new Served(
            "no limit told",
            "\"limits\": {\"cores\": 1.0, \"memory_mb\": 192, \"sockets\": 1024},",
            ""),
        new Served("limits without descriptors", ", \"sockets\": 1024", ""),
        new Served("few descriptors", "\"sockets\": 1024", "\"sockets\": 64"));
  }

  /** What is refused: the entry that the line names, and a pair of texts as above. */
  record Refused(String entry, String... swap) {
    @Override
    public String toString() {
      return entry + ": " + swap[1];
    }
  }

  static List<Refused> refused() {
    return List.of(
        new Refused("setting Classes", "\"Classes\": [", "\"Classes\": [], \"Others\": ["),
        new Refused("setting Classes.0.Name", "\"Name\": \"search\", ", ""),
        new Refused("setting Classes.1.Name", "\"post\"", "\"search\""),
        new Refused("setting Classes.1.Name", "\"post\"", "\"lan\u00e7amento\""),
        new Refused("setting Classes.0.AimMs", "\"AimMs\": 600.0, ", ""),
        new Refused("setting Classes.0.AimMs", "\"AimMs\": 600.0", "\"AimMs\": 0"),
        new Refused("setting Classes.0.AimMs", "\"AimMs\": 600.0", "\"AimMs\": \"a\\nb\""),
        new Refused(
            "setting Classes.0.HardLimitMs", "\"HardLimitMs\": 2000.0", "\"HardLimitMs\": 10"),
        new Refused("setting Classes.0.Idempotency", "\"Idempotency\": \"idempotent\", ", ""),
        new Refused("setting Classes.0.Idempotency", "\"idempotent\"", "\"safe\""),
        new Refused(
            "setting Classes.1.WindowMs",
            "\"LateWorth\": 0.0,\n       \"WindowMs\": 5000.0",
            "\"LateWorth\": 0.0"),
        new Refused("setting Classes.0.LateWorth", "\"LateWorth\": 0.3", "\"LateWorth\": 30"),
        new Refused("setting Discovery", "\"Discovery\": \"automatic\",", ""),
        new Refused("setting Discovery", "\"automatic\"", "\"push\""),
        new Refused("setting Domain.Batch", "\"Batch\": 4", "\"Batch\": 0"),
        new Refused("setting Domain.ClassFloor", "[0.4, 1.0]", "[0.4]"),
        new Refused("setting Domain.ClassFetch", "[0, 0]", "[0, 2]"),
        new Refused(
            "setting Domain.NeedByClass", "\"NeedByClass\": [1.0, 1.0]", "\"NeedByClass\": [0, 1]"),
        new Refused("setting Domain.Places", "\"Places\": 4", "\"Places\": 0"),
        new Refused("setting Domain.Reach", "\"Reach\": 2, ", ""),
        new Refused("setting Domain.Slices", "\"Slices\": 8", "\"Slices\": 1e300"),
        new Refused("setting FleetSize", "\"FleetSize\": 1,", "\"FleetSize\": 0,"),
        new Refused("setting Zones", ",\n    \"Zones\": [\"a\"]", ""),
        new Refused("setting Skus", "\"Skus\": [\"toy\"],", ""),
        new Refused("setting PolicyLimits.ConnIdleMs", "\"ConnIdleMs\": 30000.0, ", ""),
        new Refused(
            "setting PolicyLimits.ConnIdleMs", "\"ConnIdleMs\": 30000.0", "\"ConnIdleMs\": -1"),
        new Refused(
            "setting PolicyLimits.DialTimeoutMs",
            "\"DialTimeoutMs\": 250.0",
            "\"DialTimeoutMs\": 0"),
        new Refused("setting PolicyLimits.DialTimeoutMs", "\"DialTimeoutMs\": 250.0, ", ""),
        new Refused("setting PolicyLimits.MaxAttempts", "\"MaxAttempts\": 3", "\"MaxAttempts\": 0"),
        new Refused(
            "setting PolicyLimits.MaxRetryAfterMs",
            "\"MaxRetryAfterMs\": 500.0",
            "\"MaxRetryAfterMs\": 1e11"),
        new Refused("setting PolicyLimits.MostHeld", "\"MostHeld\": 60, ", ""),
        new Refused("setting PolicyLimits.MostHeld", "\"MostHeld\": 60", "\"MostHeld\": 0"),
        new Refused(
            "setting PolicyLimits.StreamsPerConn",
            "\"StreamsPerConn\": 32",
            "\"StreamsPerConn\": 0"),
        new Refused("setting PolicyLimits.Cancel", "\"Cancel\": true", "\"Cancel\": null"),
        new Refused("setting Safety.TipAfterMs", "\"TipAfterMs\": 2000.0", "\"TipAfterMs\": 0"),
        new Refused("setting Safety.WarmUpMs", ", \"WarmUpMs\": 5000.0", ""),
        new Refused(
            "setting Safety.ResendRatio",
            "\"Safety\": {",
            "\"Safety\": {\"ExtraFree\": 0, \"ResendSpanMs\": 1000, "),
        new Refused("settings", "\"settings\": {", "\"settings\": 5, \"others\": {"),
        new Refused("limits.sockets", "\"sockets\": 1024", "\"sockets\": 24"),
        new Refused("limits.sockets", "\"sockets\": 1024", "\"sockets\": \"many\""),
        new Refused("limits.sockets", "\"limits\": {", "\"limits\": 5, \"others\": {"),
        new Refused("discovery", "127.0.0.1:8500", "127.0.0.1:0"),
        new Refused("discovery", "127.0.0.1:8500", "agent\\n:8500"),
        new Refused("seed", "8c1f30d27a5be964", "x"));
  }

  @TempDir Path folder;

  /** Whole, before anything is begun: one line that names the entry and what to do, and exit 2. */
  @ParameterizedTest
  @MethodSource("refused")
  void isRefusedAtTheStart(Refused settings) throws Exception {
    String example = Files.readString(Path.of("example/config.json"));
    assertTrue(example.contains(settings.swap[0]), settings.swap[0]);
    Path file = folder.resolve("config.json");
    // an address that nobody has here: what is not refused ends at once all the same
    Files.writeString(
        file,
        example
            .replace(settings.swap[0], settings.swap[1])
            .replace("127.0.0.1:8081", "192.0.2.1:8081"));
    ByteArrayOutputStream said = new ByteArrayOutputStream();
    int code = MixerServer.run(Map.of("LB_CONFIG", file.toString()), new PrintStream(said, true));
    String line = said.toString(StandardCharsets.UTF_8);
    assertEquals(2, code, line);
    assertTrue(line.matches("gingerring serve: " + settings.entry + "[ :].*\\R"), line);
    assertTrue(!settings.entry.startsWith("setting") || line.contains(": give "), line);
  }

  /** Both grades of the example; the box answers all at once. */
  @ParameterizedTest
  @MethodSource("served")
  void isServed(Served settings) throws Exception {
    try (MixerTestHarness rig = new MixerTestHarness(settings.swaps)) {
      MixerTestHarness.Box box = rig.box("b0", 0);
      answerAll(box);
      rig.announceAndAwaitReady(box);
      MixerTestHarness.Client client = rig.connectClient();
      for (int i = 0; i < 3; i++) {
        client.write(rig.scanRequest("search", 2000, 0, 3));
        assertEquals(
            "200 {\"whole\":true,\"results\":[{\"partition\":0,\"value\":\"v"
                + rig.lastTransactionId()
                + ".0\"},{\"partition\":3,\"value\":\"v"
                + rig.lastTransactionId()
                + ".3\"}]}",
            client.readAnswer());
        client.write(rig.scanRequest("post", 2000, 0));
        assertEquals(
            "200 {\"whole\":true,\"results\":[{\"partition\":0,\"value\":\"v"
                + rig.lastTransactionId()
                + ".0\"}]}",
            client.readAnswer());
      }
      assertTrue(
          rig.server.counts.toString().contains("whole answers 6"), rig.server.counts.toString());
    }
  }

  /** A searcher that has just started is sent something: it is warm later. */
  @Test
  void aColdSearcherAloneIsAsked() throws Exception {
    try (MixerTestHarness rig = new MixerTestHarness()) {
      MixerTestHarness.Box box = rig.box("b0", 0);
      box.upSinceMs = System.currentTimeMillis();
      answerAll(box);
      rig.announceAndAwaitReady(box);
      MixerTestHarness.Client client = rig.connectClient();
      client.write(rig.scanRequest("search", 2000, 0));
      assertTrue(client.readAnswer().startsWith("200"));
    }
  }

  /**
   * By so short a patience the last call was due before the end was announced: it comes at once.
   */
  @Test
  void endsInOrderWhereTheLongestPatienceIsUnderTheLastCall() throws Exception {
    try (MixerTestHarness rig =
        new MixerTestHarness("\"HardLimitMs\": 2000.0", "\"HardLimitMs\": 190.0")) {
      MixerTestHarness.Box box = rig.box("b0", 0);
      rig.announceAndAwaitReady(box);
      MixerTestHarness.Client client = rig.connectClient();
      assertTrue(client.isReady());
      client.write(rig.scanRequest("search", 2000, 0));
      box.acceptConnection().readCall(); // and nothing comes back
      rig.server.loop.post(rig.server::announceEnd);
      String answer = client.readAnswer();
      assertTrue(answer.startsWith("50"), answer);
      assertEquals(0, rig.awaitExitCode());
    }
  }

  /** The box has all that it is asked for, on whatever connection, until the rig ends it. */
  static void answerAll(MixerTestHarness.Box box) {
    daemon(
        () -> {
          while (true) {
            MixerTestHarness.BoxConnection link = box.acceptConnection();
            daemon(
                () -> {
                  while (true) {
                    link.answer(link.readCall(), "done");
                  }
                });
          }
        });
  }

  private interface Work {
    void run() throws IOException;
  }

  private static void daemon(Work work) {
    Thread thread =
        new Thread(
            () -> {
              try {
                work.run();
              } catch (IOException e) {
                // its connection has ended
              }
            },
            "box");
    thread.setDaemon(true);
    thread.start();
  }
}
