package gingerring.net;

import java.time.Duration;

/** Who owns a connection: called on the loop's thread alone. */
public interface Party {
  /** Nobody: what comes is left in the ring. */
  Party NONE =
      new Party() {
        @Override
        public void readable() {}

        @Override
        public void closed() {}
      };

  /** The connection is up. */
  default void opened() {}

  /** Bytes have come into the ring {@link Connection#in}. */
  void readable();

  /** All that was put into {@link Connection#out} has left. */
  default void drained() {}

  /**
   * Since when nothing has been under way, so that a dialled connection may be ended for another;
   * or null.
   */
  default Duration restsSince() {
    return null;
  }

  /** The connection never came up, or has ended; nothing follows. */
  void closed();
}
