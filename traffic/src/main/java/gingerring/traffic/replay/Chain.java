package gingerring.traffic.replay;

import gingerring.traffic.scan.Seen;
import gingerring.traffic.scan.Seen.Fate;
import java.util.ArrayList;
import java.util.List;

/** A client's first try and its retries, as a recording shows them: one wish. */
public final class Chain {
  public final int number;
  private final List<Seen> tries = new ArrayList<>();

  Chain(int number, Seen first) {
    this.number = number;
    tries.add(first);
  }

  void add(Seen retry) {
    tries.add(retry);
  }

  public Seen first() {
    return tries.get(0);
  }

  public Seen last() {
    return tries.get(tries.size() - 1);
  }

  public List<Seen> tries() {
    return tries;
  }

  /** Whether one more try can belong here: the last has ended, and not with an answer. */
  boolean open(Seen next, long windowNanos) {
    Seen last = last();
    boolean unmet =
        last.fate() == Fate.NACKED
            || last.fate() == Fate.SCRAPPED
            || last.fate() == Fate.LEFT
            || last.fate() == Fate.INCOMPLETE;
    long ended = Math.max(last.answeredAt(), last.askedAt());
    return unmet && next.askedAt() >= last.askedAt() && next.askedAt() - ended <= windowNanos;
  }
}
