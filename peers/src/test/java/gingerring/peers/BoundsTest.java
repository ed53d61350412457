package gingerring.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Ceilings, sights and news against plain models. */
class BoundsTest {
  private static Duration ms(long ms) {
    return Duration.ofMillis(ms);
  }

  /** Over any span what is sent is at most its seconds' worth and one second's worth more. */
  @Property(tries = 100, seed = "61")
  void theCeilingHoldsOverEverySpan(@ForAll long seed) {
    SplittableRandom chance = new SplittableRandom(seed);
    BandwidthLimiter budget = new BandwidthLimiter(4000);
    List<long[]> sent = new ArrayList<>();
    long now = 0;
    long refused = 0;
    for (int i = 0; i < 400; i++) {
      now += chance.nextInt(200);
      int bytes = chance.nextInt(1, MessageCodec.MAX_BYTES + 1);
      if (budget.tryTake(bytes, chance.nextBoolean(), ms(now))) {
        sent.add(new long[] {now, bytes});
      } else {
        refused++;
      }
    }
    assertEquals(refused, budget.refused());
    for (int from = 0; from < sent.size(); from++) {
      long sum = 0;
      for (int to = from; to < sent.size(); to++) {
        sum += sent.get(to)[1];
        assertTrue(sum <= 4000 + 4 * (sent.get(to)[0] - sent.get(from)[0]) + 1, "over the ceiling");
      }
    }
  }

  @Test
  void wordsLeaveHalfOfTheCeilingToTheRest() {
    BandwidthLimiter budget = new BandwidthLimiter(4000);
    int words = 0;
    while (budget.tryTake(500, true, Duration.ZERO)) {
      words++;
    }
    assertEquals(4, words);
    assertTrue(budget.tryTake(1200, false, Duration.ZERO));
    assertThrows(
        IllegalArgumentException.class, () -> new BandwidthLimiter(MessageCodec.MAX_BYTES - 1));
  }

  /** Against a list of all that was seen and when. */
  @Property(tries = 100, seed = "62")
  void aSightTellsOfItsSpan(@ForAll long seed) {
    SplittableRandom chance = new SplittableRandom(seed);
    ObservationWindow sight = new ObservationWindow(ms(5000), 4);
    Deque<long[]> all = new ArrayDeque<>();
    long now = 0;
    for (int i = 0; i < 200; i++) {
      now += chance.nextInt(900);
      long box = chance.nextInt(4);
      boolean answered = chance.nextBoolean();
      sight.add(box, answered ? 1 : 0, answered ? 0 : 1, ms(now));
      all.add(new long[] {now / 1000, box, answered ? 1 : 0});
      long bucket = now / 1000;
      all.removeIf(each -> each[0] <= bucket - 5);
      long asked = chance.nextInt(4);
      long answers = all.stream().filter(each -> each[1] == asked && each[2] == 1).count();
      long failures = all.stream().filter(each -> each[1] == asked && each[2] == 0).count();
      assertEquals(new BoxObservation(answers, failures), sight.observation(asked, ms(now)));
      assertEquals(all.size() / 5.0, sight.demand(ms(now)), 1e-9);
    }
    sight.add(9, 1, 0, ms(now));
    assertEquals(1, sight.dropped());
    assertEquals(Map.of(), sight.mostRelevant(4, ms(now + 6000)));
  }

  @Test
  void whatFailedIsToldFirst() {
    ObservationWindow sight = new ObservationWindow(ms(5000), 100);
    for (long box = 0; box < 50; box++) {
      sight.add(box, box, box == 3 ? 1 : 0, Duration.ZERO);
    }
    Map<Long, BoxObservation> told = sight.mostRelevant(3, Duration.ZERO);
    assertEquals(
        Map.of(
            3L,
            new BoxObservation(3, 1),
            49L,
            new BoxObservation(49, 0),
            48L,
            new BoxObservation(48, 0)),
        told);
  }

  /**
   * Each is passed on so often and no more, the newest of a subject alone, and the least passed on
   * first.
   */
  @Test
  void newsIsPassedOnSoOften() {
    GossipQueue<Integer, String> spread = new GossipQueue<>(3, 2);
    spread.add(1, "old");
    spread.add(1, "one");
    spread.add(2, "two");
    Map<String, Integer> passed = new HashMap<>();
    for (int i = 0; i < 10; i++) {
      spread.take(1, 9).forEach(each -> passed.merge(each, 1, Integer::sum));
    }
    assertEquals(
        Map.of("one", 2, "two", 2), passed); // 2 for each power of ten, and 9 and itself are one
    assertEquals(0, spread.size());
    for (int i = 0; i < 5; i++) {
      spread.add(i, "n" + i);
    }
    assertEquals(3, spread.size());
    assertEquals(2, spread.dropped());
  }
}
