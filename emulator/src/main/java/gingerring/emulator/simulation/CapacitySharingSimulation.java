package gingerring.emulator.simulation;

import gingerring.share.CapacityEstimator;
import gingerring.share.FairShares;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.SplittableRandom;

/**
 * Simulates mixers that share the capacity of one box in simulated time; each receives the demands,
 * answers and rejections of the others late. During the run the demand shifts, some mixers leave,
 * new ones join, and the capacity of the box is halved and restored.
 */
public final class CapacitySharingSimulation {
  /**
   * Parameters; {@code delayMs} is the mean age at which a report takes effect, and the age for
   * each mixer lies between a half and one and a half of it.
   */
  public record Setup(
      int mixers,
      double delayMs,
      double gain,
      double maxStep,
      double holdAfterRefusalMs,
      long seed) {}

  /**
   * The result. {@code errors} has for each change (shift, leave, join, halved, restored) the
   * largest difference of any mixer from its fair share, relative to that share or to the equal
   * share if larger, from 5 s after the change to the next one; {@code rejectedShare} is the share
   * rejected in those periods, and {@code swing} the largest minus the smallest total sent in one
   * of them, relative to the capacity.
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
    SplittableRandom random = new SplittableRandom(setup.seed);
    int n = setup.mixers;
    double[] demand = new double[n];
    boolean[] active = new boolean[n];
    CapacityEstimator[] estimators = new CapacityEstimator[n];
    Deque<Report>[] reports = emptyQueues(n);
    int[] delaySteps = new int[n];
    for (int i = 0; i < n; i++) {
      demand[i] = CAPACITY / n * (0.4 + 2 * random.nextDouble());
      active[i] = i < n - Math.max(1, n / 5); // a fifth of the mixers joins later
      estimators[i] = newEstimator(setup);
      delaySteps[i] = (int) Math.round(setup.delayMs * (0.5 + random.nextDouble()) / STEP_MS);
    }
    double[] errors = new double[5];
    double rejectedSum = 0;
    double sentSum = 0;
    double swing = 0;
    double minSent = Double.POSITIVE_INFINITY;
    double maxSent = 0;
    double capacity = CAPACITY;
    int steps = 6 * CHANGE_INTERVAL_MS / STEP_MS;
    for (int step = 0; step < steps; step++) {
      int timeMs = step * STEP_MS;
      int change = timeMs / CHANGE_INTERVAL_MS - 1;
      if (timeMs % CHANGE_INTERVAL_MS == 0 && change >= 0) {
        capacity = applyChange(change, demand, active, estimators, setup, random, capacity);
        minSent = Double.POSITIVE_INFINITY;
        maxSent = 0;
      }
      double[] sent = new double[n];
      double totalSent = 0;
      for (int i = 0; i < n; i++) {
        if (active[i]) {
          double[] knownDemands = new double[n];
          double totalAnswered = 0;
          double totalRejected = 0;
          for (int j = 0; j < n; j++) {
            // a mixer's own report counts at once, those of the others with their delay
            Report report =
                active[j] ? reportAt(reports[j], j == i ? 0 : delaySteps[j]) : Report.NONE;
            knownDemands[j] = j == i ? demand[i] : report.demand;
            totalAnswered += report.answered;
            totalRejected += report.rejected;
          }
          estimators[i].update(totalAnswered, totalRejected, Duration.ofMillis(timeMs));
          double[] equalWeights = new double[n];
          Arrays.fill(equalWeights, 1);
          sent[i] = Math.min(demand[i], estimators[i].share(knownDemands, equalWeights, i));
          totalSent += sent[i];
        }
      }
      double servedShare = Math.min(1, capacity / Math.max(1e-9, totalSent));
      for (int i = 0; i < n; i++) {
        reports[i].addFirst(
            new Report(
                active[i] ? demand[i] : 0, sent[i] * servedShare, sent[i] * (1 - servedShare)));
        if (reports[i].size() > 100) {
          reports[i].removeLast();
        }
      }
      if (change >= 0 && timeMs % CHANGE_INTERVAL_MS >= SETTLING_MS) {
        double[] demands = new double[n];
        double[] equalWeights = new double[n];
        int activeMixers = 0;
        for (int i = 0; i < n; i++) {
          demands[i] = active[i] ? demand[i] : 0;
          equalWeights[i] = 1;
          activeMixers += active[i] ? 1 : 0;
        }
        double[] fairShares = FairShares.allocate(capacity, demands, equalWeights);
        for (int i = 0; i < n; i++) {
          if (active[i]) {
            errors[change] =
                Math.max(
                    errors[change],
                    Math.abs(sent[i] - fairShares[i])
                        / Math.max(fairShares[i], capacity / activeMixers));
          }
        }
        rejectedSum += totalSent * (1 - servedShare);
        sentSum += totalSent;
        minSent = Math.min(minSent, totalSent);
        maxSent = Math.max(maxSent, totalSent);
        swing = Math.max(swing, (maxSent - minSent) / capacity);
      }
    }
    return new Result(errors, rejectedSum / Math.max(1e-9, sentSum), swing);
  }

  private static CapacityEstimator newEstimator(Setup setup) {
    return new CapacityEstimator(
        setup.gain, setup.maxStep, Duration.ofMillis((long) setup.holdAfterRefusalMs));
  }

  private static double applyChange(
      int change,
      double[] demand,
      boolean[] active,
      CapacityEstimator[] estimators,
      Setup setup,
      SplittableRandom random,
      double capacity) {
    int n = demand.length;
    switch (change) {
      case 0 -> { // the two halves of the mixers swap their demands
        for (int i = 0; i < n / 2; i++) {
          double swapped = demand[i];
          demand[i] = demand[n - 1 - i];
          demand[n - 1 - i] = swapped;
        }
        demand[0] *= 10;
      }
      case 1 -> {
        for (int i = 1; i < n; i += 5) {
          active[i] = false;
        }
      }
      case 2 -> { // all absent mixers join with new estimators
        for (int i = 0; i < n; i++) {
          if (!active[i]) {
            active[i] = true;
            estimators[i] = newEstimator(setup);
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

  @SuppressWarnings({"unchecked", "rawtypes"}) // Java has no arrays of generic types
  private static Deque<Report>[] emptyQueues(int n) {
    Deque<Report>[] deques = new Deque[n];
    Arrays.setAll(deques, i -> new ArrayDeque<>());
    return deques;
  }

  private static Report reportAt(Deque<Report> reports, int steps) {
    int i = 0;
    for (Report report : reports) {
      if (i++ == steps) {
        return report;
      }
    }
    return Report.NONE;
  }
}
