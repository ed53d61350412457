package gingerring.share;

import java.time.Duration;
import java.util.Collection;

/**
 * Whose turn it is to do what one is to do for all: to probe a benched box, to give a cold one its
 * next part, to connect first after a loss, to ask discovery first when it is back. {@link #delay}
 * says how long after the matter fell due this mixer leaves it to others; if it has no word by then
 * that it was done, it may do it.
 *
 * <p>With the members known, they stand in an order drawn for the matter and its round, a step
 * apart. Its two failures: where views of who is there differ by d members, at most d + 1 hold the
 * same place, so that at most d + 1 act in one step; where the first r are gone, stopped or do not
 * know, the next acts after r steps.
 *
 * <p>Without talk only the size of the fleet is known, and no mixer hears that another acted: each
 * draws its own time from so many steps, so that over the fleet one acts in a step on average,
 * however large the fleet is ({@link #randomDelay}); some act in the same step, as in any draw, and
 * the longest span without any is that of such a draw.
 */
public final class TurnOrder {
  private final MixerId self;
  private final Duration step;

  /** {@code step}: how long one who acts takes until the others know, and more than zero. */
  public TurnOrder(MixerId self, Duration step) {
    if (step.isZero() || step.isNegative()) {
      throw new IllegalArgumentException("a turn's step is " + step + ", and has to be above zero");
    }
    this.self = self;
    this.step = step;
  }

  /**
   * How many of the members come before this mixer, which itself need not stand among them. {@code
   * matter} names what is to be done and for whom, {@code round} counts up so that no mixer owns a
   * matter for good.
   */
  public int rank(long taskId, long round, Collection<MixerId> members) {
    long key = RendezvousHash.pairHash(taskId, round);
    long ownHash = RendezvousHash.pairHash(key, self.number());
    int rank = 0;
    for (MixerId member : members) {
      long memberHash = RendezvousHash.pairHash(key, member.number());
      rank +=
          memberHash < ownHash || memberHash == ownHash && member.number() < self.number() ? 1 : 0;
    }
    return rank;
  }

  /** How long after it fell due the matter is left to the members who come first. */
  public Duration delay(long taskId, long round, Collection<MixerId> members) {
    return step.multipliedBy(rank(taskId, round, members));
  }

  /**
   * The same where nobody is heard: a time of its own, at most {@code size} steps, even over the
   * fleet.
   */
  public Duration randomDelay(long taskId, long round, int fleetSize) {
    double share = RendezvousHash.unitHash(RendezvousHash.pairHash(taskId, round), self.number());
    return Duration.ofNanos((long) (step.toNanos() * share * Math.max(1, fleetSize)));
  }
}
