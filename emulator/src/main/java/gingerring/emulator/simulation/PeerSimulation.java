package gingerring.emulator.simulation;

import gingerring.peers.Membership;
import gingerring.peers.MessageAuthenticator;
import gingerring.peers.PeerAddress;
import gingerring.peers.PeerId;
import gingerring.peers.PeerNode;
import gingerring.peers.PeerRecord;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Simulates the peer protocol of a fleet in simulated time. The nodes of {@code peers} run as in a
 * mixer, with faults of messages (loss, delay, duplication, reordering, cuts in both directions or
 * one), stopped, killed and restarted processes, clock offsets, and hostile peers. The same
 * parameters give the same run.
 *
 * <p>Boxes are alive or dead by the schedule. Each mixer sends parts at its own rate, ejects a box
 * that fails twice in a row, and probes an ejected box when the mixer's turn comes. The rest of a
 * mixer is left out: only the effect of the peer protocol is simulated.
 */
public final class PeerSimulation {
  /**
   * A fault; {@code targets} are the mixers or boxes affected, {@code others} the far side of a
   * cut.
   */
  public record Fault(
      Kind kind,
      double startMs,
      double durationMs,
      Set<Integer> targets,
      Set<Integer> others,
      double magnitude) {
    /** The kinds of faults. */
    public enum Kind {
      /** No message passes between the fault's {@code targets} and its {@code others}. */
      CUT,
      /**
       * No message passes from the fault's {@code targets} to its {@code others}; messages in the
       * opposite direction pass.
       */
      CUT_ONE_WAY,
      /**
       * The processes of the target mixers are stopped; a limited number of received messages waits
       * for each of them.
       */
      STOP,
      /**
       * The processes of the target mixers are killed, and restarted without state under the same
       * ids.
       */
      KILL,
      /** The target mixers report that all boxes fail. */
      LIE,
      /** The target mixers report an enormous demand. */
      GREED,
      /** The target mixers resend messages that they received before. */
      REPEAT,
      /** The target mixers claim the turns of other mixers and report that dead boxes answer. */
      CLAIM,
      /** The boxes in the fault's {@code targets} are dead. */
      BOXES_DEAD
    }

    boolean isActive(double now) {
      return now >= startMs && now < startMs + durationMs;
    }
  }

  /**
   * Parameters. {@code lossShare} and {@code duplicateShare} are the shares of messages lost and
   * duplicated; {@code maxDelayMs} is the upper bound of a uniformly distributed delay; {@code
   * maxClockOffsetMs} the largest clock offset; {@code partsPerSecond} the parts a second of each
   * mixer.
   */
  public record Setup(
      int mixers,
      int zones,
      int boxes,
      double lossShare,
      double duplicateShare,
      double maxDelayMs,
      double maxClockOffsetMs,
      double partsPerSecond,
      double seconds,
      long seed,
      List<Fault> faults,
      PeerNode.Settings settings) {
    public static Setup defaults(int mixers, double seconds, long seed, List<Fault> faults) {
      return new Setup(
          mixers,
          3,
          20,
          0.02,
          0.005,
          20,
          50,
          5,
          seconds,
          seed,
          faults,
          PeerNode.Settings.defaults());
    }
  }

  /** The result. Times are in ms; bytes are those of messages without datagram headers. */
  public static final class Result {
    /** By second, the largest and the mean number of bytes that a mixer sent. */
    public final List<double[]> bytesBySecond = new ArrayList<>();

    /** How often a live, reachable mixer was marked as gone. */
    public int falselyMarkedGone;

    /** For each kill, the time until the last of the other mixers detected it. */
    public final List<Double> detectionTimesMs = new ArrayList<>();

    /** Probes of dead boxes by second. */
    public final Map<Integer, Integer> deadBoxProbes = new TreeMap<>();

    /**
     * For each recovered box, the time to the first probe and to the last probe by a mixer that had
     * ejected it.
     */
    public final List<double[]> recoveryTimesMs = new ArrayList<>();

    /** The largest failure share that an honest mixer estimated for a box that was alive. */
    public double maxFailureShareOfLiveBox;

