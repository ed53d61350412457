package gingerring.lease;

import java.time.Duration;

/**
 * Timing of leases. All mixers must use the same settings.
 *
 * @param leaseDuration the longest duration that an elector grants at once
 * @param initialDuration the duration that a candidate requests until it has a majority; short, so
 *     that a split vote is soon resolved
 * @param maxClockDrift the ratio by which a clock may run fast or slow against true time; two
 *     clocks may differ by twice that
 * @param renewInterval how often a holder requests the full lease duration again
 * @param replyTimeout how long a candidate waits for replies
 * @param rankDelay how long a candidate waits for each candidate that ranks above it
 * @param candidateCount how many of the highest-ranked mixers request a lease
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
   * @throws LeaseException.InvalidLeaseSettings if a duration or ratio is out of range or the
   *     durations contradict each other
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
          "leaseDuration "
              + leaseDuration
              + ", initialDuration "
              + initialDuration
              + ", maxClockDrift "
              + maxClockDrift
              + ", renewInterval "
              + renewInterval
              + ", replyTimeout "
              + replyTimeout
              + ", rankDelay "
              + rankDelay
              + ", candidateCount "
              + candidateCount);
    }
  }

  /**
   * Returns the default settings: a lease of 2 s, with clocks within 1% of true time (a quartz
   * clock is within 0.01%).
   */
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
   * Returns how long a holder may use a grant, by its own clock and counted from before it sent the
   * request. If both clocks are within the drift bound, the holder stops before the elector's grant
   * expires: grantedDuration / (1 + drift) of true time is the least that the elector waits, and
   * holderDuration / (1 - drift) is the most that the holder uses.
   */
  public Duration holderDuration(Duration grantedDuration) {
    return Duration.ofNanos(
        (long) (grantedDuration.toNanos() * ((1 - maxClockDrift) / (1 + maxClockDrift))));
  }

  /**
   * Returns for how long, in true time, two holders may overlap at most if clocks drift by {@code
   * actualDrift}.
   */
  public Duration maxOverlap(double actualDrift) {
    double overlapRatio =
        (1 - maxClockDrift) / ((1 + maxClockDrift) * (1 - actualDrift)) - 1 / (1 + actualDrift);
    return Duration.ofNanos((long) (leaseDuration.toNanos() * Math.max(0, overlapRatio)));
  }

  /** Returns how long, by its own clock, an elector grants nothing after a restart. */
  public Duration quietPeriod() {
    return Duration.ofNanos(
        (long) (leaseDuration.toNanos() * ((1 + maxClockDrift) / (1 - maxClockDrift))) + 1);
  }
}
