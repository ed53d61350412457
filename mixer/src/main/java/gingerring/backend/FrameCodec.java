package gingerring.backend;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;

/**
 * Encodes the frames of the searcher protocol: a length of four bytes, little-endian, that counts a
 * letter and the payload after it. {@link FrameReader} reads them.
 */
final class FrameCodec {
  static final int LENGTH_BYTES = 4;

  private FrameCodec() {}

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