    /** The largest ratio of the estimated fleet demand to the true one. */
    public double maxDemandRatio;

    /** Ordered pairs of live mixers of which one does not list the other as present at the end. */
    public int unknownPairs;

    public final Map<PeerNode.Count, Long> peerCounts = new TreeMap<>();
    public final Map<Membership.Count, Long> membershipCounts = new TreeMap<>();
  }

  private static final double TICK_MS = 100;
  private static final int BUFFER_LIMIT = 64;
  private static final double EJECTION_MS = 2000;
  private static final long START_UNIX_MS = 1_700_000_000_000L;
  private static final byte[] SHARED_KEY =
      "a key for play alone".getBytes(StandardCharsets.US_ASCII);

  /** The process of one mixer. */
  private final class Node implements PeerNode.Host {
    final int number;
    final int zone;
    final double clockOffsetMs;
    final double partsPerSecond;
    double startedAt;
    PeerNode peerNode;
    boolean alive;
    final Deque<Runnable> suspendedTasks = new ArrayDeque<>();
    final Deque<byte[]> recordedMessages = new ArrayDeque<>();
    final Map<Long, Integer> consecutiveFailures = new HashMap<>();
    final Map<Long, Double> ejectedUntil = new HashMap<>();
    final Set<Long> probing = new HashSet<>();
    long bytesAtLastMeasure;

    Node(int number) {
      this.number = number;
      zone = number % Math.max(1, setup.zones);
      clockOffsetMs = (random.nextDouble() * 2 - 1) * setup.maxClockOffsetMs;
      // one mixer has ten times the demand of each other one
      partsPerSecond = setup.partsPerSecond * (number == 0 ? 10 : 1);
    }

    void start() {
      alive = true;
      startedAt = scheduler.now();
      peerNode =
          new PeerNode(
              peer(number),
              address(number),
              START_UNIX_MS + (long) (startedAt + clockOffsetMs),
              withZone(setup.settings, zone),
              MessageAuthenticator.of(List.of(SHARED_KEY)),
              random.split(),
              this);
      List<Long> boxes = new ArrayList<>();
      for (long box = 0; box < setup.boxes; box++) {
        boxes.add(box);
      }
      peerNode.boxesListed(boxes);
      bytesAtLastMeasure = 0;
      consecutiveFailures.clear();
      ejectedUntil.clear();
      probing.clear();
      // the first three addresses are given to all nodes, as a peers file does
      peerNode.start(List.of(address(0), address(1 % setup.mixers), address(2 % setup.mixers)));
      PeerNode owner = peerNode;
      runLater(random.nextDouble() * TICK_MS, owner, this::tick);
      runLater(1000 * random.nextDouble() / partsPerSecond, owner, this::sendPart);
    }

    /**
     * Runs a task of this process after a delay. The task is dropped if the process has ended by
     * then, and postponed until the process continues if it is stopped.
     */
    void runLater(double delayMs, PeerNode owner, Runnable task) {
      scheduler.schedule(scheduler.now() + delayMs, () -> run(owner, task));
    }

    private void run(PeerNode owner, Runnable task) {
      if (alive && peerNode == owner) {
        if (isActive(Fault.Kind.STOP, number)) {
          suspendedTasks.add(task);
        } else {
          task.run();
        }
      }
    }

    void tick() {
      peerNode.tick();
      for (Map.Entry<Long, Double> entry : List.copyOf(ejectedUntil.entrySet())) {
        long box = entry.getKey();
        if (entry.getValue() <= scheduler.now()
            && !probing.contains(box)
            && peerNode.shouldProbe(box)) {
          probe(box);
        }
      }
      if (isActive(Fault.Kind.REPEAT, number) && !recordedMessages.isEmpty()) {
        for (int i = 0; i < 5; i++) {
          byte[] message = recordedMessages.poll();
          recordedMessages.add(message);
          send(address(random.nextInt(setup.mixers)), message);
        }
      }
      if (isActive(Fault.Kind.CLAIM, number)) {
        for (long box = 0; box < setup.boxes; box++) {
          peerNode.probeStarted(box);
          peerNode.probeEnded(box, true);
        }
      }
      runLater(TICK_MS, peerNode, this::tick);
    }

