package gingerring.peers;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * How much the others' words weigh. Own sight comes first: what others saw counts as so many own
 * parts at most. What they saw is taken as the median over witnesses, each with one voice however
 * much it claims, so that of 2f + 1 witnesses any f that lie, alone or together, cannot bring it
 * outside of what the others saw (the median's breakdown point; Rousseeuw and Leroy, "Robust
 * Regression and Outlier Detection", 1987). Demands are summed with each held to a multiple of
 * their median.
 */
public final class ReportAggregator {
  private final int minWitnesses;
  private final double minWitnessParts;
  private final double reportsWeight;
  private final double maxDemandRatio;

  /**
   * {@code witnesses}: so many are needed before others are believed, half of all who are heard
   * among them, in two zones where they stand in more than one; {@code partsLeast}: who saw fewer
   * parts of a box is no witness; {@code lent}: what all of them together count for, in own parts;
   * {@code demandMost}: how many times the median demand one peer may claim.
   */
  public ReportAggregator(
      int minWitnesses, double minWitnessParts, double reportsWeight, double maxDemandRatio) {
    if (minWitnesses < 1
        || !(minWitnessParts > 0)
        || !(reportsWeight >= 0)
        || !(maxDemandRatio >= 1)) {
      throw new IllegalArgumentException(
          "witnesses "
              + minWitnesses
              + ", parts "
              + minWitnessParts
              + ", lent "
              + reportsWeight
              + ", demand "
              + maxDemandRatio);
    }
    this.minWitnesses = minWitnesses;
    this.minWitnessParts = minWitnessParts;
    this.reportsWeight = reportsWeight;
    this.maxDemandRatio = maxDemandRatio;
  }

  /**
   * The share of parts that fail at a box, 0 to 1: own sight, and what others saw lent to it. NaN
   * where neither tells anything.
   */
  public double failureShare(
      long box, BoxObservation own, Collection<PeerReports.TimedReport> reports) {
    List<Double> failureShares = new ArrayList<>();
    Set<Integer> witnessZones = new HashSet<>();
    Set<Integer> allZones = new HashSet<>();
    for (PeerReports.TimedReport timed : reports) {
      BoxObservation observation = timed.report().boxes().get(box);
      allZones.add(timed.report().zone());
      if (observation != null && observation.parts() >= minWitnessParts) {
        failureShares.add(observation.failed() / observation.parts());
        witnessZones.add(timed.report().zone());
      }
    }
    boolean trusted =
        failureShares.size() >= minWitnesses
            && 2 * failureShares.size() >= reports.size()
            && witnessZones.size() >= Math.min(2, allZones.size());
    double weight = trusted ? reportsWeight : 0;
    double totalWeight = own.parts() + weight;
    return totalWeight == 0
        ? Double.NaN
        : (own.failed() + (trusted ? weight * median(failureShares) : 0)) / totalWeight;
  }

  /** The demand of the whole fleet in parts a second: the own, and each other's up to its bound. */
  public double totalDemand(double own, Collection<PeerReports.TimedReport> reports) {
    List<Double> demands = new ArrayList<>();
    reports.forEach(timed -> demands.add(timed.report().demand()));
    demands.add(own);
    double maxDemand = maxDemandRatio * median(demands);
    return own
        + reports.stream().mapToDouble(timed -> Math.min(maxDemand, timed.report().demand())).sum();
  }

  /** The middle one, or the mean of the two in the middle. */
  private static double median(List<Double> values) {
    double[] sorted = values.stream().mapToDouble(Double::doubleValue).toArray();
    Arrays.sort(sorted);
    int middle = sorted.length / 2;
    return sorted.length % 2 == 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
  }
}
