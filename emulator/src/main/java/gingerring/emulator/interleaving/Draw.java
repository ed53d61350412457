package gingerring.emulator.interleaving;

import gingerring.emulator.core.SeededDraw;

/** What a seed draws: two events in their order, and the small spans and choices about them. */
public record Draw(long seed, Event first, Event second) {
  private static final int DIAL_SHORT_MS = 250;
  private static final int DIAL_LONG_MS = 1600;

  /** Two events that a seed draws; both may be the same where that can come twice. */
  public static Draw of(long seed) {
    Event[] all = Event.values();
    for (long attempt = 0; ; attempt++) {
      Event first = all[(int) (SeededDraw.draw(seed, "first", attempt) * all.length)];
      Event second = all[(int) (SeededDraw.draw(seed, "second", attempt) * all.length)];
      if (first != second
          || first == Event.SIGTERM
          || first == Event.SIGHUP_MOVES
          || first == Event.WATCH_RESET) {
        return new Draw(seed, first, second);
      }
    }
  }

  boolean ends() {
    return first == Event.SIGTERM || second == Event.SIGTERM;
  }

  boolean has(Event event) {
    return first == event || second == event;
  }

  /** Whether a client goes in it while it waits. */
  boolean leaves() {
    return first.leaves() || second.leaves();
  }

  /**
   * How long after both events the boxes go on: where a client has gone, late enough for an attempt
   * that begins then to be a foul.
   */
  int goOnMs() {
    return leaves() ? between("go on", 280, 450) : between("go on", 10, 150);
  }

  /**
   * Which of so many grades the first scan is of: where its client goes, of the first, which is
   * sent again.
   */
  int grade(int grades) {
    return leaves() ? 0 : between("grade", 0, grades - 1);
  }

  /**
   * How long discovery is down where it is: its return falls into any part of what a mixer does
   * meanwhile.
   */
  int downMs() {
    return between("down", 400, 5000);
  }

  /**
   * Whether they go on by resets under all that is out, so that what is still wanted is sent again:
   * always where a client has gone, as nothing else would show that the mixer has not seen it.
   */
  boolean goesOnByResets() {
    return leaves() || chance("resets") < 0.3;
  }

  /**
   * The mixer's own bound of a dial, in ms: where boxes come up late, half of the draws wait for
   * them.
   */
  int dialMs() {
    return (has(Event.BOX_LATE) || has(Event.BOXES_LATE)) && chance("dial") < 0.5
        ? DIAL_LONG_MS
        : DIAL_SHORT_MS;
  }

  double chance(String what, long... more) {
    return SeededDraw.draw(seed, what, more);
  }

  int between(String what, int least, int most) {
    return least + (int) (chance(what) * (most - least + 1));
  }

  /** How to play it alone. */
  public String replay() {
    return "java -cp cli/target/gingerring-cli.jar gingerring.emulator.interleaving.Crossings --seed "
        + seed
        + " --pair "
        + this;
  }

  @Override
  public String toString() {
    return first + "," + second;
  }
}
