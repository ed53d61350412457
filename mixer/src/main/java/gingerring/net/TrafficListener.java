package gingerring.net;

import java.net.InetSocketAddress;

/**
 * Told of all that connections carry, for a recording. Called on the network's and the loop's
 * threads, of one direction of a connection on one of them; must return at once and keep nothing
 * waiting. Side 0 is who opened the connection. The bytes are the tap's to keep, and not to change.
 */
public interface TrafficListener {
  void onOpened(long connection, InetSocketAddress opener, InetSocketAddress listener);

  void onData(long connection, int side, byte[] bytes);

  /** {@code side}: who ended it, as far as it is known. */
  void onClosed(long connection, int side);

  /** The process is about to end: what is kept is to be written, within seconds. */
  default void onShutdown() {}
}
