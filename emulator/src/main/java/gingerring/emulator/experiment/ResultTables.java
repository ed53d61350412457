package gingerring.emulator.experiment;

import gingerring.traffic.scan.ObservedScan.ScanOutcome;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;

/** A run's figures as text for a terminal and as CSV files. */
public final class ResultTables {
  private ResultTables() {}

  public static String text(ExperimentRun.Result result) {
    StringBuilder text = new StringBuilder();
    ClientStatistics tally = result.statistics();
    text.append(
        String.format(
            Locale.ROOT,
            "%s before emulated boxes: service %.3f, %d tries of which %d retries, "
                + "%.2f trips a scan%n",
            result.router() == ExperimentRun.Router.MIXER ? "mixer" : "plain random choice",
            tally.serviceLevel(),
            tally.attempts,
            tally.retries,
            (double) result.ruleChecker().tripCount() / Math.max(1, tally.attempts)));
    text.append(
        String.format(
            Locale.ROOT,
            "%-16s %8s %7s %6s %7s %7s %6s %9s %9s%n",
            "grade",
            "service",
            "whole",
            "part",
            "nacked",
            "scrapped",
            "left",
            "p50 ms",
            "p99 ms"));
    for (Map.Entry<String, ClientStatistics.ClassStatistics> each : tally.byClass.entrySet()) {
      ClientStatistics.ClassStatistics grade = each.getValue();
      text.append(
          String.format(
              Locale.ROOT,
              "%-16s %8.3f %7d %6d %7d %8d %6d %9.1f %9.1f%n",
              each.getKey(),
              grade.offeredValue == 0 ? 1 : grade.earnedValue / grade.offeredValue,
              countOf(grade.attemptOutcomes, ScanOutcome.WHOLE),
              countOf(grade.attemptOutcomes, ScanOutcome.PART),
              countOf(grade.attemptOutcomes, ScanOutcome.NACKED),
              countOf(grade.attemptOutcomes, ScanOutcome.SCRAPPED),
              countOf(grade.attemptOutcomes, ScanOutcome.LEFT),
              grade.latencyMicros.getValueAtPercentile(50) / 1e3,
              grade.latencyMicros.getValueAtPercentile(99) / 1e3));
    }
    text.append("rules: ")
        .append(
            result.ruleChecker().violationCount() == 0
                ? "all kept, " + result.ruleChecker().requestCount() + " requests judged"
                : "broken " + result.ruleChecker().countsByRule())
        .append('\n');
    result.ruleChecker().violations().stream()
        .limit(5)
        .forEach(
            foul ->
                text.append("  ")
                    .append(foul.rule())
                    .append(": ")
                    .append(foul.what())
                    .append('\n'));
    return text.toString();
  }

  private static long countOf(Map<ScanOutcome, Long> counts, ScanOutcome fate) {
    return counts.getOrDefault(fate, 0L);
  }

  /** Writes {@code NAME-grades.csv}, {@code NAME-seconds.csv} and {@code NAME-boxes.csv}. */
  public static void writeCsv(ExperimentRun.Result result, Path folder, String name)
      throws IOException {
    Files.createDirectories(folder);
    StringBuilder grades =
        new StringBuilder("router,grade,service,whole,part,nacked,scrapped,left,p50_ms,p99_ms\n");
    result
        .statistics()
        .byClass
        .forEach(
            (grade, its) ->
                grades.append(
                    String.format(
                        Locale.ROOT,
                        "%s,%s,%.4f,%d,%d,%d,%d,%d,%.2f,%.2f%n",
                        result.router(),
                        grade,
                        its.offeredValue == 0 ? 1 : its.earnedValue / its.offeredValue,
                        countOf(its.attemptOutcomes, ScanOutcome.WHOLE),
                        countOf(its.attemptOutcomes, ScanOutcome.PART),
                        countOf(its.attemptOutcomes, ScanOutcome.NACKED),
                        countOf(its.attemptOutcomes, ScanOutcome.SCRAPPED),
                        countOf(its.attemptOutcomes, ScanOutcome.LEFT),
                        its.latencyMicros.getValueAtPercentile(50) / 1e3,
                        its.latencyMicros.getValueAtPercentile(99) / 1e3)));
    Files.writeString(folder.resolve(name + "-grades.csv"), grades);
    StringBuilder seconds = new StringBuilder("second,asked,earned\n");
    result
        .statistics()
        .valueBySecond
        .forEach(
            (second, its) ->
                seconds.append(
                    String.format(Locale.ROOT, "%d,%.2f,%.2f%n", second, its[0], its[1])));
    Files.writeString(folder.resolve(name + "-seconds.csv"), seconds);
    StringBuilder boxes = new StringBuilder("box,parts,work_ms\n");
    result
        .loadByBox()
        .forEach(
            (box, its) ->
                boxes.append(String.format(Locale.ROOT, "%d,%.0f,%.0f%n", box, its[0], its[1])));
    Files.writeString(folder.resolve(name + "-boxes.csv"), boxes);
  }
}
