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
public final class Back {
  static final int OUT_MOST = 1 << 18;
  private static final Logger LOG = LoggerFactory.getLogger("gingerring.back");
  private static final Duration SWEEP = Duration.ofSeconds(1);
  private static final Duration COMPLAINTS_APART = Duration.ofSeconds(5);
  private static final float[] NONE = {};

  private final Network network;
  private final Returns returns;
  private final Counters counts;
  private final LoopTimer clock;
  private final LoadReports reports;
  private final int batch;
  private final int streams;
  private final Duration dialTimeOut;
  private final Duration idleMost;
  private final boolean cancels;
  private final char probeLetter;
  private final Map<SearcherId, Station> stations = new TreeMap<>();
  private final Set<Station> busy = new LinkedHashSet<>();
  private Duration complained;

  public Back(Network network, Returns returns, Settings terms, Counters counts, LoopTimer clock) {
    this.network = network;
    this.returns = returns;
    this.counts = counts;
    this.clock = clock;
    reports = new LoadReports(terms, counts);
    batch = Math.max(1, (int) terms.number("Domain.Batch", 1));
    streams = Math.max(1, terms.count("PolicyLimits.StreamsPerConn"));
    dialTimeOut = terms.duration("PolicyLimits.DialTimeoutMs");
    // the searcher may close as early as its time for idle ones, and its word of that takes a
    // moment: the
    // time in which a connection has to come up, but never so much that none could be used twice
    Duration idle = terms.duration("PolicyLimits.ConnIdleMs");
    Duration half = idle.dividedBy(2);
    idleMost = dialTimeOut.compareTo(half) < 0 ? idle.minus(dialTimeOut) : half;
    cancels = terms.flag("PolicyLimits.Cancel");
    // where reports come by probes alone, a probe asks for one
    boolean byProbe =
        terms.has("LoadReport.Source") && terms.text("LoadReport.Source").equals("probe");
    probeLetter = byProbe ? 'M' : 'H';
    clock.schedule(SWEEP, this::sweep);
  }

  /** The list has this searcher, at an address, up since a moment (null: long ago). */
  public void listed(SearcherId id, InetSocketAddress address, Duration startedAt) {
    stations.computeIfAbsent(id, each -> new Station(this, each)).listed(address, startedAt);
  }

  /** The list no longer has it: its links go as soon as nothing is out on them. */
  public void gone(SearcherId id) {
    at(id, Station::gone);
  }

  /**
   * The list says that it drains or has gone: what has not begun there does not, whatever keeps it.
   * A send counts from its first byte, which may be a whole dial after the list was told.
   */
  public void withhold(SearcherId id) {
    at(id, Station::withhold);
  }

  private void at(SearcherId id, Consumer<Station> what) {
    Station station = stations.get(id);
    if (station != null) {
      what.accept(station);
    }
  }

  /** Takes a trip along; it leaves with the others of this turn. */
  public void send(Errand errand) {
    Station station = stations.get(errand.searcher);
    if (station == null) {
      ended(errand, Outcome.UNREACHABLE);
      return;
    }
    errand.since = now();
    station.send(errand);
    clock.schedule(
        errand.until.minus(now()),
        () -> {
          if (!withdraw(errand) && !errand.done) {
            errand.link.timedOut(errand);
            ended(errand, Outcome.TIMED_OUT);
          }
        });
  }

  /**
   * Makes what waits into calls, and puts those into the rings of the links that have room. It
   * comes last in a turn, so that what leaves is looked at by all that is known when it does.
   */
  public void dispatch() {
    List<Station> turn = List.copyOf(busy);
    busy.clear();
    turn.forEach(Station::dispatch);
  }

  void busy(Station station) {
    busy.add(station);
  }

  /**
   * Gives a trip up: one that has not begun never does, and the searcher is told of any other if it
   * may be.
   */
  public void recall(Errand errand) {
    if (!withdraw(errand) && !errand.done && cancels) {
      errand.link.recall(errand);
      ended(errand, Outcome.CALLED_OFF);
    }
  }

  /**
   * Nobody wants the trip any more: it ends if nothing of it was put yet, and is left alone if it
   * was. Returns whether it ended. Guards against work for nobody, and against an effect that
   * nobody knows of, also where trips under way cannot be called off.
   */
  public boolean withdraw(Errand errand) {
    if (errand.done || errand.begun()) {
      return false;
    }
    ended(errand, Outcome.NOT_SENT);
    return true;
  }

  public void probe(SearcherId id) {
    Station station = stations.get(id);
    if (station == null) {
      returns.probed(id, Outcome.UNREACHABLE, Duration.ZERO, NONE);
    } else {
      station.probe();
    }
  }

  public void closeIdle(SearcherId id) {
    at(id, Station::closeIdle);
  }

  /** Closes what has stood idle for its time, and forgets who has gone. */
  private void sweep() {
    stations.values().removeIf(Station::over);
    stations.values().forEach(Station::sweep);
    clock.schedule(SWEEP, this::sweep);
  }

  /** How many searchers something is kept for. */
  public int stations() {
    return stations.size();
  }

  /** Errands end once, whatever comes of them later. */
  void ended(Errand errand, Outcome outcome) {
    ended(errand, outcome, NONE, null);
  }

  void ended(Errand errand, Outcome outcome, float[] load, byte[] value) {
    if (!errand.done) {
      errand.done = true;
      if (errand.station != null) {
        errand.station.forget(errand);
      }
      counts.add("trips " + outcome, 1);
      returns.ended(errand, outcome, load, value);
    }
  }

  void probed(Station station, Outcome outcome, Duration taken, float[] load) {
    counts.add("probes " + outcome, 1);
    returns.probed(station.id, outcome, taken, load == null ? NONE : load);
  }

  /** Counts what a searcher did wrong, and logs it once in a while. */
  void complain(String what) {
    counts.add("bad frames", 1);
    if (complained == null || now().minus(complained).compareTo(COMPLAINTS_APART) > 0) {
      complained = now();
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
  Duration clock() {
    return network.currentTime();
  }

  Duration now() {
    return clock.now();
  }

  void wakeAfter(Duration span, Runnable task) {
    clock.schedule(span, task);
  }

  LoadReports reports() {
    return reports;
  }

  Duration dialTimeOut() {
    return dialTimeOut;
  }

  int batch() {
    return batch;
  }

  int streams() {
    return streams;
  }

  Duration idleMost() {
    return idleMost;
  }

  char probeLetter() {
    return probeLetter;
  }
}
