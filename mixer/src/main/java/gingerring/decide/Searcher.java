package gingerring.decide;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The state of one searcher at this mixer: its member entry, the open trips and the statistics of
 * past ones.
 */
public final class Searcher {
  public final SearcherId id;
  public MemberEntry entry;
  public Duration startedAt;

  /**
   * This mixer's open trips to the searcher, oldest first; {@link #openCalls} is the number of
   * calls that they share.
   */
  public final Set<Trip> openTrips = new LinkedHashSet<>();

  public int openCalls;
  public Trip.Call lastCall;

  /**
   * When the searcher was last sent a part; for a cold one initially the start of its first turn
   * interval.
   */
  public Duration lastSentAt;

  /** The value of {@code startedAt} from which the turns of a cold searcher are counted. */
  public Duration turnsStartedAt;

  public int assignedParts;
  public Duration busySince;

  /**
   * How long the searcher has had open trips of this mixer since its latest answer, rejection or
   * error.
   */
  public Duration silentTime = Duration.ZERO;

  /**
   * The time during which the searcher had open trips of this mixer; {@link #openTripTime} is that
   * time multiplied by the number of open trips.
   */
  public final RollingSum busyTime;

  public final RollingSum openTripTime;
  public final RollingSum answers;
  public final RollingSum errors;
  public final RollingSum sentParts;

  /** Null if the searcher is not ejected; otherwise the earliest time of the next probe. */
  public Duration ejectedUntil;

  public Duration ejectionTime;
  public boolean probing;
  public int trialPartsLeft;

  public Searcher(
      SearcherId id, Duration statsWindow, int statsBuckets, Duration coldWindow, int coldBuckets) {
    this.id = id;
    busyTime = new RollingSum(statsWindow, statsBuckets);
    openTripTime = new RollingSum(statsWindow, statsBuckets);
    answers = new RollingSum(statsWindow, statsBuckets);
    errors = new RollingSum(statsWindow, statsBuckets);
    sentParts = new RollingSum(coldWindow, coldBuckets);
  }

  public boolean isReady() {
    return entry.status() == MemberEntry.Status.READY;
  }

  /** Returns whether there are no open trips, no recent measurements and no ejection. */
  public boolean isInactive(Duration now) {
    return openTrips.isEmpty()
        && ejectedUntil == null
        && busyTime.sum(now) == 0
        && answers.sum(now) == 0
        && errors.sum(now) == 0;
  }

  /**
   * Returns whether the searcher is gone, has no open trips and no longer counts in the cold-start
   * limit.
   */
  public boolean isRemovable(Duration now) {
    return entry.status() == MemberEntry.Status.GONE
        && openTrips.isEmpty()
        && sentParts.sum(now) == 0;
  }

  /** Discards the measurements, so that only new ones count. */
  public void resetStats() {
    silentTime = Duration.ZERO;
    List.of(busyTime, openTripTime, answers, errors).forEach(RollingSum::clear);
  }

  /** Leaves the time since the latest update out of the measured busy time and silent time. */
  public void excludeTimeUntil(Duration now) {
    busySince = openTrips.isEmpty() ? null : now;
  }

  /**
   * Adds the time since the latest update to the busy time and the silent time if trips were open.
   */
  public void recordBusyTime(Duration now) {
    if (busySince != null) {
      Duration elapsed = now.minus(busySince);
      busyTime.add(now, elapsed.toNanos());
      openTripTime.add(now, (double) elapsed.toNanos() * openTrips.size());
      silentTime = silentTime.plus(elapsed);
    }
    busySince = openTrips.isEmpty() ? null : now;
  }

  /**
   * Records a part that is sent now; up to {@code partsPerCall} parts sent at the same time share a
   * call.
   */
  public Trip recordSend(Part part, Duration now, int partsPerCall) {
    recordBusyTime(now);
    if (!canJoinLastCall(now, partsPerCall)) {
      lastCall = new Trip.Call(now);
      openCalls++;
    }
    lastCall.partCount++;
    lastCall.openTrips++;
    Trip trip = new Trip(part, this, now, lastCall);
    openTrips.add(trip);
    busySince = now;
    lastSentAt = now;
    sentParts.add(now, 1);
    return trip;
  }

  /** Records a trip that has ended. */
  public void recordEnd(Trip trip, Duration now) {
    recordBusyTime(now);
    openTrips.remove(trip);
    trip.call.openTrips--;
    if (trip.call.openTrips == 0) {
      openCalls--;
    }
    if (openTrips.isEmpty()) {
      busySince = null;
    }
  }

  /** Returns the open calls including those that the assigned parts would add. */
  public int projectedCalls(Duration now, int partsPerCall) {
    int joining =
        canJoinLastCall(now, partsPerCall)
            ? Math.min(assignedParts, partsPerCall - lastCall.partCount)
            : 0;
    return openCalls + (assignedParts - joining + partsPerCall - 1) / partsPerCall;
  }

  private boolean canJoinLastCall(Duration now, int partsPerCall) {
    return lastCall != null && lastCall.sentAt.equals(now) && lastCall.partCount < partsPerCall;
  }
}
