package gingerring.server;

import gingerring.backend.Back;
import gingerring.backend.Errand;
import gingerring.backend.Returns;
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
import gingerring.frontend.Ask;
import gingerring.frontend.Intake;
import gingerring.frontend.Reply;
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
final class MixerHost implements Host, Intake, Returns, DiscoveryWatch.Listener {
  /** A scan in hand, until its one final answer. */
  private static final class Open {
    final ScanId id;
    final Ask ask;
    final Duration end;
    final Reply reply;
    final List<Piece> pieces = new ArrayList<>();
    boolean answered;

    Open(ScanId id, Ask ask, Duration end, Reply reply) {
      this.id = id;
      this.ask = ask;
      this.end = end;
      this.reply = reply;
    }
  }

  /** A part of it, kept until its scan has been answered and all its trips have ended. */
  private static final class Piece {
    final PartId id;
    final Open scan;
    final int shard;
    final List<Errand> trips = new ArrayList<>();
    byte[] value;

    Piece(PartId id, Open scan, int shard) {
      this.id = id;
      this.scan = scan;
      this.shard = shard;
    }
  }

  private static final Logger LOG = LoggerFactory.getLogger("gingerring.mixer");

  /** How many marks of the latest scans are remembered. */
  private static final int PAST_MOST = 8192;

  private final Loop loop;
  private final Settings terms;
  private final Counters counts;
  private final double startMs;
  private final int heldMost;
  private final int tripsMost;
  private final List<String> zones;
  private final List<String> machines;
  private final Map<ScanId, Open> scans = new LinkedHashMap<>();
  private final Map<PartId, Piece> pieces = new HashMap<>();
  private final Map<String, Open> marks = new HashMap<>();

  /**
   * The marks of the latest scans that were taken and have ended. Guards against a client that
   * sends one mark again and again: what is still to come for the former scan could not be told
   * from what the next one asks for, so that each would need a connection of its own to every
   * searcher, until no descriptor is left.
   */
  private final Set<String> past = new LinkedHashSet<>();

  private final Map<Reply, Open> replies = new IdentityHashMap<>();
  private final Map<String, SearcherId> searchers = new HashMap<>();
  private final Map<SearcherId, MemberEntry> listed = new HashMap<>();
  private long ids;
  private int held;
  private Mixer mixer;
  private Back back;
  private DiscoveryWatch watch;

  /** What others tell; null where this mixer knows of none. */
  private PeerService neighbours;

  private boolean ready;

  /**
   * Discovery has said something since the start, or could not be asked; and scans that came
   * before.
   */
  private boolean heard;

  private boolean practising;
  private final List<Runnable> early = new ArrayList<>();

  /** Once the end is announced: by when all must be answered. */
  private Duration endBy;

  private boolean lastCall;

  /** {@code startMs}: Unix time at the loop's zero. */
  MixerHost(Loop loop, Settings terms, Counters counts, double startMs) {
    this.loop = loop;
    this.terms = terms;
    this.counts = counts;
    this.startMs = startMs;
    heldMost = terms.count("PolicyLimits.MostHeld");
    tripsMost = (int) terms.number("PolicyLimits.MaxAttempts", 1);
    zones = List.of(terms.text("Zones").split(","));
    machines = List.of(terms.text("Skus").split(","));
  }

  /** Before the start: with others to hear from. */
  void among(PeerService others) {
    neighbours = others;
  }

  /** From now on it is not ready until it has practised. */
  void practises() {
    practising = true;
  }

  void practised() {
    practising = false;
  }

  /**
   * The mixer starts, and is told the list as it was known in the same turn. That list may be old,
   * so that a mixer that is told changes is ready once discovery has had its word. Guards against
   * sending to searchers that left while this process was down: from its first moment on, what
   * discovery's agent has counts as told.
   */
  void start(Back back, DiscoveryWatch watch, long seed, MemberListUpdate known) {
    this.back = back;
    this.watch = watch;
    mixer = new Mixer(terms.values(), new SplittableRandom(seed), this);
    onUpdate(known);
    String way = terms.text("Discovery");
    if (way.equals("automatic")) {
      watch.open();
    }
    heard = !way.equals("automatic") && !way.equals("subscribe");
    ready = true;
  }

