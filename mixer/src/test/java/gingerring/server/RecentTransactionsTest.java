package gingerring.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class RecentTransactionsTest {
  private static final Duration REMEMBERED = Duration.ofSeconds(4);
  private static final int CAPACITY = 100;

  private final RecentTransactions recent =
      new RecentTransactions(CAPACITY * RecentTransactions.ENTRY_BYTES, 7);

  /** No id is forgotten before its time, even if there are more than the memory is for. */
  @Test
  void forgetsTheOldestIdsWhoseTimeIsOver() {
    for (int i = 0; i < CAPACITY; i++) {
      assertFalse(recent.isFull(Duration.ZERO));
      recent.add("id" + i, REMEMBERED, Duration.ZERO);
    }
    assertTrue(recent.isFull(Duration.ZERO), "none may be forgotten yet");
    recent.add("one more", REMEMBERED, Duration.ZERO);
    assertTrue(recent.contains("id0"));
    assertFalse(recent.isFull(REMEMBERED), "the oldest may be forgotten now");
    recent.add("later", REMEMBERED.multipliedBy(2), REMEMBERED);
    assertFalse(recent.contains("id0"));
    assertFalse(recent.contains("id1"));
    assertTrue(recent.contains("id2"));
    assertTrue(recent.contains("later"));
  }

  /** Exactly the newest ids are remembered, however often the table has been filled and emptied. */
  @Test
  void remembersTheNewestIdsThroughManyRounds() {
    for (int i = 0; i < 50 * CAPACITY; i++) {
      recent.add("id" + i, Duration.ZERO, Duration.ZERO);
      recent.add("id" + i, Duration.ZERO, Duration.ZERO);
      for (int j = Math.max(0, i - 2 * CAPACITY); j <= i + 1; j++) {
        assertEquals(j <= i && j > i - CAPACITY, recent.contains("id" + j), "at " + i + ": " + j);
      }
    }
  }

  /** The rings and the table grow with the ids, up to the limit. */
  @Test
  void growsWithTheIds() {
    int capacity = 5000;
    RecentTransactions large =
        new RecentTransactions((long) capacity * RecentTransactions.ENTRY_BYTES, 7);
    for (int i = 0; i < capacity; i++) {
      large.add("id" + i, REMEMBERED, Duration.ZERO);
    }
    for (int i = 0; i < capacity; i++) {
      assertTrue(large.contains("id" + i));
    }
    assertFalse(large.contains("id" + capacity));
  }
}
