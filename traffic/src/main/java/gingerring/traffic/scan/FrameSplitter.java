package gingerring.traffic.scan;

/**
 * The searchers' frames in a stream that may have holes: a length of four bytes, least first, then
 * the rest.
 */
final class FrameSplitter {
  /** Longer than this no frame is; see the mixer's own reader. */
  private static final int MOST = (1 << 16) + 1024;

  private static final String LETTERS = "SCHMRF";

  /** Who is told of each whole frame: its letter first. */
  interface FrameHandler {
    void onFrame(byte[] frame, long nanos);
  }

  private final byte[] head = new byte[4];
  private int headRead;
  private byte[] frame;
  private int read;
  private boolean lost;

  static int frameLength(byte[] head) {
    return head[0] & 0xFF | (head[1] & 0xFF) << 8 | (head[2] & 0xFF) << 16 | (head[3] & 0xFF) << 24;
  }

  /** Whether a stream that begins so can be one of frames. */
  static boolean startsWithFrame(byte[] head, int size) {
    return size >= 5
        && frameLength(head) >= 1
        && frameLength(head) <= MOST
        && LETTERS.indexOf(head[4]) >= 0;
  }

  /** False once the stream cannot be read on. */
  boolean append(byte[] bytes, int at, int length, long nanos, FrameHandler sink) {
    int end = at + length;
    while (at < end && !lost) {
      if (frame == null) {
        head[headRead++] = bytes[at++];
        if (headRead == 4) {
          int size = frameLength(head);
          lost = size < 1 || size > MOST;
          frame = new byte[lost ? 0 : size];
          read = 0;
        }
        continue;
      }
      int count = Math.min(end - at, frame.length - read);
      System.arraycopy(bytes, at, frame, read, count);
      at += count;
      read += count;
      if (read == frame.length) {
        byte[] whole = frame;
        frame = null;
        headRead = 0;
        sink.onFrame(whole, nanos);
      }
    }
    return !lost;
  }

  /** Nothing tells where the next frame begins. */
  void markUndecodable() {
    lost = true;
  }
}