  // ---- what happens ----

  @Override
  public boolean ready() {
    return ready && heard && !practising && endBy == null;
  }

  @Override
  public boolean ending() {
    return lastCall;
  }

  @Override
  public boolean take(Ask ask, Duration since, Reply reply) {
    if (marks.containsKey(ask.mark()) || past.contains(ask.mark())) {
      counts.add("marks sent again", 1);
      return false;
    }
    // with so many open, more are sent back: as in the simulator, the last one taken may go over it
    if (held >= heldMost) {
      counts.add("nacks for a full house", 1);
      reply.nack(Duration.ZERO);
      return true;
    }
    Duration end = since.plus(ask.patience());
    end = endBy != null && endBy.compareTo(end) < 0 ? endBy : end;
    Open scan = new Open(new ScanId(ids++), ask, end, reply);
    List<Part> parts = new ArrayList<>();
    for (Ask.Piece each : ask.pieces()) {
      Piece piece = new Piece(new PartId(ids++), scan, each.shard());
      scan.pieces.add(piece);
      pieces.put(piece.id, piece);
      parts.add(new Part(piece.id, each.shard(), each.share(), each.route()));
    }
    held += 1 + parts.size();
    scans.put(scan.id, scan);
    marks.put(ask.mark(), scan);
    replies.put(reply, scan);
    counts.add("scans taken", 1);
    // whatever becomes of it in the mixer, it is answered by the end of its client's patience
    loop.schedule(scan.end.minus(now()), () -> loop.tell(() -> overdue(scan)));
    Runnable arrival =
        () -> {
          if (!scan.answered) {
            arrive(scan, parts);
          }
        };
    if (heard) {
      loop.tellLast(arrival);
    } else {
      early.add(arrival);
    }
    return true;
  }

  private void arrive(Open scan, List<Part> parts) {
    try {
      mixer.scanArrived(
          scan.id,
          scan.id.number(),
          scan.ask.grade(),
          0,
          scan.ask.repeat(),
          scan.ask.work(),
          scan.end,
          parts);
    } catch (RuntimeException | Error e) {
      overdue(scan);
      throw e;
    }
  }

  /** Guards against a scan that the mixer lost sight of: it is scrapped, which promises nothing. */
  private void overdue(Open scan) {
    if (!scan.answered) {
      counts.add("scans the mixer left open", 1);
      scan.reply.scrap();
      finish(scan);
      loop.tell(() -> mixer.clientLeft(scan.id));
    }
  }

  @Override
  public void left(Reply reply) {
    Open scan = replies.get(reply);
    if (scan != null) {
      counts.add("clients that left", 1);
      finish(scan);
      loop.tell(() -> mixer.clientLeft(scan.id));
    }
  }

  private void finish(Open scan) {
    counts.checkInvariant(!scan.answered, "a scan is answered once");
    scan.answered = true;
    scans.remove(scan.id);
    marks.remove(scan.ask.mark());
    past.add(scan.ask.mark());
    if (past.size() > PAST_MOST) {
      past.remove(past.iterator().next());
    }
    replies.remove(scan.reply);
    // a part that is in is held no longer, as in the simulator
    held -= 1 + (int) scan.pieces.stream().filter(piece -> piece.value == null).count();
    counts.checkInvariant(
        held >= 0 && scans.isEmpty() == (held == 0), "what is held is what is open");
    scan.pieces.forEach(this::withdraw);
    scan.pieces.forEach(this::drop);
  }

  /**
   * What has not begun for a part that is over never does, whatever becomes of what is under way.
   */
  private void withdraw(Piece piece) {
    piece.trips.forEach(back::withdraw);
  }

  private void drop(Piece piece) {
    if (piece.scan.answered && piece.trips.stream().allMatch(Errand::done)) {
      pieces.remove(piece.id);
    }
  }

