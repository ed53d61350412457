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
 * Mixers that talk, in simulated time: the cores of {@code peers} as a mixer runs them, with faults
 * by message (loss, delay, doubled and reordered, cut both ways or one way), processes stopped,
 * killed and started anew, clocks set off, and hostile ones. The same setup plays the same.
 *
 * <p>Boxes are alive or dead by the schedule; each mixer sends them parts at its own rate, benches
 * one that fails it twice in a row, and asks it when it is its turn. What the mixer's own module
 * does is left out: only what talk adds is played here.
 */
public final class PeerSimulation {
  /** What goes wrong; {@code some} are those it befalls, {@code others} the far side of a cut. */
  public record Fault(
      Kind kind,
      double startMs,
      double durationMs,
      Set<Integer> targets,
      Set<Integer> others,
      double magnitude) {
    /** What goes wrong. */
    public enum Kind {
      /** Nothing goes between some and others. */
      CUT,
      /** Nothing goes from some to others. */
      CUT_ONE_WAY,
      /** Processes stand still, and what comes for them waits, so much at most. */
      STOP,
      /** Processes end, and new ones start empty under their names. */
      KILL,
      /** They say that all boxes fail. */
      LIE,
      /** They claim an endless demand. */
      GREED,
      /** They send again what was sent to them before. */
      REPEAT,
      /** They claim turns that are not theirs, and that the dead box answers. */
      CLAIM,
      /** So many boxes are dead. */
      BOXES_DEAD
    }

    boolean isActive(double now) {
      return now >= startMs && now < startMs + durationMs;
    }
  }

  /**
   * {@code loss}, {@code twice}: shares of letters lost and doubled; {@code delayMs}: the most of
   * an even delay; {@code clockMs}: clocks are off by as much at the most; {@code rate}: parts a
   * second and mixer.
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
      PeerNode.Settings rules) {
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

  /** What came of it. Times in ms, bytes of letters without datagrams' heads. */
  public static final class Result {
    /** By second: the most and the mean bytes that one mixer sent. */
    public final List<double[]> bytesBySecond = new ArrayList<>();

    /** Living mixers taken for gone by others who could hear them, over the run. */
    public int falselyGone;

    /** For each kill: when the last of the others knew. */
    public final List<Double> detectionTimesMs = new ArrayList<>();

    /** Asks of dead boxes by second, and of boxes alive. */
    public final Map<Integer, Integer> deadBoxProbes = new TreeMap<>();

    /** For each box that came back: when the first, and when all who had benched it, asked it. */
    public final List<double[]> recoveryTimesMs = new ArrayList<>();

    /** The largest doubt that an honest mixer had of a box that was alive. */
    public double maxFailureShareOfLiveBox;

    /** The largest demand believed over the true one. */
    public double maxDemandRatio;

    /** Pairs of living mixers that do not know each other as there, at the end. */
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

  /** One mixer's process. */
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
      partsPerSecond =
          setup.partsPerSecond * (number == 0 ? 10 : 1); // one has ten times what the others have
    }

