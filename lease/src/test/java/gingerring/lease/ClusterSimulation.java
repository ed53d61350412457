package gingerring.lease;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * Simulates mixers with leases, a fencing guard, message faults and process faults in simulated
 * time. After each event the simulation checks that no lease has two holders. Simulated time is
 * true time in ns; each mixer has its own clock.
 */
final class ClusterSimulation {
  static final long MS = 1_000_000;

  /**
   * Decides what happens to a message in transit: returns the messages that are sent in its place.
   */
  interface MessageFault {
    Collection<Envelope> deliver(int index, Envelope envelope, MixerId to);
  }

  private record ScheduledTask(long dueAt, long order, Runnable task) {}

  /** One mixer's process. */
  final class Node {
    final int index;
    final MixerId id;
    double clockRate = 1;
    long clockOffset;
    long incarnation;
    long lastSequenceNumber;
    boolean up;
    boolean paused;
    Elector elector;
    final Map<LeaseName, Candidate> candidates = new LinkedHashMap<>();
    final Map<LeaseName, FencingToken> lastUsedTokens = new HashMap<>();
    final List<Envelope> pendingMessages = new ArrayList<>();

    Node(int index) {
      this.index = index;
      this.id = new MixerId(index + 1);
    }

    Duration now() {
      return Duration.ofNanos(clockOffset + (long) (now * clockRate));
    }
  }

  final LeaseSettings settings;
  final SafetyChecks checks;
  final long seed;
  final SplittableRandom random;
  final List<LeaseName> leases = new ArrayList<>();
  final List<Node> nodes = new ArrayList<>();
  final ElectorSet electors;
  final FencingGuard guard;
  final Set<String> violations = new LinkedHashSet<>();
  final Map<LeaseName, Set<Node>> holdersByLease = new HashMap<>();
  final Set<Long> blockedLinks = new TreeSet<>();
  final Map<LeaseName, FencingToken> lastAcquiredTokens = new HashMap<>();
  final Map<LeaseName, String> lastAdmittedSenders = new HashMap<>();
  final Map<LeaseName, FencingToken> lastAdmittedTokens = new HashMap<>();
  java.util.function.BiConsumer<Node, LeaseName> onAcquired = (node, lease) -> {};
  final Map<LeaseName, Long> lostAt = new HashMap<>();
  private final Map<LeaseName, Long> overlapSince = new HashMap<>();
  private final PriorityQueue<ScheduledTask> schedule =
      new PriorityQueue<>(
          (first, second) ->
              first.dueAt != second.dueAt
                  ? Long.compare(first.dueAt, second.dueAt)
                  : Long.compare(first.order, second.order));
  MessageFault messageFault = (index, envelope, to) -> List.of(envelope);
  long now;
  private long taskCount;
  int messageCount;
  long longestOverlap;
  int acquisitionCount;
  int admittedCount;

  /** Whether electors are excluded from holding leases. */
  boolean separateElectors;

  double lossRate;
  double duplicateRate;
  long maxDelay = 20 * MS;
  boolean allowOverlap;
  boolean updateMembers = true;
  final Map<LeaseName, List<MixerId>> rankings = new HashMap<>();
  long workInterval = 50 * MS;

  ClusterSimulation(
      long seed,
      int mixerCount,
      int electorCount,
      int leaseCount,
      LeaseSettings settings,
      SafetyChecks checks) {
    this.settings = settings;
    this.checks = checks;
    this.seed = seed;
    this.random = new SplittableRandom(seed);
    this.guard = new FencingGuard(10_000, checks);
    Set<ElectorId> electorIds = new TreeSet<>();
    for (int i = 0; i < mixerCount; i++) {
      nodes.add(new Node(i));
      if (i < electorCount) {
        electorIds.add(new ElectorId(nodes.get(i).id));
      }
    }
    electors = new ElectorSet(0, electorIds);
    for (int i = 0; i < leaseCount; i++) {
      leases.add(new LeaseName("duty-" + i));
    }
  }

  void scheduleAt(long time, Runnable task) {
    schedule.add(new ScheduledTask(Math.max(now, time), taskCount++, task));
  }

  void runUntil(long end) {
    while (!schedule.isEmpty() && schedule.peek().dueAt <= end) {
      ScheduledTask next = schedule.poll();
      now = next.dueAt;
      next.task.run();
      checkOverlaps();
    }
    now = end;
  }

  /** Starts all mixers, with clock rates drawn within {@code drift} of true time. */
  ClusterSimulation startAll(double drift) {
    for (Node node : nodes) {
      double position = random.nextInt(3) == 0 ? random.nextInt(2) : random.nextDouble();
      node.clockRate = 1 + drift * (position * 2 - 1);
      node.clockOffset = random.nextLong(1000) * MS;
      start(node);
    }
    broadcastMembers();
    return this;
  }

