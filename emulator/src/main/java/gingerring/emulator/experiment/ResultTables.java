package gingerring.emulator.experiment;

import gingerring.traffic.scan.ObservedScan.ScanOutcome;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;

/** Formats the result of a run as text for a terminal and as CSV files. */
public final class ResultTables {
  private ResultTables() {}

  public static String text(ExperimentRun.Result result) {
    StringBuilder text = new StringBuilder();
    ClientStatistics statistics = result.statistics();
    text.append(
        String.format(
            Locale.ROOT,
            "%s before emulated boxes: service %.3f, %d tries of which %d retries, "
                + "%.2f trips a scan%n",
            result.router() == ExperimentRun.Router.MIXER ? "mixer" : "plain random choice",
            statistics.serviceLevel(),
            statistics.attempts,
            statistics.retries,
            (double) result.ruleChecker().tripCount() / Math.max(1, statistics.attempts)));
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
    for (Map.Entry<String, ClientStatistics.ClassStatistics> entry :
        statistics.byClass.entrySet()) {
      ClientStatistics.ClassStatistics classStatistics = entry.getValue();
      text.append(
          String.format(
              Locale.ROOT,
              "%-16s %8.3f %7d %6d %7d %8d %6d %9.1f %9.1f%n",
              entry.getKey(),
              classStatistics.offeredValue == 0
                  ? 1
                  : classStatistics.earnedValue / classStatistics.offeredValue,
              countOf(classStatistics.attemptOutcomes, ScanOutcome.WHOLE),
              countOf(classStatistics.attemptOutcomes, ScanOutcome.PART),
              countOf(classStatistics.attemptOutcomes, ScanOutcome.NACKED),
              countOf(classStatistics.attemptOutcomes, ScanOutcome.SCRAPPED),
              countOf(classStatistics.attemptOutcomes, ScanOutcome.LEFT),
              classStatistics.latencyMicros.getValueAtPercentile(50) / 1e3,
              classStatistics.latencyMicros.getValueAtPercentile(99) / 1e3));
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
            violation ->
                text.append("  ")
                    .append(violation.rule())
                    .append(": ")
                    .append(violation.what())
                    .append('\n'));
    return text.toString();
  }

  private static long countOf(Map<ScanOutcome, Long> counts, ScanOutcome outcome) {
    return counts.getOrDefault(outcome, 0L);
  }

  /** Writes {@code NAME-grades.csv}, {@code NAME-seconds.csv} and {@code NAME-boxes.csv}. */
  public static void writeCsv(ExperimentRun.Result result, Path directory, String name)
      throws IOException {
    Files.createDirectories(directory);
    StringBuilder classRows =
        new StringBuilder("router,grade,service,whole,part,nacked,scrapped,left,p50_ms,p99_ms\n");
    result
        .statistics()
        .byClass
        .forEach(
            (className, values) ->
                classRows.append(
                    String.format(
                        Locale.ROOT,
                        "%s,%s,%.4f,%d,%d,%d,%d,%d,%.2f,%.2f%n",
                        result.router(),
                        className,
                        values.offeredValue == 0 ? 1 : values.earnedValue / values.offeredValue,
                        countOf(values.attemptOutcomes, ScanOutcome.WHOLE),
                        countOf(values.attemptOutcomes, ScanOutcome.PART),
                        countOf(values.attemptOutcomes, ScanOutcome.NACKED),
                        countOf(values.attemptOutcomes, ScanOutcome.SCRAPPED),
                        countOf(values.attemptOutcomes, ScanOutcome.LEFT),
                        values.latencyMicros.getValueAtPercentile(50) / 1e3,
                        values.latencyMicros.getValueAtPercentile(99) / 1e3)));
    Files.writeString(directory.resolve(name + "-grades.csv"), classRows);
    StringBuilder secondRows = new StringBuilder("second,asked,earned\n");
    result
        .statistics()
        .valueBySecond
        .forEach(
            (second, values) ->
                secondRows.append(
                    String.format(Locale.ROOT, "%d,%.2f,%.2f%n", second, values[0], values[1])));
    Files.writeString(directory.resolve(name + "-seconds.csv"), secondRows);
    StringBuilder boxRows = new StringBuilder("box,parts,work_ms\n");
    result
        .loadByBox()
        .forEach(
            (box, values) ->
                boxRows.append(
                    String.format(Locale.ROOT, "%d,%.0f,%.0f%n", box, values[0], values[1])));
    Files.writeString(directory.resolve(name + "-boxes.csv"), boxRows);
  }
}
