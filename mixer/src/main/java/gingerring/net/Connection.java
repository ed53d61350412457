package gingerring.net;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.session.IoSession;

/**
 * One connection as the loop has it: a ring of bytes for each direction, both bounded. The methods
 * marked so are MINA's thread's; all others are the loop's.
 */
public final class Connection {
  /** What one read brings at most; reading stops while the ring has no room for that. */
  static final int MAX_READ_BYTES = 4096;

  private static final int INPUT_BYTES = 2 * MAX_READ_BYTES;
  private static final int INITIAL_OUTPUT_BYTES = 1024;

  /** How long a connection's last bytes may take to leave. */
  private static final Duration FLUSH_TIMEOUT = Duration.ofSeconds(10);

  /** How much is read and dropped before what is read is paced. */
  private static final long UNPACED_DISCARD_BYTES = 1 << 20;

  public final ByteRing input = new ByteRing(INPUT_BYTES, INPUT_BYTES);
  public final ByteRing output;

  /** The other side opened it. */
  final boolean inbound;

  private final Network network;
  private ConnectionHandler handler;
  private ConnectFuture connectFuture;
  private volatile IoSession session;
  private boolean opened;

  /** This side, as a tap counts them. */
  private int localSide;

  /** How many bytes MINA has in hand; 0 where it has none. */
  private int bytesInWrite;

  private boolean closing;
  private boolean closed;

  /** This side is to be ended by a half-close, once flushed; and has been. */
  private boolean closesGracefully;

  private boolean halfClosed;

  /**
   * Nothing that still comes is wanted: it is read and dropped, as fast as it comes for so many
   * bytes.
   */
  private volatile boolean discarding;

  private long discardedBytes;

  /** The other side has ended its own, and all that it sent before has been read. */
  private volatile boolean peerClosed;

  private final AtomicBoolean readablePosted = new AtomicBoolean();
  private volatile boolean readSuspended;

  /**
   * Bytes were read that are not in the ring yet; and nothing more is to be read. Both under this
   * lock.
   */
  private boolean readPending;

  private boolean readsBlocked;
  private volatile Duration inputArrivedAt = Duration.ZERO;

  Connection(Network network, int maxOutputBytes, boolean inbound) {
    this.network = network;
    this.inbound = inbound;
    output = new ByteRing(INITIAL_OUTPUT_BYTES, maxOutputBytes);
  }

  public void setHandler(ConnectionHandler newHandler) {
    handler = newHandler;
  }

  public boolean isOpen() {
    return opened && !closed && !closing;
  }

  /** Up or coming up, and not to be closed. */
  public boolean isUsable() {
    return !closed && !closing;
  }

  public boolean isClosed() {
    return closed;
  }

  Duration idleSince() {
    return handler.idleSince();
  }

  /** When bytes last came into an empty ring. */
  public Duration inputArrivedAt() {
    return inputArrivedAt;
  }

  /** How many bytes really left by this connection. */
  public long bytesSent() {
    return session == null ? 0 : session.getWrittenBytes();
  }

  void setConnectFuture(ConnectFuture future) {
    connectFuture = future;
  }

  // ---- MINA's thread ----

  boolean areReadsBlocked() {
    return readsBlocked;
  }

  void markRead(boolean gotBytes) {
    readPending |= gotBytes;
  }

  /** The other side has closed, and not reset, what it sends by. */
  void markPeerClosed() {
    peerClosed = true;
  }

  IoSession session() {
    return session;
  }

  void onReceived(IoBuffer buffer) {
    byte[] bytes = new byte[buffer.remaining()];
    buffer.get(bytes);
    if (discarding) { // since it was read
      discard(bytes);
      return;
    }
    if (network.trafficListener != null) {
      network.trafficListener.onData(session.getId(), 1 - localSide, bytes);
    }
    if (input.size() == 0) {
      inputArrivedAt = network.eventQueue.currentTime();
    }
    boolean fits = input.put(bytes);
    synchronized (this) {
      readPending = false;
    }
    network.counters.checkInvariant(fits, "a read fits the ring");
    if (!fits) {
      session.closeNow();
      return;
    }
    if (isInputFull()) {
      readSuspended = true;
      session.suspendRead();
    }
    if (readablePosted.compareAndSet(false, true)) {
      network.eventQueue.post(this::handleReadable);
    }
  }

  boolean isDiscarding() {
    return discarding;
  }

  /** Returns whether so much has been dropped that reading is to be paced. */
  boolean discard(byte[] bytes) {
    if (network.trafficListener != null) {
      network.trafficListener.onData(session.getId(), 1 - localSide, bytes.clone());
    }
    discardedBytes += bytes.length;
    network.counters.add("bytes dropped", bytes.length);
    return discardedBytes > UNPACED_DISCARD_BYTES;
  }

