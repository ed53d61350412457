package gingerring.cli;

import gingerring.emulator.experiment.LineCharts;
import gingerring.traffic.flow.ReassemblyLimits;
import gingerring.traffic.pcap.CaptureReader;
import gingerring.traffic.replay.Comparison;
import gingerring.traffic.replay.OutcomeTimeline;
import gingerring.traffic.replay.Pacer;
import gingerring.traffic.replay.ReplayPlan;
import gingerring.traffic.replay.Replayer;
import gingerring.traffic.replay.Retries;
import gingerring.traffic.scan.ObservedScan;
import gingerring.traffic.scan.ObservedScan.ScanOutcome;
import gingerring.traffic.scan.RecordingReader;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

@Command(
    name = "replay",
    mixinStandardHelpOptions = true,
    description =
        "Replays the scans of a recording to a mixer on this machine, and compares their outcomes.")
final class ReplayCommand implements Callable<Integer> {
  /** How retries are sent. */
  enum RetryMode {
    RECORDED,
    ANEW
  }

  @Parameters(index = "0", paramLabel = "FILE", description = "the recording")
  private Path recordingFile;

  @Option(
      names = "--to",
      required = true,
      paramLabel = "ADDRESS",
      description = "the mixer's address, such as 127.0.0.1:8081")
  private String mixerAddress;

  @Option(
      names = "--pace",
      defaultValue = "1",
      paramLabel = "N|max",
      description = "speed factor of the replay; max sends without waiting (${DEFAULT-VALUE})")
  private String pace;

  @Option(
      names = "--retries",
      defaultValue = "recorded",
      paramLabel = "recorded|anew",
      description =
          "send the recorded retries, or generate new ones from the replayed answers (${DEFAULT-VALUE})")
  private RetryMode retryMode;

  @Option(
      names = "--late-most",
      defaultValue = "20",
      paramLabel = "MS",
      description =
          "maximum send lateness of a valid run, at the 99th percentile (${DEFAULT-VALUE})")
  private long maxLatenessMs;

  @Option(
      names = "--out",
      paramLabel = "FOLDER",
      description = "the folder for the tables and the chart")
  private Path outputFolder;

  @Option(
      names = "--at-least",
      defaultValue = "0",
      paramLabel = "SHARE",
      description = "minimum agreement for a positive verdict (${DEFAULT-VALUE})")
  private double minAgreement;

  @Option(
      names = "--seed",
      defaultValue = "1",
      paramLabel = "N",
      description = "seed for generated retries")
  private long seed;

  @Mixin private PcapCommand.ConnectionFilterOptions filterOptions;

  @Spec private CommandSpec spec;

  @Override
  public Integer call() throws Exception {
    InetSocketAddress mixer = parseAddress(mixerAddress);
    double speedFactor = parsePace(pace);
    List<ObservedScan> scans = new ArrayList<>();
    RecordingReader.Summary summary =
        RecordingReader.read(
            recordingFile,
            ReassemblyLimits.DEFAULT,
            filterOptions.networkFilter(),
            scan -> {
              if (scans.size() <= ReplayPlan.MAX_SCANS) {
                scans.add(scan);
              }
            });
    if (summary.scans() == 0) {
      throw new IOException(recordingFile + ": the recording contains no scans");
    }
    boolean generateRetries = retryMode == RetryMode.ANEW;
    ReplayPlan plan = new ReplayPlan(scans, speedFactor, generateRetries);
    Replayer.Result result =
        Replayer.run(
            plan,
            new Replayer.Options(
                mixer,
                speedFactor,
                Duration.ofMillis(maxLatenessMs),
                generateRetries
                    ? new Retries(Retries.RetryPolicy.DEFAULT, new SplittableRandom(seed))
                    : null));
    PrintWriter out = spec.commandLine().getOut();
    printReport(out, summary, result);
    if (outputFolder != null) {
      writeFiles(result);
      out.println("written to " + outputFolder);
    }
    out.flush();
    return result.pacingReport().valid() && result.comparison().agreement() >= minAgreement
        ? 0
        : Gingerring.EXIT_NEGATIVE_VERDICT;
  }

  private static double parsePace(String text) {
    if (text.equals("max")) {
      return ReplayPlan.UNPACED;
    }
    try {
      double factor = Double.parseDouble(text);
      if (factor > 0 && factor <= 10_000) {
        return factor;
      }
    } catch (NumberFormatException e) {
      // reported below
    }
    throw new IllegalArgumentException(
        "--pace must be a number greater than 0 and at most 10000, or max: " + text);
  }

  private static InetSocketAddress parseAddress(String text) throws IOException {
    if (!text.matches("127\\.[0-9]{1,3}\\.[0-9]{1,3}\\.[0-9]{1,3}:[0-9]{1,5}")) {
      throw new IllegalArgumentException(
          "--to must be a loopback address and a port, such as 127.0.0.1:8081: " + text);
    }
    int colon = text.indexOf(':');
    return new InetSocketAddress(
        InetAddress.getByName(text.substring(0, colon)),
        Integer.parseInt(text.substring(colon + 1)));
  }

