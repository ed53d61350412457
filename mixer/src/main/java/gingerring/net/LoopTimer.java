package gingerring.net;

import java.time.Duration;

/** The loop's time and wakes, for those who live on its thread. */
public interface LoopTimer {
  /** The time of this turn, since the start. */
  Duration now();

  void schedule(Duration delay, Runnable task);
}
