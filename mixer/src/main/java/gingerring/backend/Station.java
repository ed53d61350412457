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
final class Station {
  /** Dials under way to one searcher: one that is late may still come up while another is tried. */
  private static final int DIALS_MOST = 2;

  final SearcherId id;
  private final Back back;
  private InetSocketAddress address;

  /** The list no longer has it: forgotten once nothing is out there. */
  private boolean gone;

  /** The list says that it drains or has gone: nothing begins there any more. */
  private boolean withheld;

  private final List<Link> links = new ArrayList<>();

  /** In the order in which they came; none has been put into a link's ring. */
  private final Set<Errand> waiting = new LinkedHashSet<>();

  /** Probes that wait for a connection, by when they were asked for. */
  private final List<Link.Probe> probes = new ArrayList<>();

  Station(Back back, SearcherId id) {
    this.back = back;
    this.id = id;
  }

  InetSocketAddress address() {
    return address;
  }

  void listed(InetSocketAddress at, Duration startedAt) {
    boolean moved = address != null && !address.equals(at);
    address = at;
    gone = false;
    withheld = false;
    if (startedAt != null) {
      // made for a process that is no more: the new one is cold, and is to get no more than is
      // decided for it
      List.copyOf(waiting).stream()
          .filter(errand -> errand.since.compareTo(startedAt) < 0)
          .forEach(errand -> back.ended(errand, Outcome.NOT_SENT));
    }
    for (Link link : List.copyOf(links)) {
      if (startedAt != null && link.dialled.compareTo(startedAt) < 0) {
        // it was made to a process that is no more: what was out there will not be answered
        link.abandon();
      } else if (moved) {
        link.retire();
      }
    }
    back.busy(this);
  }

  void gone() {
    gone = true;
    withheld = true;
    back.busy(this);
    unanswered();
    List.copyOf(links).forEach(Link::retire);
  }

  void withhold() {
    withheld = true;
    back.busy(this);
  }

  /** Nothing is left of it that anybody could ask for. */
  boolean over() {
    return gone && links.isEmpty() && waiting.isEmpty() && probes.isEmpty();
  }

  void send(Errand errand) {
    errand.station = this;
    waiting.add(errand);
    back.busy(this);
    giveUpUnlessUp(errand);
  }

  /**
   * An errand that no connection comes up for in its time, or none that is read from, has found
   * nobody.
   */
  private void giveUpUnlessUp(Errand errand) {
    back.wakeAfter(
        back.dialTimeOut(),
        () -> {
          if (waiting.contains(errand)) {
            List.copyOf(links).stream().filter(Link::stuck).forEach(Link::retire);
            if (links.stream().anyMatch(Link::up)) {
              giveUpUnlessUp(errand);
            } else {
              back.ended(errand, Outcome.UNREACHABLE);
            }
          }
        });
  }

  /** It has been put, or has ended without. */
  void forget(Errand errand) {
    waiting.remove(errand);
  }

  /**
   * Puts what waits and may still begin into the links that have room, and dials where there are
   * too few.
   */
  void dispatch() {
    // by the time it is, and not by the turn's: guards against a process that stands still within a
    // turn
    Duration now = back.clock();
    for (Errand errand : List.copyOf(waiting)) {
      if (withheld || !errand.mayBegin(now)) {
        back.ended(errand, Outcome.NOT_SENT);
      }
    }
    for (Link link : List.copyOf(links)) {
      link.dispatch(waiting);
    }
    for (int lacking = lacking(); lacking > 0 && dial(); lacking--) {
      // one for each that is lacking, as far as that goes
    }
  }

  /** How many more links are wanted for what waits, beside those up and those coming up in time. */
  private int lacking() {
    Map<Link, Integer> room = new HashMap<>();
    links.stream().filter(Link::expected).forEach(link -> room.put(link, link.room()));
    int lacking = 0;
    int further = 0;
    for (Errand errand : waiting) {
      Link taker =
          links.stream()
              .filter(link -> room.getOrDefault(link, 0) > 0 && link.mayTake(errand))
              .findFirst()
              .orElse(null);
      if (taker != null) {
        room.merge(taker, -1, Integer::sum);
      } else if (further > 0) {
        further--;
      } else {
        lacking++;
        further = back.streams() - 1;
      }
    }
    return lacking == 0 && !probes.isEmpty() && room.isEmpty() ? 1 : lacking;
  }

  /**
   * Dials, unless as many dials are under way as may be. Where one of them is late and may never
   * come up, as after a machine vanished, the oldest makes room. Guards against a storm of
   * handshakes at a searcher whose connections come up late, each closed before it is of use.
   */
  private boolean dial() {
    List<Link> coming = links.stream().filter(Link::coming).toList();
    if (coming.size() >= DIALS_MOST) {
      Link late = coming.stream().filter(link -> !link.expected()).findFirst().orElse(null);
      if (late == null) {
        return false;
      }
      late.close();
    }
    back.counts().add("links dialled", 1);
    links.add(new Link(back, this));
    return true;
  }

  void probe() {
    if (gone) {
      back.probed(this, Outcome.UNREACHABLE, Duration.ZERO, null);
      return;
    }
    Link link = links.stream().filter(Link::usableNow).findFirst().orElse(null);
    if (link != null) {
      link.probe();
      return;
    }
    Link.Probe probe = new Link.Probe(back.now());
    probes.add(probe);
    back.busy(this);
    back.wakeAfter(
        back.dialTimeOut(),
        () -> {
          if (probes.remove(probe)) {
            back.probed(this, Outcome.UNREACHABLE, back.now().minus(probe.sent), null);
          }
        });
  }

  /** A link is up: what waited for one goes by it. */
  void opened(Link link) {
    back.busy(this);
    if (link.usableNow()) {
      probes.forEach(probe -> link.probe());
      probes.clear();
    }
  }

  /** A link has ended, or never came up. */
  void closed(Link link) {
    links.remove(link);
    back.busy(this);
    if (link.refused() && links.stream().noneMatch(Link::expected)) {
      List.copyOf(waiting).forEach(errand -> back.ended(errand, Outcome.UNREACHABLE));
      unanswered();
    }
  }

  /** Probes that waited for a connection have found nobody. */
  private void unanswered() {
    probes.forEach(
        probe -> back.probed(this, Outcome.UNREACHABLE, back.now().minus(probe.sent), null));
    probes.clear();
  }

  void closeIdle() {
    links.stream().filter(link -> link.up() && link.idle()).toList().forEach(Link::close);
  }

  /** Closes what has stood idle for its time, and dials that nobody waited for as long. */
  void sweep() {
    links.stream().filter(Link::stale).toList().forEach(Link::close);
  }
}
