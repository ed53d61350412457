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

/** The command line, and through it the whole path: a run is recorded, read, and replayed. */
@Timeout(180)
class GingerringTest {
  private static final String WORLD =
      "{\"seed\": 3, \"boxes\": 12, \"rate\": 30, \"lengthMs\": 6000, "
          + "\"clients\": 400, \"badParts\": 0.01, \"queueMost\": 400, \"pauseMs\": [20, 60]}";

  @TempDir Path folder;
  private String out;
  private String err;

  private int gingerring(Object... args) {
    StringWriter outText = new StringWriter();
    StringWriter errText = new StringWriter();
    int code =
        Gingerring.run(
            new PrintWriter(outText, true),
            new PrintWriter(errText, true),
            Arrays.stream(args).map(Object::toString).toArray(String[]::new));
    out = outText.toString();
    err = errText.toString();
    return code;
  }

  private double agreement(Path recording, Scenario world, double pace, String retries)
      throws Exception {
    Reactor reactor = new Reactor();
    EmulatedStore store = new EmulatedStore(world, reactor, new RuleChecker(world), pace);
    store.startOnFirstPart(Workload.generate(world).get(0).sendAt());
    Thread thread = new Thread(reactor::run);
    thread.start();
    try (MixerProcess mixer =
        MixerProcess.start(world, store.discoveryAddress(), store.memberList(), null)) {
      int code =
          gingerring(
              "replay",
              recording,
              "--to",
              "127.0.0.1:" + mixer.address().getPort(),
              "--pace",
              pace,
              "--late-most",
              1000,
              "--retries",
              retries,
              "--out",
              folder.resolve("x" + pace));
      assertEquals(0, code, out + err);
      Matcher agree = Pattern.compile("([0-9]+) of ([0-9]+) scans agree").matcher(out);
      assertTrue(agree.find(), out);
      assertTrue(Integer.parseInt(agree.group(2)) > 100, out);
      return Double.parseDouble(agree.group(1)) / Double.parseDouble(agree.group(2));
    } finally {
      reactor.stop();
      thread.join(5000);
    }
  }

  @Test
  void aRecordedRunIsReplayedWithTheSameOutcomes() throws Exception {
    Scenario world = Scenario.read(WORLD.getBytes());
    Path recording = folder.resolve("run.pcapng");
    ExperimentRun.Result run = ExperimentRun.run(world, ExperimentRun.Router.MIXER, 1, recording);
    assertEquals(
        0, run.ruleChecker().violationCount(), () -> run.ruleChecker().violations().toString());
    assertEquals(0, run.exitCode());
    assertEquals(0, gingerring("pcap", "info", recording), out + err);
    assertTrue(
        out.contains(" " + run.statistics().attempts + " scans ")
            || out.contains("; " + run.statistics().attempts + " scans"),
        out);
    assertTrue(out.contains("the file is whole"), out);
    assertEquals(0, gingerring("pcap", "scans", recording));
    assertEquals(run.statistics().attempts + 1, out.lines().count());
    assertTrue(agreement(recording, world, 1, "recorded") >= 0.99, out);
    assertTrue(agreement(recording, world, 5, "recorded") >= 0.97, out);
    // only first tries are sent then, and a nack brings its retry, as it did when recorded
    assertTrue(agreement(recording, world, 4, "anew") >= 0.9, out);
    assertFalse(out.contains(", 0 retries made anew"), out);
    assertTrue(Files.size(folder.resolve("x5.0/timelines.png")) > 1000);

    Path cut = folder.resolve("cut.pcapng");
    byte[] bytes = Files.readAllBytes(recording);
    // an odd length: blocks end at multiples of four, and one cut between two of them is whole
    Files.write(cut, Arrays.copyOf(bytes, bytes.length / 2 | 1));
    assertEquals(3, gingerring("pcap", "info", cut));
    assertTrue(out.contains("cut.pcapng: offset "), out);
    Path some = folder.resolve("some.pcap");
    assertEquals(0, gingerring("pcap", "cut", recording, some, "--from", 1, "--to", 3), err);
    assertTrue(Files.size(some) < bytes.length / 2);
  }

