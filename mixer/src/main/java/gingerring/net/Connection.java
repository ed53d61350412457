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

  private static final int IN = 2 * MAX_READ_BYTES;
  private static final int OUT_FIRST = 1024;

  /** How long a connection's last bytes may take to leave. */
  private static final Duration FLUSH_MOST = Duration.ofSeconds(10);

  /** How much is read and dropped before what is read is paced. */
  private static final long DROPPED_AT_ONCE = 1 << 20;

  public final ByteRing input = new ByteRing(IN, IN);
  public final ByteRing output;

  /** The other side opened it. */
  final boolean inbound;

  private final Network network;
  private ConnectionHandler party;
  private ConnectFuture dialled;
  private volatile IoSession session;
  private boolean opened;

  /** This side, as a tap counts them. */
  private int mine;

  /** How many bytes MINA has in hand; 0 where it has none. */
  private int writing;

  private boolean closing;
  private boolean closed;

  /** This side is to be ended by a half-close, once flushed; and has been. */
  private boolean endsOrderly;

  private boolean halfClosed;

  /**
   * Nothing that still comes is wanted: it is read and dropped, as fast as it comes for so many
   * bytes.
   */
  private volatile boolean dropping;

  private long dropped;

  /** The other side has ended its own, and all that it sent before has been read. */
  private volatile boolean finRead;

  private final AtomicBoolean told = new AtomicBoolean();
  private volatile boolean paused;

  /**
   * Bytes were read that are not in the ring yet; and nothing more is to be read. Both under this
   * lock.
   */
  private boolean unput;

  private boolean unheeded;
  private volatile Duration heard = Duration.ZERO;

  Connection(Network network, int outMost, boolean came) {
    this.network = network;
    this.inbound = came;
    output = new ByteRing(OUT_FIRST, outMost);
  }

  public void setHandler(ConnectionHandler owner) {
    party = owner;
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
    return party.idleSince();
  }

  /** When bytes last came into an empty ring. */
  public Duration inputArrivedAt() {
    return heard;
  }

  /** How many bytes really left by this connection. */
  public long bytesSent() {
    return session == null ? 0 : session.getWrittenBytes();
  }

  void dialled(ConnectFuture future) {
    dialled = future;
  }

  // ---- MINA's thread ----

  boolean unheeded() {
    return unheeded;
  }

  void wasRead(boolean some) {
    unput |= some;
  }

  /** The other side has closed, and not reset, what it sends by. */
  void finRead() {
    finRead = true;
  }

  IoSession session() {
    return session;
  }

  void received(IoBuffer buffer) {
    byte[] bytes = new byte[buffer.remaining()];
    buffer.get(bytes);
    if (dropping) { // since it was read
      drop(bytes);
      return;
    }
    if (network.tap != null) {
      network.tap.onData(session.getId(), 1 - mine, bytes);
    }
    if (input.size() == 0) {
      heard = network.inbox.currentTime();
    }
    boolean fits = input.put(bytes);
    synchronized (this) {
      unput = false;
    }
    network.counts.checkInvariant(fits, "a read fits the ring");
    if (!fits) {
      session.closeNow();
      return;
    }
    if (isInputFull()) {
      paused = true;
      session.suspendRead();
    }
    if (told.compareAndSet(false, true)) {
      network.inbox.post(this::tellReadable);
    }
  }

  boolean dropping() {
    return dropping;
  }

  /** Returns whether so much has been dropped that reading is to be paced. */
  boolean drop(byte[] bytes) {
    if (network.tap != null) {
      network.tap.onData(session.getId(), 1 - mine, bytes.clone());
    }
    dropped += bytes.length;
    network.counts.add("bytes dropped", bytes.length);
    return dropped > DROPPED_AT_ONCE;
  }

  /** {@code came}: the other side opened it. */
  void up(IoSession session, boolean came) {
    this.session = session;
    if (network.tap != null) {
      mine = came ? 1 : 0;
      InetSocketAddress here = (InetSocketAddress) session.getLocalAddress();
      InetSocketAddress there = (InetSocketAddress) session.getRemoteAddress();
      network.tap.onOpened(session.getId(), came ? there : here, came ? here : there);
    }
  }

  void sent() {
    network.inbox.post(this::left);
  }

  // ---- the loop ----

  void tellOpened() {
    opened = true;
    if (closed || closing) {
      session.closeNow();
      return;
    }
    party.onOpened();
    network.dirty(this);
  }

  private void tellReadable() {
    told.set(false);
    if (closed) {
      return;
    }
    if (dropping) {
      input.clear();
    } else {
      party.onReadable();
    }
    resumeReading();
  }

  /**
   * Reading goes on once there is room again, on MINA's thread. Guards against a resumption that
   * comes between the two steps of a pause ({@link #received}): it would go unheard, and nothing
   * would ever be read again.
   */
  public void resumeReading() {
    if (paused && !isInputFull() && !closed) {
      paused = false;
      network.resumeRead(session);
    }
  }

  /** Marks that there is something to flush at the end of the turn. */
  public void requestFlush() {
    network.dirty(this);
  }

  /** One write of what lies side by side in the ring; what is left follows once that has gone. */
  void flush() {
    if (!opened || closed || writing > 0) {
      return;
    }
    if (output.size() > 0) {
      ByteBuffer slice = output.peekContiguous();
      writing = slice.remaining();
      if (network.tap != null) {
        byte[] copy = new byte[writing];
        slice.duplicate().get(copy);
        network.tap.onData(session.getId(), mine, copy);
      }
      session.write(IoBuffer.wrap(slice));
    } else if (endsOrderly) {
      if (!halfClosed) {
        halfClosed = true;
        network.halfClose(this);
      }
    } else if (closing) {
      session.closeNow();
    }
  }

  private void left() {
    output.skip(writing);
    writing = 0;
    flush();
    if (output.size() == 0 && !closed) {
      party.onFlushed();
    }
  }

  /**
   * Nothing that was put waits to leave: what is put now is written at the end of this turn, as
   * one.
   */
  public boolean isFlushed() {
    return output.size() == 0 && writing == 0;
  }

  /**
   * Whether the other side ended the connection by an orderly close, all that it had sent having
   * been read; not by a reset, and not before this side had ended it at once. Told by the time of
   * {@link ConnectionHandler#onClosed}.
   */
  public boolean closedGracefully() {
    return finRead;
  }

  /**
   * Ends the connection in an orderly way once what was put has left: this side is half-closed,
   * what still comes is read and dropped, within bounds of bytes and time, until the other side has
   * closed too. Guards against a close over unread bytes, which resets the connection and takes the
   * last answer with it. The party is told of no more bytes, and of the end.
   */
  public void closeGracefully() {
    if (!opened || network.within()) {
      closeAfterFlush();
      return;
    }
    if (closed || closing) {
      return;
    }
    closing = true;
    endsOrderly = true;
    discardInput();
    network.endBy(this, FLUSH_MOST);
    network.dirty(this);
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
    dropping = true;
    input.clear();
    resumeReading();
  }

  /** Ends the connection once what was put has left. */
  public void closeAfterFlush() {
    closing = true;
    network.dirty(this);
  }

  /**
   * Ends the connection at once if nothing has been read from it that its party has not seen;
   * nothing is from then on. Guards against a request that is read just as its connection is ended
   * for being idle: its client would take it for lost, while one that was never read is sent again.
   */
  public boolean closeIfUnread() {
    synchronized (this) {
      if (unput || input.size() > 0) {
        return false;
      }
      unheeded = true;
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
      if (dialled != null) {
        network.abandon(dialled);
      }
      network.inbox.post(this::tellClosed);
    }
  }

  void tellClosed() {
    if (!closed) {
      closed = true;
      network.forget(this);
      if (network.tap != null && session != null) {
        network.tap.onClosed(session.getId(), closing ? mine : 1 - mine);
      }
      party.onClosed();
    }
  }
}
