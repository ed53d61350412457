package gingerring.traffic.scan;

import java.util.Map;
import java.util.TreeMap;

/** Counts of the traffic between mixers and searchers in a capture. */
public final class SearcherTraffic {
  public long calls;
  public long parts;
  public long cancellations;
  public long probes;
  public long unanswered;

  /** Return frames by status. */
  public final Map<String, Long> returnsByStatus = new TreeMap<>();

  /** Called parts by searcher address. */
  public final Map<String, Long> partsBySearcher = new TreeMap<>();

  /**
   * Total time between the call of a part and its return, in nanoseconds, over {@code
   * matchedReturns}.
   */
  public long totalWaitNanos;

  public long matchedReturns;
}
