package gingerring.frontend;

import java.time.Duration;

/** What fronts hand their scans to; every front goes through the same decisions. */
public interface ScanHandler {
  /** Whether scans are taken: from the start until the end is announced. */
  boolean ready();

  /** Whether the end is near, so that every connection is to end with its answer. */
  boolean closeAfterResponse();

  /**
   * Takes a scan whose first byte came at {@code since}; false where one of this mark is already in
   * hand.
   */
  boolean accept(ScanRequest ask, Duration since, ScanResponder reply);

  /** The client of a scan in hand has gone away. */
  void clientDisconnected(ScanResponder reply);
}