    private void probe(long box) {
      probing.add(box);
      peerNode.probeStarted(box);
      boolean responds = !isDead(box);
      if (!responds) {
        result.deadBoxProbes.merge((int) (scheduler.now() / 1000), 1, Integer::sum);
      } else {
        for (BoxRecovery recovery : recoveries) {
          if (recovery.box == box && scheduler.now() >= recovery.recoveredAt) {
            recovery.firstProbe = Math.min(recovery.firstProbe, scheduler.now());
            recovery.lastProbe = Math.max(recovery.lastProbe, scheduler.now());
          }
        }
      }
      runLater(
          responds ? 2 : 250,
          peerNode,
          () -> {
            probing.remove(box);
            peerNode.probeEnded(box, responds);
            if (responds) {
              ejectedUntil.remove(box);
              consecutiveFailures.remove(box);
            } else {
              ejectedUntil.put(box, scheduler.now() + EJECTION_MS);
            }
          });
    }

    void sendPart() {
      long box = random.nextInt(setup.boxes);
      if (!ejectedUntil.containsKey(box)) {
        boolean answered = !isDead(box);
        if (isActive(Fault.Kind.LIE, number)) {
          peerNode.attemptEnded(box, false);
          peerNode.ejected(box);
        } else if (answered) {
          peerNode.attemptEnded(box, true);
          consecutiveFailures.remove(box);
        } else {
          peerNode.attemptEnded(box, false);
          if (consecutiveFailures.merge(box, 1, Integer::sum) >= 2) {
            peerNode.ejected(box);
            ejectedUntil.put(box, scheduler.now() + EJECTION_MS);
          }
        }
      }
      if (isActive(Fault.Kind.GREED, number)) {
        for (int i = 0; i < 1000; i++) {
          peerNode.attemptEnded(box, true);
        }
      }
      runLater(
          -1000 * Math.log(1 - random.nextDouble()) / partsPerSecond, peerNode, this::sendPart);
    }

    @Override
    public Duration now() {
      return Duration.ofNanos((long) Math.ceil((scheduler.now() - startedAt) * 1e6));
    }

    @Override
    public void send(PeerAddress target, byte[] message) {
      int receiver = target.port() - 1;
      if (random.nextDouble() < setup.lossShare || isCut(number, receiver)) {
        return;
      }
      for (int copies = random.nextDouble() < setup.duplicateShare ? 2 : 1; copies > 0; copies--) {
        scheduler.schedule(
            scheduler.now() + 0.1 + random.nextDouble() * setup.maxDelayMs,
            () -> nodes.get(receiver).receive(number, message));
      }
    }

    private void receive(int sender, byte[] message) {
      if (alive && (!isActive(Fault.Kind.STOP, number) || suspendedTasks.size() < BUFFER_LIMIT)) {
        if (isActive(Fault.Kind.REPEAT, number)
            || recordedMessages.size() < BUFFER_LIMIT && hostileMixers.contains(number)) {
          recordedMessages.add(message);
          if (recordedMessages.size() > BUFFER_LIMIT) {
            recordedMessages.poll();
          }
        }
        run(peerNode, () -> peerNode.received(address(sender), message));
      }
    }

    @Override
    public void boxAnswered(long box) {
      ejectedUntil.computeIfPresent(box, (ejectedBox, until) -> scheduler.now());
    }

    @Override
    public void peerChanged(PeerRecord record) {
      if (record.state() != PeerRecord.State.GONE) {
        return;
      }
      int changedMixer = (int) record.peer().number() - 1;
      Node node = nodes.get(changedMixer);
      if (node.alive
          && record.incarnation() == node.peerNode.membership().incarnation(peer(changedMixer))) {
        return;
      }
      for (Restart restart : restarts) {
        if (restart.mixer == changedMixer
            && scheduler.now() >= restart.killedAt
            && scheduler.now() < restart.killedAt + restart.downMs) {
          restart.detectedAt = scheduler.now();
          return;
        }
      }
      boolean explained =
          setup.faults.stream()
              .anyMatch(
                  fault ->
                      scheduler.now() >= fault.startMs
                          && scheduler.now() < fault.startMs + fault.durationMs + 10_000
                          && fault.kind != Fault.Kind.BOXES_DEAD
                          && (fault.targets.contains(changedMixer)
                              || fault.targets.contains(number)
                              || fault.others.contains(changedMixer)
                              || fault.others.contains(number)));
      if (!explained) {
        result.falselyMarkedGone++;
      }
    }
  }