  @Test
  void plainRandomChoiceIsFoundOut() throws Exception {
    Scenario world =
        Scenario.read(
            ("{\"boxes\": 6, \"rate\": 60, \"lengthMs\": 5000, \"listLagMs\": 0, "
                    + "\"drainGraceMs\": 200, \"troubles\": [{\"kind\": \"drain\", \"atMs\": 500, \"forMs\": 20000}]}")
                .getBytes());
    ExperimentRun.Result random = ExperimentRun.run(world, ExperimentRun.Router.RANDOM, 1, null);
    assertTrue(
        random.ruleChecker().countsByRule().containsKey(RuleChecker.Rule.DRAIN),
        random.ruleChecker().countsByRule().toString());
  }

  @Test
  void layoutsAreComparedAndPlanned() throws Exception {
    Path before = Path.of("example/layouts/before.json");
    Path after = Path.of("example/layouts/after.json");
    assertEquals(0, gingerring("layout", "check", before), err);
    assertEquals(0, gingerring("layout", "show", before), err);
    assertTrue(out.contains("box box-a: 2 folios, weight 1.5"), out);
    assertEquals(0, gingerring("layout", "diff", before, before), err);
    assertEquals(3, gingerring("layout", "diff", before, after), err);
    assertEquals(0, gingerring("layout", "plan", before, after, "--at-once", 1), err);
    assertTrue(
        out.contains("8: split folio 0 into folio 0 [[0, 600)], folio 4 [[600, 1000)]"), out);
    assertTrue(out.contains("merge [folio 1, folio 4] into folio 3 at [box-b, box-c, box-d]"), out);
    assertEquals(0, gingerring("layout", "plan", after, before), err);
    assertTrue(out.contains("merge [folio 0, folio 4] into folio 0"), out);
    Path hole = folder.resolve("hole.json");
    Files.writeString(
        hole, Files.readString(before).replace("[1000, 2000, 1.5]", "[1100, 2000, 1.5]"));
    assertEquals(1, gingerring("layout", "check", hole));
    assertEquals(
        "gingerring layout check: " + hole + ": keys 1000 to 1100 have no owner, before folio 1",
        err.strip());
    Files.writeString(hole, Files.readString(before).replace("\"box-b\", ", "7, "));
    assertEquals(1, gingerring("layout", "show", hole));
    assertEquals("gingerring layout show: " + hole + ": folios.0: a holder is a name", err.strip());
  }

  @Test
  void badInputIsOnePlainLine() throws Exception {
    Path junk = folder.resolve("junk.pcap");
    Files.writeString(junk, "this is no capture file");
    Path none = folder.resolve("none.pcap");
    assertEquals(1, gingerring("pcap", "info", junk));
    assertEquals(
        "gingerring pcap info: " + junk + ": offset 0: neither pcap nor pcapng", err.strip());
    assertEquals(1, gingerring("pcap", "info", none));
    assertEquals("gingerring pcap info: " + none + ": no such file", err.strip());
    Path made = folder.resolve("made.pcap");
    assertEquals(1, gingerring("pcap", "merge", made, junk));
    assertFalse(Files.exists(made) || Files.exists(folder.resolve("made.pcap.part")));
    assertEquals(2, gingerring("pcap", "cut", junk, junk));
    assertEquals(2, gingerring("replay", junk, "--to", "10.0.0.1:80"));
    assertEquals(2, gingerring("pcap", "flood"));
    assertEquals(2, gingerring());
    Path world = folder.resolve("world.json");
    Files.writeString(world, "{\"boxen\": 1}");
    assertEquals(1, gingerring("experiment", world));
    assertEquals("gingerring experiment: " + world + ": boxen is unknown", err.strip());
    assertEquals(1, gingerring("fleet", "run", world, none)); // each file of a call has its word
    assertTrue(
        err.contains("world: RIG_UNFIT at " + world + ": boxen is unknown; correct the file")
            && err.contains("none.pcap: RIG_UNFIT at " + none + ": no such file"),
        err);
    assertEquals(0, gingerring("--help"));
    assertTrue(out.contains("Exit codes:") && out.contains("generate-completion"), out);
  }
}
