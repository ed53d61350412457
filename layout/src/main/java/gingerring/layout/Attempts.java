package gingerring.layout;

import com.google.common.collect.Range;
import com.google.common.collect.TreeRangeMap;
import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * What of a scan may still be sent, by range of keys. A trip belongs to its keys and not to a
 * folio: the halves of a part that was split have had its trips, and what may have run of it may
 * have run of them.
 *
 * <p>Call {@link #sent} for each trip, {@link #neverRan} once one is known not to have run, and ask
 * {@link #may}. Which box, and whether it is wise, is decided elsewhere; this is what is allowed.
 */
public final class Attempts {
  /** What a repeat does: nothing, nothing while its mark is known, or harm. */
  public enum RetrySafety {
    IDEMPOTENT,
    KEYED,
    AT_MOST_ONCE
  }

  /**
   * Of some keys: trips so far, how many of these may have run, and when the first of them was
   * sent.
   */
  private record Tried(int trips, int mayHaveRun, Duration since) {}

  private final int most;
  private final RetrySafety repeats;
  private final Duration window;
  private final TreeRangeMap<Long, Tried> tried = TreeRangeMap.create();

  /** {@code most} trips for a key; {@code window}: how long a numbered one's mark is known. */
  public Attempts(int most, RetrySafety repeats, Duration window) {
    this.most = most;
    this.repeats = repeats;
    this.window = window;
  }

  /** Whether a trip for these keys, all of them, is allowed now. */
  public boolean may(long from, long to, Duration now) {
    for (Tried each : tried.subRangeMap(Range.closedOpen(from, to)).asMapOfRanges().values()) {
      if (each.trips >= most) {
        return false;
      }
      boolean repeat = each.mayHaveRun > 0;
      if (repeat
          && (repeats == RetrySafety.AT_MOST_ONCE
              || repeats == RetrySafety.KEYED && now.minus(each.since).compareTo(window) > 0)) {
        return false;
      }
    }
    return true;
  }

  /** A trip for these keys leaves. */
  public void sent(long from, long to, Duration now) {
    Range<Long> keys = Range.closedOpen(from, to);
    List<Map.Entry<Range<Long>, Tried>> before =
        List.copyOf(tried.subRangeMap(keys).asMapOfRanges().entrySet());
    tried.put(keys, new Tried(1, 1, now));
    for (Map.Entry<Range<Long>, Tried> each : before) {
      Tried was = each.getValue();
      tried.put(
          each.getKey(),
          new Tried(was.trips + 1, was.mayHaveRun + 1, was.mayHaveRun > 0 ? was.since : now));
    }
  }

  /**
   * One trip for these keys is known not to have run; it counts as a trip all the same. Where
   * several may have run, the time of the first stays: of two, which one never ran is not told
   * apart.
   */
  public void neverRan(long from, long to) {
    for (Map.Entry<Range<Long>, Tried> each :
        List.copyOf(tried.subRangeMap(Range.closedOpen(from, to)).asMapOfRanges().entrySet())) {
      Tried was = each.getValue();
      tried.put(each.getKey(), new Tried(was.trips, Math.max(0, was.mayHaveRun - 1), was.since));
    }
  }

  /** Whether any of these keys may have run. */
  public boolean mayHaveRun(long from, long to) {
    return tried.subRangeMap(Range.closedOpen(from, to)).asMapOfRanges().values().stream()
        .anyMatch(each -> each.mayHaveRun > 0);
  }
}
