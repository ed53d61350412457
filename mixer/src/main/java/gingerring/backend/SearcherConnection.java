package gingerring.backend;

import gingerring.decide.Outcome;
import gingerring.net.Connection;
import gingerring.net.ConnectionHandler;
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
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** One connection to a searcher, with the calls and probes that are out on it. */
final class SearcherConnection implements ConnectionHandler {
  /** A probe on its way, in the order in which its kind is answered. */
  static final class PendingProbe {
    final Duration sentAt;

    PendingProbe(Duration sent) {
      this.sentAt = sent;
    }
  }

  private static final int MAX_RECENT_IDS = 512;

  /**
   * No further call is put behind so many bytes that have not left: they could not be kept back any
   * more.
   */
  private static final int MAX_UNSENT_BYTES = 4096;

  private final Backend backend;
  private final ConnectionPool pool;
  private final Connection connection;
  private final FrameCodec frameCodec = new FrameCodec();

  /** Small frames that leave behind the calls of their turn. */
  private final List<byte[]> pendingCancels = new ArrayList<>();

  private final Map<String, OutboundTrip> tripsInFlight = new LinkedHashMap<>();

  /** The latest parts that are out no more: an answer to any other is spoilt. */
  private final Set<String> recentIds = new LinkedHashSet<>();

  private final Deque<PendingProbe> probesInFlight = new ArrayDeque<>();
  private boolean opened;

  /** The dial has taken longer than its time: it may still come up, and is not counted on. */
  private boolean dialOverdue;

  /** Nothing new goes by it: it is closed once nothing is out on it. */
  private boolean retired;

  final Duration dialledAt;
  private Duration lastUsedAt;

  /** When all that was put before had last left. */
  private Duration outputEmptyAt;

  private Duration lastReadAt;

  SearcherConnection(Backend back, ConnectionPool station) {
    this.backend = back;
    this.pool = station;
    dialledAt = back.now();
    lastUsedAt = dialledAt;
    lastReadAt = dialledAt;
    connection = back.network().dial(station.address(), Backend.OUTPUT_BUFFER_BYTES, this);
    back.wakeAfter(
        back.dialTimeout(),
        () -> {
          dialOverdue = true;
          back.scheduleDispatch(station);
        });
  }

  boolean connected() {
    return opened && !retired && connection.isUsable();
  }

  /** Its dial was turned away, and not given up from here. */
  boolean dialFailed() {
    return !opened && !retired;
  }

  /** Its dial is under way. */
  boolean dialing() {
    return !opened && !retired && connection.isUsable();
  }

  /** Up or coming up in its time, and open to what is new. */
  boolean usableOrDialing() {
    return connected() && !idleTooLong() || dialing() && !dialOverdue;
  }

  /** Whether it takes frames now. */
  boolean usable() {
    return connected() && connection.isOpen() && !idleTooLong();
  }

  /** What was put a dial's time ago has not left: the searcher does not read. */
  boolean writeStalled() {
    return opened
        && !outputEmpty()
        && backend.now().minus(outputEmptyAt).compareTo(backend.dialTimeout()) >= 0;
  }

  /** All that was put before has left. */
  private boolean outputEmpty() {
    return connection.isFlushed();
  }

  /** How many more parts it takes. */
  int freeSlots() {
    return Math.max(0, backend.maxTripsPerConnection() - tripsInFlight.size());
  }

  /** A part that was out here before is not told from its repeat by its answers. */
  boolean accepts(OutboundTrip errand) {
    return !tripsInFlight.containsKey(errand.wireId) && !recentIds.contains(errand.wireId);
  }

