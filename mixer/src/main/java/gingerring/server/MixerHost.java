package gingerring.server;

import gingerring.backend.Backend;
import gingerring.backend.BackendListener;
import gingerring.backend.OutboundTrip;
import gingerring.decide.Host;
import gingerring.decide.MemberEntry;
import gingerring.decide.Mixer;
import gingerring.decide.Outcome;
import gingerring.decide.Part;
import gingerring.decide.PartId;
import gingerring.decide.ScanId;
import gingerring.decide.SearcherId;
import gingerring.decide.Settings;
import gingerring.decide.TimerId;
import gingerring.discovery.DiscoveryWatch;
import gingerring.discovery.MemberListUpdate;
import gingerring.frontend.ScanHandler;
import gingerring.frontend.ScanRequest;
import gingerring.frontend.ScanResponder;
import gingerring.net.Counters;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The mixer's place among the sockets: what happens becomes calls of the mixer, and its calls
 * become frames and answers. Does for the mixer what the simulator's world does, and decides
 * nothing.
 */
final class MixerHost implements Host, ScanHandler, BackendListener, DiscoveryWatch.Listener {
  /** A scan in hand, until its one final answer. */
  private static final class OpenScan {
    final ScanId id;
    final ScanRequest request;
    final Duration deadline;
    final ScanResponder responder;
    final List<OpenPart> parts = new ArrayList<>();
    boolean answered;

    OpenScan(ScanId id, ScanRequest ask, Duration end, ScanResponder reply) {
      this.id = id;
      this.request = ask;
      this.deadline = end;
      this.responder = reply;
    }
  }

  /** A part of it, kept until its scan has been answered and all its trips have ended. */
  private static final class OpenPart {
    final PartId id;
    final OpenScan scan;
    final int shard;
    final List<OutboundTrip> trips = new ArrayList<>();
    byte[] value;

    OpenPart(PartId id, OpenScan scan, int shard) {
      this.id = id;
      this.scan = scan;
      this.shard = shard;
    }
  }

  private static final Logger LOG = LoggerFactory.getLogger("gingerring.mixer");

  /** How many marks of the latest scans are remembered. */
  private static final int MAX_RECENT_TRANSACTIONS = 8192;

  private final EventLoop loop;
  private final Settings settings;
  private final Counters counts;
  private final double startEpochMs;
  private final int maxHeld;
  private final int maxTripsPerPart;
  private final List<String> zones;
  private final List<String> machineTypes;
  private final Map<ScanId, OpenScan> openScans = new LinkedHashMap<>();
  private final Map<PartId, OpenPart> openParts = new HashMap<>();
  private final Map<String, OpenScan> scansByTransaction = new HashMap<>();

  /**
   * The marks of the latest scans that were taken and have ended. Guards against a client that
   * sends one mark again and again: what is still to come for the former scan could not be told
   * from what the next one asks for, so that each would need a connection of its own to every
   * searcher, until no descriptor is left.
   */
  private final Set<String> recentTransactions = new LinkedHashSet<>();

  private final Map<ScanResponder, OpenScan> scansByResponder = new IdentityHashMap<>();
  private final Map<String, SearcherId> searcherIds = new HashMap<>();
  private final Map<SearcherId, MemberEntry> listedMembers = new HashMap<>();
  private long nextId;
  private int held;
  private Mixer mixer;
  private Backend backend;
  private DiscoveryWatch watch;

  /** What others tell; null where this mixer knows of none. */
  private PeerService peers;

  private boolean started;

  /**
   * Discovery has said something since the start, or could not be asked; and scans that came
   * before.
   */
  private boolean discoveryReported;

  private boolean warmingUp;
  private final List<Runnable> pendingArrivals = new ArrayList<>();

  /** Once the end is announced: by when all must be answered. */
  private Duration shutdownDeadline;

  private boolean closingConnections;

  /** {@code startMs}: Unix time at the loop's zero. */
  MixerHost(EventLoop loop, Settings terms, Counters counts, double startMs) {
    this.loop = loop;
    this.settings = terms;
    this.counts = counts;
    this.startEpochMs = startMs;
    maxHeld = terms.count("PolicyLimits.MostHeld");
    maxTripsPerPart = (int) terms.number("PolicyLimits.MaxAttempts", 1);
    zones = List.of(terms.text("Zones").split(","));
    machineTypes = List.of(terms.text("Skus").split(","));
  }

  /** Before the start: with others to hear from. */
  void setPeers(PeerService others) {
    peers = others;
  }

  /** From now on it is not ready until it has practised. */
  void startWarmUp() {
    warmingUp = true;
  }

  void finishWarmUp() {
    warmingUp = false;
  }

