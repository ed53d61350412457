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
import gingerring.net.MemoryBudget;
import gingerring.net.ScheduledTask;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Connects the mixer to the sockets: events become calls of the mixer, and its calls become frames
 * and responses. It does for the mixer what the simulator's environment does, and takes no
 * decisions.
 */
final class MixerHost implements Host, ScanHandler, BackendListener, DiscoveryWatch.Listener {
  /** A scan that has not yet had its final response, or that has trips which have not ended. */
  private static final class OpenScan {
    final ScanId id;
    final Duration deadline;
    final List<OpenPart> parts = new ArrayList<>();

    /** What the client sent; null once the scan is answered. */
    ScanRequest request;

    /** The client's connection; null once the scan is answered. */
    ScanResponder responder;

    /** Fails the scan at its deadline. */
    ScheduledTask overdueTimer;

    boolean answered;

    OpenScan(ScanId id, ScanRequest request, Duration deadline, ScanResponder responder) {
      this.id = id;
      this.request = request;
      this.deadline = deadline;
      this.responder = responder;
    }

    /**
     * Drops what only the answer needs. The scan itself stays as long as one of its trips does,
     * which may be until the deadline; the client's connection and the values would take much more
     * memory than the scans that are still open.
     */
    void releaseAfterAnswer() {
      overdueTimer.cancel();
      request = null;
      responder = null;
      parts.forEach(part -> part.value = null);
    }

    /** Returns the memory that the values received so far take, in bytes. */
    long valueBytes() {
      return parts.stream()
          .filter(part -> part.value != null)
          .mapToLong(part -> part.value.length)
          .sum();
    }
  }

  /**
   * A part of an open scan, kept until the scan has been answered and all trips of the part have
   * ended.
   */
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

  /** How many of the longest deadlines a transaction id is remembered for, at least. */
  private static final int DEADLINES_REMEMBERED = 2;

  /** Beyond this, an id is remembered only while there is memory for it. */
  private static final Duration MAX_TRANSACTION_MEMORY = Duration.ofSeconds(10);

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
   * Transaction ids of the scans that were accepted and ended most recently; a scan with one of
   * them is refused. If a client reused one id again and again, late answers to the former scan
   * could not be told from answers to the next. Each scan would then need a new connection to every
   * searcher, until descriptors run out.
   */
  private final RecentTransactions recentTransactions;

  /** How long a transaction id is remembered after its scan has ended. */
  private final Duration transactionMemory;

  private final Map<ScanResponder, OpenScan> scansByResponder = new IdentityHashMap<>();
  private final Map<String, SearcherId> searcherIds = new HashMap<>();
  private final Map<SearcherId, MemberEntry> listedMembers = new HashMap<>();

  /** The mixer's timers that have neither fired nor been cancelled. */
  private final Map<TimerId, ScheduledTask> mixerTimers = new HashMap<>();

  private long nextId;
  private int heldCount;
  private Mixer mixer;
  private Backend backend;
  private DiscoveryWatch watch;

  /** Limits the memory that the values of open scans take. */
  private final MemoryBudget answerMemory;

  /** The service that exchanges reports with other mixers; null without peers. */
  private PeerService peers;

  private boolean started;

  /**
   * Whether discovery has reported since the start or could not be reached. Scans that arrive
   * before that are kept in {@code pendingArrivals}.
   */
  private boolean discoveryReported;

  private boolean warmingUp;
  private final List<Runnable> pendingArrivals = new ArrayList<>();

  /** During the shutdown, the time by which all scans must be answered; null before. */
  private Duration shutdownDeadline;

  private boolean closingConnections;

  /**
   * Creates the host; {@code startEpochMs} is the Unix time in milliseconds at the zero of the
   * loop's clock.
   */
  MixerHost(EventLoop loop, Settings settings, Counters counts, double startEpochMs) {
    this(loop, settings, counts, startEpochMs, 0, MemoryLimits.LARGEST, MemoryBudget.UNLIMITED);
  }

