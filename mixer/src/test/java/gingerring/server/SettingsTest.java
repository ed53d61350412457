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
 * Tests settings that other deployments may use: a mixer in this process either serves scans with
 * them or rejects them at start.
 */
@Timeout(120)
class SettingsTest {
  /** A description, and alternating texts of the example's configuration and their replacements. */
  record AcceptedSettings(String description, String... replacements) {
    @Override
    public String toString() {
      return description;
    }
  }

  static List<AcceptedSettings> acceptedSettings() {
    return List.of(
        new AcceptedSettings(
            "a deadline below the dial timeout",
            "\"DialTimeoutMs\": 250.0",
            "\"DialTimeoutMs\": 5000"),
        new AcceptedSettings(
            "a latency target above the deadline", "\"AimMs\": 600.0", "\"AimMs\": 9000.0"),
        new AcceptedSettings(
            "a window shorter than one trip", "\"WindowMs\": 5000.0", "\"WindowMs\": 0.1"),
        new AcceptedSettings("an empty window", "\"WindowMs\": 5000.0", "\"WindowMs\": 0"),
        new AcceptedSettings("a service class of value 0", "\"Worth\": 5.0", "\"Worth\": 0"),
        new AcceptedSettings("a service class without a value", ", \"Worth\": 5.0", ""),
        new AcceptedSettings("a minimum share of 0", "[0.4, 1.0]", "[0, 1.0]"),
        new AcceptedSettings("no zone", "[\"a\"]", "[]"),
        new AcceptedSettings("no probes", "\"Probing\": true", "\"Probing\": false"),
        new AcceptedSettings("no cancellation", "\"Cancel\": true", "\"Cancel\": false"),
        new AcceptedSettings(
            "no hedged trips, no cancellation",
            "\"SecondCopies\": true",
            "\"SecondCopies\": false",
            "\"Cancel\": true",
            "\"Cancel\": false"),
        new AcceptedSettings("one attempt", "\"MaxAttempts\": 3", "\"MaxAttempts\": 1"),
        new AcceptedSettings("a batch of one", "\"Batch\": 4", "\"Batch\": 1"),
        new AcceptedSettings(
            "a batch size that is never reached", "\"Batch\": 4", "\"Batch\": 1000000000"),
        new AcceptedSettings(
            "one stream per connection", "\"StreamsPerConn\": 32", "\"StreamsPerConn\": 1"),
        new AcceptedSettings(
            "an idle timeout below the dial timeout",
            "\"ConnIdleMs\": 30000.0",
            "\"ConnIdleMs\": 100"),
        new AcceptedSettings("no fleet size", "\"FleetSize\": 1,", ""),
        new AcceptedSettings(
            "an idle timeout of 0", "\"ConnIdleMs\": 30000.0", "\"ConnIdleMs\": 0"),
        new AcceptedSettings(
            "a drain grace of 0.5 s", "\"DrainGraceMs\": 250.0", "\"DrainGraceMs\": 500"),
        new AcceptedSettings("no drain grace", "\"DrainGraceMs\": 250.0", "\"DrainGraceMs\": 0"),
        new AcceptedSettings("no warm-up", "\"WarmUpMs\": 5000.0", "\"WarmUpMs\": 0"),
        new AcceptedSettings(
            "no time after which a cold searcher is ejected", ", \"TipAfterMs\": 2000.0", ""),
        new AcceptedSettings("a limit of one open scan", "\"MostHeld\": 60", "\"MostHeld\": 3"),
        new AcceptedSettings("more replicas than cells", "\"Reach\": 2", "\"Reach\": 9"),
        new AcceptedSettings("one cell", "\"Places\": 4", "\"Places\": 1"),
        new AcceptedSettings(
            "no retry hint", "\"MaxRetryAfterMs\": 500.0", "\"MaxRetryAfterMs\": 0"),
        new AcceptedSettings(
            "no load reports",
            "{\"Columns\": [\"depth\", \"concurrent\"], \"Source\": \"answers\"}",
            "{\"Columns\": [], \"Source\": \"none\"}"),
        new AcceptedSettings(
            "a retry budget of 0",
            "\"Safety\": {",
            "\"Safety\": {\"ExtraFree\": 0, \"ResendRatio\": 0, \"ResendSpanMs\": 1000, "),
        new AcceptedSettings("member lists on request", "\"automatic\"", "\"subscribe\""),
        new AcceptedSettings(
            "member lists on request, no cancellation, short timeouts",
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
        new AcceptedSettings(
            "calls of several parts on connections with few streams",
            "\"StreamsPerConn\": 32",
            "\"StreamsPerConn\": 5",
            "\"Probing\": true",
            "\"Probing\": false",
            "\"ConnIdleMs\": 30000.0",
            "\"ConnIdleMs\": 800",
            "\"MaxAttempts\": 3",
            "\"MaxAttempts\": 2"),
        new AcceptedSettings("256 descriptors", "\"sockets\": 1024", "\"sockets\": 256"),
        new AcceptedSettings(
            "no resource limits",
            "\"limits\": {\"cores\": 1.0, \"memory_mb\": 192, \"sockets\": 1024},",
            ""),
        new AcceptedSettings("limits without a descriptor limit", ", \"sockets\": 1024", ""),
        new AcceptedSettings("few descriptors", "\"sockets\": 1024", "\"sockets\": 64"));
  }

  /**
   * The entry that the error line names, and a text of the example's configuration and its
   * replacement.
   */
  record RejectedSettings(String entry, String... replacement) {
    @Override
    public String toString() {
      return entry + ": " + replacement[1];
    }
  }

  static List<RejectedSettings> rejectedSettings() {
    return List.of(
        new RejectedSettings("setting Classes", "\"Classes\": [", "\"Classes\": [], \"Others\": ["),
        new RejectedSettings("setting Classes.0.Name", "\"Name\": \"search\", ", ""),
        new RejectedSettings("setting Classes.1.Name", "\"post\"", "\"search\""),
        new RejectedSettings("setting Classes.1.Name", "\"post\"", "\"lan\u00e7amento\""),
        new RejectedSettings("setting Classes.0.AimMs", "\"AimMs\": 600.0, ", ""),
        new RejectedSettings("setting Classes.0.AimMs", "\"AimMs\": 600.0", "\"AimMs\": 0"),
        new RejectedSettings("setting Classes.0.AimMs", "\"AimMs\": 600.0", "\"AimMs\": \"a\\nb\""),
        new RejectedSettings(
            "setting Classes.0.HardLimitMs", "\"HardLimitMs\": 2000.0", "\"HardLimitMs\": 10"),
        new RejectedSettings(
            "setting Classes.0.Idempotency", "\"Idempotency\": \"idempotent\", ", ""),
        new RejectedSettings("setting Classes.0.Idempotency", "\"idempotent\"", "\"safe\""),
        new RejectedSettings(
            "setting Classes.1.WindowMs",
            "\"LateWorth\": 0.0,\n       \"WindowMs\": 5000.0",
            "\"LateWorth\": 0.0"),
        new RejectedSettings(
            "setting Classes.0.LateWorth", "\"LateWorth\": 0.3", "\"LateWorth\": 30"),
        new RejectedSettings("setting Discovery", "\"Discovery\": \"automatic\",", ""),
        new RejectedSettings("setting Discovery", "\"automatic\"", "\"push\""),
        new RejectedSettings("setting Domain.Batch", "\"Batch\": 4", "\"Batch\": 0"),
        new RejectedSettings("setting Domain.ClassFloor", "[0.4, 1.0]", "[0.4]"),
        new RejectedSettings("setting Domain.ClassFetch", "[0, 0]", "[0, 2]"),
        new RejectedSettings(
            "setting Domain.NeedByClass", "\"NeedByClass\": [1.0, 1.0]", "\"NeedByClass\": [0, 1]"),
        new RejectedSettings("setting Domain.Places", "\"Places\": 4", "\"Places\": 0"),
        new RejectedSettings("setting Domain.Reach", "\"Reach\": 2, ", ""),
        new RejectedSettings("setting Domain.Slices", "\"Slices\": 8", "\"Slices\": 1e300"),
        new RejectedSettings("setting FleetSize", "\"FleetSize\": 1,", "\"FleetSize\": 0,"),
        new RejectedSettings("setting Zones", ",\n    \"Zones\": [\"a\"]", ""),
        new RejectedSettings("setting Skus", "\"Skus\": [\"toy\"],", ""),
        new RejectedSettings("setting PolicyLimits.ConnIdleMs", "\"ConnIdleMs\": 30000.0, ", ""),
        new RejectedSettings(
            "setting PolicyLimits.ConnIdleMs", "\"ConnIdleMs\": 30000.0", "\"ConnIdleMs\": -1"),
        new RejectedSettings(
            "setting PolicyLimits.DialTimeoutMs",
            "\"DialTimeoutMs\": 250.0",
            "\"DialTimeoutMs\": 0"),
        new RejectedSettings(
            "setting PolicyLimits.DialTimeoutMs", "\"DialTimeoutMs\": 250.0, ", ""),
        new RejectedSettings(
            "setting PolicyLimits.MaxAttempts", "\"MaxAttempts\": 3", "\"MaxAttempts\": 0"),
        new RejectedSettings(
            "setting PolicyLimits.MaxRetryAfterMs",
            "\"MaxRetryAfterMs\": 500.0",
            "\"MaxRetryAfterMs\": 1e11"),
        new RejectedSettings("setting PolicyLimits.MostHeld", "\"MostHeld\": 60, ", ""),
        new RejectedSettings(
            "setting PolicyLimits.MostHeld", "\"MostHeld\": 60", "\"MostHeld\": 0"),
        new RejectedSettings(
            "setting PolicyLimits.StreamsPerConn",
            "\"StreamsPerConn\": 32",
            "\"StreamsPerConn\": 0"),
        new RejectedSettings("setting PolicyLimits.Cancel", "\"Cancel\": true", "\"Cancel\": null"),
        new RejectedSettings(
            "setting Safety.TipAfterMs", "\"TipAfterMs\": 2000.0", "\"TipAfterMs\": 0"),
        new RejectedSettings("setting Safety.WarmUpMs", ", \"WarmUpMs\": 5000.0", ""),
        new RejectedSettings(
            "setting Safety.ResendRatio",
            "\"Safety\": {",
            "\"Safety\": {\"ExtraFree\": 0, \"ResendSpanMs\": 1000, "),
        new RejectedSettings("settings", "\"settings\": {", "\"settings\": 5, \"others\": {"),
        new RejectedSettings("limits.sockets", "\"sockets\": 1024", "\"sockets\": 24"),
        new RejectedSettings("limits.sockets", "\"sockets\": 1024", "\"sockets\": \"many\""),
        new RejectedSettings("limits.sockets", "\"limits\": {", "\"limits\": 5, \"others\": {"),
        new RejectedSettings("discovery", "127.0.0.1:8500", "127.0.0.1:0"),
        new RejectedSettings("discovery", "127.0.0.1:8500", "agent\\n:8500"),
        new RejectedSettings("seed", "8c1f30d27a5be964", "x"));
  }

  @TempDir Path directory;

  /**
   * The whole configuration is checked before anything is started: one line names the entry and the
   * remedy, and the exit code is 2.
   */
  @ParameterizedTest
  @MethodSource("rejectedSettings")
  void rejectsInvalidSettingsAtStart(RejectedSettings settings) throws Exception {
    String example = Files.readString(Path.of("example/config.json"));
    assertTrue(example.contains(settings.replacement[0]), settings.replacement[0]);
    Path file = directory.resolve("config.json");
    // No local interface has this address, so a mixer that accepts the settings exits at once, too.
    Files.writeString(
        file,
        example
            .replace(settings.replacement[0], settings.replacement[1])
            .replace("127.0.0.1:8081", "192.0.2.1:8081"));
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    int exitCode =
        MixerServer.run(Map.of("LB_CONFIG", file.toString()), new PrintStream(output, true));
    String line = output.toString(StandardCharsets.UTF_8);
    assertEquals(2, exitCode, line);
    assertTrue(line.matches("gingerring serve: " + settings.entry + "[ :].*\\R"), line);
    assertTrue(!settings.entry.startsWith("setting") || line.contains(": give "), line);
  }

  /** Sends scans of both service classes of the example; the box answers every call at once. */
  @ParameterizedTest
  @MethodSource("acceptedSettings")
  void servesScansWithTheseSettings(AcceptedSettings settings) throws Exception {
    try (MixerTestHarness harness = new MixerTestHarness(settings.replacements)) {
      MixerTestHarness.Box box = harness.box("b0", 0);
      answerAllCalls(box);
      harness.announceAndAwaitReady(box);
      MixerTestHarness.Client client = harness.connectClient();
      for (int i = 0; i < 3; i++) {
        client.write(harness.scanRequest("search", 2000, 0, 3));
        assertEquals(
            "200 {\"whole\":true,\"results\":[{\"partition\":0,\"value\":\"v"
                + harness.lastTransactionId()
                + ".0\"},{\"partition\":3,\"value\":\"v"
                + harness.lastTransactionId()
                + ".3\"}]}",
            client.readAnswer());
        client.write(harness.scanRequest("post", 2000, 0));
        assertEquals(
            "200 {\"whole\":true,\"results\":[{\"partition\":0,\"value\":\"v"
                + harness.lastTransactionId()
                + ".0\"}]}",
            client.readAnswer());
      }
      assertTrue(
          harness.server.counts.toString().contains("whole answers 6"),
          harness.server.counts.toString());
    }
  }

  /** Guards against a searcher that has just started, gets no scans and so never warms up. */
  @Test
  void coldSearcherGetsScansIfItIsTheOnlyOne() throws Exception {
    try (MixerTestHarness harness = new MixerTestHarness()) {
      MixerTestHarness.Box box = harness.box("b0", 0);
      box.upSinceMs = System.currentTimeMillis();
      answerAllCalls(box);
      harness.announceAndAwaitReady(box);
      MixerTestHarness.Client client = harness.connectClient();
      client.write(harness.scanRequest("search", 2000, 0));
      assertTrue(client.readAnswer().startsWith("200"));
    }
  }

  /**
   * With so short a deadline the final phase of the shutdown would start before the shutdown is
   * announced; it starts at once instead.
   */
  @Test
  void shutsDownInOrderIfTheLongestDeadlineIsShort() throws Exception {
    try (MixerTestHarness harness =
        new MixerTestHarness("\"HardLimitMs\": 2000.0", "\"HardLimitMs\": 190.0")) {
      MixerTestHarness.Box box = harness.box("b0", 0);
      harness.announceAndAwaitReady(box);
      MixerTestHarness.Client client = harness.connectClient();
      assertTrue(client.isReady());
      client.write(harness.scanRequest("search", 2000, 0));
      box.acceptConnection().readCall(); // the box does not answer
      harness.server.loop.post(harness.server::beginShutdown);
      String answer = client.readAnswer();
      assertTrue(answer.startsWith("50"), answer);
      assertEquals(0, harness.awaitExitCode());
    }
  }

  /** Accepts connections to the box and answers every call until the harness closes the box. */
  static void answerAllCalls(MixerTestHarness.Box box) {
    runInBackground(
        () -> {
          while (true) {
            MixerTestHarness.BoxConnection connection = box.acceptConnection();
            runInBackground(
                () -> {
                  while (true) {
                    connection.answer(connection.readCall(), "done");
                  }
                });
          }
        });
  }

  private interface IoTask {
    void run() throws IOException;
  }

  private static void runInBackground(IoTask task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException e) {
                // The connection has ended.
              }
            },
            "box");
    thread.setDaemon(true);
    thread.start();
  }
}
