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
 * Finds a client's retries in a recording, and makes retries anew in a replay. A retry is a scan of
 * the same grade with the same key, or without keys of the same text and parts, asked after one
 * that was not answered; of several it could belong to, the one that ended last. Marked retries and
 * unmarked ones are found alike.
 */
public final class Retries {
  /**
   * How clients retry: so many times, after a wait that grows by a factor and is spread by chance.
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
            "retries: most and pause from 0, factor from 1, spread 0 to 1 are needed");
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
   * The recording's scans, in the order of their asking, as chains; a retry follows within {@code
   * window}.
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
        continue; // it never came whole
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
   * When the try after this one is due, counted from the end of this; empty where the client gives
   * up. Try 0 is the first. {@code comeBack} is what it was told, zero for nothing; it is followed.
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
