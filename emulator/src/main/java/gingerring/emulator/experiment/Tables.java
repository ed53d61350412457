package gingerring.emulator.experiment;

import gingerring.traffic.scan.ObservedScan.ScanOutcome;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;

/** A run's figures as text for a terminal and as CSV files. */
public final class Tables {
  private Tables() {}

  public static String text(Run.Result result) {
    StringBuilder text = new StringBuilder();
    Tally tally = result.tally();
    text.append(
        String.format(
            Locale.ROOT,
            "%s before emulated boxes: service %.3f, %d tries of which %d retries, "
                + "%.2f trips a scan%n",
            result.router() == Run.Router.MIXER ? "mixer" : "plain random choice",
            tally.service(),
            tally.asked,
            tally.retries,
            (double) result.referee().trips() / Math.max(1, tally.asked)));
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
    for (Map.Entry<String, Tally.ByGrade> each : tally.grades.entrySet()) {
      Tally.ByGrade grade = each.getValue();
      text.append(
          String.format(
              Locale.ROOT,
              "%-16s %8.3f %7d %6d %7d %8d %6d %9.1f %9.1f%n",
              each.getKey(),
              grade.asked == 0 ? 1 : grade.earned / grade.asked,
              of(grade.tries, ScanOutcome.WHOLE),
              of(grade.tries, ScanOutcome.PART),
              of(grade.tries, ScanOutcome.NACKED),
              of(grade.tries, ScanOutcome.SCRAPPED),
              of(grade.tries, ScanOutcome.LEFT),
              grade.micros.getValueAtPercentile(50) / 1e3,
              grade.micros.getValueAtPercentile(99) / 1e3));
    }
    text.append("rules: ")
        .append(
            result.referee().fouls() == 0
                ? "all kept, " + result.referee().judged() + " requests judged"
                : "broken " + result.referee().counts())
        .append('\n');
    result.referee().shown().stream()
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

  private static long of(Map<ScanOutcome, Long> counts, ScanOutcome fate) {
    return counts.getOrDefault(fate, 0L);
  }

  /** Writes {@code NAME-grades.csv}, {@code NAME-seconds.csv} and {@code NAME-boxes.csv}. */
  public static void csv(Run.Result result, Path folder, String name) throws IOException {
    Files.createDirectories(folder);
    StringBuilder grades =
        new StringBuilder("router,grade,service,whole,part,nacked,scrapped,left,p50_ms,p99_ms\n");
    result
        .tally()
        .grades
        .forEach(
            (grade, its) ->
                grades.append(
                    String.format(
                        Locale.ROOT,
                        "%s,%s,%.4f,%d,%d,%d,%d,%d,%.2f,%.2f%n",
                        result.router(),
                        grade,
                        its.asked == 0 ? 1 : its.earned / its.asked,
                        of(its.tries, ScanOutcome.WHOLE),
                        of(its.tries, ScanOutcome.PART),
                        of(its.tries, ScanOutcome.NACKED),
                        of(its.tries, ScanOutcome.SCRAPPED),
                        of(its.tries, ScanOutcome.LEFT),
                        its.micros.getValueAtPercentile(50) / 1e3,
                        its.micros.getValueAtPercentile(99) / 1e3)));
    Files.writeString(folder.resolve(name + "-grades.csv"), grades);
    StringBuilder seconds = new StringBuilder("second,asked,earned\n");
    result
        .tally()
        .seconds
        .forEach(
            (second, its) ->
                seconds.append(
                    String.format(Locale.ROOT, "%d,%.2f,%.2f%n", second, its[0], its[1])));
    Files.writeString(folder.resolve(name + "-seconds.csv"), seconds);
    StringBuilder boxes = new StringBuilder("box,parts,work_ms\n");
    result
        .load()
        .forEach(
            (box, its) ->
                boxes.append(String.format(Locale.ROOT, "%d,%.0f,%.0f%n", box, its[0], its[1])));
    Files.writeString(folder.resolve(name + "-boxes.csv"), boxes);
  }
}
