package gingerring.server;

import gingerring.decide.Settings;
import gingerring.discovery.DiscoveryWatch;
import gingerring.discovery.MemberListUpdate;
import gingerring.net.Counters;
import gingerring.net.LoopTimer;
import gingerring.net.Network;
import gingerring.net.ScheduledTask;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A discovery watch on a real event loop and real sockets, with a clock that stands still until the
 * test advances it. Reports to the mixer are collected in {@link #notifications}; requests to the
 * agent wait in its listener. Timer behaviour is therefore exact, independent of the machine's
 * load.
 */
final class WatchHarness implements Closeable {
  private record Timer(Duration dueAt, long sequence, Runnable task) implements Comparable<Timer> {
    @Override
    public int compareTo(Timer other) {
      int byTime = dueAt.compareTo(other.dueAt);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  /** A clock that the test advances. Used on the loop's thread only. */
  private final class ManualClock implements LoopTimer {
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private long timerCount;
    private Duration now = Duration.ZERO;

    @Override
    public Duration now() {
      return now;
    }

    @Override
    public ScheduledTask schedule(Duration delay, Runnable task) {
      Timer timer = new Timer(now.plus(delay), timerCount++, task);
      timers.add(timer);
      return () -> timers.remove(timer);
    }

    private void advance(Duration duration) {
      Duration end = now.plus(duration);
      while (!timers.isEmpty() && timers.peek().dueAt.compareTo(end) <= 0) {
        Timer timer = timers.poll();
        now = timer.dueAt.compareTo(now) > 0 ? timer.dueAt : now;
        timer.task.run();
      }
      now = end;
    }
  }

  final MixerTestHarness.DiscoveryAgent agent;
  final Counters counts = new Counters();
  final EventLoop loop = new EventLoop(counts);
  final Network network = new Network(loop, counts, false);
  final BlockingQueue<String> notifications = new LinkedBlockingQueue<>();
  final DiscoveryWatch watch;
  private final ManualClock clock = new ManualClock();
  private final Thread thread;

  /** Delay after which the mixer retries after a failure; null for no retry. */
  private Duration retryDelay;

  /**
   * Starts the loop. {@code discoveryMode} and {@code graceMs} are the settings Discovery and
   * Safety.DrainGraceMs; {@code accepting} tells whether the agent accepts connections.
   */
  WatchHarness(boolean accepting, String discoveryMode, int graceMs) throws Exception {
    agent = new MixerTestHarness.DiscoveryAgent(accepting);
    watch =
        new DiscoveryWatch(
            network,
            agent.address(),
            41,
            new DiscoveryWatch.Listener() {
              @Override
              public void onUpdate(MemberListUpdate members) {
                notifications.add("list " + members.revision());
              }

              @Override
              public void onFailure() {
                notifications.add("failed");
                if (retryDelay != null) {
                  clock.schedule(retryDelay, watch()::open);
                }
              }

              @Override
              public void onContact() {
                counts.add("watch messages", 1);
              }
            },
            counts,
            clock,
            new Settings(
                Map.of(
                    "Discovery", discoveryMode, "Safety.DrainGraceMs", String.valueOf(graceMs))));
    thread = new Thread(() -> loop.run(() -> {}, network::flush), "watch harness");
    thread.start();
  }

  /**
   * Sends an empty line and waits until the watch has read it, so that the clock cannot advance
   * before.
   */
  void sendEmptyLine(MixerTestHarness.DiscoveryConnection call) throws Exception {
    long messagesBefore = counts.get("watch messages");
    call.sendLine("");
    awaitCount("watch messages", messagesBefore + 1);
  }

  private DiscoveryWatch watch() {
    return watch;
  }

  /** Makes the mixer retry {@code spanMs} after each failure from now on. */
  void retryAfterFailure(int spanMs) throws InterruptedException {
    runInLoop(() -> retryDelay = Duration.ofMillis(spanMs));
  }

  void openWatch() throws InterruptedException {
    runInLoop(watch::open);
  }

  void changeAgentAddress(InetSocketAddress newAddress) throws InterruptedException {
    runInLoop(() -> watch.changeAddress(newAddress));
  }

  /** Advances the clock from timer to timer. Socket events are not tied to this clock. */
  void advanceClock(int spanMs) throws InterruptedException {
    runInLoop(() -> clock.advance(Duration.ofMillis(spanMs)));
  }

  /** Advances the clock; for callers on the loop's thread. */
  void advanceClockOnLoop(int spanMs) {
    clock.advance(Duration.ofMillis(spanMs));
  }

  /** Runs a task in a loop iteration of its own, and waits for the end of that iteration. */
  void runInLoop(Runnable task) throws InterruptedException {
    CountDownLatch done = new CountDownLatch(1);
    loop.post(
        () -> {
          task.run();
          loop.post(done::countDown);
        });
    if (!done.await(MixerTestHarness.TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
      throw new AssertionError("the loop did not run a task");
    }
  }

  /**
   * Blocks the loop while {@code action} runs: the loop then takes all events posted by the action
   * in one iteration, in their order.
   */
  void runWhileBlocked(BlockedLoopAction action) throws Exception {
    CountDownLatch reached = new CountDownLatch(1);
    CountDownLatch released = new CountDownLatch(1);
    loop.post(
        () -> {
          reached.countDown();
          try {
            released.await(MixerTestHarness.TIMEOUT_MS, TimeUnit.MILLISECONDS);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
    reached.await(MixerTestHarness.TIMEOUT_MS, TimeUnit.MILLISECONDS);
    try {
      action.run();
    } finally {
      released.countDown();
    }
  }

  /** An action of the test while the loop is blocked. */
  interface BlockedLoopAction {
    void run() throws Exception;
  }

  /** Waits until {@code eventCount} events are posted to the loop. */
  void awaitPosted(int eventCount) throws InterruptedException {
    MixerTestHarness.await(eventCount + " posted events", () -> loop.queuedEvents() >= eventCount);
  }

  /** Returns the next notification, or null after a timeout. */
  String nextNotification() throws InterruptedException {
    return notifications.poll(MixerTestHarness.TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  void awaitCount(String counter, long minimum) throws InterruptedException {
    MixerTestHarness.await(
        counter + " at " + minimum + " in " + counts, () -> counts.get(counter) >= minimum);
  }

  long discoveryCalls() {
    return counts.get("discovery calls");
  }

  @Override
  public void close() throws IOException {
    loop.post(loop::stop);
    try {
      thread.join(MixerTestHarness.TIMEOUT_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    network.dispose();
    agent.close();
    String countsText = counts.toString();
    if (countsText.contains("failures in ") || countsText.contains("broken: ")) {
      throw new AssertionError("an invariant was violated: " + countsText);
    }
  }
}
