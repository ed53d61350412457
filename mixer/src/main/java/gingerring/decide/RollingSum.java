package gingerring.decide;

import java.time.Duration;
import java.util.Arrays;

/**
 * Sums amounts over a sliding time window, in a ring of buckets of fixed length. Amounts are whole
 * numbers, so that the running total stays exact.
 */
public final class RollingSum {
  private final long windowNanos;
  private final long bucketNanos;
  private final double[] bucketSums;
  private double total;
  private long newestBucket = Long.MIN_VALUE;

  public RollingSum(Duration window, int bucketCount) {
    this.windowNanos = window.toNanos();
    bucketNanos = Math.max(1, (this.windowNanos + bucketCount - 1) / bucketCount);
    bucketSums = new double[bucketCount + 1];
  }

  public void add(Duration now, double amount) {
    advance(now);
    bucketSums[(int) Math.floorMod(newestBucket, (long) bucketSums.length)] += amount;
    total += amount;
  }

  /**
   * Returns the sum over at least the window: the bucket in which the window begins counts fully.
   */
  public double sum(Duration now) {
    advance(now);
    return total;
  }

  /** Returns the sum over at most the window: the bucket in which the window begins is left out. */
  public double sumWithin(Duration now) {
    advance(now);
    return sum(now, (int) (newestBucket - Math.floorDiv(now.toNanos() - windowNanos, bucketNanos)));
  }

  /**
   * Returns how many of the newest buckets together hold at least {@code minSum}; all buckets if
   * they hold less.
   */
  public int bucketsHolding(Duration now, double minSum) {
    advance(now);
    int buckets = 0;
    for (double heldSum = 0; buckets < bucketSums.length && heldSum < minSum; buckets++) {
      heldSum += bucketSums[(int) Math.floorMod(newestBucket - buckets, (long) bucketSums.length)];
    }
    return buckets;
  }

  /** Returns the sum over the given number of newest buckets. */
  public double sum(Duration now, int buckets) {
    advance(now);
    double partialSum = 0;
    for (int i = 0; i < buckets; i++) {
      partialSum += bucketSums[(int) Math.floorMod(newestBucket - i, (long) bucketSums.length)];
    }
    return partialSum;
  }

  public void clear() {
    Arrays.fill(bucketSums, 0);
    total = 0;
  }

  private void advance(Duration now) {
    long bucket = Math.floorDiv(now.toNanos(), bucketNanos);
    if (newestBucket == Long.MIN_VALUE) {
      newestBucket = bucket;
    }
    for (long i = Math.max(newestBucket + 1, bucket - bucketSums.length + 1); i <= bucket; i++) {
      int slot = (int) Math.floorMod(i, (long) bucketSums.length);
      total -= bucketSums[slot];
      bucketSums[slot] = 0;
    }
    newestBucket = Math.max(newestBucket, bucket);
  }
}
