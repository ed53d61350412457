package gingerring.backend;

import gingerring.decide.Outcome;
import gingerring.decide.SearcherId;
import java.time.Duration;

/** Where the ends of errands and probes are told. */
public interface BackendListener {
  /**
   * {@code value} is null but for a part that succeeded; {@code load} is empty where no report
   * came.
   */
  void tripEnded(OutboundTrip errand, Outcome outcome, float[] load, byte[] value);

  void probeEnded(SearcherId searcher, Outcome outcome, Duration taken, float[] load);
}
