package gingerring.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class StandingTest {
  private static final PeerId PEER = new PeerId(7);

  private static Standing draw(SplittableRandom chance) {
    return new Standing(
        PEER,
        new Place(1, 1),
        chance.nextInt(3),
        chance.nextInt(3),
        Standing.State.values()[chance.nextInt(4)],
        PEER);
  }

  private static Standing fold(List<Standing> words) {
    Standing believed = words.get(0);
    for (Standing each : words) {
      believed = each.over(believed) ? each : believed;
    }
    return believed;
  }

  /** Whatever the order, and however often each comes, the same is believed of state and life. */
  @Property(tries = 500, seed = "41")
  void theSameWordsInAnyOrderEndInTheSameBelief(@ForAll long seed) {
    SplittableRandom chance = new SplittableRandom(seed);
    List<Standing> words = new ArrayList<>();
    for (int i = chance.nextInt(1, 12); i > 0; i--) {
      words.add(draw(chance));
    }
    Standing believed = fold(words);
    words.addAll(words.subList(0, chance.nextInt(words.size() + 1)));
    Collections.shuffle(words, new Random(seed));
    Standing again = fold(words);
    assertEquals(believed.life(), again.life());
    assertEquals(believed.state(), again.state());
    if (believed.state() != Standing.State.LEFT) {
      assertEquals(believed.rise(), again.rise());
    }
  }

  @Property(tries = 300, seed = "42")
  void anEarlierLifeNeverHoldsOverALaterOne(@ForAll long seed) {
    SplittableRandom chance = new SplittableRandom(seed);
    Standing one = draw(chance);
    Standing other = draw(chance);
    if (one.life() < other.life()) {
      assertFalse(one.over(other));
    }
    assertFalse(one.over(one));
    assertFalse(one.over(other) && other.over(one));
  }
}