  /** {@code came}: the other side opened it. */
  void attach(IoSession session, boolean inbound) {
    this.session = session;
    if (network.trafficListener != null) {
      localSide = inbound ? 1 : 0;
      InetSocketAddress localAddress = (InetSocketAddress) session.getLocalAddress();
      InetSocketAddress remoteAddress = (InetSocketAddress) session.getRemoteAddress();
      network.trafficListener.onOpened(
          session.getId(),
          inbound ? remoteAddress : localAddress,
          inbound ? localAddress : remoteAddress);
    }
  }

  void onSent() {
    network.eventQueue.post(this::handleSent);
  }

  // ---- the loop ----

  void handleOpened() {
    opened = true;
    if (closed || closing) {
      session.closeNow();
      return;
    }
    handler.onOpened();
    network.requestFlush(this);
  }

  private void handleReadable() {
    readablePosted.set(false);
    if (closed) {
      return;
    }
    if (discarding) {
      input.clear();
    } else {
      handler.onReadable();
    }
    resumeReading();
  }

  /**
   * Reading goes on once there is room again, on MINA's thread. Guards against a resumption that
   * comes between the two steps of a pause ({@link #onReceived}): it would go unheard, and nothing
   * would ever be read again.
   */
  public void resumeReading() {
    if (readSuspended && !isInputFull() && !closed) {
      readSuspended = false;
      network.resumeReading(session);
    }
  }

  /** Marks that there is something to flush at the end of the turn. */
  public void requestFlush() {
    network.requestFlush(this);
  }

  /** One write of what lies side by side in the ring; what is left follows once that has gone. */
  void flush() {
    if (!opened || closed || bytesInWrite > 0) {
      return;
    }
    if (output.size() > 0) {
      ByteBuffer nextBytes = output.peekContiguous();
      bytesInWrite = nextBytes.remaining();
      if (network.trafficListener != null) {
        byte[] copy = new byte[bytesInWrite];
        nextBytes.duplicate().get(copy);
        network.trafficListener.onData(session.getId(), localSide, copy);
      }
      session.write(IoBuffer.wrap(nextBytes));
    } else if (closesGracefully) {
      if (!halfClosed) {
        halfClosed = true;
        network.halfClose(this);
      }
    } else if (closing) {
      session.closeNow();
    }
  }

  private void handleSent() {
    output.skip(bytesInWrite);
    bytesInWrite = 0;
    flush();
    if (output.size() == 0 && !closed) {
      handler.onFlushed();
    }
  }

  /**
   * Nothing that was put waits to leave: what is put now is written at the end of this turn, as
   * one.
   */
  public boolean isFlushed() {
    return output.size() == 0 && bytesInWrite == 0;
  }

  /**
   * Whether the other side ended the connection by an orderly close, all that it had sent having
   * been read; not by a reset, and not before this side had ended it at once. Told by the time of
   * {@link ConnectionHandler#onClosed}.
   */
  public boolean closedGracefully() {
    return peerClosed;
  }

  /**
   * Ends the connection in an orderly way once what was put has left: this side is half-closed,
   * what still comes is read and dropped, within bounds of bytes and time, until the other side has
   * closed too. Guards against a close over unread bytes, which resets the connection and takes the
   * last answer with it. The party is told of no more bytes, and of the end.
   */
  public void closeGracefully() {
    if (!opened || network.isInMemory()) {
      closeAfterFlush();
      return;
    }
    if (closed || closing) {
      return;
    }
    closing = true;
    closesGracefully = true;
    discardInput();
    network.closeWithin(this, FLUSH_TIMEOUT);
    network.requestFlush(this);
  }

  /** Whether the ring is so full that reading stops. */
  public boolean isInputFull() {
    return input.remainingCapacity() < MAX_READ_BYTES;
  }

  /**
   * Nothing that has come or still comes is wanted: it is read and dropped, at a pace once it is
   * much, and the party is told of no more bytes. Guards against the end of the other side that is
   * not seen behind them.
   */
  public void discardInput() {
    discarding = true;
    input.clear();
    resumeReading();
  }

  /** Ends the connection once what was put has left. */
  public void closeAfterFlush() {
    closing = true;
    network.requestFlush(this);
  }

  /**
   * Ends the connection at once if nothing has been read from it that its party has not seen;
   * nothing is from then on. Guards against a request that is read just as its connection is ended
   * for being idle: its client would take it for lost, while one that was never read is sent again.
   */
  public boolean closeIfUnread() {
    synchronized (this) {
      if (readPending || input.size() > 0) {
        return false;
      }
      readsBlocked = true;
    }
    close();
    return true;
  }

  /** Ends the connection at once; its party is told all the same. */
  public void close() {
    closing = true;
    if (opened) {
      session.closeNow();
    } else {
      if (connectFuture != null) {
        network.abandonDial(connectFuture);
      }
      network.eventQueue.post(this::handleClosed);
    }
  }

  void handleClosed() {
    if (!closed) {
      closed = true;
      network.forget(this);
      if (network.trafficListener != null && session != null) {
        network.trafficListener.onClosed(session.getId(), closing ? localSide : 1 - localSide);
      }
      handler.onClosed();
    }
  }
}
