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
 * is told to the mixer waits in {@link #told}, and what is asked of the agent in its listener.
 * Times are exact therefore, whatever the machine does beside.
 */
final class WatchStage implements Closeable {
  private record Wake(Duration at, long number, Runnable task) implements Comparable<Wake> {
    @Override
    public int compareTo(Wake other) {
      int byTime = at.compareTo(other.at);
      return byTime != 0 ? byTime : Long.compare(number, other.number);
    }
  }

  /** All on the loop's thread. */
  private final class Hand implements LoopTimer {
    private final PriorityQueue<Wake> wakes = new PriorityQueue<>();
    private long count;
    private Duration now = Duration.ZERO;

    @Override
    public Duration now() {
      return now;
    }

    @Override
    public void schedule(Duration span, Runnable task) {
      wakes.add(new Wake(now.plus(span), count++, task));
    }

    private void pass(Duration span) {
      Duration end = now.plus(span);
      while (!wakes.isEmpty() && wakes.peek().at.compareTo(end) <= 0) {
        Wake wake = wakes.poll();
        now = wake.at.compareTo(now) > 0 ? wake.at : now;
        wake.task.run();
      }
      now = end;
    }
  }

  final MixerTestHarness.DiscoveryAgent agent;
  final Counters counts = new Counters();
  final EventLoop loop = new EventLoop(counts);
  final Network network = new Network(loop, counts, false);
  final BlockingQueue<String> told = new LinkedBlockingQueue<>();
  final DiscoveryWatch watch;
  private final Hand clock = new Hand();
  private final Thread thread;

  /** How long the mixer takes to ask again after a failure; null where it does not. */
  private Duration asksAfter;

  /** {@code way} and {@code graceMs}: the settings Discovery and Safety.DrainGraceMs. */
  WatchStage(boolean up, String way, int graceMs) throws Exception {
    agent = new MixerTestHarness.DiscoveryAgent(up);
    watch =
        new DiscoveryWatch(
            network,
            agent.address(),
            41,
            new DiscoveryWatch.Listener() {
              @Override
              public void onUpdate(MemberListUpdate members) {
                told.add("list " + members.revision());
              }

              @Override
              public void onFailure() {
                told.add("failed");
                if (asksAfter != null) {
                  clock.schedule(asksAfter, watch()::open);
                }
              }

              @Override
              public void onContact() {
                counts.add("words", 1);
              }
            },
            counts,
            clock,
            new Settings(Map.of("Discovery", way, "Safety.DrainGraceMs", String.valueOf(graceMs))));
    thread = new Thread(() -> loop.run(() -> {}, network::flush), "watch stage");
    thread.start();
  }

  /** An empty line, which has been heard by the end: the clock must not pass by it. */
  void saysOn(MixerTestHarness.DiscoveryConnection call) throws Exception {
    long words = counts.get("words");
    call.sendLine("");
    awaitCount("words", words + 1);
  }

  private DiscoveryWatch watch() {
    return watch;
  }

  /** From now on the mixer asks again so long after each failure. */
  void asksAgainAfter(int ms) throws InterruptedException {
    inLoop(() -> asksAfter = Duration.ofMillis(ms));
  }

  void open() throws InterruptedException {
    inLoop(watch::open);
  }

  void move(InetSocketAddress to) throws InterruptedException {
    inLoop(() -> watch.changeAddress(to));
  }

  /** Lets the clock move on, wake by wake; those of connections come in their own time. */
  void pass(int ms) throws InterruptedException {
    inLoop(() -> clock.pass(Duration.ofMillis(ms)));
  }

  /** The same, for those who are on the loop's thread. */
  void passNow(int ms) {
    clock.pass(Duration.ofMillis(ms));
  }

  /** Runs a task in a turn of its own, and waits for the end of that turn. */
  void inLoop(Runnable task) throws InterruptedException {
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
  void hold(Behind behind) throws Exception {
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
      behind.run();
    } finally {
      released.countDown();
    }
  }

  /** What a test does while the loop stands. */
  interface Behind {
    void run() throws Exception;
  }

  /** Waits until so many events stand before the loop. */
  void posted(int events) throws InterruptedException {
    MixerTestHarness.await(events + " events before the loop", () -> loop.queuedEvents() >= events);
  }

  /** The next that was told; null after a while. */
  String next() throws InterruptedException {
    return told.poll(MixerTestHarness.TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  void awaitCount(String what, long least) throws InterruptedException {
    MixerTestHarness.await(
        what + " at " + least + " in " + counts, () -> counts.get(what) >= least);
  }

  long calls() {
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
    String text = counts.toString();
    if (text.contains("failures in ") || text.contains("broken: ")) {
      throw new AssertionError("what must hold did not: " + text);
    }
  }
}
