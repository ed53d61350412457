package gingerring.share;

import java.time.Duration;
import java.util.Collection;

/**
 * One matter that is done once in each span by one mixer for all, as one mixer knows it. All times
 * are of the common clock: since a moment that all know. Ask {@link #nextTurn} when this mixer acts
 * if it hears of nobody who has; call {@link #claimRound} when it does, and tell the others the
 * round that it returns; {@link #receiveClaim} when another tells so. Rounds are numbered by the
 * clock, so that one who starts anew, or wakes after a stop, knows the round at once and needs
 * nobody's word for it.
 *
 * <p>Two act in a round: one more for each mixer that a word did not reach within its step, and one
 * more for each whose clock is off by more than a step. Nobody acts: those who come first and are
 * not there take a step each, and where they fill a whole span the next round has another order.
 *
 * <p>Who claims rounds that it did not do holds up only its own: a claim is believed only from a
 * member whose place has come, by this mixer's own order and clock, give or take a step. So of n
 * members f that claim falsely, alone or together, hold up no round in which none of them comes
 * first among those there. State: two numbers.
 */
public final class TurnSchedule {
  private final TurnOrder order;
  private final MixerId self;
  private final long taskId;
  private final Duration roundPeriod;
  private final Duration step;

  /** The last round that is known to have been done. */
  private long lastDoneRound = Long.MIN_VALUE;

  private long rejectedClaims;

  /**
   * {@code every}: a round's span; {@code step}: how long one who acts takes until the others know.
   */
  public TurnSchedule(MixerId self, long taskId, Duration roundPeriod, Duration step) {
    if (roundPeriod.compareTo(step) < 0) {
      throw new IllegalArgumentException(
          "a round of " + roundPeriod + " is shorter than a step of " + step);
    }
    order = new TurnOrder(self, step);
    this.self = self;
    this.taskId = taskId;
    this.roundPeriod = roundPeriod;
    this.step = step;
  }

  /** The round that a moment is in. */
  public long roundAt(Duration now) {
    return Math.floorDiv(now.toNanos(), roundPeriod.toNanos());
  }

  /**
   * When this mixer next acts, unless it hears of another before: now, where its turn has passed
   * unused.
   */
  public Duration nextTurn(Collection<MixerId> members, Duration now) {
    long round =
        Math.max(
            roundAt(now), lastDoneRound == Long.MIN_VALUE ? Long.MIN_VALUE : lastDoneRound + 1);
    Duration delay = order.delay(taskId, round, members);
    while (delay.compareTo(roundPeriod) >= 0) { // so many come first that the round is over before
      round++;
      delay = order.delay(taskId, round, members);
    }
    Duration turn = roundPeriod.multipliedBy(round).plus(delay);
    return turn.compareTo(now) > 0 ? turn : now;
  }

  /** This mixer acts; returns the round to tell. */
  public long claimRound(Duration now) {
    lastDoneRound = Math.max(lastDoneRound, roundAt(now));
    return lastDoneRound;
  }

  /** Another says that it has done a round; returns whether that is believed and new. */
  public boolean receiveClaim(
      MixerId author, long claimedRound, Collection<MixerId> members, Duration now) {
    if (claimedRound <= lastDoneRound) {
      return false;
    }
    Duration turnOffset =
        step.multipliedBy(new TurnOrder(author, step).rank(taskId, claimedRound, members) - 1L);
    boolean currentRound =
        claimedRound == roundAt(now)
            || claimedRound == roundAt(now.plus(step))
            || claimedRound == roundAt(now.minus(step));
    boolean valid =
        members.contains(author)
            && !author.equals(self)
            && currentRound
            && now.minus(roundPeriod.multipliedBy(claimedRound)).compareTo(turnOffset) >= 0;
    if (!valid) {
      rejectedClaims++;
      return false;
    }
    lastDoneRound = claimedRound;
    return true;
  }

  /** Claims that were not believed. */
  public long rejectedClaims() {
    return rejectedClaims;
  }
}
