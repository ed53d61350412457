package gingerring.emulator.core;

import gingerring.emulator.core.Scenario.BoxFault;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * One box: cores that work off a queue, pauses, a warm-up in which it can do only part of its work,
 * and the fall when it is sent too much of that. Call {@link #receive} and {@link #cancel} as
 * frames come, {@link #start} and {@link #stop} as its process lives and dies; it answers through
 * {@link Host}.
 */
public final class Box {
  /** What a box can do, and the clock it does it by. */
  public interface Host {
    Duration now();

    void schedule(Duration span, Runnable task);

    /** {@code end} is done, failed, full, or spoilt: an answer that is not of the protocol. */
    void answer(Part part, String end);

    /** Runs a numbered part unless its mark is known; false where it is. */
    boolean beginExecution(Part part);

    /** It was sent too much while cold, and stays down. */
    void overloaded(Box box);
  }

  /** A part as a box has it; {@code link} is for whoever sent it. */
  public record Part(Object connection, String id, int partition, String key, String query) {}

  private static final Duration BUCKET = Duration.ofMillis(250);
  private static final Duration ERROR_DELAY = Duration.ofMillis(2);

  public final int number;
  private final Scenario scenario;
  private final Host host;
  private final double speed;
  private final Deque<Part> queue = new ArrayDeque<>();
  private final Map<String, Part> queuedById = new LinkedHashMap<>();
  private final Set<BoxFault> faults = new HashSet<>();
  private int running;
  private int incarnation;
  private boolean up;
  private boolean overloaded;
  private boolean draining;
  private Duration coldSince;
  private Duration bucketStart = Duration.ZERO;
  private double bucketWorkMs;
  private Duration overloadSince;
  private long partsDone;
  private double workDoneMs;

  public Box(Scenario world, int number, Host host) {
    this.scenario = world;
    this.number = number;
    this.host = host;
    boolean slow = SeededDraw.draw(world.seed(), "slow", number) < world.slowShare();
    double spread = SeededDraw.draw(world.seed(), "speed", number);
    speed = slow ? 0.69 + 0.12 * spread : 0.92 + 0.18 * spread;
    for (BoxFault trouble : world.faults()) {
      if (world.affectedBoxes(trouble).contains(number)) {
        faults.add(trouble);
      }
    }
  }

  /** Its process starts: warm where it began long ago. */
  public void start(boolean cold) {
    up = !overloaded;
    draining = false;
    incarnation++;
    coldSince = cold ? host.now() : null;
    bucketStart = host.now();
    bucketWorkMs = 0;
    overloadSince = null;
  }

  /** Its process dies, with all it had. */
  public void stop() {
    up = false;
    incarnation++;
    queue.clear();
    queuedById.clear();
    running = 0;
  }

  public void drain() {
    draining = true;
  }

  public boolean isUp() {
    return up;
  }

  public boolean isOverloaded() {
    return overloaded;
  }

  public int queueLength() {
    return queue.size();
  }

  public int inFlight() {
    return queue.size() + running;
  }

  /** Parts it has done, and the milliseconds of work in them. */
  public long partsDone() {
    return partsDone;
  }

  public double workDoneMs() {
    return workDoneMs;
  }

  /** What share of its full work it can do now. */
  public double capacityShare() {
    if (coldSince == null || scenario.warmUp().isZero()) {
      return 1;
    }
    double share = (double) host.now().minus(coldSince).toNanos() / scenario.warmUp().toNanos();
    return Math.min(1, scenario.coldCapacityShare() + (1 - scenario.coldCapacityShare()) * share);
  }

  public void receive(Part part) {
    if (!up || activeFault(BoxFault.Kind.HANG) != null) {
      return;
    }
    if (draining || queue.size() >= scenario.maxQueue()) {
      host.answer(part, "full");
      return;
    }
    recordColdWork(workMs(part));
    if (!up) {
      return;
    }
    BoxFault errors = activeFault(BoxFault.Kind.ERRORS);
    boolean bad =
        SeededDraw.draw(scenario.seed(), "bad " + part.query, part.partition)
            < scenario.failingPartShare();
    if (bad
        || errors != null
            && SeededDraw.draw(scenario.seed(), "error " + part.query, part.partition, number)
                < errors.magnitude()) {
      int mine = incarnation;
      host.schedule(
          ERROR_DELAY,
          () -> {
            if (incarnation == mine) {
              host.answer(part, "failed");
            }
          });
      return;
    }
    queue.add(part);
    queuedById.put(part.id, part);
    startQueued();
  }

  /** Waiting work is dropped; what runs goes on, and is answered. */
  public void cancel(String id) {
    Part part = queuedById.remove(id);
    if (part != null) {
      queue.remove(part);
    }
  }

  private double workMs(Part part) {
    Scenario.ServiceClass grade = scenario.serviceClass(part.query.replaceAll(":.*", ""));
    Scenario.Range range = grade == null ? new Scenario.Range(10, 20) : grade.workMs();
    return range.interpolate(
        SeededDraw.draw(scenario.seed(), "work " + part.query, part.partition));
  }

  /** Takes note of work sent while cold; too much of it for too long brings the box down. */
  private void recordColdWork(double millis) {
    Duration now = host.now();
    while (now.minus(bucketStart).compareTo(BUCKET) >= 0) {
      checkOverload(bucketStart.plus(BUCKET));
      bucketWorkMs = 0;
      bucketStart = bucketStart.plus(BUCKET);
    }
    bucketWorkMs += millis;
  }

  private void checkOverload(Duration at) {
    double can = scenario.cores() * speed * capacityShare() * BUCKET.toMillis();
    if (capacityShare() >= 1 || bucketWorkMs <= scenario.overloadMultiple() * can) {
      overloadSince = null;
    } else if (overloadSince == null) {
      overloadSince = at.minus(BUCKET);
    }
    if (overloadSince != null
        && at.minus(overloadSince).compareTo(scenario.overloadDuration()) >= 0) {
      overloaded = true;
      stop();
      host.overloaded(this);
    }
  }

  private void startQueued() {
    while (running < scenario.cores() && !queue.isEmpty()) {
      Part part = queue.poll();
      queuedById.remove(part.id);
      running++;
      boolean runs = host.beginExecution(part);
      double millis = runs ? workMs(part) : 1;
      BoxFault slow = activeFault(BoxFault.Kind.SLOW);
      double takes =
          millis / (speed * capacityShare()) * (slow == null ? 1 : Math.max(1, slow.magnitude()));
      Duration span = Duration.ofNanos((long) (takes * 1e6));
      int mine = incarnation;
      host.schedule(
          span.plus(pauseTime(host.now(), span)),
          () -> {
            if (incarnation != mine) {
              return;
            }
            running--;
            partsDone++;
            workDoneMs += millis;
            BoxFault spoil = activeFault(BoxFault.Kind.SPOIL);
            boolean spoilt =
                spoil != null
                    && SeededDraw.draw(
                            scenario.seed(), "spoil " + part.query, part.partition, number)
                        < spoil.magnitude();
            host.answer(part, spoilt ? "spoilt" : "done");
            startQueued();
          });
    }
  }

  /** How long the box stands still between now and then, and whatever that adds. */
  private Duration pauseTime(Duration from, Duration span) {
    if (scenario.pauseIntervalMs().high() <= 0 || scenario.pauseMs().high() <= 0) {
      return Duration.ZERO;
    }
    double every =
        Math.max(
            100,
            scenario
                .pauseIntervalMs()
                .interpolate(SeededDraw.draw(scenario.seed(), "every", number)));
    double length =
        Math.min(
            every / 2,
            scenario.pauseMs().interpolate(SeededDraw.draw(scenario.seed(), "pause", number)));
    double offset = SeededDraw.draw(scenario.seed(), "offset", number) * every;
    double at = from.toNanos() / 1e6;
    double left = span.toNanos() / 1e6;
    double added = 0;
    double phase = (at + offset) % every;
    if (phase < length) {
      added += length - phase;
      phase = length;
    }
    while (phase + left > every) {
      added += length;
      left -= every - phase;
      phase = length;
    }
    return Duration.ofNanos((long) (added * 1e6));
  }

  /** The trouble of a kind that is on at this box now, or null. */
  public BoxFault activeFault(BoxFault.Kind kind) {
    Duration now = host.now();
    for (BoxFault trouble : faults) {
      if (trouble.kind() == kind && trouble.isActive(now)) {
        return trouble;
      }
    }
    return null;
  }
}
