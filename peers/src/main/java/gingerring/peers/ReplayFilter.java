package gingerring.peers;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Which letters have come already: a window of 64 numbers for each author, as of IPsec (RFC 4303,
 * 3.4.3). A letter of an earlier life, one that came before, and one far behind are not taken. At
 * most so many authors, the one heard longest ago goes first; some 100 bytes each.
 */
final class ReplayFilter {
  private static final int WINDOW_BITS = 64;

  private static final class AuthorWindow {
    long incarnation;
    long highest;

    /** Bit i: the number that is i below the highest has come. */
    long receivedBits;
  }

  private final int maxAuthors;
  private final Map<PeerId, AuthorWindow> windows = new LinkedHashMap<>(16, 0.75f, true);

  ReplayFilter(int maxAuthors) {
    this.maxAuthors = maxAuthors;
  }

  /** Whether this letter is new; it has come from now on. */
  boolean accept(PeerId author, long incarnation, long number) {
    AuthorWindow window = windows.get(author);
    if (window == null) {
      if (windows.size() >= maxAuthors) {
        windows.remove(windows.keySet().iterator().next());
      }
      window = new AuthorWindow();
      window.incarnation = Long.MIN_VALUE;
      windows.put(author, window);
    }
    if (incarnation < window.incarnation) {
      return false;
    }
    if (incarnation > window.incarnation) {
      window.incarnation = incarnation;
      window.highest = number;
      window.receivedBits = 1;
      return true;
    }
    if (number > window.highest) {
      long step = number - window.highest;
      window.receivedBits = step >= WINDOW_BITS || step < 0 ? 1 : window.receivedBits << step | 1;
      window.highest = number;
      return true;
    }
    long behind = window.highest - number;
    if (behind >= WINDOW_BITS || behind < 0 || (window.receivedBits >>> behind & 1) == 1) {
      return false;
    }
    window.receivedBits |= 1L << behind;
    return true;
  }

  int size() {
    return windows.size();
  }
}
