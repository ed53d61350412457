package gingerring.frontend;

import java.time.Duration;
import java.util.Map;

/** Where the one final answer of a scan goes. */
public interface ScanResponder {
  /** {@code values}: of each shard that is in, as its searcher gave it. */
  void answer(boolean whole, Map<Integer, byte[]> values);

  /** {@code comeBack} is advice; zero for none. */
  void reject(Duration comeBack);

  void fail();
}
