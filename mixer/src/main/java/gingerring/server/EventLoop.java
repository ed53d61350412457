package gingerring.server;

import gingerring.net.Counters;
import gingerring.net.EventQueue;
import gingerring.net.LoopTimer;
import gingerring.net.ScheduledTask;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The event loop: a single thread owns the mixer and all its state. Each turn collects all events
 * that are ready, passes them to the mixer together, and then carries out what the mixer decided.
 */
final class EventLoop implements EventQueue, LoopTimer {
  /** A task in {@link #timers}, ordered by due time and then by the order of scheduling. */
  private final class Timer implements Comparable<Timer>, ScheduledTask {
    private final Duration dueAt;
    private final long sequence;
    private final Runnable task;

    Timer(Duration dueAt, long sequence, Runnable task) {
      this.dueAt = dueAt;
      this.sequence = sequence;
      this.task = task;
    }

    @Override
    public int compareTo(Timer other) {
      int byTime = dueAt.compareTo(other.dueAt);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }

    @Override
    public void cancel() {
      timers.remove(this);
    }
  }

  private static final Logger LOG = LoggerFactory.getLogger("gingerring.loop");
  private static final int MAX_LOGGED_FAILURES = 20;

  private final Counters counts;
  private final long startNanos = System.nanoTime();

  /**
   * Events from other threads, at most a few for each connection: each connection waits for its
   * turn before it posts the next. The queue takes no lock, so a thread that is suspended anywhere
   * in {@link #post} holds up neither the loop nor its timers. The blocking queues of
   * java.util.concurrent were not usable: their timed waiters spin (Condition.awaitNanos) while the
   * signalling thread is not scheduled.
   */
  private final Queue<Runnable> eventQueue = new ConcurrentLinkedQueue<>();

  /** The thread of the loop while it is parked or about to park, else null. */
  private volatile Thread parkedThread;

  /** The scheduled tasks that have neither run nor been cancelled. */
  private final TreeSet<Timer> timers = new TreeSet<>();

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
    Thread parked = parkedThread;
    if (parked != null) {
      LockSupport.unpark(parked);
    }
  }

  /** Returns the number of events queued for the next turn. */
  int queuedEvents() {
    return eventQueue.size();
  }

  @Override
  public ScheduledTask schedule(Duration span, Runnable task) {
    counts.checkInvariant(
        owner == null || owner == Thread.currentThread(),
        "wakes are asked for on the loop's thread");
    Timer timer = new Timer(now().plus(span), timerCount++, task);
    timers.add(timer);
    return timer;
  }

  /** Returns the number of scheduled tasks that have neither run nor been cancelled. */
  int scheduledTaskCount() {
    return timers.size();
  }

  /**
   * Queues a notification to the mixer, delivered after all events of this turn have been
   * collected. Notifications queued by the mixer itself are delivered in the next turn.
   */
  void notifyMixer(Runnable notification) {
    counts.checkInvariant(
        owner == null || owner == Thread.currentThread(), "the mixer is told on the loop's thread");
    notifications.add(notification);
  }

  /**
   * Like {@link #notifyMixer}, but delivered after all others of the turn, so that new scans are
   * decided with all that is known.
   */
  void notifyMixerLast(Runnable notification) {
    counts.checkInvariant(
        owner == null || owner == Thread.currentThread(), "the mixer is told on the loop's thread");
    lastNotifications.add(notification);
  }

  void stop() {
    running = false;
  }

  /** Runs turns until stopped; each turn ends with {@code dispatch}, then {@code flush}. */
  void run(Runnable dispatch, Runnable flush) {
    owner = Thread.currentThread();
    List<Runnable> events = new ArrayList<>();
    while (running) {
      awaitEvents(events);
      turnTime = currentTime();
      events.forEach(event -> runGuarded("an event", event));
      events.clear();
      while (!timers.isEmpty() && timers.first().dueAt.compareTo(turnTime) <= 0) {
        runGuarded("a wake", timers.pollFirst().task);
      }
      List<Runnable> turnNotifications = notifications;
      notifications = new ArrayList<>();
      turnNotifications.addAll(lastNotifications);
      lastNotifications.clear();
      turnNotifications.forEach(notification -> runGuarded("the mixer", notification));
      runGuarded("making calls", dispatch);
      runGuarded("flushing", flush);
    }
  }

  @Override
  public Duration currentTime() {
    return Duration.ofNanos(System.nanoTime() - startNanos);
  }

  private void awaitEvents(List<Runnable> events) {
    long waitNanos =
        !notifications.isEmpty() || !lastNotifications.isEmpty()
            ? 0
            : timers.isEmpty()
                ? TimeUnit.SECONDS.toNanos(1)
                : timers.first().dueAt.minus(currentTime()).toNanos();
    if (waitNanos > 0) {
      parkedThread = owner;
      if (eventQueue
          .isEmpty()) { // checked after parkedThread is set, so that a later post unparks this
        // thread
        LockSupport.parkNanos(this, waitNanos); // may return early; the turn then has nothing to do
      }
      parkedThread = null;
    }
    if (Thread.interrupted()) { // a pending interrupt would end every later park at once
      running = false;
    }
    for (int remaining = eventQueue.size();
        remaining > 0;
        remaining--) { // events posted from here on belong to the next turn
      events.add(eventQueue.poll());
    }
  }

  /**
   * Runs one task of a turn. A failure of the task is counted and logged; it stops neither the
   * process nor other scans.
   */
  void runGuarded(String step, Runnable task) {
    try {
      task.run();
    } catch (RuntimeException | Error e) {
      counts.add("failures in " + step, 1);
      if (failures++ < MAX_LOGGED_FAILURES) {
        LOG.error("{} failed", step, e);
      }
    }
  }
}