  /**
   * It has stood idle for so long that the searcher may be closing it. Not in the turn in which it
   * comes up, also where no idle time is allowed: what waited for it goes by it.
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
   * Guards against links that nobody uses just now and that keep others from being dialled, with
   * few descriptors.
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
   * Puts what waits into the ring, as far as there is room for parts, if all that was put before
   * has left. Guards against a frame that leaves long after it was decided: what is kept here can
   * still be kept back.
   */
  void dispatch(Collection<OutboundTrip> waiting) {
    if (usable() && outputEmpty()) {
      List<OutboundTrip> call = new ArrayList<>();
      for (OutboundTrip errand : List.copyOf(waiting)) {
        if (tripsInFlight.size() < backend.maxTripsPerConnection()
            && connection.output.size() < MAX_UNSENT_BYTES
            && accepts(errand)) {
          errand.connection = this;
          tripsInFlight.put(errand.wireId, errand);
          call.add(errand);
          if (call.size() == backend.maxPartsPerCall()) {
            writeCall(call);
            call.clear();
          }
        }
      }
      writeCall(call);
    }
    if (connection.isOpen()) {
      pendingCancels.forEach(this::writeFrame);
    }
    pendingCancels.clear();
  }

  private void writeCall(List<OutboundTrip> call) {
    if (call.isEmpty()) {
      return;
    }
    if (writeFrame(FrameCodec.encodeCall(call, backend.now()))) {
      for (OutboundTrip errand : call) {
        backend.counts().checkInvariant(!errand.written(), "a trip begins once");
        errand.frameEndPosition = connection.output.totalBytesPut();
        pool.removeWaiting(errand);
      }
    } else if (call.size() > 1) {
      // so much text at once does not fit the ring
      writeCall(call.subList(0, call.size() / 2));
      writeCall(call.subList(call.size() / 2, call.size()));
    } else {
      // it waits until the ring is empty again
      call.forEach(
          errand -> {
            errand.connection = null;
            tripsInFlight.remove(errand.wireId);
          });
    }
  }

  private boolean writeFrame(byte[] frame) {
    lastUsedAt = backend.now();
    outputEmptyAt = outputEmpty() ? lastUsedAt : outputEmptyAt;
    connection.requestFlush();
    return connection.output.put(frame);
  }

  /** Gives up a trip whose frame has been put: the searcher is told. */
  void cancel(OutboundTrip errand) {
    removeTrip(errand);
    pendingCancels.add(FrameCodec.encodeCancel(errand));
    backend.scheduleDispatch(pool);
    closeIfRetiredAndIdle();
  }

