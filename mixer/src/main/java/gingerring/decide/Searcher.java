package gingerring.decide;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** A searcher as one mixer sees it: the roster's line, its own trips, and what came of them. */
public final class Searcher {
  public final SearcherId id;
  public MemberEntry listing;
  public Duration startedAt;

  /** Own trips out, oldest first, and the calls that they share. */
  public final Set<Trip> out = new LinkedHashSet<>();

  public int callsOut;
  public Trip.Call call;

  /** When it was last sent a part, or from when its first turn counts while it is cold. */
  public Duration lastSent;

  /** The start that its turns go by. */
  public Duration turnsSince;

  public int plannedParts;
  public Duration busySince;

  /** Time with own parts out since the last word from it. */
  public Duration unheard = Duration.ZERO;

  /** Time with own parts out, and the same times their number. */
  public final TimeRing busy;

  public final TimeRing held;
  public final TimeRing answers;
  public final TimeRing errors;
  public final TimeRing sends;

  /** Null while it is trusted; else when it may next be tried. */
  public Duration benchedUntil;

  public Duration benchSpan;
  public boolean probing;
  public int trialsLeft;

  public Searcher(
      SearcherId id, Duration window, int buckets, Duration coldWindow, int coldBuckets) {
    this.id = id;
    busy = new TimeRing(window, buckets);
    held = new TimeRing(window, buckets);
    answers = new TimeRing(window, buckets);
    errors = new TimeRing(window, buckets);
    sends = new TimeRing(coldWindow, coldBuckets);
  }

  public boolean ready() {
    return listing.standing() == MemberEntry.Standing.READY;
  }

  /** Nothing of it is out, recent or benched. */
  public boolean quiet(Duration now) {
    return out.isEmpty()
        && benchedUntil == null
        && busy.sum(now) == 0
        && answers.sum(now) == 0
        && errors.sum(now) == 0;
  }

  /** Gone, and nothing is out there or counts in the cold guard's window. */
  public boolean spent(Duration now) {
    return listing.standing() == MemberEntry.Standing.GONE && out.isEmpty() && sends.sum(now) == 0;
  }

  /** Drops what was measured of it: it is to be judged anew. */
  public void forget() {
    unheard = Duration.ZERO;
    List.of(busy, held, answers, errors).forEach(TimeRing::clear);
  }

  /** Leaves the time up to now out of what is measured. */
  public void skipTo(Duration now) {
    busySince = out.isEmpty() ? null : now;
  }

  /** Books the time that own parts have been out. */
  public void noteBusy(Duration now) {
    if (busySince != null) {
      Duration span = now.minus(busySince);
      busy.add(now, span.toNanos());
      held.add(now, (double) span.toNanos() * out.size());
      unheard = unheard.plus(span);
    }
    busySince = out.isEmpty() ? null : now;
  }

  /** Books a part that is sent now; {@code callParts} parts of one moment share a call. */
  public Trip send(Part part, Duration now, int callParts) {
    noteBusy(now);
    if (!callOpen(now, callParts)) {
      call = new Trip.Call(now);
      callsOut++;
    }
    call.parts++;
    call.out++;
    Trip trip = new Trip(part, this, now, call);
    out.add(trip);
    busySince = now;
    lastSent = now;
    sends.add(now, 1);
    return trip;
  }

  /** Books a trip that has ended. */
  public void end(Trip trip, Duration now) {
    noteBusy(now);
    out.remove(trip);
    trip.call.out--;
    if (trip.call.out == 0) {
      callsOut--;
    }
    if (out.isEmpty()) {
      busySince = null;
    }
  }

  /** Own calls out, with those that planned parts would open. */
  public int load(Duration now, int callParts) {
    int joining = callOpen(now, callParts) ? Math.min(plannedParts, callParts - call.parts) : 0;
    return callsOut + (plannedParts - joining + callParts - 1) / callParts;
  }

  private boolean callOpen(Duration now, int callParts) {
    return call != null && call.made.equals(now) && call.parts < callParts;
  }
}
