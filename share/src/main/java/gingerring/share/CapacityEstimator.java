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
  private static final double REFUSED = 0.01;

  /** The room binds where so much of it is used. */
  private static final double BINDS = 0.97;

  private record Bore(Duration at, double answered) {}

  private static final double TRY_LEAST = 0.002;
  private static final double FASTER = 1.25;

  private final double gain;
  private final double most;
  private final Duration hold;
  private final Duration window;

  /** Falling from the most on: what may yet be the most of the window. */
  private final Deque<Bore> bore = new ArrayDeque<>();

  private double room = Double.POSITIVE_INFINITY;
  private double larger = TRY_LEAST;
  private Duration refusedAt;

  /**
   * {@code gain}: how much of the way to what was measured it goes at once, above 0 to 1; {@code
   * most}: the largest step up, as a share; {@code hold}: how long it is not tried larger after a
   * refusal, twice the reports' delay or more.
   */
  public CapacityEstimator(double gain, double most, Duration hold) {
    if (!(gain > 0 && gain <= 1) || !(most >= TRY_LEAST && most <= 1) || hold.isNegative()) {
      throw new IllegalArgumentException("gain " + gain + ", most " + most + ", hold " + hold);
    }
    this.gain = gain;
    this.most = most;
    this.hold = hold;
    this.window = hold;
  }

  /** What the fleet is told to have had of this box, in parts a second, over one span. */
  public void update(double answered, double refused, Duration now) {
    if (!(answered >= 0) || !(refused >= 0)) {
      throw new IllegalArgumentException(answered + " answered, " + refused + " refused");
    }
    double all = answered + refused;
    if (all > 0 && refused > REFUSED * all) {
      refusedAt = now;
      larger = TRY_LEAST;
      double bore = measured(answered, now);
      room = Double.isInfinite(room) ? bore : room + gain * (bore - room);
    } else if (!Double.isInfinite(room)
        && answered >= BINDS * room
        && (refusedAt == null || now.minus(refusedAt).compareTo(hold) >= 0)) {
      room = Math.max(room, answered) * (1 + larger);
      larger = Math.min(most, larger * FASTER);
    }
  }

  /**
   * The most that was answered of late: sums of reports of unlike age fall short of what it bears.
   */
  private double measured(double answered, Duration now) {
    while (!bore.isEmpty() && bore.peekLast().answered <= answered) {
      bore.removeLast();
    }
    bore.addLast(new Bore(now, answered));
    while (now.minus(bore.peekFirst().at).compareTo(window) > 0) {
      bore.removeFirst();
    }
    return bore.peekFirst().answered;
  }

  /** Parts a second that it is believed to bear; infinite while nothing was ever refused. */
  public double capacity() {
    return room;
  }

  /** This mixer's due, in parts a second, of all demands and weights, its own at {@code self}. */
  public double share(double[] demands, double[] weights, int self) {
    return Double.isInfinite(room)
        ? demands[self]
        : FairShares.allocate(room, demands, weights)[self];
  }
}
