package gingerring.lease;

import java.time.Duration;

/**
 * Spans of a lease, alike at all mixers.
 *
 * @param leaseDuration the longest that an elector grants at once
 * @param initialDuration what a candidate asks for until it has a majority, so that a split vote is
 *     soon over
 * @param maxClockDrift by how much a clock may run fast or slow against true time, as a share: two
 *     may differ by twice
 * @param renewInterval how often a holder asks for a whole lease again
 * @param replyTimeout how long answers are waited for
 * @param rankDelay by how much a lower rank lets a higher one go first
 * @param candidateCount how many ranks ask for a duty
 */
public record LeaseSettings(
    Duration leaseDuration,
    Duration initialDuration,
    double maxClockDrift,
    Duration renewInterval,
    Duration replyTimeout,
    Duration rankDelay,
    int candidateCount) {
  /**
   * @throws LeaseException.BadRules where a span or share cannot be
   */
  public LeaseSettings {
    boolean consistent =
        replyTimeout.compareTo(Duration.ZERO) > 0
            && rankDelay.compareTo(Duration.ZERO) > 0
            && replyTimeout.compareTo(initialDuration) < 0
            && initialDuration.compareTo(leaseDuration) <= 0
            && renewInterval.compareTo(Duration.ZERO) > 0;
    if (!consistent
        || !(maxClockDrift >= 0 && maxClockDrift < 0.5)
        || candidateCount < 1
        || renewInterval.plus(replyTimeout).compareTo(leaseDuration) >= 0) {
      throw new LeaseException.InvalidLeaseSettings(
          "lease "
              + leaseDuration
              + ", vote "
              + initialDuration
              + ", drift "
              + maxClockDrift
              + ", renew "
              + renewInterval
              + ", patience "
              + replyTimeout
              + ", step "
              + rankDelay
              + ", stand "
              + candidateCount);
    }
  }

  /** A lease of 2 s, clocks within 1% of true time (a quartz is within 0.01%). */
  public static LeaseSettings defaults() {
    return new LeaseSettings(
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
  public Duration holderDuration(Duration grantedDuration) {
    return Duration.ofNanos(
        (long) (grantedDuration.toNanos() * ((1 - maxClockDrift) / (1 + maxClockDrift))));
  }

  /** For how long, of true time, two may hold at most where clocks drift so much. */
  public Duration maxOverlap(double actualDrift) {
    double overlapRatio =
        (1 - maxClockDrift) / ((1 + maxClockDrift) * (1 - actualDrift)) - 1 / (1 + actualDrift);
    return Duration.ofNanos((long) (leaseDuration.toNanos() * Math.max(0, overlapRatio)));
  }

  /** How long, by its own clock, an elector that came back empty grants nothing. */
  public Duration quietPeriod() {
    return Duration.ofNanos(
        (long) (leaseDuration.toNanos() * ((1 + maxClockDrift) / (1 - maxClockDrift))) + 1);
  }
}
