package gingerring.traffic.replay;

import gingerring.traffic.scan.ObservedScan;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Finds client retries in a recording, and generates retries in a replay. A retry is a scan of the
 * same service class with the same idempotency key, or without keys with the same query text and
 * partitions, sent after one that was not answered. If several earlier scans match, the one that
 * ended last is chosen. Retries are found whether or not the client marks them.
 */
public final class Retries {
  /**
   * A client's retry policy: a number of retries, each after a delay that grows by a factor and is
   * randomised by the jitter.
   */
  public record RetryPolicy(
      int maxRetries, Duration initialDelay, double backoffFactor, double jitter) {
    public static final RetryPolicy DEFAULT = new RetryPolicy(3, Duration.ofMillis(200), 2, 0.5);

    public RetryPolicy {
      if (maxRetries < 0
          || initialDelay.isNegative()
          || !(backoffFactor >= 1)
          || !(jitter >= 0 && jitter <= 1)) {
        throw new IllegalArgumentException(
            "retry policy needs maxRetries >= 0, initialDelay >= 0, backoffFactor >= 1, 0 <= jitter <= 1");
      }
    }
  }

  private final RetryPolicy policy;
  private final RandomGenerator random;

  public Retries(RetryPolicy policy, RandomGenerator random) {
    this.policy = policy;
    this.random = random;
  }

  /**
   * Groups the recorded scans, ordered by request time, into chains of attempts. A retry follows
   * within {@code window} of the end of the attempt before it.
   */
  public static List<RetryChain> findChains(List<ObservedScan> scans, Duration window) {
    List<RetryChain> chains = new ArrayList<>();
    Map<String, List<RetryChain>> chainsByKey = new HashMap<>();
    List<ObservedScan> ordered = new ArrayList<>(scans);
    ordered.sort(
        Comparator.comparingLong(ObservedScan::requestStartNanos)
            .thenComparingLong(ObservedScan::number));
    for (ObservedScan scan : ordered) {
      if (scan.requestBytes().length == 0) {
        continue; // the request was not captured completely
      }
      List<RetryChain> candidates =
          chainsByKey.computeIfAbsent(retryKey(scan), key -> new ArrayList<>());
      candidates.removeIf(
          chain ->
              scan.requestStartNanos()
                      - Math.max(chain.last().responseEndNanos(), chain.last().requestStartNanos())
                  > window.toNanos());
      Optional<RetryChain> match =
          candidates.stream()
              .filter(
                  chain ->
                      chain.acceptsRetry(scan, window.toNanos())
                          && chain.last().responseEndNanos() <= scan.requestStartNanos())
              .max(Comparator.comparingLong(chain -> chain.last().responseEndNanos()));
      if (match.isPresent()) {
        match.get().add(scan);
      } else {
        RetryChain chain = new RetryChain(chains.size(), scan);
        chains.add(chain);
        candidates.add(chain);
      }
    }
    return chains;
  }

  private static String retryKey(ObservedScan scan) {
    return scan.serviceClass()
        + '\n'
        + (scan.idempotencyKey() != null
            ? scan.idempotencyKey()
            : scan.queryText() + '\n' + scan.targets());
  }

  /**
   * The delay after which the next attempt starts, counted from the end of this attempt (0 is the
   * first), or empty if the client gives up. A {@code retryAfter} above zero, as named by the
   * response, is a minimum.
   */
  public Optional<Duration> nextDelay(int attempt, Duration retryAfter) {
    if (attempt >= policy.maxRetries) {
      return Optional.empty();
    }
    double delayNanos = policy.initialDelay.toNanos() * Math.pow(policy.backoffFactor, attempt);
    delayNanos *= 1 + policy.jitter * (2 * random.nextDouble() - 1);
    return Optional.of(Duration.ofNanos(Math.max(retryAfter.toNanos(), (long) delayNanos)));
  }
}
