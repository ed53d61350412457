package gingerring.backend;

import gingerring.net.ByteRing;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;

/**
 * Reads and encodes the frames of the searcher protocol: a length of four bytes, little-endian,
 * that counts a letter and the payload after it.
 */
final class FrameCodec {
  /** Thrown for a frame that violates the protocol. */
  static final class MalformedFrameException extends Exception {
    private static final long serialVersionUID = 1;

    MalformedFrameException(String message) {
      super(message, null, false, false);
    }
  }

  /** Receives each frame read. */
  interface Sink {
    void frame(char letter, byte[] payload) throws MalformedFrameException;
  }

  private static final int LENGTH_BYTES = 4;

  /** A searcher's value may have up to 64 KiB, plus the line before it. */
  static final int MAX_FRAME_BYTES = (1 << 16) + 1024;

  private final byte[] lengthField = new byte[LENGTH_BYTES];
  private int lengthFieldRead;

  /** The letter and payload of the frame that is being read; null while a length is. */
  private byte[] frame;

  private int frameRead;

  /** A complete frame that waits for the length after it; null if there is none. */
  private byte[] heldFrame;

  private long framesRead;

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
   * rest arrives.
   *
   * <p>A frame with further bytes behind it reaches the sink only once these have turned out to
   * begin with a length in range. If they do not, the length of the frame may have been wrong, and
   * its payload cut or mixed with bytes of the next frame: the sink does not get it.
   */
  void read(ByteRing in, Sink sink) throws MalformedFrameException {
    while (in.size() > 0) {
      if (frame == null && !readLength(in)) {
        return;
      }
      deliverHeldFrame(sink);
      frameRead += in.take(frame, frameRead, frame.length - frameRead);
      if (frameRead == frame.length) {
        heldFrame = frame;
        frame = null;
        lengthFieldRead = 0;
        framesRead++;
      }
    }
    if (lengthFieldRead == 0) {
      deliverHeldFrame(sink);
    }
  }

  /** Reads the next length as far as it has arrived; returns whether it is complete. */
  private boolean readLength(ByteRing in) throws MalformedFrameException {
    lengthFieldRead += in.take(lengthField, lengthFieldRead, LENGTH_BYTES - lengthFieldRead);
    if (lengthFieldRead < LENGTH_BYTES) {
      return false;
    }
    long length =
        Integer.toUnsignedLong(
            ByteBuffer.wrap(lengthField).order(ByteOrder.LITTLE_ENDIAN).getInt());
    if (length < 1 || length > MAX_FRAME_BYTES) {
      throw new MalformedFrameException("frame length " + length + " is out of range");
    }
    frame = new byte[(int) length];
    frameRead = 0;
    return true;
  }

  private void deliverHeldFrame(Sink sink) throws MalformedFrameException {
    if (heldFrame != null) {
      byte[] held = heldFrame;
      heldFrame = null;
      sink.frame((char) held[0], Arrays.copyOfRange(held, 1, held.length));
    }
  }

  static byte[] encode(char letter, byte[] payload) {
    return ByteBuffer.allocate(LENGTH_BYTES + 1 + payload.length)
        .order(ByteOrder.LITTLE_ENDIAN)
        .putInt(1 + payload.length)
        .put((byte) letter)
        .put(payload)
        .array();
  }

  /** Encodes one call: a line and the query text for each part. */
  static byte[] encodeCall(List<OutboundTrip> trips, Duration now) {
    ByteArrayOutputStream payload = new ByteArrayOutputStream();
    for (OutboundTrip trip : trips) {
      long remainingMs = Math.max(1, trip.deadline.minus(now).toMillis());
      String line =
          trip.wireId
              + ' '
              + trip.shard
              + " d="
              + remainingMs
              + (trip.idempotencyKey == null ? "" : ",k=" + trip.idempotencyKey)
              + ' '
              + trip.queryText.length
              + '\n';
      payload.writeBytes(line.getBytes(StandardCharsets.US_ASCII));
      payload.writeBytes(trip.queryText);
    }
    return encode('S', payload.toByteArray());
  }

  static byte[] encodeCancel(OutboundTrip trip) {
    return encode('C', trip.wireId.getBytes(StandardCharsets.US_ASCII));
  }
}
