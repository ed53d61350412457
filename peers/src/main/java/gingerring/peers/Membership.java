package gingerring.peers;

import gingerring.peers.PeerRecord.State;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * Who the other mixers are: SWIM (Das, Gupta and Motivala, DSN 2002) with the local health, the
 * growing confidence in a suspicion and the word to the suspected first of Lifeguard (Dadgar,
 * Phillips and Currey, DSN-W 2018). Its host calls {@link #start} once, {@link #tick} some times
 * within {@code Rules.ackIn}, {@link #messageReceived} for each letter that was proved, {@link
 * #takeUpdates} for what the next letter is to carry; it acts by {@link Host}.
 *
 * <p>What a mixer does alone, at once: it asks one other each period, through helpers where that is
 * silent, and suspects it where these are too. Who is suspected and lives says so with a higher
 * rise. What is suspected long enough is gone, and comes back under the same name with a higher
 * rise or a later life; words of an earlier life never count. Each half of a cut fleet takes the
 * other for gone and asks one of the gone now and then, by which they find each other again. A
 * process that learns of a later life under its own name is {@link #isSuperseded}: it falls silent,
 * so that of two with one name only the later speaks.
 *
 * <p>Bounds: {@code Rules.peersMost} peers, newcomers beyond are turned away and counted; as much
 * news; four errands for others at once from any one peer, 64 in all. Memory: some 300 bytes a
 * peer.
 */
public final class Membership {
  /** How it sends and what it tells its owner. */
  public interface Host {
    Duration now();

    /** Sends a letter, which may be lost. */
    void send(PeerAddress to, MessageBody body);

    /**
     * What is believed of one peer is new: it came, is suspected, is trusted again, has gone or
     * left.
     */
    void peerChanged(PeerRecord now);
  }

  /**
   * {@code period}: between two asks; {@code ackIn}: how long an answer may take before helpers are
   * asked; {@code helpers}: so many are; {@code reconnect}: how often one of the gone, or a place
   * told at the start, is tried; {@code forget}: how long the gone are remembered; {@code
   * peersMost}: how many are known at most.
   */
  public record Settings(
      Duration pingPeriod,
      Duration ackTimeout,
      int helperCount,
      Duration reconnectPeriod,
      Duration forgetAfter,
      int maxPeers) {
    public Settings {
      if (ackTimeout.isZero()
          || ackTimeout.isNegative()
          || pingPeriod.compareTo(ackTimeout.multipliedBy(2)) < 0
          || helperCount < 0
          || reconnectPeriod.compareTo(pingPeriod) < 0
          || maxPeers < 1) {
        throw new IllegalArgumentException(
            "a period of "
                + pingPeriod
                + ", answers in "
                + ackTimeout
                + ", "
                + helperCount
                + " helpers, one gone tried each "
                + reconnectPeriod
                + ", "
                + maxPeers
                + " peers");
      }
    }

    public static Settings defaults() {
      return new Settings(
          Duration.ofSeconds(1),
          Duration.ofMillis(300),
          3,
          Duration.ofSeconds(5),
          Duration.ofMinutes(10),
          2000);
    }
  }

  /** What happened, by cause. */
  public enum Count {
    /** Asks without any answer. */
    UNANSWERED,
    /** Suspicions raised here. */
    SUSPECTED,
    /** Taken for gone here. */
    GONE,
    /** Own suspicion spoken against. */
    REFUTED,
    /** Words of an earlier life or rise. */
    STALE,
    /** Newcomers beyond the bound. */
    NO_ROOM,
    /** Asks meant for another at this place. */
    NOT_ME,
    /** Errands beyond the bound. */
    TOO_BUSY
  }

  private static final class Member {
    PeerRecord standing;
    Duration since;

    /** While suspected: who says so, and when it is gone. */
    final Set<PeerId> accusers = new HashSet<>();

    /** When its suspicion ran out and it was asked one last time; null before that. */
    Duration lastAsked;

    /** When it was told that it is taken for gone. */
    Duration lastTold;

    Member(PeerRecord standing, Duration since) {
      this.standing = standing;
      this.since = since;
    }
  }

  /** The ask that is out. */
  private static final class PendingPing {
    final PeerId peer;
    final int number;
    final Duration at;
    final int health;
    final Set<PeerAddress> helpers = new HashSet<>();
    int nacked;
    boolean helped;

    PendingPing(PeerId peer, int number, Duration at, int health) {
      this.peer = peer;
      this.number = number;
      this.at = at;
      this.health = health;
    }
  }

  /** An ask on another's behalf. */
  private record IndirectPing(PeerAddress back, int number, Duration at) {}

  private static final int HEALTH_MOST = 8;

  /**
   * Lifeguard's alpha and beta: the least and the most of a suspicion, in periods by the fleet's
   * logarithm.
   */
  private static final double SUSPICION_LEAST = 4;

  private static final double SUSPICION_MOST = 6;

  /** So many others who suspect the same make a suspicion as short as it gets. */
  private static final int CONFIRMERS = 2;

  private static final double PASSED_ON = 4;
  private static final int PAGE = 20;
  private static final int ERRANDS_MOST = 64;
  private static final int ERRANDS_EACH = 4;
  private static final double NACK_AT = 0.8;

  /** Asks for the end of the list: each page begins with who sends it. */
  private static final long STRANGER = -1;

  private final PeerId self;
  private final PeerAddress here;
  private final long life;
  private final Settings rules;
  private final RandomGenerator chance;
  private final Host host;
  private final NavigableMap<Long, Member> members = new TreeMap<>(Long::compareUnsigned);
  private final Set<Member> suspects = new LinkedHashSet<>();
  private final List<PeerId> order = new ArrayList<>();
  private final GossipQueue<PeerId, PeerRecord> spread;
  private final Map<Integer, IndirectPing> errands = new HashMap<>();
  private final Map<Count, Long> counts = new HashMap<>();
  private List<PeerAddress> seeds = List.of();
  private int there;
  private int rise;
  private int healthScore;
  private int numbers;
  private PendingPing asking;
  private Duration askNext;
  private Duration reconnectNext;

  /** Whose pages are followed to their end. */
  private PeerAddress askedWhole;

  private boolean superseded;
  private boolean left;

  /** {@code life}: as in {@link PeerRecord}; {@code here}: where the others reach this mixer. */
  public Membership(
      PeerId self, PeerAddress here, long life, Settings rules, RandomGenerator chance, Host host) {
    this.self = self;
    this.here = here;
    this.life = life;
    this.rules = rules;
    this.chance = chance;
    this.host = host;
    spread = new GossipQueue<>(rules.maxPeers, PASSED_ON);
  }

  /**
   * Joins by asking at some places whom they know; it goes on to ask there while nobody is known.
   */
  public void start(List<PeerAddress> places) {
    seeds = places.stream().filter(place -> !place.equals(here)).toList();
    Duration now = host.now();
    askNext = now.plus(part(rules.pingPeriod));
    reconnectNext = now.plus(part(rules.pingPeriod));
    spread.add(self, own());
    if (!seeds.isEmpty()) {
      askWhole(seeds.get(chance.nextInt(seeds.size())));
    }
  }

  /** All that one knows, page by page. */
  private void askWhole(PeerAddress place) {
    askedWhole = place;
    host.send(place, new MessageBody.MembersRequest(0));
  }

  private Duration part(Duration span) {
    return Duration.ofNanos(chance.nextLong(span.toNanos()));
  }

  private PeerRecord own() {
    return new PeerRecord(self, here, life, rise, left ? State.LEFT : State.HERE, self);
  }

  /** Time has passed. */
  public void tick() {
    if (superseded || left) {
      return;
    }
    Duration now = host.now();
    for (Member each : List.copyOf(suspects)) {
      if (now.minus(each.since).compareTo(suspicion(each)) >= 0) {
        runOut(each, now);
      }
    }
    errands
        .values()
        .removeIf(
            errand -> {
              boolean late = now.minus(errand.at).toNanos() >= NACK_AT * rules.ackTimeout.toNanos();
              if (late) {
                host.send(errand.back, new MessageBody.Nack(errand.number));
              }
              return late;
            });
    ask(now);
    if (now.compareTo(reconnectNext) >= 0) {
      reconnectNext =
          now.plus(rules.reconnectPeriod.dividedBy(2)).plus(part(rules.reconnectPeriod));
      reconnect(now);
    }
  }

  /**
   * A suspicion has run out. It may be of a cut that has ended since, so it is asked one last time,
   * and nobody is taken for gone by one who hears it: it is told of its suspicion again, against
   * which it can speak.
   */
  private void runOut(Member member, Duration now) {
    if (member.lastAsked == null) {
      member.lastAsked = now;
      spread.add(member.standing.peer(), member.standing);
      host.send(member.standing.address(), new MessageBody.Ping(++numbers, member.standing.peer()));
    } else if (now.minus(member.lastAsked).compareTo(rules.pingPeriod) >= 0) {
      count(Count.GONE);
      take(member.standing.as(State.GONE, self), now);
    }
  }

  /** The periodic ask: first straight, then through helpers, then a suspicion. */
  private void ask(Duration now) {
    if (asking != null) {
      Duration allowed = rules.ackTimeout.multipliedBy(1L + asking.health);
      if (!asking.helped && now.minus(asking.at).compareTo(allowed) >= 0) {
        asking.helped = true;
        PeerRecord target =
            members.get(asking.peer.number()) == null
                ? null
                : members.get(asking.peer.number()).standing;
        if (target != null) {
          for (PeerRecord helper : randomPeers(rules.helperCount, asking.peer)) {
            asking.helpers.add(helper.address());
            host.send(
                helper.address(),
                new MessageBody.PingRequest(asking.number, target.peer(), target.address()));
          }
        }
      }
      if (now.minus(asking.at).compareTo(rules.pingPeriod.multipliedBy(1L + asking.health)) >= 0) {
        PendingPing failed = asking;
        asking = null;
        count(Count.UNANSWERED);
        // helpers that say nothing either are a sign that it is this mixer that hears late
        worse(failed.helpers.isEmpty() ? 1 : failed.helpers.size() - failed.nacked);
        suspect(failed.peer, now);
      }
    }
    if (asking == null && now.compareTo(askNext) >= 0) {
      askNext = now.plus(rules.pingPeriod);
      PeerRecord next = next();
      if (next != null) {
        asking = new PendingPing(next.peer(), ++numbers, now, healthScore);
        if (next.state() == State.SUSPECTED) {
          spread.add(next.peer(), next); // it is to hear of it first from whom it can answer
        }
        host.send(next.address(), new MessageBody.Ping(asking.number, next.peer()));
      }
    }
  }

  /** Each in turn, in an order that is drawn anew when all have been asked. */
  private PeerRecord next() {
    for (int tries = members.size() + 1; tries > 0; tries--) {
      if (order.isEmpty()) {
        members.values().forEach(each -> order.add(each.standing.peer()));
        for (int i = order.size() - 1; i > 0; i--) {
          PeerId last = order.get(i);
          int other = chance.nextInt(i + 1);
          order.set(i, order.get(other));
          order.set(other, last);
        }
      }
      if (order.isEmpty()) {
        return null;
      }
      Member member = members.get(order.remove(order.size() - 1).number());
      if (member != null && member.standing.isPresent()) {
        return member.standing;
      }
    }
    return null;
  }

  /** So many of those who are here, by chance, but that one. */
  private List<PeerRecord> randomPeers(int count, PeerId but) {
    List<PeerRecord> here = new ArrayList<>();
    members
        .values()
        .forEach(
            each -> {
              if (each.standing.state() == State.HERE && !each.standing.peer().equals(but)) {
                here.add(each.standing);
              }
            });
    List<PeerRecord> some = new ArrayList<>();
    while (some.size() < count && !here.isEmpty()) {
      some.add(here.remove(chance.nextInt(here.size())));
    }
    return some;
  }

  /** So many of those who are here, by chance, for a word. */
  public List<PeerRecord> randomPeers(int count) {
    return superseded || left ? List.of() : randomPeers(count, self);
  }

  private void suspect(PeerId peer, Duration now) {
    Member member = members.get(peer.number());
    if (member != null && member.standing.isPresent()) {
      if (member.standing.state() == State.HERE) {
        count(Count.SUSPECTED);
      }
      take(member.standing.as(State.SUSPECTED, self), now);
    }
  }

  /**
   * Between the least and the most, the shorter the more others suspect the same (Lifeguard, IV.B).
   */
  private Duration suspicion(Member member) {
    double least =
        SUSPICION_LEAST * Math.max(1, Math.log10(Math.max(1, there))) * rules.pingPeriod.toNanos();
    int wanted = Math.min(CONFIRMERS, there - 2);
    if (wanted < 1) {
      return Duration.ofNanos((long) least);
    }
    double share =
        Math.log(member.accusers.size())
            / Math.log(wanted + 1.0); // the first accuser is no confirmer
    return Duration.ofNanos((long) Math.max(least, least * SUSPICION_MOST * (1 - share)));
  }

  /**
   * One of the gone is asked whom it knows, or a place told at the start at which nobody known
   * stands: so halves of a fleet meet again, and islands that began at several such places. Else
   * one who is there is asked for a page from anywhere in its list, which mends what news did not
   * bring; a page alone, so that its cost is the same in a fleet of any size.
   */
  private void reconnect(Duration now) {
    members
        .values()
        .removeIf(
            each ->
                !each.standing.isPresent()
                    && now.minus(each.since).compareTo(rules.forgetAfter) > 0);
    List<PeerAddress> gone = new ArrayList<>();
    members
        .values()
        .forEach(
            each -> {
              if (each.standing.state() == State.GONE) {
                gone.add(each.standing.address());
              }
            });
    // one that nobody known stands at may be the heart of another island of this fleet
    Set<PeerAddress> known = new HashSet<>();
    members.values().forEach(each -> known.add(each.standing.address()));
    seeds.stream().filter(seed -> !known.contains(seed)).forEach(gone::add);
    if (!gone.isEmpty()) {
      askWhole(gone.get(chance.nextInt(gone.size())));
    } else {
      randomPeers(1, self)
          .forEach(
              each -> host.send(each.address(), new MessageBody.MembersRequest(chance.nextLong())));
    }
  }

  private void worse(int steps) {
    healthScore = Math.max(0, Math.min(HEALTH_MOST, healthScore + steps));
  }

  /** A letter of a mixer in that life has come that was proved to be of the fleet. */
  public void messageReceived(
      PeerId author,
      long authorLife,
      PeerAddress from,
      MessageBody body,
      Collection<PeerRecord> news) {
    if (superseded || left) {
      return;
    }
    Duration now = host.now();
    news.forEach(each -> take(each, now));
    Member sender = members.get(author.number());
    if (sender != null && sender.lastAsked != null) {
      sender.since = now;
      sender.lastAsked = null;
    }
    if (sender != null
        && sender.standing.state() == State.GONE
        && (sender.lastTold == null
            || now.minus(sender.lastTold).compareTo(rules.pingPeriod) >= 0)) {
      // it lives, and does not know what is believed of it: told, it speaks against that
      sender.lastTold = now;
      host.send(from, new MessageBody.MembersPage(List.of(sender.standing), 0));
    }
    if ((sender == null || authorLife > sender.standing.incarnation())
        && !(body instanceof MessageBody.MembersRequest)
        && !(body instanceof MessageBody.MembersPage)
        && !(body instanceof MessageBody.Query)) {
      // whose own word was lost, or has been forgotten, or was of an earlier life: it is to say who
      // it is
      host.send(from, new MessageBody.MembersRequest(STRANGER));
    }
    if (body instanceof MessageBody.Ping ping) {
      if (ping.peer().equals(self)) {
        host.send(from, new MessageBody.Ack(ping.number()));
      } else {
        count(Count.NOT_ME); // the place was another's before
      }
    } else if (body instanceof MessageBody.Ack ack) {
      acked(author, ack, now);
    } else if (body instanceof MessageBody.Nack nack) {
      if (asking != null && nack.number() == asking.number && asking.helpers.remove(from)) {
        asking.nacked++;
      }
    } else if (body instanceof MessageBody.PingRequest help) {
      help(from, help, now);
    } else if (body instanceof MessageBody.MembersRequest question) {
      host.send(from, page(question.fromPeer()));
    } else if (body instanceof MessageBody.MembersPage page) {
      page.records().forEach(each -> take(each, now));
      if (page.nextPeer() != 0 && from.equals(askedWhole)) {
        host.send(from, new MessageBody.MembersRequest(page.nextPeer()));
      }
    }
  }

  private void acked(PeerId author, MessageBody.Ack ack, Duration now) {
    IndirectPing errand = errands.remove(ack.number());
    if (errand != null) {
      host.send(errand.back, new MessageBody.Ack(errand.number));
    }
    // through a helper the number alone tells: a helper that lies can hide that a peer is gone, for
    // a while
    if (asking != null && ack.number() == asking.number) {
      if (asking.peer.equals(author) || asking.helped) {
        asking = null;
        worse(-1);
      }
    }
  }

  private void help(PeerAddress from, MessageBody.PingRequest help, Duration now) {
    long his = errands.values().stream().filter(errand -> errand.back.equals(from)).count();
    if (errands.size() >= ERRANDS_MOST || his >= ERRANDS_EACH) {
      count(Count.TOO_BUSY);
      return;
    }
    errands.put(++numbers, new IndirectPing(from, help.number(), now));
    host.send(help.address(), new MessageBody.Ping(numbers, help.peer()));
  }

  private MessageBody.MembersPage page(long from) {
    List<PeerRecord> page = new ArrayList<>();
    page.add(own());
    long next = 0;
    for (Member each : members.tailMap(from, true).values()) {
      if (page.size() > PAGE) {
        next = each.standing.peer().number();
        break;
      }
      page.add(each.standing);
    }
    return new MessageBody.MembersPage(page, next);
  }

  /** Takes in what is believed of one peer, if it holds over what was. */
  private void take(PeerRecord told, Duration now) {
    if (told.peer().equals(self)) {
      aboutSelf(told);
      return;
    }
    Member member = members.get(told.peer().number());
    if (member == null) {
      if (members.size() >= rules.maxPeers && !makeRoom()) {
        count(Count.NO_ROOM);
        return;
      }
      member = new Member(told, now);
      members.put(told.peer().number(), member);
      moved(member, null, now);
      return;
    }
    PeerRecord before = member.standing;
    boolean sameSuspicion =
        told.state() == State.SUSPECTED
            && before.state() == State.SUSPECTED
            && told.incarnation() == before.incarnation()
            && told.refutations() == before.refutations();
    if (sameSuspicion) {
      if (member.accusers.size() <= CONFIRMERS && member.accusers.add(told.source())) {
        spread.add(told.peer(), told); // a further accuser is news
      }
    } else if (told.supersedes(before)) {
      member.standing = told;
      moved(member, before, now);
    } else if (!told.equals(before)) {
      count(Count.STALE);
    }
  }

  /** The one gone or left for longest makes room for a newcomer. */
  private boolean makeRoom() {
    Member oldest = null;
    for (Member each : members.values()) {
      if (!each.standing.isPresent()
          && (oldest == null || each.since.compareTo(oldest.since) < 0)) {
        oldest = each;
      }
    }
    return oldest != null && members.remove(oldest.standing.peer().number()) != null;
  }

  private void moved(Member member, PeerRecord before, Duration now) {
    PeerRecord standing = member.standing;
    member.since = now;
    member.lastAsked = null;
    member.lastTold = null;
    member.accusers.clear();
    if (standing.state() == State.SUSPECTED) {
      suspects.add(member);
      member.accusers.add(standing.source());
    } else {
      suspects.remove(member);
    }
    there += (standing.isPresent() ? 1 : 0) - (before != null && before.isPresent() ? 1 : 0);
    if (before == null && standing.isPresent()) {
      order.add(order.isEmpty() ? 0 : chance.nextInt(order.size()), standing.peer());
    }
    spread.add(standing.peer(), standing);
    if (before == null
        || before.state() != standing.state()
        || before.incarnation() != standing.incarnation()) {
      host.peerChanged(standing);
    }
  }

  private void aboutSelf(PeerRecord told) {
    if (told.incarnation() > life) {
      superseded = true;
    } else if (told.incarnation() == life
        && told.state() != State.HERE
        && told.refutations() >= rise) {
      rise = told.refutations() + 1;
      count(Count.REFUTED);
      worse(1); // suspected though it lives: it may hear late
      spread.add(self, own());
    }
  }

  /** It ends on purpose: says so to some, who pass it on. */
  public void leave() {
    left = true;
    spread.add(self, own());
    for (PeerRecord each : randomPeers(rules.helperCount + 1, self)) {
      host.send(each.address(), new MessageBody.MembersPage(List.of(own()), 0));
    }
  }

  /** News for the next letter, so many at most. */
  public List<PeerRecord> takeUpdates(int most) {
    return spread.take(most, there + 1);
  }

  /** All that is known of the others, by their numbers. */
  public List<PeerRecord> records() {
    return members.values().stream().map(each -> each.standing).toList();
  }

  /** Those who are there, suspected ones among them: who may hold a turn. */
  public List<PeerId> present() {
    return members.values().stream()
        .map(each -> each.standing)
        .filter(PeerRecord::isPresent)
        .map(PeerRecord::peer)
        .toList();
  }

  /** The life that is believed of one who is there; 0 for others. */
  public long incarnation(PeerId peer) {
    Member member = members.get(peer.number());
    return member != null && member.standing.isPresent() ? member.standing.incarnation() : 0;
  }

  /** Whether a later life under the own name is about. */
  public boolean isSuperseded() {
    return superseded;
  }

  /** From 0, hears in time, to {@value #HEALTH_MOST}. */
  public int healthScore() {
    return healthScore;
  }

  public long count(Enum<Count> which) {
    return counts.getOrDefault(which, 0L);
  }

  private void count(Count which) {
    counts.merge(which, 1L, Long::sum);
  }
}
