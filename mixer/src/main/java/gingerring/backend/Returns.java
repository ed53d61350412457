package gingerring.backend;

import gingerring.decide.Outcome;
import gingerring.decide.SearcherId;
import java.time.Duration;

/** Where the ends of errands and probes are told. */
public interface Returns {
  /**
   * {@code value} is null but for a part that succeeded; {@code load} is empty where no report
   * came.
   */
  void ended(Errand errand, Outcome outcome, float[] load, byte[] value);

  void probed(SearcherId searcher, Outcome outcome, Duration taken, float[] load);
}
