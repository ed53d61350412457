package gingerring.share;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class FairSharesTest {
  /**
   * Reference model: hands out the capacity in small increments, by weight, to every demand not yet
   * met.
   */
  private static double[] referenceShares(double capacity, double[] demands, double[] weights) {
    double[] shares = new double[demands.length];
    for (int increment = 0; increment < 40_000; increment++) {
      double weight = 0;
      for (int i = 0; i < demands.length; i++) {
        weight += shares[i] < demands[i] ? weights[i] : 0;
      }
      for (int i = 0; i < demands.length && weight > 0; i++) {
        shares[i] =
            shares[i] < demands[i]
                ? Math.min(demands[i], shares[i] + capacity / 40_000 * weights[i] / weight)
                : shares[i];
      }
    }
    return shares;
  }

  @Property(tries = 60, seed = "27")
  void matchesTheReferenceModel(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    int count = 1 + random.nextInt(12);
    double[] demands = random.doubles(count, 0, 10).map(d -> d < 2 ? 0 : d).toArray();
    double[] weights = random.doubles(count, 0.5, 4).toArray();
    double capacity = random.nextDouble(0.1, 60);
    double[] shares = FairShares.allocate(capacity, demands, weights);
    double[] expected = referenceShares(capacity, demands, weights);
    // an increment beyond a demand is lost in the model: allow some increments for each demand that
    // is met
    assertArrayEquals(expected, shares, capacity * (count + 2) / 2_000.0);
    double sum = Arrays.stream(shares).sum();
    assertEquals(Math.min(capacity, Arrays.stream(demands).sum()), sum, 1e-9 * (1 + capacity));
    for (int i = 0; i < count; i++) {
      assertTrue(shares[i] <= demands[i]);
      for (int j = 0; j < count; j++) {
        boolean unsatisfied = shares[i] < demands[i] - 1e-9;
        assertTrue(
            !unsatisfied || shares[j] / weights[j] <= shares[i] / weights[i] + 1e-9,
            "an unmet demand has the largest share for its weight");
      }
    }
  }

  @Test
  void zeroWeightGetsOnlyTheRemainder() {
    assertArrayEquals(
        new double[] {3, 2},
        FairShares.allocate(5, new double[] {3, 9}, new double[] {1, 0}),
        1e-12);
    assertArrayEquals(
        new double[] {5, 0},
        FairShares.allocate(5, new double[] {7, 9}, new double[] {1, 0}),
        1e-12);
    assertArrayEquals(new double[0], FairShares.allocate(5, new double[0], new double[0]));
  }

  @Test
  void rejectsInvalidArguments() {
    assertThrows(
        IllegalArgumentException.class,
        () -> FairShares.allocate(-1, new double[0], new double[0]));
    assertThrows(
        IllegalArgumentException.class,
        () -> FairShares.allocate(1, new double[] {Double.NaN}, new double[] {1}));
    assertThrows(
        IllegalArgumentException.class,
        () -> FairShares.allocate(1, new double[] {1}, new double[] {-1}));
    assertThrows(
        IllegalArgumentException.class,
        () -> FairShares.allocate(1, new double[] {1}, new double[0]));
  }
}
