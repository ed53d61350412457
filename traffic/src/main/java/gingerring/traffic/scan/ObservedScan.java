package gingerring.traffic.scan;

import java.util.List;
import java.util.Map;

/**
 * A scan as observed in a capture. Times are Unix time in nanoseconds: {@code requestStartNanos} of
 * the request's first byte, {@code requestEndNanos} of its last, {@code responseEndNanos} of the
 * response's last byte, or 0 without a response. {@code outcome} is the end that the capture shows,
 * and {@code problem} says why the capture shows no more.
 */
public record ObservedScan(
    long number,
    long connectionNumber,
    String client,
    long requestStartNanos,
    long requestEndNanos,
    long responseEndNanos,
    String transactionId,
    String serviceClass,
    long remainingMs,
    boolean resent,
    String idempotencyKey,
    List<Target> targets,
    String queryText,
    byte[] requestBytes,
    ScanOutcome outcome,
    int status,
    boolean whole,
    Map<Integer, String> valuesByPartition,
    double retryAfterSeconds,
    String problem) {
  /** One requested partition and its share of the scan's weight. */
  public record Target(int partition, double share) {}

  /**
   * The outcome of a scan: answered completely or in part, rejected, failed, abandoned by its
   * client before the response, or not shown by the capture.
   */
  public enum ScanOutcome {
    WHOLE,
    PART,
    NACKED,
    SCRAPPED,
    LEFT,
    INCOMPLETE
  }

  /** The total share of the requested partitions that the response contains. */
  public double answeredShare() {
    return targets.stream()
        .filter(target -> valuesByPartition.containsKey(target.partition))
        .mapToDouble(Target::share)
        .sum();
  }
}
