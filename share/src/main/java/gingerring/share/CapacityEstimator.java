package gingerring.share;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * How much a box is believed to bear, in parts a second, by what the whole fleet is told to have
 * had answered and refused there; each mixer keeps its own belief, and its portion is its due of
 * that ({@link FairShares}). Call {@link #update} with the fleet's sums each time that reports are
 * looked at, then {@link #share}.
 *
 * <p>Where parts are refused the room is what was answered: measured, not searched for, so that
 * late reports bring no swing of their own. Where nothing is refused and the room binds, it is
 * tried a little larger, faster the longer that goes well, and not again for a while after a
 * refusal, so that what the last try led to has been heard. Where the room does not bind nothing is
 * learnt and nothing moves.
 *
 * <p>The belief overshoots by what it is tried larger while a refusal is on its way: {@code most}
 * times the reports' delay over {@code every} at the worst.
 */
public final class CapacityEstimator {
  /** Shares refused below this are chance. */
  private static final double MIN_REFUSED_SHARE = 0.01;

  /** The room binds where so much of it is used. */
  private static final double BINDING_USAGE = 0.97;

  private record Sample(Duration at, double answered) {}

  private static final double MIN_STEP = 0.002;
  private static final double STEP_GROWTH = 1.25;

  private final double gain;
  private final double maxStep;
  private final Duration holdAfterRefusal;
  private final Duration window;

  /** Falling from the most on: what may yet be the most of the window. */
  private final Deque<Sample> samples = new ArrayDeque<>();

  private double capacity = Double.POSITIVE_INFINITY;
  private double step = MIN_STEP;
  private Duration lastRefusalAt;

  /**
   * {@code gain}: how much of the way to what was measured it goes at once, above 0 to 1; {@code
   * most}: the largest step up, as a share; {@code hold}: how long it is not tried larger after a
   * refusal, twice the reports' delay or more.
   */
  public CapacityEstimator(double gain, double maxStep, Duration holdAfterRefusal) {
    if (!(gain > 0 && gain <= 1)
        || !(maxStep >= MIN_STEP && maxStep <= 1)
        || holdAfterRefusal.isNegative()) {
      throw new IllegalArgumentException(
          "gain " + gain + ", most " + maxStep + ", hold " + holdAfterRefusal);
    }
    this.gain = gain;
    this.maxStep = maxStep;
    this.holdAfterRefusal = holdAfterRefusal;
    this.window = holdAfterRefusal;
  }

  /** What the fleet is told to have had of this box, in parts a second, over one span. */
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
   * The most that was answered of late: sums of reports of unlike age fall short of what it bears.
   */
  private double maxAnswered(double answered, Duration now) {
    while (!samples.isEmpty() && samples.peekLast().answered <= answered) {
      samples.removeLast();
    }
    samples.addLast(new Sample(now, answered));
    while (now.minus(samples.peekFirst().at).compareTo(window) > 0) {
      samples.removeFirst();
    }
    return samples.peekFirst().answered;
  }

  /** Parts a second that it is believed to bear; infinite while nothing was ever refused. */
  public double capacity() {
    return capacity;
  }

  /** This mixer's due, in parts a second, of all demands and weights, its own at {@code self}. */
  public double share(double[] demands, double[] weights, int self) {
    return Double.isInfinite(capacity)
        ? demands[self]
        : FairShares.allocate(capacity, demands, weights)[self];
  }
}
