package gingerring.peers;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Which letters have come already: a window of 64 numbers for each author, as of IPsec (RFC 4303,
 * 3.4.3). A letter of an earlier life, one that came before, and one far behind are not taken. At
 * most so many authors, the one heard longest ago goes first; some 100 bytes each.
 */
final class ReplayFilter {
  private static final int WIDE = 64;

  private static final class Window {
    long life;
    long highest;

    /** Bit i: the number that is i below the highest has come. */
    long come;
  }

  private final int most;
  private final Map<PeerId, Window> windows = new LinkedHashMap<>(16, 0.75f, true);

  ReplayFilter(int most) {
    this.most = most;
  }

  /** Whether this letter is new; it has come from now on. */
  boolean take(PeerId author, long life, long number) {
    Window window = windows.get(author);
    if (window == null) {
      if (windows.size() >= most) {
        windows.remove(windows.keySet().iterator().next());
      }
      window = new Window();
      window.life = Long.MIN_VALUE;
      windows.put(author, window);
    }
    if (life < window.life) {
      return false;
    }
    if (life > window.life) {
      window.life = life;
      window.highest = number;
      window.come = 1;
      return true;
    }
    if (number > window.highest) {
      long step = number - window.highest;
      window.come = step >= WIDE || step < 0 ? 1 : window.come << step | 1;
      window.highest = number;
      return true;
    }
    long behind = window.highest - number;
    if (behind >= WIDE || behind < 0 || (window.come >>> behind & 1) == 1) {
      return false;
    }
    window.come |= 1L << behind;
    return true;
  }

  int size() {
    return windows.size();
  }
}
