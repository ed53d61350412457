package gingerring.peers;

import java.time.Duration;

/**
 * A ceiling on the bytes that a mixer sends its peers: so many a second over any span, and one
 * second's worth at once. What would go over it is not sent and counted; words go first, as others
 * can do without them for longer: they may use half of it.
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
          "a ceiling of "
              + bytesPerSecond
              + " bytes a second is under one letter of "
              + MessageCodec.MAX_BYTES);
    }
    bytesPerNano = bytesPerSecond / 1e9;
    burstBytes = bytesPerSecond;
    availableBytes = bytesPerSecond;
  }

  /** Whether so many bytes may go now; they count from now on. */
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
