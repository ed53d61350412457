package gingerring.backend;

import gingerring.decide.Outcome;
import gingerring.decide.SearcherId;
import gingerring.decide.Settings;
import gingerring.net.Counters;
import gingerring.net.LoopTimer;
import gingerring.net.Network;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The searchers' side: carries errands and probes out, and tells how each ended, once. */
public final class Backend {
  static final int OUTPUT_BUFFER_BYTES = 1 << 18;
  private static final Logger LOG = LoggerFactory.getLogger("gingerring.back");
  private static final Duration SWEEP_INTERVAL = Duration.ofSeconds(1);
  private static final Duration BAD_FRAME_LOG_INTERVAL = Duration.ofSeconds(5);
  private static final float[] NO_LOAD = {};

  private final Network network;
  private final BackendListener listener;
  private final Counters counts;
  private final LoopTimer clock;
  private final LoadReportParser loadReportParser;
  private final int maxPartsPerCall;
  private final int maxTripsPerConnection;
  private final Duration dialTimeout;
  private final Duration maxIdleTime;
  private final boolean cancelSupported;
  private final char probeLetter;
  private final Map<SearcherId, ConnectionPool> pools = new TreeMap<>();
  private final Set<ConnectionPool> poolsToDispatch = new LinkedHashSet<>();
  private Duration lastBadFrameLog;

  public Backend(
      Network network, BackendListener returns, Settings terms, Counters counts, LoopTimer clock) {
    this.network = network;
    this.listener = returns;
    this.counts = counts;
    this.clock = clock;
    loadReportParser = new LoadReportParser(terms, counts);
    maxPartsPerCall = Math.max(1, (int) terms.number("Domain.Batch", 1));
    maxTripsPerConnection = Math.max(1, terms.count("PolicyLimits.StreamsPerConn"));
    dialTimeout = terms.duration("PolicyLimits.DialTimeoutMs");
    // the searcher may close as early as its time for idle ones, and its word of that takes a
    // moment: the
    // time in which a connection has to come up, but never so much that none could be used twice
    Duration idle = terms.duration("PolicyLimits.ConnIdleMs");
    Duration half = idle.dividedBy(2);
    maxIdleTime = dialTimeout.compareTo(half) < 0 ? idle.minus(dialTimeout) : half;
    cancelSupported = terms.flag("PolicyLimits.Cancel");
    // where reports come by probes alone, a probe asks for one
    boolean byProbe =
        terms.has("LoadReport.Source") && terms.text("LoadReport.Source").equals("probe");
    probeLetter = byProbe ? 'M' : 'H';
    clock.schedule(SWEEP_INTERVAL, this::closeIdleConnections);
  }

  /** The list has this searcher, at an address, up since a moment (null: long ago). */
  public void addOrUpdate(SearcherId id, InetSocketAddress address, Duration startedAt) {
    pools.computeIfAbsent(id, each -> new ConnectionPool(this, each)).update(address, startedAt);
  }

  /** The list no longer has it: its links go as soon as nothing is out on them. */
  public void remove(SearcherId id) {
    withPool(id, ConnectionPool::remove);
  }

  /**
   * The list says that it drains or has gone: what has not begun there does not, whatever keeps it.
   * A send counts from its first byte, which may be a whole dial after the list was told.
   */
  public void stopSending(SearcherId id) {
    withPool(id, ConnectionPool::stopSending);
  }

  private void withPool(SearcherId id, Consumer<ConnectionPool> what) {
    ConnectionPool station = pools.get(id);
    if (station != null) {
      what.accept(station);
    }
  }

  /** Takes a trip along; it leaves with the others of this turn. */
  public void send(OutboundTrip errand) {
    ConnectionPool station = pools.get(errand.searcher);
    if (station == null) {
      tripEnded(errand, Outcome.UNREACHABLE);
      return;
    }
    errand.queuedAt = now();
    station.send(errand);
    clock.schedule(
        errand.deadline.minus(now()),
        () -> {
          if (!cancelIfUnsent(errand) && !errand.ended) {
            errand.connection.tripTimedOut(errand);
            tripEnded(errand, Outcome.TIMED_OUT);
          }
        });
  }

