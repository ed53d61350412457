package gingerring.backend;

import gingerring.net.ByteRing;
import gingerring.net.MemoryBudget;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.Arrays;

/**
 * Reads the frames of one connection from a searcher, and alone decides which bytes belong to which
 * frame. A frame whose length may be wrong reaches nobody:
 *
 * <ul>
 *   <li>If bytes are behind it, they have to be the head of a frame that could follow there. If the
 *       length was too small, they begin with the rest of its payload; if it was too large, they
 *       lack what the payload has taken of them.
 *   <li>Its payload may not hold what could be the head of another frame. If the length took in the
 *       whole frame behind it, that frame's head is inside.
 * </ul>
 *
 * Otherwise reading ends with an exception, and nothing of the connection's input can be used any
 * more.
 */
final class FrameReader {
  /** Receives each frame read. */
  interface Sink {
    void frame(char letter, byte[] payload) throws MalformedFrameException;
  }

  /** The parts that the connection's answers may be for. */
  interface Parts {
    /** Returns whether a part was asked for on this connection, not too long ago. */
    boolean isKnown(String partId);

    /** Returns how many parts wait for their answer on this connection. */
    int inFlight();
  }

  /** A searcher's value may have up to 64 KiB, plus the line before it. */
  static final int MAX_FRAME_BYTES = (1 << 16) + 1024;

  /** Most bytes of a result's line, and of the answer to a load query. */
  private static final int MAX_LINE_BYTES = 1024;

  /** The longest answer to a health check is "failed". */
  private static final int MAX_HEALTH_FRAME_BYTES = 7;

  /** Memory for a frame up to this size is not taken from the budget. */
  private static final int UNBUDGETED_FRAME_BYTES = 1024;

  /** The third byte of a length in range; the fourth is 0. */
  private static final int MAX_LENGTH_THIRD_BYTE = MAX_FRAME_BYTES >> 16;

  private final Parts parts;
  private final MemoryBudget memory;
  private final byte[] lengthField = new byte[FrameCodec.LENGTH_BYTES];
  private int lengthFieldRead;

  /** The told length of the frame that is being read; 0 while a length is. */
  private int frameLength;

  /** The letter and payload of the frame that is being read, as far as they have arrived. */
  private byte[] frame = {};

  private int frameRead;

  /** A complete frame that waits for the head of the frame behind it; null if there is none. */
  private byte[] heldFrame;

  private long framesRead;
  private long reservedBytes;

  /** Creates a reader; {@code memory} limits the frames of all connections together. */
  FrameReader(Parts parts, MemoryBudget memory) {
    this.parts = parts;
    this.memory = memory;
  }

  /** Returns the number of complete frames read. */
  long framesRead() {
    return framesRead;
  }

  /** Returns whether a frame has been read in part. */
  boolean midFrame() {
    return lengthFieldRead > 0;
  }

  /**
   * Reads all complete frames from {@code in}; the bytes of an incomplete frame are kept until the
   * rest arrives. The frame before an incomplete one waits with it until its head has arrived.
   */
  void read(ByteRing in, Sink sink) throws MalformedFrameException {
    while (in.size() > 0) {
      if (frameLength == 0 && !readLength(in)) {
        return;
      }
      readFrameBytes(in);
      if (heldFrame != null && isHeadComplete()) {
        checkFollows();
        deliverHeldFrame(sink);
      }
      if (frameRead == frameLength) {
        finishFrame();
      }
    }
    if (lengthFieldRead == 0 && heldFrame != null) {
      deliverHeldFrame(sink);
    }
  }

  /** Releases the memory of the frames that have not reached the sink. */
  void release() {
    frame = new byte[0];
    heldFrame = null;
    memory.release(reservedBytes);
    reservedBytes = 0;
  }

  /** Reads the next length as far as it has arrived; returns whether it is complete. */
  private boolean readLength(ByteRing in) throws MalformedFrameException {
    lengthFieldRead += in.take(lengthField, lengthFieldRead, lengthField.length - lengthFieldRead);
    if (lengthFieldRead < lengthField.length) {
      return false;
    }
    long length =
        Integer.toUnsignedLong(
            ByteBuffer.wrap(lengthField).order(ByteOrder.LITTLE_ENDIAN).getInt());
    if (length < 1 || length > MAX_FRAME_BYTES) {
      throw new MalformedFrameException("frame length " + length + " is out of range");
    }
    frameLength = (int) length;
    return true;
  }