  private void printReport(
      PrintWriter out, RecordingReader.Summary summary, Replayer.Result result) {
    Comparison comparison = result.comparison();
    Pacer.Report pacingReport = result.pacingReport();
    if (summary.endState() != CaptureReader.EndState.WHOLE) {
      out.println("the recording is not whole: " + summary.endReason());
    }
    out.printf(
        Locale.ROOT,
        "%d scans sent on %d connections in %.1f s, %d retries made anew, %d left out as their "
            + "request is not whole%n",
        pacingReport.sent(),
        result.connectionCount(),
        result.duration().toNanos() / 1e9,
        result.generatedRetries(),
        result.omittedScans());
    out.printf(
        Locale.ROOT,
        "pace: the tool sent %.2f ms late in the median, %.2f ms at the 99th percentile, "
            + "%.2f ms at most; %d sends were held by the answer before, %.1f ms at the 99th percentile%n",
        toMillis(pacingReport.latenessP50()),
        toMillis(pacingReport.latenessP99()),
        toMillis(pacingReport.maxLateness()),
        pacingReport.heldSteps(),
        toMillis(pacingReport.holdDelayP99()));
    if (!pacingReport.valid()) {
      out.println("NOT VALID: " + pacingReport.invalidReason());
    }
    out.printf(
        Locale.ROOT,
        "%d of %d scans agree: %.4f; %d not compared%n",
        comparison.agreedCount(),
        comparison.comparedCount(),
        comparison.agreement(),
        comparison.notComparedCount());
    out.printf("%-12s", "recorded");
    for (ScanOutcome outcome : ScanOutcome.values()) {
      out.printf(" %10s", outcome.name().toLowerCase(Locale.ROOT));
    }
    out.println("   <- replayed");
    comparison
        .outcomeTable()
        .forEach(
            (recorded, replayed) -> {
              out.printf("%-12s", recorded.name().toLowerCase(Locale.ROOT));
              for (ScanOutcome outcome : ScanOutcome.values()) {
                out.printf(" %10d", replayed.getOrDefault(outcome, 0L));
              }
              out.println();
            });
    comparison
        .countsByCause()
        .forEach((cause, count) -> out.println("  " + count + " differ: " + cause));
  }

  private static double toMillis(Duration duration) {
    return duration.toNanos() / 1e6;
  }

  private void writeFiles(Replayer.Result result) throws IOException {
    Files.createDirectories(outputFolder);
    StringBuilder differencesCsv =
        new StringBuilder(
            "mark,grade,recorded,replayed,recorded_weight,replayed_weight,recorded_ms,replayed_ms,late_ms,held_ms,cause\n");
    for (Comparison.Difference difference : result.comparison().differences()) {
      differencesCsv.append(
          String.format(
              Locale.ROOT,
              "%s,%s,%s,%s,%.4f,%.4f,%.2f,%.2f,%.2f,%.2f,\"%s\"%n",
              difference.transactionId(),
              difference.serviceClass(),
              difference.recorded().outcome(),
              difference.replayed().outcome(),
              difference.recorded().answeredShare(),
              difference.replayed().answeredShare(),
              toMillis(difference.recorded().responseTime()),
              toMillis(difference.replayed().responseTime()),
              toMillis(difference.replayed().sendLateness()),
              toMillis(difference.replayed().holdDelay()),
              difference.cause()));
    }
    Files.writeString(outputFolder.resolve("differences.csv"), differencesCsv);
    StringBuilder timelineCsv = new StringBuilder("second,run");
    for (ScanOutcome outcome : ScanOutcome.values()) {
      timelineCsv.append(',').append(outcome.name().toLowerCase(Locale.ROOT));
    }
    timelineCsv.append('\n');
    appendTimeline(timelineCsv, "recorded", result.recordedTimeline());
    appendTimeline(timelineCsv, "replayed", result.replayedTimeline());
    Files.writeString(outputFolder.resolve("seconds.csv"), timelineCsv);
    Map<String, Map<Integer, Double>> series = new LinkedHashMap<>();
    series.put("recorded", answeredBySecond(result.recordedTimeline()));
    series.put("replayed", answeredBySecond(result.replayedTimeline()));
    LineCharts.write(
        outputFolder.resolve("timelines.png"),
        "answered scans",
        "answered, whole or in part",
        series);
  }

  private static void appendTimeline(StringBuilder csv, String runName, OutcomeTimeline timeline) {
    for (int second = 0; second < timeline.seconds(); second++) {
      csv.append(second).append(',').append(runName);
      for (ScanOutcome outcome : ScanOutcome.values()) {
        csv.append(',').append(timeline.count(second, outcome));
      }
      csv.append('\n');
    }
  }

  private static Map<Integer, Double> answeredBySecond(OutcomeTimeline timeline) {
    Map<Integer, Double> points = new TreeMap<>();
    for (int second = 0; second < timeline.seconds(); second++) {
      points.put(
          second,
          (double) timeline.count(second, ScanOutcome.WHOLE)
              + timeline.count(second, ScanOutcome.PART));
    }
    return points;
  }
}
