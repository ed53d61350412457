package gingerring.emulator.simulation;

import gingerring.share.CapacityEstimator;
import gingerring.share.FairShares;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.SplittableRandom;

/**
 * One box's room shared by mixers that hear each other's demands, answers and refusals late, in
 * simulated time. In its course demand shifts, some leave, new ones come, and the box's capacity
 * halves and comes back.
 */
public final class CapacitySharingSimulation {
  /**
   * {@code delayMs}: the mean age at which a report counts, each between a half and one and a half
   * of it.
   */
  public record Setup(
      int mixers, double delayMs, double gain, double maxGrowth, double holdMs, long seed) {}

  /**
   * {@code errors}: by change (shift, leave, join, halved, back), the largest distance of any mixer
   * from its due, over that or the even part if larger, from 5 s after the change to the next;
   * {@code refused}: share refused from 5 s after a change on; {@code swing}: largest less least
   * sum sent then, over the capacity.
   */
  public record Result(double[] errors, double rejectedShare, double swing) {}

  private record Report(double demand, double answered, double rejected) {
    static final Report NONE = new Report(0, 0, 0);
  }

  private static final int STEP_MS = 250;
  private static final int CHANGE_INTERVAL_MS = 15_000;
  private static final int SETTLING_MS = 5_000;
  private static final double CAPACITY = 1000;

  private CapacitySharingSimulation() {}

  public static Result run(Setup setup) {
    SplittableRandom chance = new SplittableRandom(setup.seed);
    int n = setup.mixers;
    double[] demand = new double[n];
    boolean[] there = new boolean[n];
    CapacityEstimator[] beliefs = new CapacityEstimator[n];
    Deque<Report>[] reports = emptyQueues(n);
    int[] late = new int[n];
    for (int i = 0; i < n; i++) {
      demand[i] = CAPACITY / n * (0.4 + 2 * chance.nextDouble());
      there[i] = i < n - Math.max(1, n / 5); // a fifth comes later
      beliefs[i] = newEstimator(setup);
      late[i] = (int) Math.round(setup.delayMs * (0.5 + chance.nextDouble()) / STEP_MS);
    }
    double[] errors = new double[5];
    double refusedSum = 0;
    double sentSum = 0;
    double swing = 0;
    double least = Double.POSITIVE_INFINITY;
    double largest = 0;
    double capacity = CAPACITY;
    int steps = 6 * CHANGE_INTERVAL_MS / STEP_MS;
    for (int step = 0; step < steps; step++) {
      int at = step * STEP_MS;
      int change = at / CHANGE_INTERVAL_MS - 1;
      if (at % CHANGE_INTERVAL_MS == 0 && change >= 0) {
        capacity = applyChange(change, demand, there, beliefs, setup, chance, capacity);
        least = Double.POSITIVE_INFINITY;
        largest = 0;
      }
      double[] sent = new double[n];
      double all = 0;
      for (int i = 0; i < n; i++) {
        if (there[i]) {
          double[] heard = new double[n];
          double answered = 0;
          double refused = 0;
          for (int j = 0; j < n; j++) {
            // its own at once, the others' as late as they are heard
            Report report = there[j] ? reportAt(reports[j], j == i ? 0 : late[j]) : Report.NONE;
            heard[j] = j == i ? demand[i] : report.demand;
            answered += report.answered;
            refused += report.rejected;
          }
          beliefs[i].update(answered, refused, Duration.ofMillis(at));
          double[] even = new double[n];
          Arrays.fill(even, 1);
          sent[i] = Math.min(demand[i], beliefs[i].share(heard, even, i));
          all += sent[i];
        }
      }
      double served = Math.min(1, capacity / Math.max(1e-9, all));
      for (int i = 0; i < n; i++) {
        reports[i].addFirst(
            new Report(there[i] ? demand[i] : 0, sent[i] * served, sent[i] * (1 - served)));
        if (reports[i].size() > 100) {
          reports[i].removeLast();
        }
      }
      if (change >= 0 && at % CHANGE_INTERVAL_MS >= SETTLING_MS) {
        double[] wanted = new double[n];
        double[] even = new double[n];
        int count = 0;
        for (int i = 0; i < n; i++) {
          wanted[i] = there[i] ? demand[i] : 0;
          even[i] = 1;
          count += there[i] ? 1 : 0;
        }
        double[] due = FairShares.allocate(capacity, wanted, even);
        for (int i = 0; i < n; i++) {
          if (there[i]) {
            errors[change] =
                Math.max(
                    errors[change],
                    Math.abs(sent[i] - due[i]) / Math.max(due[i], capacity / count));
          }
        }
        refusedSum += all * (1 - served);
        sentSum += all;
        least = Math.min(least, all);
        largest = Math.max(largest, all);
        swing = Math.max(swing, (largest - least) / capacity);
      }
    }
    return new Result(errors, refusedSum / Math.max(1e-9, sentSum), swing);
  }

  private static CapacityEstimator newEstimator(Setup setup) {
    return new CapacityEstimator(
        setup.gain, setup.maxGrowth, Duration.ofMillis((long) setup.holdMs));
  }

  private static double applyChange(
      int which,
      double[] demand,
      boolean[] there,
      CapacityEstimator[] beliefs,
      Setup setup,
      SplittableRandom chance,
      double capacity) {
    int n = demand.length;
    switch (which) {
      case 0 -> { // what one half asked for, the other asks for now
        for (int i = 0; i < n / 2; i++) {
          double mine = demand[i];
          demand[i] = demand[n - 1 - i];
          demand[n - 1 - i] = mine;
        }
        demand[0] *= 10;
      }
      case 1 -> {
        for (int i = 1; i < n; i += 5) {
          there[i] = false;
        }
      }
      case 2 -> { // all who are away come, and know nothing
        for (int i = 0; i < n; i++) {
          if (!there[i]) {
            there[i] = true;
            beliefs[i] = newEstimator(setup);
          }
        }
      }
      case 3 -> {
        return capacity / 2;
      }
      default -> {
        return capacity * 2;
      }
    }
    return capacity;
  }

  @SuppressWarnings({"unchecked", "rawtypes"}) // no arrays of generic type
  private static Deque<Report>[] emptyQueues(int n) {
    Deque<Report>[] deques = new Deque[n];
    Arrays.setAll(deques, i -> new ArrayDeque<>());
    return deques;
  }

  private static Report reportAt(Deque<Report> reports, int back) {
    int i = 0;
    for (Report each : reports) {
      if (i++ == back) {
        return each;
      }
    }
    return Report.NONE;
  }
}
