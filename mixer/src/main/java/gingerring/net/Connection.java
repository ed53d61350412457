package gingerring.net;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.session.IoSession;

/**
 * One TCP connection (or in-memory pipe) with a bounded ring buffer for each direction. The methods
 * of the section marked "MINA's thread" run on the I/O thread of Apache MINA; all others run on the
 * event loop's thread.
 */
public final class Connection {
  /**
   * Most bytes that one read can deliver; reading is suspended while {@link #input} has less free
   * space.
   */
  static final int MAX_READ_BYTES = 4096;

  private static final int INPUT_BYTES = 2 * MAX_READ_BYTES;
  private static final int INITIAL_INPUT_BYTES = 512;
  private static final int INITIAL_OUTPUT_BYTES = 1024;

  /** How long {@link #closeGracefully} waits for the remaining output to be sent. */
  private static final Duration FLUSH_TIMEOUT = Duration.ofSeconds(10);

  /**
   * How many bytes of discarded input a connection reads at full speed; further reads of discarded
   * input are paced.
   */
  private static final long UNPACED_DISCARD_BYTES = 1 << 20;

  public final ByteRing input;
  public final ByteRing output;

  /** Whether the peer opened the connection; false for a dialled one. */
  final boolean inbound;

  private final Network network;
  private ConnectionHandler handler;
  private ConnectFuture connectFuture;
  private volatile IoSession session;
  private boolean opened;

  /**
   * This end, as {@link TrafficListener} counts the sides: 0 opened the connection, 1 accepted it.
   */
  private int localSide;

  /** Bytes handed to MINA and not yet written to the socket; 0 if no write is under way. */
  private int bytesInWrite;

  private boolean closing;
  private boolean closed;

  /**
   * Whether the output is shut down once it is flushed, and the connection ends when the peer
   * closes too.
   */
  private boolean closesGracefully;

  /** Whether the output has been shut down. */
  private boolean halfClosed;

  /**
   * Whether further input is read and discarded; only the first {@link #UNPACED_DISCARD_BYTES} are
   * read at full speed.
   */
  private volatile boolean discarding;

  private long discardedBytes;

  /** Whether the peer has closed its side gracefully, and all that it had sent has been read. */
  private volatile boolean peerClosed;

  /** Whether a call of {@link #handleReadable} is in the event queue. */
  private final AtomicBoolean readablePosted = new AtomicBoolean();

  private volatile boolean readSuspended;

  /**
   * Whether bytes were read that are not in {@link #input} yet. Guarded by this connection's lock.
   */
  private boolean readPending;

  /** Whether nothing more may be read. Guarded by this connection's lock. */
  private boolean readsBlocked;

  private volatile Duration inputArrivedAt = Duration.ZERO;

  Connection(Network network, int maxOutputBytes, boolean inbound) {
    this.network = network;
    this.inbound = inbound;
    input = new ByteRing(INITIAL_INPUT_BYTES, INPUT_BYTES, network.inputBudget());
    output = new ByteRing(INITIAL_OUTPUT_BYTES, maxOutputBytes, network.outputBudget());
  }

  /** Sets the handler that is called for the events of this connection. */
  public void setHandler(ConnectionHandler newHandler) {
    handler = newHandler;
  }

  /** Whether the connection is established and no close has been requested. */
  public boolean isOpen() {
    return opened && !closed && !closing;
  }

  /**
   * Whether the connection is established or being established, and no close has been requested.
   */
  public boolean isUsable() {
    return !closed && !closing;
  }

  /** Whether the connection has ended and its handler has been notified. */
  public boolean isClosed() {
    return closed;
  }

  Duration idleSince() {
    return handler.idleSince();
  }

  /** When bytes last arrived while {@link #input} was empty. */
  public Duration inputArrivedAt() {
    return inputArrivedAt;
  }

  /** How many bytes were written to the socket. */
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

  /**
   * Reserves memory for a read; returns how many bytes it may have. If none, reading is suspended
   * until the event loop has taken what is in {@link #input}.
   */
  int prepareRead() {
    int allowed = input.prepare(MAX_READ_BYTES);
    if (allowed == 0) {
      suspendReading();
      postReadable();
    }
    return allowed;
  }

  /** Takes back what {@link #prepareRead} has reserved for a read that got nothing. */
  void abandonRead() {
    input.unprepare();
    input.releaseIfEmpty();
  }

  /** The peer has shut down its output, rather than reset the connection. */
  void markPeerClosed() {
    peerClosed = true;
  }

  IoSession session() {
    return session;
  }

