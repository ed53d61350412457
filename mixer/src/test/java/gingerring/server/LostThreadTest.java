package gingerring.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gingerring.net.TrafficListener;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A mixer's process of which one thread ends by an error. */
class LostThreadTest {
  private static final int TIMEOUT_S = 30;

  /** Runs a mixer whose event loop or network thread, the second argument, runs out of memory. */
  static final class MixerProcess {
    private MixerProcess() {}

    public static void main(String[] args) {
      System.exit(
          MixerServer.run(
              Map.of("LB_CONFIG", args[0]),
              System.err,
              new FailingTap(LostThread.valueOf(args[1])),
              null));
    }
  }

  private enum LostThread {
    EVENT_LOOP,
    NETWORK
  }

  /** An error that cannot be logged either, as happens when the heap is used up. */
  private static final class UnprintableError extends Error {
    private static final long serialVersionUID = 1;

    @Override
    public String getMessage() {
      throw new OutOfMemoryError("injected");
    }
  }

  /** Fails on the given thread as soon as that carries bytes, which the warm-up makes it do. */
  private record FailingTap(LostThread lostThread) implements TrafficListener {
    private static final Thread MAIN_THREAD = Thread.currentThread();

    @Override
    public void onOpened(long connection, InetSocketAddress opener, InetSocketAddress listener) {}

    @Override
    public void onData(long connection, int side, byte[] bytes) {
      boolean onEventLoop = Thread.currentThread() == MAIN_THREAD;
      if (onEventLoop == (lostThread == LostThread.EVENT_LOOP)) {
        throw new UnprintableError();
      }
    }

    @Override
    public void onClosed(long connection, int side) {}
  }

  /**
   * Guards against a process that stays silent for good: it kept its port and its connections,
   * answered nothing, and did not end on SIGTERM after its event loop or its network thread had run
   * out of memory.
   */
  @ParameterizedTest
  @EnumSource
  @Timeout(60)
  void processEndsWithTheThread(LostThread lostThread, @TempDir Path folder) throws Exception {
    Path example = Files.exists(Path.of("example")) ? Path.of("example") : Path.of("../example");
    Path config = folder.resolve("config.json");
    Files.writeString(
        config,
        Files.readString(example.resolve("config.json"))
            .replace("127.0.0.1:8081", "127.0.0.1:0")
            .replace("127.0.0.1:8500", "127.0.0.1:1"));
    Path log = folder.resolve("log");
    Process process =
        new ProcessBuilder(
                List.of(
                    Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-cp",
                    System.getProperty("java.class.path"),
                    MixerProcess.class.getName(),
                    config.toString(),
                    lostThread.name()))
            .redirectErrorStream(true)
            .redirectOutput(log.toFile())
            .start();
    try {
      assertTrue(
          process.waitFor(TIMEOUT_S, TimeUnit.SECONDS),
          () -> "the process stays although it has lost its thread: " + lostThread);
      assertEquals(1, process.exitValue());
    } finally {
      process.destroyForcibly();
    }
  }
}
