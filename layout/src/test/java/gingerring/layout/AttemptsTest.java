package gingerring.layout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gingerring.layout.Attempts.RetrySafety;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** What is allowed by range, against counters for every key; and hints. */
class AttemptsTest {
  private static final int KEYS = 24;

  private static Duration ms(long ms) {
    return Duration.ofMillis(ms);
  }

  @Test
  void allowsWhatThePlainModelAllows() {
    int[] answers = new int[2];
    for (int history = 0; history < 30_000; history++) {
      SplittableRandom random = new SplittableRandom(history);
      RetrySafety repeats = RetrySafety.values()[random.nextInt(3)];
      Attempts attempts = new Attempts(3, repeats, ms(100));
      int[] trips = new int[KEYS];
      int[] mayHaveRun = new int[KEYS];
      long[] since = new long[KEYS];
      long now = 0;
      List<int[]> out = new ArrayList<>();
      for (int i = 0; i < 12; i++) {
        now += random.nextInt(60);
        int from = random.nextInt(KEYS);
        int to = from + 1 + random.nextInt(KEYS - from);
        boolean expected = true;
        for (int key = from; key < to; key++) {
          expected &=
              trips[key] < 3
                  && (mayHaveRun[key] == 0
                      || repeats == RetrySafety.IDEMPOTENT
                      || repeats == RetrySafety.KEYED && now - since[key] <= 100);
        }
        assertEquals(expected, attempts.may(from, to, ms(now)), "history " + history);
        answers[expected ? 1 : 0]++;
        if (expected) {
          attempts.sent(from, to, ms(now));
          out.add(new int[] {from, to});
          for (int key = from; key < to; key++) {
            trips[key]++;
            since[key] = mayHaveRun[key]++ == 0 ? now : since[key];
          }
        }
        if (!out.isEmpty() && random.nextInt(3) == 0) {
          int[] never = out.remove(random.nextInt(out.size()));
          attempts.neverRan(never[0], never[1]);
          for (int key = never[0]; key < never[1]; key++) {
            mayHaveRun[key]--;
          }
        }
        boolean ran = false;
        for (int key = from; key < to; key++) {
          ran |= mayHaveRun[key] > 0;
        }
        assertEquals(ran, attempts.mayHaveRun(from, to));
      }
    }
    assertTrue(answers[0] > 10_000 && answers[1] > 10_000, answers[0] + " " + answers[1]);
  }

  /** Guards against two halves that each begin anew what their whole has had already. */
  @Test
  void halvesHaveHadTheTripsOfTheirWhole() {
    Attempts attempts = new Attempts(2, RetrySafety.IDEMPOTENT, ms(0));
    attempts.sent(0, 10, ms(0));
    attempts.sent(0, 5, ms(1));
    assertFalse(attempts.may(0, 5, ms(2)));
    assertTrue(attempts.may(5, 10, ms(2)));
    Attempts once = new Attempts(9, RetrySafety.AT_MOST_ONCE, ms(0));
    once.sent(0, 10, ms(0));
    assertFalse(once.may(4, 6, ms(1)));
    once.neverRan(0, 10);
    assertTrue(once.may(4, 6, ms(1)));
  }

  @Test
  void aHintTakesOutTheBoxThatSaysItAndEnds() throws Exception {
    Layout layout = Histories.first(new Histories.Model());
    Hints hints = new Hints();
    hints.disowned(Histories.box(1), 0, 12, 1, ms(0));
    assertFalse(hints.holds(Histories.box(1), 11, 20, layout, ms(1)));
    assertTrue(hints.holds(Histories.box(1), 12, 20, layout, ms(1)));
    assertTrue(hints.holds(Histories.box(2), 0, 12, layout, ms(1)));
    assertTrue(hints.behind(layout, ms(1)));
    Layout next =
        layout.apply(
            new Step.MoveBegins(1, new PartitionId(0), Histories.box(0), Histories.box(7)));
    assertTrue(hints.holds(Histories.box(1), 0, 12, next, ms(2)));
    hints.disowned(Histories.box(1), 0, 12, Long.MAX_VALUE, ms(0)); // a version that never comes
    assertFalse(hints.holds(Histories.box(1), 0, 12, next, ms(10_000)));
    assertTrue(hints.holds(Histories.box(1), 0, 12, next, ms(10_001)));
    for (int i = 0; i < 3 * Hints.MOST; i++) {
      hints.disowned(Histories.box(1), i, i + 1, 99, ms(0));
    }
    assertEquals(Hints.MOST, hints.size());
  }
}
