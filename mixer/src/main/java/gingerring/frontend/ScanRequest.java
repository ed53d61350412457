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

  public Duration estimatedWork() {
    return targets.stream().map(Target::estimatedWork).reduce(Duration.ZERO, Duration::plus);
  }
}
