package gingerring.net;

import java.time.Duration;

/** Who owns a connection: called on the loop's thread alone. */
public interface ConnectionHandler {
  /** Nobody: what comes is left in the ring. */
  ConnectionHandler NO_OP =
      new ConnectionHandler() {
        @Override
        public void onReadable() {}

        @Override
        public void onClosed() {}
      };

  /** The connection is up. */
  default void onOpened() {}

  /** Bytes have come into the ring {@link Connection#input}. */
  void onReadable();

  /** All that was put into {@link Connection#output} has left. */
  default void onFlushed() {}

  /**
   * Since when nothing has been under way, so that a dialled connection may be ended for another;
   * or null.
   */
  default Duration idleSince() {
    return null;
  }

  /** The connection never came up, or has ended; nothing follows. */
  void onClosed();
}