  /**
   * The mixer starts, and is told the list as it was known in the same turn. That list may be old,
   * so that a mixer that is told changes is ready once discovery has had its word. Guards against
   * sending to searchers that left while this process was down: from its first moment on, what
   * discovery's agent has counts as told.
   */
  void start(Backend back, DiscoveryWatch watch, long seed, MemberListUpdate known) {
    this.backend = back;
    this.watch = watch;
    mixer = new Mixer(settings.values(), new SplittableRandom(seed), this);
    onUpdate(known);
    String way = settings.text("Discovery");
    if (way.equals("automatic")) {
      watch.open();
    }
    discoveryReported = !way.equals("automatic") && !way.equals("subscribe");
    started = true;
  }

  // ---- what happens ----

  @Override
  public boolean ready() {
    return started && discoveryReported && !warmingUp && shutdownDeadline == null;
  }

  @Override
  public boolean closeAfterResponse() {
    return closingConnections;
  }

  @Override
  public boolean accept(ScanRequest ask, Duration since, ScanResponder reply) {
    if (scansByTransaction.containsKey(ask.transactionId())
        || recentTransactions.contains(ask.transactionId())) {
      counts.add("marks sent again", 1);
      return false;
    }
    // with so many open, more are sent back: as in the simulator, the last one taken may go over it
    if (held >= maxHeld) {
      counts.add("nacks for a full house", 1);
      reply.reject(Duration.ZERO);
      return true;
    }
    Duration end = since.plus(ask.deadline());
    end = shutdownDeadline != null && shutdownDeadline.compareTo(end) < 0 ? shutdownDeadline : end;
    OpenScan scan = new OpenScan(new ScanId(nextId++), ask, end, reply);
    List<Part> parts = new ArrayList<>();
    for (ScanRequest.Target each : ask.targets()) {
      OpenPart piece = new OpenPart(new PartId(nextId++), scan, each.shard());
      scan.parts.add(piece);
      openParts.put(piece.id, piece);
      parts.add(new Part(piece.id, each.shard(), each.share(), each.route()));
    }
    held += 1 + parts.size();
    openScans.put(scan.id, scan);
    scansByTransaction.put(ask.transactionId(), scan);
    scansByResponder.put(reply, scan);
    counts.add("scans taken", 1);
    // whatever becomes of it in the mixer, it is answered by the end of its client's patience
    loop.schedule(scan.deadline.minus(now()), () -> loop.notifyMixer(() -> failOverdue(scan)));
    Runnable arrival =
        () -> {
          if (!scan.answered) {
            arrive(scan, parts);
          }
        };
    if (discoveryReported) {
      loop.notifyMixerLast(arrival);
    } else {
      pendingArrivals.add(arrival);
    }
    return true;
  }

  private void arrive(OpenScan scan, List<Part> parts) {
    try {
      mixer.scanArrived(
          scan.id,
          scan.id.number(),
          scan.request.serviceClass(),
          0,
          scan.request.retry(),
          scan.request.estimatedWork(),
          scan.deadline,
          parts);
    } catch (RuntimeException | Error e) {
      failOverdue(scan);
      throw e;
    }
  }

  /** Guards against a scan that the mixer lost sight of: it is scrapped, which promises nothing. */
  private void failOverdue(OpenScan scan) {
    if (!scan.answered) {
      counts.add("scans the mixer left open", 1);
      scan.responder.fail();
      finish(scan);
      loop.notifyMixer(() -> mixer.clientLeft(scan.id));
    }
  }

  @Override
  public void clientDisconnected(ScanResponder reply) {
    OpenScan scan = scansByResponder.get(reply);
    if (scan != null) {
      counts.add("clients that left", 1);
      finish(scan);
      loop.notifyMixer(() -> mixer.clientLeft(scan.id));
    }
  }

  private void finish(OpenScan scan) {
    counts.checkInvariant(!scan.answered, "a scan is answered once");
    scan.answered = true;
    openScans.remove(scan.id);
    scansByTransaction.remove(scan.request.transactionId());
    recentTransactions.add(scan.request.transactionId());
    if (recentTransactions.size() > MAX_RECENT_TRANSACTIONS) {
      recentTransactions.remove(recentTransactions.iterator().next());
    }
    scansByResponder.remove(scan.responder);
    // a part that is in is held no longer, as in the simulator
    held -= 1 + (int) scan.parts.stream().filter(piece -> piece.value == null).count();
    counts.checkInvariant(
        held >= 0 && openScans.isEmpty() == (held == 0), "what is held is what is open");
    scan.parts.forEach(this::cancelUnsentTrips);
    scan.parts.forEach(this::removeIfFinished);
  }

  /**
   * What has not begun for a part that is over never does, whatever becomes of what is under way.
   */
  private void cancelUnsentTrips(OpenPart piece) {
    piece.trips.forEach(backend::cancelIfUnsent);
  }

