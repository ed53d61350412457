package gingerring.net;

import java.time.Duration;

/** Where the input and output threads leave word for the loop; safe from any thread. */
public interface EventQueue {
  void post(Runnable event);

  /** The time since the start, read now. */
  Duration currentTime();
}
