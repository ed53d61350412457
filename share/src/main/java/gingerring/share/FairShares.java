package gingerring.share;

import java.util.Arrays;
import java.util.Comparator;
import java.util.stream.IntStream;

/**
 * Divides the capacity of a box by demand, weighted max-min fair (Bertsekas and Gallager, "Data
 * Networks", 6.5.2): no mixer gets more than its demand, the remainder goes to the others by
 * weight, and no share can grow without reducing another that has no more for its weight.
 */
public final class FairShares {
  private FairShares() {}

  /**
   * Computes the shares, in the order and the unit of the demands. Demands and weights are zero or
   * more; a mixer of weight zero gets only what the mixers with a weight leave. O(n log n).
   *
   * @throws IllegalArgumentException naming the argument, for a capacity, demand or weight that is
   *     below zero, infinite or not a number
   */
  public static double[] allocate(double capacity, double[] demands, double[] weights) {
    check("room", capacity);
    if (demands.length != weights.length) {
      throw new IllegalArgumentException(
          demands.length + " demands and " + weights.length + " weights");
    }
    for (int i = 0; i < demands.length; i++) {
      check("demand " + i, demands[i]);
      check("weight " + i, weights[i]);
    }
    double[] shares = new double[demands.length];
    double remaining = fill(capacity, demands, weights, shares);
    if (remaining > 0) {
      double[] unweightedWeights = new double[demands.length];
      double[] unweightedDemands = new double[demands.length];
      for (int i = 0; i < demands.length; i++) {
        unweightedWeights[i] = weights[i] > 0 ? 0 : 1;
        unweightedDemands[i] = weights[i] > 0 ? 0 : demands[i];
      }
      fill(remaining, unweightedDemands, unweightedWeights, shares);
    }
    return shares;
  }

  /**
   * Fills the demands from the smallest for its weight on; adds to the shares, and returns the
   * capacity left over.
   */
  private static double fill(double capacity, double[] demands, double[] weights, double[] shares) {
    int[] order =
        IntStream.range(0, demands.length)
            .filter(i -> weights[i] > 0 && demands[i] > 0)
            .boxed()
            .sorted(Comparator.comparingDouble(i -> demands[i] / weights[i]))
            .mapToInt(Integer::intValue)
            .toArray();
    double remaining = capacity;
    double remainingWeight = Arrays.stream(order).mapToDouble(i -> weights[i]).sum();
    for (int i : order) {
      double share = Math.min(demands[i], remaining * Math.min(1, weights[i] / remainingWeight));
      shares[i] += share;
      remaining = Math.max(0, remaining - share);
      remainingWeight -= weights[i];
    }
    return remaining;
  }

  private static void check(String name, double value) {
    if (!(value >= 0) || Double.isInfinite(value)) {
      throw new IllegalArgumentException("invalid " + name + ": " + value);
    }
  }
}
