package gingerring.net;

import java.time.Duration;

/** The event loop's queue, into which the I/O threads post events; safe from any thread. */
public interface EventQueue {
  /** Queues an event to run on the loop's thread. */
  void post(Runnable event);

  /** Returns the current time since the event loop was created. */
  Duration currentTime();
}
