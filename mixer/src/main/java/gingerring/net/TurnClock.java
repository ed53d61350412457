package gingerring.net;

import java.time.Duration;

/** The loop's time and wakes, for those who live on its thread. */
public interface TurnClock {
  /** The time of this turn, since the start. */
  Duration now();

  void wakeAfter(Duration span, Runnable task);
}
