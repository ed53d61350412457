package gingerring.layout;

/**
 * Provider keys from {@code from} up to, but not, {@code to}, and how much they weigh among all:
 * the ledger's measure of what is in.
 */
public record KeyRange(long from, long to, double weight) {
  public KeyRange {
    if (from < 0 || to <= from || !(weight > 0) || !Double.isFinite(weight)) {
      throw new IllegalArgumentException(
          "a slice from " + from + " to " + to + " weighing " + weight);
    }
  }

  /** The part of it within a range; it weighs in proportion to its keys. */
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
