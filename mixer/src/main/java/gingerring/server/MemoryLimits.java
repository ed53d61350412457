package gingerring.server;

import gingerring.backend.BackendLimits;

/**
 * How much of the heap, in bytes, may be taken by what grows with the traffic. The rest is for what
 * does not: classes, the member list, open scans, and what one turn of the event loop allocates.
 *
 * @param requestBytes requests of all clients, from their first byte to their response
 * @param outputBytes bytes of all connections that wait to be sent
 * @param answerBytes answers of searchers, from their first byte to the response to their client
 * @param transactionIdBytes ids of scans that have ended
 */
record MemoryLimits(
    long requestBytes, long outputBytes, long answerBytes, long transactionIdBytes) {
  /** Limits for a process with plenty of memory. */
  static final MemoryLimits LARGEST = of(192, Long.MAX_VALUE);

  /** The heap that is left for a mixer without traffic. */
  private static final long IDLE_HEAP_BYTES = 6 << 20;

  /** Each limit is at least this, whatever the configuration says. */
  private static final long MIN_LIMIT_BYTES = 512 << 10;

  /** Enough for the answers that may still come for parts given up lately. */
  private static final int MIN_RECENT_IDS = 64;

  /** Each of these limits is this share of the heap that a mixer without traffic does not need. */
  private static final int SHARES = 4;

  /** Ids may take this share of the same. */
  private static final int ID_SHARES = 32;

  /** Connections to searchers may be this many, of 100 descriptors. */
  private static final int SEARCHER_CONNECTIONS_PERCENT = 75;

  /**
   * Derives the limits from the memory that the process may take and from the size of its heap,
   * whichever is less.
   */
  static MemoryLimits of(int memoryLimitMb, long maxHeapBytes) {
    long heapBytes = Math.min((long) memoryLimitMb << 20, maxHeapBytes);
    long free = heapBytes - IDLE_HEAP_BYTES;
    long limit = Math.max(MIN_LIMIT_BYTES, free / SHARES);
    long idLimit = Math.max(MIN_LIMIT_BYTES, free / ID_SHARES);
    return new MemoryLimits(limit, limit, limit, idLimit);
  }

  /** Returns how many ids of ended parts each connection to a searcher may remember. */
  int recentIdsPerConnection(int socketLimit) {
    int connections = Math.max(1, socketLimit * SEARCHER_CONNECTIONS_PERCENT / 100);
    long ids = transactionIdBytes / Long.BYTES / connections;
    return (int) Math.max(MIN_RECENT_IDS, Math.min(BackendLimits.MAX_RECENT_IDS, ids));
  }
}
