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
 * Group membership by SWIM (Das, Gupta and Motivala, DSN 2002) with three extensions of Lifeguard
 * (Dadgar, Phillips and Currey, DSN-W 2018): the local health score, suspicion timeouts that
 * shorten with independent confirmations, and notifying the suspected member first. The host calls
 * {@link #start} once, {@link #tick} several times within {@code Settings.ackTimeout}, {@link
 * #messageReceived} for each authenticated message, and {@link #takeUpdates} for the updates of the
 * next message; the class acts through {@link Host}.
 *
 * <p>Each period a mixer pings one other member. Without an ack it asks helpers to ping that
 * member, and suspects the member if they get no ack either. A suspected member that is alive
 * refutes the suspicion with a higher refutation number. A member suspected for the whole suspicion
 * timeout is gone, and returns under the same name with a higher refutation number or a later
 * incarnation; records of an earlier incarnation never count. Each side of a network partition
 * considers the other side gone, and both sides contact gone members from time to time, by which
 * they merge again. A process that learns of a later incarnation under its own name is {@link
 * #isSuperseded}: it stops sending, so that of two processes with one name only the later one takes
 * part.
 *
 * <p>Bounds: {@code Settings.maxPeers} members, where new ones beyond are rejected and counted; as
 * many queued updates; four indirect pings at once for any one peer, 64 in all. Memory: some 300
 * bytes a peer.
 */
public final class Membership {
  /** Transport, clock and listener of a membership. */
  public interface Host {
    Duration now();

    /** Sends a message, which may be lost. */
    void send(PeerAddress recipient, MessageBody body);

    /** Called when a member becomes known, changes its state or restarts. */
    void peerChanged(PeerRecord record);
  }

  /**
   * {@code pingPeriod}: the time between two pings; {@code ackTimeout}: how long an ack may take
   * before helpers are asked; {@code helperCount}: the number of helpers; {@code reconnectPeriod}:
   * how often a gone member, or a seed address, is contacted; {@code forgetAfter}: how long gone
   * members are kept; {@code maxPeers}: the most members that are kept.
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
            "a ping period of "
                + pingPeriod
                + ", an ack timeout of "
                + ackTimeout
                + ", "
                + helperCount
                + " helpers, a reconnect period of "
                + reconnectPeriod
                + ", "
                + maxPeers
                + " peers at most");
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

  /** Counted events; the names of the constants are printed. */
  public enum Count {
    /** Pings without a direct or indirect ack. */
    UNANSWERED,
    /** Suspicions raised by this mixer. */
    SUSPECTED,
    /** Members declared gone by this mixer. */
    GONE,
    /** Suspicions against this mixer that this mixer refuted. */
    REFUTED,
    /** Received records of an earlier incarnation or refutation number than the known record. */
    STALE,
    /** New members rejected because the largest number of members is kept already. */
    NO_ROOM,
    /** Pings meant for another mixer at this address. */
    NOT_ME,
    /** Ping requests rejected because too many pings on behalf of other mixers are pending. */
    TOO_BUSY
  }

  private static final class Member {
    PeerRecord record;
    Duration stateSince;

    /** While suspected: the mixers that raised the suspicion. */
    final Set<PeerId> suspectedBy = new HashSet<>();

    /** When the suspicion timeout passed and a final ping was sent; null before that. */
    Duration finalPingAt;

    /** When the member was last notified that it is considered gone. */
    Duration goneNoticeAt;

    Member(PeerRecord record, Duration stateSince) {
      this.record = record;
      this.stateSince = stateSince;
    }
  }

  /** The periodic ping that awaits its ack. */
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

  /** A ping sent on behalf of another mixer. */
  private record IndirectPing(PeerAddress requester, int requestNumber, Duration startedAt) {}

  private static final int MAX_HEALTH_SCORE = 8;

  /**
   * Lifeguard's alpha: the shortest suspicion timeout, in ping periods times the logarithm of the
   * fleet's size. {@link #MAX_SUSPICION_FACTOR} is its beta: the longest timeout, as a multiple of
   * the shortest.
   */
  private static final double MIN_SUSPICION_PERIODS = 4;

  private static final double MAX_SUSPICION_FACTOR = 6;

  /**
   * The number of other mixers' confirmations of a suspicion from which on the suspicion timeout is
   * at its shortest.
   */
  private static final int MAX_CONFIRMATIONS = 2;

  private static final double RETRANSMIT_FACTOR = 4;
  private static final int PAGE_RECORDS = 20;
  private static final int MAX_INDIRECT_PINGS = 64;
  private static final int MAX_INDIRECT_PINGS_PER_PEER = 4;
  private static final double NACK_TIMEOUT_SHARE = 0.8;

  /**
   * Value of a {@link MessageBody.MembersRequest} that asks only for the recipient's own record: it
   * requests the end of the member list, and each page begins with the own record of the mixer that
   * sends the page.
   */
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

  /** The mixer whose member list is being fetched page by page. */
  private PeerAddress listSource;

  private boolean superseded;
  private boolean left;

  /**
   * {@code incarnation}: as in {@link PeerRecord}; {@code ownAddress}: where the peers reach this
   * mixer.
   */
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
   * Joins the group by requesting the member list of a seed; seeds are tried again while no known
   * member has their address.
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

  /** Requests the complete member list of one mixer, page by page. */
  private void requestMemberList(PeerAddress source) {
    listSource = source;
    host.send(source, new MessageBody.MembersRequest(0));
  }

  private Duration randomDelay(Duration maxDelay) {
    return Duration.ofNanos(random.nextLong(maxDelay.toNanos()));
  }

  private PeerRecord ownRecord() {
    return new PeerRecord(
        self, ownAddress, incarnation, refutations, left ? State.LEFT : State.HERE, self);
  }

  /**
   * Handles all timeouts that have expired; to be called several times within {@code
   * Settings.ackTimeout}.
   */
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
   * Handles an expired suspicion. It may stem from a network partition that has ended, so the
   * member is pinged a final time and its suspicion is gossiped again, so that the member can
   * refute it. A member from which any message arrives is not declared gone.
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

  /**
   * Runs the periodic ping: a direct ping, then indirect pings through helpers, then a suspicion.
   */
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
        // helpers that send no nack either suggest that this mixer itself is slow to receive
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
          // notifies the suspected member first, which can refute the suspicion
          gossip.add(target.peer(), target);
        }
        host.send(target.address(), new MessageBody.Ping(pendingPing.number, target.peer()));
      }
    }
  }

  /**
   * The next member to ping: round robin in a random order that is drawn again after each round.
   */
  private PeerRecord nextPingTarget() {
    for (int attempts = members.size() + 1; attempts > 0; attempts--) {
      if (pingOrder.isEmpty()) {
        members.values().forEach(member -> pingOrder.add(member.record.peer()));
        for (int i = pingOrder.size() - 1; i > 0; i--) {
          PeerId swapped = pingOrder.get(i);
          int swapIndex = random.nextInt(i + 1);
          pingOrder.set(i, pingOrder.get(swapIndex));
          pingOrder.set(swapIndex, swapped);
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

  /**
   * Draws up to {@code count} members that are present and not suspected, without {@code excluded}.
   */
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

  /**
   * Draws up to {@code count} members that are present and not suspected, to send them a message;
   * none once this mixer has left or is superseded.
   */
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
   * The suspicion timeout: between the shortest and the longest, the shorter the more other mixers
   * confirm the suspicion (Lifeguard, IV.B).
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
    // the mixer that raised the suspicion first is not a confirmation
    double confirmedShare = Math.log(member.suspectedBy.size()) / Math.log(maxConfirmations + 1.0);
    return Duration.ofNanos(
        (long) Math.max(minNanos, minNanos * MAX_SUSPICION_FACTOR * (1 - confirmedShare)));
  }

  /**
   * Requests the member list of one gone member, or of a seed address at which no member is known:
   * by this the sides of a network partition merge again, and so do separate groups that started
   * from different seeds. If there is none, requests one page of the list of a present member, from
   * a random identifier on, which repairs what gossip has missed. It is a single page so that the
   * cost is the same in a fleet of any size.
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
    // a seed address without a known member may belong to a separate group of this fleet
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

  /** Handles an authenticated message of a mixer in the given incarnation. */
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
      // the sender is alive and does not know that it is considered gone: notified, it refutes that
      sender.goneNoticeAt = now;
      host.send(from, new MessageBody.MembersPage(List.of(sender.record), 0));
    }
    if ((sender == null || authorIncarnation > sender.record.incarnation())
        && !(body instanceof MessageBody.MembersRequest)
        && !(body instanceof MessageBody.MembersPage)
        && !(body instanceof MessageBody.Query)) {
      // the sender's own record was lost, was forgotten, or is of an earlier incarnation: request
      // it
      host.send(from, new MessageBody.MembersRequest(OWN_RECORD_ONLY));
    }
    if (body instanceof MessageBody.Ping ping) {
      if (ping.peer().equals(self)) {
        host.send(from, new MessageBody.Ack(ping.number()));
      } else {
        count(Count.NOT_ME); // the address belonged to another mixer before
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
    // through a helper only the ping's number identifies the ack: a helper that lies can hide for a
    // while that a peer is gone
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

  /** Merges a received record into the member list, if it supersedes the known one. */
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
        gossip.add(update.peer(), update); // another mixer's suspicion is an update worth gossiping
      }
    } else if (update.supersedes(known)) {
      member.record = update;
      recordChanged(member, known, now);
    } else if (!update.equals(known)) {
      count(Count.STALE);
    }
  }

  /** Evicts the member that has been gone or left for longest, to make room for a new one. */
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
      adjustHealth(1); // suspected though it is alive: this mixer may be slow to receive
      gossip.add(self, ownRecord());
    }
  }

  /** Leaves the group: notifies a few members, which gossip it on. */
  public void leave() {
    left = true;
    gossip.add(self, ownRecord());
    for (PeerRecord peer : randomPeers(settings.helperCount + 1, self)) {
      host.send(peer.address(), new MessageBody.MembersPage(List.of(ownRecord()), 0));
    }
  }

  /** Takes up to {@code maxUpdates} membership updates for the next message. */
  public List<PeerRecord> takeUpdates(int maxUpdates) {
    return gossip.take(maxUpdates, presentCount + 1);
  }

  /** The records of all other members, in the order of their identifiers. */
  public List<PeerRecord> records() {
    return members.values().stream().map(member -> member.record).toList();
  }

  /** The members that are present, suspected ones included: these take turns in schedules. */
  public List<PeerId> present() {
    return members.values().stream()
        .map(member -> member.record)
        .filter(PeerRecord::isPresent)
        .map(PeerRecord::peer)
        .toList();
  }

  /** The known incarnation of a present member; 0 for others. */
  public long incarnation(PeerId peer) {
    Member member = members.get(peer.number());
    return member != null && member.record.isPresent() ? member.record.incarnation() : 0;
  }

  /** Whether a later incarnation runs under this mixer's name. */
  public boolean isSuperseded() {
    return superseded;
  }

  /**
   * Lifeguard's local health score, from 0 for a mixer that receives in time to {@value
   * #MAX_HEALTH_SCORE}.
   */
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