  /**
   * Creates a host that keeps to limits on the memory of ids and of values; {@code seed} is the
   * configuration's.
   */
  MixerHost(
      EventLoop loop,
      Settings settings,
      Counters counts,
      double startEpochMs,
      long seed,
      MemoryLimits memoryLimits,
      MemoryBudget answerMemory) {
    this.answerMemory = answerMemory;
    recentTransactions = new RecentTransactions(memoryLimits.transactionIdBytes(), seed);
    Duration deadlines = settings.longestDeadline().multipliedBy(DEADLINES_REMEMBERED);
    transactionMemory =
        deadlines.compareTo(MAX_TRANSACTION_MEMORY) < 0 ? deadlines : MAX_TRANSACTION_MEMORY;
    this.loop = loop;
    this.settings = settings;
    this.counts = counts;
    this.startEpochMs = startEpochMs;
    maxHeld = settings.count("PolicyLimits.MostHeld");
    maxTripsPerPart = (int) settings.number("PolicyLimits.MaxAttempts", 1);
    zones = List.of(settings.text("Zones").split(","));
    machineTypes = List.of(settings.text("Skus").split(","));
  }

  /** Sets the peer service; called before the start. */
  void setPeers(PeerService peers) {
    this.peers = peers;
  }

  /** Keeps the mixer from being ready until {@link #finishWarmUp}. */
  void startWarmUp() {
    warmingUp = true;
  }

  void finishWarmUp() {
    warmingUp = false;
  }

  /**
   * Starts the mixer and passes it the known member list in the same turn. That list may be old, so
   * if discovery sends changes the mixer is ready only after discovery has reported. This prevents
   * sending to searchers that left while the process was down: from the first moment on, the state
   * of discovery's agent counts as received.
   */
  void start(Backend backend, DiscoveryWatch watch, long seed, MemberListUpdate knownMembers) {
    this.backend = backend;
    this.watch = watch;
    mixer = new Mixer(settings.values(), new SplittableRandom(seed), this);
    onUpdate(knownMembers);
    String discovery = settings.text("Discovery");
    if (discovery.equals("automatic")) {
      watch.open();
    }
    discoveryReported = !discovery.equals("automatic") && !discovery.equals("subscribe");
    started = true;
  }

  // ---- events ----

  @Override
  public boolean ready() {
    return started && discoveryReported && !warmingUp && shutdownDeadline == null;
  }

  @Override
  public boolean closeAfterResponse() {
    return closingConnections;
  }

