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
final class Keep {
  private final Reactor reactor;
  private final ExecutorService hands;

  /** One thread, so that signals come in the order in which they were sent. */
  private final ExecutorService signals;

  private final Callable<MixerProcess> starter;
  private final Consumer<Exception> failed;
  private MixerProcess process;
  private MixerProcess leaving;
  private InetSocketAddress address;
  private Duration away;
  private int kills;
  private int stops;
  private boolean starting;
  private boolean struck;
  private boolean over;

  Keep(
      Reactor reactor,
      ExecutorService hands,
      ExecutorService signals,
      Callable<MixerProcess> starter,
      Consumer<Exception> failed) {
    this.reactor = reactor;
    this.hands = hands;
    this.signals = signals;
    this.starter = starter;
    this.failed = failed;
  }

  /**
   * Starts a process unless there is one, or it is to stay down; {@code up} is told once it is
   * there.
   */
  void start(Runnable up) {
    if (over || starting || kills > 0 || process != null || leaving != null) {
      return;
    }
    starting = true;
    hands.execute(
        () -> {
          try {
            MixerProcess next = starter.call();
            reactor.post(() -> started(next, up));
          } catch (Exception e) {
            reactor.post(
                () -> {
                  starting = false;
                  failed.accept(e);
                });
          }
        });
  }

  private void started(MixerProcess next, Runnable up) {
    starting = false;
    if (over || kills > 0) {
      next.kill();
      return;
    }
    process = next;
    address = next.address();
    away = null;
    stops = 0;
    up.run();
  }

  void kill() {
    kills++;
    if (over) {
      return;
    }
    away = reactor.now();
    struck = true;
    if (leaving != null) {
      leaving.kill();
    }
    if (process != null) {
      process.kill();
      process = null;
    }
  }

  /** A kill's time is over. */
  void revive() {
    if (--kills == 0) {
      start(() -> {});
    }
  }

  /** Stops the process that is there and returns it, for {@link #go}; null where there is none. */
  MixerProcess stop() {
    if (!over && process != null && stops++ == 0) {
      signal(process, "STOP");
    }
    return process;
  }

  /** A stop's time is over. */
  void go(MixerProcess which) {
    if (!over && which != null && which == process && stops > 0 && --stops == 0) {
      signal(process, "CONT");
    }
  }

  /**
   * Ends the process as an operator does, and starts another; {@code crash} is told a code other
   * than 0.
   */
  void roll(Duration since, IntConsumer crash) {
    if (over || process == null) {
      return;
    }
    away = since;
    struck = false;
    leaving = process;
    process = null;
    release(leaving);
    hands.execute(
        () -> {
          int code = leaving.stop();
          reactor.post(
              () -> {
                leaving = null;
                if (code != 0 && !struck) {
                  crash.accept(code);
                }
                start(() -> {});
              });
        });
  }

  /**
   * The run is over: no fault strikes, and nothing is started, any more. Returns the process that
   * is to be there, or null.
   */
  MixerProcess over() {
    over = true;
    if (process != null) {
      release(process);
    }
    return process;
  }

  private void release(MixerProcess which) {
    if (stops > 0) {
      stops = 0;
      signal(which, "CONT");
    }
  }

  private void signal(MixerProcess which, String name) {
    signals.execute(
        () -> {
          try {
            which.signal(name);
          } catch (IOException e) {
            reactor.post(
                () -> {
                  throw new UncheckedIOException(e); // counted as a failure of the rig
                });
          }
        });
  }

  /** Since when the front sees it away; null while it is there. */
  Duration away() {
    return away;
  }

  /** Where it listens, or listened last. */
  InetSocketAddress address() {
    return address;
  }

  /** What keeps it from serving; empty where nothing does. */
  String state() {
    return kills > 0
        ? "killed by the schedule"
        : starting
            ? "starting"
            : leaving != null
                ? "ending"
                : process == null
                    ? "not there"
                    : stops > 0
                        ? "stopped by the schedule"
                        : process.isAlive() ? "" : "ended by itself";
  }
}
