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
  void whileNothingIsRefusedAllIsOnesOwnDemand() {
    CapacityEstimator belief = new CapacityEstimator(1, 0.02, ms(2000));
    belief.update(1000, 0, ms(0));
    assertEquals(70, belief.share(new double[] {70, 900}, new double[] {1, 1}, 0));
    belief.update(1000, 5, ms(250)); // by chance
    assertEquals(Double.POSITIVE_INFINITY, belief.capacity());
  }

  @Test
  void theRoomIsWhatWasAnsweredWhereSomeWereRefused() {
    CapacityEstimator belief = new CapacityEstimator(1, 0.02, ms(2000));
    belief.update(800, 200, ms(0));
    assertEquals(800, belief.capacity());
    assertEquals(700, belief.share(new double[] {900, 100}, new double[] {1, 1}, 0));
    // reports of unlike age sum up to less for a moment: no reason to believe in less room
    belief.update(500, 50, ms(250));
    assertEquals(800, belief.capacity());
    // but there is, where no better is seen for the window
    belief.update(500, 50, ms(2400));
    assertEquals(500, belief.capacity());
  }

  @Test
  void isTriedLargerFasterAndFasterAndNotAgainAfterARefusal() {
    CapacityEstimator belief = new CapacityEstimator(1, 0.02, ms(2000));
    belief.update(800, 200, ms(0));
    belief.update(800, 0, ms(1000));
    assertEquals(800, belief.capacity(), "the last refusal is too new");
    double before = belief.capacity();
    double step = 0;
    for (long at = 2000; at < 8000; at += 250) {
      belief.update(belief.capacity(), 0, ms(at));
      double now = belief.capacity() / before - 1;
      assertTrue(now >= step - 1e-12 && now <= 0.02 + 1e-12);
      step = now;
      before = belief.capacity();
    }
    assertEquals(0.02, step, 1e-9);
    double room = belief.capacity();
    belief.update(0.5 * room, 0, ms(8000)); // it does not bind: nothing is learnt
    assertEquals(room, belief.capacity());
  }

  /** The most of a window, against a list of all. */
  @Property(tries = 100, seed = "81")
  void believesInTheMostOfItsWindow(@ForAll long seed) {
    SplittableRandom chance = new SplittableRandom(seed);
    CapacityEstimator belief = new CapacityEstimator(1, 0.02, ms(1000));
    List<double[]> told = new ArrayList<>();
    long at = 0;
    for (int i = 0; i < 100; i++) {
      at += chance.nextInt(400);
      double answered = 1 + chance.nextInt(1000);
      belief.update(answered, answered, ms(at));
      told.add(new double[] {at, answered});
      long now = at;
      double most =
          told.stream()
              .filter(each -> now - each[0] <= 1000)
              .mapToDouble(each -> each[1])
              .max()
              .orElseThrow();
      assertEquals(most, belief.capacity());
    }
  }

  @Test
  void refusesWhatCannotBe() {
    assertThrows(IllegalArgumentException.class, () -> new CapacityEstimator(0, 0.02, ms(1)));
    assertThrows(IllegalArgumentException.class, () -> new CapacityEstimator(1, 2, ms(1)));
    assertThrows(
        IllegalArgumentException.class,
        () -> new CapacityEstimator(1, 0.02, ms(1)).update(-1, 0, ms(0)));
  }
}
