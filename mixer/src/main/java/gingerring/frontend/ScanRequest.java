package gingerring.frontend;

import java.time.Duration;
import java.util.List;

/**
 * A scan as a client asks for it, whatever protocol brought it. {@code patience} counts from its
 * sending; {@code key} marks repeats of a numbered one and is null elsewhere.
 */
public record ScanRequest(
    String transactionId,
    int serviceClass,
    boolean retry,
    String idempotencyKey,
    Duration deadline,
    List<Target> targets,
    byte[] queryText) {
  /** One shard's share of it; {@code route} is 0 where there is none. */
  public record Target(int shard, double share, Duration estimatedWork, long route) {}

  public Duration estimatedWork() {
    return targets.stream().map(Target::estimatedWork).reduce(Duration.ZERO, Duration::plus);
  }
}
