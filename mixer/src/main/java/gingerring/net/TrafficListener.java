package gingerring.net;

import java.net.InetSocketAddress;

/**
 * Receives all bytes that connections carry, for a recording. Called on MINA's thread and the event
 * loop's; each direction of a connection is reported by one thread only. Implementations must
 * return at once without blocking. Side 0 is the end that opened the connection, side 1 the end
 * that accepted it. The listener may keep the byte arrays, and must not change them.
 */
public interface TrafficListener {
  /** A connection was established. */
  void onOpened(long connection, InetSocketAddress opener, InetSocketAddress listener);

  /**
   * The end {@code side} of a connection has sent bytes; side 0 opened the connection, side 1
   * accepted it.
   */
  void onData(long connection, int side, byte[] bytes);

  /** A connection has ended. {@code side} is the end that closed it, as far as known. */
  void onClosed(long connection, int side);

  /** The process is about to exit: buffered data has to be written within seconds. */
  default void onShutdown() {}
}
