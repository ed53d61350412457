package gingerring.traffic.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Arrays;

/**
 * One connection of a {@link Reactor}. What is put leaves in one write a turn; more than {@link
 * #OUT_MOST} bytes unsent end the connection, as a peer that does not read would else take all
 * memory.
 */
public final class ReactorConnection {
  static final int OUT_MOST = 4 << 20;

  /** Who owns it; called on the reactor's thread. */
  public interface Handler {
    default void opened() {}

    /** Bytes that came; the array is used again. */
    void bytes(byte[] bytes, int length);

    /** The other side sends no more. The connection ends unless this says to keep it. */
    default boolean keepsHalfOpen() {
      return false;
    }

    /** It never came up, or has ended; nothing follows. */
    void closed();
  }

  private final Reactor reactor;
  private final SocketChannel channel;
  private Handler owner;
  private SelectionKey key;
  private byte[] out = new byte[1024];
  private int first;
  private int end;
  private boolean up;
  private boolean closing;
  private boolean closed;
  private boolean marked;
  private boolean deaf;

  ReactorConnection(Reactor reactor, SocketChannel channel) {
    this.reactor = reactor;
    this.channel = channel;
  }

  void begin(Handler whose, boolean isUp) {
    owner = whose;
    try {
      channel.configureBlocking(false);
      channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
      up = isUp;
      key =
          channel.register(
              reactor.selector, isUp ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, this);
      if (isUp) {
        owner.opened();
      }
    } catch (IOException e) {
      ended();
    }
  }

  void fail(Handler whose) {
    owner = whose;
    reactor.post(this::ended);
  }

  public boolean open() {
    return up && !closed && !closing;
  }

  public boolean closed() {
    return closed;
  }

  public InetSocketAddress local() {
    return (InetSocketAddress) channel.socket().getLocalSocketAddress();
  }

  public InetSocketAddress remote() {
    return (InetSocketAddress) channel.socket().getRemoteSocketAddress();
  }

  void ready(SelectionKey ready, ByteBuffer read, byte[] bytes) {
    if (closed || !ready.isValid()) {
      return;
    }
    try {
      if (ready.isConnectable()) {
        channel.finishConnect();
        up = true;
        interest();
        owner.opened();
        mark();
      }
      if (!closed && ready.isValid() && ready.isReadable()) {
        read.clear();
        int count = channel.read(read);
        if (count < 0) {
          if (owner.keepsHalfOpen()) {
            deaf = true;
            interest();
          } else {
            ended();
          }
        } else {
          read.flip();
          read.get(bytes, 0, count);
          owner.bytes(bytes, count);
        }
      }
      if (!closed && ready.isValid() && ready.isWritable()) {
        flush();
      }
    } catch (IOException e) {
      ended();
    }
  }

  public void put(byte[] bytes) {
    put(bytes, 0, bytes.length);
  }

  public void put(byte[] bytes, int at, int length) {
    if (closed || closing) {
      return;
    }
    if (end - first + length > OUT_MOST) {
      reset();
      return;
    }
    if (end + length > out.length) {
      byte[] larger =
          end - first + length > out.length / 2
              ? new byte[Math.max(2 * out.length, end - first + length)]
              : out;
      System.arraycopy(out, first, larger, 0, end - first);
      out = larger;
      end -= first;
      first = 0;
    }
    System.arraycopy(bytes, at, out, end, length);
    end += length;
    mark();
  }

  /** Nothing more is read, as of a machine that has gone silent; or reading goes on. */
  public void pauseReading(boolean on) {
    deaf = on;
    interest();
  }

  private void mark() {
    if (!marked) {
      marked = true;
      reactor.dirty(this);
    }
  }

  private void interest() {
    if (key != null && key.isValid()) {
      key.interestOps(
          !up
              ? SelectionKey.OP_CONNECT
              : (deaf ? 0 : SelectionKey.OP_READ) | (end > first ? SelectionKey.OP_WRITE : 0));
    }
  }

  void flush() {
    marked = false;
    if (closed || !up) {
      return;
    }
    try {
      if (end > first) {
        first += channel.write(ByteBuffer.wrap(out, first, end - first));
      }
      if (end == first) {
        first = 0;
        end = 0;
        if (out.length > 1 << 16) {
          out = Arrays.copyOf(out, 1024);
        }
        if (closing) {
          ended();
          return;
        }
      }
      interest();
    } catch (IOException e) {
      ended();
    }
  }

  /** Ends it once what was put has left. */
  public void close() {
    if (!closed) {
      closing = true;
      if (up) {
        mark();
      } else {
        reactor.post(this::ended);
      }
    }
  }

  /** Ends it at once with a reset. */
  public void reset() {
    if (!closed) {
      try {
        channel.setOption(StandardSocketOptions.SO_LINGER, 0);
      } catch (IOException e) {
        // it ends all the same
      }
      ended();
    }
  }

  private void ended() {
    if (closed) {
      return;
    }
    closed = true;
    reactor.gone();
    try {
      channel.close();
    } catch (IOException e) {
      // it is gone
    }
    owner.closed();
  }
}
