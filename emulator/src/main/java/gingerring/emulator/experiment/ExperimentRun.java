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

/**
 * Runs an experiment: the store of a scenario, a router in front of it, the clients, and the
 * result.
 */
public final class ExperimentRun {
  /** The router in front of the store. */
  public enum Router {
    MIXER,
    RANDOM
  }

  /**
   * The result of a run. {@code loadByBox} has the parts executed and the milliseconds of work of
   * each box; {@code mixerCpuSeconds} is the CPU time of the mixer from its start to the last
   * answer, or NaN without a mixer.
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
   * Runs until every request has ended; {@code recordFile} is the capture file of the mixer, or
   * null.
   */
  public static Result run(Scenario scenario, Router router, double speedFactor, Path recordFile)
      throws IOException {
    Reactor reactor = new Reactor();
    RuleChecker ruleChecker = new RuleChecker(scenario);
    EmulatedStore store = new EmulatedStore(scenario, reactor, ruleChecker, speedFactor);
    ClientStatistics statistics = new ClientStatistics();
    Thread thread = new Thread(reactor::run, "emulator");
    thread.setDaemon(true);
    MixerProcess mixer = null;
    try {
      InetSocketAddress address;
      if (router == Router.MIXER) {
        thread.start();
        mixer =
            MixerProcess.start(scenario, store.discoveryAddress(), store.memberList(), recordFile);
        address = mixer.address();
      } else {
        address = new RandomRouter(scenario, reactor, store.memberList()).address();
        thread.start();
      }
      double cpuBefore = mixer == null ? Double.NaN : mixer.cpuSeconds();
      CountDownLatch completed = new CountDownLatch(1);
      AtomicReference<Duration> duration = new AtomicReference<>(Duration.ZERO);
      reactor.post(
          () -> {
            Duration start = reactor.now().plus(START_DELAY);
            reactor.schedule(
                START_DELAY,
                () -> {
                  store.start();
                  new EmulatedClients(
                          scenario,
                          reactor,
                          ruleChecker,
                          address,
                          speedFactor,
                          statistics,
                          () -> {
                            duration.set(reactor.now().minus(start));
                            completed.countDown();
                          })
                      .start(Workload.generate(scenario));
                });
          });
      long timeoutMs =
          (long) (scenario.duration().toMillis() / speedFactor) + END_TIMEOUT.toMillis();
      if (!completed.await(timeoutMs, TimeUnit.MILLISECONDS)) {
        throw new IOException("the run did not end within " + timeoutMs + " ms");
      }
      double cpuSeconds = mixer == null ? Double.NaN : mixer.cpuSeconds() - cpuBefore;
      int exitCode = mixer == null ? 0 : mixer.stop();
      return new Result(
          router,
          statistics,
          ruleChecker,
          store.loadByBox(),
          duration.get(),
          cpuSeconds,
          exitCode,
          reactor.failureCount());
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
