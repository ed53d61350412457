package gingerring.decide;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** A scan that a mixer holds, from its arrival to its final answer. */
public final class Scan {
  public final ScanId id;
  public final long number;
  public final ServiceClass serviceClass;
  public final long key;
  public final Duration work;

  /** When its client gives this try up. */
  public final Duration deadline;

  public final List<Part> parts = new ArrayList<>();

  /** By when its client is to have its answer. */
  public Duration latencyTarget;

  /** The same for a client that waits so long. */
  public Duration fullLatencyTarget;

  /** By when the step in hand is to be answered. */
  public Duration stepDeadline;

  /** The first step has been answered from, and its parts are {@code firstParts}. */
  public boolean secondStep;

  public int firstStepPartCount;
  public boolean firstStepWhole = true;
  public boolean closed;

  /** The share of its parts that may take a turn at a cold searcher. */
  public double coldTurnShare;

  public Scan(
      ScanId id,
      long number,
      ServiceClass serviceClass,
      long key,
      Duration work,
      Duration deadline) {
    this.id = id;
    this.number = number;
    this.serviceClass = serviceClass;
    this.key = key;
    this.work = work;
    this.deadline = deadline;
  }

  /** The parts of the step in hand; none while the second step's have not come. */
  public List<Part> currentStepParts() {
    return secondStep ? parts.subList(firstStepPartCount, parts.size()) : parts;
  }

  /** Whether the first step had no answer for a shard from a searcher that it was sent to. */
  public boolean failedInFirstStep(int shard, Searcher searcher) {
    for (int i = 0; secondStep && i < firstStepPartCount; i++) {
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

  public void beginSecondStep(boolean firstStepWhole) {
    secondStep = true;
    firstStepPartCount = parts.size();
    parts.forEach(part -> part.noMoreTrips = true);
    this.firstStepWhole = firstStepWhole;
  }
}
