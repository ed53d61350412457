package gingerring.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class RecentPartIdsTest {
  @Test
  void remembersTheNewestIds() {
    int capacity = 50;
    RecentPartIds recent = new RecentPartIds(capacity);
    for (int i = 0; i < 3 * capacity; i++) {
      recent.add("txn-" + i + ".0");
      for (int j = 0; j <= i + 1; j++) {
        assertEquals(j <= i && j > i - capacity, recent.contains("txn-" + j + ".0"));
      }
    }
  }
}