  private void removeIfFinished(OpenPart piece) {
    if (piece.scan.answered && piece.trips.stream().allMatch(OutboundTrip::ended)) {
      openParts.remove(piece.id);
    }
  }

  @Override
  public void tripEnded(OutboundTrip errand, Outcome outcome, float[] load, byte[] value) {
    loop.notifyMixer(
        () -> {
          OpenPart piece = openParts.get(errand.part);
          boolean over = piece == null || piece.scan.answered || piece.value != null;
          if (piece != null && !over && outcome == Outcome.SUCCEEDED) {
            piece.value = value;
            held--;
            over = true;
            cancelUnsentTrips(piece);
          }
          mixer.tripEnded(errand.part, errand.tripNumber, outcome, over, load);
          if (peers != null) {
            peers.attemptEnded(errand.searcher.address(), outcome);
          }
          if (piece != null) {
            removeIfFinished(piece);
          }
        });
  }

  @Override
  public void probeEnded(SearcherId searcher, Outcome outcome, Duration taken, float[] load) {
    loop.notifyMixer(
        () -> {
          mixer.probeEnded(searcher, outcome, taken, load);
          if (peers != null) {
            peers.probeEnded(searcher.address(), outcome == Outcome.SUCCEEDED);
          }
        });
  }

  @Override
  public void onUpdate(MemberListUpdate members) {
    List<MemberEntry> lines = new ArrayList<>();
    List<SearcherId> leaving = new ArrayList<>();
    for (MemberListUpdate.Member member : members.members()) {
      SearcherId id = searcherIds.computeIfAbsent(member.id(), this::newId);
      MemberEntry last = listedMembers.get(id);
      Duration started =
          member.upSinceMs() == 0
              ? null
              : Duration.ofNanos(Math.round((member.upSinceMs() - startEpochMs) * 1e6));
      MemberEntry line =
          member.address() == null && last != null
              ? new MemberEntry(
                  id,
                  last.zone(),
                  last.machine(),
                  last.cell(),
                  member.status(),
                  last.size(),
                  last.startedAt())
              : new MemberEntry(
                  id,
                  zones.indexOf(member.locality()),
                  machineTypes.indexOf(member.flavor()),
                  member.cell(),
                  member.status(),
                  member.size(),
                  started);
      lines.add(line);
      listedMembers.put(id, line);
      if (member.address() == null || member.status() == MemberEntry.Status.GONE) {
        backend.remove(id);
      } else {
        backend.addOrUpdate(id, member.address(), line.startedAt());
      }
    }
    if (members.complete()) {
      Set<SearcherId> told = new HashSet<>();
      lines.forEach(line -> told.add(line.searcher()));
      leaving.addAll(listedMembers.keySet().stream().filter(id -> !told.contains(id)).toList());
      leaving.forEach(this::removeSearcher);
    }
    lines.stream()
        .filter(line -> line.status() == MemberEntry.Status.GONE)
        .map(MemberEntry::searcher)
        .forEach(this::removeSearcher);
    loop.notifyMixer(() -> mixer.memberListUpdated(lines, members.complete()));
    // told after the list, so that what has not left yet goes elsewhere by it
    leaving.addAll(
        lines.stream()
            .filter(line -> line.status() != MemberEntry.Status.READY)
            .map(MemberEntry::searcher)
            .toList());
    leaving.forEach(backend::stopSending);
    if (peers != null) {
      peers.membersChanged(listedMembers.values());
    }
  }

  /** A searcher that has gone gets the same number again if it is listed again. */
  private void removeSearcher(SearcherId id) {
    backend.remove(id);
    listedMembers.remove(id);
    searcherIds.values().remove(id);
  }

  /** How many scans, parts and searchers something is kept for. */
  int retainedCount() {
    return openScans.size()
        + openParts.size()
        + scansByTransaction.size()
        + scansByResponder.size()
        + searcherIds.size()
        + listedMembers.size();
  }

  /**
   * The same number at every mixer, and of two names that hash alike the second the next one free.
   */
  private SearcherId newId(String name) {
    long hash = 0xcbf29ce484222325L;
    for (int i = 0; i < name.length(); i++) {
      hash = (hash ^ name.charAt(i)) * 0x100000001b3L;
    }
    while (searcherIds.containsValue(new SearcherId(hash))) {
      hash++;
    }
    return new SearcherId(hash);
  }

  @Override
  public void onFailure() {
    loop.notifyMixer(() -> mixer.memberListFailed());
    onContact();
  }

  @Override
  public void onContact() {
    discoveryReported = true;
    pendingArrivals.forEach(loop::notifyMixerLast);
    pendingArrivals.clear();
  }

  /** The end is announced: no longer ready, and no answer later than {@code by}. */
  void beginShutdown(Duration by) {
    shutdownDeadline = by;
  }

  /** The end is near: each answer is its connection's last. */
  void closeConnectionsAfterResponses() {
    closingConnections = true;
  }

