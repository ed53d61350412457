package gingerring.emulator.harness;

import gingerring.emulator.experiment.MixerProcess;
import gingerring.traffic.wire.Reactor;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.function.Consumer;
import java.util.function.IntConsumer;

/**
 * Supervises the successive processes of one mixer under overlapping faults; it alone decides
 * whether a process should run. All methods are called on the reactor's thread; blocking work runs
 * on other threads. Overlapping kills are counted, and the mixer is restarted when the last one
 * ends. A stop applies to the current process and ends with that process.
 */
final class MixerSupervisor {
  private final Reactor reactor;
  private final ExecutorService blockingExecutor;

  /**
   * Sends signals to mixer processes; single-threaded, so that signals arrive in the order in which
   * they were sent.
   */
  private final ExecutorService signalExecutor;

  private final Callable<MixerProcess> launcher;
  private final Consumer<Exception> startFailureHandler;
  private MixerProcess process;
  private MixerProcess terminating;
  private InetSocketAddress address;
  private Duration unavailableSince;
  private int activeKills;
  private int activeStops;
  private boolean starting;
  private boolean killedWhileTerminating;
  private boolean finished;

  MixerSupervisor(
      Reactor reactor,
      ExecutorService blockingExecutor,
      ExecutorService signalExecutor,
      Callable<MixerProcess> launcher,
      Consumer<Exception> startFailureHandler) {
    this.reactor = reactor;
    this.blockingExecutor = blockingExecutor;
    this.signalExecutor = signalExecutor;
    this.launcher = launcher;
    this.startFailureHandler = startFailureHandler;
  }

  /**
   * Starts a process unless one exists or a fault keeps the mixer down. Calls {@code onStarted}
   * once the process runs.
   */
  void start(Runnable onStarted) {
    if (finished || starting || activeKills > 0 || process != null || terminating != null) {
      return;
    }
    starting = true;
    blockingExecutor.execute(
        () -> {
          try {
            MixerProcess startedProcess = launcher.call();
            reactor.post(() -> processStarted(startedProcess, onStarted));
          } catch (Exception e) {
            reactor.post(
                () -> {
                  starting = false;
                  startFailureHandler.accept(e);
                });
          }
        });
  }

  private void processStarted(MixerProcess startedProcess, Runnable onStarted) {
    starting = false;
    if (finished || activeKills > 0) {
      startedProcess.kill();
      return;
    }
    process = startedProcess;
    address = startedProcess.address();
    unavailableSince = null;
    activeStops = 0;
    onStarted.run();
  }

  void beginKill() {
    activeKills++;
    if (finished) {
      return;
    }
    unavailableSince = reactor.now();
    killedWhileTerminating = true;
    if (terminating != null) {
      terminating.kill();
    }
    if (process != null) {
      process.kill();
      process = null;
    }
  }

  /** Ends a kill fault and restarts the mixer if no other kill is active. */
  void endKill() {
    if (--activeKills == 0) {
      start(() -> {});
    }
  }

  /** Suspends the current process and returns it for {@link #endStop}; null if there is none. */
  MixerProcess beginStop() {
    if (!finished && process != null && activeStops++ == 0) {
      sendSignal(process, "STOP");
    }
    return process;
  }

  /** Ends a stop fault and resumes the process if no other stop is active. */
  void endStop(MixerProcess target) {
    if (!finished && target != null && target == process && activeStops > 0 && --activeStops == 0) {
      sendSignal(process, "CONT");
    }
  }

  /**
   * Terminates the process with SIGTERM, as an operator does, and starts another. An exit code
   * other than 0 is passed to {@code crashHandler}.
   */
  void restart(Duration unavailableFrom, IntConsumer crashHandler) {
    if (finished || process == null) {
      return;
    }
    unavailableSince = unavailableFrom;
    killedWhileTerminating = false;
    terminating = process;
    process = null;
    resumeIfStopped(terminating);
    blockingExecutor.execute(
        () -> {
          int code = terminating.stop();
          reactor.post(
              () -> {
                terminating = null;
                if (code != 0 && !killedWhileTerminating) {
                  crashHandler.accept(code);
                }
                start(() -> {});
              });
        });
  }

  /**
   * Ends the run: no fault applies and no process is started from now on. Returns the process that
   * should be running, or null.
   */
  MixerProcess finish() {
    finished = true;
    if (process != null) {
      resumeIfStopped(process);
    }
    return process;
  }

  private void resumeIfStopped(MixerProcess target) {
    if (activeStops > 0) {
      activeStops = 0;
      sendSignal(target, "CONT");
    }
  }

  private void sendSignal(MixerProcess target, String signalName) {
    signalExecutor.execute(
        () -> {
          try {
            target.signal(signalName);
          } catch (IOException e) {
            reactor.post(
                () -> {
                  throw new UncheckedIOException(e); // counted as a failed event of the harness
                });
          }
        });
  }

  /**
   * Returns the time since which the load balancer sees the mixer as unavailable; null while it is
   * available.
   */
  Duration unavailableSince() {
    return unavailableSince;
  }

  /** Returns the address at which the mixer listens or last listened. */
  InetSocketAddress address() {
    return address;
  }

  /** Returns the reason why the mixer does not serve; empty if it does. */
  String unavailableReason() {
    return activeKills > 0
        ? "killed by the schedule"
        : starting
            ? "starting"
            : terminating != null
                ? "terminating"
                : process == null
                    ? "not running"
                    : activeStops > 0
                        ? "stopped by the schedule"
                        : process.isAlive() ? "" : "exited unexpectedly";
  }
}
