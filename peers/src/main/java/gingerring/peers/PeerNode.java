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
    void send(PeerAddress to, byte[] letter);

    /** Another mixer had an answer of a benched box: it may be asked. */
    void boxAnswered(long box);

    /** A peer came, went or is in doubt. */
    void peerChanged(PeerRecord now);

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

  private static final double PARTS_LEAST = 1;
  private static final double LENT = 4;
  private static final double DEMAND_MOST = 4;
  private static final int NEWS = 6;
  private static final int NOTES = 4;
  private static final int PASS_TO = 3;
  private static final double NOTES_PASSED_ON = 4;

  /** So much later asks of their own each further mixer draws, after one had an answer. */
  private static final Duration AFTER_ANSWER = Duration.ofMillis(5);

  /**
   * A box of which others see less fail is sound; how often their words alone may lead to an ask.
   */
  private static final double SOUND = 0.5;

  private static final Duration BY_WORDS = Duration.ofSeconds(5);

  /**
   * How long who was wrong of an answer is not believed in one: an honest one may be wrong of a box
   * that falls.
   */
  private static final Duration MISLED = Duration.ofSeconds(10);

  private static final int MISLED_DOUBLED = 8;

  /** What a bench for silence counts for in one's word, in parts that failed. */
  private static final double SILENCE_PARTS = 3;

  /** A box that this mixer asks about, or hears of. */
  private static final class ProbeState {
    final TurnSchedule rota;

    /** From when on it may ask by itself since another had an answer; null where none had. */
    Duration answered;

    /** The round that it acts for, while its ask is out. */
    Long round;

    /** Whose note was believed last. */
    ProbeNotice last;

    /** Whose word of an answer the ask that is out goes by; null where it is a turn. */
    PeerId onWordOf;

    /** When others' words may next lead to an ask. */
    Duration byWords = Duration.ZERO;

    ProbeState(TurnSchedule rota) {
      this.rota = rota;
    }
  }

  private record Distrust(Duration until, int times) {}

  private final PeerId self;
  private final long life;
  private final Settings rules;
  private final Host host;
  private final MessageCodec letters;
  private final Membership membership;
  private final ReplayFilter numbers;
  private final PeerReports words;
  private final ReportAggregator hearsay;
  private final ObservationWindow sight;
  private final BandwidthLimiter budget;
  private final GossipQueue<Long, ProbeNotice> notes;
  private final Map<Long, ProbeState> matters = new LinkedHashMap<>(16, 0.75f, true);

  /**
   * Who said of a box that it answers, and it did not: until when nothing of that is believed, and
   * how often.
   */
  private final Map<PeerId, Distrust> misled = new LinkedHashMap<>();

  private final Map<Count, Long> counts = new TreeMap<>();
  private Set<Long> listed = Set.of();
  private long number;
  private Duration sayNext = Duration.ZERO;
  private long bytesSent;

  /** {@code life}: Unix time in milliseconds at which {@link Host#now} was zero. */
  public PeerNode(
      PeerId self,
      PeerAddress here,
      long life,
      Settings rules,
      MessageAuthenticator seal,
      RandomGenerator chance,
      Host host) {
    this.self = self;
    this.life = life;
    this.rules = rules;
    this.host = host;
    letters = new MessageCodec(seal);
    numbers = new ReplayFilter(2 * rules.membership.maxPeers());
    words =
        new PeerReports(
            self,
            rules.membership.maxPeers(),
            MessageCodec.boxes(0, 0),
            rules.reportPeriod.dividedBy(2),
            rules.reportLifetime);
    hearsay = new ReportAggregator(rules.minWitnesses, PARTS_LEAST, LENT, DEMAND_MOST);
    sight = new ObservationWindow(rules.observationSpan, rules.maxBoxes);
    budget = new BandwidthLimiter(rules.maxBytesPerSecond);
    notes = new GossipQueue<>(rules.maxBoxes, NOTES_PASSED_ON);
    membership =
        new Membership(
            self,
            here,
            life,
            rules.membership,
            chance,
            new Membership.Host() {
              @Override
              public Duration now() {
                return host.now();
              }

              @Override
              public void send(PeerAddress to, MessageBody body) {
                PeerNode.this.send(to, body, false);
              }

              @Override
              public void peerChanged(PeerRecord now) {
                if (now.state()
                    == PeerRecord.State
                        .LEFT) { // what one who is gone said ages by itself: it may be back
                  words.peerLeft(now.peer(), now.incarnation(), host.now());
                }
                host.peerChanged(now);
              }
            });
  }

  public void start(List<PeerAddress> places) {
    membership.start(places);
  }

  /** Time has passed. */
  public void tick() {
    membership.tick();
    Duration now = host.now();
    if (now.compareTo(sayNext) >= 0) {
      sayNext = now.plus(rules.reportPeriod);
      PeerReport word =
          new PeerReport(
              self,
              life,
              number,
              rules.zone,
              sight.demand(now),
              sight.worth(MessageCodec.boxes(NEWS, NOTES), now));
      membership
          .randomPeers(rules.reportFanout)
          .forEach(each -> send(each.address(), new MessageBody.Report(word), true));
    }
  }

  private void send(PeerAddress to, MessageBody body, boolean word) {
    if (membership.isSuperseded()) {
      return;
    }
    int room = MessageCodec.newsBeside(body);
    List<ProbeNotice> passed =
        room < 2 * NOTES ? List.of() : notes.take(NOTES, membership.present().size() + 1);
    List<PeerRecord> news = membership.takeUpdates(Math.min(NEWS, room - passed.size()));
    byte[] letter = letters.encode(new PeerMessage(self, life, ++number, body, news, passed));
    if (!budget.take(letter.length, word, host.now())) {
      count(Count.OVER_CEILING);
      return;
    }
    bytesSent += letter.length;
    count(Count.SENT);
    host.send(to, letter);
  }

  /** A datagram has come. */
  public void received(PeerAddress from, byte[] datagram) {
    PeerMessage letter;
    try {
      letter = letters.decode(datagram);
    } catch (MessageCodec.InvalidMessage e) {
      count(Count.REFUSED);
      return;
    }
    if (letter.author().equals(self) && letter.incarnation() == life
        || !numbers.take(letter.author(), letter.incarnation(), letter.number())) {
      count(Count.REPEATED);
      return;
    }
    count(Count.TAKEN);
    membership.messageReceived(
        letter.author(), letter.incarnation(), from, letter.body(), letter.updates());
    if (letter.body() instanceof MessageBody.Report say) {
      count(
          words.accept(say.report(), host.now()) == PeerReports.Verdict.TAKEN
              ? Count.WORDS
              : Count.WORDS_DROPPED);
    } else if (letter.body() instanceof MessageBody.Query query) {
      send(from, new MessageBody.Reply(host.answerQuery(query)), true);
    }
    letter.notices().forEach(this::noted);
  }

  /** A note that came, perhaps by others: believed only of one whose turn had come. */
  private void noted(ProbeNotice note) {
    if (note.author().equals(self)) {
      return;
    }
    if (!listed.contains(note.box())) {
      count(Count.STRANGE_BOX);
      return;
    }
    ProbeState matter = matter(note.box());
    long before = matter.rota.rejectedClaims();
    // who had asked in this round has had its answer
    boolean more =
        note.answered()
            && matter.last != null
            && !matter.last.answered()
            && matter.last.author().equals(note.author())
            && matter.last.round() == note.round();
    boolean itsLife = note.incarnation() == membership.incarnation(note.author());
    if (!itsLife
        || !more
            && !matter.rota.receiveClaim(id(note.author()), note.round(), mixers(), common())) {
      if (!itsLife || matter.rota.rejectedClaims() > before) {
        count(Count.NOTES_DISBELIEVED);
      }
      return;
    }
    matter.last = note;
    count(Count.NOTES);
    Distrust liar = misled.get(note.author());
    if (note.answered() && (liar == null || liar.until.compareTo(host.now()) <= 0)) {
      matter.onWordOf = note.author();
      // all are to ask it now, and not all in one moment
      Duration wait =
          new TurnOrder(id(self), AFTER_ANSWER)
              .randomDelay(note.box(), note.round(), mixers().size());
      matter.answered = host.now().plus(wait);
      host.boxAnswered(note.box());
    }
    pass(note);
  }

  /**
   * News that does not bear waiting for the next letter: to some at once, each of whom does the
   * same.
   */
  private void pass(ProbeNotice note) {
    notes.add(note.box(), note);
    membership
        .randomPeers(PASS_TO)
        .forEach(each -> send(each.address(), new MessageBody.Empty(), false));
  }

  private ProbeState matter(long box) {
    ProbeState matter = matters.get(box);
    if (matter == null) {
      if (matters.size() >= rules.maxBoxes) {
        matters.remove(matters.keySet().iterator().next());
      }
      matter = new ProbeState(new TurnSchedule(id(self), box, rules.roundPeriod, rules.roundStep));
      matters.put(box, matter);
    }
    return matter;
  }

  private static MixerId id(PeerId peer) {
    return new MixerId(peer.number());
  }

  private Collection<MixerId> mixers() {
    List<MixerId> mixers = new ArrayList<>();
    membership.present().forEach(each -> mixers.add(id(each)));
    mixers.add(id(self));
    return mixers;
  }

  private Duration common() {
    return host.now().plusMillis(life);
  }

  // ---- what the mixer meets, and what it asks ----

  /** Discovery's list: of other boxes nothing is taken in. */
  public void boxesListed(Collection<Long> boxes) {
    listed = new HashSet<>(boxes);
    matters.keySet().retainAll(listed);
  }

  /** A trip ended: answered, or failed in a way that tells against the box. */
  public void attemptEnded(long box, boolean answered) {
    sight.add(box, answered ? 1 : 0, answered ? 0 : 1, host.now());
  }

  /** This mixer has benched a box, as it is silent. */
  public void ejected(long box) {
    sight.add(box, 0, SILENCE_PARTS, host.now());
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
    ProbeState matter = matter(box);
    if (matter.answered != null) {
      return matter.answered.compareTo(host.now()) <= 0;
    }
    // a note may have been missed: then others' words tell that they are served there
    if (host.now().compareTo(matter.byWords) >= 0 && answersOthers(box)) {
      return true;
    }
    return matter.rota.nextTurn(mixers(), common()).compareTo(common()) <= 0;
  }

  private boolean answersOthers(long box) {
    return hearsay.failing(box, new BoxObservation(0, 0), words.current(host.now())) < SOUND;
  }

  /** This mixer asks a benched box now. */
  public void probeStarted(long box) {
    ProbeState matter = matter(box);
    if (matter.answered == null) {
      matter.onWordOf = null;
    }
    matter.answered = null;
    matter.byWords = host.now().plus(BY_WORDS);
    matter.round = matter.rota.claimRound(common());
    count(Count.ASKED);
    pass(new ProbeNotice(self, life, box, matter.round, false));
  }

  /** What came of it. */
  public void probeEnded(long box, boolean answered) {
    ProbeState matter = matters.get(box);
    if (matter != null && matter.round != null) {
      if (answered) {
        pass(new ProbeNotice(self, life, box, matter.round, true));
      } else if (matter.onWordOf != null) {
        misledBy(matter.onWordOf);
      }
      matter.onWordOf = null;
      matter.round = null;
    }
  }

  /**
   * Who says falsely that a box answers is not believed in it for a while, twice as long each time.
   */
  private void misledBy(PeerId author) {
    Distrust before = misled.remove(author);
    int times = before == null ? 0 : Math.min(before.times + 1, MISLED_DOUBLED);
    if (misled.size() >= rules.maxBoxes) {
      misled.remove(misled.keySet().iterator().next());
    }
    misled.put(author, new Distrust(host.now().plus(MISLED.multipliedBy(1L << times)), times));
    count(Count.MISLED);
  }

  /**
   * The share of a box's parts that fail as others see it: 0 where too few tell, or nothing does.
   */
  public double failureShare(long box) {
    double failing = hearsay.failing(box, new BoxObservation(0, 0), words.current(host.now()));
    return Double.isNaN(failing) ? 0 : failing;
  }

  /** Parts a second that the whole fleet's clients ask for, as far as it is heard. */
  public double fleetDemand() {
    return hearsay.demand(sight.demand(host.now()), words.current(host.now()));
  }

  /** Parts a second that this mixer's own clients ask for. */
  public double ownDemand() {
    return sight.demand(host.now());
  }

  /** What this mixer saw of a box, as its next word would tell it. */
  public BoxObservation ownObservation(long box) {
    return sight.of(box, host.now());
  }

  /** The words that count now. */
  public List<PeerReports.TimedReport> reports() {
    return words.current(host.now());
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
    ProbeState matter = matters.get(box);
    if (matter == null) {
      return "";
    }
    Duration due = matter.rota.nextTurn(mixers(), common()).minus(common());
    return "own turn in "
        + due.toMillis()
        + " ms"
        + (matter.last == null
            ? ""
            : ", last asked by "
                + Long.toHexString(matter.last.author().number())
                + (matter.last.answered() ? ": answered" : ": no answer yet"));
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

  private void count(Count which) {
    counts.merge(which, 1L, Long::sum);
  }
}
