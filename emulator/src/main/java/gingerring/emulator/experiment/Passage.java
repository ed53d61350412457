package gingerring.emulator.experiment;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * What a link knows of the bytes that it carries to a box: whose they are, and when they left the
 * sender. A link that holds bytes back delivers them late, and that is not the sender's doing.
 */
public final class Passage {
  private record Piece(long end, Duration at) {}

  private final int mixer;
  private final Deque<Piece> pieces = new ArrayDeque<>();
  private long taken;

  public Passage(int mixer) {
    this.mixer = mixer;
  }

  int mixer() {
    return mixer;
  }

  /** The sender has handed over so many bytes more. */
  public void took(int length, Duration at) {
    taken += length;
    pieces.add(new Piece(taken, at));
  }

  /**
   * When the sender had handed over so many bytes; asked in order, as what lies before is
   * forgotten.
   */
  Duration sent(long bytes) {
    while (pieces.size() > 1 && pieces.peek().end < bytes) {
      pieces.poll();
    }
    return pieces.peek().at;
  }
}
