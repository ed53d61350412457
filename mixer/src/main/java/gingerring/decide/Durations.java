package gingerring.decide;

import java.time.Duration;

/** Arithmetic on durations. */
final class Durations {
  private Durations() {}

  static Duration millis(double ms) {
    return Duration.ofNanos(Math.round(ms * 1e6));
  }

  static Duration scale(Duration span, double factor) {
    return Duration.ofNanos((long) (span.toNanos() * factor));
  }

  static Duration min(Duration a, Duration b) {
    return a.compareTo(b) < 0 ? a : b;
  }

  static Duration max(Duration a, Duration b) {
    return a.compareTo(b) > 0 ? a : b;
  }
}
