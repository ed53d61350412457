package gingerring.net;

import java.time.Duration;

/** The event loop's clock and timers, for code on the loop's thread. */
public interface LoopTimer {
  /**
   * Returns when the current iteration of the event loop began, as time since the loop was created.
   */
  Duration now();

  /**
   * Runs a task on the loop's thread after a delay. The loop refers to the task, and so to all that
   * the task refers to, until it has run or is cancelled: a task that is no longer needed before a
   * long delay has passed has to be cancelled.
   */
  ScheduledTask schedule(Duration delay, Runnable task);
}
