package gingerring.traffic.scan;

/**
 * Splits a stream that may have gaps into searcher frames: a length of four bytes, little endian,
 * then the frame.
 */
final class FrameSplitter {
  /** Longest frame of the protocol; the mixer's frame reader has the same limit. */
  private static final int MAX_FRAME_BYTES = (1 << 16) + 1024;

  private static final String FRAME_TYPES = "SCHMRF";

  /** Receives each complete frame, whose first byte is the frame type. */
  interface FrameHandler {
    void onFrame(byte[] frame, long timestampNanos);
  }

  private final byte[] lengthField = new byte[4];
  private int lengthBytesRead;
  private byte[] frame;
  private int frameBytesRead;
  private boolean undecodable;

  static int frameLength(byte[] head) {
    return head[0] & 0xFF | (head[1] & 0xFF) << 8 | (head[2] & 0xFF) << 16 | (head[3] & 0xFF) << 24;
  }

  /** Whether a stream with these first bytes can be a stream of frames. */
  static boolean startsWithFrame(byte[] head, int size) {
    return size >= 5
        && frameLength(head) >= 1
        && frameLength(head) <= MAX_FRAME_BYTES
        && FRAME_TYPES.indexOf(head[4]) >= 0;
  }

  /** Appends bytes. Returns false once the stream cannot be decoded any further. */
  boolean append(byte[] bytes, int offset, int length, long timestampNanos, FrameHandler handler) {
    int endOffset = offset + length;
    while (offset < endOffset && !undecodable) {
      if (frame == null) {
        lengthField[lengthBytesRead++] = bytes[offset++];
        if (lengthBytesRead == 4) {
          int size = frameLength(lengthField);
          undecodable = size < 1 || size > MAX_FRAME_BYTES;
          frame = new byte[undecodable ? 0 : size];
          frameBytesRead = 0;
        }
        continue;
      }
      int count = Math.min(endOffset - offset, frame.length - frameBytesRead);
      System.arraycopy(bytes, offset, frame, frameBytesRead, count);
      offset += count;
      frameBytesRead += count;
      if (frameBytesRead == frame.length) {
        byte[] complete = frame;
        frame = null;
        lengthBytesRead = 0;
        handler.onFrame(complete, timestampNanos);
      }
    }
    return !undecodable;
  }

  /** Marks the stream as undecodable after a gap: nothing shows where the next frame begins. */
  void markUndecodable() {
    undecodable = true;
  }
}
