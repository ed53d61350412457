package gingerring.share;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class CapacityEstimatorTest {
  private static Duration ms(long ms) {
    return Duration.ofMillis(ms);
  }

  @Test
  void theShareIsTheOwnDemandWhileNothingIsRefused() {
    CapacityEstimator estimator = new CapacityEstimator(1, 0.02, ms(2000));
    estimator.update(1000, 0, ms(0));
    assertEquals(70, estimator.share(new double[] {70, 900}, new double[] {1, 1}, 0));
    estimator.update(1000, 5, ms(250)); // below the noise threshold
    assertEquals(Double.POSITIVE_INFINITY, estimator.capacity());
  }

  @Test
  void theCapacityIsTheAnsweredRateWhenPartsAreRefused() {
    CapacityEstimator estimator = new CapacityEstimator(1, 0.02, ms(2000));
    estimator.update(800, 200, ms(0));
    assertEquals(800, estimator.capacity());
    assertEquals(700, estimator.share(new double[] {900, 100}, new double[] {1, 1}, 0));
    // sums of reports of unequal age drop for a moment, which must not lower the estimate
    estimator.update(500, 50, ms(250));
    assertEquals(800, estimator.capacity());
    // it is lowered where no higher rate is seen for the whole window
    estimator.update(500, 50, ms(2400));
    assertEquals(500, estimator.capacity());
  }

  @Test
  void raisesTheEstimateInGrowingStepsButNotAfterARefusal() {
    CapacityEstimator estimator = new CapacityEstimator(1, 0.02, ms(2000));
    estimator.update(800, 200, ms(0));
    estimator.update(800, 0, ms(1000));
    assertEquals(800, estimator.capacity(), "the last refusal is too recent");
    double before = estimator.capacity();
    double step = 0;
    for (long timeMs = 2000; timeMs < 8000; timeMs += 250) {
      estimator.update(estimator.capacity(), 0, ms(timeMs));
      double now = estimator.capacity() / before - 1;
      assertTrue(now >= step - 1e-12 && now <= 0.02 + 1e-12);
      step = now;
      before = estimator.capacity();
    }
    assertEquals(0.02, step, 1e-9);
    double capacity = estimator.capacity();
    // the capacity is not the limit: the estimate stays
    estimator.update(0.5 * capacity, 0, ms(8000));
    assertEquals(capacity, estimator.capacity());
  }

  /** Compares the maximum of the window with a list of all samples. */
  @Property(tries = 100, seed = "81")
  void estimatesTheMaximumOfTheWindow(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    CapacityEstimator estimator = new CapacityEstimator(1, 0.02, ms(1000));
    List<double[]> samples = new ArrayList<>();
    long timeMs = 0;
    for (int i = 0; i < 100; i++) {
      timeMs += random.nextInt(400);
      double answered = 1 + random.nextInt(1000);
      estimator.update(answered, answered, ms(timeMs));
      samples.add(new double[] {timeMs, answered});
      long now = timeMs;
      double expected =
          samples.stream()
              .filter(each -> now - each[0] <= 1000)
              .mapToDouble(each -> each[1])
              .max()
              .orElseThrow();
      assertEquals(expected, estimator.capacity());
    }
  }

  @Test
  void rejectsInvalidArguments() {
    assertThrows(IllegalArgumentException.class, () -> new CapacityEstimator(0, 0.02, ms(1)));
    assertThrows(IllegalArgumentException.class, () -> new CapacityEstimator(1, 2, ms(1)));
    assertThrows(
        IllegalArgumentException.class,
        () -> new CapacityEstimator(1, 0.02, ms(1)).update(-1, 0, ms(0)));
  }
}
