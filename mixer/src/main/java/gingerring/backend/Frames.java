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
final class Frames {
  /** A frame that is not of the protocol. */
  static final class Malformed extends Exception {
    private static final long serialVersionUID = 1;

    Malformed(String message) {
      super(message, null, false, false);
    }
  }

  /** Who is told of each frame read. */
  interface Sink {
    void frame(char letter, byte[] rest) throws Malformed;
  }

  private static final int HEAD = 4;

  /** A value goes on in an answer of 64 KiB at most. */
  static final int FRAME_MOST = (1 << 16) + 1024;

  private final byte[] head = new byte[HEAD];
  private int headRead;
  private byte[] frame;
  private int read;
  private long framesRead;

  /** How many whole frames were read. */
  long framesRead() {
    return framesRead;
  }

  /** Whether a frame has begun to come and has not come whole. */
  boolean midway() {
    return headRead > 0;
  }

  /** Reads all whole frames there are; the rest of one that is cut waits for its next bytes. */
  void read(ByteRing in, Sink sink) throws Malformed {
    while (in.size() > 0) {
      if (frame == null) {
        headRead += in.take(head, headRead, HEAD - headRead);
        if (headRead < HEAD) {
          return;
        }
        long length =
            Integer.toUnsignedLong(ByteBuffer.wrap(head).order(ByteOrder.LITTLE_ENDIAN).getInt());
        if (length < 1 || length > FRAME_MOST) {
          throw new Malformed("a frame of " + length + " bytes");
        }
        frame = new byte[(int) length];
        read = 0;
      }
      read += in.take(frame, read, frame.length - read);
      if (read == frame.length) {
        byte[] whole = frame;
        frame = null;
        headRead = 0;
        framesRead++;
        sink.frame((char) whole[0], Arrays.copyOfRange(whole, 1, whole.length));
      }
    }
  }

  static byte[] frame(char letter, byte[] rest) {
    return ByteBuffer.allocate(HEAD + 1 + rest.length)
        .order(ByteOrder.LITTLE_ENDIAN)
        .putInt(1 + rest.length)
        .put((byte) letter)
        .put(rest)
        .array();
  }

  /** One call: a line and the text for each part. */
  static byte[] call(List<Errand> errands, Duration now) {
    ByteArrayOutputStream rest = new ByteArrayOutputStream();
    for (Errand errand : errands) {
      long wait = Math.max(1, errand.until.minus(now).toMillis());
      String line =
          errand.mark
              + ' '
              + errand.shard
              + " d="
              + wait
              + (errand.key == null ? "" : ",k=" + errand.key)
              + ' '
              + errand.text.length
              + '\n';
      rest.writeBytes(line.getBytes(StandardCharsets.US_ASCII));
      rest.writeBytes(errand.text);
    }
    return frame('S', rest.toByteArray());
  }

  static byte[] recall(Errand errand) {
    return frame('C', errand.mark.getBytes(StandardCharsets.US_ASCII));
  }
}
