package gingerring.server;

import gingerring.decide.Settings;
import gingerring.discovery.DiscoveryWatch;
import gingerring.discovery.MemberListUpdate;
import gingerring.net.Counters;
import gingerring.net.LoopTimer;
import gingerring.net.Network;
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
 * A watch on a real loop and real sockets, and on a clock that stands until the test moves it: what
 * is told to the mixer waits in {@link #notifications}, and what is asked of the agent in its
 * listener. Times are exact therefore, whatever the machine does beside.
 */
final class WatchHarness implements Closeable {
  private record Timer(Duration dueAt, long sequence, Runnable task) implements Comparable<Timer> {
    @Override
    public int compareTo(Timer other) {
      int byTime = dueAt.compareTo(other.dueAt);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  /** All on the loop's thread. */
  private final class ManualClock implements LoopTimer {
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private long timerCount;
    private Duration now = Duration.ZERO;

    @Override
    public Duration now() {
      return now;
    }

    @Override
    public void schedule(Duration delay, Runnable task) {
      timers.add(new Timer(now.plus(delay), timerCount++, task));
    }

    private void advance(Duration delay) {
      Duration end = now.plus(delay);
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

  /** How long the mixer takes to ask again after a failure; null where it does not. */
  private Duration retryDelay;

  /** {@code way} and {@code graceMs}: the settings Discovery and Safety.DrainGraceMs. */
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
                counts.add("words", 1);
              }
            },
            counts,
            clock,
            new Settings(
                Map.of(
                    "Discovery", discoveryMode, "Safety.DrainGraceMs", String.valueOf(graceMs))));
    thread = new Thread(() -> loop.run(() -> {}, network::flush), "watch stage");
    thread.start();
  }

  /** An empty line, which has been heard by the end: the clock must not pass by it. */
  void sendEmptyLine(MixerTestHarness.DiscoveryConnection call) throws Exception {
    long messagesBefore = counts.get("words");
    call.sendLine("");
    awaitCount("words", messagesBefore + 1);
  }

  private DiscoveryWatch watch() {
    return watch;
  }

  /** From now on the mixer asks again so long after each failure. */
  void retryAfterFailure(int spanMs) throws InterruptedException {
    runInLoop(() -> retryDelay = Duration.ofMillis(spanMs));
  }

  void openWatch() throws InterruptedException {
    runInLoop(watch::open);
  }

  void changeAgentAddress(InetSocketAddress newAddress) throws InterruptedException {
    runInLoop(() -> watch.changeAddress(newAddress));
  }

  /** Lets the clock move on, wake by wake; those of connections come in their own time. */
  void advanceClock(int spanMs) throws InterruptedException {
    runInLoop(() -> clock.advance(Duration.ofMillis(spanMs)));
  }

  /** The same, for those who are on the loop's thread. */
  void advanceClockOnLoop(int spanMs) {
    clock.advance(Duration.ofMillis(spanMs));
  }

  /** Runs a task in a turn of its own, and waits for the end of that turn. */
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
   * What happens in {@code behind} stands before the loop as a whole: it takes it in one turn, in
   * that order.
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

  /** What a test does while the loop stands. */
  interface BlockedLoopAction {
    void run() throws Exception;
  }

  /** Waits until so many events stand before the loop. */
  void awaitPosted(int eventCount) throws InterruptedException {
    MixerTestHarness.await(
        eventCount + " events before the loop", () -> loop.queuedEvents() >= eventCount);
  }

  /** The next that was told; null after a while. */
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
      throw new AssertionError("what must hold did not: " + countsText);
    }
  }
}