  void start(Node node) {
    node.up = true;
    node.paused = false;
    node.incarnation = 1_000 + now / MS;
    node.lastSequenceNumber = 0;
    node.candidates.clear();
    node.lastUsedTokens.clear();
    node.pendingMessages.clear();
    ElectorId elector = new ElectorId(node.id);
    node.elector =
        electors.members().contains(elector)
            ? new Elector(elector, node.incarnation, electors, settings, 1_000, node.now(), checks)
            : null;
    long incarnation = node.incarnation;
    Candidate.Host host =
        new Candidate.Host() {
          @Override
          public Duration now() {
            return node.now();
          }

          @Override
          public long send(MixerId to, LeaseMessage message) {
            return sendFrom(node, to, message);
          }

          @Override
          public void onAcquired(LeaseName lease, FencingToken token) {
            recordAcquired(node, lease, token);
          }

          @Override
          public void onLost(LeaseName lease, FencingToken token) {
            recordLost(node, lease);
          }
        };
    for (LeaseName lease : leases) {
      node.candidates.put(
          lease,
          new Candidate(
              lease,
              node.id,
              node.incarnation,
              electors,
              settings,
              host,
              new SplittableRandom(seed ^ node.incarnation * 31 + node.index),
              checks));
      tickCandidate(node, incarnation, lease);
    }
    if (node.elector != null) {
      tickElector(node, incarnation);
    }
  }

  private void tickElector(Node node, long incarnation) {
    if (node.up && node.incarnation == incarnation) {
      if (!node.paused) {
        node.elector.tick(node.now());
      }
      scheduleAt(
          now + settings.leaseDuration().toNanos() / 5, () -> tickElector(node, incarnation));
    }
  }

  /** Ticks a candidate when it is due, and after 5 s at the latest. */
  private void tickCandidate(Node node, long incarnation, LeaseName lease) {
    if (!node.up || node.incarnation != incarnation) {
      return;
    }
    Candidate candidate = node.candidates.get(lease);
    if (!node.paused) {
      candidate.tick();
    }
    Duration wait = candidate.nextTickAt().minus(node.now());
    long maxPause = settings.replyTimeout().toNanos() / 4;
    boolean isRanked = rankings.getOrDefault(lease, List.of()).contains(node.id);
    long pause =
        node.paused
            ? maxPause
            : wait.compareTo(Duration.ofSeconds(5)) > 0
                ? (isRanked ? 200 : 5_000) * MS
                : Math.max(
                    MS / 10, Math.min(maxPause, (long) (wait.toNanos() / node.clockRate) + 1000));
    scheduleAt(now + pause, () -> tickCandidate(node, incarnation, lease));
  }

  void broadcastMembers() {
    if (!updateMembers) {
      return;
    }
    Set<MixerId> members = new TreeSet<>();
    nodes.stream()
        .filter(each -> each.up && !(separateElectors && each.elector != null))
        .forEach(each -> members.add(each.id));
    leases.forEach(
        each -> rankings.put(each, CandidateRanking.top(each, members, settings.candidateCount())));
    nodes.stream()
        .filter(each -> each.up && !each.paused)
        .forEach(
            each ->
                each.candidates.values().forEach(candidate -> candidate.updateMembers(members)));
  }

  private void recordAcquired(Node node, LeaseName lease, FencingToken token) {
    FencingToken previous = lastAcquiredTokens.get(lease);
    if (previous != null && token.compareTo(previous) <= 0) {
      violations.add("token of " + lease.value() + " did not increase");
    }
    lastAcquiredTokens.put(lease, token);
    acquisitionCount++;
    Set<Node> holders = holdersByLease.computeIfAbsent(lease, any -> new LinkedHashSet<>());
    if (holders.add(node)) {
      onAcquired.accept(node, lease);
      sendWork(node, node.incarnation, lease);
    }
  }

  private void recordLost(Node node, LeaseName lease) {
    Set<Node> holders = holdersByLease.get(lease);
    if (holders != null && holders.remove(node) && holders.isEmpty()) {
      lostAt.put(lease, this.now);
    }
  }

  private void sendWork(Node node, long incarnation, LeaseName lease) {
    if (!node.up || node.incarnation != incarnation || node.paused) {
      return;
    }
    node.candidates
        .get(lease)
        .validToken()
        .ifPresent(
            token -> {
              node.lastUsedTokens.put(lease, token);
              long transitTime = 1 + random.nextLong(maxDelay);
              scheduleAt(now + transitTime, () -> presentToken(node, incarnation, lease, token));
              scheduleAt(now + workInterval, () -> sendWork(node, incarnation, lease));
            });
  }

