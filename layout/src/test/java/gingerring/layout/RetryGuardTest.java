package gingerring.layout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gingerring.layout.RetryGuard.RetrySafety;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Compares the retry guard with counters for every key, and tests disowned ranges. */
class RetryGuardTest {
  private static final int KEYS = 24;

  private static Duration ms(long ms) {
    return Duration.ofMillis(ms);
  }

  @Test
  void matchesPerKeyModel() {
    int[] decisionCounts = new int[2];
    for (int history = 0; history < 30_000; history++) {
      SplittableRandom random = new SplittableRandom(history);
      RetrySafety retrySafety = RetrySafety.values()[random.nextInt(3)];
      RetryGuard retryGuard = new RetryGuard(3, retrySafety, ms(100));
      int[] trips = new int[KEYS];
      int[] possibleExecutions = new int[KEYS];
      long[] firstSentAt = new long[KEYS];
      long now = 0;
      List<int[]> openTrips = new ArrayList<>();
      for (int i = 0; i < 12; i++) {
        now += random.nextInt(60);
        int from = random.nextInt(KEYS);
        int to = from + 1 + random.nextInt(KEYS - from);
        boolean expected = true;
        for (int key = from; key < to; key++) {
          expected &=
              trips[key] < 3
                  && (possibleExecutions[key] == 0
                      || retrySafety == RetrySafety.IDEMPOTENT
                      || retrySafety == RetrySafety.KEYED && now - firstSentAt[key] <= 100);
        }
        assertEquals(expected, retryGuard.maySend(from, to, ms(now)), "history " + history);
        decisionCounts[expected ? 1 : 0]++;
        if (expected) {
          retryGuard.recordSent(from, to, ms(now));
          openTrips.add(new int[] {from, to});
          for (int key = from; key < to; key++) {
            trips[key]++;
            firstSentAt[key] = possibleExecutions[key]++ == 0 ? now : firstSentAt[key];
          }
        }
        if (!openTrips.isEmpty() && random.nextInt(3) == 0) {
          int[] notExecuted = openTrips.remove(random.nextInt(openTrips.size()));
          retryGuard.recordNotExecuted(notExecuted[0], notExecuted[1]);
          for (int key = notExecuted[0]; key < notExecuted[1]; key++) {
            possibleExecutions[key]--;
          }
        }
        boolean expectedMayHaveExecuted = false;
        for (int key = from; key < to; key++) {
          expectedMayHaveExecuted |= possibleExecutions[key] > 0;
        }
        assertEquals(expectedMayHaveExecuted, retryGuard.mayHaveExecuted(from, to));
      }
    }
    assertTrue(
        decisionCounts[0] > 10_000 && decisionCounts[1] > 10_000,
        decisionCounts[0] + " " + decisionCounts[1]);
  }

  /**
   * Guards against new partitions that start without the trips that their keys had before a split.
   */
  @Test
  void splitPartitionsInheritTripsOfTheOriginal() {
    RetryGuard retryGuard = new RetryGuard(2, RetrySafety.IDEMPOTENT, ms(0));
    retryGuard.recordSent(0, 10, ms(0));
    retryGuard.recordSent(0, 5, ms(1));
    assertFalse(retryGuard.maySend(0, 5, ms(2)));
    assertTrue(retryGuard.maySend(5, 10, ms(2)));
    RetryGuard atMostOnceGuard = new RetryGuard(9, RetrySafety.AT_MOST_ONCE, ms(0));
    atMostOnceGuard.recordSent(0, 10, ms(0));
    assertFalse(atMostOnceGuard.maySend(4, 6, ms(1)));
    atMostOnceGuard.recordNotExecuted(0, 10);
    assertTrue(atMostOnceGuard.maySend(4, 6, ms(1)));
  }

  @Test
  void disownedRangeExcludesOnlyItsBoxUntilItExpires() throws Exception {
    Layout layout = RandomLayouts.initialLayout(new RandomLayouts.KeyModel());
    DisownedRanges disownedRanges = new DisownedRanges();
    disownedRanges.add(RandomLayouts.box(1), 0, 12, 1, ms(0));
    assertFalse(disownedRanges.mayHold(RandomLayouts.box(1), 11, 20, layout, ms(1)));
    assertTrue(disownedRanges.mayHold(RandomLayouts.box(1), 12, 20, layout, ms(1)));
    assertTrue(disownedRanges.mayHold(RandomLayouts.box(2), 0, 12, layout, ms(1)));
    assertTrue(disownedRanges.isLayoutOutdated(layout, ms(1)));
    Layout next =
        layout.apply(
            new LayoutStep.MoveBegins(
                1, new PartitionId(0), RandomLayouts.box(0), RandomLayouts.box(7)));
    assertTrue(disownedRanges.mayHold(RandomLayouts.box(1), 0, 12, next, ms(2)));
    disownedRanges.add(
        RandomLayouts.box(1), 0, 12, Long.MAX_VALUE, ms(0)); // a version that never arrives
    assertFalse(disownedRanges.mayHold(RandomLayouts.box(1), 0, 12, next, ms(10_000)));
    assertTrue(disownedRanges.mayHold(RandomLayouts.box(1), 0, 12, next, ms(10_001)));
    for (int i = 0; i < 3 * DisownedRanges.MAX_ENTRIES; i++) {
      disownedRanges.add(RandomLayouts.box(1), i, i + 1, 99, ms(0));
    }
    assertEquals(DisownedRanges.MAX_ENTRIES, disownedRanges.size());
  }
}
