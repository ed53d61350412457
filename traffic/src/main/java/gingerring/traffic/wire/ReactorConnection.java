package gingerring.traffic.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Arrays;

/**
 * One connection of a {@link Reactor}. Queued bytes leave in one write per iteration of the event
 * loop. More than {@link #MAX_UNSENT_BYTES} unsent bytes reset the connection; otherwise a peer
 * that does not read could exhaust the memory.
 */
public final class ReactorConnection {
  static final int MAX_UNSENT_BYTES = 4 << 20;

  /** Receives the connection's events on the reactor's thread. */
  public interface Handler {
    default void onOpened() {}

    /** Delivers received bytes. The array is reused after the call. */
    void onData(byte[] bytes, int length);

    /**
     * Called when the peer has closed its sending side. The connection is closed unless this
     * returns true.
     */
    default boolean keepsHalfOpen() {
      return false;
    }

    /** Called once when the connection failed to open or was closed. No event follows. */
    void onClosed();
  }

  private final Reactor reactor;
  private final SocketChannel channel;
  private Handler handler;
  private SelectionKey key;
  private byte[] unsent = new byte[1024];
  private int unsentStart;
  private int unsentEnd;
  private boolean connected;
  private boolean closing;
  private boolean closed;
  private boolean flushRequested;
  private boolean readingPaused;

  ReactorConnection(Reactor reactor, SocketChannel channel) {
    this.reactor = reactor;
    this.channel = channel;
  }

  void register(Handler newHandler, boolean alreadyConnected) {
    handler = newHandler;
    try {
      channel.configureBlocking(false);
      channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
      connected = alreadyConnected;
      key =
          channel.register(
              reactor.selector,
              alreadyConnected ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT,
              this);
      if (alreadyConnected) {
        handler.onOpened();
      }
    } catch (IOException e) {
      closeNow();
    }
  }

  void failLater(Handler newHandler) {
    handler = newHandler;
    reactor.post(this::closeNow);
  }

  public boolean isOpen() {
    return connected && !closed && !closing;
  }

  public boolean isClosed() {
    return closed;
  }

  public InetSocketAddress localAddress() {
    return (InetSocketAddress) channel.socket().getLocalSocketAddress();
  }

  public InetSocketAddress remoteAddress() {
    return (InetSocketAddress) channel.socket().getRemoteSocketAddress();
  }

  void onReady(SelectionKey selectedKey, ByteBuffer readBuffer, byte[] bytes) {
    if (closed || !selectedKey.isValid()) {
      return;
    }
    try {
      if (selectedKey.isConnectable()) {
        channel.finishConnect();
        connected = true;
        updateInterest();
        handler.onOpened();
        requestFlush();
      }
      if (!closed && selectedKey.isValid() && selectedKey.isReadable()) {
        readBuffer.clear();
        int count = channel.read(readBuffer);
        if (count < 0) {
          if (handler.keepsHalfOpen()) {
            readingPaused = true;
            updateInterest();
          } else {
            closeNow();
          }
        } else {
          readBuffer.flip();
          readBuffer.get(bytes, 0, count);
          handler.onData(bytes, count);
        }
      }
      if (!closed && selectedKey.isValid() && selectedKey.isWritable()) {
        flush();
      }
    } catch (IOException e) {
      closeNow();
    }
  }

  public void send(byte[] bytes) {
    send(bytes, 0, bytes.length);
  }

  public void send(byte[] bytes, int offset, int length) {
    if (closed || closing) {
      return;
    }
    if (unsentEnd - unsentStart + length > MAX_UNSENT_BYTES) {
      reset();
      return;
    }
    if (unsentEnd + length > unsent.length) {
      byte[] larger =
          unsentEnd - unsentStart + length > unsent.length / 2
              ? new byte[Math.max(2 * unsent.length, unsentEnd - unsentStart + length)]
              : unsent;
      System.arraycopy(unsent, unsentStart, larger, 0, unsentEnd - unsentStart);
      unsent = larger;
      unsentEnd -= unsentStart;
      unsentStart = 0;
    }
    System.arraycopy(bytes, offset, unsent, unsentEnd, length);
    unsentEnd += length;
    requestFlush();
  }

  /**
   * Pauses or resumes reading; a paused connection behaves like a machine that has stopped
   * responding.
   */
  public void pauseReading(boolean paused) {
    readingPaused = paused;
    updateInterest();
  }

  private void requestFlush() {
    if (!flushRequested) {
      flushRequested = true;
      reactor.requestFlush(this);
    }
  }

  private void updateInterest() {
    if (key != null && key.isValid()) {
      key.interestOps(
          !connected
              ? SelectionKey.OP_CONNECT
              : (readingPaused ? 0 : SelectionKey.OP_READ)
                  | (unsentEnd > unsentStart ? SelectionKey.OP_WRITE : 0));
    }
  }

  void flush() {
    flushRequested = false;
    if (closed || !connected) {
      return;
    }
    try {
      if (unsentEnd > unsentStart) {
        unsentStart += channel.write(ByteBuffer.wrap(unsent, unsentStart, unsentEnd - unsentStart));
      }
      if (unsentEnd == unsentStart) {
        unsentStart = 0;
        unsentEnd = 0;
        if (unsent.length > 1 << 16) {
          unsent = Arrays.copyOf(unsent, 1024);
        }
        if (closing) {
          closeNow();
          return;
        }
      }
      updateInterest();
    } catch (IOException e) {
      closeNow();
    }
  }

  /** Closes the connection after all queued bytes have been sent. */
  public void closeAfterFlush() {
    if (!closed) {
      closing = true;
      if (connected) {
        requestFlush();
      } else {
        reactor.post(this::closeNow);
      }
    }
  }

  /** Closes the connection at once with a TCP reset. */
  public void reset() {
    if (!closed) {
      try {
        channel.setOption(StandardSocketOptions.SO_LINGER, 0);
      } catch (IOException e) {
        // the connection is closed in any case
      }
      closeNow();
    }
  }

  private void closeNow() {
    if (closed) {
      return;
    }
    closed = true;
    reactor.connectionClosed();
    try {
      channel.close();
    } catch (IOException e) {
      // the channel is unusable either way
    }
    handler.onClosed();
  }
}