  @Override
  public void ended(Errand errand, Outcome outcome, float[] load, byte[] value) {
    loop.tell(
        () -> {
          Piece piece = pieces.get(errand.part);
          boolean over = piece == null || piece.scan.answered || piece.value != null;
          if (piece != null && !over && outcome == Outcome.SUCCEEDED) {
            piece.value = value;
            held--;
            over = true;
            withdraw(piece);
          }
          mixer.tripEnded(errand.part, errand.trip, outcome, over, load);
          if (neighbours != null) {
            neighbours.attemptEnded(errand.searcher.address(), outcome);
          }
          if (piece != null) {
            drop(piece);
          }
        });
  }

  @Override
  public void probed(SearcherId searcher, Outcome outcome, Duration taken, float[] load) {
    loop.tell(
        () -> {
          mixer.probeEnded(searcher, outcome, taken, load);
          if (neighbours != null) {
            neighbours.probeEnded(searcher.address(), outcome == Outcome.SUCCEEDED);
          }
        });
  }

  @Override
  public void onUpdate(MemberListUpdate members) {
    List<MemberEntry> lines = new ArrayList<>();
    List<SearcherId> leaving = new ArrayList<>();
    for (MemberListUpdate.Member member : members.members()) {
      SearcherId id = searchers.computeIfAbsent(member.id(), this::newId);
      MemberEntry last = listed.get(id);
      Duration started =
          member.upSinceMs() == 0
              ? null
              : Duration.ofNanos(Math.round((member.upSinceMs() - startMs) * 1e6));
      MemberEntry line =
          member.address() == null && last != null
              ? new MemberEntry(
                  id,
                  last.zone(),
                  last.machine(),
                  last.cell(),
                  member.status(),
                  last.capacity(),
                  last.startedAt())
              : new MemberEntry(
                  id,
                  zones.indexOf(member.locality()),
                  machines.indexOf(member.flavor()),
                  member.cell(),
                  member.status(),
                  member.size(),
                  started);
      lines.add(line);
      listed.put(id, line);
      if (member.address() == null || member.status() == MemberEntry.Status.GONE) {
        back.gone(id);
      } else {
        back.listed(id, member.address(), line.startedAt());
      }
    }
    if (members.complete()) {
      Set<SearcherId> told = new HashSet<>();
      lines.forEach(line -> told.add(line.searcher()));
      leaving.addAll(listed.keySet().stream().filter(id -> !told.contains(id)).toList());
      leaving.forEach(this::forget);
    }
    lines.stream()
        .filter(line -> line.status() == MemberEntry.Status.GONE)
        .map(MemberEntry::searcher)
        .forEach(this::forget);
    loop.tell(() -> mixer.memberListUpdated(lines, members.complete()));
    // told after the list, so that what has not left yet goes elsewhere by it
    leaving.addAll(
        lines.stream()
            .filter(line -> line.status() != MemberEntry.Status.READY)
            .map(MemberEntry::searcher)
            .toList());
    leaving.forEach(back::withhold);
    if (neighbours != null) {
      neighbours.membersChanged(listed.values());
    }
  }

  /** A searcher that has gone gets the same number again if it is listed again. */
  private void forget(SearcherId id) {
    back.gone(id);
    listed.remove(id);
    searchers.values().remove(id);
  }

  /** How many scans, parts and searchers something is kept for. */
  int kept() {
    return scans.size()
        + pieces.size()
        + marks.size()
        + replies.size()
        + searchers.size()
        + listed.size();
  }

  /**
   * The same number at every mixer, and of two names that hash alike the second the next one free.
   */
  private SearcherId newId(String name) {
    long hash = 0xcbf29ce484222325L;
    for (int i = 0; i < name.length(); i++) {
      hash = (hash ^ name.charAt(i)) * 0x100000001b3L;
    }
    while (searchers.containsValue(new SearcherId(hash))) {
      hash++;
    }
    return new SearcherId(hash);
  }

  @Override
  public void onFailure() {
    loop.tell(() -> mixer.memberListFailed());
    onContact();
  }

  @Override
  public void onContact() {
    heard = true;
    early.forEach(loop::tellLast);
    early.clear();
  }

  /** The end is announced: no longer ready, and no answer later than {@code by}. */
  void announceEnd(Duration by) {
    endBy = by;
  }

  /** The end is near: each answer is its connection's last. */
  void lastCall() {
    lastCall = true;
  }

