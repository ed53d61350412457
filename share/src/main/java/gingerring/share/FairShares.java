package gingerring.share;

import java.util.Arrays;
import java.util.Comparator;
import java.util.stream.IntStream;

/**
 * A box's room shared by demand, weighted max-min (Bertsekas and Gallager, "Data Networks", 6.5.2):
 * nobody gets more than it asks for, what that leaves goes to the others by weight, and nobody's
 * share can grow but at the cost of one who has no more for its weight.
 */
public final class FairShares {
  private FairShares() {}

  /**
   * The shares, in the order of the demands, in the demands' unit. Demands and weights are zero or
   * more; one of weight zero gets only what nobody of weight wants. O(n log n).
   *
   * @throws IllegalArgumentException naming the place, for a room, demand or weight that is below
   *     zero or no number
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
   * Fills from the least demand for its weight on; adds to the shares, returns the room that nobody
   * wanted.
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
      throw new IllegalArgumentException("a " + name + " of " + value);
    }
  }
}
