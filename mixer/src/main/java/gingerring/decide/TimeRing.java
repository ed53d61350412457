package gingerring.decide;

import java.time.Duration;
import java.util.Arrays;

/**
 * Sums over the recent past, in fixed buckets of time that are used again in a ring. Amounts are
 * whole numbers, so that the running total stays exact.
 */
public final class TimeRing {
  private final long span;
  private final long width;
  private final double[] sums;
  private double total;
  private long newest = Long.MIN_VALUE;

  public TimeRing(Duration span, int buckets) {
    this.span = span.toNanos();
    width = Math.max(1, (this.span + buckets - 1) / buckets);
    sums = new double[buckets + 1];
  }

  public void add(Duration now, double amount) {
    turn(now);
    sums[(int) Math.floorMod(newest, (long) sums.length)] += amount;
    total += amount;
  }

  /** The sum over at least the ring's span: the bucket that the span begins in counts whole. */
  public double sum(Duration now) {
    turn(now);
    return total;
  }

  /** The sum over less than the ring's span: the bucket that the span begins in is left out. */
  public double sumWithin(Duration now) {
    turn(now);
    return sum(now, (int) (newest - Math.floorDiv(now.toNanos() - span, width)));
  }

  /** How many of the newest buckets hold at least so much; all of them where they hold less. */
  public int back(Duration now, double least) {
    turn(now);
    int back = 0;
    for (double held = 0; back < sums.length && held < least; back++) {
      held += sums[(int) Math.floorMod(newest - back, (long) sums.length)];
    }
    return back;
  }

  /** The sum over so many of the newest buckets. */
  public double sum(Duration now, int back) {
    turn(now);
    double part = 0;
    for (int i = 0; i < back; i++) {
      part += sums[(int) Math.floorMod(newest - i, (long) sums.length)];
    }
    return part;
  }

  public void clear() {
    Arrays.fill(sums, 0);
    total = 0;
  }

  private void turn(Duration now) {
    long bucket = Math.floorDiv(now.toNanos(), width);
    if (newest == Long.MIN_VALUE) {
      newest = bucket;
    }
    for (long i = Math.max(newest + 1, bucket - sums.length + 1); i <= bucket; i++) {
      int at = (int) Math.floorMod(i, (long) sums.length);
      total -= sums[at];
      sums[at] = 0;
    }
    newest = Math.max(newest, bucket);
  }
}
