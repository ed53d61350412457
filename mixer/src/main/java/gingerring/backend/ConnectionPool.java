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
 * A searcher as the network has it: where it listens, the links to it, and the errands that wait
 * for one of them to take them. What waits here has not begun, and is looked at again at the moment
 * in which it would.
 */
final class ConnectionPool {
  /** Dials under way to one searcher: one that is late may still come up while another is tried. */
  private static final int MAX_CONCURRENT_DIALS = 2;

  final SearcherId id;
  private final Backend backend;
  private InetSocketAddress address;

  /** The list no longer has it: forgotten once nothing is out there. */
  private boolean removed;

  /** The list says that it drains or has gone: nothing begins there any more. */
  private boolean sendingStopped;

  private final List<SearcherConnection> connections = new ArrayList<>();

  /** In the order in which they came; none has been put into a link's ring. */
  private final Set<OutboundTrip> waiting = new LinkedHashSet<>();

  /** Probes that wait for a connection, by when they were asked for. */
  private final List<SearcherConnection.PendingProbe> waitingProbes = new ArrayList<>();

  ConnectionPool(Backend back, SearcherId id) {
    this.backend = back;
    this.id = id;
  }

  InetSocketAddress address() {
    return address;
  }

  void update(InetSocketAddress at, Duration startedAt) {
    boolean moved = address != null && !address.equals(at);
    address = at;
    removed = false;
    sendingStopped = false;
    if (startedAt != null) {
      // made for a process that is no more: the new one is cold, and is to get no more than is
      // decided for it
      List.copyOf(waiting).stream()
          .filter(errand -> errand.queuedAt.compareTo(startedAt) < 0)
          .forEach(errand -> backend.tripEnded(errand, Outcome.NOT_SENT));
    }
    for (SearcherConnection link : List.copyOf(connections)) {
      if (startedAt != null && link.dialledAt.compareTo(startedAt) < 0) {
        // it was made to a process that is no more: what was out there will not be answered
        link.abandon();
      } else if (moved) {
        link.retire();
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

  /** Nothing is left of it that anybody could ask for. */
  boolean unused() {
    return removed && connections.isEmpty() && waiting.isEmpty() && waitingProbes.isEmpty();
  }

  void send(OutboundTrip errand) {
    errand.pool = this;
    waiting.add(errand);
    backend.scheduleDispatch(this);
    failUnlessConnected(errand);
  }

  /**
   * An errand that no connection comes up for in its time, or none that is read from, has found
   * nobody.
   */
  private void failUnlessConnected(OutboundTrip errand) {
    backend.wakeAfter(
        backend.dialTimeout(),
        () -> {
          if (waiting.contains(errand)) {
            List.copyOf(connections).stream()
                .filter(SearcherConnection::writeStalled)
                .forEach(SearcherConnection::retire);
            if (connections.stream().anyMatch(SearcherConnection::connected)) {
              failUnlessConnected(errand);
            } else {
              backend.tripEnded(errand, Outcome.UNREACHABLE);
            }
          }
        });
  }

  /** It has been put, or has ended without. */
  void removeWaiting(OutboundTrip errand) {
    waiting.remove(errand);
  }

  /**
   * Puts what waits and may still begin into the links that have room, and dials where there are
   * too few.
   */
  void dispatch() {
    // by the time it is, and not by the turn's: guards against a process that stands still within a
    // turn
    Duration now = backend.currentTime();
    for (OutboundTrip errand : List.copyOf(waiting)) {
      if (sendingStopped || !errand.mayStart(now)) {
        backend.tripEnded(errand, Outcome.NOT_SENT);
      }
    }
    for (SearcherConnection link : List.copyOf(connections)) {
      link.dispatch(waiting);
    }
    for (int lacking = missingConnections(); lacking > 0 && dial(); lacking--) {
      // one for each that is lacking, as far as that goes
    }
  }

  /** How many more links are wanted for what waits, beside those up and those coming up in time. */
  private int missingConnections() {
    Map<SearcherConnection, Integer> room = new HashMap<>();
    connections.stream()
        .filter(SearcherConnection::usableOrDialing)
        .forEach(link -> room.put(link, link.freeSlots()));
    int lacking = 0;
    int further = 0;
    for (OutboundTrip errand : waiting) {
      SearcherConnection taker =
          connections.stream()
              .filter(link -> room.getOrDefault(link, 0) > 0 && link.accepts(errand))
              .findFirst()
              .orElse(null);
      if (taker != null) {
        room.merge(taker, -1, Integer::sum);
      } else if (further > 0) {
        further--;
      } else {
        lacking++;
        further = backend.maxTripsPerConnection() - 1;
      }
    }
    return lacking == 0 && !waitingProbes.isEmpty() && room.isEmpty() ? 1 : lacking;
  }

  /**
   * Dials, unless as many dials are under way as may be. Where one of them is late and may never
   * come up, as after a machine vanished, the oldest makes room. Guards against a storm of
   * handshakes at a searcher whose connections come up late, each closed before it is of use.
   */
  private boolean dial() {
    List<SearcherConnection> coming =
        connections.stream().filter(SearcherConnection::dialing).toList();
    if (coming.size() >= MAX_CONCURRENT_DIALS) {
      SearcherConnection late =
          coming.stream().filter(link -> !link.usableOrDialing()).findFirst().orElse(null);
      if (late == null) {
        return false;
      }
      late.close();
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
    SearcherConnection link =
        connections.stream().filter(SearcherConnection::usable).findFirst().orElse(null);
    if (link != null) {
      link.probe();
      return;
    }
    SearcherConnection.PendingProbe probe = new SearcherConnection.PendingProbe(backend.now());
    waitingProbes.add(probe);
    backend.scheduleDispatch(this);
    backend.wakeAfter(
        backend.dialTimeout(),
        () -> {
          if (waitingProbes.remove(probe)) {
            backend.probeEnded(this, Outcome.UNREACHABLE, backend.now().minus(probe.sentAt), null);
          }
        });
  }

  /** A link is up: what waited for one goes by it. */
  void connectionOpened(SearcherConnection link) {
    backend.scheduleDispatch(this);
    if (link.usable()) {
      waitingProbes.forEach(probe -> link.probe());
      waitingProbes.clear();
    }
  }

  /** A link has ended, or never came up. */
  void connectionClosed(SearcherConnection link) {
    connections.remove(link);
    backend.scheduleDispatch(this);
    if (link.dialFailed() && connections.stream().noneMatch(SearcherConnection::usableOrDialing)) {
      List.copyOf(waiting).forEach(errand -> backend.tripEnded(errand, Outcome.UNREACHABLE));
      failWaitingProbes();
    }
  }

  /** Probes that waited for a connection have found nobody. */
  private void failWaitingProbes() {
    waitingProbes.forEach(
        probe ->
            backend.probeEnded(this, Outcome.UNREACHABLE, backend.now().minus(probe.sentAt), null));
    waitingProbes.clear();
  }

  void closeIdle() {
    connections.stream()
        .filter(link -> link.connected() && link.idle())
        .toList()
        .forEach(SearcherConnection::close);
  }

  /** Closes what has stood idle for its time, and dials that nobody waited for as long. */
  void closeIdleTooLong() {
    connections.stream()
        .filter(SearcherConnection::idleTooLong)
        .toList()
        .forEach(SearcherConnection::close);
  }
}
