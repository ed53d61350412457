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
  public record Rule(int most, Duration pause, double factor, double spread) {
    public static final Rule USUAL = new Rule(3, Duration.ofMillis(200), 2, 0.5);

    public Rule {
      if (most < 0 || pause.isNegative() || !(factor >= 1) || !(spread >= 0 && spread <= 1)) {
        throw new IllegalArgumentException(
            "retries: most and pause from 0, factor from 1, spread 0 to 1 are needed");
      }
    }
  }

  private final Rule rule;
  private final RandomGenerator chance;

  public Retries(Rule rule, RandomGenerator chance) {
    this.rule = rule;
    this.chance = chance;
  }

  /**
   * The recording's scans, in the order of their asking, as chains; a retry follows within {@code
   * window}.
   */
  public static List<Chain> chains(List<ObservedScan> scans, Duration window) {
    List<Chain> chains = new ArrayList<>();
    Map<String, List<Chain>> unmet = new HashMap<>();
    List<ObservedScan> ordered = new ArrayList<>(scans);
    ordered.sort(
        Comparator.comparingLong(ObservedScan::askedAt).thenComparingLong(ObservedScan::number));
    for (ObservedScan seen : ordered) {
      if (seen.request().length == 0) {
        continue; // it never came whole
      }
      List<Chain> same = unmet.computeIfAbsent(wish(seen), w -> new ArrayList<>());
      same.removeIf(
          chain ->
              seen.askedAt() - Math.max(chain.last().answeredAt(), chain.last().askedAt())
                  > window.toNanos());
      Optional<Chain> mine =
          same.stream()
              .filter(
                  chain ->
                      chain.open(seen, window.toNanos())
                          && chain.last().answeredAt() <= seen.askedAt())
              .max(Comparator.comparingLong(chain -> chain.last().answeredAt()));
      if (mine.isPresent()) {
        mine.get().add(seen);
      } else {
        Chain chain = new Chain(chains.size(), seen);
        chains.add(chain);
        same.add(chain);
      }
    }
    return chains;
  }

  private static String wish(ObservedScan seen) {
    return seen.grade()
        + '\n'
        + (seen.key() != null ? seen.key() : seen.text() + '\n' + seen.targets());
  }

  /**
   * When the try after this one is due, counted from the end of this; empty where the client gives
   * up. Try 0 is the first. {@code comeBack} is what it was told, zero for nothing; it is followed.
   */
  public Optional<Duration> next(int number, Duration comeBack) {
    if (number >= rule.most) {
      return Optional.empty();
    }
    double wait = rule.pause.toNanos() * Math.pow(rule.factor, number);
    wait *= 1 + rule.spread * (2 * chance.nextDouble() - 1);
    return Optional.of(Duration.ofNanos(Math.max(comeBack.toNanos(), (long) wait)));
  }
}
