package gingerring.server;

import gingerring.net.Counters;
import gingerring.net.EventQueue;
import gingerring.net.LoopTimer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The one thread that owns the mixer and all state. Each turn gathers all that is ready, hands it
 * to the mixer in one go, and then carries out what came back.
 */
final class EventLoop implements EventQueue, LoopTimer {
  private record Timer(Duration dueAt, long sequence, Runnable task) implements Comparable<Timer> {
    @Override
    public int compareTo(Timer other) {
      int byTime = dueAt.compareTo(other.dueAt);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  private static final Logger LOG = LoggerFactory.getLogger("gingerring.loop");
  private static final int MAX_LOGGED_FAILURES = 20;

  private final Counters counts;
  private final long startNanos = System.nanoTime();

  /**
   * Holds a few events a connection at most: each waits for its turn before it posts the next. No
   * lock stands between those who post and the loop: a thread that is stopped anywhere in {@link
   * #post} keeps neither the loop nor its wakes. Guards against the blocking queues of
   * java.util.concurrent, whose timed waiters turn without a pause (Condition.awaitNanos) while the
   * one that signals them is not run.
   */
  private final Queue<Runnable> eventQueue = new ConcurrentLinkedQueue<>();

  /** The loop's thread while it waits, or is about to. */
  private volatile Thread parkedThread;

  private final PriorityQueue<Timer> timers = new PriorityQueue<>();
  private List<Runnable> notifications = new ArrayList<>();
  private List<Runnable> lastNotifications = new ArrayList<>();
  private Duration turnTime = Duration.ZERO;
  private long timerCount;
  private int failures;
  private boolean running = true;
  private Thread owner;

  EventLoop(Counters counts) {
    this.counts = counts;
  }

  @Override
  public Duration now() {
    return owner == null ? currentTime() : turnTime; // before the first turn
  }

  @Override
  public void post(Runnable event) {
    eventQueue.add(event);
    Thread waiting = parkedThread;
    if (waiting != null) {
      LockSupport.unpark(waiting);
    }
  }

  /** How many events wait for the next turn. */
  int queuedEvents() {
    return eventQueue.size();
  }

  @Override
  public void schedule(Duration span, Runnable task) {
    counts.checkInvariant(
        owner == null || owner == Thread.currentThread(),
        "wakes are asked for on the loop's thread");
    timers.add(new Timer(now().plus(span), timerCount++, task));
  }

  /**
   * Something to tell the mixer once all that is ready has been gathered; from the mixer, next
   * turn.
   */
  void notifyMixer(Runnable telling) {
    counts.checkInvariant(
        owner == null || owner == Thread.currentThread(), "the mixer is told on the loop's thread");
    notifications.add(telling);
  }

  /** The same, after all else of the turn: what is new is decided by all that is known. */
  void notifyMixerLast(Runnable telling) {
    counts.checkInvariant(
        owner == null || owner == Thread.currentThread(), "the mixer is told on the loop's thread");
    lastNotifications.add(telling);
  }

  void stop() {
    running = false;
  }

  /** Turns until it is stopped; each turn ends in {@code calls}, then {@code flush}. */
  void run(Runnable calls, Runnable flush) {
    owner = Thread.currentThread();
    List<Runnable> ready = new ArrayList<>();
    while (running) {
      awaitEvents(ready);
      turnTime = currentTime();
      ready.forEach(event -> runGuarded("an event", event));
      ready.clear();
      while (!timers.isEmpty() && timers.peek().dueAt.compareTo(turnTime) <= 0) {
        runGuarded("a wake", timers.poll().task);
      }
      List<Runnable> turn = notifications;
      notifications = new ArrayList<>();
      turn.addAll(lastNotifications);
      lastNotifications.clear();
      turn.forEach(telling -> runGuarded("the mixer", telling));
      runGuarded("making calls", calls);
      runGuarded("flushing", flush);
    }
  }

  @Override
  public Duration currentTime() {
    return Duration.ofNanos(System.nanoTime() - startNanos);
  }

  private void awaitEvents(List<Runnable> ready) {
    long nanos =
        !notifications.isEmpty() || !lastNotifications.isEmpty()
            ? 0
            : timers.isEmpty()
                ? TimeUnit.SECONDS.toNanos(1)
                : timers.peek().dueAt.minus(currentTime()).toNanos();
    if (nanos > 0) {
      parkedThread = owner;
      if (eventQueue
          .isEmpty()) { // looked at after the sleeper is named: what is posted later finds it
        LockSupport.parkNanos(this, nanos); // may return early: then a turn has nothing to do
      }
      parkedThread = null;
    }
    if (Thread.interrupted()) { // an interrupt that stays would let no later wait last
      running = false;
    }
    for (int most = eventQueue.size();
        most > 0;
        most--) { // what is posted meanwhile is the next turn's
      ready.add(eventQueue.poll());
    }
  }

  /**
   * Runs one thing of a turn. Guards the process and all other scans against whatever fails in it.
   */
  void runGuarded(String what, Runnable task) {
    try {
      task.run();
    } catch (RuntimeException | Error e) {
      counts.add("failures in " + what, 1);
      if (failures++ < MAX_LOGGED_FAILURES) {
        LOG.error("{} failed", what, e);
      }
    }
  }
}
