package gingerring.backend;

import gingerring.decide.Outcome;
import gingerring.net.Connection;
import gingerring.net.ConnectionHandler;
import gingerring.net.ScheduledTask;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A connection to a searcher, with the trips and probes in flight on it. */
final class SearcherConnection implements ConnectionHandler {
  /** A probe in flight. Probes of one kind are answered in the order in which they were sent. */
  static final class PendingProbe {
    final Duration sentAt;

    PendingProbe(Duration sentAt) {
      this.sentAt = sentAt;
    }
  }

  /** The parts of this connection, as the reader of its frames has to know them. */
  private final class ConnectionParts implements FrameReader.Parts {
    @Override
    public boolean isKnown(String partId) {
      return tripsInFlight.containsKey(partId) || recentIds.contains(partId);
    }

    @Override
    public int inFlight() {
      return tripsInFlight.size();
    }
  }

  /**
   * No further call is written while this many bytes wait to be sent, since written calls can no
   * longer be held back.
   */
  private static final int MAX_UNSENT_BYTES = 4096;

  private final Backend backend;
  private final ConnectionPool pool;
  private final Connection connection;
  private final FrameReader frameReader;

  /** Cancel frames that wait to be sent after the calls of the same turn of the event loop. */
  private final List<byte[]> pendingCancels = new ArrayList<>();

  private final Map<String, OutboundTrip> tripsInFlight = new LinkedHashMap<>();

  /**
   * Ids of the trips that ended most recently. An answer with any other unknown id is a protocol
   * violation.
   */
  private final RecentPartIds recentIds;

  private final Deque<PendingProbe> probesInFlight = new ArrayDeque<>();
  private boolean opened;

  /**
   * Whether the dial of this connection has exceeded its timeout: the dial may still succeed but is
   * not counted on.
   */
  private boolean dialOverdue;

  /** Sets {@link #dialOverdue}. */
  private final ScheduledTask dialTimer;

  /** Whether no new frames are sent here; the connection is closed once nothing is in flight. */
  private boolean retired;

  final Duration dialledAt;
  private Duration lastUsedAt;

  /**
   * The latest time at which no output was waiting: when all output had been sent, or when a frame
   * was put into the empty output.
   */
  private Duration outputEmptyAt;

  private Duration lastReadAt;

  /**
   * The number of frames before the incomplete one whose time is limited; -1 if there was none yet.
   */
  private long limitedFrame = -1;

  SearcherConnection(Backend backend, ConnectionPool pool) {
    this.backend = backend;
    this.pool = pool;
    dialledAt = backend.now();
    lastUsedAt = dialledAt;
    lastReadAt = dialledAt;
    recentIds = new RecentPartIds(backend.recentIdsPerConnection());
    frameReader = new FrameReader(new ConnectionParts(), backend.answerMemory());
    connection = backend.network().dial(pool.address(), Backend.OUTPUT_BUFFER_BYTES, this);
    dialTimer =
        backend.schedule(
            backend.dialTimeout(),
            () -> {
              dialOverdue = true;
              backend.scheduleDispatch(pool);
            });
  }

  boolean connected() {
    return opened && !retired && connection.isUsable();
  }

  /** Returns whether the dial failed without having been given up by the mixer. */
  boolean dialFailed() {
    return !opened && !retired;
  }

  /** Returns whether the connection is being dialled. */
  boolean dialing() {
    return !opened && !retired && connection.isUsable();
  }

  /** Returns whether the connection is open or being dialled in time, and accepts new trips. */
  boolean usableOrDialing() {
    return connected() && !idleTooLong() || dialing() && !dialOverdue;
  }

  /** Returns whether frames can be sent now. */
  boolean usable() {
    return connected() && connection.isOpen() && !idleTooLong();
  }

  /**
   * Returns whether output has waited for a dial timeout without being sent: the searcher does not
   * read.
   */
  boolean writeStalled() {
    return opened
        && !outputEmpty()
        && backend.now().minus(outputEmptyAt).compareTo(backend.dialTimeout()) >= 0;
  }

  /** Returns whether all output has been sent. */
  private boolean outputEmpty() {
    return connection.isFlushed();
  }

  /** Returns how many more trips may be in flight here. */
  int freeSlots() {
    return Math.max(0, backend.maxTripsPerConnection() - tripsInFlight.size());
  }

  /**
   * Returns whether a trip may be sent here. A connection that has carried the same id before is
   * excluded, since the answers to both trips could not be told apart.
   */
  boolean accepts(OutboundTrip trip) {
    return !tripsInFlight.containsKey(trip.wireId) && !recentIds.contains(trip.wireId);
  }

  /**
   * Returns whether the connection has been idle for so long that the searcher may be closing it.
   * This is false in the turn in which the connection opens, even with an idle time of 0, since
   * trips that waited for the connection are sent then.
   */
  boolean idleTooLong() {
    return idle()
        && (opened || dialOverdue)
        && backend.now().minus(lastUsedAt).compareTo(backend.maxIdleTime()) > 0;
  }

