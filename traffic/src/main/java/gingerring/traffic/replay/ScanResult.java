package gingerring.traffic.replay;

import gingerring.traffic.scan.ObservedScan;
import gingerring.traffic.scan.ObservedScan.ScanOutcome;
import java.time.Duration;
import java.util.Map;
import java.util.Set;

/**
 * The result of one scan, as far as a comparison needs it. {@code sendLateness} and {@code
 * holdDelay} concern the sending of a replayed scan.
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
  /** The recorded result, with times relative to the start of the recording. */
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
