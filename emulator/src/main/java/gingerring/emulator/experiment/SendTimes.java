package gingerring.emulator.experiment;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * What a link knows of the bytes that it carries to a box: whose they are, and when they left the
 * sender. A link that holds bytes back delivers them late, and that is not the sender's doing.
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

  /** The sender has handed over so many bytes more. */
  public void recordSent(int length, Duration at) {
    totalBytes += length;
    segments.add(new Segment(totalBytes, at));
  }

  /**
   * When the sender had handed over so many bytes; asked in order, as what lies before is
   * forgotten.
   */
  Duration sentAt(long bytes) {
    while (segments.size() > 1 && segments.peek().endOffset < bytes) {
      segments.poll();
    }
    return segments.peek().sentAt;
  }
}
