package gingerring.decide;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** A scan that a mixer holds, from its arrival to its final answer. */
public final class Scan {
  public final ScanId id;
  public final long number;
  public final ServiceClass grade;
  public final long key;
  public final Duration work;

  /** When its client gives this try up. */
  public final Duration end;

  public final List<Part> parts = new ArrayList<>();

  /** By when its client is to have its answer. */
  public Duration quoted;

  /** The same for a client that waits so long. */
  public Duration fullQuoted;

  /** By when the step in hand is to be answered. */
  public Duration due;

  /** The first step has been answered from, and its parts are {@code firstParts}. */
  public boolean secondStep;

  public int firstParts;
  public boolean wholeSoFar = true;
  public boolean closed;

  /** The share of its parts that may take a turn at a cold searcher. */
  public double coldShare;

  public Scan(ScanId id, long number, ServiceClass grade, long key, Duration work, Duration end) {
    this.id = id;
    this.number = number;
    this.grade = grade;
    this.key = key;
    this.work = work;
    this.end = end;
  }

  /** The parts of the step in hand; none while the second step's have not come. */
  public List<Part> step() {
    return secondStep ? parts.subList(firstParts, parts.size()) : parts;
  }

  /** Whether the first step had no answer for a shard from a searcher that it was sent to. */
  public boolean failedAt(int shard, Searcher searcher) {
    for (int i = 0; secondStep && i < firstParts; i++) {
      Part part = parts.get(i);
      if (part.shard == shard) {
        for (Trip trip : part.trips) {
          if (trip.searcher == searcher && trip.outcome != Outcome.SUCCEEDED) {
            return true;
          }
        }
      }
    }
    return false;
  }

  public void beginSecondStep(boolean whole) {
    secondStep = true;
    firstParts = parts.size();
    parts.forEach(part -> part.over = true);
    wholeSoFar = whole;
  }
}
