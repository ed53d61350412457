package gingerring.server;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class RecentTransactionsTest {
  private static final Duration REMEMBERED = Duration.ofSeconds(4);

  /** Ids are forgotten in their order, once their time and the memory are used up. */
  @Test
  void forgetsTheOldestIdsWhoseTimeIsOver() {
    int capacity = 100;
    String prefix = "id";
    RecentTransactions recent =
        new RecentTransactions(capacity * (RecentTransactions.ENTRY_BYTES + prefix.length() + 3L));
    for (int i = 100; i < 100 + capacity; i++) {
      recent.add(prefix + i, REMEMBERED, Duration.ZERO);
    }
    assertFalse(recent.isFull(Duration.ZERO));
    recent.add("id999", REMEMBERED, Duration.ZERO);
    assertTrue(recent.isFull(Duration.ZERO), "none may be forgotten yet");
    assertTrue(recent.contains("id100"));
    assertFalse(recent.isFull(REMEMBERED), "the oldest may be forgotten now");
    recent.add("id998", REMEMBERED.multipliedBy(2), REMEMBERED);
    assertFalse(recent.contains("id100"));
    assertFalse(recent.contains("id101"));
    assertTrue(recent.contains("id102"));
    assertTrue(recent.contains("id998"));
  }
}
