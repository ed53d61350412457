package gingerring.decide;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Set;

/** A searcher as one mixer sees it: the roster's line, its own trips, and what came of them. */
public final class Searcher {
  public final SearcherId id;
  public Listing listing;
  public Duration startedAt;
  /** Own trips out, oldest first, and the calls that they share. */
  public final Set<Trip> out = new LinkedHashSet<>();
  public int callsOut;
  public Trip.Call call;
  public int plannedParts;
  public Duration busySince;
  /** Time with own parts out since the last word from it. */
  public Duration unheard = Duration.ZERO;
  /** Time with own parts out, and the same times their number. */
  public final TimeRing busy;
  public final TimeRing held;
  public final TimeRing answers;
  public final TimeRing waits;
  public final TimeRing errors;
  public final TimeRing sends;
  /** Own parts that came to an end here, and those of them that were refused as full or timed out. */
  public final TimeRing settled;
  public final TimeRing pressed;
  /** Null while it is trusted; else when it may next be tried. */
  public Duration benchedUntil;
  public Duration benchSpan;
  public boolean probing;
  public int trialsLeft;

  public Searcher(SearcherId id, Duration window, Duration pressureWindow, Duration coldWindow, int buckets) {
    this.id = id;
    busy = new TimeRing(window, buckets);
    held = new TimeRing(window, buckets);
    answers = new TimeRing(window, buckets);
    waits = new TimeRing(window, buckets);
    errors = new TimeRing(window, buckets);
    settled = new TimeRing(pressureWindow, buckets);
    pressed = new TimeRing(pressureWindow, buckets);
    sends = new TimeRing(coldWindow, buckets);
  }
}
