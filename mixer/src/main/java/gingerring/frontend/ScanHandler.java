package gingerring.frontend;

import java.time.Duration;

/** Handles the scan requests that frontends have parsed; all frontends share one handler. */
public interface ScanHandler {
  /** Returns whether new scans are accepted: from the start until the shutdown is announced. */
  boolean ready();

  /**
   * Returns whether each connection is to be closed after its next response, as shortly before the
   * process ends.
   */
  boolean closeAfterResponse();

  /**
   * Accepts a scan whose first byte arrived at {@code requestStartedAt}. Returns false if a scan
   * with the same transaction id is open or was seen recently.
   */
  boolean accept(ScanRequest request, Duration requestStartedAt, ScanResponder responder);

  /** Reports that the client of an open scan has disconnected. */
  void clientDisconnected(ScanResponder responder);
}
