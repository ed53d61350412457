package gingerring.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gingerring.emulator.core.RuleChecker;
import gingerring.emulator.core.Scenario;
import gingerring.emulator.core.Workload;
import gingerring.emulator.experiment.EmulatedStore;
import gingerring.emulator.experiment.ExperimentRun;
import gingerring.emulator.experiment.MixerProcess;
import gingerring.traffic.wire.Reactor;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs the subcommands of the command line. One test covers the whole path: it records a run, reads
 * the recording and replays it.
 */
@Timeout(180)
class GingerringTest {
  private static final String SCENARIO_JSON =
      "{\"seed\": 3, \"boxes\": 12, \"rate\": 30, \"lengthMs\": 6000, "
          + "\"clients\": 400, \"badParts\": 0.01, \"queueMost\": 400, \"pauseMs\": [20, 60]}";

  @TempDir Path tempFolder;
  private String stdout;
  private String stderr;

  private int runCommand(Object... args) {
    StringWriter outText = new StringWriter();
    StringWriter errText = new StringWriter();
    int exitCode =
        Gingerring.run(
            new PrintWriter(outText, true),
            new PrintWriter(errText, true),
            Arrays.stream(args).map(Object::toString).toArray(String[]::new));
    stdout = outText.toString();
    stderr = errText.toString();
    return exitCode;
  }

  private double replayAgreement(Path recording, Scenario scenario, double pace, String retryMode)
      throws Exception {
    Reactor reactor = new Reactor();
    EmulatedStore store = new EmulatedStore(scenario, reactor, new RuleChecker(scenario), pace);
    store.startOnFirstPart(Workload.generate(scenario).get(0).sendAt());
    Thread reactorThread = new Thread(reactor::run);
    reactorThread.start();
    try (MixerProcess mixer =
        MixerProcess.start(scenario, store.discoveryAddress(), store.memberList(), null)) {
      int exitCode =
          runCommand(
              "replay",
              recording,
              "--to",
              "127.0.0.1:" + mixer.address().getPort(),
              "--pace",
              pace,
              "--late-most",
              1000,
              "--retries",
              retryMode,
              "--out",
              tempFolder.resolve("x" + pace));
      assertEquals(0, exitCode, stdout + stderr);
      Matcher agreementLine = Pattern.compile("([0-9]+) of ([0-9]+) scans agree").matcher(stdout);
      assertTrue(agreementLine.find(), stdout);
      assertTrue(Integer.parseInt(agreementLine.group(2)) > 100, stdout);
      return Double.parseDouble(agreementLine.group(1))
          / Double.parseDouble(agreementLine.group(2));
    } finally {
      reactor.stop();
      reactorThread.join(5000);
    }
  }

  @Test
  void replayOfARecordedRunHasTheSameOutcomes() throws Exception {
    Scenario scenario = Scenario.read(SCENARIO_JSON.getBytes());
    Path recording = tempFolder.resolve("run.pcapng");
    ExperimentRun.Result run =
        ExperimentRun.run(scenario, ExperimentRun.Router.MIXER, 1, recording);
    assertEquals(
        0, run.ruleChecker().violationCount(), () -> run.ruleChecker().violations().toString());
    assertEquals(0, run.exitCode());
    assertEquals(0, runCommand("pcap", "info", recording), stdout + stderr);
    assertTrue(
        stdout.contains(" " + run.statistics().attempts + " scans ")
            || stdout.contains("; " + run.statistics().attempts + " scans"),
        stdout);
    assertTrue(stdout.contains("the file is whole"), stdout);
    assertEquals(0, runCommand("pcap", "scans", recording));
    assertEquals(run.statistics().attempts + 1, stdout.lines().count());
    assertTrue(replayAgreement(recording, scenario, 1, "recorded") >= 0.99, stdout);
    assertTrue(replayAgreement(recording, scenario, 5, "recorded") >= 0.97, stdout);
    // Here only first attempts are sent from the recording; a rejection in the replay triggers a
    // generated retry, as it triggered the recorded one.
    assertTrue(replayAgreement(recording, scenario, 4, "anew") >= 0.9, stdout);
    assertFalse(stdout.contains(", 0 retries made anew"), stdout);
    assertTrue(Files.size(tempFolder.resolve("x5.0/timelines.png")) > 1000);

    Path truncated = tempFolder.resolve("cut.pcapng");
    byte[] bytes = Files.readAllBytes(recording);
    // An odd length: blocks end at multiples of four, and a file truncated between two blocks
    // would count as complete.
    Files.write(truncated, Arrays.copyOf(bytes, bytes.length / 2 | 1));
    assertEquals(3, runCommand("pcap", "info", truncated));
    assertTrue(stdout.contains("cut.pcapng: offset "), stdout);
    Path excerpt = tempFolder.resolve("some.pcap");
    assertEquals(0, runCommand("pcap", "cut", recording, excerpt, "--from", 1, "--to", 3), stderr);
    assertTrue(Files.size(excerpt) < bytes.length / 2);
  }

