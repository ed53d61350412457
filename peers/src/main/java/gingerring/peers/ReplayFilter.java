package gingerring.peers;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Detects repeated messages with a window of 64 message numbers for each author, as the anti-replay
 * window of IPsec does (RFC 4303, 3.4.3). A message of an earlier incarnation, a repeated one, and
 * one more than 63 numbers behind the highest are rejected. At most {@code maxAuthors} authors are
 * kept, some 100 bytes each; the author least recently received is evicted first.
 */
final class ReplayFilter {
  private static final int WINDOW_BITS = 64;

  private static final class AuthorWindow {
    long incarnation;
    long highest;

    /** Bit i is set if the message with the number {@code highest - i} was received. */
    long receivedBits;
  }

  private final int maxAuthors;
  private final Map<PeerId, AuthorWindow> windows = new LinkedHashMap<>(16, 0.75f, true);

  ReplayFilter(int maxAuthors) {
    this.maxAuthors = maxAuthors;
  }

  /** Returns whether the message is new, and records it as received. */
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
