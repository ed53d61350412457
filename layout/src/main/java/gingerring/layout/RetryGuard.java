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
 * <p>Call {@link #recordSent} for each trip, {@link #recordNotExecuted} once one is known not to
 * have run, and ask {@link #maySend}. Which box, and whether it is wise, is decided elsewhere; this
 * is what is allowed.
 */
public final class RetryGuard {
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
  private record TripHistory(int tripCount, int possibleExecutions, Duration firstSentAt) {}

  private final int maxTrips;
  private final RetrySafety retrySafety;
  private final Duration idempotencyWindow;
  private final TreeRangeMap<Long, TripHistory> historyByRange = TreeRangeMap.create();

  /** {@code most} trips for a key; {@code window}: how long a numbered one's mark is known. */
  public RetryGuard(int maxTrips, RetrySafety retrySafety, Duration idempotencyWindow) {
    this.maxTrips = maxTrips;
    this.retrySafety = retrySafety;
    this.idempotencyWindow = idempotencyWindow;
  }

  /** Whether a trip for these keys, all of them, is allowed now. */
  public boolean maySend(long from, long to, Duration now) {
    for (TripHistory history :
        historyByRange.subRangeMap(Range.closedOpen(from, to)).asMapOfRanges().values()) {
      if (history.tripCount >= maxTrips) {
        return false;
      }
      boolean mayRepeatWork = history.possibleExecutions > 0;
      if (mayRepeatWork
          && (retrySafety == RetrySafety.AT_MOST_ONCE
              || retrySafety == RetrySafety.KEYED
                  && now.minus(history.firstSentAt).compareTo(idempotencyWindow) > 0)) {
        return false;
      }
    }
    return true;
  }

  /** A trip for these keys leaves. */
  public void recordSent(long from, long to, Duration now) {
    Range<Long> keys = Range.closedOpen(from, to);
    List<Map.Entry<Range<Long>, TripHistory>> previousEntries =
        List.copyOf(historyByRange.subRangeMap(keys).asMapOfRanges().entrySet());
    historyByRange.put(keys, new TripHistory(1, 1, now));
    for (Map.Entry<Range<Long>, TripHistory> entry : previousEntries) {
      TripHistory previous = entry.getValue();
      historyByRange.put(
          entry.getKey(),
          new TripHistory(
              previous.tripCount + 1,
              previous.possibleExecutions + 1,
              previous.possibleExecutions > 0 ? previous.firstSentAt : now));
    }
  }

  /**
   * One trip for these keys is known not to have run; it counts as a trip all the same. Where
   * several may have run, the time of the first stays: of two, which one never ran is not told
   * apart.
   */
  public void recordNotExecuted(long from, long to) {
    for (Map.Entry<Range<Long>, TripHistory> entry :
        List.copyOf(
            historyByRange.subRangeMap(Range.closedOpen(from, to)).asMapOfRanges().entrySet())) {
      TripHistory previous = entry.getValue();
      historyByRange.put(
          entry.getKey(),
          new TripHistory(
              previous.tripCount,
              Math.max(0, previous.possibleExecutions - 1),
              previous.firstSentAt));
    }
  }

  /** Whether any of these keys may have run. */
  public boolean mayHaveExecuted(long from, long to) {
    return historyByRange.subRangeMap(Range.closedOpen(from, to)).asMapOfRanges().values().stream()
        .anyMatch(history -> history.possibleExecutions > 0);
  }
}
