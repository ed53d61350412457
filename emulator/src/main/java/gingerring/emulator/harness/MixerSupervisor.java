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
 * One mixer over its processes, whatever faults strike it at once: the one owner of whether a
 * process is to be there. For the reactor's thread; what waits goes to other threads. Kills add up,
 * and the last to end starts it anew; a stop strikes the process that is there, and ends with it.
 */
final class MixerSupervisor {
  private final Reactor reactor;
  private final ExecutorService blockingExecutor;

  /** One thread, so that signals come in the order in which they were sent. */
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
   * Starts a process unless there is one, or it is to stay down; {@code up} is told once it is
   * there.
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

  /** A kill's time is over. */
  void endKill() {
    if (--activeKills == 0) {
      start(() -> {});
    }
  }

  /**
   * Stops the process that is there and returns it, for {@link #endStop}; null where there is none.
   */
  MixerProcess beginStop() {
    if (!finished && process != null && activeStops++ == 0) {
      sendSignal(process, "STOP");
    }
    return process;
  }

  /** A stop's time is over. */
  void endStop(MixerProcess target) {
    if (!finished && target != null && target == process && activeStops > 0 && --activeStops == 0) {
      sendSignal(process, "CONT");
    }
  }

  /**
   * Ends the process as an operator does, and starts another; {@code crash} is told a code other
   * than 0.
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
   * The run is over: no fault strikes, and nothing is started, any more. Returns the process that
   * is to be there, or null.
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
                  throw new UncheckedIOException(e); // counted as a failure of the rig
                });
          }
        });
  }

  /** Since when the front sees it away; null while it is there. */
  Duration unavailableSince() {
    return unavailableSince;
  }

  /** Where it listens, or listened last. */
  InetSocketAddress address() {
    return address;
  }

  /** What keeps it from serving; empty where nothing does. */
  String unavailableReason() {
    return activeKills > 0
        ? "killed by the schedule"
        : starting
            ? "starting"
            : terminating != null
                ? "ending"
                : process == null
                    ? "not there"
                    : activeStops > 0
                        ? "stopped by the schedule"
                        : process.isAlive() ? "" : "ended by itself";
  }
}
