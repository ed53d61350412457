package gingerring.server;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The transaction ids of scans that have ended, within a limit on memory. An id is remembered until
 * the time given with it; while ids that are still to be remembered take all the memory, no new
 * scan may begin.
 */
final class RecentTransactions {
  /** What an id takes besides its characters: a string, a time and a map entry. */
  static final int ENTRY_BYTES = 160;

  private final long maxBytes;
  private long bytes;

  /** When each id may be forgotten, in the order in which the scans ended. */
  private final Map<String, Duration> forgetTimes = new LinkedHashMap<>();

  RecentTransactions(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  boolean contains(String transactionId) {
    return forgetTimes.containsKey(transactionId);
  }

  /** Returns whether no further id can be remembered without forgetting one too early. */
  boolean isFull(Duration now) {
    return bytes > maxBytes && forgetTimes.values().iterator().next().compareTo(now) > 0;
  }

  /** Remembers an id, and forgets the oldest ones as far as memory and their time ask for it. */
  void add(String transactionId, Duration forgetAt, Duration now) {
    if (forgetTimes.put(transactionId, forgetAt) == null) {
      bytes += size(transactionId);
    }
    Iterator<Map.Entry<String, Duration>> oldest = forgetTimes.entrySet().iterator();
    while (bytes > maxBytes && oldest.hasNext()) {
      Map.Entry<String, Duration> entry = oldest.next();
      if (entry.getValue().compareTo(now) > 0) {
        return;
      }
      bytes -= size(entry.getKey());
      oldest.remove();
    }
  }

  private static int size(String transactionId) {
    return ENTRY_BYTES + transactionId.length();
  }
}
