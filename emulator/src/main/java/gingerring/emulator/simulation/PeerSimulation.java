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
      Kind kind, double atMs, double forMs, Set<Integer> some, Set<Integer> others, double size) {
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

    boolean during(double now) {
      return now >= atMs && now < atMs + forMs;
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
      double loss,
      double twice,
      double delayMs,
      double clockMs,
      double rate,
      double seconds,
      long seed,
      List<Fault> faults,
      PeerNode.Settings rules) {
    public static Setup usual(int mixers, double seconds, long seed, List<Fault> faults) {
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
    public final List<double[]> bytes = new ArrayList<>();

    /** Living mixers taken for gone by others who could hear them, over the run. */
    public int wronglyGone;

    /** For each kill: when the last of the others knew. */
    public final List<Double> known = new ArrayList<>();

    /** Asks of dead boxes by second, and of boxes alive. */
    public final Map<Integer, Integer> asks = new TreeMap<>();

    /** For each box that came back: when the first, and when all who had benched it, asked it. */
    public final List<double[]> found = new ArrayList<>();

    /** The largest doubt that an honest mixer had of a box that was alive. */
    public double doubtOfAlive;

    /** The largest demand believed over the true one. */
    public double demand;

    /** Pairs of living mixers that do not know each other as there, at the end. */
    public int strangers;

    public final Map<PeerNode.Count, Long> counts = new TreeMap<>();
    public final Map<Membership.Count, Long> memberCounts = new TreeMap<>();
  }

  private static final double TICK_MS = 100;
  private static final int BUFFER = 64;
  private static final double BENCH_MS = 2000;
  private static final long UNIX = 1_700_000_000_000L;
  private static final byte[] KEY = "a key for play alone".getBytes(StandardCharsets.US_ASCII);

  /** One mixer's process. */
  private final class Node implements PeerNode.Host {
    final int number;
    final int zone;
    final double clockMs;
    final double rate;
    double begun;
    PeerNode company;
    boolean alive;
    final Deque<Runnable> waiting = new ArrayDeque<>();
    final Deque<byte[]> heard = new ArrayDeque<>();
    final Map<Long, Integer> failures = new HashMap<>();
    final Map<Long, Double> benched = new HashMap<>();
    final Set<Long> asking = new HashSet<>();
    long sentBefore;

    Node(int number) {
      this.number = number;
      zone = number % Math.max(1, setup.zones);
      clockMs = (chance.nextDouble() * 2 - 1) * setup.clockMs;
      rate = setup.rate * (number == 0 ? 10 : 1); // one has ten times what the others have
    }

    void start() {
      alive = true;
      begun = agenda.now();
      company =
          new PeerNode(
              peer(number),
              place(number),
              UNIX + (long) (begun + clockMs),
              withZone(setup.rules, zone),
              MessageAuthenticator.of(List.of(KEY)),
              chance.split(),
              this);
      List<Long> boxes = new ArrayList<>();
      for (long box = 0; box < setup.boxes; box++) {
        boxes.add(box);
      }
      company.boxesListed(boxes);
      sentBefore = 0;
      failures.clear();
      benched.clear();
      asking.clear();
      // the first few places are told to all, as a file would tell them
      company.start(List.of(place(0), place(1 % setup.mixers), place(2 % setup.mixers)));
      PeerNode mine = company;
      later(chance.nextDouble() * TICK_MS, mine, this::tick);
      later(1000 * chance.nextDouble() / rate, mine, this::part);
    }

    /**
     * Something of this process, later; not if it has ended, and when it goes on if it is stopped.
     */
    void later(double span, PeerNode mine, Runnable task) {
      agenda.at(agenda.now() + span, () -> run(mine, task));
    }

    private void run(PeerNode mine, Runnable task) {
      if (alive && company == mine) {
        if (active(Fault.Kind.STOP, number)) {
          waiting.add(task);
        } else {
          task.run();
        }
      }
    }

    void tick() {
      company.tick();
      for (Map.Entry<Long, Double> each : List.copyOf(benched.entrySet())) {
        long box = each.getKey();
        if (each.getValue() <= agenda.now() && !asking.contains(box) && company.shouldProbe(box)) {
          ask(box);
        }
      }
      if (active(Fault.Kind.REPEAT, number) && !heard.isEmpty()) {
        for (int i = 0; i < 5; i++) {
          byte[] again = heard.poll();
          heard.add(again);
          send(place(chance.nextInt(setup.mixers)), again);
        }
      }
      if (active(Fault.Kind.CLAIM, number)) {
        for (long box = 0; box < setup.boxes; box++) {
          company.probeStarted(box);
          company.probeEnded(box, true);
        }
      }
      later(TICK_MS, company, this::tick);
    }

    private void ask(long box) {
      asking.add(box);
      company.probeStarted(box);
      boolean answers = !dead(box);
      if (!answers) {
        result.asks.merge((int) (agenda.now() / 1000), 1, Integer::sum);
      } else {
        for (Return each : returns) {
          if (each.box == box && agenda.now() >= each.at) {
            each.first = Math.min(each.first, agenda.now());
            each.last = Math.max(each.last, agenda.now());
          }
        }
      }
      later(
          answers ? 2 : 250,
          company,
          () -> {
            asking.remove(box);
            company.probeEnded(box, answers);
            if (answers) {
              benched.remove(box);
              failures.remove(box);
            } else {
              benched.put(box, agenda.now() + BENCH_MS);
            }
          });
    }

    void part() {
      long box = chance.nextInt(setup.boxes);
      if (!benched.containsKey(box)) {
        boolean answered = !dead(box);
        if (active(Fault.Kind.LIE, number)) {
          company.attemptEnded(box, false);
          company.ejected(box);
        } else if (answered) {
          company.attemptEnded(box, true);
          failures.remove(box);
        } else {
          company.attemptEnded(box, false);
          if (failures.merge(box, 1, Integer::sum) >= 2) {
            company.ejected(box);
            benched.put(box, agenda.now() + BENCH_MS);
          }
        }
      }
      if (active(Fault.Kind.GREED, number)) {
        for (int i = 0; i < 1000; i++) {
          company.attemptEnded(box, true);
        }
      }
      later(-1000 * Math.log(1 - chance.nextDouble()) / rate, company, this::part);
    }

    @Override
    public Duration now() {
      return Duration.ofNanos((long) Math.ceil((agenda.now() - begun) * 1e6));
    }

    @Override
    public void send(PeerAddress to, byte[] letter) {
      int other = to.port() - 1;
      if (chance.nextDouble() < setup.loss || cut(number, other)) {
        return;
      }
      for (int copies = chance.nextDouble() < setup.twice ? 2 : 1; copies > 0; copies--) {
        agenda.at(
            agenda.now() + 0.1 + chance.nextDouble() * setup.delayMs,
            () -> nodes.get(other).arrive(number, letter));
      }
    }

    private void arrive(int from, byte[] letter) {
      if (alive && (!active(Fault.Kind.STOP, number) || waiting.size() < BUFFER)) {
        if (active(Fault.Kind.REPEAT, number)
            || heard.size() < BUFFER && hostile.contains(number)) {
          heard.add(letter);
          if (heard.size() > BUFFER) {
            heard.poll();
          }
        }
        run(company, () -> company.received(place(from), letter));
      }
    }

    @Override
    public void boxAnswered(long box) {
      benched.computeIfPresent(box, (each, until) -> agenda.now());
    }

    @Override
    public void peerChanged(PeerRecord now) {
      if (now.state() != PeerRecord.State.GONE) {
        return;
      }
      int who = (int) now.peer().number() - 1;
      Node node = nodes.get(who);
      if (node.alive && now.incarnation() == node.company.membership().incarnation(peer(who))) {
        return;
      }
      for (Death death : deaths) {
        if (death.who == who && agenda.now() >= death.at && agenda.now() < death.at + death.away) {
          death.known = agenda.now();
          return;
        }
      }
      boolean excused =
          setup.faults.stream()
              .anyMatch(
                  fault ->
                      agenda.now() >= fault.atMs
                          && agenda.now() < fault.atMs + fault.forMs + 10_000
                          && fault.kind != Fault.Kind.BOXES_DEAD
                          && (fault.some.contains(who)
                              || fault.some.contains(number)
                              || fault.others.contains(who)
                              || fault.others.contains(number)));
      if (!excused) {
        result.wronglyGone++;
      }
    }
  }

  private static final class Death {
    final int who;
    final double at;
    final double away;
    double known = Double.NaN;

    Death(int who, double at, double away) {
      this.who = who;
      this.at = at;
      this.away = away;
    }
  }

  private static final class Return {
    final long box;
    final double at;
    double first = Double.POSITIVE_INFINITY;
    double last = Double.NEGATIVE_INFINITY;

    Return(long box, double at) {
      this.box = box;
      this.at = at;
    }
  }

  private final Setup setup;
  private final Agenda agenda = new Agenda();
  private final SplittableRandom chance;
  private final List<Node> nodes = new ArrayList<>();
  private final List<Death> deaths = new ArrayList<>();
  private final List<Return> returns = new ArrayList<>();
  private final Set<Integer> hostile = new HashSet<>();
  private final Result result = new Result();

  private PeerSimulation(Setup setup) {
    this.setup = setup;
    chance = new SplittableRandom(setup.seed);
  }

  public static Result of(Setup setup) {
    return new PeerSimulation(setup).play();
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

  private static PeerAddress place(int number) {
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

  private boolean active(Fault.Kind kind, int number) {
    for (Fault fault : setup.faults) {
      if (fault.kind == kind && fault.during(agenda.now()) && fault.some.contains(number)) {
        return true;
      }
    }
    return false;
  }

  private boolean cut(int from, int to) {
    for (Fault fault : setup.faults) {
      if (fault.during(agenda.now())) {
        boolean forth = fault.some.contains(from) && fault.others.contains(to);
        boolean back = fault.some.contains(to) && fault.others.contains(from);
        if (fault.kind == Fault.Kind.CUT && (forth || back)
            || fault.kind == Fault.Kind.CUT_ONE_WAY && forth) {
          return true;
        }
      }
    }
    return false;
  }

  private boolean dead(long box) {
    return active(Fault.Kind.BOXES_DEAD, (int) box);
  }

  private Result play() {
    for (int i = 0; i < setup.mixers; i++) {
      nodes.add(new Node(i));
    }
    for (Fault fault : setup.faults) {
      schedule(fault);
    }
    nodes.forEach(node -> agenda.at(chance.nextDouble() * 500, node::start));
    for (int second = 1; second <= setup.seconds; second++) {
      agenda.until(second * 1000.0);
      measure();
    }
    deaths.forEach(death -> result.known.add(death.known - death.at));
    returns.forEach(
        each -> result.found.add(new double[] {each.first - each.at, each.last - each.at}));
    for (Node one : nodes) {
      for (Node other : nodes) {
        boolean both = one != other && one.alive && other.alive;
        result.strangers +=
            both && one.company.membership().incarnation(peer(other.number)) == 0 ? 1 : 0;
      }
      if (one.alive) {
        one.company
            .counts()
            .forEach((which, count) -> result.counts.merge(which, count, Long::sum));
        for (Membership.Count which : Membership.Count.values()) {
          result.memberCounts.merge(which, one.company.membership().count(which), Long::sum);
        }
      }
    }
    return result;
  }

  private void schedule(Fault fault) {
    switch (fault.kind) {
      case KILL ->
          fault.some.forEach(
              who -> {
                deaths.add(new Death(who, fault.atMs, fault.forMs));
                agenda.at(
                    fault.atMs,
                    () -> {
                      nodes.get(who).alive = false;
                      nodes.get(who).waiting.clear();
                    });
                agenda.at(fault.atMs + fault.forMs, () -> nodes.get(who).start());
              });
      case STOP ->
          fault.some.forEach(
              who ->
                  agenda.at(
                      fault.atMs + fault.forMs,
                      () -> {
                        Node node = nodes.get(who);
                        List<Runnable> due = new ArrayList<>(node.waiting);
                        node.waiting.clear();
                        due.forEach(task -> node.run(node.company, task));
                      }));
      case BOXES_DEAD ->
          fault.some.forEach(box -> returns.add(new Return(box, fault.atMs + fault.forMs)));
      case LIE, GREED, REPEAT, CLAIM -> hostile.addAll(fault.some);
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
        double sent = node.company.bytesSent() - node.sentBefore;
        node.sentBefore = node.company.bytesSent();
        most = Math.max(most, sent);
        sum += sent;
        count++;
        asked += hostile.contains(node.number) ? 0 : node.rate;
      }
    }
    result.bytes.add(new double[] {most, sum / Math.max(1, count)});
    for (Node node : nodes) {
      if (node.alive && !hostile.contains(node.number)) {
        for (long box = 0; box < setup.boxes; box++) {
          double doubt = node.company.failureShare(box);
          if (aliveFor(box, 15_000)) {
            result.doubtOfAlive = Math.max(result.doubtOfAlive, doubt);
          }
        }
        if (agenda.now() > 15_000) {
          // what is heard is a sample of the fleet: the sum of what it tells, over what those would
          // ask
          result.demand = Math.max(result.demand, node.company.fleetDemand() / Math.max(1, asked));
        }
      }
    }
  }

  private boolean aliveFor(long box, double span) {
    return setup.faults.stream()
        .noneMatch(
            fault ->
                fault.kind == Fault.Kind.BOXES_DEAD
                    && fault.some.contains((int) box)
                    && agenda.now() >= fault.atMs
                    && agenda.now() < fault.atMs + fault.forMs + span);
  }
}