  boolean idle() {
    return tripsInFlight.isEmpty() && probesInFlight.isEmpty();
  }

  /**
   * Lets the network close a connection that is idle, so that others can be dialled when
   * descriptors are scarce.
   */
  @Override
  public Duration idleSince() {
    return opened && idle() ? lastUsedAt : null;
  }

  void retire() {
    retired = true;
    closeIfRetiredAndIdle();
  }

  private void closeIfRetiredAndIdle() {
    if (retired && idle()) {
      close();
    }
  }

  /**
   * Writes waiting trips, up to the limit of trips in flight, if all earlier output has been sent.
   * A trip kept here can still be held back, while a written frame might leave long after it was
   * decided.
   */
  void dispatch(Collection<OutboundTrip> waiting) {
    if (usable() && outputEmpty()) {
      List<OutboundTrip> batch = new ArrayList<>();
      for (OutboundTrip trip : List.copyOf(waiting)) {
        if (tripsInFlight.size() < backend.maxTripsPerConnection()
            && connection.output.size() < MAX_UNSENT_BYTES
            && accepts(trip)) {
          trip.connection = this;
          tripsInFlight.put(trip.wireId, trip);
          batch.add(trip);
          if (batch.size() == backend.maxPartsPerCall()) {
            writeCall(batch);
            batch.clear();
          }
        }
      }
      writeCall(batch);
    }
    if (connection.isOpen()) {
      pendingCancels.forEach(this::writeFrame);
    }
    pendingCancels.clear();
  }

  private void writeCall(List<OutboundTrip> batch) {
    if (batch.isEmpty()) {
      return;
    }
    if (writeFrame(FrameCodec.encodeCall(batch, backend.now()))) {
      for (OutboundTrip trip : batch) {
        backend.counts().checkInvariant(!trip.written(), "a trip begins once");
        trip.frameWritten(connection.output.totalBytesPut());
        pool.removeWaiting(trip);
      }
    } else if (batch.size() > 1) {
      // the call does not fit the output ring: split it
      writeCall(batch.subList(0, batch.size() / 2));
      writeCall(batch.subList(batch.size() / 2, batch.size()));
    } else {
      // the trip waits until the output ring is empty
      batch.forEach(
          trip -> {
            trip.connection = null;
            tripsInFlight.remove(trip.wireId);
          });
    }
  }

  private boolean writeFrame(byte[] frame) {
    lastUsedAt = backend.now();
    outputEmptyAt = outputEmpty() ? lastUsedAt : outputEmptyAt;
    connection.requestFlush();
    return connection.output.put(frame);
  }

  /** Cancels a trip whose frame has been written, and tells the searcher. */
  void cancel(OutboundTrip trip) {
    removeTrip(trip);
    pendingCancels.add(FrameCodec.encodeCancel(trip));
    backend.scheduleDispatch(pool);
    closeIfRetiredAndIdle();
  }

  /**
   * Handles the timeout of a trip. Nothing is sent. A connection on which nothing has been read
   * since it was dialled, or for a dial timeout, is no longer used.
   */
  void tripTimedOut(OutboundTrip trip) {
    removeTrip(trip);
    if (lastReadAt.compareTo(dialledAt) <= 0
        || backend.now().minus(lastReadAt).compareTo(backend.dialTimeout()) > 0) {
      retired = true;
    }
    closeIfRetiredAndIdle();
  }

  void probe() {
    lastUsedAt = backend.now();
    writeProbe();
  }

  private void writeProbe() {
    PendingProbe probe = new PendingProbe(backend.now());
    if (!writeFrame(FrameCodec.encode(backend.probeLetter(), new byte[0]))) {
      backend.probeEnded(pool, Outcome.UNREACHABLE, Duration.ZERO, null);
      return;
    }
    probesInFlight.add(probe);
    backend.schedule(
        backend.dialTimeout(),
        () -> {
          if (probesInFlight.remove(probe)) {
            // probe answers are matched by order, so this connection can send no further probes
            retired = true;
            backend.probeEnded(pool, Outcome.TIMED_OUT, backend.now().minus(probe.sentAt), null);
            closeIfRetiredAndIdle();
          }
        });
  }

  @Override
  public void onOpened() {
    opened = true;
    lastUsedAt = backend.now();
    pool.connectionOpened(this);
  }

  @Override
  public void onFlushed() {
    outputEmptyAt = backend.now();
    backend.scheduleDispatch(pool);
  }

  @Override
  public void onReadable() {
    lastReadAt = backend.now();
    lastUsedAt = lastReadAt;
    if (!connection.isUsable()) {
      connection.input.clear();
      return;
    }
    try {
      frameReader.read(connection.input, this::handleFrame);
    } catch (MalformedFrameException e) {
      closeOnBadFrame(e.getMessage());
    }
    if (frameReader.midFrame() && connection.isUsable()) {
      limitIncompleteFrame();
    }
    closeIfRetiredAndIdle();
  }

