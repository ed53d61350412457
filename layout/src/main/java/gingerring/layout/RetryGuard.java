package gingerring.layout;

import com.google.common.collect.Range;
import com.google.common.collect.TreeRangeMap;
import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * Decides by key range whether another trip of a scan is allowed. Trips are counted per key and not
 * per partition: if a partition is split, the new partitions inherit the trips that their keys have
 * had and any execution that may have happened.
 *
 * <p>Call {@link #recordSent} for each trip and {@link #recordNotExecuted} once a trip is known not
 * to have been executed; {@link #maySend} tells whether a trip is allowed. Other classes decide
 * which box to use and whether a retry is worthwhile.
 */
public final class RetryGuard {
  /**
   * How safe it is to execute a scan again: always, while the idempotency key is remembered, or
   * never.
   */
  public enum RetrySafety {
    IDEMPOTENT,
    KEYED,
    AT_MOST_ONCE
  }

  /**
   * Number of trips for a key range, how many of them may have been executed, and when the first of
   * those was sent.
   */
  private record TripHistory(int tripCount, int possibleExecutions, Duration firstSentAt) {}

  private final int maxTrips;
  private final RetrySafety retrySafety;
  private final Duration idempotencyWindow;
  private final TreeRangeMap<Long, TripHistory> historyByRange = TreeRangeMap.create();

  /**
   * Creates a guard.
   *
   * @param maxTrips the maximum number of trips for a key
   * @param idempotencyWindow how long the key of a {@link RetrySafety#KEYED} scan is remembered
   */
  public RetryGuard(int maxTrips, RetrySafety retrySafety, Duration idempotencyWindow) {
    this.maxTrips = maxTrips;
    this.retrySafety = retrySafety;
    this.idempotencyWindow = idempotencyWindow;
  }

  /**
   * Returns whether a trip for all keys from {@code from} up to but not including {@code to} is
   * allowed now.
   */
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

  /**
   * Records that a trip for the keys from {@code from} up to but not including {@code to} is sent.
   */
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
   * Records that one trip for these keys was not executed; it still counts as a trip. If several
   * trips may have been executed, the send time of the first one is kept, because the guard does
   * not know which of them was not executed.
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

  /**
   * Returns whether a trip for any key from {@code from} up to but not including {@code to} may
   * have been executed.
   */
  public boolean mayHaveExecuted(long from, long to) {
    return historyByRange.subRangeMap(Range.closedOpen(from, to)).asMapOfRanges().values().stream()
        .anyMatch(history -> history.possibleExecutions > 0);
  }
}
