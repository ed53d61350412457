package gingerring.traffic.scan;

import java.util.List;
import java.util.Map;

/**
 * A scan as a capture shows it. Times are Unix time in nanoseconds; {@code askedAt} is that of its
 * request's first byte, {@code wholeAt} of its last, {@code answeredAt} of its answer's last byte,
 * 0 where there was none. {@code fate} says what the capture shows of its end, and {@code missing}
 * why it shows no more.
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
  /** One part of what was asked. */
  public record Target(int partition, double share) {}

  /**
   * What became of a scan: answered whole or in part, sent back, given up; its client left before;
   * the capture does not tell.
   */
  public enum ScanOutcome {
    WHOLE,
    PART,
    NACKED,
    SCRAPPED,
    LEFT,
    INCOMPLETE
  }

  /** The weight of the parts that are in, of all that was asked. */
  public double answeredShare() {
    return targets.stream()
        .filter(target -> valuesByPartition.containsKey(target.partition))
        .mapToDouble(Target::share)
        .sum();
  }
}
