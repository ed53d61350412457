package gingerring.peers;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Combines the reports of other mixers with this mixer's own observations. Own observations come
 * first: all reports together weigh as much as a fixed number of own parts. The reported failure
 * share is the median over witnesses, where each witness has one vote however many parts it claims,
 * so that of 2f + 1 witnesses any f that lie, alone or together, cannot move the result outside the
 * range that the others saw (the median's breakdown point; Rousseeuw and Leroy, "Robust Regression
 * and Outlier Detection", 1987). Demands are summed, each capped at a multiple of their median.
 */
public final class ReportAggregator {
  private final int minWitnesses;
  private final double minWitnessParts;
  private final double reportsWeight;
  private final double maxDemandRatio;

  /**
   * Creates an aggregator. {@code minWitnesses}: reports of a box are used only from this many
   * witnesses on, which also have to be at least half of all reporting mixers and, where those span
   * several zones, stand in two zones or more; {@code minWitnessParts}: a mixer that saw fewer
   * parts of a box is not a witness for that box; {@code reportsWeight}: weight of all witnesses
   * together, in own parts; {@code maxDemandRatio}: the largest multiple of the median demand that
   * one peer may claim.
   */
  public ReportAggregator(
      int minWitnesses, double minWitnessParts, double reportsWeight, double maxDemandRatio) {
    if (minWitnesses < 1
        || !(minWitnessParts > 0)
        || !(reportsWeight >= 0)
        || !(maxDemandRatio >= 1)) {
      throw new IllegalArgumentException(
          "minimum witnesses "
              + minWitnesses
              + ", minimum parts "
              + minWitnessParts
              + ", weight of reports "
              + reportsWeight
              + ", maximum demand ratio "
              + maxDemandRatio);
    }
    this.minWitnesses = minWitnesses;
    this.minWitnessParts = minWitnessParts;
    this.reportsWeight = reportsWeight;
    this.maxDemandRatio = maxDemandRatio;
  }

  /**
   * The share of parts that fail at a box, 0 to 1, from own observations and those of the other
   * mixers. NaN where neither is available.
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

  /**
   * The demand of the whole fleet in parts per second: the own demand, and each peer's demand up to
   * its cap.
   */
  public double totalDemand(double own, Collection<PeerReports.TimedReport> reports) {
    List<Double> demands = new ArrayList<>();
    reports.forEach(timed -> demands.add(timed.report().demand()));
    demands.add(own);
    double maxDemand = maxDemandRatio * median(demands);
    return own
        + reports.stream().mapToDouble(timed -> Math.min(maxDemand, timed.report().demand())).sum();
  }

  /** The middle value, or the mean of the two middle values. */
  private static double median(List<Double> values) {
    double[] sorted = values.stream().mapToDouble(Double::doubleValue).toArray();
    Arrays.sort(sorted);
    int middle = sorted.length / 2;
    return sorted.length % 2 == 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
  }
}
