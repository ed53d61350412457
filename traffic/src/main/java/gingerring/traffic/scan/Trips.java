package gingerring.traffic.scan;

import java.util.Map;
import java.util.TreeMap;

/** What a capture shows on the searchers' side, in figures. */
public final class Trips {
  public long calls;
  public long parts;
  public long recalls;
  public long probes;
  public long unanswered;

  /** Returns by how they ended. */
  public final Map<String, Long> ends = new TreeMap<>();

  /** Parts by searcher. */
  public final Map<String, Long> bySearcher = new TreeMap<>();

  /** Of the time between a part's call and its return, nanoseconds. */
  public long waited;

  public long returned;
}