  /** Presents a token to the guard. */
  void presentToken(Node node, long incarnation, LeaseName lease, FencingToken token) {
    try {
      guard.admit(lease, token);
      admittedCount++;
      String sender = node.index + "/" + incarnation;
      FencingToken previous = lastAdmittedTokens.get(lease);
      if (previous != null
          && (token.compareTo(previous) < 0
              || token.equals(previous) && !sender.equals(lastAdmittedSenders.get(lease)))) {
        violations.add("stale work was admitted for " + lease.value());
      }
      lastAdmittedTokens.put(lease, token);
      lastAdmittedSenders.put(lease, sender);
    } catch (LeaseException.StaleToken stale) {
      if (node.up && !node.paused && node.incarnation == incarnation) {
        node.candidates.get(lease).observeToken(stale.newest());
      }
    }
  }

  /**
   * Checks whether a lease has two holders now. A lease that has expired by its holder's own clock
   * does not count.
   */
  private void checkOverlaps() {
    for (Map.Entry<LeaseName, Set<Node>> entry : holdersByLease.entrySet()) {
      if (entry.getValue().size() > 1) {
        long activeCount =
            entry.getValue().stream()
                .filter(
                    node -> node.up && node.candidates.get(entry.getKey()).validToken().isPresent())
                .count();
        if (activeCount > 1) {
          long since = overlapSince.computeIfAbsent(entry.getKey(), any -> now);
          longestOverlap = Math.max(longestOverlap, now - since);
          if (!allowOverlap) {
            violations.add("two holders of " + entry.getKey().value());
          } else if (schedule.isEmpty() || schedule.peek().dueAt > now + MS) {
            scheduleAt(now + MS, () -> {});
          }
          continue;
        }
      }
      overlapSince.remove(entry.getKey());
    }
  }

  long sendFrom(Node from, MixerId to, LeaseMessage message) {
    Envelope envelope = new Envelope(from.id, from.incarnation, ++from.lastSequenceNumber, message);
    int index = messageCount++;
    SplittableRandom messageRandom = new SplittableRandom(seed * 31 + index);
    for (Envelope sent : messageFault.deliver(index, envelope, to)) {
      transmit(from, sent, to, messageRandom);
      if (messageRandom.nextDouble() < duplicateRate) {
        transmit(from, sent, to, messageRandom);
      }
    }
    return envelope.sequenceNumber();
  }

  void transmit(Node from, Envelope envelope, MixerId to, SplittableRandom messageRandom) {
    if (to.number() < 1 || to.number() > nodes.size()) {
      return; // a mutated message can name an unknown mixer
    }
    Node receiver = nodes.get((int) to.number() - 1);
    boolean lost = messageRandom.nextDouble() < lossRate;
    long transitTime =
        MS / 2
            + messageRandom.nextLong(maxDelay)
            + (messageRandom.nextInt(50) == 0 ? messageRandom.nextLong(20 * maxDelay) : 0);
    if (!lost && !blockedLinks.contains(from.index * 10_000L + receiver.index)) {
      scheduleAt(now + transitTime, () -> deliver(receiver, envelope));
    }
  }

  void deliver(Node node, Envelope envelope) {
    if (!node.up) {
      return;
    }
    if (node.paused) {
      if (node.pendingMessages.size() < 1000) {
        node.pendingMessages.add(envelope);
      }
      return;
    }
    if (node.elector != null) {
      node.elector
          .handle(envelope, node.now())
          .ifPresent(message -> sendFrom(node, envelope.sender(), message));
    }
    Candidate candidate = node.candidates.get(envelope.message().lease());
    if (candidate != null) {
      candidate.handle(envelope);
    }
  }

  void kill(Node node) {
    node.up = false;
    leases.forEach(lease -> recordLost(node, lease));
    scheduleAt(now + 3_000 * MS, this::broadcastMembers);
  }

  /** Starts a killed mixer again, with all memory lost. */
  void restart(Node node) {
    start(node);
    scheduleAt(now + 200 * MS, this::broadcastMembers);
  }

  /** Stops a mixer without loss of memory; it receives its messages after {@link #resume}. */
  void pause(Node node) {
    node.paused = true;
  }

  void resume(Node node) {
    if (!node.up || !node.paused) {
      return;
    }
    node.paused = false;
    // the holder checked its clock before the pause, so its work is sent only now
    node.lastUsedTokens.forEach(
        (lease, token) -> presentToken(node, node.incarnation, lease, token));
    List<Envelope> delivered = new ArrayList<>(node.pendingMessages);
    node.pendingMessages.clear();
    delivered.forEach(envelope -> deliver(node, envelope));
    broadcastMembers();
  }