  private static final class Restart {
    final int mixer;
    final double killedAt;
    final double downMs;
    double detectedAt = Double.NaN;

    Restart(int mixer, double killedAt, double downMs) {
      this.mixer = mixer;
      this.killedAt = killedAt;
      this.downMs = downMs;
    }
  }

  private static final class BoxRecovery {
    final long box;
    final double recoveredAt;
    double firstProbe = Double.POSITIVE_INFINITY;
    double lastProbe = Double.NEGATIVE_INFINITY;

    BoxRecovery(long box, double recoveredAt) {
      this.box = box;
      this.recoveredAt = recoveredAt;
    }
  }

  private final Setup setup;
  private final EventScheduler scheduler = new EventScheduler();
  private final SplittableRandom random;
  private final List<Node> nodes = new ArrayList<>();
  private final List<Restart> restarts = new ArrayList<>();
  private final List<BoxRecovery> recoveries = new ArrayList<>();
  private final Set<Integer> hostileMixers = new HashSet<>();
  private final Result result = new Result();

  private PeerSimulation(Setup setup) {
    this.setup = setup;
    random = new SplittableRandom(setup.seed);
  }

  public static Result run(Setup setup) {
    return new PeerSimulation(setup).simulate();
  }

  /** Returns consecutive numbers for the targets of a fault. */
  public static Set<Integer> range(int first, int count) {
    Set<Integer> numbers = new LinkedHashSet<>();
    for (int i = first; i < first + count; i++) {
      numbers.add(i);
    }
    return numbers;
  }

  private static PeerId peer(int mixer) {
    return new PeerId(mixer + 1L);
  }

  private static PeerAddress address(int mixer) {
    return new PeerAddress(0x7F000001, mixer + 1);
  }

  private static PeerNode.Settings withZone(PeerNode.Settings settings, int zone) {
    return new PeerNode.Settings(
        settings.membership(),
        zone,
        settings.reportPeriod(),
        settings.reportFanout(),
        settings.observationSpan(),
        settings.reportLifetime(),
        settings.minWitnesses(),
        settings.roundPeriod(),
        settings.roundStep(),
        settings.maxBoxes(),
        settings.maxBytesPerSecond());
  }

  private boolean isActive(Fault.Kind kind, int target) {
    for (Fault fault : setup.faults) {
      if (fault.kind == kind && fault.isActive(scheduler.now()) && fault.targets.contains(target)) {
        return true;
      }
    }
    return false;
  }

  private boolean isCut(int sender, int receiver) {
    for (Fault fault : setup.faults) {
      if (fault.isActive(scheduler.now())) {
        boolean forward = fault.targets.contains(sender) && fault.others.contains(receiver);
        boolean backward = fault.targets.contains(receiver) && fault.others.contains(sender);
        if (fault.kind == Fault.Kind.CUT && (forward || backward)
            || fault.kind == Fault.Kind.CUT_ONE_WAY && forward) {
          return true;
        }
      }
    }
    return false;
  }

  private boolean isDead(long box) {
    return isActive(Fault.Kind.BOXES_DEAD, (int) box);
  }

