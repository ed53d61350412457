package gingerring.layout;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * Records that a box has answered that it no longer holds some keys as of a layout version, before
 * discovery has reported that version.
 *
 * <p>An entry has a deliberately small effect: it excludes the box that sent the answer from the
 * choice for those keys, and nothing else. A box cannot change the layout or speak for another box,
 * so a box that answers wrongly reduces only its own load.
 *
 * <p>An entry expires once the named version is current, or after {@link #MAX_AGE}, so that a
 * version that never arrives has no lasting effect. At most {@link #MAX_ENTRIES} are kept; the
 * oldest is evicted first.
 */
public final class DisownedRanges {
  public static final Duration MAX_AGE = Duration.ofSeconds(10);
  public static final int MAX_ENTRIES = 4096;

  private record DisownedRange(BoxId box, long from, long to, long version, Duration recordedAt) {}

  private final Deque<DisownedRange> entries = new ArrayDeque<>();
  private long evictedCount;

  /** Records that a box does not hold the keys from {@code from} to {@code to} as of a version. */
  public void add(BoxId box, long from, long to, long version, Duration now) {
    if (entries.size() == MAX_ENTRIES) {
      entries.pollFirst();
      evictedCount++;
    }
    entries.addLast(new DisownedRange(box, from, to, version, now));
  }

  /**
   * Returns whether a box may be asked for these keys; false if the box has disowned any of them.
   */
  public boolean mayHold(BoxId box, long from, long to, Layout current, Duration now) {
    removeExpired(current, now);
    for (DisownedRange entry : entries) {
      if (entry.box.equals(box) && entry.from < to && from < entry.to) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns whether a box knows a newer version than the current layout, so that a snapshot should
   * be requested.
   */
  public boolean isLayoutOutdated(Layout current, Duration now) {
    removeExpired(current, now);
    return !entries.isEmpty();
  }

  private void removeExpired(Layout current, Duration now) {
    for (Iterator<DisownedRange> iterator = entries.iterator(); iterator.hasNext(); ) {
      DisownedRange entry = iterator.next();
      if (entry.version <= current.version()
          || now.minus(entry.recordedAt).compareTo(MAX_AGE) > 0) {
        iterator.remove();
      }
    }
  }

  public int size() {
    return entries.size();
  }

  /** Returns how many entries were evicted because the limit was reached. */
  public long evictedCount() {
    return evictedCount;
  }
}
