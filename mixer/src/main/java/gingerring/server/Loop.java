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
final class Loop implements EventQueue, LoopTimer {
  private record Wake(Duration at, long number, Runnable task) implements Comparable<Wake> {
    @Override
    public int compareTo(Wake other) {
      int byTime = at.compareTo(other.at);
      return byTime != 0 ? byTime : Long.compare(number, other.number);
    }
  }

  private static final Logger LOG = LoggerFactory.getLogger("gingerring.loop");
  private static final int FAILURES_LOGGED = 20;

  private final Counters counts;
  private final long startNanos = System.nanoTime();

  /**
   * Holds a few events a connection at most: each waits for its turn before it posts the next. No
   * lock stands between those who post and the loop: a thread that is stopped anywhere in {@link
   * #post} keeps neither the loop nor its wakes. Guards against the blocking queues of
   * java.util.concurrent, whose timed waiters turn without a pause (Condition.awaitNanos) while the
   * one that signals them is not run.
   */
  private final Queue<Runnable> inbox = new ConcurrentLinkedQueue<>();

  /** The loop's thread while it waits, or is about to. */
  private volatile Thread sleeper;

  private final PriorityQueue<Wake> wakes = new PriorityQueue<>();
  private List<Runnable> tellings = new ArrayList<>();
  private List<Runnable> lastTellings = new ArrayList<>();
  private Duration now = Duration.ZERO;
  private long wakeCount;
  private int failures;
  private boolean running = true;
  private Thread owner;

  Loop(Counters counts) {
    this.counts = counts;
  }

  @Override
  public Duration now() {
    return owner == null ? currentTime() : now; // before the first turn
  }

  @Override
  public void post(Runnable event) {
    inbox.add(event);
    Thread waiting = sleeper;
    if (waiting != null) {
      LockSupport.unpark(waiting);
    }
  }

  /** How many events wait for the next turn. */
  int posted() {
    return inbox.size();
  }

  @Override
  public void schedule(Duration span, Runnable task) {
    counts.checkInvariant(
        owner == null || owner == Thread.currentThread(),
        "wakes are asked for on the loop's thread");
    wakes.add(new Wake(now().plus(span), wakeCount++, task));
  }

  /**
   * Something to tell the mixer once all that is ready has been gathered; from the mixer, next
   * turn.
   */
  void tell(Runnable telling) {
    counts.checkInvariant(
        owner == null || owner == Thread.currentThread(), "the mixer is told on the loop's thread");
    tellings.add(telling);
  }

  /** The same, after all else of the turn: what is new is decided by all that is known. */
  void tellLast(Runnable telling) {
    counts.checkInvariant(
        owner == null || owner == Thread.currentThread(), "the mixer is told on the loop's thread");
    lastTellings.add(telling);
  }

  void stop() {
    running = false;
  }

  /** Turns until it is stopped; each turn ends in {@code calls}, then {@code flush}. */
  void run(Runnable calls, Runnable flush) {
    owner = Thread.currentThread();
    List<Runnable> ready = new ArrayList<>();
    while (running) {
      await(ready);
      now = currentTime();
      ready.forEach(event -> guard("an event", event));
      ready.clear();
      while (!wakes.isEmpty() && wakes.peek().at.compareTo(now) <= 0) {
        guard("a wake", wakes.poll().task);
      }
      List<Runnable> turn = tellings;
      tellings = new ArrayList<>();
      turn.addAll(lastTellings);
      lastTellings.clear();
      turn.forEach(telling -> guard("the mixer", telling));
      guard("making calls", calls);
      guard("flushing", flush);
    }
  }

  @Override
  public Duration currentTime() {
    return Duration.ofNanos(System.nanoTime() - startNanos);
  }

  private void await(List<Runnable> ready) {
    long nanos =
        !tellings.isEmpty() || !lastTellings.isEmpty()
            ? 0
            : wakes.isEmpty()
                ? TimeUnit.SECONDS.toNanos(1)
                : wakes.peek().at.minus(currentTime()).toNanos();
    if (nanos > 0) {
      sleeper = owner;
      if (inbox.isEmpty()) { // looked at after the sleeper is named: what is posted later finds it
        LockSupport.parkNanos(this, nanos); // may return early: then a turn has nothing to do
      }
      sleeper = null;
    }
    if (Thread.interrupted()) { // an interrupt that stays would let no later wait last
      running = false;
    }
    for (int most = inbox.size(); most > 0; most--) { // what is posted meanwhile is the next turn's
      ready.add(inbox.poll());
    }
  }

  /**
   * Runs one thing of a turn. Guards the process and all other scans against whatever fails in it.
   */
  void guard(String what, Runnable task) {
    try {
      task.run();
    } catch (RuntimeException | Error e) {
      counts.add("failures in " + what, 1);
      if (failures++ < FAILURES_LOGGED) {
        LOG.error("{} failed", what, e);
      }
    }
  }
}
