package gingerring.decide;

import java.time.Duration;

/** All that a mixer can do, and the clock it does it by. Every call takes effect at once. */
public interface Host {
  /** Time since the start of this mixer. */
  Duration now();

  /**
   * Starts a trip for a part; trips of a part number 0, 1, 2 in the order of these calls. {@code
   * startWithin}: where it is not null, no trip of the part begins later than so long from now,
   * neither this one nor an earlier one that waits; what cannot begin in that time never does, and
   * its end tells that it never ran.
   */
  void send(PartId part, SearcherId searcher, Duration timeout, Duration startWithin);

  /** Stops waiting for a trip. */
  void cancel(PartId part, int trip);

  /** Answers a scan from the parts that are in. */
  void answer(ScanId scan, boolean whole);

  /** Sends a scan back: to ask again does no harm. {@code comeBack} is advice; zero for none. */
  void reject(ScanId scan, Duration retryAfter);

  /** Gives a scan up, and promises nothing of its effect. */
  void fail(ScanId scan);

  void probe(SearcherId searcher);

  void closeIdleConnections(SearcherId searcher);

  /** Subscribes to changes of the roster, or ends that. */
  void watchMemberList(boolean enabled);

  /** Asks for the whole roster once. */
  void fetchMemberList();

  /** Sends bytes to one peer, or to all of them where {@code peer} is -1. */
  void sendToPeer(int peer, byte[] bytes);

  void startTimer(Duration delay, TimerId timer);

  void log(String line);

  /**
   * Whether this mixer is to ask a benched searcher itself now, or leaves that to others who tell
   * it.
   */
  default boolean shouldProbe(SearcherId searcher) {
    return true;
  }

  /**
   * The share of a searcher's parts that fail as other mixers see it, 0 to 1; 0 where nobody tells.
   */
  default double reportedFailureShare(SearcherId searcher) {
    return 0;
  }

  /**
   * Whether a searcher is one of those that this mixer is to prefer; all are where it knows of no
   * others.
   */
  default boolean isPreferred(SearcherId searcher) {
    return true;
  }

  /** A searcher has been benched: what this mixer may tell others. */
  default void searcherEjected(SearcherId searcher) {}
}
