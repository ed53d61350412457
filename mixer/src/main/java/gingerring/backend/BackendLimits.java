package gingerring.backend;

import gingerring.net.MemoryBudget;

/**
 * What the searchers' side may take of the process's memory.
 *
 * @param answerMemory what the answers of all searchers take until the response to their client
 * @param recentIdsPerConnection how many ids of ended parts a connection remembers
 */
public record BackendLimits(MemoryBudget answerMemory, int recentIdsPerConnection) {
  /** The most ids that a connection remembers, however much memory there is. */
  public static final int MAX_RECENT_IDS = 512;

  /** No limit on memory, and the most ids. */
  public static final BackendLimits NONE =
      new BackendLimits(MemoryBudget.UNLIMITED, MAX_RECENT_IDS);
}
