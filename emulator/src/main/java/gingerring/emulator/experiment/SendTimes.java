package gingerring.emulator.experiment;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Records, for one connection to a box, the mixer that sends and the times at which it sent the
 * bytes. A link that holds bytes back delivers them late; the rule checker needs the time of
 * sending.
 */
public final class SendTimes {
  private record Segment(long endOffset, Duration sentAt) {}

  private final int mixer;
  private final Deque<Segment> segments = new ArrayDeque<>();
  private long totalBytes;

  public SendTimes(int mixer) {
    this.mixer = mixer;
  }

  int mixer() {
    return mixer;
  }

  /** Records that the sender has passed on a number of further bytes. */
  public void recordSent(int length, Duration time) {
    totalBytes += length;
    segments.add(new Segment(totalBytes, time));
  }

  /**
   * Returns the time by which the sender had passed on the given number of bytes. The numbers must
   * not decrease from call to call, because earlier segments are dropped.
   */
  Duration sentAt(long bytes) {
    while (segments.size() > 1 && segments.peek().endOffset < bytes) {
      segments.poll();
    }
    return segments.peek().sentAt;
  }
}
