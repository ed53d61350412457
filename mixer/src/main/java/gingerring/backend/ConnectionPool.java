package gingerring.backend;

import gingerring.decide.Outcome;
import gingerring.decide.SearcherId;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The connections to one searcher and the trips waiting for one of them. A waiting trip has not
 * begun; whether it still may begin is checked again at the moment of sending.
 */
final class ConnectionPool {
  /** A second dial is allowed because an overdue dial may still succeed while another is tried. */
  private static final int MAX_CONCURRENT_DIALS = 2;

  final SearcherId id;
  private final Backend backend;
  private InetSocketAddress address;

  /**
   * Whether the searcher has left the member list; the pool is dropped once nothing is in flight.
   */
  private boolean removed;

  /** Whether the searcher drains or has left, so that no new trip begins there. */
  private boolean sendingStopped;

  private final List<SearcherConnection> connections = new ArrayList<>();

  /** Trips in order of arrival; none of them has been written to a connection. */
  private final Set<OutboundTrip> waiting = new LinkedHashSet<>();

  /** Probes waiting for a connection, in order of arrival. */
  private final List<SearcherConnection.PendingProbe> waitingProbes = new ArrayList<>();

  ConnectionPool(Backend backend, SearcherId id) {
    this.backend = backend;
    this.id = id;
  }

  InetSocketAddress address() {
    return address;
  }

  void update(InetSocketAddress newAddress, Duration startedAt) {
    boolean moved = address != null && !address.equals(newAddress);
    address = newAddress;
    removed = false;
    sendingStopped = false;
    if (startedAt != null) {
      // These trips were meant for the previous process. The new process is cold and is to receive
      // only what is decided for it.
      List.copyOf(waiting).stream()
          .filter(trip -> trip.queuedAt.compareTo(startedAt) < 0)
          .forEach(trip -> backend.tripEnded(trip, Outcome.NOT_SENT));
    }
    for (SearcherConnection connection : List.copyOf(connections)) {
      if (startedAt != null && connection.dialledAt.compareTo(startedAt) < 0) {
        // this connection leads to the previous process, which will not answer what is in flight
        connection.abandon();
      } else if (moved) {
        connection.retire();
      }
    }
    backend.scheduleDispatch(this);
  }

  void remove() {
    removed = true;
    sendingStopped = true;
    backend.scheduleDispatch(this);
    failWaitingProbes();
    List.copyOf(connections).forEach(SearcherConnection::retire);
  }

  void stopSending() {
    sendingStopped = true;
    backend.scheduleDispatch(this);
  }

  /** Returns whether the searcher has left and nothing is waiting or open here. */
  boolean unused() {
    return removed && connections.isEmpty() && waiting.isEmpty() && waitingProbes.isEmpty();
  }

  void send(OutboundTrip trip) {
    trip.pool = this;
    waiting.add(trip);
    backend.scheduleDispatch(this);
    failUnlessConnected(trip);
  }

  /**
   * Ends a trip as unreachable if no connection opens for it within the dial timeout, or if the
   * searcher reads from none.
   */
  private void failUnlessConnected(OutboundTrip trip) {
    trip.connectTimer =
        backend.schedule(
            backend.dialTimeout(),
            () -> {
              List.copyOf(connections).stream()
                  .filter(SearcherConnection::writeStalled)
                  .forEach(SearcherConnection::retire);
              if (connections.stream().anyMatch(SearcherConnection::connected)) {
                failUnlessConnected(trip);
              } else {
                backend.tripEnded(trip, Outcome.UNREACHABLE);
              }
            });
  }

  /** Removes a trip that has been written or has ended. */
  void removeWaiting(OutboundTrip trip) {
    waiting.remove(trip);
    trip.cancelConnectTimer();
  }

  /**
   * Writes the waiting trips that may still begin to connections with capacity, and dials if more
   * connections are needed.
   */
  void dispatch() {
    // Uses the current time instead of the turn's, in case the process was suspended during the
    // turn.
    Duration now = backend.currentTime();
    for (OutboundTrip trip : List.copyOf(waiting)) {
      if (sendingStopped || !trip.mayStart(now)) {
        backend.tripEnded(trip, Outcome.NOT_SENT);
      }
    }
    for (SearcherConnection connection : List.copyOf(connections)) {
      connection.dispatch(waiting);
    }
    for (int missing = missingConnections(); missing > 0 && dial(); missing--) {
      // dial once for each missing connection, as far as the limit allows
    }
  }