  /** Reads what has arrived of the frame. Memory grows with that, not with the told length. */
  private void readFrameBytes(ByteRing in) throws MalformedFrameException {
    int required = Math.min(frameLength, frameRead + in.size());
    if (required > frame.length) {
      int capacity = Math.min(frameLength, Math.max(required, 2 * frame.length));
      reserve(budgeted(capacity) - budgeted(frame.length));
      frame = Arrays.copyOf(frame, capacity);
    }
    frameRead += in.take(frame, frameRead, required - frameRead);
  }

  private static int budgeted(int capacity) {
    return Math.max(0, capacity - UNBUDGETED_FRAME_BYTES);
  }

  private void reserve(int bytes) throws MalformedFrameException {
    if (!memory.tryReserve(bytes)) {
      throw new MalformedFrameException("the frames of all searchers take too much memory");
    }
    reservedBytes += bytes;
  }

  private void finishFrame() {
    heldFrame = frame;
    frame = new byte[0];
    frameRead = 0;
    frameLength = 0;
    lengthFieldRead = 0;
    framesRead++;
  }

  /** Returns whether enough of the frame has arrived to tell whether it may follow another. */
  private boolean isHeadComplete() {
    return frameRead > 0
        && (frame[0] != 'R'
            || frameRead == frameLength
            || frameRead > MAX_LINE_BYTES
            || ResultLine.findEnd(frame, 1, frameRead) >= 0);
  }

  /** Checks that the frame that is being read could be what follows the held frame. */
  private void checkFollows() throws MalformedFrameException {
    // Anything in a frame may follow an answer while nothing else waits: no other is cut by it.
    boolean follows = isSoundHead() || parts.inFlight() <= 1 && isLetter(frame[0]);
    if (!follows) {
      throw new MalformedFrameException("a frame has bytes behind it that cannot follow it");
    }
  }

  /** Returns whether what has arrived of the frame is the head of one that was to be expected. */
  private boolean isSoundHead() {
    return switch (frame[0]) {
      case 'R' -> isResultOfKnownPart();
      case 'H' -> frameLength <= MAX_HEALTH_FRAME_BYTES;
      case 'M' -> frameLength <= MAX_LINE_BYTES;
      case 'F' -> true;
      default -> false;
    };
  }

  private boolean isResultOfKnownPart() {
    try {
      int lineEnd = ResultLine.findEnd(frame, 1, frameRead);
      return parts.isKnown(ResultLine.parse(frame, 1, lineEnd).partId());
    } catch (MalformedFrameException e) {
      return false;
    }
  }

  private static boolean isLetter(byte value) {
    return value >= 'A' && value <= 'Z' || value >= 'a' && value <= 'z';
  }

  private void deliverHeldFrame(Sink sink) throws MalformedFrameException {
    byte[] held = heldFrame;
    heldFrame = null;
    memory.release(budgeted(held.length));
    reservedBytes -= budgeted(held.length);
    if (mayHoldFrameHead(held)) {
      throw new MalformedFrameException("a frame may hold the head of another one");
    }
    sink.frame((char) held[0], Arrays.copyOfRange(held, 1, held.length));
  }

  /**
   * Returns whether the payload of a frame has bytes that could be a length in range and the letter
   * behind it, or the beginning of them at its end. The highest byte of such a length is 0.
   */
  private static boolean mayHoldFrameHead(byte[] frame) {
    for (int i = 1; i < frame.length; i++) {
      if (frame[i] == 0
          && (i == frame.length - 1
              || i >= FrameCodec.LENGTH_BYTES
                  && frame[i - 1] >= 0
                  && frame[i - 1] <= MAX_LENGTH_THIRD_BYTE
                  && isLetter(frame[i + 1]))) {
        return true;
      }
    }
    return false;
  }
}
