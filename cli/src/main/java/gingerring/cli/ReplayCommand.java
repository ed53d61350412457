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
        "Sends a recording's scans again to a mixer on this machine, and compares what becomes of them.")
final class ReplayCommand implements Callable<Integer> {
  /** How retries are sent. */
  enum RetryMode {
    RECORDED,
    ANEW
  }

  @Parameters(index = "0", paramLabel = "FILE", description = "the recording")
  private Path file;

  @Option(
      names = "--to",
      required = true,
      paramLabel = "ADDRESS",
      description = "the mixer, as 127.0.0.1:8081")
  private String to;

  @Option(
      names = "--pace",
      defaultValue = "1",
      paramLabel = "N|max",
      description = "recorded times are divided by it; max does not wait (${DEFAULT-VALUE})")
  private String pace;

  @Option(
      names = "--retries",
      defaultValue = "recorded",
      paramLabel = "recorded|anew",
      description =
          "clients' retries as recorded, or made anew from what the replay answers (${DEFAULT-VALUE})")
  private RetryMode retries;

  @Option(
      names = "--late-most",
      defaultValue = "20",
      paramLabel = "MS",
      description =
          "how late this tool may send, at the 99th percentile, in a valid run (${DEFAULT-VALUE})")
  private long lateMost;

  @Option(names = "--out", paramLabel = "FOLDER", description = "where the tables and the chart go")
  private Path out;

  @Option(
      names = "--at-least",
      defaultValue = "0",
      paramLabel = "SHARE",
      description = "the agreement under which the verdict is no (${DEFAULT-VALUE})")
  private double atLeast;

  @Option(
      names = "--seed",
      defaultValue = "1",
      paramLabel = "N",
      description = "for retries made anew")
  private long seed;

  @Mixin private PcapCommand.Wanted wanted;

  @Spec private CommandSpec spec;

  @Override
  public Integer call() throws Exception {
    InetSocketAddress mixer = address(to);
    double times = paceOf(pace);
    List<ObservedScan> scans = new ArrayList<>();
    RecordingReader.Summary read =
        RecordingReader.read(
            file,
            ReassemblyLimits.DEFAULT,
            wanted.nets(),
            seen -> {
              if (scans.size() <= ReplayPlan.MAX_SCANS) {
                scans.add(seen);
              }
            });
    if (read.scans() == 0) {
      throw new IOException(file + ": no scans in it");
    }
    boolean anew = retries == RetryMode.ANEW;
    ReplayPlan plan = new ReplayPlan(scans, times, anew);
    Replayer.Result result =
        Replayer.run(
            plan,
            new Replayer.Options(
                mixer,
                times,
                Duration.ofMillis(lateMost),
                anew
                    ? new Retries(Retries.RetryPolicy.DEFAULT, new SplittableRandom(seed))
                    : null));
    PrintWriter print = spec.commandLine().getOut();
    print(print, read, result);
    if (out != null) {
      keep(result);
      print.println("written to " + out);
    }
    print.flush();
    return result.pacingReport().valid() && result.comparison().agreement() >= atLeast
        ? 0
        : Gingerring.VERDICT;
  }

  private static double paceOf(String text) {
    if (text.equals("max")) {
      return ReplayPlan.UNPACED;
    }
    try {
      double pace = Double.parseDouble(text);
      if (pace > 0 && pace <= 10_000) {
        return pace;
      }
    } catch (NumberFormatException e) {
      // told below
    }
    throw new IllegalArgumentException(
        "--pace is a number above 0 and 10000 at most, or max: " + text);
  }

  private static InetSocketAddress address(String text) throws IOException {
    if (!text.matches("127\\.[0-9]{1,3}\\.[0-9]{1,3}\\.[0-9]{1,3}:[0-9]{1,5}")) {
      throw new IllegalArgumentException(
          "--to is an address of this machine such as 127.0.0.1:8081: " + text);
    }
    int colon = text.indexOf(':');
    return new InetSocketAddress(
        InetAddress.getByName(text.substring(0, colon)),
        Integer.parseInt(text.substring(colon + 1)));
  }

