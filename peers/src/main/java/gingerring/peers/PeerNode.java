package gingerring.peers;

import gingerring.share.MixerId;
import gingerring.share.TurnOrder;
import gingerring.share.TurnSchedule;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * One mixer among its peers: who they are ({@link Membership}), what they say and how much it
 * weighs ({@link PeerReports}, {@link ReportAggregator}), and whose turn it is to ask a benched box
 * for all ({@link TurnSchedule}). Its owner calls {@link #start} once, {@link #tick} ten times a
 * second, {@link #received} for each datagram, {@link #attemptEnded}, {@link #ejected}, {@link
 * #probeStarted} and {@link #probeEnded} for what the mixer meets, and asks {@link #shouldProbe}
 * and {@link #failureShare} when the mixer wants to know; it acts by {@link Host}.
 *
 * <p>Nothing that others say is an order. A note that a box has answered lets this mixer ask it
 * too, sooner than it would have; a word that a box fails shortens how long its silence is borne.
 * What any one peer can move is so much and no more, and with nobody heard every answer is what it
 * would be without peers.
 *
 * <p>Bounds: as of its parts; {@link Rules#maxBoxes} boxes in hand; one note a box is passed on,
 * the newest; and {@link Rules#maxBytesPerSecond} sent at the most.
 */
public final class PeerNode {
  /** How it acts, and the clock. */
  public interface Host {
    /** Time since the start of this mixer. */
    Duration now();

    /** Sends a datagram, which may be lost. */
    void send(PeerAddress recipient, byte[] datagram);

    /** Another mixer had an answer of a benched box: it may be asked. */
    void boxAnswered(long box);

    /** A peer came, went or is in doubt. */
    void peerChanged(PeerRecord record);

    /** What to answer an operator who asks. */
    default String answerQuery(MessageBody.Query query) {
      return "";
    }
  }

  /**
   * {@code zone}: where this mixer stands, -1 where that is not told; {@code sayEvery} and {@code
   * sayTo}: how often its word goes out, and to how many drawn by chance; {@code sees}: what span a
   * word tells of; {@code believes}: how long one counts; {@code witnesses}: how many are needed,
   * see {@link ReportAggregator} (2f + 1 stand against f that lie together); {@code roundEvery} and
   * {@code roundStep}: the rota of asks; {@code bytesPerSecond}: the ceiling.
   */
  public record Settings(
      Membership.Settings membership,
      int zone,
      Duration reportPeriod,
      int reportFanout,
      Duration observationSpan,
      Duration reportLifetime,
      int minWitnesses,
      Duration roundPeriod,
      Duration roundStep,
      int maxBoxes,
      int maxBytesPerSecond) {
    public Settings {
      if (reportPeriod.isZero()
          || reportPeriod.isNegative()
          || reportFanout < 0
          || maxBoxes < 1
          || reportLifetime.compareTo(reportPeriod) <= 0) {
        throw new IllegalArgumentException(
            "a word each "
                + reportPeriod
                + " to "
                + reportFanout
                + ", believed for "
                + reportLifetime
                + ", of "
                + maxBoxes
                + " boxes");
      }
    }

    public static Settings defaults() {
      return new Settings(
          Membership.Settings.defaults(),
          -1,
          Duration.ofSeconds(1),
          3,
          Duration.ofSeconds(5),
          Duration.ofSeconds(10),
          7,
          Duration.ofSeconds(2),
          Duration.ofMillis(250),
          512,
          16_384);
    }
  }

  /** What happened, by cause. */
  public enum Count {
    /** Letters sent, and taken. */
    SENT,
    TAKEN,
    /** Not proved, or no letter. */
    REFUSED,
    /** Came before, far behind, or of an earlier life. */
    REPEATED,
    /** Not sent for the ceiling. */
    OVER_CEILING,
    /** Words taken, and not. */
    WORDS,
    WORDS_DROPPED,
    /** Notes believed, and not. */
    NOTES,
    NOTES_DISBELIEVED,
    /** Of boxes that no list names. */
    STRANGE_BOX,
    /** Asked a box for all. */
    ASKED,
    /** Asked one on another's word, in vain. */
    MISLED
  }

  private static final double MIN_WITNESS_PARTS = 1;
  private static final double REPORTS_WEIGHT_PARTS = 4;
  private static final double MAX_DEMAND_RATIO = 4;
  private static final int MAX_UPDATES = 6;
  private static final int MAX_NOTICES = 4;
  private static final int NOTICE_FANOUT = 3;
  private static final double NOTICE_RETRANSMIT_FACTOR = 4;

  /** So much later asks of their own each further mixer draws, after one had an answer. */
  private static final Duration PROBE_SPREAD_STEP = Duration.ofMillis(5);

  /**
   * A box of which others see less fail is sound; how often their words alone may lead to an ask.
   */
  private static final double HEALTHY_FAILURE_SHARE = 0.5;

  private static final Duration REPORT_PROBE_INTERVAL = Duration.ofSeconds(5);

  /**
   * How long who was wrong of an answer is not believed in one: an honest one may be wrong of a box
   * that falls.
   */
  private static final Duration DISTRUST_TIME = Duration.ofSeconds(10);

  private static final int MAX_DISTRUST_DOUBLINGS = 8;

  /** What a bench for silence counts for in one's word, in parts that failed. */
  private static final double EJECTION_FAILED_PARTS = 3;

  /** A box that this mixer asks about, or hears of. */
  private static final class ProbeState {
    final TurnSchedule schedule;

    /** From when on it may ask by itself since another had an answer; null where none had. */
    Duration probeAllowedAt;

    /** The round that it acts for, while its ask is out. */
    Long pendingRound;

    /** Whose note was believed last. */
    ProbeNotice lastNotice;

    /** Whose word of an answer the ask that is out goes by; null where it is a turn. */
    PeerId answerSource;

    /** When others' words may next lead to an ask. */
    Duration nextReportProbeAt = Duration.ZERO;

    ProbeState(TurnSchedule schedule) {
      this.schedule = schedule;
    }
  }

  private record Distrust(Duration until, int doublings) {}

  private final PeerId self;
  private final long incarnation;
  private final Settings settings;
  private final Host host;
  private final MessageCodec codec;
  private final Membership membership;
  private final ReplayFilter replayFilter;
  private final PeerReports reports;
  private final ReportAggregator aggregator;
  private final ObservationWindow observations;
  private final BandwidthLimiter limiter;
  private final GossipQueue<Long, ProbeNotice> notices;
  private final Map<Long, ProbeState> probeStates = new LinkedHashMap<>(16, 0.75f, true);

  /**
   * Who said of a box that it answers, and it did not: until when nothing of that is believed, and
   * how often.
   */
  private final Map<PeerId, Distrust> distrusted = new LinkedHashMap<>();

  private final Map<Count, Long> counts = new TreeMap<>();
  private Set<Long> listedBoxes = Set.of();
  private long lastMessageNumber;
  private Duration nextReportAt = Duration.ZERO;
  private long bytesSent;

  /** {@code life}: Unix time in milliseconds at which {@link Host#now} was zero. */
  public PeerNode(
      PeerId self,
      PeerAddress ownAddress,
      long incarnation,
      Settings settings,
      MessageAuthenticator authenticator,
      RandomGenerator random,
      Host host) {
    this.self = self;
    this.incarnation = incarnation;
    this.settings = settings;
    this.host = host;
    codec = new MessageCodec(authenticator);
    replayFilter = new ReplayFilter(2 * settings.membership.maxPeers());
    reports =
        new PeerReports(
            self,
            settings.membership.maxPeers(),
            MessageCodec.maxBoxes(0, 0),
            settings.reportPeriod.dividedBy(2),
            settings.reportLifetime);
    aggregator =
        new ReportAggregator(
            settings.minWitnesses, MIN_WITNESS_PARTS, REPORTS_WEIGHT_PARTS, MAX_DEMAND_RATIO);
    observations = new ObservationWindow(settings.observationSpan, settings.maxBoxes);
    limiter = new BandwidthLimiter(settings.maxBytesPerSecond);
    notices = new GossipQueue<>(settings.maxBoxes, NOTICE_RETRANSMIT_FACTOR);
    membership =
        new Membership(
            self,
            ownAddress,
            incarnation,
            settings.membership,
            random,
            new Membership.Host() {
              @Override
              public Duration now() {
                return host.now();
              }

              @Override
              public void send(PeerAddress recipient, MessageBody body) {
                PeerNode.this.send(recipient, body, false);
              }

              @Override
              public void peerChanged(PeerRecord now) {
                if (now.state()
                    == PeerRecord.State
                        .LEFT) { // what one who is gone said ages by itself: it may be back
                  reports.peerLeft(now.peer(), now.incarnation(), host.now());
                }
                host.peerChanged(now);
              }
            });
  }

  public void start(List<PeerAddress> seeds) {
    membership.start(seeds);
  }

  /** Time has passed. */
  public void tick() {
    membership.tick();
    Duration now = host.now();
    if (now.compareTo(nextReportAt) >= 0) {
      nextReportAt = now.plus(settings.reportPeriod);
      PeerReport report =
          new PeerReport(
              self,
              incarnation,
              lastMessageNumber,
              settings.zone,
              observations.demand(now),
              observations.mostRelevant(MessageCodec.maxBoxes(MAX_UPDATES, MAX_NOTICES), now));
      membership
          .randomPeers(settings.reportFanout)
          .forEach(peer -> send(peer.address(), new MessageBody.Report(report), true));
    }
  }

  private void send(PeerAddress recipient, MessageBody body, boolean lowPriority) {
    if (membership.isSuperseded()) {
      return;
    }
    int maxUpdates = MessageCodec.maxUpdates(body);
    List<ProbeNotice> sentNotices =
        maxUpdates < 2 * MAX_NOTICES
            ? List.of()
            : notices.take(MAX_NOTICES, membership.present().size() + 1);
    List<PeerRecord> updates =
        membership.takeUpdates(Math.min(MAX_UPDATES, maxUpdates - sentNotices.size()));
    byte[] datagram =
        codec.encode(
            new PeerMessage(self, incarnation, ++lastMessageNumber, body, updates, sentNotices));
    if (!limiter.tryTake(datagram.length, lowPriority, host.now())) {
      count(Count.OVER_CEILING);
      return;
    }
    bytesSent += datagram.length;
    count(Count.SENT);
    host.send(recipient, datagram);
  }

  /** A datagram has come. */
  public void received(PeerAddress from, byte[] datagram) {
    PeerMessage message;
    try {
      message = codec.decode(datagram);
    } catch (MessageCodec.InvalidMessage e) {
      count(Count.REFUSED);
      return;
    }
    if (message.author().equals(self) && message.incarnation() == incarnation
        || !replayFilter.accept(message.author(), message.incarnation(), message.number())) {
      count(Count.REPEATED);
      return;
    }
    count(Count.TAKEN);
    membership.messageReceived(
        message.author(), message.incarnation(), from, message.body(), message.updates());
    if (message.body() instanceof MessageBody.Report reportBody) {
      count(
          reports.accept(reportBody.report(), host.now()) == PeerReports.Verdict.TAKEN
              ? Count.WORDS
              : Count.WORDS_DROPPED);
    } else if (message.body() instanceof MessageBody.Query query) {
      send(from, new MessageBody.Reply(host.answerQuery(query)), true);
    }
    message.notices().forEach(this::noticeReceived);
  }

  /** A note that came, perhaps by others: believed only of one whose turn had come. */
  private void noticeReceived(ProbeNotice notice) {
    if (notice.author().equals(self)) {
      return;
    }
    if (!listedBoxes.contains(notice.box())) {
      count(Count.STRANGE_BOX);
      return;
    }
    ProbeState state = probeState(notice.box());
    long rejectedBefore = state.schedule.rejectedClaims();
    // who had asked in this round has had its answer
    boolean answersLastNotice =
        notice.answered()
            && state.lastNotice != null
            && !state.lastNotice.answered()
            && state.lastNotice.author().equals(notice.author())
            && state.lastNotice.round() == notice.round();
    boolean currentIncarnation = notice.incarnation() == membership.incarnation(notice.author());
    if (!currentIncarnation
        || !answersLastNotice
            && !state.schedule.receiveClaim(
                mixerId(notice.author()), notice.round(), mixers(), wallClock())) {
      if (!currentIncarnation || state.schedule.rejectedClaims() > rejectedBefore) {
        count(Count.NOTES_DISBELIEVED);
      }
      return;
    }
    state.lastNotice = notice;
    count(Count.NOTES);
    Distrust authorDistrust = distrusted.get(notice.author());
    if (notice.answered()
        && (authorDistrust == null || authorDistrust.until.compareTo(host.now()) <= 0)) {
      state.answerSource = notice.author();
      // all are to ask it now, and not all in one moment
      Duration delay =
          new TurnOrder(mixerId(self), PROBE_SPREAD_STEP)
              .randomDelay(notice.box(), notice.round(), mixers().size());
      state.probeAllowedAt = host.now().plus(delay);
      host.boxAnswered(notice.box());
    }
    sendNotice(notice);
  }

  /**
   * News that does not bear waiting for the next letter: to some at once, each of whom does the
   * same.
   */
  private void sendNotice(ProbeNotice notice) {
    notices.add(notice.box(), notice);
    membership
        .randomPeers(NOTICE_FANOUT)
        .forEach(peer -> send(peer.address(), new MessageBody.Empty(), false));
  }

  private ProbeState probeState(long box) {
    ProbeState state = probeStates.get(box);
    if (state == null) {
      if (probeStates.size() >= settings.maxBoxes) {
        probeStates.remove(probeStates.keySet().iterator().next());
      }
      state =
          new ProbeState(
              new TurnSchedule(mixerId(self), box, settings.roundPeriod, settings.roundStep));
      probeStates.put(box, state);
    }
    return state;
  }

  private static MixerId mixerId(PeerId peer) {
    return new MixerId(peer.number());
  }

  private Collection<MixerId> mixers() {
    List<MixerId> mixers = new ArrayList<>();
    membership.present().forEach(peer -> mixers.add(mixerId(peer)));
    mixers.add(mixerId(self));
    return mixers;
  }

  private Duration wallClock() {
    return host.now().plusMillis(incarnation);
  }

  // ---- what the mixer meets, and what it asks ----

  /** Discovery's list: of other boxes nothing is taken in. */
  public void boxesListed(Collection<Long> boxes) {
    listedBoxes = new HashSet<>(boxes);
    probeStates.keySet().retainAll(listedBoxes);
  }

  /** A trip ended: answered, or failed in a way that tells against the box. */
  public void attemptEnded(long box, boolean answered) {
    observations.add(box, answered ? 1 : 0, answered ? 0 : 1, host.now());
  }

  /** This mixer has benched a box, as it is silent. */
  public void ejected(long box) {
    observations.add(box, 0, EJECTION_FAILED_PARTS, host.now());
  }

  /**
   * Whether this mixer may ask a benched box now: where its turn has come and nobody was heard to
   * have asked in this round, or another had an answer. Alone, always.
   */
  public boolean shouldProbe(long box) {
    List<PeerId> present = membership.present();
    if (present.isEmpty() || membership.isSuperseded()) {
      return true;
    }
    ProbeState state = probeState(box);
    if (state.probeAllowedAt != null) {
      return state.probeAllowedAt.compareTo(host.now()) <= 0;
    }
    // a note may have been missed: then others' words tell that they are served there
    if (host.now().compareTo(state.nextReportProbeAt) >= 0 && servesOthers(box)) {
      return true;
    }
    return state.schedule.nextTurn(mixers(), wallClock()).compareTo(wallClock()) <= 0;
  }

  private boolean servesOthers(long box) {
    return aggregator.failureShare(box, new BoxObservation(0, 0), reports.current(host.now()))
        < HEALTHY_FAILURE_SHARE;
  }

  /** This mixer asks a benched box now. */
  public void probeStarted(long box) {
    ProbeState state = probeState(box);
    if (state.probeAllowedAt == null) {
      state.answerSource = null;
    }
    state.probeAllowedAt = null;
    state.nextReportProbeAt = host.now().plus(REPORT_PROBE_INTERVAL);
    state.pendingRound = state.schedule.claimRound(wallClock());
    count(Count.ASKED);
    sendNotice(new ProbeNotice(self, incarnation, box, state.pendingRound, false));
  }

  /** What came of it. */
  public void probeEnded(long box, boolean answered) {
    ProbeState state = probeStates.get(box);
    if (state != null && state.pendingRound != null) {
      if (answered) {
        sendNotice(new ProbeNotice(self, incarnation, box, state.pendingRound, true));
      } else if (state.answerSource != null) {
        distrust(state.answerSource);
      }
      state.answerSource = null;
      state.pendingRound = null;
    }
  }

  /**
   * Who says falsely that a box answers is not believed in it for a while, twice as long each time.
   */
  private void distrust(PeerId author) {
    Distrust previous = distrusted.remove(author);
    int doublings = previous == null ? 0 : Math.min(previous.doublings + 1, MAX_DISTRUST_DOUBLINGS);
    if (distrusted.size() >= settings.maxBoxes) {
      distrusted.remove(distrusted.keySet().iterator().next());
    }
    distrusted.put(
        author,
        new Distrust(host.now().plus(DISTRUST_TIME.multipliedBy(1L << doublings)), doublings));
    count(Count.MISLED);
  }

  /**
   * The share of a box's parts that fail as others see it: 0 where too few tell, or nothing does.
   */
  public double failureShare(long box) {
    double failureShare =
        aggregator.failureShare(box, new BoxObservation(0, 0), reports.current(host.now()));
    return Double.isNaN(failureShare) ? 0 : failureShare;
  }

  /** Parts a second that the whole fleet's clients ask for, as far as it is heard. */
  public double fleetDemand() {
    return aggregator.totalDemand(observations.demand(host.now()), reports.current(host.now()));
  }

  /** Parts a second that this mixer's own clients ask for. */
  public double ownDemand() {
    return observations.demand(host.now());
  }

  /** What this mixer saw of a box, as its next word would tell it. */
  public BoxObservation ownObservation(long box) {
    return observations.observation(box, host.now());
  }

  /** The words that count now. */
  public List<PeerReports.TimedReport> reports() {
    return reports.current(host.now());
  }

  /** It ends on purpose. */
  public void leave() {
    membership.leave();
  }

  /**
   * Which asks of a box are told, and by whom last: a line for operators; empty where none is in
   * hand.
   */
  public String describeTurn(long box) {
    ProbeState state = probeStates.get(box);
    if (state == null) {
      return "";
    }
    Duration untilTurn = state.schedule.nextTurn(mixers(), wallClock()).minus(wallClock());
    return "own turn in "
        + untilTurn.toMillis()
        + " ms"
        + (state.lastNotice == null
            ? ""
            : ", last asked by "
                + Long.toHexString(state.lastNotice.author().number())
                + (state.lastNotice.answered() ? ": answered" : ": no answer yet"));
  }

  public Membership membership() {
    return membership;
  }

  /** Bytes sent so far, without those of the datagrams' own heads. */
  public long bytesSent() {
    return bytesSent;
  }

  public Map<Count, Long> counts() {
    return new HashMap<>(counts);
  }

  private void count(Count cause) {
    counts.merge(cause, 1L, Long::sum);
  }
}
