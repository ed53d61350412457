package gingerring.decide;

import java.time.Duration;

/** A service grade, and what a mixer has noticed of its scans. */
public final class Grade {
  /** What a repeat does: nothing, nothing while its mark is known, or harm. */
  public enum Repeats { REISSUABLE, NUMBERED, AT_MOST_ONCE }

  public Repeats repeats;
  public Duration quoted;
  public double quotedStretch;
  public Duration patience;
  public Duration window;
  public double lateShare;
  public double floor;
  public double need;
  public int fetch;
  /** The time that most tries of this grade are given, by a running vote. */
  public Duration usualTry = Duration.ZERO;
  public int usualVotes;

  public boolean partial() {
    return floor < need && repeats == Repeats.REISSUABLE;
  }
}
