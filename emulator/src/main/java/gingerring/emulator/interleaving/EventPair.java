package gingerring.emulator.interleaving;

import gingerring.emulator.core.SeededDraw;

/** What a seed draws: two events in their order, and the small spans and choices about them. */
public record EventPair(long seed, Event first, Event second) {
  private static final int SHORT_DIAL_TIMEOUT_MS = 250;
  private static final int LONG_DIAL_TIMEOUT_MS = 1600;

  /** Two events that a seed draws; both may be the same where that can come twice. */
  public static EventPair fromSeed(long seed) {
    Event[] events = Event.values();
    for (long attempt = 0; ; attempt++) {
      Event first = events[(int) (SeededDraw.draw(seed, "first", attempt) * events.length)];
      Event second = events[(int) (SeededDraw.draw(seed, "second", attempt) * events.length)];
      if (first != second
          || first == Event.SIGTERM
          || first == Event.SIGHUP_MOVES
          || first == Event.WATCH_RESET) {
        return new EventPair(seed, first, second);
      }
    }
  }

  boolean endsMixer() {
    return first == Event.SIGTERM || second == Event.SIGTERM;
  }

  boolean includes(Event event) {
    return first == event || second == event;
  }

  /** Whether a client goes in it while it waits. */
  boolean clientLeaves() {
    return first.clientLeaves() || second.clientLeaves();
  }

  /**
   * How long after both events the boxes go on: where a client has gone, late enough for an attempt
   * that begins then to be a foul.
   */
  int resumeDelayMs() {
    return clientLeaves() ? drawBetween("go on", 280, 450) : drawBetween("go on", 10, 150);
  }

  /**
   * Which of so many grades the first scan is of: where its client goes, of the first, which is
   * sent again.
   */
  int serviceClassIndex(int classCount) {
    return clientLeaves() ? 0 : drawBetween("grade", 0, classCount - 1);
  }

  /**
   * How long discovery is down where it is: its return falls into any part of what a mixer does
   * meanwhile.
   */
  int discoveryDownMs() {
    return drawBetween("down", 400, 5000);
  }

  /**
   * Whether they go on by resets under all that is out, so that what is still wanted is sent again:
   * always where a client has gone, as nothing else would show that the mixer has not seen it.
   */
  boolean resumesByReset() {
    return clientLeaves() || drawFraction("resets") < 0.3;
  }

  /**
   * The mixer's own bound of a dial, in ms: where boxes come up late, half of the draws wait for
   * them.
   */
  int dialTimeoutMs() {
    return (includes(Event.BOX_LATE) || includes(Event.BOXES_LATE)) && drawFraction("dial") < 0.5
        ? LONG_DIAL_TIMEOUT_MS
        : SHORT_DIAL_TIMEOUT_MS;
  }

  double drawFraction(String purpose, long... indices) {
    return SeededDraw.draw(seed, purpose, indices);
  }

  int drawBetween(String purpose, int min, int max) {
    return min + (int) (drawFraction(purpose) * (max - min + 1));
  }

  /** How to play it alone. */
  public String replayCommand() {
    return "java -cp cli/target/gingerring-cli.jar gingerring.emulator.interleaving.InterleavingRunner --seed "
        + seed
        + " --pair "
        + this;
  }

  @Override
  public String toString() {
    return first + "," + second;
  }
}
