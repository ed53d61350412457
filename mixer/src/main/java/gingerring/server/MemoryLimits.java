package gingerring.server;

/**
 * How much of the heap, in bytes, may be taken by what grows with the traffic. The rest is for what
 * does not: classes, the member list, open scans, and what one turn of the event loop allocates.
 *
 * @param requestBytes requests of all clients, from their first byte to their response
 * @param outputBytes bytes of all connections that wait to be sent
 * @param answerBytes answers of searchers, from their first byte to the response to their client
 */
record MemoryLimits(long requestBytes, long outputBytes, long answerBytes) {
  /** The heap that is left for a mixer without traffic. */
  private static final long IDLE_HEAP_BYTES = 6 << 20;

  /** Each limit is at least this, whatever the configuration says. */
  private static final long MIN_LIMIT_BYTES = 512 << 10;

  /** Each of the limits is this share of the heap that a mixer without traffic does not need. */
  private static final int SHARES = 4;

  /**
   * Derives the limits from the memory that the process may take and from the size of its heap,
   * whichever is less.
   */
  static MemoryLimits of(int memoryLimitMb, long maxHeapBytes) {
    long heapBytes = Math.min((long) memoryLimitMb << 20, maxHeapBytes);
    long limit = Math.max(MIN_LIMIT_BYTES, (heapBytes - IDLE_HEAP_BYTES) / SHARES);
    return new MemoryLimits(limit, limit, limit);
  }
}
