package gingerring.net;

import java.time.Duration;

/** The event loop's clock and timers, for code on the loop's thread. */
public interface LoopTimer {
  /**
   * Returns when the current iteration of the event loop began, as time since the loop was created.
   */
  Duration now();

  /** Runs a task on the loop's thread after a delay. */
  void schedule(Duration delay, Runnable task);
}
