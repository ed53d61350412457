package gingerring.backend;

import gingerring.net.ByteRing;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
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

  /** The length and the letter. */
  private static final int HEADER_BYTES = LENGTH_BYTES + 1;

  /** The letters of the frames that a searcher sends. */
  private static final String SEARCHER_LETTERS = "RHMF";

  /** A searcher's value may have up to 64 KiB, plus the line before it. */
  static final int MAX_FRAME_BYTES = (1 << 16) + 1024;

  /** A frame whose payload has {@code read} of its bytes so far. */
  private static final class Frame {
    final char letter;
    final byte[] payload;
    int read;

    Frame(char letter, int payloadLength) {
      this.letter = letter;
      payload = new byte[payloadLength];
    }

    boolean complete() {
      return read == payload.length;
    }
  }

  private final byte[] header = new byte[HEADER_BYTES];
  private int headerRead;

  /** The frame whose payload is being read; null while a header is. */
  private Frame frame;

  /** A complete frame that waits for the header after it; null if there is none. */
  private Frame heldFrame;

  private long framesRead;

  /** Returns the number of complete frames read. */
  long framesRead() {
    return framesRead;
  }

  /** Returns whether a frame has been read in part. */
  boolean midFrame() {
    return headerRead > 0;
  }

  /**
   * Reads all complete frames from {@code in}; the bytes of an incomplete frame are kept until the
   * rest arrives.
   *
   * <p>A frame with further bytes behind it reaches the sink only once these have turned out to
   * begin with a valid header. If they do not, the length of the frame may have been wrong, and its
   * payload cut or mixed with bytes of the next frame: the sink does not get it.
   */
  void read(ByteRing in, Sink sink) throws MalformedFrameException {
    while (in.size() > 0) {
      if (frame == null && !readHeader(in)) {
        return;
      }
      deliverHeldFrame(sink);
      frame.read += in.take(frame.payload, frame.read, frame.payload.length - frame.read);
      if (frame.complete()) {
        heldFrame = frame;
        frame = null;
        headerRead = 0;
        framesRead++;
      }
    }
    if (headerRead == 0) {
      deliverHeldFrame(sink);
    }
  }

  /** Reads the next header as far as it has arrived; returns whether it is complete. */
  private boolean readHeader(ByteRing in) throws MalformedFrameException {
    headerRead += in.take(header, headerRead, HEADER_BYTES - headerRead);
    if (headerRead >= LENGTH_BYTES) {
      checkLength();
    }
    if (headerRead < HEADER_BYTES) {
      return false;
    }
    char letter = (char) (header[LENGTH_BYTES] & 0xFF);
    if (SEARCHER_LETTERS.indexOf(letter) < 0) {
      throw new MalformedFrameException("unknown frame type " + (int) letter);
    }
    frame = new Frame(letter, (int) frameLength() - 1);
    return true;
  }

  private void checkLength() throws MalformedFrameException {
    long length = frameLength();
    if (length < 1 || length > MAX_FRAME_BYTES) {
      throw new MalformedFrameException("frame length " + length + " is out of range");
    }
  }

  /** Returns the length that the header tells, the letter included. */
  private long frameLength() {
    return Integer.toUnsignedLong(ByteBuffer.wrap(header).order(ByteOrder.LITTLE_ENDIAN).getInt());
  }

  private void deliverHeldFrame(Sink sink) throws MalformedFrameException {
    if (heldFrame != null) {
      Frame held = heldFrame;
      heldFrame = null;
      sink.frame(held.letter, held.payload);
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
