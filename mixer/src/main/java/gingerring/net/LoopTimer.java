package gingerring.net;

import java.time.Duration;

/** The event loop's clock and timers, for code on the loop's thread. */
public interface LoopTimer {
  /** When this loop iteration began, as time since the start. */
  Duration now();

  /** Runs a task on the loop's thread after a delay. */
  void schedule(Duration delay, Runnable task);
}
