package gingerring.emulator.experiment;

import gingerring.emulator.core.RuleChecker;
import gingerring.emulator.core.Scenario;
import gingerring.emulator.core.Workload;
import gingerring.traffic.wire.Reactor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

/** One run: a world's store, a router before it, its clients; and what came of it. */
public final class ExperimentRun {
  /** Which router stands before the store. */
  public enum Router {
    MIXER,
    RANDOM
  }

  /**
   * What came of a run; {@code load} by box: parts done, and milliseconds of work. {@code
   * mixerCpu}: seconds of CPU that the mixer used from its start to the last answer, NaN where
   * there was none.
   */
  public record Result(
      Router router,
      ClientStatistics statistics,
      RuleChecker ruleChecker,
      Map<Integer, double[]> loadByBox,
      Duration duration,
      double mixerCpuSeconds,
      int exitCode,
      int reactorFailures) {}

  private static final Duration START_DELAY = Duration.ofMillis(300);
  private static final Duration END_TIMEOUT = Duration.ofSeconds(60);

  private ExperimentRun() {}

  /**
   * Runs until every wish has had its end; {@code record} names a capture file for the mixer, or is
   * null.
   */
  public static Result run(Scenario world, Router router, double pace, Path record)
      throws IOException {
    Reactor reactor = new Reactor();
    RuleChecker referee = new RuleChecker(world);
    EmulatedStore store = new EmulatedStore(world, reactor, referee, pace);
    ClientStatistics tally = new ClientStatistics();
    Thread thread = new Thread(reactor::run, "emulator");
    thread.setDaemon(true);
    MixerProcess mixer = null;
    try {
      InetSocketAddress address;
      if (router == Router.MIXER) {
        thread.start();
        mixer = MixerProcess.start(world, store.discoveryAddress(), store.memberList(), record);
        address = mixer.address();
      } else {
        address = new RandomRouter(world, reactor, store.memberList()).address();
        thread.start();
      }
      double cpuBefore = mixer == null ? Double.NaN : mixer.cpuSeconds();
      CountDownLatch over = new CountDownLatch(1);
      AtomicReference<Duration> took = new AtomicReference<>(Duration.ZERO);
      reactor.post(
          () -> {
            Duration start = reactor.now().plus(START_DELAY);
            reactor.schedule(
                START_DELAY,
                () -> {
                  store.start();
                  new EmulatedClients(
                          world,
                          reactor,
                          referee,
                          address,
                          pace,
                          tally,
                          () -> {
                            took.set(reactor.now().minus(start));
                            over.countDown();
                          })
                      .start(Workload.generate(world));
                });
          });
      long most = (long) (world.length().toMillis() / pace) + END_TIMEOUT.toMillis();
      if (!over.await(most, TimeUnit.MILLISECONDS)) {
        throw new IOException("the run did not end within " + most + " ms");
      }
      double cpu = mixer == null ? Double.NaN : mixer.cpuSeconds() - cpuBefore;
      int code = mixer == null ? 0 : mixer.stop();
      return new Result(
          router, tally, referee, store.loadByBox(), took.get(), cpu, code, reactor.failureCount());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    } finally {
      if (mixer != null) {
        mixer.close();
      }
      reactor.stop();
    }
  }
}