  @Override
  public boolean accept(ScanRequest request, Duration requestStartedAt, ScanResponder responder) {
    if (scansByTransaction.containsKey(request.transactionId())
        || recentTransactions.contains(request.transactionId())) {
      counts.add("marks sent again", 1);
      return false;
    }
    // The limit is checked before the scan is added: as in the simulator, the last scan accepted
    // may exceed it.
    if (heldCount >= maxHeld || recentTransactions.isFull(now())) {
      counts.add(heldCount >= maxHeld ? "nacks for a full house" : "nacks for too many ids", 1);
      responder.reject(Duration.ZERO);
      return true;
    }
    Duration deadline = requestStartedAt.plus(request.deadline());
    deadline =
        shutdownDeadline != null && shutdownDeadline.compareTo(deadline) < 0
            ? shutdownDeadline
            : deadline;
    OpenScan scan = new OpenScan(new ScanId(nextId++), request, deadline, responder);
    List<Part> parts = new ArrayList<>();
    for (ScanRequest.Target target : request.targets()) {
      OpenPart part = new OpenPart(new PartId(nextId++), scan, target.shard());
      scan.parts.add(part);
      openParts.put(part.id, part);
      parts.add(new Part(part.id, target.shard(), target.share(), target.route()));
    }
    heldCount += 1 + parts.size();
    openScans.put(scan.id, scan);
    scansByTransaction.put(request.transactionId(), scan);
    scansByResponder.put(responder, scan);
    counts.add("scans taken", 1);
    // whatever the mixer does, the scan is answered by its client's deadline
    scan.overdueTimer =
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

  /**
   * Fails a scan that the mixer has left open past its deadline. A failure promises nothing about
   * effects.
   */
  private void failOverdue(OpenScan scan) {
    if (!scan.answered) {
      counts.add("scans the mixer left open", 1);
      scan.responder.fail();
      finish(scan);
      loop.notifyMixer(() -> mixer.clientLeft(scan.id));
    }
  }

  @Override
  public void clientDisconnected(ScanResponder responder) {
    OpenScan scan = scansByResponder.get(responder);
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
    recentTransactions.add(scan.request.transactionId(), now().plus(transactionMemory), now());
    scansByResponder.remove(scan.responder);
    // as in the simulator, a part that has succeeded no longer counts as held
    heldCount -= 1 + (int) scan.parts.stream().filter(part -> part.value == null).count();
    counts.checkInvariant(
        heldCount >= 0 && openScans.isEmpty() == (heldCount == 0), "what is held is what is open");
    scan.parts.forEach(this::cancelUnsentTrips);
    scan.parts.forEach(this::removeIfFinished);
    answerMemory.release(scan.valueBytes());
    scan.releaseAfterAnswer();
  }

  /**
   * Ends the trips of a finished part that have not begun. They will never be sent, whatever
   * happens to the trips in flight.
   */
  private void cancelUnsentTrips(OpenPart part) {
    part.trips.forEach(backend::cancelIfUnsent);
  }

  private void removeIfFinished(OpenPart part) {
    if (part.scan.answered && part.trips.stream().allMatch(OutboundTrip::ended)) {
      openParts.remove(part.id);
    }
  }

  @Override
  public void tripEnded(OutboundTrip trip, Outcome tripOutcome, float[] load, byte[] value) {
    loop.notifyMixer(
        () -> {
          OpenPart part = openParts.get(trip.part);
          boolean partOver = part == null || part.scan.answered || part.value != null;
          boolean succeeded = tripOutcome == Outcome.SUCCEEDED;
          // a value that there is no memory for counts as a failed attempt, which may have run
          boolean dropped = succeeded && !partOver && !answerMemory.tryReserve(value.length);
          Outcome outcome = dropped ? Outcome.ERROR : tripOutcome;
          if (!partOver && outcome == Outcome.SUCCEEDED) {
            part.value = value;
            heldCount--;
            partOver = true;
            cancelUnsentTrips(part);
          }
          mixer.tripEnded(trip.part, trip.tripNumber, outcome, partOver, load);
          if (peers != null) {
            peers.attemptEnded(trip.searcher.address(), outcome);
          }
          if (part != null) {
            removeIfFinished(part);
          }
        });
  }

  @Override
  public void probeEnded(
      SearcherId searcher, Outcome outcome, Duration responseTime, float[] load) {
    loop.notifyMixer(
        () -> {
          mixer.probeEnded(searcher, outcome, responseTime, load);
          if (peers != null) {
            peers.probeEnded(searcher.address(), outcome == Outcome.SUCCEEDED);
          }
        });
  }

  @Override
  public void onUpdate(MemberListUpdate members) {
    List<MemberEntry> entries = new ArrayList<>();
    List<SearcherId> leaving = new ArrayList<>();
    for (MemberListUpdate.Member member : members.members()) {
      SearcherId id = searcherIds.computeIfAbsent(member.id(), this::newId);
      MemberEntry previous = listedMembers.get(id);
      Duration startedAt =
          member.upSinceMs() == 0
              ? null
              : Duration.ofNanos(Math.round((member.upSinceMs() - startEpochMs) * 1e6));
      MemberEntry entry =
          member.address() == null && previous != null
              ? new MemberEntry(
                  id,
                  previous.zone(),
                  previous.machine(),
                  previous.cell(),
                  member.status(),
                  previous.size(),
                  previous.startedAt())
              : new MemberEntry(
                  id,
                  zones.indexOf(member.locality()),
                  machineTypes.indexOf(member.flavor()),
                  member.cell(),
                  member.status(),
                  member.size(),
                  startedAt);
      entries.add(entry);
      listedMembers.put(id, entry);
      if (member.address() == null || member.status() == MemberEntry.Status.GONE) {
        backend.remove(id);
      } else {
        backend.addOrUpdate(id, member.address(), entry.startedAt());
      }
    }
    if (members.complete()) {
      Set<SearcherId> listedIds = new HashSet<>();
      entries.forEach(entry -> listedIds.add(entry.searcher()));
      leaving.addAll(
          listedMembers.keySet().stream().filter(id -> !listedIds.contains(id)).toList());
      leaving.forEach(this::removeSearcher);
    }
    entries.stream()
        .filter(entry -> entry.status() == MemberEntry.Status.GONE)
        .map(MemberEntry::searcher)
        .forEach(this::removeSearcher);
    loop.notifyMixer(() -> mixer.memberListUpdated(entries, members.complete()));
    // done after the mixer has the list, so that it can send unsent trips elsewhere
    leaving.addAll(
        entries.stream()
            .filter(entry -> entry.status() != MemberEntry.Status.READY)
            .map(MemberEntry::searcher)
            .toList());
    leaving.forEach(backend::stopSending);
    if (peers != null) {
      peers.membersChanged(listedMembers.values());
    }
  }

  /**
   * Removes a searcher that has left the member list. If listed again, the searcher gets the same
   * number, unless the hash of its name collides with another searcher's (see {@link #newId}).
   */
  private void removeSearcher(SearcherId id) {
    backend.remove(id);
    listedMembers.remove(id);
    searcherIds.values().remove(id);
  }

  /**
   * Returns the number of entries held for scans, parts and searchers; tests check it for leaks.
   */
  int retainedCount() {
    return openScans.size()
        + openParts.size()
        + scansByTransaction.size()
        + scansByResponder.size()
        + searcherIds.size()
        + listedMembers.size();
  }

  /**
   * Derives a searcher's number from its name. Every mixer derives the same number from a name,
   * unless another searcher known to the mixer already has that number: the name then gets the next
   * free number, which depends on the order in which the mixer came to know the names.
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

  /**
   * Begins the shutdown: the mixer is no longer ready, and every scan is answered by {@code
   * deadline}.
   */
  void beginShutdown(Duration deadline) {
    shutdownDeadline = deadline;
  }

  /** Closes each connection after its next response. */
  void closeConnectionsAfterResponses() {
    closingConnections = true;
  }

  int openScanCount() {
    return openScans.size();
  }

  /**
   * Fails the scans that are still open, since the process ends before the mixer would close them.
   */
  void failOpenScans() {
    for (OpenScan scan : List.copyOf(openScans.values())) {
      counts.add("scans scrapped at the end", 1);
      scan.responder.fail();
      finish(scan);
    }
  }

  // ---- calls of the mixer ----

  @Override
  public Duration now() {
    return loop.now();
  }

  @Override
  public void send(PartId partId, SearcherId searcher, Duration timeout, Duration startWithin) {
    OpenPart part = openParts.get(partId);
    int tripNumber = part == null ? 0 : part.trips.size();
    Duration deadline = part == null ? now() : now().plus(timeout);
    if (part != null && deadline.compareTo(part.scan.deadline) > 0) {
      deadline = part.scan.deadline;
    }
    boolean scanOver = part == null || part.scan.answered;
    ScanRequest request = scanOver ? null : part.scan.request;
    OutboundTrip trip =
        new OutboundTrip(
            partId,
            tripNumber,
            searcher,
            scanOver ? "" : request.transactionId() + '.' + part.shard,
            scanOver ? 0 : part.shard,
            scanOver ? null : request.idempotencyKey(),
            scanOver ? null : request.queryText(),
            deadline,
            startWithin == null ? null : now().plus(startWithin));
    boolean partOver =
        scanOver
            || part.value != null
            || part.trips.size() >= maxTripsPerPart
            || deadline.compareTo(now()) <= 0;
    counts.checkInvariant(!partOver, "a trip is for a part that is not over");
    if (part != null) {
      if (startWithin != null) {
        // whichever trip begins first, the others are retries of it, so earlier ones may not begin
        // later either
        part.trips.forEach(earlier -> earlier.limitStart(now().plus(startWithin)));
      }
      part.trips.add(trip);
    }
    if (partOver) {
      backend.cancelIfUnsent(trip);
    } else {
      backend.send(trip);
    }
  }

  @Override
  public void cancel(PartId partId, int trip) {
    OpenPart part = openParts.get(partId);
    if (part != null && trip < part.trips.size()) {
      backend.cancel(part.trips.get(trip));
    }
  }

  @Override
  public void answer(ScanId id, boolean complete) {
    OpenScan scan = openScans.get(id);
    if (scan == null) {
      return;
    }
    Map<Integer, byte[]> values = new LinkedHashMap<>();
    for (OpenPart part : scan.parts) {
      if (part.value != null) {
        values.put(part.shard, part.value);
      }
    }
    counts.checkInvariant(!values.isEmpty(), "an answer has values");
    counts.add(complete ? "whole answers" : "partial answers", 1);
    scan.responder.answer(complete, values);
    finish(scan);
  }

  @Override
  public void reject(ScanId id, Duration retryAfter) {
    OpenScan scan = openScans.get(id);
    if (scan != null) {
      counts.add("nacks", 1);
      scan.responder.reject(retryAfter);
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

  /** Tells the mixer that another mixer had an answer from a searcher that may be ejected here. */
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
    mixerTimers.put(
        wake,
        loop.schedule(
            span,
            () -> {
              mixerTimers.remove(wake);
              loop.notifyMixer(() -> mixer.timerFired(wake));
            }));
  }

  @Override
  public void cancelTimer(TimerId timer) {
    ScheduledTask task = mixerTimers.remove(timer);
    if (task != null) {
      task.cancel();
    }
  }

  @Override
  public void log(String entry) {
    LOG.info(entry);
  }
}