  int openScanCount() {
    return openScans.size();
  }

  /** Scraps what is still open, since the process ends before the mixer would close it. */
  void failOpenScans() {
    for (OpenScan scan : List.copyOf(openScans.values())) {
      counts.add("scans scrapped at the end", 1);
      scan.responder.fail();
      finish(scan);
    }
  }

  // ---- what the mixer does ----

  @Override
  public Duration now() {
    return loop.now();
  }

  @Override
  public void send(PartId part, SearcherId searcher, Duration timeOut, Duration startWithin) {
    OpenPart piece = openParts.get(part);
    int number = piece == null ? 0 : piece.trips.size();
    Duration until = piece == null ? now() : now().plus(timeOut);
    if (piece != null && until.compareTo(piece.scan.deadline) > 0) {
      until = piece.scan.deadline;
    }
    ScanRequest ask = piece == null ? null : piece.scan.request;
    OutboundTrip errand =
        new OutboundTrip(
            part,
            number,
            searcher,
            piece == null ? "" : ask.transactionId() + '.' + piece.shard,
            piece == null ? 0 : piece.shard,
            piece == null ? null : ask.idempotencyKey(),
            piece == null ? null : ask.queryText(),
            until,
            startWithin == null ? null : now().plus(startWithin));
    boolean over =
        piece == null
            || piece.scan.answered
            || piece.value != null
            || piece.trips.size() >= maxTripsPerPart
            || until.compareTo(now()) <= 0;
    counts.checkInvariant(!over, "a trip is for a part that is not over");
    if (piece != null) {
      if (startWithin != null) {
        // whichever of them begins first, the others are repeats of it
        piece.trips.forEach(earlier -> earlier.limitStart(now().plus(startWithin)));
      }
      piece.trips.add(errand);
    }
    if (over) {
      backend.cancelIfUnsent(errand);
    } else {
      backend.send(errand);
    }
  }

  @Override
  public void cancel(PartId part, int trip) {
    OpenPart piece = openParts.get(part);
    if (piece != null && trip < piece.trips.size()) {
      backend.cancel(piece.trips.get(trip));
    }
  }

  @Override
  public void answer(ScanId id, boolean whole) {
    OpenScan scan = openScans.get(id);
    if (scan == null) {
      return;
    }
    Map<Integer, byte[]> values = new LinkedHashMap<>();
    for (OpenPart piece : scan.parts) {
      if (piece.value != null) {
        values.put(piece.shard, piece.value);
      }
    }
    counts.checkInvariant(!values.isEmpty(), "an answer has values");
    counts.add(whole ? "whole answers" : "partial answers", 1);
    scan.responder.answer(whole, values);
    finish(scan);
  }

  @Override
  public void reject(ScanId id, Duration comeBack) {
    OpenScan scan = openScans.get(id);
    if (scan != null) {
      counts.add("nacks", 1);
      scan.responder.reject(comeBack);
      finish(scan);
    }
  }

  @Override
  public void fail(ScanId id) {
    OpenScan scan = openScans.get(id);
    if (scan != null) {
      counts.add("scraps", 1);
      scan.responder.fail();
      finish(scan);
    }
  }

  @Override
  public void probe(SearcherId searcher) {
    if (peers != null) {
      peers.probeStarted(searcher.address());
    }
    backend.probe(searcher);
  }

  @Override
  public boolean shouldProbe(SearcherId searcher) {
    return peers == null || peers.shouldProbe(searcher.address());
  }

  @Override
  public double reportedFailureShare(SearcherId searcher) {
    return peers == null ? 0 : peers.failureShare(searcher.address());
  }

  @Override
  public boolean isPreferred(SearcherId searcher) {
    return peers == null || peers.isPreferred(searcher.address());
  }

  @Override
  public void searcherEjected(SearcherId searcher) {
    if (peers != null) {
      peers.ejected(searcher.address());
    }
  }

  /** Another mixer had an answer of a searcher that this one may have benched. */
  void answeredElsewhere(long searcher) {
    loop.notifyMixer(() -> mixer.peerReceivedAnswer(new SearcherId(searcher)));
  }

  @Override
  public void closeIdleConnections(SearcherId searcher) {
    backend.closeIdle(searcher);
  }

  @Override
  public void watchMemberList(boolean on) {
    loop.notifyMixer(on ? watch::open : watch::close);
  }

  @Override
  public void fetchMemberList() {
    watch.fetchFullList();
  }

  @Override
  public void sendToPeer(int peer, byte[] bytes) {
    counts.add("words to peers dropped", 1);
  }

  @Override
  public void startTimer(Duration span, TimerId wake) {
    loop.schedule(span, () -> loop.notifyMixer(() -> mixer.timerFired(wake)));
  }

  @Override
  public void log(String line) {
    LOG.info(line);
  }
}