  /**
   * Ends all faults, waits, and records a violation for each lease that does not have exactly one
   * holder then.
   */
  void checkRecovery(long durationMs) {
    lossRate = 0;
    blockedLinks.clear();
    messageFault = (index, envelope, to) -> List.of(envelope);
    for (Node node : nodes) {
      if (!node.up) {
        restart(node);
      }
      resume(node);
    }
    broadcastMembers();
    runUntil(now + durationMs * MS);
    if (leases.stream().anyMatch(lease -> holderCount(lease) != 1)) {
      runUntil(now + 150 * MS); // a handover may just be in progress
    }
    for (LeaseName lease : leases) {
      if (holderCount(lease) != 1) {
        violations.add(holderCount(lease) + " holders of " + lease.value() + " after recovery");
      }
    }
  }

  /** Cuts one mixer off from all other mixers, but not from the guard. */
  void isolate(Node node, long durationMs) {
    if (node != null) {
      Set<Long> links = new TreeSet<>();
      for (Node other : nodes) {
        links.add(node.index * 10_000L + other.index);
        links.add(other.index * 10_000L + node.index);
      }
      links.removeAll(blockedLinks);
      blockedLinks.addAll(links);
      scheduleAt(now + durationMs * MS, () -> blockedLinks.removeAll(links));
    }
  }

  long holderCount(LeaseName lease) {
    return nodes.stream()
        .filter(
            node -> node.up && !node.paused && node.candidates.get(lease).validToken().isPresent())
        .count();
  }

  Node holder(LeaseName lease) {
    return nodes.stream()
        .filter(node -> node.up && node.candidates.get(lease).validToken().isPresent())
        .findFirst()
        .orElse(null);
  }

  void withHolder(LeaseName lease, java.util.function.Consumer<Candidate> action) {
    if (holder(lease) != null) {
      action.accept(holder(lease).candidates.get(lease));
    }
  }

  /** Runs for the given time with randomly drawn faults. */
  void runWithRandomFaults(long durationMs) {
    lossRate = random.nextInt(3) * 0.1;
    duplicateRate = random.nextInt(2) * 0.1;
    maxDelay = (1 + random.nextLong(60)) * MS;
    long end = now + durationMs * MS;
    for (long time = now; time < end; time += random.nextLong(1500) * MS + 100 * MS) {
      Node node = nodes.get(random.nextInt(nodes.size()));
      Node other = nodes.get(random.nextInt(nodes.size()));
      LeaseName lease = leases.get(random.nextInt(leases.size()));
      long duration = (50 + random.nextLong(random.nextInt(2) == 0 ? 3_000 : 9_000)) * MS;
      int faultKind = random.nextInt(17) / 2;
      long startedAt = time;
      scheduleAt(
          time,
          () -> {
            if (faultKind <= 1 && node.up) {
              kill(node);
              scheduleAt(
                  startedAt + duration / 4,
                  () -> {
                    if (!node.up) {
                      restart(node);
                    }
                  });
            } else if (faultKind <= 3 && node.up && !node.paused) {
              pause(node);
              scheduleAt(startedAt + duration, () -> resume(node));
            } else if (faultKind == 4) {
              blockedLinks.add(node.index * 10_000L + other.index);
              scheduleAt(
                  startedAt + duration,
                  () -> blockedLinks.remove(node.index * 10_000L + other.index));
            } else if (faultKind == 5) {
              nodes.forEach(each -> blockedLinks.add(node.index * 10_000L + each.index));
              scheduleAt(
                  startedAt + duration,
                  () ->
                      nodes.forEach(
                          each -> blockedLinks.remove(node.index * 10_000L + each.index)));
            } else if (faultKind == 8) {
              for (Node each : nodes) {
                if (each.up && (duration % 2 == 0 || random.nextInt(3) > 0)) {
                  kill(each);
                  scheduleAt(
                      startedAt + 200 * MS,
                      () -> {
                        if (!each.up) {
                          restart(each);
                        }
                      });
                }
              }
            } else if (faultKind == 6 && holder(lease) != null) {
              holder(lease).candidates.get(lease).handOverTo(other.id);
            } else if (faultKind == 7 && holder(lease) != null) {
              Node resigning = holder(lease);
              resigning.candidates.get(lease).resign();
              scheduleAt(
                  startedAt + duration / 2,
                  () -> {
                    if (resigning.up) {
                      resigning.candidates.get(lease).setProhibited(false);
                    }
                  });
            }
          });
    }
    runUntil(end);
  }
}
