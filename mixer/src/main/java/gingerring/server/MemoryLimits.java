package gingerring.server;

import gingerring.backend.BackendLimits;

/**
 * How much of the heap, in bytes, may be taken by what grows with the traffic. The rest is for what
 * does not: classes, the member list, and what one turn of the event loop allocates.
 *
 * @param connectionBytes all connections, without what they buffer beyond a little
 * @param requestBytes requests of all clients, from their first byte to their response
 * @param inputBytes bytes of all connections that were received and not parsed yet
 * @param outputBytes bytes of all connections that wait to be sent
 * @param answerBytes answers of searchers, from their first byte to the response to their client
 * @param transactionIdBytes ids of scans that have ended
 */
record MemoryLimits(
    long connectionBytes,
    long requestBytes,
    long inputBytes,
    long outputBytes,
    long answerBytes,
    long transactionIdBytes) {
  /** Limits for a process with plenty of memory. */
  static final MemoryLimits LARGEST = of(192, Long.MAX_VALUE);

  /** The heap that is left for a mixer without traffic, and for one turn of the event loop. */
  private static final long IDLE_HEAP_BYTES = 4 << 20;

  /** The limits share at least this, whatever the configuration says. */
  private static final long MIN_SHARED_BYTES = 4 << 20;

  /** What a connection takes with empty buffers, here and in MINA. */
  private static final int CONNECTION_BYTES = 6 << 10;

  /** Enough for the answers that may still come for parts given up lately. */
  private static final int MIN_RECENT_IDS = 64;

  /** Connections to searchers may be this many, of 100 descriptors. */
  private static final int SEARCHER_CONNECTIONS_PERCENT = 75;

  /**
   * Derives the limits from the memory that the process may take and from the size of its heap,
   * whichever is less.
   */
  static MemoryLimits of(int memoryLimitMb, long maxHeapBytes) {
    long heapBytes = Math.min((long) memoryLimitMb << 20, maxHeapBytes);
    long shared = Math.max(MIN_SHARED_BYTES, heapBytes - IDLE_HEAP_BYTES);
    return new MemoryLimits(
        shared / 2, shared / 8, shared / 16, shared / 8, shared / 8, shared / 16);
  }

  /** Returns how many connections there is memory for. */
  int maxConnections() {
    return (int) Math.min(Integer.MAX_VALUE, connectionBytes / CONNECTION_BYTES);
  }

  /** Returns how many ids of ended parts each connection to a searcher may remember. */
  int recentIdsPerConnection(int socketLimit) {
    int sockets = Math.min(socketLimit, maxConnections());
    int connections = Math.max(1, sockets * SEARCHER_CONNECTIONS_PERCENT / 100);
    long ids = transactionIdBytes / Long.BYTES / connections;
    return (int) Math.max(MIN_RECENT_IDS, Math.min(BackendLimits.MAX_RECENT_IDS, ids));
  }
}
