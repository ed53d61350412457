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
    void send(PeerAddress recipient, MessageBody body);

    /**
     * What is believed of one peer is new: it came, is suspected, is trusted again, has gone or
     * left.
     */
    void peerChanged(PeerRecord record);
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
    PeerRecord record;
    Duration stateSince;

    /** While suspected: who says so, and when it is gone. */
    final Set<PeerId> suspectedBy = new HashSet<>();

    /** When its suspicion ran out and it was asked one last time; null before that. */
    Duration finalPingAt;

    /** When it was told that it is taken for gone. */
    Duration goneNoticeAt;

    Member(PeerRecord record, Duration stateSince) {
      this.record = record;
      this.stateSince = stateSince;
    }
  }

  /** The ask that is out. */
  private static final class PendingPing {
    final PeerId peer;
    final int number;
    final Duration sentAt;
    final int sentHealthScore;
    final Set<PeerAddress> helpers = new HashSet<>();
    int nackCount;
    boolean indirect;

    PendingPing(PeerId peer, int number, Duration sentAt, int sentHealthScore) {
      this.peer = peer;
      this.number = number;
      this.sentAt = sentAt;
      this.sentHealthScore = sentHealthScore;
    }
  }

  /** An ask on another's behalf. */
  private record IndirectPing(PeerAddress requester, int requestNumber, Duration startedAt) {}

  private static final int MAX_HEALTH_SCORE = 8;

  /**
   * Lifeguard's alpha and beta: the least and the most of a suspicion, in periods by the fleet's
   * logarithm.
   */
  private static final double MIN_SUSPICION_PERIODS = 4;

  private static final double MAX_SUSPICION_FACTOR = 6;

  /** So many others who suspect the same make a suspicion as short as it gets. */
  private static final int MAX_CONFIRMATIONS = 2;

  private static final double RETRANSMIT_FACTOR = 4;
  private static final int PAGE_RECORDS = 20;
  private static final int MAX_INDIRECT_PINGS = 64;
  private static final int MAX_INDIRECT_PINGS_PER_PEER = 4;
  private static final double NACK_TIMEOUT_SHARE = 0.8;

  /** Asks for the end of the list: each page begins with who sends it. */
  private static final long OWN_RECORD_ONLY = -1;

  private final PeerId self;
  private final PeerAddress ownAddress;
  private final long incarnation;
  private final Settings settings;
  private final RandomGenerator random;
  private final Host host;
  private final NavigableMap<Long, Member> members = new TreeMap<>(Long::compareUnsigned);
  private final Set<Member> suspectedMembers = new LinkedHashSet<>();
  private final List<PeerId> pingOrder = new ArrayList<>();
  private final GossipQueue<PeerId, PeerRecord> gossip;
  private final Map<Integer, IndirectPing> indirectPings = new HashMap<>();
  private final Map<Count, Long> counts = new HashMap<>();
  private List<PeerAddress> seeds = List.of();
  private int presentCount;
  private int refutations;
  private int healthScore;
  private int lastPingNumber;
  private PendingPing pendingPing;
  private Duration nextPingAt;
  private Duration nextReconnectAt;

  /** Whose pages are followed to their end. */
  private PeerAddress listSource;

  private boolean superseded;
  private boolean left;

  /** {@code life}: as in {@link PeerRecord}; {@code here}: where the others reach this mixer. */
  public Membership(
      PeerId self,
      PeerAddress ownAddress,
      long incarnation,
      Settings settings,
      RandomGenerator random,
      Host host) {
    this.self = self;
    this.ownAddress = ownAddress;
    this.incarnation = incarnation;
    this.settings = settings;
    this.random = random;
    this.host = host;
    gossip = new GossipQueue<>(settings.maxPeers, RETRANSMIT_FACTOR);
  }

  /**
   * Joins by asking at some places whom they know; it goes on to ask there while nobody is known.
   */
  public void start(List<PeerAddress> seedAddresses) {
    seeds = seedAddresses.stream().filter(seed -> !seed.equals(ownAddress)).toList();
    Duration now = host.now();
    nextPingAt = now.plus(randomDelay(settings.pingPeriod));
    nextReconnectAt = now.plus(randomDelay(settings.pingPeriod));
    gossip.add(self, ownRecord());
    if (!seeds.isEmpty()) {
      requestMemberList(seeds.get(random.nextInt(seeds.size())));
    }
  }

  /** All that one knows, page by page. */
  private void requestMemberList(PeerAddress source) {
    listSource = source;
    host.send(source, new MessageBody.MembersRequest(0));
  }

  private Duration randomDelay(Duration span) {
    return Duration.ofNanos(random.nextLong(span.toNanos()));
  }

  private PeerRecord ownRecord() {
    return new PeerRecord(
        self, ownAddress, incarnation, refutations, left ? State.LEFT : State.HERE, self);
  }

  /** Time has passed. */
  public void tick() {
    if (superseded || left) {
      return;
    }
    Duration now = host.now();
    for (Member member : List.copyOf(suspectedMembers)) {
      if (now.minus(member.stateSince).compareTo(suspicionTimeout(member)) >= 0) {
        suspicionExpired(member, now);
      }
    }
    indirectPings
        .values()
        .removeIf(
            ping -> {
              boolean expired =
                  now.minus(ping.startedAt).toNanos()
                      >= NACK_TIMEOUT_SHARE * settings.ackTimeout.toNanos();
              if (expired) {
                host.send(ping.requester, new MessageBody.Nack(ping.requestNumber));
              }
              return expired;
            });
    pingPeriodically(now);
    if (now.compareTo(nextReconnectAt) >= 0) {
      nextReconnectAt =
          now.plus(settings.reconnectPeriod.dividedBy(2))
              .plus(randomDelay(settings.reconnectPeriod));
      reconnect(now);
    }
  }

  /**
   * A suspicion has run out. It may be of a cut that has ended since, so it is asked one last time,
   * and nobody is taken for gone by one who hears it: it is told of its suspicion again, against
   * which it can speak.
   */
  private void suspicionExpired(Member member, Duration now) {
    if (member.finalPingAt == null) {
      member.finalPingAt = now;
      gossip.add(member.record.peer(), member.record);
      host.send(
          member.record.address(), new MessageBody.Ping(++lastPingNumber, member.record.peer()));
    } else if (now.minus(member.finalPingAt).compareTo(settings.pingPeriod) >= 0) {
      count(Count.GONE);
      applyRecord(member.record.withState(State.GONE, self), now);
    }
  }

  /** The periodic ask: first straight, then through helpers, then a suspicion. */
  private void pingPeriodically(Duration now) {
    if (pendingPing != null) {
      Duration ackTimeout = settings.ackTimeout.multipliedBy(1L + pendingPing.sentHealthScore);
      if (!pendingPing.indirect && now.minus(pendingPing.sentAt).compareTo(ackTimeout) >= 0) {
        pendingPing.indirect = true;
        PeerRecord target =
            members.get(pendingPing.peer.number()) == null
                ? null
                : members.get(pendingPing.peer.number()).record;
        if (target != null) {
          for (PeerRecord helper : randomPeers(settings.helperCount, pendingPing.peer)) {
            pendingPing.helpers.add(helper.address());
            host.send(
                helper.address(),
                new MessageBody.PingRequest(pendingPing.number, target.peer(), target.address()));
          }
        }
      }
      if (now.minus(pendingPing.sentAt)
              .compareTo(settings.pingPeriod.multipliedBy(1L + pendingPing.sentHealthScore))
          >= 0) {
        PendingPing unanswered = pendingPing;
        pendingPing = null;
        count(Count.UNANSWERED);
        // helpers that say nothing either are a sign that it is this mixer that hears late
        adjustHealth(
            unanswered.helpers.isEmpty() ? 1 : unanswered.helpers.size() - unanswered.nackCount);
        suspect(unanswered.peer, now);
      }
    }
    if (pendingPing == null && now.compareTo(nextPingAt) >= 0) {
      nextPingAt = now.plus(settings.pingPeriod);
      PeerRecord target = nextPingTarget();
      if (target != null) {
        pendingPing = new PendingPing(target.peer(), ++lastPingNumber, now, healthScore);
        if (target.state() == State.SUSPECTED) {
          gossip.add(target.peer(), target); // it is to hear of it first from whom it can answer
        }
        host.send(target.address(), new MessageBody.Ping(pendingPing.number, target.peer()));
      }
    }
  }

  /** Each in turn, in an order that is drawn anew when all have been asked. */
  private PeerRecord nextPingTarget() {
    for (int attempts = members.size() + 1; attempts > 0; attempts--) {
      if (pingOrder.isEmpty()) {
        members.values().forEach(each -> pingOrder.add(each.record.peer()));
        for (int i = pingOrder.size() - 1; i > 0; i--) {
          PeerId swapped = pingOrder.get(i);
          int other = random.nextInt(i + 1);
          pingOrder.set(i, pingOrder.get(other));
          pingOrder.set(other, swapped);
        }
      }
      if (pingOrder.isEmpty()) {
        return null;
      }
      Member member = members.get(pingOrder.remove(pingOrder.size() - 1).number());
      if (member != null && member.record.isPresent()) {
        return member.record;
      }
    }
    return null;
  }

  /** So many of those who are here, by chance, but that one. */
  private List<PeerRecord> randomPeers(int count, PeerId excluded) {
    List<PeerRecord> candidates = new ArrayList<>();
    members
        .values()
        .forEach(
            member -> {
              if (member.record.state() == State.HERE && !member.record.peer().equals(excluded)) {
                candidates.add(member.record);
              }
            });
    List<PeerRecord> selected = new ArrayList<>();
    while (selected.size() < count && !candidates.isEmpty()) {
      selected.add(candidates.remove(random.nextInt(candidates.size())));
    }
    return selected;
  }

  /** So many of those who are here, by chance, for a word. */
  public List<PeerRecord> randomPeers(int count) {
    return superseded || left ? List.of() : randomPeers(count, self);
  }

  private void suspect(PeerId peer, Duration now) {
    Member member = members.get(peer.number());
    if (member != null && member.record.isPresent()) {
      if (member.record.state() == State.HERE) {
        count(Count.SUSPECTED);
      }
      applyRecord(member.record.withState(State.SUSPECTED, self), now);
    }
  }

  /**
   * Between the least and the most, the shorter the more others suspect the same (Lifeguard, IV.B).
   */
  private Duration suspicionTimeout(Member member) {
    double minNanos =
        MIN_SUSPICION_PERIODS
            * Math.max(1, Math.log10(Math.max(1, presentCount)))
            * settings.pingPeriod.toNanos();
    int maxConfirmations = Math.min(MAX_CONFIRMATIONS, presentCount - 2);
    if (maxConfirmations < 1) {
      return Duration.ofNanos((long) minNanos);
    }
    double confirmedShare =
        Math.log(member.suspectedBy.size())
            / Math.log(maxConfirmations + 1.0); // the first accuser is no confirmer
    return Duration.ofNanos(
        (long) Math.max(minNanos, minNanos * MAX_SUSPICION_FACTOR * (1 - confirmedShare)));
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
            member ->
                !member.record.isPresent()
                    && now.minus(member.stateSince).compareTo(settings.forgetAfter) > 0);
    List<PeerAddress> candidates = new ArrayList<>();
    members
        .values()
        .forEach(
            member -> {
              if (member.record.state() == State.GONE) {
                candidates.add(member.record.address());
              }
            });
    // one that nobody known stands at may be the heart of another island of this fleet
    Set<PeerAddress> knownAddresses = new HashSet<>();
    members.values().forEach(member -> knownAddresses.add(member.record.address()));
    seeds.stream().filter(seed -> !knownAddresses.contains(seed)).forEach(candidates::add);
    if (!candidates.isEmpty()) {
      requestMemberList(candidates.get(random.nextInt(candidates.size())));
    } else {
      randomPeers(1, self)
          .forEach(
              member ->
                  host.send(member.address(), new MessageBody.MembersRequest(random.nextLong())));
    }
  }

  private void adjustHealth(int steps) {
    healthScore = Math.max(0, Math.min(MAX_HEALTH_SCORE, healthScore + steps));
  }

  /** A letter of a mixer in that life has come that was proved to be of the fleet. */
  public void messageReceived(
      PeerId author,
      long authorIncarnation,
      PeerAddress from,
      MessageBody body,
      Collection<PeerRecord> updates) {
    if (superseded || left) {
      return;
    }
    Duration now = host.now();
    updates.forEach(update -> applyRecord(update, now));
    Member sender = members.get(author.number());
    if (sender != null && sender.finalPingAt != null) {
      sender.stateSince = now;
      sender.finalPingAt = null;
    }
    if (sender != null
        && sender.record.state() == State.GONE
        && (sender.goneNoticeAt == null
            || now.minus(sender.goneNoticeAt).compareTo(settings.pingPeriod) >= 0)) {
      // it lives, and does not know what is believed of it: told, it speaks against that
      sender.goneNoticeAt = now;
      host.send(from, new MessageBody.MembersPage(List.of(sender.record), 0));
    }
    if ((sender == null || authorIncarnation > sender.record.incarnation())
        && !(body instanceof MessageBody.MembersRequest)
        && !(body instanceof MessageBody.MembersPage)
        && !(body instanceof MessageBody.Query)) {
      // whose own word was lost, or has been forgotten, or was of an earlier life: it is to say who
      // it is
      host.send(from, new MessageBody.MembersRequest(OWN_RECORD_ONLY));
    }
    if (body instanceof MessageBody.Ping ping) {
      if (ping.peer().equals(self)) {
        host.send(from, new MessageBody.Ack(ping.number()));
      } else {
        count(Count.NOT_ME); // the place was another's before
      }
    } else if (body instanceof MessageBody.Ack ack) {
      ackReceived(author, ack, now);
    } else if (body instanceof MessageBody.Nack nack) {
      if (pendingPing != null
          && nack.number() == pendingPing.number
          && pendingPing.helpers.remove(from)) {
        pendingPing.nackCount++;
      }
    } else if (body instanceof MessageBody.PingRequest request) {
      pingOnBehalf(from, request, now);
    } else if (body instanceof MessageBody.MembersRequest membersRequest) {
      host.send(from, membersPage(membersRequest.fromPeer()));
    } else if (body instanceof MessageBody.MembersPage page) {
      page.records().forEach(update -> applyRecord(update, now));
      if (page.nextPeer() != 0 && from.equals(listSource)) {
        host.send(from, new MessageBody.MembersRequest(page.nextPeer()));
      }
    }
  }

  private void ackReceived(PeerId author, MessageBody.Ack ack, Duration now) {
    IndirectPing indirectPing = indirectPings.remove(ack.number());
    if (indirectPing != null) {
      host.send(indirectPing.requester, new MessageBody.Ack(indirectPing.requestNumber));
    }
    // through a helper the number alone tells: a helper that lies can hide that a peer is gone, for
    // a while
    if (pendingPing != null && ack.number() == pendingPing.number) {
      if (pendingPing.peer.equals(author) || pendingPing.indirect) {
        pendingPing = null;
        adjustHealth(-1);
      }
    }
  }

  private void pingOnBehalf(PeerAddress from, MessageBody.PingRequest request, Duration now) {
    long openForRequester =
        indirectPings.values().stream().filter(ping -> ping.requester.equals(from)).count();
    if (indirectPings.size() >= MAX_INDIRECT_PINGS
        || openForRequester >= MAX_INDIRECT_PINGS_PER_PEER) {
      count(Count.TOO_BUSY);
      return;
    }
    indirectPings.put(++lastPingNumber, new IndirectPing(from, request.number(), now));
    host.send(request.address(), new MessageBody.Ping(lastPingNumber, request.peer()));
  }

  private MessageBody.MembersPage membersPage(long fromPeer) {
    List<PeerRecord> records = new ArrayList<>();
    records.add(ownRecord());
    long nextPeer = 0;
    for (Member member : members.tailMap(fromPeer, true).values()) {
      if (records.size() > PAGE_RECORDS) {
        nextPeer = member.record.peer().number();
        break;
      }
      records.add(member.record);
    }
    return new MessageBody.MembersPage(records, nextPeer);
  }

  /** Takes in what is believed of one peer, if it holds over what was. */
  private void applyRecord(PeerRecord update, Duration now) {
    if (update.peer().equals(self)) {
      applyOwnRecord(update);
      return;
    }
    Member member = members.get(update.peer().number());
    if (member == null) {
      if (members.size() >= settings.maxPeers && !evictAbsentMember()) {
        count(Count.NO_ROOM);
        return;
      }
      member = new Member(update, now);
      members.put(update.peer().number(), member);
      recordChanged(member, null, now);
      return;
    }
    PeerRecord known = member.record;
    boolean sameSuspicion =
        update.state() == State.SUSPECTED
            && known.state() == State.SUSPECTED
            && update.incarnation() == known.incarnation()
            && update.refutations() == known.refutations();
    if (sameSuspicion) {
      if (member.suspectedBy.size() <= MAX_CONFIRMATIONS
          && member.suspectedBy.add(update.source())) {
        gossip.add(update.peer(), update); // a further accuser is news
      }
    } else if (update.supersedes(known)) {
      member.record = update;
      recordChanged(member, known, now);
    } else if (!update.equals(known)) {
      count(Count.STALE);
    }
  }

  /** The one gone or left for longest makes room for a newcomer. */
  private boolean evictAbsentMember() {
    Member oldest = null;
    for (Member member : members.values()) {
      if (!member.record.isPresent()
          && (oldest == null || member.stateSince.compareTo(oldest.stateSince) < 0)) {
        oldest = member;
      }
    }
    return oldest != null && members.remove(oldest.record.peer().number()) != null;
  }

  private void recordChanged(Member member, PeerRecord previous, Duration now) {
    PeerRecord record = member.record;
    member.stateSince = now;
    member.finalPingAt = null;
    member.goneNoticeAt = null;
    member.suspectedBy.clear();
    if (record.state() == State.SUSPECTED) {
      suspectedMembers.add(member);
      member.suspectedBy.add(record.source());
    } else {
      suspectedMembers.remove(member);
    }
    presentCount +=
        (record.isPresent() ? 1 : 0) - (previous != null && previous.isPresent() ? 1 : 0);
    if (previous == null && record.isPresent()) {
      pingOrder.add(pingOrder.isEmpty() ? 0 : random.nextInt(pingOrder.size()), record.peer());
    }
    gossip.add(record.peer(), record);
    if (previous == null
        || previous.state() != record.state()
        || previous.incarnation() != record.incarnation()) {
      host.peerChanged(record);
    }
  }

  private void applyOwnRecord(PeerRecord update) {
    if (update.incarnation() > incarnation) {
      superseded = true;
    } else if (update.incarnation() == incarnation
        && update.state() != State.HERE
        && update.refutations() >= refutations) {
      refutations = update.refutations() + 1;
      count(Count.REFUTED);
      adjustHealth(1); // suspected though it lives: it may hear late
      gossip.add(self, ownRecord());
    }
  }

  /** It ends on purpose: says so to some, who pass it on. */
  public void leave() {
    left = true;
    gossip.add(self, ownRecord());
    for (PeerRecord peer : randomPeers(settings.helperCount + 1, self)) {
      host.send(peer.address(), new MessageBody.MembersPage(List.of(ownRecord()), 0));
    }
  }

  /** News for the next letter, so many at most. */
  public List<PeerRecord> takeUpdates(int maxUpdates) {
    return gossip.take(maxUpdates, presentCount + 1);
  }

  /** All that is known of the others, by their numbers. */
  public List<PeerRecord> records() {
    return members.values().stream().map(member -> member.record).toList();
  }

  /** Those who are there, suspected ones among them: who may hold a turn. */
  public List<PeerId> present() {
    return members.values().stream()
        .map(member -> member.record)
        .filter(PeerRecord::isPresent)
        .map(PeerRecord::peer)
        .toList();
  }

  /** The life that is believed of one who is there; 0 for others. */
  public long incarnation(PeerId peer) {
    Member member = members.get(peer.number());
    return member != null && member.record.isPresent() ? member.record.incarnation() : 0;
  }

  /** Whether a later life under the own name is about. */
  public boolean isSuperseded() {
    return superseded;
  }

  /** From 0, hears in time, to {@value #MAX_HEALTH_SCORE}. */
  public int healthScore() {
    return healthScore;
  }

  public long count(Enum<Count> cause) {
    return counts.getOrDefault(cause, 0L);
  }

  private void count(Count cause) {
    counts.merge(cause, 1L, Long::sum);
  }
}
