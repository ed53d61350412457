package gingerring.share;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Estimates the capacity of a box, in parts per second, from the reported sums of parts that the
 * whole fleet had answered and refused there. Each mixer keeps its own estimate, and its share is
 * its max-min fair share of that ({@link FairShares}). Call {@link #update} with the fleet's sums
 * each time that reports are evaluated, then {@link #share}.
 *
 * <p>Where parts are refused, the capacity is the rate that was answered: it is measured rather
 * than searched for, so that late reports cause no oscillation. Where nothing is refused and the
 * capacity is the limit, the estimate is raised in small steps that grow while no refusal follows,
 * and not raised for a while after a refusal, so that the effect of the last step has been reported
 * by then. Where the capacity is not the limit, the estimate stays as it is.
 *
 * <p>The estimate overshoots by the steps taken while a refusal is not yet reported: at worst
 * {@code maxStep} times the delay of reports over the interval between updates.
 */
public final class CapacityEstimator {
  /** Refusals of at most this share of all answered and refused parts count as noise. */
  private static final double MIN_REFUSED_SHARE = 0.01;

  /**
   * The capacity counts as the limit if the answered parts are at least this share of the estimated
   * capacity.
   */
  private static final double BINDING_USAGE = 0.97;

  private record Sample(Duration time, double answered) {}

  private static final double MIN_STEP = 0.002;
  private static final double STEP_GROWTH = 1.25;

  private final double gain;
  private final double maxStep;
  private final Duration holdAfterRefusal;
  private final Duration window;

  /**
   * The samples that are or may yet become the maximum of the window: in order of time, with the
   * answered rate decreasing from the maximum on.
   */
  private final Deque<Sample> samples = new ArrayDeque<>();

  private double capacity = Double.POSITIVE_INFINITY;
  private double step = MIN_STEP;
  private Duration lastRefusalAt;

  /**
   * {@code gain}: the share of the difference to the measured rate that one update takes in, above
   * 0 to 1; {@code maxStep}: the largest increase of the estimate, as a share; {@code
   * holdAfterRefusal}: how long the estimate is not raised after a refusal, twice the delay of
   * reports or more.
   */
  public CapacityEstimator(double gain, double maxStep, Duration holdAfterRefusal) {
    if (!(gain > 0 && gain <= 1)
        || !(maxStep >= MIN_STEP && maxStep <= 1)
        || holdAfterRefusal.isNegative()) {
      throw new IllegalArgumentException(
          "gain " + gain + ", max step " + maxStep + ", hold after refusal " + holdAfterRefusal);
    }
    this.gain = gain;
    this.maxStep = maxStep;
    this.holdAfterRefusal = holdAfterRefusal;
    this.window = holdAfterRefusal;
  }

  /**
   * Takes in the parts per second that the fleet had answered and refused at this box over one
   * interval.
   */
  public void update(double answered, double refused, Duration now) {
    if (!(answered >= 0) || !(refused >= 0)) {
      throw new IllegalArgumentException(answered + " answered, " + refused + " refused");
    }
    double total = answered + refused;
    if (total > 0 && refused > MIN_REFUSED_SHARE * total) {
      lastRefusalAt = now;
      step = MIN_STEP;
      double measured = maxAnswered(answered, now);
      capacity = Double.isInfinite(capacity) ? measured : capacity + gain * (measured - capacity);
    } else if (!Double.isInfinite(capacity)
        && answered >= BINDING_USAGE * capacity
        && (lastRefusalAt == null || now.minus(lastRefusalAt).compareTo(holdAfterRefusal) >= 0)) {
      capacity = Math.max(capacity, answered) * (1 + step);
      step = Math.min(maxStep, step * STEP_GROWTH);
    }
  }

  /**
   * The largest answered rate of the window. The latest one alone would be too low: sums of reports
   * of unequal age fall short of the capacity.
   */
  private double maxAnswered(double answered, Duration now) {
    while (!samples.isEmpty() && samples.peekLast().answered <= answered) {
      samples.removeLast();
    }
    samples.addLast(new Sample(now, answered));
    while (now.minus(samples.peekFirst().time).compareTo(window) > 0) {
      samples.removeFirst();
    }
    return samples.peekFirst().answered;
  }

  /** The estimated capacity in parts per second; infinite while nothing was ever refused. */
  public double capacity() {
    return capacity;
  }

  /**
   * This mixer's share, in parts per second, by all mixers' demands and weights; {@code self} is
   * the index of this mixer.
   */
  public double share(double[] demands, double[] weights, int self) {
    return Double.isInfinite(capacity)
        ? demands[self]
        : FairShares.allocate(capacity, demands, weights)[self];
  }
}