  /**
   * Returns how many connections the waiting trips need in addition to those open or being dialled
   * in time.
   */
  private int missingConnections() {
    Map<SearcherConnection, Integer> freeSlots = new HashMap<>();
    connections.stream()
        .filter(SearcherConnection::usableOrDialing)
        .forEach(connection -> freeSlots.put(connection, connection.freeSlots()));
    int missing = 0;
    int slotsOnMissing = 0;
    for (OutboundTrip trip : waiting) {
      SearcherConnection target =
          connections.stream()
              .filter(
                  connection ->
                      freeSlots.getOrDefault(connection, 0) > 0 && connection.accepts(trip))
              .findFirst()
              .orElse(null);
      if (target != null) {
        freeSlots.merge(target, -1, Integer::sum);
      } else if (slotsOnMissing > 0) {
        slotsOnMissing--;
      } else {
        missing++;
        slotsOnMissing = backend.maxTripsPerConnection() - 1;
      }
    }
    return missing == 0 && !waitingProbes.isEmpty() && freeSlots.isEmpty() ? 1 : missing;
  }

  /**
   * Dials, unless the limit of concurrent dials is reached by dials that are not overdue. If one is
   * overdue and may never succeed, as when a machine has vanished, the oldest overdue dial is
   * closed to make room. The limit prevents a storm of handshakes at a searcher whose connections
   * open late, each closed before it is used.
   */
  private boolean dial() {
    List<SearcherConnection> dialing =
        connections.stream().filter(SearcherConnection::dialing).toList();
    if (dialing.size() >= MAX_CONCURRENT_DIALS) {
      SearcherConnection overdue =
          dialing.stream()
              .filter(connection -> !connection.usableOrDialing())
              .findFirst()
              .orElse(null);
      if (overdue == null) {
        return false;
      }
      overdue.close();
    }
    backend.counts().add("links dialled", 1);
    connections.add(new SearcherConnection(backend, this));
    return true;
  }

  void probe() {
    if (removed) {
      backend.probeEnded(this, Outcome.UNREACHABLE, Duration.ZERO, null);
      return;
    }
    SearcherConnection connection =
        connections.stream().filter(SearcherConnection::usable).findFirst().orElse(null);
    if (connection != null) {
      connection.probe();
      return;
    }
    SearcherConnection.PendingProbe probe = new SearcherConnection.PendingProbe(backend.now());
    waitingProbes.add(probe);
    backend.scheduleDispatch(this);
    backend.schedule(
        backend.dialTimeout(),
        () -> {
          if (waitingProbes.remove(probe)) {
            backend.probeEnded(this, Outcome.UNREACHABLE, backend.now().minus(probe.sentAt), null);
          }
        });
  }

  /** Called when a connection has opened: sends the probes that waited for one. */
  void connectionOpened(SearcherConnection connection) {
    backend.scheduleDispatch(this);
    if (connection.usable()) {
      waitingProbes.forEach(probe -> connection.probe());
      waitingProbes.clear();
    }
  }

  /** Called when a connection has closed or a dial has failed. */
  void connectionClosed(SearcherConnection connection) {
    connections.remove(connection);
    backend.scheduleDispatch(this);
    if (connection.dialFailed()
        && connections.stream().noneMatch(SearcherConnection::usableOrDialing)) {
      List.copyOf(waiting).forEach(trip -> backend.tripEnded(trip, Outcome.UNREACHABLE));
      failWaitingProbes();
    }
  }

  /** Ends the probes that waited for a connection as unreachable. */
  private void failWaitingProbes() {
    waitingProbes.forEach(
        probe ->
            backend.probeEnded(this, Outcome.UNREACHABLE, backend.now().minus(probe.sentAt), null));
    waitingProbes.clear();
  }

  void closeIdle() {
    connections.stream()
        .filter(connection -> connection.connected() && connection.idle())
        .toList()
        .forEach(SearcherConnection::close);
  }

  /** Closes connections, and overdue dials, that were idle for too long. */
  void closeIdleTooLong() {
    connections.stream()
        .filter(SearcherConnection::idleTooLong)
        .toList()
        .forEach(SearcherConnection::close);
  }
}
