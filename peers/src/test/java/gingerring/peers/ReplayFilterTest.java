package gingerring.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class ReplayFilterTest {
  private static final PeerId AUTHOR = new PeerId(1);

  /** Compares the filter with a set of all numbers received. */
  @Property(tries = 300, seed = "51")
  void acceptsEachNumberOnceWithinTheWindow(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    ReplayFilter filter = new ReplayFilter(4);
    Set<Long> received = new HashSet<>();
    long highest = Long.MIN_VALUE;
    long incarnation = 5;
    long next = random.nextInt(100);
    for (int i = 0; i < 300; i++) {
      if (random.nextInt(60) == 0) {
        incarnation++;
        received.clear();
        highest = Long.MIN_VALUE;
        next = random.nextInt(1000);
      }
      next += random.nextInt(3);
      long number = next - random.nextInt(80) + (random.nextInt(20) == 0 ? 100 : 0);
      boolean expected =
          highest == Long.MIN_VALUE || number > highest - 64 && !received.contains(number);
      assertEquals(
          expected,
          filter.accept(AUTHOR, incarnation, number),
          "number " + number + " after " + highest);
      assertFalse(filter.accept(AUTHOR, incarnation - 1, number + 1000), "an earlier incarnation");
      received.add(number);
      highest = Math.max(highest, number);
    }
  }

  @Test
  void limitsTheNumberOfAuthors() {
    ReplayFilter filter = new ReplayFilter(3);
    for (int i = 0; i < 100; i++) {
      assertTrue(filter.accept(new PeerId(i), 1, 1));
    }
    assertEquals(3, filter.size());
  }
}
