package gingerring.decide;

import java.time.Duration;

/**
 * The environment of a mixer: its clock and all actions that it can take. Every call takes effect
 * immediately.
 */
public interface Host {
  /** Returns the time since the start of this mixer. */
  Duration now();

  /**
   * Starts a trip for a part; the trips of a part are numbered 0, 1, 2 and so on in the order of
   * these calls. If {@code startWithin} is not null, no trip of the part may start later than that
   * from now, neither this one nor an earlier one that is still queued. A trip that cannot start in
   * time never starts, and its outcome says that it never ran.
   */
  void send(PartId part, SearcherId searcher, Duration timeout, Duration startWithin);

  /** Stops waiting for a trip. */
  void cancel(PartId part, int trip);

  /** Answers a scan from the parts that are answered. */
  void answer(ScanId scan, boolean whole);

  /**
   * Rejects a scan that the client may safely retry. {@code retryAfter} is advice to the client;
   * zero means none.
   */
  void reject(ScanId scan, Duration retryAfter);

  /** Ends a scan with a failure that leaves open whether it had an effect. */
  void fail(ScanId scan);

  void probe(SearcherId searcher);

  void closeIdleConnections(SearcherId searcher);

  /** Subscribes to changes of the member list, or unsubscribes. */
  void watchMemberList(boolean enabled);

  /** Requests the complete member list once. */
  void fetchMemberList();

  /** Sends bytes to one peer, or to all peers if {@code peer} is -1. */
  void sendToPeer(int peer, byte[] bytes);

  void startTimer(Duration delay, TimerId timer);

  /**
   * Releases a timer that is no longer needed; no effect on one that has fired. A host that cannot
   * cancel may let the timer fire, which the mixer then ignores.
   */
  default void cancelTimer(TimerId timer) {}

  void log(String line);

  /**
   * Returns whether this mixer should probe an ejected searcher now, rather than wait for another
   * mixer to report an answer from it.
   */
  default boolean shouldProbe(SearcherId searcher) {
    return true;
  }

  /**
   * Returns the share of a searcher's parts that fail according to other mixers, from 0 to 1; 0 if
   * there are no reports.
   */
  default double reportedFailureShare(SearcherId searcher) {
    return 0;
  }

  /**
   * Returns whether a searcher belongs to the ones that this mixer should prefer; true for all if
   * no preference is known.
   */
  default boolean isPreferred(SearcherId searcher) {
    return true;
  }

  /**
   * Called when this mixer has ejected a searcher, so that the host can report it to other mixers.
   */
  default void searcherEjected(SearcherId searcher) {}
}