  int open() {
    return scans.size();
  }

  /** Scraps what is still open, since the process ends before the mixer would close it. */
  void scrapAll() {
    for (Open scan : List.copyOf(scans.values())) {
      counts.add("scans scrapped at the end", 1);
      scan.reply.scrap();
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
    Piece piece = pieces.get(part);
    int number = piece == null ? 0 : piece.trips.size();
    Duration until = piece == null ? now() : now().plus(timeOut);
    if (piece != null && until.compareTo(piece.scan.end) > 0) {
      until = piece.scan.end;
    }
    Ask ask = piece == null ? null : piece.scan.ask;
    Errand errand =
        new Errand(
            part,
            number,
            searcher,
            piece == null ? "" : ask.mark() + '.' + piece.shard,
            piece == null ? 0 : piece.shard,
            piece == null ? null : ask.key(),
            piece == null ? null : ask.text(),
            until,
            startWithin == null ? null : now().plus(startWithin));
    boolean over =
        piece == null
            || piece.scan.answered
            || piece.value != null
            || piece.trips.size() >= tripsMost
            || until.compareTo(now()) <= 0;
    counts.checkInvariant(!over, "a trip is for a part that is not over");
    if (piece != null) {
      if (startWithin != null) {
        // whichever of them begins first, the others are repeats of it
        piece.trips.forEach(earlier -> earlier.beginBy(now().plus(startWithin)));
      }
      piece.trips.add(errand);
    }
    if (over) {
      back.withdraw(errand);
    } else {
      back.send(errand);
    }
  }

  @Override
  public void cancel(PartId part, int trip) {
    Piece piece = pieces.get(part);
    if (piece != null && trip < piece.trips.size()) {
      back.recall(piece.trips.get(trip));
    }
  }

  @Override
  public void answer(ScanId id, boolean whole) {
    Open scan = scans.get(id);
    if (scan == null) {
      return;
    }
    Map<Integer, byte[]> values = new LinkedHashMap<>();
    for (Piece piece : scan.pieces) {
      if (piece.value != null) {
        values.put(piece.shard, piece.value);
      }
    }
    counts.checkInvariant(!values.isEmpty(), "an answer has values");
    counts.add(whole ? "whole answers" : "partial answers", 1);
    scan.reply.answer(whole, values);
    finish(scan);
  }

  @Override
  public void reject(ScanId id, Duration comeBack) {
    Open scan = scans.get(id);
    if (scan != null) {
      counts.add("nacks", 1);
      scan.reply.nack(comeBack);
      finish(scan);
    }
  }

  @Override
  public void fail(ScanId id) {
    Open scan = scans.get(id);
    if (scan != null) {
      counts.add("scraps", 1);
      scan.reply.scrap();
      finish(scan);
    }
  }

  @Override
  public void probe(SearcherId searcher) {
    if (neighbours != null) {
      neighbours.probeStarted(searcher.address());
    }
    back.probe(searcher);
  }

  @Override
  public boolean shouldProbe(SearcherId searcher) {
    return neighbours == null || neighbours.shouldProbe(searcher.address());
  }

  @Override
  public double reportedFailureShare(SearcherId searcher) {
    return neighbours == null ? 0 : neighbours.failureShare(searcher.address());
  }

  @Override
  public boolean isPreferred(SearcherId searcher) {
    return neighbours == null || neighbours.prefers(searcher.address());
  }

  @Override
  public void searcherEjected(SearcherId searcher) {
    if (neighbours != null) {
      neighbours.ejected(searcher.address());
    }
  }

  /** Another mixer had an answer of a searcher that this one may have benched. */
  void othersHeard(long searcher) {
    loop.tell(() -> mixer.peerReceivedAnswer(new SearcherId(searcher)));
  }

  @Override
  public void closeIdleConnections(SearcherId searcher) {
    back.closeIdle(searcher);
  }

  @Override
  public void watchMemberList(boolean on) {
    loop.tell(on ? watch::open : watch::close);
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
    loop.schedule(span, () -> loop.tell(() -> mixer.timerFired(wake)));
  }

  @Override
  public void log(String line) {
    LOG.info(line);
  }
}
