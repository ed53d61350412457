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

/**
 * Checks the byte limiter, the observation window and the gossip queue against simple reference
 * models.
 */
class BoundsTest {
  private static Duration ms(long ms) {
    return Duration.ofMillis(ms);
  }

  /** Over any span the bytes sent are at most the rate times the span plus one second's worth. */
  @Property(tries = 100, seed = "61")
  void neverExceedsTheByteLimitOverAnySpan(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    BandwidthLimiter limiter = new BandwidthLimiter(4000);
    List<long[]> sent = new ArrayList<>();
    long now = 0;
    long refused = 0;
    for (int i = 0; i < 400; i++) {
      now += random.nextInt(200);
      int bytes = random.nextInt(1, MessageCodec.MAX_BYTES + 1);
      if (limiter.tryTake(bytes, random.nextBoolean(), ms(now))) {
        sent.add(new long[] {now, bytes});
      } else {
        refused++;
      }
    }
    assertEquals(refused, limiter.refused());
    for (int from = 0; from < sent.size(); from++) {
      long sum = 0;
      for (int to = from; to < sent.size(); to++) {
        sum += sent.get(to)[1];
        assertTrue(
            sum <= 4000 + 4 * (sent.get(to)[0] - sent.get(from)[0]) + 1, "over the byte limit");
      }
    }
  }

  @Test
  void lowPriorityMessagesLeaveHalfOfTheLimitToOthers() {
    BandwidthLimiter limiter = new BandwidthLimiter(4000);
    int accepted = 0;
    while (limiter.tryTake(500, true, Duration.ZERO)) {
      accepted++;
    }
    assertEquals(4, accepted);
    assertTrue(limiter.tryTake(1200, false, Duration.ZERO));
    assertThrows(
        IllegalArgumentException.class, () -> new BandwidthLimiter(MessageCodec.MAX_BYTES - 1));
  }

  /** Compares the window with a list of all events and their times. */
  @Property(tries = 100, seed = "62")
  void observationsCoverTheWindow(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    ObservationWindow window = new ObservationWindow(ms(5000), 4);
    Deque<long[]> events = new ArrayDeque<>();
    long now = 0;
    for (int i = 0; i < 200; i++) {
      now += random.nextInt(900);
      long box = random.nextInt(4);
      boolean answered = random.nextBoolean();
      window.add(box, answered ? 1 : 0, answered ? 0 : 1, ms(now));
      events.add(new long[] {now / 1000, box, answered ? 1 : 0});
      long bucket = now / 1000;
      events.removeIf(each -> each[0] <= bucket - 5);
      long checkedBox = random.nextInt(4);
      long answers = events.stream().filter(each -> each[1] == checkedBox && each[2] == 1).count();
      long failures = events.stream().filter(each -> each[1] == checkedBox && each[2] == 0).count();
      assertEquals(new BoxObservation(answers, failures), window.observation(checkedBox, ms(now)));
      assertEquals(events.size() / 5.0, window.demand(ms(now)), 1e-9);
    }
    window.add(9, 1, 0, ms(now));
    assertEquals(1, window.dropped());
    assertEquals(Map.of(), window.mostRelevant(4, ms(now + 6000)));
  }

  @Test
  void failedBoxesAreReportedFirst() {
    ObservationWindow window = new ObservationWindow(ms(5000), 100);
    for (long box = 0; box < 50; box++) {
      window.add(box, box, box == 3 ? 1 : 0, Duration.ZERO);
    }
    Map<Long, BoxObservation> reported = window.mostRelevant(3, Duration.ZERO);
    assertEquals(
        Map.of(
            3L,
            new BoxObservation(3, 1),
            49L,
            new BoxObservation(49, 0),
            48L,
            new BoxObservation(48, 0)),
        reported);
  }

  /**
   * Each update is sent a limited number of times, only the newest of a subject is kept, and the
   * least often sent goes first.
   */
  @Test
  void sendsEachUpdateALimitedNumberOfTimes() {
    GossipQueue<Integer, String> queue = new GossipQueue<>(3, 2);
    queue.add(1, "old");
    queue.add(1, "one");
    queue.add(2, "two");
    Map<String, Integer> sendCounts = new HashMap<>();
    for (int i = 0; i < 10; i++) {
      queue.take(1, 9).forEach(each -> sendCounts.merge(each, 1, Integer::sum));
    }
    // 2 for each power of ten; a fleet of 9 others and this mixer is one power of ten
    assertEquals(Map.of("one", 2, "two", 2), sendCounts);
    assertEquals(0, queue.size());
    for (int i = 0; i < 5; i++) {
      queue.add(i, "n" + i);
    }
    assertEquals(3, queue.size());
    assertEquals(2, queue.dropped());
  }
}
