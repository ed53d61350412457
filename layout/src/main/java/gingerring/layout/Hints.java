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
 * <p>A hint ends when the version that it names is in force, or after {@link #LIFE}, so that a
 * version that never comes is not waited for. {@link #MOST} are kept; the eldest goes.
 */
public final class Hints {
  public static final Duration LIFE = Duration.ofSeconds(10);
  public static final int MOST = 4096;

  private record Hint(BoxId box, long from, long to, long version, Duration at) {}

  private final Deque<Hint> hints = new ArrayDeque<>();
  private long pushedOut;

  /** A box has answered that it does not hold these keys from this version on. */
  public void disowned(BoxId box, long from, long to, long version, Duration now) {
    if (hints.size() == MOST) {
      hints.pollFirst();
      pushedOut++;
    }
    hints.addLast(new Hint(box, from, to, version, now));
  }

  /** Whether a box is to be asked for these keys, as far as it has said anything of them. */
  public boolean holds(BoxId box, long from, long to, Layout inForce, Duration now) {
    forget(inForce, now);
    for (Hint hint : hints) {
      if (hint.box.equals(box) && hint.from < to && from < hint.to) {
        return false;
      }
    }
    return true;
  }

  /** Whether some box knows a newer version than is in force: time to ask for the list. */
  public boolean behind(Layout inForce, Duration now) {
    forget(inForce, now);
    return !hints.isEmpty();
  }

  private void forget(Layout inForce, Duration now) {
    for (Iterator<Hint> each = hints.iterator(); each.hasNext(); ) {
      Hint hint = each.next();
      if (hint.version <= inForce.version() || now.minus(hint.at).compareTo(LIFE) > 0) {
        each.remove();
      }
    }
  }

  public int size() {
    return hints.size();
  }

  public long pushedOut() {
    return pushedOut;
  }
}
