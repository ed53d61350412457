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

/** Runs fleets of mixers, in simulated time or as processes, and reports their combined load. */
@Command(
    name = "fleet",
    mixinStandardHelpOptions = true,
    description =
        "Runs many mixers in simulated time or as processes; a seed determines the schedule.")
final class FleetCommand implements Runnable {
  @Spec private CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(
        spec.commandLine(), "a command is needed: choices, probes, talk, run, overlap");
  }

  /** A table that is printed row by row, and written as CSV and chart if a folder is given. */
  private final class Table {
    private final PrintWriter out = spec.commandLine().getOut();
    private final List<String> rows = new ArrayList<>();
    private final Map<String, Map<Integer, Double>> series = new TreeMap<>();

    Table(String... columnNames) {
      addRow((Object[]) columnNames);
    }

    void addRow(Object... cells) {
      List<String> cellTexts = new ArrayList<>();
      for (Object cell : cells) {
        cellTexts.add(
            cell instanceof Double number
                ? String.format(Locale.ROOT, "%.3f", number)
                : cell.toString());
      }
      rows.add(String.join(",", cellTexts));
      cellTexts.replaceAll(text -> String.format("%14s", text));
      out.println(String.join("", cellTexts));
      out.flush();
    }

    void addPoint(String seriesName, int mixers, double value) {
      // logarithmic x axis: one unit per decade of the fleet size
      series
          .computeIfAbsent(seriesName, key -> new TreeMap<>())
          .put((int) Math.round(Math.log10(mixers)), value);
    }

    void write(Path folder, String baseName, String chartTitle, String yAxisLabel)
        throws IOException {
      if (folder != null) {
        Files.createDirectories(folder);
        Files.write(folder.resolve(baseName + ".csv"), rows);
        if (chartTitle == null) {
          return;
        }
        LineCharts.write(
            folder.resolve(baseName + ".png"),
            chartTitle + " (simulated time)",
            "mixers, power of ten",
            yAxisLabel,
            series);
      }
    }
  }

  @Command(
      name = "choices",
      mixinStandardHelpOptions = true,
      description =
          "Compares policies for choosing a holder: load balance, connections, response times.")
  void choices(
      @Option(
              names = "--mixers",
              split = ",",
              defaultValue = "10,100,1000,10000",
              description = "Fleet sizes.")
          int[] fleetSizes,
      @Option(names = "--boxes", defaultValue = "60") int boxes,
      @Option(names = "--copies", defaultValue = "3", description = "Replicas of each partition.")
          int replicas,
      @Option(
              names = "--keep",
              defaultValue = "2",
              description = "Replicas of each partition in a mixer's preferred subset.")
          int preferredReplicas,
      @Option(
              names = "--use",
              defaultValue = "0.55",
              description = "Requested share of the boxes' capacity.")
          double utilization,
      @Option(names = "--seconds", defaultValue = "60", description = "Simulated seconds.")
          double seconds,
      @Option(names = "--seed", defaultValue = "1") long seed,
      @Option(names = "--out", description = "A folder for table and chart.") Path outputFolder)
      throws IOException {
    requireAtLeast("--mixers", Arrays.stream(fleetSizes).min().orElse(0), 1);
    requireAtLeast("--boxes", boxes, 1);
    requireAtLeast("--keep", preferredReplicas, 1);
    if (replicas < 1 || replicas > boxes || !(utilization > 0) || !(seconds > 0)) {
      throw new IllegalArgumentException(
          "--copies must be from 1 to --boxes; --use and --seconds must be greater than 0");
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
    for (int fleetSize : fleetSizes) {
      for (RoutingSimulation.Policy policy : RoutingSimulation.Policy.values()) {
        RoutingSimulation.Result result =
            RoutingSimulation.run(
                new RoutingSimulation.Setup(
                    fleetSize, boxes, replicas, preferredReplicas, utilization, seconds, seed),
                policy);
        table.addRow(
            fleetSize,
            policy,
            result.maxOverMeanBusyTime(),
            result.meanConnections(),
            result.maxConnections(),
            result.p50Ms(),
            result.p99Ms(),
            result.parts());
        table.addPoint(policy.name(), fleetSize, result.maxOverMeanBusyTime());
      }
    }
    table.write(outputFolder, "choices", "The busiest box over the mean", "largest / mean");
  }

  @Command(
      name = "probes",
      mixinStandardHelpOptions = true,
      description =
          "Compares strategies for probing an ejected box: probe rate and time to detect its recovery.")
  void probes(
      @Option(
              names = "--mixers",
              split = ",",
              defaultValue = "10,100,1000,10000",
              description = "Fleet sizes.")
          int[] fleetSizes,
      @Option(
              names = "--stopped",
              defaultValue = "0.3",
              description = "Share of mixers that stopped but still count as members.")
          double stoppedShare,
      @Option(
              names = "--lost",
              defaultValue = "0.05",
              description = "Share of messages that are lost.")
          double lossShare,
      @Option(
              names = "--back",
              defaultValue = "30",
              description = "Seconds until the box answers again.")
          double recoverySeconds,
      @Option(
              names = "--seeds",
              defaultValue = "5",
              description = "Number of seeds, starting at 1; the table shows means.")
          int seedCount,
      @Option(names = "--out", description = "A folder for table and chart.") Path outputFolder)
      throws IOException {
    requireAtLeast("--mixers", Arrays.stream(fleetSizes).min().orElse(0), 1);
    requireAtLeast("--seeds", seedCount, 1);
    if (!(stoppedShare >= 0 && stoppedShare < 1)
        || !(lossShare >= 0 && lossShare <= 1)
        || !(recoverySeconds > 0)) {
      throw new IllegalArgumentException(
          "--stopped must be at least 0 and less than 1, --lost from 0 to 1, --back greater than 0");
    }
    Table table =
        new Table("mixers", "way", "probes/s", "most in 1 s", "found after s", "latest s");
    for (int fleetSize : fleetSizes) {
      for (ProbeSimulation.Strategy strategy : ProbeSimulation.Strategy.values()) {
        double meanProbesPerSecond = 0;
        int maxInOneSecond = 0;
        double meanDetectionSeconds = 0;
        double maxDetectionSeconds = 0;
        for (int seed = 1; seed <= seedCount; seed++) {
          ProbeSimulation.Result result =
              ProbeSimulation.run(
                  new ProbeSimulation.Setup(
                      fleetSize, stoppedShare, lossShare, recoverySeconds, seed),
                  strategy);
          meanProbesPerSecond += result.probesPerSecond() / seedCount;
          maxInOneSecond = Math.max(maxInOneSecond, result.maxInOneSecond());
          meanDetectionSeconds += result.detectionSeconds() / seedCount;
          maxDetectionSeconds = Math.max(maxDetectionSeconds, result.detectionSeconds());
        }
        table.addRow(
            fleetSize,
            strategy,
            meanProbesPerSecond,
            maxInOneSecond,
            meanDetectionSeconds,
            maxDetectionSeconds);
        table.addPoint(strategy.name(), fleetSize, Math.log10(meanProbesPerSecond));
      }
    }
    table.write(
        outputFolder, "probes", "Probes of one benched box", "probes a second, power of ten");
  }

  @Command(
      name = "talk",
      mixinStandardHelpOptions = true,
      description =
          "Simulates the peer protocol under faults: detection, traffic and probes of each fault case.")
  void talk(
      @Option(
              names = "--mixers",
              split = ",",
              defaultValue = "10,32,100,320",
              description = "Fleet sizes.")
          int[] fleetSizes,
      @Option(names = "--seconds", defaultValue = "90", description = "Simulated seconds.")
          double seconds,
      @Option(
              names = "--seeds",
              defaultValue = "3",
              description = "Number of seeds, starting at 1; the table shows the worst.")
          int seedCount,
      @Option(
              names = "--cases",
              split = ",",
              description = "Names of the fault cases to run; all by default.")
          List<String> selectedCases,
      @Option(names = "--out", description = "A folder for table and chart.") Path outputFolder)
      throws IOException {
    requireAtLeast("--mixers", Arrays.stream(fleetSizes).min().orElse(0), 4);
    Set<String> knownCases = faultCases(16, seconds).keySet();
    if (selectedCases != null && !knownCases.containsAll(selectedCases)) {
      throw new IllegalArgumentException(
          "--cases contains an unknown name: "
              + selectedCases
              + "; known cases: "
              + String.join(", ", knownCases));
    }
    requireAtLeast("--seeds", seedCount, 1);
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
    for (int fleetSize : fleetSizes) {
      for (Map.Entry<String, List<PeerSimulation.Fault>> faultCase :
          faultCases(fleetSize, seconds).entrySet()) {
        if (selectedCases != null && !selectedCases.contains(faultCase.getKey())) {
          continue;
        }
        double[] worst = new double[10];
        for (int seed = 1; seed <= seedCount; seed++) {
          PeerSimulation.Result result =
              PeerSimulation.run(
                  PeerSimulation.Setup.defaults(fleetSize, seconds, seed, faultCase.getValue()));
          double probesPerSecondAndBox = 0;
          for (int second = 30; second < 50; second++) {
            probesPerSecondAndBox += result.deadBoxProbes.getOrDefault(second, 0) / 20.0 / 2;
          }
          double[] measured = {
            result.bytesBySecond.stream()
                .skip(10)
                .mapToDouble(bytes -> bytes[1])
                .average()
                .orElse(0),
            result.bytesBySecond.stream().skip(10).mapToDouble(bytes -> bytes[0]).max().orElse(0),
            result.detectionTimesMs.stream()
                .mapToDouble(ms -> ms / 1000)
                .filter(value -> !Double.isNaN(value))
                .max()
                .orElse(0),
            result.falselyMarkedGone,
            result.unknownPairs,
            probesPerSecondAndBox,
            result.recoveryTimesMs.stream()
                .mapToDouble(recoveryMs -> recoveryMs[0] / 1000)
                .filter(Double::isFinite)
                .max()
                .orElse(0),
            result.recoveryTimesMs.stream()
                .mapToDouble(recoveryMs -> recoveryMs[1] / 1000)
                .filter(Double::isFinite)
                .max()
                .orElse(0),
            result.maxFailureShareOfLiveBox,
            result.maxDemandRatio
          };
          for (int i = 0; i < measured.length; i++) {
            worst[i] = Math.max(worst[i], measured[i]);
          }
        }
        table.addRow(
            fleetSize,
            faultCase.getKey(),
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
        table.addPoint(faultCase.getKey(), fleetSize, worst[0]);
      }
    }
    table.write(outputFolder, "talk", "What a mixer sends its peers", "bytes a second, mean");
  }

  /** Returns the fault cases by name. In all but the first, two boxes are dead from 20 to 60 s. */
  private static Map<String, List<PeerSimulation.Fault>> faultCases(int fleetSize, double seconds) {
    PeerSimulation.Fault deadBoxes =
        fault(PeerSimulation.Fault.Kind.BOXES_DEAD, 20_000, 40_000, PeerSimulation.range(1, 2));
    Map<String, List<PeerSimulation.Fault>> cases = new LinkedHashMap<>();
    cases.put("calm", List.of());
    cases.put("boxes dead", List.of(deadBoxes));
    cases.put(
        "one gone",
        List.of(
            deadBoxes,
            fault(PeerSimulation.Fault.Kind.KILL, 25_000, 1e9, PeerSimulation.range(3, 1))));
    cases.put(
        "7/10 killed",
        List.of(
            deadBoxes,
            fault(
                PeerSimulation.Fault.Kind.KILL,
                30_000,
                900,
                PeerSimulation.range(fleetSize - fleetSize * 7 / 10, fleetSize * 7 / 10))));
    cases.put(
        "halves",
        List.of(
            deadBoxes,
            new PeerSimulation.Fault(
                PeerSimulation.Fault.Kind.CUT,
                25_000,
                20_000,
                PeerSimulation.range(0, fleetSize / 2),
                PeerSimulation.range(fleetSize / 2, fleetSize - fleetSize / 2),
                0)));
    cases.put(
        "stopped",
        List.of(
            deadBoxes,
            fault(PeerSimulation.Fault.Kind.STOP, 30_000, 10_000, PeerSimulation.range(1, 2))));
    cases.put(
        "one lies",
        List.of(
            deadBoxes, fault(PeerSimulation.Fault.Kind.LIE, 0, 1e9, PeerSimulation.range(3, 1))));
    cases.put(
        "3/16 lie",
        List.of(
            deadBoxes,
            fault(
                PeerSimulation.Fault.Kind.LIE,
                0,
                1e9,
                PeerSimulation.range(1, Math.max(1, fleetSize * 3 / 16)))));
    cases.put(
        "greed",
        List.of(
            deadBoxes, fault(PeerSimulation.Fault.Kind.GREED, 0, 1e9, PeerSimulation.range(3, 1))));
    cases.put(
        "repeats",
        List.of(
            deadBoxes,
            fault(PeerSimulation.Fault.Kind.REPEAT, 0, 1e9, PeerSimulation.range(3, 1))));
    cases.put(
        "false claims",
        List.of(
            deadBoxes, fault(PeerSimulation.Fault.Kind.CLAIM, 0, 1e9, PeerSimulation.range(3, 1))));
    return cases;
  }

  private static PeerSimulation.Fault fault(
      PeerSimulation.Fault.Kind kind, double startMs, double durationMs, Set<Integer> targets) {
    return new PeerSimulation.Fault(kind, startMs, durationMs, targets, Set.of(), 0);
  }

  @Command(
      name = "run",
      mixinStandardHelpOptions = true,
      description =
          "Starts mixer processes in front of an emulated store and injects faults on every link.")
  int run(
      @Parameters(
              paramLabel = "FILE",
              description = "the fleet scenario, in JSON; several run one after another")
          List<Path> files,
      @Option(names = "--out", description = "A folder for the table.") Path outputFolder)
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
    Set<Integer> exitCodes = new TreeSet<>();
    for (Path file : files) {
      String scenarioName = file.getFileName().toString().replaceAll("\\.json$", "");
      try {
        exitCodes.add(
            runScenario(table, scenarioName, FleetScenario.read(Files.readAllBytes(file))));
      } catch (Scenario.InvalidScenario | NoSuchFileException e) {
        printError(scenarioName, new HarnessError.InvalidScenarioFile(file, e).getMessage());
        exitCodes.add(1);
      }
    }
    table.write(outputFolder, "fleet-run", null, null);
    return exitCodes.contains(1)
        ? 1
        : exitCodes.contains(Gingerring.EXIT_NEGATIVE_VERDICT)
            ? Gingerring.EXIT_NEGATIVE_VERDICT
            : 0;
  }

  @Command(
      name = "overlap",
      mixinStandardHelpOptions = true,
      description =
          "Prints a fleet scenario with overlapping faults, drawn from a seed, as input for fleet run.")
  void overlap(
      @Option(names = "--seed", defaultValue = "1") long seed,
      @Option(names = "--mixers", defaultValue = "9") int mixers,
      @Option(names = "--boxes", defaultValue = "12") int boxes,
      @Option(
              names = "--seconds",
              defaultValue = "25",
              description = "Duration of the run, in seconds.")
          int seconds) {
    requireAtLeast("--mixers", mixers, 2);
    requireAtLeast("--boxes", boxes, 4);
    requireAtLeast("--seconds", seconds, 5);
    spec.commandLine()
        .getOut()
        .print(OverlappingFaults.generate(seed, mixers, boxes, seconds * 1000L));
    spec.commandLine().getOut().flush();
  }

  /** Runs a scenario, adds its row to the table, prints its errors and returns the exit code. */
  private int runScenario(Table table, String scenarioName, FleetScenario scenario)
      throws IOException {
    Fleet.Result result = Fleet.run(scenario);
    table.addRow(
        scenarioName,
        scenario.mixers(),
        scenario.peersEnabled(),
        result.clientStatistics.serviceLevel(),
        result.ruleChecker.violationCount(),
        (int) result.ruleChecker.exempted(),
        result.crashes.size(),
        result.probeCount(0, Integer.MAX_VALUE),
        (int) result.connectionCounts[0],
        (int) result.connectionCounts[1],
        (int) result.discoveryCalls,
        result.peakToMeanLoad(),
        result.datagramCounts[1] / Math.max(1e-9, result.elapsedSeconds) / scenario.mixers(),
        result.visiblePeers.stream().mapToInt(Integer::intValue).min().orElse(0),
        (int) result.ruleChecker.delayedCount(),
        result.ruleChecker.longestStall().toNanos() / 1e6,
        result.verdict());
    result.ruleChecker.violations().forEach(violation -> printError(scenarioName, violation));
    result.crashes.forEach(crash -> printError(scenarioName, crash));
    result.errors.forEach(error -> printError(scenarioName, error.getMessage()));
    return !result.errors.isEmpty()
        ? 1
        : result.verdict() == Fleet.Verdict.KEPT ? 0 : Gingerring.EXIT_NEGATIVE_VERDICT;
  }

  private void printError(String scenarioName, Object message) {
    spec.commandLine().getErr().println(scenarioName + ": " + message);
  }

  private static void requireAtLeast(String optionName, int value, int minimum) {
    if (value < minimum) {
      throw new IllegalArgumentException(
          optionName + " is " + value + ", but must be " + minimum + " or more");
    }
  }
}
