package gingerring.cli;

import gingerring.emulator.core.Scenario;
import gingerring.emulator.experiment.LineCharts;
import gingerring.emulator.harness.Fleet;
import gingerring.emulator.harness.FleetScenario;
import gingerring.emulator.harness.HarnessError;
import gingerring.emulator.harness.OverlappingFaults;
import gingerring.emulator.simulation.PeerSimulation;
import gingerring.emulator.simulation.ProbeSimulation;
import gingerring.emulator.simulation.RoutingSimulation;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** What many mixers' choices add up to, in simulated time. */
@Command(
    name = "fleet",
    mixinStandardHelpOptions = true,
    description =
        "Plays many mixers in simulated time, or as processes; a seed gives one schedule.")
final class FleetCommand implements Runnable {
  @Spec private CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(
        spec.commandLine(), "a command is needed: choices, probes, talk, run, overlap");
  }

  /** One table on the terminal, and as CSV and chart where a folder is given. */
  private final class Table {
    private final PrintWriter out = spec.commandLine().getOut();
    private final List<String> rows = new ArrayList<>();
    private final Map<String, Map<Integer, Double>> series = new TreeMap<>();

    Table(String... names) {
      row((Object[]) names);
    }

    void row(Object... cells) {
      List<String> texts = new ArrayList<>();
      for (Object cell : cells) {
        texts.add(
            cell instanceof Double number
                ? String.format(Locale.ROOT, "%.3f", number)
                : cell.toString());
      }
      rows.add(String.join(",", texts));
      texts.replaceAll(text -> String.format("%14s", text));
      out.println(String.join("", texts));
      out.flush();
    }

    void point(String name, int mixers, double value) {
      // decades side by side
      series
          .computeIfAbsent(name, each -> new TreeMap<>())
          .put((int) Math.round(Math.log10(mixers)), value);
    }

    void write(Path folder, String name, String title, String what) throws IOException {
      if (folder != null) {
        Files.createDirectories(folder);
        Files.write(folder.resolve(name + ".csv"), rows);
        if (title == null) {
          return;
        }
        LineCharts.write(
            folder.resolve(name + ".png"),
            title + " (simulated time)",
            "mixers, power of ten",
            what,
            series);
      }
    }
  }

  @Command(
      name = "choices",
      mixinStandardHelpOptions = true,
      description =
          "Which holder each mixer gives its parts to: evenness of boxes, connections, waits.")
  void choices(
      @Option(
              names = "--mixers",
              split = ",",
              defaultValue = "10,100,1000,10000",
              description = "Fleet sizes.")
          int[] sizes,
      @Option(names = "--boxes", defaultValue = "60") int boxes,
      @Option(names = "--copies", defaultValue = "3", description = "Holders of each folio.")
          int copies,
      @Option(
              names = "--keep",
              defaultValue = "2",
              description = "How many of them a cover prefers.")
          int keep,
      @Option(
              names = "--use",
              defaultValue = "0.55",
              description = "Share of the boxes' capacity asked for.")
          double use,
      @Option(names = "--seconds", defaultValue = "60", description = "Simulated seconds.")
          double seconds,
      @Option(names = "--seed", defaultValue = "1") long seed,
      @Option(names = "--out", description = "A folder for table and chart.") Path folder)
      throws IOException {
    least("--mixers", Arrays.stream(sizes).min().orElse(0), 1);
    least("--boxes", boxes, 1);
    least("--keep", keep, 1);
    if (copies < 1 || copies > boxes || !(use > 0) || !(seconds > 0)) {
      throw new IllegalArgumentException(
          "--copies has to be 1 to --boxes, --use and --seconds above 0");
    }
    Table table =
        new Table(
            "mixers",
            "choice",
            "largest/mean",
            "lines mean",
            "lines most",
            "p50 ms",
            "p99 ms",
            "parts");
    for (int size : sizes) {
      for (RoutingSimulation.Policy policy : RoutingSimulation.Policy.values()) {
        RoutingSimulation.Result result =
            RoutingSimulation.run(
                new RoutingSimulation.Setup(size, boxes, copies, keep, use, seconds, seed), policy);
        table.row(
            size,
            policy,
            result.maxOverMeanBusyTime(),
            result.meanConnections(),
            result.maxConnections(),
            result.p50Ms(),
            result.p99Ms(),
            result.parts());
        table.point(policy.name(), size, result.maxOverMeanBusyTime());
      }
    }
    table.write(folder, "choices", "The busiest box over the mean", "largest / mean");
  }

  @Command(
      name = "probes",
      mixinStandardHelpOptions = true,
      description =
          "Who asks whether a benched box is back: probes at the box, and how late it is found.")
  void probes(
      @Option(
              names = "--mixers",
              split = ",",
              defaultValue = "10,100,1000,10000",
              description = "Fleet sizes.")
          int[] sizes,
      @Option(
              names = "--stopped",
              defaultValue = "0.3",
              description = "Share of mixers that are gone unnoticed.")
          double stopped,
      @Option(
              names = "--lost",
              defaultValue = "0.05",
              description = "Share of words that do not arrive.")
          double lost,
      @Option(
              names = "--back",
              defaultValue = "30",
              description = "When the box answers again, in seconds.")
          double back,
      @Option(
              names = "--seeds",
              defaultValue = "5",
              description = "So many seeds from 1 on; means are told.")
          int seeds,
      @Option(names = "--out", description = "A folder for table and chart.") Path folder)
      throws IOException {
    least("--mixers", Arrays.stream(sizes).min().orElse(0), 1);
    least("--seeds", seeds, 1);
    if (!(stopped >= 0 && stopped < 1) || !(lost >= 0 && lost <= 1) || !(back > 0)) {
      throw new IllegalArgumentException(
          "--stopped has to be 0 to below 1, --lost 0 to 1, --back above 0");
    }
    Table table =
        new Table("mixers", "way", "probes/s", "most in 1 s", "found after s", "latest s");
    for (int size : sizes) {
      for (ProbeSimulation.Strategy way : ProbeSimulation.Strategy.values()) {
        double rate = 0;
        int most = 0;
        double found = 0;
        double latest = 0;
        for (int seed = 1; seed <= seeds; seed++) {
          ProbeSimulation.Result result =
              ProbeSimulation.run(new ProbeSimulation.Setup(size, stopped, lost, back, seed), way);
          rate += result.probesPerSecond() / seeds;
          most = Math.max(most, result.maxInOneSecond());
          found += result.detectionSeconds() / seeds;
          latest = Math.max(latest, result.detectionSeconds());
        }
        table.row(size, way, rate, most, found, latest);
        table.point(way.name(), size, Math.log10(rate));
      }
    }
    table.write(folder, "probes", "Probes of one benched box", "probes a second, power of ten");
  }

  @Command(
      name = "talk",
      mixinStandardHelpOptions = true,
      description =
          "What mixers that talk know, send and ask, with faults by message, in simulated time.")
  void talk(
      @Option(
              names = "--mixers",
              split = ",",
              defaultValue = "10,32,100,320",
              description = "Fleet sizes.")
          int[] sizes,
      @Option(names = "--seconds", defaultValue = "90", description = "Simulated seconds.")
          double seconds,
      @Option(
              names = "--seeds",
              defaultValue = "3",
              description = "So many seeds from 1 on; worst are told.")
          int seeds,
      @Option(
              names = "--cases",
              split = ",",
              description = "Only these cases, by name; all where none is named.")
          List<String> only,
      @Option(names = "--out", description = "A folder for table and chart.") Path folder)
      throws IOException {
    least("--mixers", Arrays.stream(sizes).min().orElse(0), 4);
    Set<String> known = cases(16, seconds).keySet();
    if (only != null && !known.containsAll(only)) {
      throw new IllegalArgumentException(
          "--cases has " + only + "; known are " + String.join(", ", known));
    }
    least("--seeds", seeds, 1);
    Table table =
        new Table(
            "mixers",
            "case",
            "bytes/s mean",
            "bytes/s most",
            "known s",
            "wrongly gone",
            "strangers",
            "asks/s a box",
            "found s",
            "all found s",
            "sound doubted",
            "demand x");
    for (int size : sizes) {
      for (Map.Entry<String, List<PeerSimulation.Fault>> each : cases(size, seconds).entrySet()) {
        if (only != null && !only.contains(each.getKey())) {
          continue;
        }
        double[] worst = new double[10];
        for (int seed = 1; seed <= seeds; seed++) {
          PeerSimulation.Result result =
              PeerSimulation.run(
                  PeerSimulation.Setup.defaults(size, seconds, seed, each.getValue()));
          double asks = 0;
          for (int second = 30; second < 50; second++) {
            asks += result.deadBoxProbes.getOrDefault(second, 0) / 20.0 / 2;
          }
          double[] now = {
            result.bytesBySecond.stream()
                .skip(10)
                .mapToDouble(bytes -> bytes[1])
                .average()
                .orElse(0),
            result.bytesBySecond.stream().skip(10).mapToDouble(bytes -> bytes[0]).max().orElse(0),
            result.detectionTimesMs.stream()
                .mapToDouble(ms -> ms / 1000)
                .filter(s -> !Double.isNaN(s))
                .max()
                .orElse(0),
            result.falselyMarkedGone,
            result.unknownPairs,
            asks,
            result.recoveryTimesMs.stream()
                .mapToDouble(found -> found[0] / 1000)
                .filter(Double::isFinite)
                .max()
                .orElse(0),
            result.recoveryTimesMs.stream()
                .mapToDouble(found -> found[1] / 1000)
                .filter(Double::isFinite)
                .max()
                .orElse(0),
            result.maxFailureShareOfLiveBox,
            result.maxDemandRatio
          };
          for (int i = 0; i < now.length; i++) {
            worst[i] = Math.max(worst[i], now[i]);
          }
        }
        table.row(
            size,
            each.getKey(),
            worst[0],
            worst[1],
            worst[2],
            (int) worst[3],
            (int) worst[4],
            worst[5],
            worst[6],
            worst[7],
            worst[8],
            worst[9]);
        table.point(each.getKey(), size, worst[0]);
      }
    }
    table.write(folder, "talk", "What a mixer sends its peers", "bytes a second, mean");
  }

  /** Cases by name: two boxes are dead from 20 to 60 s in all but the first. */
  private static Map<String, List<PeerSimulation.Fault>> cases(int size, double seconds) {
    PeerSimulation.Fault dead =
        fault(PeerSimulation.Fault.Kind.BOXES_DEAD, 20_000, 40_000, PeerSimulation.range(1, 2));
    Map<String, List<PeerSimulation.Fault>> cases = new LinkedHashMap<>();
    cases.put("calm", List.of());
    cases.put("boxes dead", List.of(dead));
    cases.put(
        "one gone",
        List.of(
            dead, fault(PeerSimulation.Fault.Kind.KILL, 25_000, 1e9, PeerSimulation.range(3, 1))));
    cases.put(
        "7/10 killed",
        List.of(
            dead,
            fault(
                PeerSimulation.Fault.Kind.KILL,
                30_000,
                900,
                PeerSimulation.range(size - size * 7 / 10, size * 7 / 10))));
    cases.put(
        "halves",
        List.of(
            dead,
            new PeerSimulation.Fault(
                PeerSimulation.Fault.Kind.CUT,
                25_000,
                20_000,
                PeerSimulation.range(0, size / 2),
                PeerSimulation.range(size / 2, size - size / 2),
                0)));
    cases.put(
        "stopped",
        List.of(
            dead,
            fault(PeerSimulation.Fault.Kind.STOP, 30_000, 10_000, PeerSimulation.range(1, 2))));
    cases.put(
        "one lies",
        List.of(dead, fault(PeerSimulation.Fault.Kind.LIE, 0, 1e9, PeerSimulation.range(3, 1))));
    cases.put(
        "3/16 lie",
        List.of(
            dead,
            fault(
                PeerSimulation.Fault.Kind.LIE,
                0,
                1e9,
                PeerSimulation.range(1, Math.max(1, size * 3 / 16)))));
    cases.put(
        "greed",
        List.of(dead, fault(PeerSimulation.Fault.Kind.GREED, 0, 1e9, PeerSimulation.range(3, 1))));
    cases.put(
        "repeats",
        List.of(dead, fault(PeerSimulation.Fault.Kind.REPEAT, 0, 1e9, PeerSimulation.range(3, 1))));
    cases.put(
        "false claims",
        List.of(dead, fault(PeerSimulation.Fault.Kind.CLAIM, 0, 1e9, PeerSimulation.range(3, 1))));
    return cases;
  }

  private static PeerSimulation.Fault fault(
      PeerSimulation.Fault.Kind kind, double at, double span, Set<Integer> some) {
    return new PeerSimulation.Fault(kind, at, span, some, Set.of(), 0);
  }

  @Command(
      name = "run",
      mixinStandardHelpOptions = true,
      description =
          "Starts real mixers as processes before an emulated store, with faults on every link.")
  int run(
      @Parameters(
              paramLabel = "FILE",
              description = "the run, described in JSON; several are played in turn")
          List<Path> files,
      @Option(names = "--out", description = "A folder for the table.") Path folder)
      throws IOException {
    Table table =
        new Table(
            "run",
            "mixers",
            "peers",
            "service",
            "rules broken",
            "excused",
            "crashes",
            "asks",
            "lines made",
            "lines most",
            "list calls",
            "largest/mean",
            "bytes/s/mixer",
            "there least",
            "held",
            "stall ms",
            "verdict");
    Set<Integer> codes = new TreeSet<>();
    for (Path file : files) {
      String name = file.getFileName().toString().replaceAll("\\.json$", "");
      try {
        codes.add(played(table, name, FleetScenario.read(Files.readAllBytes(file))));
      } catch (Scenario.InvalidScenario | NoSuchFileException e) {
        told(name, new HarnessError.InvalidScenarioFile(file, e).getMessage());
        codes.add(1);
      }
    }
    table.write(folder, "fleet-run", null, null);
    return codes.contains(1) ? 1 : codes.contains(Gingerring.VERDICT) ? Gingerring.VERDICT : 0;
  }

  @Command(
      name = "overlap",
      mixinStandardHelpOptions = true,
      description =
          "Writes the description of a run whose faults overlap, drawn from a seed, for fleet run.")
  void overlap(
      @Option(names = "--seed", defaultValue = "1") long seed,
      @Option(names = "--mixers", defaultValue = "9") int mixers,
      @Option(names = "--boxes", defaultValue = "12") int boxes,
      @Option(names = "--seconds", defaultValue = "25", description = "Length of the run.")
          int seconds) {
    least("--mixers", mixers, 2);
    least("--boxes", boxes, 4);
    least("--seconds", seconds, 5);
    spec.commandLine()
        .getOut()
        .print(OverlappingFaults.generate(seed, mixers, boxes, seconds * 1000L));
    spec.commandLine().getOut().flush();
  }

  /** One run's row and all that is wrong with it; returns its exit code. */
  private int played(Table table, String name, FleetScenario plan) throws IOException {
    Fleet.Result result = Fleet.run(plan);
    table.row(
        name,
        plan.mixers(),
        plan.peersEnabled(),
        result.clientStatistics.serviceLevel(),
        result.ruleChecker.violationCount(),
        (int) result.ruleChecker.exempted(),
        result.crashes.size(),
        result.probeCount(0, Integer.MAX_VALUE),
        (int) result.connectionCounts[0],
        (int) result.connectionCounts[1],
        (int) result.discoveryCalls,
        result.peakToMeanLoad(),
        result.datagramCounts[1] / Math.max(1e-9, result.elapsedSeconds) / plan.mixers(),
        result.visiblePeers.stream().mapToInt(Integer::intValue).min().orElse(0),
        (int) result.ruleChecker.delayedCount(),
        result.ruleChecker.longestStall().toNanos() / 1e6,
        result.verdict());
    result.ruleChecker.violations().forEach(foul -> told(name, foul));
    result.crashes.forEach(crash -> told(name, crash));
    result.errors.forEach(error -> told(name, error.getMessage()));
    return !result.errors.isEmpty()
        ? 1
        : result.verdict() == Fleet.Verdict.KEPT ? 0 : Gingerring.VERDICT;
  }

  private void told(String name, Object what) {
    spec.commandLine().getErr().println(name + ": " + what);
  }

  private static void least(String name, int value, int least) {
    if (value < least) {
      throw new IllegalArgumentException(
          name + " is " + value + ", and has to be " + least + " or more");
    }
  }
}
