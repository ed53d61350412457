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
 * One mixer among its peers: group membership ({@link Membership}), load reports and their
 * aggregation ({@link PeerReports}, {@link ReportAggregator}), and the turns in which mixers probe
 * an ejected box on behalf of all ({@link TurnSchedule}). The owner calls {@link #start} once,
 * {@link #tick} ten times a second, {@link #received} for each datagram, {@link #attemptEnded},
 * {@link #ejected}, {@link #probeStarted} and {@link #probeEnded} for events of the mixer, and
 * {@link #shouldProbe} and {@link #failureShare} for decisions; the class acts through {@link
 * Host}.
 *
 * <p>Messages of peers are never commands. A notice that a box has answered lets this mixer probe
 * that box sooner than it would have; a report that a box fails shortens how long the mixer waits
 * for that box. The influence of any one peer is bounded, and without peers every answer is the
 * same as without this class.
 *
 * <p>Bounds: those of the classes it uses; {@link Settings#maxBoxes} boxes with a probe state; one
 * notice of a box is gossiped, the newest; and {@link Settings#maxBytesPerSecond} sent at most.
 */
public final class PeerNode {
  /** Transport, clock and listener of a node. */
  public interface Host {
    /** Returns the time since the start of this mixer. */
    Duration now();

    /** Sends a datagram, which may be lost. */
    void send(PeerAddress recipient, byte[] datagram);

    /** Another mixer has received an answer of an ejected box, so this mixer may probe it. */
    void boxAnswered(long box);

    /** Called when a peer becomes known, changes its state or restarts. */
    void peerChanged(PeerRecord record);

    /** Answers an operator's query. */
    default String answerQuery(MessageBody.Query query) {
      return "";
    }
  }

  /**
   * {@code zone}: the mixer's zone, -1 where unknown; {@code reportPeriod} and {@code
   * reportFanout}: how often a report is sent, and to how many randomly drawn peers; {@code
   * observationSpan}: the time that a report covers; {@code reportLifetime}: how long a report
   * counts; {@code minWitnesses}: see {@link ReportAggregator} (2f + 1 withstand f that lie
   * together); {@code roundPeriod} and {@code roundStep}: the schedule of probes; {@code maxBoxes}:
   * the most boxes observed and probed; {@code maxBytesPerSecond}: the limit on bytes sent.
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
            "a report every "
                + reportPeriod
                + " to "
                + reportFanout
                + " peers, valid for "
                + reportLifetime
                + ", about up to "
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

  /** Counted events; the names of the constants are printed. */
  public enum Count {
    /** Messages sent. */
    SENT,
    /** Messages accepted. */
    TAKEN,
    /** Messages not authenticated, or malformed. */
    REFUSED,
    /** Messages repeated, too far behind the newest, or of an earlier incarnation. */
    REPEATED,
    /** Messages not sent because of the byte limit. */
    OVER_CEILING,
    /** Reports accepted. */
    WORDS,
    /** Reports rejected. */
    WORDS_DROPPED,
    /** Probe notices accepted. */
    NOTES,
    /** Probe notices rejected. */
    NOTES_DISBELIEVED,
    /** Probe notices of boxes that are not on the member list. */
    STRANGE_BOX,
    /** Probes that this mixer sent to an ejected box on behalf of all mixers. */
    ASKED,
    /**
     * Probes of this mixer that a box did not answer although another mixer had announced an answer
     * from the box.
     */
    MISLED
  }

  private static final double MIN_WITNESS_PARTS = 1;
  private static final double REPORTS_WEIGHT_PARTS = 4;
  private static final double MAX_DEMAND_RATIO = 4;
  private static final int MAX_UPDATES = 6;
  private static final int MAX_NOTICES = 4;
  private static final int NOTICE_FANOUT = 3;
  private static final double NOTICE_RETRANSMIT_FACTOR = 4;

  /**
   * After one mixer has had an answer from an ejected box, the other mixers probe the box at random
   * times, on average one mixer in each step of this length.
   */
  private static final Duration PROBE_SPREAD_STEP = Duration.ofMillis(5);

  /**
   * A box whose reported failure share is below this is considered healthy; {@link
   * #REPORT_PROBE_INTERVAL} is how often reports alone may lead to a probe.
   */
  private static final double HEALTHY_FAILURE_SHARE = 0.5;

  private static final Duration REPORT_PROBE_INTERVAL = Duration.ofSeconds(5);

  /**
   * For how long this mixer ignores another mixer's notices that a box has answered, after such a
   * notice proved wrong for the first time; each further wrong notice doubles the time. The time is
   * short at first because an honest mixer may be wrong about a box that is just failing.
   */
  private static final Duration DISTRUST_TIME = Duration.ofSeconds(10);

  private static final int MAX_DISTRUST_DOUBLINGS = 8;

  /** The number of failed parts that the ejection of a silent box counts as in a report. */
  private static final double EJECTION_FAILED_PARTS = 3;

  /**
   * State of the probes of one ejected box: those that this mixer sends, and those that other
   * mixers announce by a {@link ProbeNotice}, which says that the author has probed the box on
   * behalf of all mixers and whether the box answered.
   */
  private static final class ProbeState {
    final TurnSchedule schedule;

    /**
     * From when on this mixer may probe the box because another mixer reported an answer from the
     * box; null if none did.
     */
    Duration probeAllowedAt;

    /**
     * The round of {@link #schedule} in which this mixer sent the probe that is pending; null while
     * no probe is pending.
     */
    Long pendingRound;

    /** The notice of the box that this mixer accepted most recently. */
    ProbeNotice lastNotice;

    /**
     * The mixer whose notice of an answer led to the pending probe; null where the probe is by
     * turn.
     */
    PeerId answerSource;

    /** From when on load reports of other mixers may again lead this mixer to probe the box. */
    Duration nextReportProbeAt = Duration.ZERO;

    ProbeState(TurnSchedule schedule) {
      this.schedule = schedule;
    }
  }

  private record Distrust(Duration endsAt, int doublings) {}

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
   * Mixers that announced an answer of a box that then did not answer: until when their notices of
   * answers are ignored, and how often that has happened.
   */
  private final Map<PeerId, Distrust> distrusted = new LinkedHashMap<>();

  private final Map<Count, Long> counts = new TreeMap<>();
  private Set<Long> listedBoxes = Set.of();
  private long lastMessageNumber;
  private Duration nextReportAt = Duration.ZERO;
  private long bytesSent;

  /** {@code incarnation}: Unix time in milliseconds at which {@link Host#now} was zero. */
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
                // reports of a mixer that is gone expire by themselves, as it may return
                if (now.state() == PeerRecord.State.LEFT) {
                  reports.peerLeft(now.peer(), now.incarnation(), host.now());
                }
                host.peerChanged(now);
              }
            });
  }

  public void start(List<PeerAddress> seeds) {
    membership.start(seeds);
  }

  /**
   * Runs the membership's timeouts, and sends a report when one is due; to be called ten times a
   * second.
   */
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
    int availableUpdates = MessageCodec.maxUpdates(body);
    List<ProbeNotice> sentNotices =
        availableUpdates < 2 * MAX_NOTICES
            ? List.of()
            : notices.take(MAX_NOTICES, membership.present().size() + 1);
    List<PeerRecord> updates =
        membership.takeUpdates(Math.min(MAX_UPDATES, availableUpdates - sentNotices.size()));
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

  /** Handles a received datagram. */
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

  /**
   * Handles a probe notice, perhaps forwarded by others: accepted only from a mixer whose turn has
   * come.
   */
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
    // the mixer that probed in this round has received its answer
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
        && (authorDistrust == null || authorDistrust.endsAt.compareTo(host.now()) <= 0)) {
      state.answerSource = notice.author();
      // all mixers probe the box now, but not at the same moment
      Duration delay =
          new TurnOrder(mixerId(self), PROBE_SPREAD_STEP)
              .randomDelay(notice.box(), notice.round(), mixers().size());
      state.probeAllowedAt = host.now().plus(delay);
      host.boxAnswered(notice.box());
    }
    sendNotice(notice);
  }

  /**
   * Gossips a notice at once instead of with the next message: sends it to a few peers, each of
   * which does the same.
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

  // ---- events of the mixer, and its queries ----

  /** Sets the boxes that discovery lists; notices of other boxes are ignored. */
  public void boxesListed(Collection<Long> boxes) {
    listedBoxes = new HashSet<>(boxes);
    probeStates.keySet().retainAll(listedBoxes);
  }

  /** Records the end of a trip: answered, or failed in a way that speaks against the box. */
  public void attemptEnded(long box, boolean answered) {
    observations.add(box, answered ? 1 : 0, answered ? 0 : 1, host.now());
  }

  /** Records that this mixer has ejected a silent box. */
  public void ejected(long box) {
    observations.add(box, 0, EJECTION_FAILED_PARTS, host.now());
  }

  /**
   * Whether this mixer may probe an ejected box now: its turn has come and no other mixer is known
   * to have probed in this round, or another mixer had an answer. Without peers it always may.
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
    // a notice may have been lost: the reports of others then show that the box serves them
    if (host.now().compareTo(state.nextReportProbeAt) >= 0 && servesOthers(box)) {
      return true;
    }
    return state.schedule.nextTurn(mixers(), wallClock()).compareTo(wallClock()) <= 0;
  }

  private boolean servesOthers(long box) {
    return aggregator.failureShare(box, new BoxObservation(0, 0), reports.current(host.now()))
        < HEALTHY_FAILURE_SHARE;
  }

  /** Records that this mixer probes an ejected box now, and notifies the peers. */
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

  /** Records the result of a probe, and notifies the peers of an answer. */
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
   * Ignores the author's notices of answers for a while: {@link #DISTRUST_TIME} at first, twice as
   * long at each further call up to a limit.
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
   * The share of a box's parts that fail as reported by the peers; 0 where too few of them report
   * the box.
   */
  public double failureShare(long box) {
    double failureShare =
        aggregator.failureShare(box, new BoxObservation(0, 0), reports.current(host.now()));
    return Double.isNaN(failureShare) ? 0 : failureShare;
  }

  /** Parts per second that the clients of the whole fleet request, as far as reported. */
  public double fleetDemand() {
    return aggregator.totalDemand(observations.demand(host.now()), reports.current(host.now()));
  }

  /** Parts per second that this mixer's own clients request. */
  public double ownDemand() {
    return observations.demand(host.now());
  }

  /** This mixer's own observation of a box, as its next report would state it. */
  public BoxObservation ownObservation(long box) {
    return observations.observation(box, host.now());
  }

  /** The reports that have not expired. */
  public List<PeerReports.TimedReport> reports() {
    return reports.current(host.now());
  }

  /** Leaves the group. */
  public void leave() {
    membership.leave();
  }

  /**
   * Describes this mixer's next turn to probe a box and the last notice of it, as a line for
   * operators; empty if the box has no probe state.
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

  /** Bytes sent so far, without the datagrams' own headers. */
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
