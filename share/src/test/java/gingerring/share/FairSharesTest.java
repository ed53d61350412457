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
  /** The plain model pours the room out in small cups, by weight, to whoever still wants some. */
  private static double[] poured(double room, double[] demands, double[] weights) {
    double[] shares = new double[demands.length];
    for (int cup = 0; cup < 40_000; cup++) {
      double weight = 0;
      for (int i = 0; i < demands.length; i++) {
        weight += shares[i] < demands[i] ? weights[i] : 0;
      }
      for (int i = 0; i < demands.length && weight > 0; i++) {
        shares[i] =
            shares[i] < demands[i]
                ? Math.min(demands[i], shares[i] + room / 40_000 * weights[i] / weight)
                : shares[i];
      }
    }
    return shares;
  }

  @Property(tries = 60, seed = "27")
  void sharesAsIfItWerePoured(@ForAll long seed) {
    SplittableRandom chance = new SplittableRandom(seed);
    int count = 1 + chance.nextInt(12);
    double[] demands = chance.doubles(count, 0, 10).map(d -> d < 2 ? 0 : d).toArray();
    double[] weights = chance.doubles(count, 0.5, 4).toArray();
    double room = chance.nextDouble(0.1, 60);
    double[] shares = FairShares.allocate(room, demands, weights);
    double[] poured = poured(room, demands, weights);
    // a cup that is poured past a demand is lost to the model: some cups for each that is full
    assertArrayEquals(poured, shares, room * (count + 2) / 2_000.0);
    double sum = Arrays.stream(shares).sum();
    assertEquals(Math.min(room, Arrays.stream(demands).sum()), sum, 1e-9 * (1 + room));
    for (int i = 0; i < count; i++) {
      assertTrue(shares[i] <= demands[i]);
      for (int j = 0; j < count; j++) {
        boolean shortShare = shares[i] < demands[i] - 1e-9;
        assertTrue(
            !shortShare || shares[j] / weights[j] <= shares[i] / weights[i] + 1e-9,
            "who is short has the most");
      }
    }
  }

  @Test
  void whoHasNoWeightGetsWhatNobodyWants() {
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
  void refusesWhatIsNoMeasure() {
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
