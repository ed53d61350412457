package gingerring.traffic.replay;

import gingerring.traffic.scan.ObservedScan;
import gingerring.traffic.scan.ObservedScan.ScanOutcome;
import java.time.Duration;
import java.util.Map;
import java.util.Set;

/**
 * What became of one scan, as far as a comparison looks. {@code late}, {@code held}: of its
 * sending.
 */
public record Outcome(
    ScanOutcome fate,
    int status,
    Map<Integer, String> values,
    double weight,
    Duration askedAt,
    Duration took,
    Duration late,
    Duration held) {
  /** As the recording shows it; times from the recording's start. */
  public static Outcome of(ObservedScan seen, long start) {
    return new Outcome(
        seen.outcome(),
        seen.status(),
        seen.values(),
        seen.weight(),
        Duration.ofNanos(seen.askedAt() - start),
        Duration.ofNanos(Math.max(0, seen.answeredAt() - seen.wholeAt())),
        Duration.ZERO,
        Duration.ZERO);
  }

  Set<Integer> shards() {
    return values.keySet();
  }
}
