package gingerring.share;

import java.time.Duration;
import java.util.Collection;

/**
 * Schedule of a task that one mixer performs in each round on behalf of all, as one mixer knows it.
 * All times are those of a common clock: the time since a moment that all mixers know. {@link
 * #nextTurn} returns when this mixer acts if it receives no claim of another before; call {@link
 * #claimRound} when it acts, and send the returned round to the others; call {@link #receiveClaim}
 * for a claim of another mixer. Rounds are numbered by the clock, so a mixer that restarts, or
 * resumes after a pause, knows the round at once without any message.
 *
 * <p>More than one mixer may act in a round: one more for each mixer that a claim did not reach
 * within its step, and one more for each mixer whose clock is off by more than a step. No mixer may
 * act for a while: absent mixers that come first take a step each, and where they fill a whole
 * round the next round has another order.
 *
 * <p>A mixer that claims rounds falsely delays only its own: a claim is accepted only from a member
 * whose turn has come, by the receiver's order and clock, give or take a step. So of n members f
 * that claim falsely, alone or together, delay no round in which none of them comes first among the
 * present members. State: two numbers.
 */
public final class TurnSchedule {
  private final TurnOrder order;
  private final MixerId self;
  private final long taskId;
  private final Duration roundPeriod;
  private final Duration step;

  /**
   * The highest number of a round in which, as far as this mixer knows, a mixer has performed the
   * task: this mixer itself, or another one whose claim was accepted.
   */
  private long lastDoneRound = Long.MIN_VALUE;

  private long rejectedClaims;

  /**
   * {@code roundPeriod}: the length of a round; {@code step}: the time from a mixer's action until
   * the others have its claim.
   */
  public TurnSchedule(MixerId self, long taskId, Duration roundPeriod, Duration step) {
    if (roundPeriod.compareTo(step) < 0) {
      throw new IllegalArgumentException(
          "round period " + roundPeriod + " is shorter than step " + step);
    }
    order = new TurnOrder(self, step);
    this.self = self;
    this.taskId = taskId;
    this.roundPeriod = roundPeriod;
    this.step = step;
  }

  /** The round at the given time. */
  public long roundAt(Duration now) {
    return Math.floorDiv(now.toNanos(), roundPeriod.toNanos());
  }

  /**
   * Returns when this mixer next acts unless another mixer's claim arrives before; {@code now} if
   * this mixer's turn has passed without any claim.
   */
  public Duration nextTurn(Collection<MixerId> members, Duration now) {
    long round =
        Math.max(
            roundAt(now), lastDoneRound == Long.MIN_VALUE ? Long.MIN_VALUE : lastDoneRound + 1);
    Duration delay = order.delay(taskId, round, members);
    // so many mixers come first that the round ends before this mixer's turn
    while (delay.compareTo(roundPeriod) >= 0) {
      round++;
      delay = order.delay(taskId, round, members);
    }
    Duration turn = roundPeriod.multipliedBy(round).plus(delay);
    return turn.compareTo(now) > 0 ? turn : now;
  }

  /** Records that this mixer acts now; returns the round to send to the others. */
  public long claimRound(Duration now) {
    lastDoneRound = Math.max(lastDoneRound, roundAt(now));
    return lastDoneRound;
  }

  /**
   * Handles another mixer's claim to have done a round; returns whether the claim is valid and new.
   */
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

  /** The number of claims that were rejected. */
  public long rejectedClaims() {
    return rejectedClaims;
  }
}
