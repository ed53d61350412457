package gingerring.frontend;

import java.time.Duration;
import java.util.Map;

/** Where the one final answer of a scan goes. */
public interface ScanResponder {
  /** {@code values}: of each shard that is in, as its searcher gave it. */
  void answer(boolean complete, Map<Integer, byte[]> values);

  /** {@code comeBack} is advice; zero for none. */
  void reject(Duration retryAfter);

  void fail();
}
