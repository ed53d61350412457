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
public record ScanResult(
    ScanOutcome outcome,
    int status,
    Map<Integer, String> valuesByPartition,
    double answeredShare,
    Duration requestStart,
    Duration responseTime,
    Duration sendLateness,
    Duration holdDelay) {
  /** As the recording shows it; times from the recording's start. */
  public static ScanResult of(ObservedScan seen, long start) {
    return new ScanResult(
        seen.outcome(),
        seen.status(),
        seen.valuesByPartition(),
        seen.answeredShare(),
        Duration.ofNanos(seen.requestStartNanos() - start),
        Duration.ofNanos(Math.max(0, seen.responseEndNanos() - seen.requestEndNanos())),
        Duration.ZERO,
        Duration.ZERO);
  }

  Set<Integer> partitions() {
    return valuesByPartition.keySet();
  }
}
