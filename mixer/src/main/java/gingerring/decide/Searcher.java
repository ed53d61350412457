package gingerring.decide;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** A searcher as one mixer sees it: the roster's line, its own trips, and what came of them. */
public final class Searcher {
  public final SearcherId id;
  public MemberEntry entry;
  public Duration startedAt;

  /** Own trips out, oldest first, and the calls that they share. */
  public final Set<Trip> openTrips = new LinkedHashSet<>();

  public int openCalls;
  public Trip.Call lastCall;

  /** When it was last sent a part, or from when its first turn counts while it is cold. */
  public Duration lastSentAt;

  /** The start that its turns go by. */
  public Duration turnsStartedAt;

  public int assignedParts;
  public Duration busySince;

  /** Time with own parts out since the last word from it. */
  public Duration silentTime = Duration.ZERO;

  /** Time with own parts out, and the same times their number. */
  public final RollingSum busyTime;

  public final RollingSum openTripTime;
  public final RollingSum answers;
  public final RollingSum errors;
  public final RollingSum sentParts;

  /** Null while it is trusted; else when it may next be tried. */
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

  /** Nothing of it is out, recent or benched. */
  public boolean isInactive(Duration now) {
    return openTrips.isEmpty()
        && ejectedUntil == null
        && busyTime.sum(now) == 0
        && answers.sum(now) == 0
        && errors.sum(now) == 0;
  }

  /** Gone, and nothing is out there or counts in the cold guard's window. */
  public boolean isRemovable(Duration now) {
    return entry.status() == MemberEntry.Status.GONE
        && openTrips.isEmpty()
        && sentParts.sum(now) == 0;
  }

  /** Drops what was measured of it: it is to be judged anew. */
  public void resetStats() {
    silentTime = Duration.ZERO;
    List.of(busyTime, openTripTime, answers, errors).forEach(RollingSum::clear);
  }

  /** Leaves the time up to now out of what is measured. */
  public void excludeTimeUntil(Duration now) {
    busySince = openTrips.isEmpty() ? null : now;
  }

  /** Books the time that own parts have been out. */
  public void recordBusyTime(Duration now) {
    if (busySince != null) {
      Duration elapsed = now.minus(busySince);
      busyTime.add(now, elapsed.toNanos());
      openTripTime.add(now, (double) elapsed.toNanos() * openTrips.size());
      silentTime = silentTime.plus(elapsed);
    }
    busySince = openTrips.isEmpty() ? null : now;
  }

  /** Books a part that is sent now; {@code callParts} parts of one moment share a call. */
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

  /** Books a trip that has ended. */
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

  /** Own calls out, with those that planned parts would open. */
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
