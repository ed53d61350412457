package gingerring.backend;

import gingerring.decide.Outcome;
import gingerring.decide.SearcherId;
import java.time.Duration;

/** Receives the outcomes of trips and probes. */
public interface BackendListener {
  /**
   * Reports the end of a trip. {@code value} is null unless the trip succeeded; {@code load} is
   * empty without a load report.
   */
  void tripEnded(OutboundTrip trip, Outcome outcome, float[] load, byte[] value);

  void probeEnded(SearcherId searcher, Outcome outcome, Duration responseTime, float[] load);
}