  /**
   * A trip has timed out: nothing is sent, and a link that has told nothing since is not trusted
   * on.
   */
  void tripTimedOut(OutboundTrip errand) {
    removeTrip(errand);
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
    backend.wakeAfter(
        backend.dialTimeout(),
        () -> {
          if (probesInFlight.remove(probe)) {
            // answers are matched by their order, so nothing more is asked on this link
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
      frameCodec.read(connection.input, this::handleFrame);
    } catch (FrameCodec.MalformedFrameException e) {
      closeOnBadFrame(e.getMessage());
    }
    if (frameCodec.midFrame() && connection.isUsable()) {
      // answers are written whole: guards against one that stops short, or whose length is not its
      // own
      long read = frameCodec.framesRead();
      backend.wakeAfter(
          backend.dialTimeout(),
          () -> {
            if (frameCodec.framesRead() == read && connection.isUsable()) {
              closeOnBadFrame("a frame stopped short");
            }
          });
    }
    closeIfRetiredAndIdle();
  }

  /**
   * Where the next frame begins can no longer be told, so nothing more of it is believed. The part
   * it was for may have run, and so may all others out on it: they end as on a connection that
   * breaks.
   */
  private void closeOnBadFrame(String what) {
    backend.reportBadFrame("a searcher's frame could not be used: " + what);
    connection.input.clear();
    connection.close();
  }

  private void handleFrame(char letter, byte[] rest) throws FrameCodec.MalformedFrameException {
    switch (letter) {
      case 'R' -> handleResult(rest);
      case 'H', 'M' -> handleProbeAnswer(letter, new String(rest, StandardCharsets.US_ASCII));
      case 'F' ->
          throw new FrameCodec.MalformedFrameException(
              "F: "
                  + new String(rest, 0, Math.min(rest.length, 80), StandardCharsets.US_ASCII)
                      .replaceAll("[^ -~]", "?"));
      default -> throw new FrameCodec.MalformedFrameException("letter " + (int) letter);
    }
  }

  private void handleResult(byte[] rest) throws FrameCodec.MalformedFrameException {
    int end = 0;
    while (end < rest.length && rest[end] != '\n') {
      end++;
    }
    String[] words = new String(rest, 0, end, StandardCharsets.US_ASCII).split(" ", -1);
    if (end == rest.length || words.length != 4) {
      throw new FrameCodec.MalformedFrameException("R without its line");
    }
    Outcome outcome =
        switch (words[1]) {
          case "done" -> Outcome.SUCCEEDED;
          case "failed" -> Outcome.ERROR;
          case "full" -> Outcome.FULL;
          default -> throw new FrameCodec.MalformedFrameException("R with an unknown end");
        };
    OutboundTrip errand = tripsInFlight.get(words[0]);
    if (errand == null) {
      if (!recentIds.contains(words[0])) {
        throw new FrameCodec.MalformedFrameException("R for a part that is not known");
      }
      backend.counts().add("late answers", 1);
      return;
    }
    byte[] value = Arrays.copyOfRange(rest, end + 1, rest.length);
    if (outcome == Outcome.SUCCEEDED && (value.length == 0 || !isUtf8(value))) {
      throw new FrameCodec.MalformedFrameException("R with a value that is no text");
    }
    removeTrip(errand);
    backend.tripEnded(
        errand,
        outcome,
        backend.loadReportParser().parse(words[3]),
        outcome == Outcome.SUCCEEDED ? value : null);
  }

  /** Whether a value can stand in a client's answer as it is. */
  private static boolean isUtf8(byte[] value) {
    try {
      StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(value));
      return true;
    } catch (CharacterCodingException e) {
      return false;
    }
  }

  /** No longer out; an answer may still come, late or for a second time. */
  private void removeTrip(OutboundTrip errand) {
    tripsInFlight.remove(errand.wireId);
    recentIds.add(errand.wireId);
    if (recentIds.size() > MAX_RECENT_IDS) {
      recentIds.remove(recentIds.iterator().next());
    }
  }

  private void handleProbeAnswer(char letter, String answer)
      throws FrameCodec.MalformedFrameException {
    PendingProbe probe = letter == backend.probeLetter() ? probesInFlight.poll() : null;
    if (probe == null) {
      backend.counts().add("late probe answers", 1);
      return;
    }
    boolean report = letter == 'M' && !answer.equals("failed");
    if (letter == 'H' && !answer.equals("done") && !answer.equals("failed")) {
      throw new FrameCodec.MalformedFrameException("H with an unknown end");
    }
    backend.probeEnded(
        pool,
        report || answer.equals("done") ? Outcome.SUCCEEDED : Outcome.ERROR,
        backend.now().minus(probe.sentAt),
        report ? backend.loadReportParser().parse(answer) : null);
  }

  /**
   * The searcher's process is known to be gone: what is out ends now, before anything else is told
   * of it.
   */
  void abandon() {
    close();
    // how far MINA has written is not known here: whatever was put may have left
    endTripsAndProbes(Long.MAX_VALUE);
  }

  @Override
  public void onClosed() {
    endTripsAndProbes(connection.bytesSent());
  }

  /** Ends with what is out on it: what had left whole may have run. */
  private void endTripsAndProbes(long written) {
    pool.connectionClosed(this);
    for (OutboundTrip errand : new ArrayList<>(tripsInFlight.values())) {
      backend.tripEnded(
          errand, errand.frameEndPosition <= written ? Outcome.BROKEN : Outcome.UNREACHABLE);
    }
    tripsInFlight.clear();
    for (PendingProbe probe : probesInFlight) {
      backend.probeEnded(pool, Outcome.BROKEN, backend.now().minus(probe.sentAt), null);
    }
    probesInFlight.clear();
  }

  /** Ends it from here, also while its dial is under way. */
  void close() {
    retired = true;
    connection.close();
  }
}
