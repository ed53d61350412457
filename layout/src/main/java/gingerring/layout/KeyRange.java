package gingerring.layout;

/**
 * The provider keys from {@code from} (inclusive) to {@code to} (exclusive), with their weight
 * among all keys. {@link ScanCoverage} measures a scan's progress by weight. Layout files call a
 * key range a slice.
 */
public record KeyRange(long from, long to, double weight) {
  public KeyRange {
    if (from < 0 || to <= from || !(weight > 0) || !Double.isFinite(weight)) {
      throw new IllegalArgumentException(
          "a slice from " + from + " to " + to + " weighing " + weight);
    }
  }

  /**
   * Returns the part of this range within the bounds, with the weight in proportion to its number
   * of keys.
   */
  KeyRange intersect(long lowerBound, long upperBound) {
    long start = Math.max(from, lowerBound);
    long end = Math.min(to, upperBound);
    return start == from && end == to
        ? this
        : new KeyRange(start, end, weight * ((double) (end - start) / (double) (to - from)));
  }

  @Override
  public String toString() {
    return "[" + from + ", " + to + ")";
  }
}
