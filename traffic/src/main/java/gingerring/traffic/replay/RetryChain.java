package gingerring.traffic.replay;

import gingerring.traffic.scan.ObservedScan;
import gingerring.traffic.scan.ObservedScan.ScanOutcome;
import java.util.ArrayList;
import java.util.List;

/** A client's first attempt at a scan and its retries, as found in a recording. */
public final class RetryChain {
  public final int number;
  private final List<ObservedScan> attempts = new ArrayList<>();

  RetryChain(int number, ObservedScan first) {
    this.number = number;
    attempts.add(first);
  }

  void add(ObservedScan retry) {
    attempts.add(retry);
  }

  public ObservedScan first() {
    return attempts.get(0);
  }

  public ObservedScan last() {
    return attempts.get(attempts.size() - 1);
  }

  public List<ObservedScan> attempts() {
    return attempts;
  }

  /**
   * Whether {@code next} can be a retry of this chain: the last attempt has ended without an
   * answer, and {@code next} follows within the window.
   */
  boolean acceptsRetry(ObservedScan next, long windowNanos) {
    ObservedScan last = last();
    boolean failed =
        last.outcome() == ScanOutcome.NACKED
            || last.outcome() == ScanOutcome.SCRAPPED
            || last.outcome() == ScanOutcome.LEFT
            || last.outcome() == ScanOutcome.INCOMPLETE;
    long endNanos = Math.max(last.responseEndNanos(), last.requestStartNanos());
    return failed
        && next.requestStartNanos() >= last.requestStartNanos()
        && next.requestStartNanos() - endNanos <= windowNanos;
  }
}
