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
  private final TurnOrder turns;
  private final MixerId self;
  private final long matter;
  private final Duration every;
  private final Duration step;

  /** The last round that is known to have been done. */
  private long done = Long.MIN_VALUE;

  private long disbelieved;

  /**
   * {@code every}: a round's span; {@code step}: how long one who acts takes until the others know.
   */
  public TurnSchedule(MixerId self, long matter, Duration every, Duration step) {
    if (every.compareTo(step) < 0) {
      throw new IllegalArgumentException(
          "a round of " + every + " is shorter than a step of " + step);
    }
    turns = new TurnOrder(self, step);
    this.self = self;
    this.matter = matter;
    this.every = every;
    this.step = step;
  }

  /** The round that a moment is in. */
  public long roundAt(Duration now) {
    return Math.floorDiv(now.toNanos(), every.toNanos());
  }

  /**
   * When this mixer next acts, unless it hears of another before: now, where its turn has passed
   * unused.
   */
  public Duration nextTurn(Collection<MixerId> members, Duration now) {
    long next = Math.max(roundAt(now), done == Long.MIN_VALUE ? Long.MIN_VALUE : done + 1);
    Duration wait = turns.delay(matter, next, members);
    while (wait.compareTo(every) >= 0) { // so many come first that the round is over before
      next++;
      wait = turns.delay(matter, next, members);
    }
    Duration turn = every.multipliedBy(next).plus(wait);
    return turn.compareTo(now) > 0 ? turn : now;
  }

  /** This mixer acts; returns the round to tell. */
  public long claimRound(Duration now) {
    done = Math.max(done, roundAt(now));
    return done;
  }

  /** Another says that it has done a round; returns whether that is believed and new. */
  public boolean receiveClaim(
      MixerId author, long told, Collection<MixerId> members, Duration now) {
    if (told <= done) {
      return false;
    }
    Duration turn = step.multipliedBy(new TurnOrder(author, step).rank(matter, told, members) - 1L);
    boolean round =
        told == roundAt(now) || told == roundAt(now.plus(step)) || told == roundAt(now.minus(step));
    boolean its =
        members.contains(author)
            && !author.equals(self)
            && round
            && now.minus(every.multipliedBy(told)).compareTo(turn) >= 0;
    if (!its) {
      disbelieved++;
      return false;
    }
    done = told;
    return true;
  }

  /** Claims that were not believed. */
  public long rejectedClaims() {
    return disbelieved;
  }
}
