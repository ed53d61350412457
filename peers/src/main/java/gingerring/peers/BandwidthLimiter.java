package gingerring.peers;

import java.time.Duration;

/**
 * A ceiling on the bytes that a mixer sends its peers: so many a second over any span, and one
 * second's worth at once. What would go over it is not sent and counted; words go first, as others
 * can do without them for longer: they may use half of it.
 */
final class BandwidthLimiter {
  private final double perNano;
  private final double most;
  private double left;
  private Duration at = Duration.ZERO;
  private long refused;

  BandwidthLimiter(int bytesPerSecond) {
    if (bytesPerSecond < MessageCodec.MAX_BYTES) {
      throw new IllegalArgumentException(
          "a ceiling of "
              + bytesPerSecond
              + " bytes a second is under one letter of "
              + MessageCodec.MAX_BYTES);
    }
    perNano = bytesPerSecond / 1e9;
    most = bytesPerSecond;
    left = bytesPerSecond;
  }

  /** Whether so many bytes may go now; they count from now on. */
  boolean take(int bytes, boolean word, Duration now) {
    if (now.compareTo(at) > 0) {
      left = Math.min(most, left + perNano * now.minus(at).toNanos());
      at = now;
    }
    if (left - bytes < (word ? most / 2 : 0)) {
      refused++;
      return false;
    }
    left -= bytes;
    return true;
  }

  long refused() {
    return refused;
  }
}
