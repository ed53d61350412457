package gingerring.frontend;

import java.time.Duration;
import java.util.Map;

/** Receives the single final response to a scan. */
public interface ScanResponder {
  /**
   * Responds with results; {@code values} has the value of each shard that succeeded, unchanged
   * from its searcher.
   */
  void answer(boolean complete, Map<Integer, byte[]> values);

  /**
   * Rejects the scan; a retry does no harm. {@code retryAfter} is a hint to the client, zero for
   * none.
   */
  void reject(Duration retryAfter);

  void fail();
}
