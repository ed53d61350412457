package gingerring.emulator.interleaving;

import gingerring.emulator.core.SeededDraw;

/**
 * Two events in the order in which they are injected, and the seed from which the delays and
 * choices around them are drawn.
 */
public record EventPair(long seed, Event first, Event second) {
  private static final int SHORT_DIAL_TIMEOUT_MS = 250;
  private static final int LONG_DIAL_TIMEOUT_MS = 1600;

  /** Draws a pair from a seed. Both events can be the same only for events that can occur twice. */
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

  /** Returns whether one of the events makes a client leave before its answer arrives. */
  boolean clientLeaves() {
    return first.clientLeaves() || second.clientLeaves();
  }

  /**
   * Returns the delay in ms between the second event and the time at which the boxes send their
   * answers again. If a client has left, the delay is long enough that an attempt started after it
   * is a violation.
   */
  int resumeDelayMs() {
    return clientLeaves() ? drawBetween("go on", 280, 450) : drawBetween("go on", 10, 150);
  }

  /**
   * Returns the index of the first scan's service class. If the client leaves, it is the first
   * class, whose scans are retried.
   */
  int serviceClassIndex(int classCount) {
    return clientLeaves() ? 0 : drawBetween("grade", 0, classCount - 1);
  }

  /**
   * Returns for how many ms discovery is unavailable; the range is wide so that its return can
   * coincide with any phase of the mixer's reconnection.
   */
  int discoveryDownMs() {
    return drawBetween("down", 400, 5000);
  }

  /**
   * Returns whether the boxes resume with a reset of all connections that have outstanding parts,
   * so that the mixer retries what it still needs. That is always so if a client has left: only a
   * retry shows that the mixer has missed it.
   */
  boolean resumesByReset() {
    return clientLeaves() || drawFraction("resets") < 0.3;
  }

  /**
   * Returns the mixer's dial timeout in ms. If boxes accept late, half of the pairs get one that is
   * long enough to wait for them.
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

  /** Returns the command that runs this pair alone. */
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
