package gingerring.backend;

import gingerring.decide.Outcome;
import gingerring.decide.SearcherId;
import gingerring.decide.Settings;
import gingerring.net.Counters;
import gingerring.net.LoopTimer;
import gingerring.net.MemoryBudget;
import gingerring.net.Network;
import gingerring.net.ScheduledTask;
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

/** Sends trips and probes to searchers and reports the outcome of each exactly once. */
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
  private final BackendLimits limits;
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

  /** Creates a backend whose answers may take any memory. */
  public Backend(
      Network network,
      BackendListener listener,
      Settings settings,
      Counters counts,
      LoopTimer clock) {
    this(network, listener, settings, counts, clock, BackendLimits.NONE);
  }

  /** Creates a backend within limits on its memory. */
  public Backend(
      Network network,
      BackendListener listener,
      Settings settings,
      Counters counts,
      LoopTimer clock,
      BackendLimits limits) {
    this.network = network;
    this.limits = limits;
    this.listener = listener;
    this.counts = counts;
    this.clock = clock;
    loadReportParser = new LoadReportParser(settings, counts);
    maxPartsPerCall = Math.max(1, (int) settings.number("Domain.Batch", 1));
    maxTripsPerConnection = Math.max(1, settings.count("PolicyLimits.StreamsPerConn"));
    dialTimeout = settings.duration("PolicyLimits.DialTimeoutMs");
    // The searcher may close an idle connection as soon as its own idle timeout has passed, and
    // the close takes time to arrive. So close dialTimeout earlier, but after no less than half of
    // the idle timeout, so that a connection can be used more than once.
    Duration searcherIdleTimeout = settings.duration("PolicyLimits.ConnIdleMs");
    Duration halfIdleTimeout = searcherIdleTimeout.dividedBy(2);
    maxIdleTime =
        dialTimeout.compareTo(halfIdleTimeout) < 0
            ? searcherIdleTimeout.minus(dialTimeout)
            : halfIdleTimeout;
    cancelSupported = settings.flag("PolicyLimits.Cancel");
    // if load reports come only with probes, a probe asks for one (M); otherwise it is a health
    // check (H)
    boolean reportsByProbe =
        settings.has("LoadReport.Source") && settings.text("LoadReport.Source").equals("probe");
    probeLetter = reportsByProbe ? 'M' : 'H';
    clock.schedule(SWEEP_INTERVAL, this::closeIdleConnections);
  }

  /**
   * Adds a searcher of the member list or updates its address. {@code startedAt} is the time at
   * which its process started, null if long ago.
   */
  public void addOrUpdate(SearcherId id, InetSocketAddress address, Duration startedAt) {
    pools.computeIfAbsent(id, newId -> new ConnectionPool(this, newId)).update(address, startedAt);
  }

  /**
   * Removes a searcher that left the member list. Its connections are closed as soon as nothing is
   * in flight on them.
   */
  public void remove(SearcherId id) {
    withPool(id, ConnectionPool::remove);
  }

  /**
   * Stops new trips to a searcher that drains or has left. Trips that have not begun are not sent,
   * whatever delayed them: a trip counts as sent from its first byte, which may leave a whole dial
   * after the member list changed.
   */
  public void stopSending(SearcherId id) {
    withPool(id, ConnectionPool::stopSending);
  }

  private void withPool(SearcherId id, Consumer<ConnectionPool> action) {
    ConnectionPool pool = pools.get(id);
    if (pool != null) {
      action.accept(pool);
    }
  }

  /** Queues a trip; it is sent with the others of this turn. */
  public void send(OutboundTrip trip) {
    ConnectionPool pool = pools.get(trip.searcher);
    if (pool == null) {
      tripEnded(trip, Outcome.UNREACHABLE);
      return;
    }
    trip.queuedAt = now();
    pool.send(trip);
    trip.deadlineTimer = clock.schedule(trip.deadline.minus(now()), () -> timeOut(trip));
  }

  private void timeOut(OutboundTrip trip) {
    if (!cancelIfUnsent(trip) && !trip.ended) {
      trip.connection.tripTimedOut(trip);
      tripEnded(trip, Outcome.TIMED_OUT);
    }
  }

  /**
   * Batches queued trips into calls and writes them to the connections that have capacity. Runs at
   * the end of a turn, so that each trip is checked against all that was learned in the turn.
   */
  public void dispatch() {
    List<ConnectionPool> scheduled = List.copyOf(poolsToDispatch);
    poolsToDispatch.clear();
    scheduled.forEach(ConnectionPool::dispatch);
  }

  void scheduleDispatch(ConnectionPool pool) {
    poolsToDispatch.add(pool);
  }

  /**
   * Cancels a trip. A trip that has not begun is never sent; for a trip in flight the searcher is
   * told to cancel, if the settings allow that.
   */
  public void cancel(OutboundTrip trip) {
    if (!cancelIfUnsent(trip) && !trip.ended && cancelSupported) {
      trip.connection.cancel(trip);
      tripEnded(trip, Outcome.CALLED_OFF);
    }
  }

  /**
   * Ends a trip that is no longer needed if none of it has been written; otherwise lets it
   * continue. Returns whether the trip ended. Prevents needless work and effects that no client
   * learns of, also where trips in flight cannot be cancelled.
   */
  public boolean cancelIfUnsent(OutboundTrip trip) {
    if (trip.ended || trip.written()) {
      return false;
    }
    tripEnded(trip, Outcome.NOT_SENT);
    return true;
  }

  public void probe(SearcherId id) {
    ConnectionPool pool = pools.get(id);
    if (pool == null) {
      listener.probeEnded(id, Outcome.UNREACHABLE, Duration.ZERO, NO_LOAD);
    } else {
      pool.probe();
    }
  }

  public void closeIdle(SearcherId id) {
    withPool(id, ConnectionPool::closeIdle);
  }

  /** Closes connections that were idle for too long and removes unused pools. */
  private void closeIdleConnections() {
    pools.values().removeIf(ConnectionPool::unused);
    pools.values().forEach(ConnectionPool::closeIdleTooLong);
    clock.schedule(SWEEP_INTERVAL, this::closeIdleConnections);
  }

  /** Returns the number of searchers with a connection pool. */
  public int searcherCount() {
    return pools.size();
  }

  /** Ends a trip; only the first outcome of a trip is reported. */
  void tripEnded(OutboundTrip trip, Outcome outcome) {
    tripEnded(trip, outcome, NO_LOAD, null);
  }

  void tripEnded(OutboundTrip trip, Outcome outcome, float[] load, byte[] value) {
    if (!trip.ended) {
      trip.ended = true;
      trip.cancelTimers();
      if (trip.pool != null) {
        trip.pool.removeWaiting(trip);
      }
      counts.add("trips " + outcome, 1);
      listener.tripEnded(trip, outcome, load, value);
    }
  }

  void probeEnded(ConnectionPool pool, Outcome outcome, Duration responseTime, float[] load) {
    counts.add("probes " + outcome, 1);
    listener.probeEnded(pool.id, outcome, responseTime, load == null ? NO_LOAD : load);
  }

  /** Counts a bad frame and logs it at most once per {@link #BAD_FRAME_LOG_INTERVAL}. */
  void reportBadFrame(String message) {
    counts.add("bad frames", 1);
    if (lastBadFrameLog == null
        || now().minus(lastBadFrameLog).compareTo(BAD_FRAME_LOG_INTERVAL) > 0) {
      lastBadFrameLog = now();
      LOG.warn(message);
    }
  }

  MemoryBudget answerMemory() {
    return limits.answerMemory();
  }

  int recentIdsPerConnection() {
    return limits.recentIdsPerConnection();
  }

  Network network() {
    return network;
  }

  Counters counts() {
    return counts;
  }

  /**
   * Returns the current time since the event loop was created; {@link #now} returns the start of
   * the loop's turn instead.
   */
  Duration currentTime() {
    return network.currentTime();
  }

  Duration now() {
    return clock.now();
  }

  ScheduledTask schedule(Duration delay, Runnable task) {
    return clock.schedule(delay, task);
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
