package gingerring.decide;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** A scan that a mixer is processing, from its arrival to its final answer. */
public final class Scan {
  public final ScanId id;
  public final long number;
  public final ServiceClass serviceClass;
  public final long key;
  public final Duration work;

  /** The time at which the client gives up this attempt. */
  public final Duration deadline;

  public final List<Part> parts = new ArrayList<>();

  /** The timers of this scan, cancelled when it closes. */
  final List<TimerId> timers = new ArrayList<>();

  /**
   * The time by which the client should have its answer: {@link #fullLatencyTarget}, or shortly
   * before the client's deadline if that is earlier.
   */
  public Duration latencyTarget;

  /**
   * The latency target from the service class and the scan's work alone, which may be later than
   * the client's deadline.
   */
  public Duration fullLatencyTarget;

  /**
   * The time by which the parts of the current step have to be answered: the latency target, or
   * earlier if a second step follows.
   */
  public Duration stepDeadline;

  /**
   * True once the first step is answered; its parts are the first {@code firstStepPartCount} ones.
   */
  public boolean secondStep;

  public int firstStepPartCount;
  public boolean firstStepWhole = true;
  public boolean closed;

  /** The share of the scan's parts that may take a turn at a cold searcher. */
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

  /**
   * Returns the parts of the current step; none if the parts of the second step have not arrived
   * yet.
   */
  public List<Part> currentStepParts() {
    return secondStep ? parts.subList(firstStepPartCount, parts.size()) : parts;
  }

  /**
   * Returns whether a searcher was sent a part for this shard in the first step and did not answer
   * it.
   */
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
