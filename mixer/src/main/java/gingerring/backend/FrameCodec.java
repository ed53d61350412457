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
 * The searchers' frames: a length of four bytes, least first, that covers a letter and the rest.
 */
final class FrameCodec {
  /** A frame that is not of the protocol. */
  static final class MalformedFrameException extends Exception {
    private static final long serialVersionUID = 1;

    MalformedFrameException(String message) {
      super(message, null, false, false);
    }
  }

  /** Who is told of each frame read. */
  interface Sink {
    void frame(char letter, byte[] rest) throws MalformedFrameException;
  }

  private static final int LENGTH_BYTES = 4;

  /** A value goes on in an answer of 64 KiB at most. */
  static final int MAX_FRAME_BYTES = (1 << 16) + 1024;

  private final byte[] lengthField = new byte[LENGTH_BYTES];
  private int lengthFieldRead;
  private byte[] frame;
  private int frameRead;
  private long framesRead;

  /** How many whole frames were read. */
  long framesRead() {
    return framesRead;
  }

  /** Whether a frame has begun to come and has not come whole. */
  boolean midFrame() {
    return lengthFieldRead > 0;
  }

  /** Reads all whole frames there are; the rest of one that is cut waits for its next bytes. */
  void read(ByteRing in, Sink sink) throws MalformedFrameException {
    while (in.size() > 0) {
      if (frame == null) {
        lengthFieldRead += in.take(lengthField, lengthFieldRead, LENGTH_BYTES - lengthFieldRead);
        if (lengthFieldRead < LENGTH_BYTES) {
          return;
        }
        long length =
            Integer.toUnsignedLong(
                ByteBuffer.wrap(lengthField).order(ByteOrder.LITTLE_ENDIAN).getInt());
        if (length < 1 || length > MAX_FRAME_BYTES) {
          throw new MalformedFrameException("a frame of " + length + " bytes");
        }
        frame = new byte[(int) length];
        frameRead = 0;
      }
      frameRead += in.take(frame, frameRead, frame.length - frameRead);
      if (frameRead == frame.length) {
        byte[] whole = frame;
        frame = null;
        lengthFieldRead = 0;
        framesRead++;
        sink.frame((char) whole[0], Arrays.copyOfRange(whole, 1, whole.length));
      }
    }
  }

  static byte[] encode(char letter, byte[] rest) {
    return ByteBuffer.allocate(LENGTH_BYTES + 1 + rest.length)
        .order(ByteOrder.LITTLE_ENDIAN)
        .putInt(1 + rest.length)
        .put((byte) letter)
        .put(rest)
        .array();
  }

  /** One call: a line and the text for each part. */
  static byte[] encodeCall(List<OutboundTrip> errands, Duration now) {
    ByteArrayOutputStream rest = new ByteArrayOutputStream();
    for (OutboundTrip errand : errands) {
      long wait = Math.max(1, errand.deadline.minus(now).toMillis());
      String line =
          errand.wireId
              + ' '
              + errand.shard
              + " d="
              + wait
              + (errand.idempotencyKey == null ? "" : ",k=" + errand.idempotencyKey)
              + ' '
              + errand.queryText.length
              + '\n';
      rest.writeBytes(line.getBytes(StandardCharsets.US_ASCII));
      rest.writeBytes(errand.queryText);
    }
    return encode('S', rest.toByteArray());
  }

  static byte[] encodeCancel(OutboundTrip errand) {
    return encode('C', errand.wireId.getBytes(StandardCharsets.US_ASCII));
  }
}
