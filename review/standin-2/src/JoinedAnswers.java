import java.net.Socket;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * A bad searcher. One answer of each connection, the tenth or a later one behind which another part
 * is open, leaves in one write with the next answer there, and its length does not fit. After that
 * the searcher sends nothing on the connection.
 */
final class JoinedAnswers implements World.Spoiler {
  private static final byte[] NOTHING = {};

  /** Whether the length takes in the next answer; if not, it is one byte too small. */
  private final boolean takesInNext;

  private final Map<Socket, Integer> answers = new HashMap<>();
  private final Map<Socket, byte[]> held = new HashMap<>();
  private final Set<Socket> silent = new HashSet<>();

  JoinedAnswers(boolean takesInNext) {
    this.takesInNext = takesInNext;
  }

  @Override
  public synchronized byte[] spoil(byte[] frame, Socket connection, int othersOpen) {
    if (silent.contains(connection)) {
      return NOTHING;
    }
    byte[] first = held.remove(connection);
    if (first != null) {
      silent.add(connection);
      byte[] both = Arrays.copyOf(first, first.length + frame.length);
      System.arraycopy(frame, 0, both, first.length, frame.length);
      // the lowest byte of the first length; both frames have some 50 bytes
      both[0] += takesInNext ? frame.length : -1;
      return both;
    }
    if (answers.merge(connection, 1, Integer::sum) < 10 || othersOpen == 0) {
      return frame;
    }
    held.put(connection, frame);
    return NOTHING;
  }
}