  /**
   * Closes the connection unless the frame that has begun is complete in time. Searchers write each
   * answer as a whole, so a frame that stays incomplete is truncated or has a wrong length; so may
   * have the one before it, which the codec holds until the next length is complete.
   */
  private void limitIncompleteFrame() {
    long framesBefore = frameReader.framesRead();
    if (limitedFrame == framesBefore) {
      return; // a read before this one began the frame
    }
    limitedFrame = framesBefore;
    backend.schedule(
        backend.dialTimeout(),
        () -> {
          if (frameReader.framesRead() == framesBefore && connection.isUsable()) {
            closeOnBadFrame("a frame is incomplete");
          }
        });
  }

  /**
   * Closes the connection after a bad frame: the start of the next frame is unknown. The trip that
   * the frame was for and all others in flight may have run; they end as on a broken connection.
   */
  private void closeOnBadFrame(String fault) {
    backend.reportBadFrame("a searcher's frame could not be used: " + fault);
    connection.input.clear();
    connection.close();
  }

  private void handleFrame(char letter, byte[] payload) throws MalformedFrameException {
    switch (letter) {
      case 'R' -> handleResult(payload);
      case 'H', 'M' -> handleProbeAnswer(letter, new String(payload, StandardCharsets.US_ASCII));
      case 'F' ->
          throw new MalformedFrameException(
              "F: "
                  + new String(payload, 0, Math.min(payload.length, 80), StandardCharsets.US_ASCII)
                      .replaceAll("[^ -~]", "?"));
      default -> throw new MalformedFrameException("unknown frame type " + (int) letter);
    }
  }

  private void handleResult(byte[] payload) throws MalformedFrameException {
    ResultLine line = ResultLine.parse(payload, 0, ResultLine.findEnd(payload, 0, payload.length));
    OutboundTrip trip = tripsInFlight.get(line.partId());
    if (trip == null) {
      if (!recentIds.contains(line.partId())) {
        throw new MalformedFrameException("R for an unknown part");
      }
      backend.counts().add("late answers", 1);
      return;
    }
    byte[] value = Arrays.copyOfRange(payload, line.length(), payload.length);
    boolean succeeded = line.outcome() == Outcome.SUCCEEDED;
    if (succeeded && (value.length == 0 || !isUtf8(value))) {
      throw new MalformedFrameException("R with a value that is not valid UTF-8");
    }
    removeTrip(trip);
    backend.tripEnded(
        trip,
        line.outcome(),
        backend.loadReportParser().parse(line.loadReport()),
        succeeded ? value : null);
  }

  /** Returns whether a value is valid UTF-8 and can be copied into a client's response. */
  private static boolean isUtf8(byte[] value) {
    try {
      StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(value));
      return true;
    } catch (CharacterCodingException e) {
      return false;
    }
  }

  /** Removes a trip from those in flight; its answer may still arrive, late or repeated. */
  private void removeTrip(OutboundTrip trip) {
    tripsInFlight.remove(trip.wireId);
    recentIds.add(trip.wireId);
  }

  private void handleProbeAnswer(char letter, String answer) throws MalformedFrameException {
    PendingProbe probe = letter == backend.probeLetter() ? probesInFlight.poll() : null;
    if (probe == null) {
      backend.counts().add("late probe answers", 1);
      return;
    }
    boolean report = letter == 'M' && !answer.equals("failed");
    if (letter == 'H' && !answer.equals("done") && !answer.equals("failed")) {
      throw new MalformedFrameException("H with an unknown outcome");
    }
    backend.probeEnded(
        pool,
        report || answer.equals("done") ? Outcome.SUCCEEDED : Outcome.ERROR,
        backend.now().minus(probe.sentAt),
        report ? backend.loadReportParser().parse(answer) : null);
  }

  /**
   * Closes the connection to a process that is known to have ended. All trips and probes end at
   * once, before any other event for them.
   */
  void abandon() {
    close();
    // the number of bytes that MINA has written is unknown here, so anything written may have been
    // sent
    endTripsAndProbes(Long.MAX_VALUE);
  }

  @Override
  public void onClosed() {
    endTripsAndProbes(connection.bytesSent());
  }

  /** Ends all trips and probes in flight. A trip whose frame was sent in full may have run. */
  private void endTripsAndProbes(long bytesWritten) {
    dialTimer.cancel();
    frameReader.release();
    pool.connectionClosed(this);
    for (OutboundTrip trip : new ArrayList<>(tripsInFlight.values())) {
      backend.tripEnded(
          trip, trip.frameEndPosition <= bytesWritten ? Outcome.BROKEN : Outcome.UNREACHABLE);
    }
    tripsInFlight.clear();
    for (PendingProbe probe : probesInFlight) {
      backend.probeEnded(pool, Outcome.BROKEN, backend.now().minus(probe.sentAt), null);
    }
    probesInFlight.clear();
  }

  /** Closes the connection from this side, even while it is being dialled. */
  void close() {
    retired = true;
    connection.close();
  }
}