    void start() {
      alive = true;
      startedAt = scheduler.now();
      peerNode =
          new PeerNode(
              peer(number),
              address(number),
              START_UNIX_MS + (long) (startedAt + clockOffsetMs),
              withZone(setup.rules, zone),
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
      // the first few places are told to all, as a file would tell them
      peerNode.start(List.of(address(0), address(1 % setup.mixers), address(2 % setup.mixers)));
      PeerNode mine = peerNode;
      runLater(random.nextDouble() * TICK_MS, mine, this::tick);
      runLater(1000 * random.nextDouble() / partsPerSecond, mine, this::sendPart);
    }

    /**
     * Something of this process, later; not if it has ended, and when it goes on if it is stopped.
     */
    void runLater(double span, PeerNode mine, Runnable task) {
      scheduler.schedule(scheduler.now() + span, () -> run(mine, task));
    }

    private void run(PeerNode mine, Runnable task) {
      if (alive && peerNode == mine) {
        if (isActive(Fault.Kind.STOP, number)) {
          suspendedTasks.add(task);
        } else {
          task.run();
        }
      }
    }

    void tick() {
      peerNode.tick();
      for (Map.Entry<Long, Double> each : List.copyOf(ejectedUntil.entrySet())) {
        long box = each.getKey();
        if (each.getValue() <= scheduler.now()
            && !probing.contains(box)
            && peerNode.shouldProbe(box)) {
          probe(box);
        }
      }
      if (isActive(Fault.Kind.REPEAT, number) && !recordedMessages.isEmpty()) {
        for (int i = 0; i < 5; i++) {
          byte[] again = recordedMessages.poll();
          recordedMessages.add(again);
          send(address(random.nextInt(setup.mixers)), again);
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
      boolean answers = !isDead(box);
      if (!answers) {
        result.deadBoxProbes.merge((int) (scheduler.now() / 1000), 1, Integer::sum);
      } else {
        for (BoxRecovery each : recoveries) {
          if (each.box == box && scheduler.now() >= each.recoveredAt) {
            each.firstProbe = Math.min(each.firstProbe, scheduler.now());
            each.lastProbe = Math.max(each.lastProbe, scheduler.now());
          }
        }
      }
      runLater(
          answers ? 2 : 250,
          peerNode,
          () -> {
            probing.remove(box);
            peerNode.probeEnded(box, answers);
            if (answers) {
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
    public void send(PeerAddress to, byte[] letter) {
      int other = to.port() - 1;
      if (random.nextDouble() < setup.lossShare || isCut(number, other)) {
        return;
      }
      for (int copies = random.nextDouble() < setup.duplicateShare ? 2 : 1; copies > 0; copies--) {
        scheduler.schedule(
            scheduler.now() + 0.1 + random.nextDouble() * setup.maxDelayMs,
            () -> nodes.get(other).receive(number, letter));
      }
    }

    private void receive(int from, byte[] letter) {
      if (alive && (!isActive(Fault.Kind.STOP, number) || suspendedTasks.size() < BUFFER_LIMIT)) {
        if (isActive(Fault.Kind.REPEAT, number)
            || recordedMessages.size() < BUFFER_LIMIT && hostileMixers.contains(number)) {
          recordedMessages.add(letter);
          if (recordedMessages.size() > BUFFER_LIMIT) {
            recordedMessages.poll();
          }
        }
        run(peerNode, () -> peerNode.received(address(from), letter));
      }
    }

    @Override
    public void boxAnswered(long box) {
      ejectedUntil.computeIfPresent(box, (each, until) -> scheduler.now());
    }

    @Override
    public void peerChanged(PeerRecord now) {
      if (now.state() != PeerRecord.State.GONE) {
        return;
      }
      int who = (int) now.peer().number() - 1;
      Node node = nodes.get(who);
      if (node.alive && now.incarnation() == node.peerNode.membership().incarnation(peer(who))) {
        return;
      }
      for (Restart death : restarts) {
        if (death.mixer == who
            && scheduler.now() >= death.killedAt
            && scheduler.now() < death.killedAt + death.downMs) {
          death.detectedAt = scheduler.now();
          return;
        }
      }
      boolean excused =
          setup.faults.stream()
              .anyMatch(
                  fault ->
                      scheduler.now() >= fault.startMs
                          && scheduler.now() < fault.startMs + fault.durationMs + 10_000
                          && fault.kind != Fault.Kind.BOXES_DEAD
                          && (fault.targets.contains(who)
                              || fault.targets.contains(number)
                              || fault.others.contains(who)
                              || fault.others.contains(number)));
      if (!excused) {
        result.falselyGone++;
      }
    }
  }

  private static final class Restart {
    final int mixer;
    final double killedAt;
    final double downMs;
    double detectedAt = Double.NaN;

    Restart(int who, double at, double away) {
      this.mixer = who;
      this.killedAt = at;
      this.downMs = away;
    }
  }

  private static final class BoxRecovery {
    final long box;
    final double recoveredAt;
    double firstProbe = Double.POSITIVE_INFINITY;
    double lastProbe = Double.NEGATIVE_INFINITY;

    BoxRecovery(long box, double at) {
      this.box = box;
      this.recoveredAt = at;
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

  /** So many numbers from one on, for a fault. */
  public static Set<Integer> range(int from, int count) {
    Set<Integer> some = new LinkedHashSet<>();
    for (int i = from; i < from + count; i++) {
      some.add(i);
    }
    return some;
  }

  private static PeerId peer(int number) {
    return new PeerId(number + 1L);
  }

  private static PeerAddress address(int number) {
    return new PeerAddress(0x7F000001, number + 1);
  }

  private static PeerNode.Settings withZone(PeerNode.Settings rules, int zone) {
    return new PeerNode.Settings(
        rules.membership(),
        zone,
        rules.reportPeriod(),
        rules.reportFanout(),
        rules.observationSpan(),
        rules.reportLifetime(),
        rules.minWitnesses(),
        rules.roundPeriod(),
        rules.roundStep(),
        rules.maxBoxes(),
        rules.maxBytesPerSecond());
  }

  private boolean isActive(Fault.Kind kind, int number) {
    for (Fault fault : setup.faults) {
      if (fault.kind == kind && fault.isActive(scheduler.now()) && fault.targets.contains(number)) {
        return true;
      }
    }
    return false;
  }

  private boolean isCut(int from, int to) {
    for (Fault fault : setup.faults) {
      if (fault.isActive(scheduler.now())) {
        boolean forth = fault.targets.contains(from) && fault.others.contains(to);
        boolean back = fault.targets.contains(to) && fault.others.contains(from);
        if (fault.kind == Fault.Kind.CUT && (forth || back)
            || fault.kind == Fault.Kind.CUT_ONE_WAY && forth) {
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
    restarts.forEach(death -> result.detectionTimesMs.add(death.detectedAt - death.killedAt));
    recoveries.forEach(
        each ->
            result.recoveryTimesMs.add(
                new double[] {
                  each.firstProbe - each.recoveredAt, each.lastProbe - each.recoveredAt
                }));
    for (Node one : nodes) {
      for (Node other : nodes) {
        boolean both = one != other && one.alive && other.alive;
        result.unknownPairs +=
            both && one.peerNode.membership().incarnation(peer(other.number)) == 0 ? 1 : 0;
      }
      if (one.alive) {
        one.peerNode
            .counts()
            .forEach((which, count) -> result.peerCounts.merge(which, count, Long::sum));
        for (Membership.Count which : Membership.Count.values()) {
          result.membershipCounts.merge(which, one.peerNode.membership().count(which), Long::sum);
        }
      }
    }
    return result;
  }

  private void schedule(Fault fault) {
    switch (fault.kind) {
      case KILL ->
          fault.targets.forEach(
              who -> {
                restarts.add(new Restart(who, fault.startMs, fault.durationMs));
                scheduler.schedule(
                    fault.startMs,
                    () -> {
                      nodes.get(who).alive = false;
                      nodes.get(who).suspendedTasks.clear();
                    });
                scheduler.schedule(fault.startMs + fault.durationMs, () -> nodes.get(who).start());
              });
      case STOP ->
          fault.targets.forEach(
              who ->
                  scheduler.schedule(
                      fault.startMs + fault.durationMs,
                      () -> {
                        Node node = nodes.get(who);
                        List<Runnable> due = new ArrayList<>(node.suspendedTasks);
                        node.suspendedTasks.clear();
                        due.forEach(task -> node.run(node.peerNode, task));
                      }));
      case BOXES_DEAD ->
          fault.targets.forEach(
              box -> recoveries.add(new BoxRecovery(box, fault.startMs + fault.durationMs)));
      case LIE, GREED, REPEAT, CLAIM -> hostileMixers.addAll(fault.targets);
      default -> {}
    }
  }

  private void measure() {
    double most = 0;
    double sum = 0;
    double asked = 0;
    int count = 0;
    for (Node node : nodes) {
      if (node.alive) {
        double sent = node.peerNode.bytesSent() - node.bytesAtLastMeasure;
        node.bytesAtLastMeasure = node.peerNode.bytesSent();
        most = Math.max(most, sent);
        sum += sent;
        count++;
        asked += hostileMixers.contains(node.number) ? 0 : node.partsPerSecond;
      }
    }
    result.bytesBySecond.add(new double[] {most, sum / Math.max(1, count)});
    for (Node node : nodes) {
      if (node.alive && !hostileMixers.contains(node.number)) {
        for (long box = 0; box < setup.boxes; box++) {
          double doubt = node.peerNode.failureShare(box);
          if (hasBeenAliveFor(box, 15_000)) {
            result.maxFailureShareOfLiveBox = Math.max(result.maxFailureShareOfLiveBox, doubt);
          }
        }
        if (scheduler.now() > 15_000) {
          // what is heard is a sample of the fleet: the sum of what it tells, over what those would
          // ask
          result.maxDemandRatio =
              Math.max(result.maxDemandRatio, node.peerNode.fleetDemand() / Math.max(1, asked));
        }
      }
    }
  }

  private boolean hasBeenAliveFor(long box, double span) {
    return setup.faults.stream()
        .noneMatch(
            fault ->
                fault.kind == Fault.Kind.BOXES_DEAD
                    && fault.targets.contains((int) box)
                    && scheduler.now() >= fault.startMs
                    && scheduler.now() < fault.startMs + fault.durationMs + span);
  }
}