  void onReceived(IoBuffer buffer) {
    byte[] bytes = new byte[buffer.remaining()];
    buffer.get(bytes);
    if (discarding) { // discardInput was called after these bytes were read
      input.unprepare();
      discard(bytes, bytes.length);
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
      suspendReading();
    }
    postReadable();
  }

  private void suspendReading() {
    readSuspended = true;
    session.suspendRead();
  }

  private void postReadable() {
    if (readablePosted.compareAndSet(false, true)) {
      network.eventQueue.post(this::handleReadable);
    }
  }

  boolean isDiscarding() {
    return discarding;
  }

  /**
   * Counts the first {@code length} bytes as discarded. Returns whether so many were discarded that
   * further reads are to be paced.
   */
  boolean discard(byte[] bytes, int length) {
    if (network.trafficListener != null) {
      network.trafficListener.onData(session.getId(), 1 - localSide, Arrays.copyOf(bytes, length));
    }
    boolean pacedBefore = discardedBytes > UNPACED_DISCARD_BYTES;
    discardedBytes += length;
    network.counters.add("bytes dropped", length);
    boolean paced = discardedBytes > UNPACED_DISCARD_BYTES;
    if (paced && !pacedBefore) {
      network.eventQueue.post(this::handleDiscardPaced);
    }
    return paced;
  }

  /** Binds the MINA session. {@code inbound}: the peer opened the connection. */
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

  // ---- the event loop's thread ----

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

  private void handleDiscardPaced() {
    if (!closed) {
      handler.onDiscardPaced();
    }
  }

  /**
   * Resumes reading, on MINA's thread, once {@link #input} has space again, and releases the memory
   * of an empty one. Guards against a resume that comes between the two steps of a suspension in
   * {@link #onReceived}: it would be lost, and nothing would ever be read again.
   */
  public void resumeReading() {
    input.releaseIfEmpty();
    if (readSuspended && !isInputFull() && !closed) {
      readSuspended = false;
      network.resumeReading(session);
    }
  }

  /** Requests a flush of {@link #output} at the end of this loop iteration. */
  public void requestFlush() {
    network.requestFlush(this);
  }

  /**
   * Writes the next contiguous bytes of {@link #output}; {@link #handleSent} writes the rest. Once
   * the output is empty, carries out a requested close.
   */
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
    output.releaseIfEmpty();
    flush();
    if (output.size() == 0 && !closed) {
      handler.onFlushed();
    }
  }

  /**
   * Whether no output is buffered or being written, so that output put now is sent in one write at
   * the end of this loop iteration.
   */
  public boolean isFlushed() {
    return output.size() == 0 && bytesInWrite == 0;
  }

  /**
   * Whether the peer closed the connection gracefully and all that it had sent has been read. False
   * after a reset, and if this side closed the connection at once before. Valid from the call of
   * {@link ConnectionHandler#onClosed} on.
   */
  public boolean closedGracefully() {
    return peerClosed;
  }

  /**
   * Closes the connection gracefully once the output is sent: shuts down the output, then reads and
   * discards input, within limits of bytes and time, until the peer has closed too. Guards against
   * a close with unread bytes, which resets the connection and loses the last response. The handler
   * gets no more input, only {@link ConnectionHandler#onClosed}.
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

  /** Whether {@link #input} is so full that reading is suspended. */
  public boolean isInputFull() {
    return input.remainingCapacity() < MAX_READ_BYTES || input.isFull();
  }

  /**
   * Discards the buffered and all further input; beyond {@link #UNPACED_DISCARD_BYTES} reading is
   * paced. The handler is not called for input any more. Guards against unread input that hides the
   * end of the connection by the peer.
   */
  public void discardInput() {
    discarding = true;
    input.clear();
    resumeReading();
  }

  /** Closes the connection once the output is sent. */
  public void closeAfterFlush() {
    closing = true;
    network.requestFlush(this);
  }

  /**
   * Closes the connection at once unless bytes were read that the handler has not processed;
   * returns whether it did. No bytes are read afterwards. Guards against a request that is read
   * just as its connection is closed for being idle: the client would take the request for lost,
   * while one that was never read is sent again.
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

  /** Closes the connection at once; the handler's {@code onClosed} is called all the same. */
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
      input.detachFromBudget();
      output.detachFromBudget();
      network.forget(this);
      if (network.trafficListener != null && session != null) {
        network.trafficListener.onClosed(session.getId(), closing ? localSide : 1 - localSide);
      }
      handler.onClosed();
    }
  }
}
