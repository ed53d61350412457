package gingerring.traffic.scan;

import java.util.Map;
import java.util.TreeMap;

/** What a capture shows on the searchers' side, in figures. */
public final class SearcherTraffic {
  public long calls;
  public long parts;
  public long cancellations;
  public long probes;
  public long unanswered;

  /** Returns by how they ended. */
  public final Map<String, Long> returnsByStatus = new TreeMap<>();

  /** Parts by searcher. */
  public final Map<String, Long> partsBySearcher = new TreeMap<>();

  /** Of the time between a part's call and its return, nanoseconds. */
  public long totalWaitNanos;

  public long matchedReturns;
}
