package gingerring.share;

import java.time.Duration;
import java.util.Collection;

/**
 * Order in which mixers take turns at a task that one performs on behalf of all: to probe an
 * ejected box, to send a cold box its next part, to reconnect first after a loss, to query
 * discovery first when it is back. {@link #delay} is how long after the task fell due this mixer
 * leaves it to others; if it has not been notified by then that the task was done, it may do it.
 *
 * <p>With known members, the members are ordered by a hash of the task and its round, a step apart.
 * The order degrades in two ways: where mixers' member lists differ by d members, at most d + 1
 * mixers have the same rank, so that at most d + 1 act in one step; where the first r members are
 * gone, paused or unaware of the task, the next acts after r steps.
 *
 * <p>Without messages only the fleet's size is known, and no mixer is notified that another acted:
 * each draws a random time within as many steps as there are mixers, so that over the fleet one
 * acts in each step on average, however large the fleet is ({@link #randomDelay}); some act in the
 * same step, as in any random draw, and the longest time without any action is that of such a draw.
 */
public final class TurnOrder {
  private final MixerId self;
  private final Duration step;

  /** {@code step}: the time from a mixer's action until the others are notified, above zero. */
  public TurnOrder(MixerId self, Duration step) {
    if (step.isZero() || step.isNegative()) {
      throw new IllegalArgumentException("step is " + step + ", must be above zero");
    }
    this.self = self;
    this.step = step;
  }

  /**
   * The number of members that come before this mixer, which need not be among them itself. {@code
   * taskId} identifies the task and its object, {@code round} counts up so that no mixer keeps a
   * task for good.
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

  /** How long after it fell due the task is left to the members that come first. */
  public Duration delay(long taskId, long round, Collection<MixerId> members) {
    return step.multipliedBy(rank(taskId, round, members));
  }

  /**
   * The delay where no messages are exchanged: a time of this mixer's own, at most {@code
   * fleetSize} steps, uniform over the fleet.
   */
  public Duration randomDelay(long taskId, long round, int fleetSize) {
    double share = RendezvousHash.unitHash(RendezvousHash.pairHash(taskId, round), self.number());
    return Duration.ofNanos((long) (step.toNanos() * share * Math.max(1, fleetSize)));
  }
}
