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
  private final int witnesses;
  private final double partsLeast;
  private final double lent;
  private final double demandMost;

  /**
   * {@code witnesses}: so many are needed before others are believed, half of all who are heard
   * among them, in two zones where they stand in more than one; {@code partsLeast}: who saw fewer
   * parts of a box is no witness; {@code lent}: what all of them together count for, in own parts;
   * {@code demandMost}: how many times the median demand one peer may claim.
   */
  public ReportAggregator(int witnesses, double partsLeast, double lent, double demandMost) {
    if (witnesses < 1 || !(partsLeast > 0) || !(lent >= 0) || !(demandMost >= 1)) {
      throw new IllegalArgumentException(
          "witnesses "
              + witnesses
              + ", parts "
              + partsLeast
              + ", lent "
              + lent
              + ", demand "
              + demandMost);
    }
    this.witnesses = witnesses;
    this.partsLeast = partsLeast;
    this.lent = lent;
    this.demandMost = demandMost;
  }

  /**
   * The share of parts that fail at a box, 0 to 1: own sight, and what others saw lent to it. NaN
   * where neither tells anything.
   */
  public double failing(long box, BoxObservation own, Collection<PeerReports.TimedReport> words) {
    List<Double> told = new ArrayList<>();
    Set<Integer> zones = new HashSet<>();
    Set<Integer> allZones = new HashSet<>();
    for (PeerReports.TimedReport each : words) {
      BoxObservation seen = each.report().boxes().get(box);
      allZones.add(each.report().zone());
      if (seen != null && seen.parts() >= partsLeast) {
        told.add(seen.failed() / seen.parts());
        zones.add(each.report().zone());
      }
    }
    boolean believed =
        told.size() >= witnesses
            && 2 * told.size() >= words.size()
            && zones.size() >= Math.min(2, allZones.size());
    double weight = believed ? lent : 0;
    double all = own.parts() + weight;
    return all == 0 ? Double.NaN : (own.failed() + (believed ? weight * median(told) : 0)) / all;
  }

  /** The demand of the whole fleet in parts a second: the own, and each other's up to its bound. */
  public double demand(double own, Collection<PeerReports.TimedReport> words) {
    List<Double> all = new ArrayList<>();
    words.forEach(each -> all.add(each.report().demand()));
    all.add(own);
    double most = demandMost * median(all);
    return own + words.stream().mapToDouble(each -> Math.min(most, each.report().demand())).sum();
  }

  /** The middle one, or the mean of the two in the middle. */
  private static double median(List<Double> values) {
    double[] sorted = values.stream().mapToDouble(Double::doubleValue).toArray();
    Arrays.sort(sorted);
    int middle = sorted.length / 2;
    return sorted.length % 2 == 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
  }
}
