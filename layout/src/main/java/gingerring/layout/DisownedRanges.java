package gingerring.layout;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * What boxes say of themselves ahead of discovery: that they no longer hold some keys, as of a
 * version. One such answer teaches at once, and cautiously: it takes the box that says it out of
 * the choice for those keys, and nothing else. No box can move a layout, or speak for another; a
 * lying one harms its own load alone.
 *
 * <p>A hint ends when the version that it names is in force, or after {@link #MAX_AGE}, so that a
 * version that never comes is not waited for. {@link #MAX_ENTRIES} are kept; the eldest goes.
 */
public final class DisownedRanges {
  public static final Duration MAX_AGE = Duration.ofSeconds(10);
  public static final int MAX_ENTRIES = 4096;

  private record DisownedRange(BoxId box, long from, long to, long version, Duration recordedAt) {}

  private final Deque<DisownedRange> entries = new ArrayDeque<>();
  private long evictedCount;

  /** A box has answered that it does not hold these keys from this version on. */
  public void add(BoxId box, long from, long to, long version, Duration now) {
    if (entries.size() == MAX_ENTRIES) {
      entries.pollFirst();
      evictedCount++;
    }
    entries.addLast(new DisownedRange(box, from, to, version, now));
  }

  /** Whether a box is to be asked for these keys, as far as it has said anything of them. */
  public boolean mayHold(BoxId box, long from, long to, Layout current, Duration now) {
    removeExpired(current, now);
    for (DisownedRange entry : entries) {
      if (entry.box.equals(box) && entry.from < to && from < entry.to) {
        return false;
      }
    }
    return true;
  }

  /** Whether some box knows a newer version than is in force: time to ask for the list. */
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

  public long evictedCount() {
    return evictedCount;
  }
}