  private void print(PrintWriter print, RecordingReader.Summary read, Replayer.Result result) {
    Comparison compared = result.comparison();
    Pacer.Report pacing = result.pacingReport();
    if (read.endState() != CaptureReader.EndState.WHOLE) {
      print.println("the recording is not whole: " + read.endReason());
    }
    print.printf(
        Locale.ROOT,
        "%d scans sent on %d connections in %.1f s, %d retries made anew, %d left out as their "
            + "request is not whole%n",
        pacing.sent(),
        result.connectionCount(),
        result.duration().toNanos() / 1e9,
        result.generatedRetries(),
        result.omittedScans());
    print.printf(
        Locale.ROOT,
        "pace: the tool sent %.2f ms late in the median, %.2f ms at the 99th percentile, "
            + "%.2f ms at most; %d sends were held by the answer before, %.1f ms at the 99th percentile%n",
        millis(pacing.latenessP50()),
        millis(pacing.latenessP99()),
        millis(pacing.maxLateness()),
        pacing.heldSteps(),
        millis(pacing.holdDelayP99()));
    if (!pacing.valid()) {
      print.println("NOT VALID: " + pacing.invalidReason());
    }
    print.printf(
        Locale.ROOT,
        "%d of %d scans agree: %.4f; %d not compared%n",
        compared.agreedCount(),
        compared.comparedCount(),
        compared.agreement(),
        compared.notComparedCount());
    print.printf("%-12s", "recorded");
    for (ScanOutcome fate : ScanOutcome.values()) {
      print.printf(" %10s", fate.name().toLowerCase(Locale.ROOT));
    }
    print.println("   <- replayed");
    compared
        .outcomeTable()
        .forEach(
            (recorded, replayed) -> {
              print.printf("%-12s", recorded.name().toLowerCase(Locale.ROOT));
              for (ScanOutcome fate : ScanOutcome.values()) {
                print.printf(" %10d", replayed.getOrDefault(fate, 0L));
              }
              print.println();
            });
    compared
        .countsByCause()
        .forEach((cause, many) -> print.println("  " + many + " differ: " + cause));
  }

  private static double millis(Duration span) {
    return span.toNanos() / 1e6;
  }

  private void keep(Replayer.Result result) throws IOException {
    Files.createDirectories(out);
    StringBuilder differences =
        new StringBuilder(
            "mark,grade,recorded,replayed,recorded_weight,replayed_weight,recorded_ms,replayed_ms,late_ms,held_ms,cause\n");
    for (Comparison.Difference each : result.comparison().differences()) {
      differences.append(
          String.format(
              Locale.ROOT,
              "%s,%s,%s,%s,%.4f,%.4f,%.2f,%.2f,%.2f,%.2f,\"%s\"%n",
              each.transactionId(),
              each.serviceClass(),
              each.recorded().outcome(),
              each.replayed().outcome(),
              each.recorded().answeredShare(),
              each.replayed().answeredShare(),
              millis(each.recorded().responseTime()),
              millis(each.replayed().responseTime()),
              millis(each.replayed().sendLateness()),
              millis(each.replayed().holdDelay()),
              each.cause()));
    }
    Files.writeString(out.resolve("differences.csv"), differences);
    StringBuilder seconds = new StringBuilder("second,run");
    for (ScanOutcome fate : ScanOutcome.values()) {
      seconds.append(',').append(fate.name().toLowerCase(Locale.ROOT));
    }
    seconds.append('\n');
    append(seconds, "recorded", result.recordedTimeline());
    append(seconds, "replayed", result.replayedTimeline());
    Files.writeString(out.resolve("seconds.csv"), seconds);
    Map<String, Map<Integer, Double>> series = new LinkedHashMap<>();
    series.put("recorded", answered(result.recordedTimeline()));
    series.put("replayed", answered(result.replayedTimeline()));
    LineCharts.write(
        out.resolve("timelines.png"), "answered scans", "answered, whole or in part", series);
  }

  private static void append(StringBuilder text, String run, OutcomeTimeline timeline) {
    for (int second = 0; second < timeline.seconds(); second++) {
      text.append(second).append(',').append(run);
      for (ScanOutcome fate : ScanOutcome.values()) {
        text.append(',').append(timeline.count(second, fate));
      }
      text.append('\n');
    }
  }

  private static Map<Integer, Double> answered(OutcomeTimeline timeline) {
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
