package gingerring.net;

import java.time.Duration;

/** Receives the events of one connection, on the event loop's thread. */
public interface ConnectionHandler {
  /** Does nothing; input stays in the connection's buffer. */
  ConnectionHandler NO_OP =
      new ConnectionHandler() {
        @Override
        public void onReadable() {}

        @Override
        public void onClosed() {}
      };

  /** The connection is established. */
  default void onOpened() {}

  /** Bytes have arrived in {@link Connection#input}. */
  void onReadable();

  /**
   * More input was discarded than is read at full speed; further input is read slowly, so that the
   * end of the connection by the peer may be noticed late. Called once at most.
   */
  default void onDiscardPaced() {}

  /** All bytes put into {@link Connection#output} have been sent. */
  default void onFlushed() {}

  /**
   * Since when no request has been under way, so that a dialled connection may be closed in favour
   * of another; null if one is under way.
   */
  default Duration idleSince() {
    return null;
  }

  /** The connection failed to be established or has ended; no further call follows. */
  void onClosed();
}