  @Test
  void randomChoiceBreaksTheDrainRule() throws Exception {
    Scenario scenario =
        Scenario.read(
            ("{\"boxes\": 6, \"rate\": 60, \"lengthMs\": 5000, \"listLagMs\": 0, "
                    + "\"drainGraceMs\": 200, \"troubles\": [{\"kind\": \"drain\", \"atMs\": 500, \"forMs\": 20000}]}")
                .getBytes());
    ExperimentRun.Result random = ExperimentRun.run(scenario, ExperimentRun.Router.RANDOM, 1, null);
    assertTrue(
        random.ruleChecker().countsByRule().containsKey(RuleChecker.Rule.DRAIN),
        random.ruleChecker().countsByRule().toString());
  }

  @Test
  void comparesAndPlansLayouts() throws Exception {
    Path before = Path.of("example/layouts/before.json");
    Path after = Path.of("example/layouts/after.json");
    assertEquals(0, runCommand("layout", "check", before), stderr);
    assertEquals(0, runCommand("layout", "show", before), stderr);
    assertTrue(stdout.contains("box box-a: 2 folios, weight 1.5"), stdout);
    assertEquals(0, runCommand("layout", "diff", before, before), stderr);
    assertEquals(3, runCommand("layout", "diff", before, after), stderr);
    assertEquals(0, runCommand("layout", "plan", before, after, "--at-once", 1), stderr);
    assertTrue(
        stdout.contains("8: split folio 0 into folio 0 [[0, 600)], folio 4 [[600, 1000)]"), stdout);
    assertTrue(
        stdout.contains("merge [folio 1, folio 4] into folio 3 at [box-b, box-c, box-d]"), stdout);
    assertEquals(0, runCommand("layout", "plan", after, before), stderr);
    assertTrue(stdout.contains("merge [folio 0, folio 4] into folio 0"), stdout);
    Path invalidLayout = tempFolder.resolve("hole.json");
    Files.writeString(
        invalidLayout, Files.readString(before).replace("[1000, 2000, 1.5]", "[1100, 2000, 1.5]"));
    assertEquals(1, runCommand("layout", "check", invalidLayout));
    assertEquals(
        "gingerring layout check: "
            + invalidLayout
            + ": keys 1000 to 1100 have no owner, before folio 1",
        stderr.strip());
    Files.writeString(invalidLayout, Files.readString(before).replace("\"box-b\", ", "7, "));
    assertEquals(1, runCommand("layout", "show", invalidLayout));
    assertEquals(
        "gingerring layout show: " + invalidLayout + ": folios.0: a holder is a name",
        stderr.strip());
  }

  @Test
  void invalidInputPrintsOneLine() throws Exception {
    Path notACapture = tempFolder.resolve("junk.pcap");
    Files.writeString(notACapture, "not a capture file");
    Path missing = tempFolder.resolve("none.pcap");
    assertEquals(1, runCommand("pcap", "info", notACapture));
    assertEquals(
        "gingerring pcap info: " + notACapture + ": offset 0: neither pcap nor pcapng",
        stderr.strip());
    assertEquals(1, runCommand("pcap", "info", missing));
    assertEquals("gingerring pcap info: " + missing + ": no such file", stderr.strip());
    Path merged = tempFolder.resolve("made.pcap");
    assertEquals(1, runCommand("pcap", "merge", merged, notACapture));
    assertFalse(Files.exists(merged) || Files.exists(tempFolder.resolve("made.pcap.part")));
    assertEquals(2, runCommand("pcap", "cut", notACapture, notACapture));
    assertEquals(2, runCommand("replay", notACapture, "--to", "10.0.0.1:80"));
    assertEquals(2, runCommand("pcap", "flood"));
    assertEquals(2, runCommand());
    Path invalidScenario = tempFolder.resolve("world.json");
    Files.writeString(invalidScenario, "{\"boxen\": 1}");
    assertEquals(1, runCommand("experiment", invalidScenario));
    assertEquals(
        "gingerring experiment: " + invalidScenario + ": boxen is unknown", stderr.strip());
    assertEquals(
        1, runCommand("fleet", "run", invalidScenario, missing)); // each file gets its own message
    assertTrue(
        stderr.contains(
                "world: RIG_UNFIT at " + invalidScenario + ": boxen is unknown; correct the file")
            && stderr.contains("none.pcap: RIG_UNFIT at " + missing + ": no such file"),
        stderr);
    assertEquals(0, runCommand("--help"));
    assertTrue(stdout.contains("Exit codes:") && stdout.contains("generate-completion"), stdout);
  }
}
