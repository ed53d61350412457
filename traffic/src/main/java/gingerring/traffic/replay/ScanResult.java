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
  public static ScanResult of(ObservedScan scan, long recordingStartNanos) {
    return new ScanResult(
        scan.outcome(),
        scan.status(),
        scan.valuesByPartition(),
        scan.answeredShare(),
        Duration.ofNanos(scan.requestStartNanos() - recordingStartNanos),
        Duration.ofNanos(Math.max(0, scan.responseEndNanos() - scan.requestEndNanos())),
        Duration.ZERO,
        Duration.ZERO);
  }

  Set<Integer> partitions() {
    return valuesByPartition.keySet();
  }
}
