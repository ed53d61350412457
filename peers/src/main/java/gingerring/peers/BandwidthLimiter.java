package gingerring.peers;

import java.time.Duration;

/**
 * Token bucket that limits the bytes a mixer sends to its peers: a constant rate with a burst of
 * one second's worth. A message over the limit is not sent, and is counted. Reports and query
 * replies have low priority and may use only half of the burst, because peers can do without them
 * for longer than without membership messages.
 */
final class BandwidthLimiter {
  private final double bytesPerNano;
  private final double burstBytes;
  private double availableBytes;
  private Duration updatedAt = Duration.ZERO;
  private long refused;

  BandwidthLimiter(int bytesPerSecond) {
    if (bytesPerSecond < MessageCodec.MAX_BYTES) {
      throw new IllegalArgumentException(
          "a limit of "
              + bytesPerSecond
              + " bytes per second is less than one message of "
              + MessageCodec.MAX_BYTES);
    }
    bytesPerNano = bytesPerSecond / 1e9;
    burstBytes = bytesPerSecond;
    availableBytes = bytesPerSecond;
  }

  /** Consumes the bytes and returns true if they may be sent now; otherwise counts a refusal. */
  boolean tryTake(int bytes, boolean lowPriority, Duration now) {
    if (now.compareTo(updatedAt) > 0) {
      availableBytes =
          Math.min(burstBytes, availableBytes + bytesPerNano * now.minus(updatedAt).toNanos());
      updatedAt = now;
    }
    if (availableBytes - bytes < (lowPriority ? burstBytes / 2 : 0)) {
      refused++;
      return false;
    }
    availableBytes -= bytes;
    return true;
  }

  long refused() {
    return refused;
  }
}
