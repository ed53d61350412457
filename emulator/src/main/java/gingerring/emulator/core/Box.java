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
 * An emulated box: cores that execute parts from a queue, periodic pauses, a warm-up during which
 * the box has only part of its capacity, and the failure of a cold box that is overloaded. The
 * caller passes frames to {@link #receive} and {@link #cancel} and reports the start and the end of
 * the box's process with {@link #start} and {@link #stop}. The box answers through {@link Host}.
 */
public final class Box {
  /** The clock, the timers and the connections of a box. */
  public interface Host {
    Duration now();

    void schedule(Duration delay, Runnable task);

    /**
     * Answers a part. {@code outcome} is "done", "failed", "full" or "spoilt"; a spoilt answer
     * violates the protocol.
     */
    void answer(Part part, String outcome);

    /**
     * Returns whether the part is to be executed. A keyed part is not executed again while its
     * idempotency key is stored; otherwise its key is stored by this call.
     */
    boolean beginExecution(Part part);

    /** Reports that the box was overloaded while cold; it stays down for the rest of the run. */
    void overloaded(Box box);
  }

  /** A part received by a box; {@code connection} identifies the sender for {@link Host#answer}. */
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

  public Box(Scenario scenario, int number, Host host) {
    this.scenario = scenario;
    this.number = number;
    this.host = host;
    boolean slow = SeededDraw.draw(scenario.seed(), "slow", number) < scenario.slowShare();
    double speedDraw = SeededDraw.draw(scenario.seed(), "speed", number);
    speed = slow ? 0.69 + 0.12 * speedDraw : 0.92 + 0.18 * speedDraw;
    for (BoxFault fault : scenario.faults()) {
      if (scenario.affectedBoxes(fault).contains(number)) {
        faults.add(fault);
      }
    }
  }

  /** Starts the process of the box, either cold or already warm. */
  public void start(boolean cold) {
    up = !overloaded;
    draining = false;
    incarnation++;
    coldSince = cold ? host.now() : null;
    bucketStart = host.now();
    bucketWorkMs = 0;
    overloadSince = null;
  }

  /** Ends the process; parts that are queued or running are lost. */
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

  /** Returns the number of parts that are queued or running. */
  public int inFlight() {
    return queue.size() + running;
  }

  /** Returns the number of parts that the box has executed. */
  public long partsDone() {
    return partsDone;
  }

  public double workDoneMs() {
    return workDoneMs;
  }

  /**
   * Returns the share of the full capacity that the box has now; it grows linearly during the
   * warm-up.
   */
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
    BoxFault errorFault = activeFault(BoxFault.Kind.ERRORS);
    boolean alwaysFails =
        SeededDraw.draw(scenario.seed(), "bad " + part.query, part.partition)
            < scenario.failingPartShare();
    if (alwaysFails
        || errorFault != null
            && SeededDraw.draw(scenario.seed(), "error " + part.query, part.partition, number)
                < errorFault.magnitude()) {
      int startedIn = incarnation;
      host.schedule(
          ERROR_DELAY,
          () -> {
            if (incarnation == startedIn) {
              host.answer(part, "failed");
            }
          });
      return;
    }
    queue.add(part);
    queuedById.put(part.id, part);
    startQueued();
  }

  /** Drops a part that is still queued. A running part is finished and answered. */
  public void cancel(String id) {
    Part part = queuedById.remove(id);
    if (part != null) {
      queue.remove(part);
    }
  }

  private double workMs(Part part) {
    Scenario.ServiceClass serviceClass = scenario.serviceClass(part.query.replaceAll(":.*", ""));
    Scenario.Range range =
        serviceClass == null ? new Scenario.Range(10, 20) : serviceClass.workMs();
    return range.interpolate(
        SeededDraw.draw(scenario.seed(), "work " + part.query, part.partition));
  }

  /** Records work that arrives while the box is cold; too much of it for too long fails the box. */
  private void recordColdWork(double workMs) {
    Duration now = host.now();
    while (now.minus(bucketStart).compareTo(BUCKET) >= 0) {
      checkOverload(bucketStart.plus(BUCKET));
      bucketWorkMs = 0;
      bucketStart = bucketStart.plus(BUCKET);
    }
    bucketWorkMs += workMs;
  }

  private void checkOverload(Duration bucketEnd) {
    double capacityMs = scenario.cores() * speed * capacityShare() * BUCKET.toMillis();
    if (capacityShare() >= 1 || bucketWorkMs <= scenario.overloadMultiple() * capacityMs) {
      overloadSince = null;
    } else if (overloadSince == null) {
      overloadSince = bucketEnd.minus(BUCKET);
    }
    if (overloadSince != null
        && bucketEnd.minus(overloadSince).compareTo(scenario.overloadDuration()) >= 0) {
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
      boolean execute = host.beginExecution(part);
      double workMs = execute ? workMs(part) : 1;
      BoxFault slowFault = activeFault(BoxFault.Kind.SLOW);
      double durationMs =
          workMs
              / (speed * capacityShare())
              * (slowFault == null ? 1 : Math.max(1, slowFault.magnitude()));
      Duration duration = Duration.ofNanos((long) (durationMs * 1e6));
      int startedIn = incarnation;
      host.schedule(
          duration.plus(pauseTime(host.now(), duration)),
          () -> {
            if (incarnation != startedIn) {
              return;
            }
            running--;
            partsDone++;
            workDoneMs += workMs;
            BoxFault spoilFault = activeFault(BoxFault.Kind.SPOIL);
            boolean spoiled =
                spoilFault != null
                    && SeededDraw.draw(
                            scenario.seed(), "spoil " + part.query, part.partition, number)
                        < spoilFault.magnitude();
            host.answer(part, spoiled ? "spoilt" : "done");
            startQueued();
          });
    }
  }

  /**
   * Returns for how long the box pauses while it executes work of the given duration from {@code
   * start} on, including pauses that fall into the time added by earlier ones.
   */
  private Duration pauseTime(Duration start, Duration duration) {
    if (scenario.pauseIntervalMs().high() <= 0 || scenario.pauseMs().high() <= 0) {
      return Duration.ZERO;
    }
    double intervalMs =
        Math.max(
            100,
            scenario
                .pauseIntervalMs()
                .interpolate(SeededDraw.draw(scenario.seed(), "every", number)));
    double pauseMs =
        Math.min(
            intervalMs / 2,
            scenario.pauseMs().interpolate(SeededDraw.draw(scenario.seed(), "pause", number)));
    double offset = SeededDraw.draw(scenario.seed(), "offset", number) * intervalMs;
    double startMs = start.toNanos() / 1e6;
    double remainingMs = duration.toNanos() / 1e6;
    double addedMs = 0;
    double phaseMs = (startMs + offset) % intervalMs;
    if (phaseMs < pauseMs) {
      addedMs += pauseMs - phaseMs;
      phaseMs = pauseMs;
    }
    while (phaseMs + remainingMs > intervalMs) {
      addedMs += pauseMs;
      remainingMs -= intervalMs - phaseMs;
      phaseMs = pauseMs;
    }
    return Duration.ofNanos((long) (addedMs * 1e6));
  }

  /** Returns the active fault of a kind at this box, or null. */
  public BoxFault activeFault(BoxFault.Kind kind) {
    Duration now = host.now();
    for (BoxFault fault : faults) {
      if (fault.kind() == kind && fault.isActive(now)) {
        return fault;
      }
    }
    return null;
  }
}