  /**
   * Makes what waits into calls, and puts those into the rings of the links that have room. It
   * comes last in a turn, so that what leaves is looked at by all that is known when it does.
   */
  public void dispatch() {
    List<ConnectionPool> turn = List.copyOf(poolsToDispatch);
    poolsToDispatch.clear();
    turn.forEach(ConnectionPool::dispatch);
  }

  void scheduleDispatch(ConnectionPool station) {
    poolsToDispatch.add(station);
  }

  /**
   * Gives a trip up: one that has not begun never does, and the searcher is told of any other if it
   * may be.
   */
  public void cancel(OutboundTrip errand) {
    if (!cancelIfUnsent(errand) && !errand.ended && cancelSupported) {
      errand.connection.cancel(errand);
      tripEnded(errand, Outcome.CALLED_OFF);
    }
  }

  /**
   * Nobody wants the trip any more: it ends if nothing of it was put yet, and is left alone if it
   * was. Returns whether it ended. Guards against work for nobody, and against an effect that
   * nobody knows of, also where trips under way cannot be called off.
   */
  public boolean cancelIfUnsent(OutboundTrip errand) {
    if (errand.ended || errand.written()) {
      return false;
    }
    tripEnded(errand, Outcome.NOT_SENT);
    return true;
  }

  public void probe(SearcherId id) {
    ConnectionPool station = pools.get(id);
    if (station == null) {
      listener.probeEnded(id, Outcome.UNREACHABLE, Duration.ZERO, NO_LOAD);
    } else {
      station.probe();
    }
  }

  public void closeIdle(SearcherId id) {
    withPool(id, ConnectionPool::closeIdle);
  }

  /** Closes what has stood idle for its time, and forgets who has gone. */
  private void closeIdleConnections() {
    pools.values().removeIf(ConnectionPool::unused);
    pools.values().forEach(ConnectionPool::closeIdleTooLong);
    clock.schedule(SWEEP_INTERVAL, this::closeIdleConnections);
  }

  /** How many searchers something is kept for. */
  public int searcherCount() {
    return pools.size();
  }

  /** Errands end once, whatever comes of them later. */
  void tripEnded(OutboundTrip errand, Outcome outcome) {
    tripEnded(errand, outcome, NO_LOAD, null);
  }

  void tripEnded(OutboundTrip errand, Outcome outcome, float[] load, byte[] value) {
    if (!errand.ended) {
      errand.ended = true;
      if (errand.pool != null) {
        errand.pool.removeWaiting(errand);
      }
      counts.add("trips " + outcome, 1);
      listener.tripEnded(errand, outcome, load, value);
    }
  }

  void probeEnded(ConnectionPool station, Outcome outcome, Duration taken, float[] load) {
    counts.add("probes " + outcome, 1);
    listener.probeEnded(station.id, outcome, taken, load == null ? NO_LOAD : load);
  }

  /** Counts what a searcher did wrong, and logs it once in a while. */
  void reportBadFrame(String what) {
    counts.add("bad frames", 1);
    if (lastBadFrameLog == null
        || now().minus(lastBadFrameLog).compareTo(BAD_FRAME_LOG_INTERVAL) > 0) {
      lastBadFrameLog = now();
      LOG.warn(what);
    }
  }

  Network network() {
    return network;
  }

  Counters counts() {
    return counts;
  }

  /** The time since the start, read now. */
  Duration currentTime() {
    return network.currentTime();
  }

  Duration now() {
    return clock.now();
  }

  void wakeAfter(Duration span, Runnable task) {
    clock.schedule(span, task);
  }

  LoadReportParser loadReportParser() {
    return loadReportParser;
  }

  Duration dialTimeout() {
    return dialTimeout;
  }

  int maxPartsPerCall() {
    return maxPartsPerCall;
  }

  int maxTripsPerConnection() {
    return maxTripsPerConnection;
  }

  Duration maxIdleTime() {
    return maxIdleTime;
  }

  char probeLetter() {
    return probeLetter;
  }
}
