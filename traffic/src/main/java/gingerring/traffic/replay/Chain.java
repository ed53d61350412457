package gingerring.traffic.replay;

import gingerring.traffic.scan.ObservedScan;
import gingerring.traffic.scan.ObservedScan.ScanOutcome;
import java.util.ArrayList;
import java.util.List;

/** A client's first try and its retries, as a recording shows them: one wish. */
public final class Chain {
  public final int number;
  private final List<ObservedScan> tries = new ArrayList<>();

  Chain(int number, ObservedScan first) {
    this.number = number;
    tries.add(first);
  }

  void add(ObservedScan retry) {
    tries.add(retry);
  }

  public ObservedScan first() {
    return tries.get(0);
  }

  public ObservedScan last() {
    return tries.get(tries.size() - 1);
  }

  public List<ObservedScan> tries() {
    return tries;
  }

  /** Whether one more try can belong here: the last has ended, and not with an answer. */
  boolean open(ObservedScan next, long windowNanos) {
    ObservedScan last = last();
    boolean unmet =
        last.outcome() == ScanOutcome.NACKED
            || last.outcome() == ScanOutcome.SCRAPPED
            || last.outcome() == ScanOutcome.LEFT
            || last.outcome() == ScanOutcome.INCOMPLETE;
    long ended = Math.max(last.answeredAt(), last.askedAt());
    return unmet && next.askedAt() >= last.askedAt() && next.askedAt() - ended <= windowNanos;
  }
}