  private Result simulate() {
    for (int i = 0; i < setup.mixers; i++) {
      nodes.add(new Node(i));
    }
    for (Fault fault : setup.faults) {
      schedule(fault);
    }
    nodes.forEach(node -> scheduler.schedule(random.nextDouble() * 500, node::start));
    for (int second = 1; second <= setup.seconds; second++) {
      scheduler.runUntil(second * 1000.0);
      measure();
    }
    restarts.forEach(restart -> result.detectionTimesMs.add(restart.detectedAt - restart.killedAt));
    recoveries.forEach(
        recovery ->
            result.recoveryTimesMs.add(
                new double[] {
                  recovery.firstProbe - recovery.recoveredAt,
                  recovery.lastProbe - recovery.recoveredAt
                }));
    for (Node node : nodes) {
      for (Node otherNode : nodes) {
        boolean bothAlive = node != otherNode && node.alive && otherNode.alive;
        result.unknownPairs +=
            bothAlive && node.peerNode.membership().incarnation(peer(otherNode.number)) == 0
                ? 1
                : 0;
      }
      if (node.alive) {
        node.peerNode
            .counts()
            .forEach((counter, count) -> result.peerCounts.merge(counter, count, Long::sum));
        for (Membership.Count counter : Membership.Count.values()) {
          result.membershipCounts.merge(
              counter, node.peerNode.membership().count(counter), Long::sum);
        }
      }
    }
    return result;
  }

  private void schedule(Fault fault) {
    switch (fault.kind) {
      case KILL ->
          fault.targets.forEach(
              mixer -> {
                restarts.add(new Restart(mixer, fault.startMs, fault.durationMs));
                scheduler.schedule(
                    fault.startMs,
                    () -> {
                      nodes.get(mixer).alive = false;
                      nodes.get(mixer).suspendedTasks.clear();
                    });
                scheduler.schedule(
                    fault.startMs + fault.durationMs, () -> nodes.get(mixer).start());
              });
      case STOP ->
          fault.targets.forEach(
              mixer ->
                  scheduler.schedule(
                      fault.startMs + fault.durationMs,
                      () -> {
                        Node node = nodes.get(mixer);
                        List<Runnable> tasks = new ArrayList<>(node.suspendedTasks);
                        node.suspendedTasks.clear();
                        tasks.forEach(task -> node.run(node.peerNode, task));
                      }));
      case BOXES_DEAD ->
          fault.targets.forEach(
              box -> recoveries.add(new BoxRecovery(box, fault.startMs + fault.durationMs)));
      case LIE, GREED, REPEAT, CLAIM -> hostileMixers.addAll(fault.targets);
      default -> {}
    }
  }

  private void measure() {
    double maxBytes = 0;
    double totalBytes = 0;
    double demandPerSecond = 0;
    int aliveMixers = 0;
    for (Node node : nodes) {
      if (node.alive) {
        double bytes = node.peerNode.bytesSent() - node.bytesAtLastMeasure;
        node.bytesAtLastMeasure = node.peerNode.bytesSent();
        maxBytes = Math.max(maxBytes, bytes);
        totalBytes += bytes;
        aliveMixers++;
        demandPerSecond += hostileMixers.contains(node.number) ? 0 : node.partsPerSecond;
      }
    }
    result.bytesBySecond.add(new double[] {maxBytes, totalBytes / Math.max(1, aliveMixers)});
    for (Node node : nodes) {
      if (node.alive && !hostileMixers.contains(node.number)) {
        for (long box = 0; box < setup.boxes; box++) {
          double failureShare = node.peerNode.failureShare(box);
          if (hasBeenAliveFor(box, 15_000)) {
            result.maxFailureShareOfLiveBox =
                Math.max(result.maxFailureShareOfLiveBox, failureShare);
          }
        }
        if (scheduler.now() > 15_000) {
          // A node receives reports from a sample of the fleet. The ratio compares its estimate
          // of the demand with the true demand of the honest mixers.
          result.maxDemandRatio =
              Math.max(
                  result.maxDemandRatio,
                  node.peerNode.fleetDemand() / Math.max(1, demandPerSecond));
        }
      }
    }
  }

  private boolean hasBeenAliveFor(long box, double durationMs) {
    return setup.faults.stream()
        .noneMatch(
            fault ->
                fault.kind == Fault.Kind.BOXES_DEAD
                    && fault.targets.contains((int) box)
                    && scheduler.now() >= fault.startMs
                    && scheduler.now() < fault.startMs + fault.durationMs + durationMs);
  }
}
