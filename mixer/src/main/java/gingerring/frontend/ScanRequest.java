package gingerring.frontend;

import java.time.Duration;
import java.util.List;

/**
 * A scan request from a client, independent of the protocol that carried it. {@code deadline}
 * counts from the moment the client sent the request; {@code idempotencyKey} identifies retries of
 * a request of a keyed service class and is null for other classes.
 */
public record ScanRequest(
    String transactionId,
    int serviceClass,
    boolean retry,
    String idempotencyKey,
    Duration deadline,
    List<Target> targets,
    byte[] queryText) {
  /** The part of the scan that one shard answers; {@code route} is 0 if the client gave none. */
  public record Target(int shard, double share, Duration estimatedWork, long route) {}

  /** What a target takes in memory, in bytes. */
  private static final int TARGET_BYTES = 128;

  /** What a request takes in memory besides its targets and texts, in bytes. */
  private static final int OVERHEAD_BYTES = 512;

  /** The memory that the request takes until its response, in bytes. */
  public long retainedBytes() {
    return OVERHEAD_BYTES + queryText.length + (long) TARGET_BYTES * targets.size();
  }

  public Duration estimatedWork() {
    return targets.stream().map(Target::estimatedWork).reduce(Duration.ZERO, Duration::plus);
  }
}
