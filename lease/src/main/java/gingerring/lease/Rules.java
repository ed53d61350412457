package gingerring.lease;

import java.time.Duration;

/**
 * Spans of a lease, alike at all mixers.
 *
 * @param lease the longest that an elector grants at once
 * @param vote what a candidate asks for until it has a majority, so that a split vote is soon over
 * @param drift by how much a clock may run fast or slow against true time, as a share: two may
 *     differ by twice
 * @param renew how often a holder asks for a whole lease again
 * @param patience how long answers are waited for
 * @param step by how much a lower rank lets a higher one go first
 * @param stand how many ranks ask for a duty
 */
public record Rules(
    Duration lease,
    Duration vote,
    double drift,
    Duration renew,
    Duration patience,
    Duration step,
    int stand) {
  /**
   * @throws DutyError.BadRules where a span or share cannot be
   */
  public Rules {
    boolean inOrder =
        patience.compareTo(Duration.ZERO) > 0
            && step.compareTo(Duration.ZERO) > 0
            && patience.compareTo(vote) < 0
            && vote.compareTo(lease) <= 0
            && renew.compareTo(Duration.ZERO) > 0;
    if (!inOrder
        || !(drift >= 0 && drift < 0.5)
        || stand < 1
        || renew.plus(patience).compareTo(lease) >= 0) {
      throw new DutyError.BadRules(
          "lease "
              + lease
              + ", vote "
              + vote
              + ", drift "
              + drift
              + ", renew "
              + renew
              + ", patience "
              + patience
              + ", step "
              + step
              + ", stand "
              + stand);
    }
  }

  /** A lease of 2 s, clocks within 1% of true time (a quartz is within 0.01%). */
  public static Rules usual() {
    return new Rules(
        Duration.ofSeconds(2),
        Duration.ofMillis(800),
        0.01,
        Duration.ofMillis(500),
        Duration.ofMillis(400),
        Duration.ofMillis(100),
        3);
  }

  /**
   * How long, by its own clock, from before it asked, one holds who was granted a span: with both
   * clocks within the drift it is over before the elector's is. span / (1 + drift) of true time is
   * the least that the elector waits, and held / (1 - drift) the most that the holder takes.
   */
  public Duration held(Duration span) {
    return Duration.ofNanos((long) (span.toNanos() * ((1 - drift) / (1 + drift))));
  }

  /** For how long, of true time, two may hold at most where clocks drift so much. */
  public Duration excess(double actual) {
    double share = (1 - drift) / ((1 + drift) * (1 - actual)) - 1 / (1 + actual);
    return Duration.ofNanos((long) (lease.toNanos() * Math.max(0, share)));
  }

  /** How long, by its own clock, an elector that came back empty grants nothing. */
  public Duration quiet() {
    return Duration.ofNanos((long) (lease.toNanos() * ((1 + drift) / (1 - drift))) + 1);
  }
}
