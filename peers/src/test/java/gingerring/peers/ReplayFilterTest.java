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

  /** Against a plain set of all that ever came. */
  @Property(tries = 300, seed = "51")
  void takesEachNumberOnceWithinItsWindow(@ForAll long seed) {
    SplittableRandom chance = new SplittableRandom(seed);
    ReplayFilter numbers = new ReplayFilter(4);
    Set<Long> come = new HashSet<>();
    long highest = Long.MIN_VALUE;
    long life = 5;
    long next = chance.nextInt(100);
    for (int i = 0; i < 300; i++) {
      if (chance.nextInt(60) == 0) {
        life++;
        come.clear();
        highest = Long.MIN_VALUE;
        next = chance.nextInt(1000);
      }
      next += chance.nextInt(3);
      long number = next - chance.nextInt(80) + (chance.nextInt(20) == 0 ? 100 : 0);
      boolean expected =
          highest == Long.MIN_VALUE || number > highest - 64 && !come.contains(number);
      assertEquals(
          expected, numbers.accept(AUTHOR, life, number), "number " + number + " after " + highest);
      assertFalse(numbers.accept(AUTHOR, life - 1, number + 1000), "an earlier life");
      come.add(number);
      highest = Math.max(highest, number);
    }
  }

  @Test
  void keepsSoManyAuthors() {
    ReplayFilter numbers = new ReplayFilter(3);
    for (int i = 0; i < 100; i++) {
      assertTrue(numbers.accept(new PeerId(i), 1, 1));
    }
    assertEquals(3, numbers.size());
  }
}
