package gingerring.emulator.experiment;

import gingerring.emulator.core.Scenario;
import gingerring.emulator.core.Scenario.ServiceClass;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** A real mixer as a child of this process, from the same class path, configured for a world. */
public final class MixerProcess implements AutoCloseable {
  /**
   * Which of a fleet a mixer is; {@code peers} is the file of its peers, or null where it has none.
   */
  public record FleetMember(
      String name, int number, int fleetSize, List<String> zones, int zone, Path peersFile) {
    static final FleetMember STANDALONE = new FleetMember("emulated", 0, 1, List.of("a"), 0, null);
  }

  private static final Pattern LISTENING_LINE = Pattern.compile("listens at [^ ]*:([0-9]+),");
  private static final long START_TIMEOUT_MS = 20_000;
  private static final long STOP_TIMEOUT_MS = 5_000;
  private static final List<String> JVM_FLAGS =
      List.of(
          "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-XX:-UsePerfData", "-Xms24m", "-Xss512k");

  /**
   * The deployment's heap, in MB, and what a client's two connections may take on top of it, in KB.
   */
  private static final int BASE_HEAP_MB = 64;

  private static final int HEAP_KB_PER_CLIENT = 48;

  private final Process process;
  private final BlockingQueue<String> unreadLines = new LinkedBlockingQueue<>(10_000);
  private final List<String> readLines = new ArrayList<>();
  private final Path configFile;
  private UnaryOperator<String> configEdit = UnaryOperator.identity();
  private InetSocketAddress address;

  private MixerProcess(Process process, Path config) {
    this.process = process;
    this.configFile = config;
    Thread reader =
        new Thread(
            () -> {
              try (BufferedReader out =
                  new BufferedReader(new InputStreamReader(process.getInputStream()))) {
                for (String line = out.readLine(); line != null; line = out.readLine()) {
                  unreadLines.offer(line);
                }
              } catch (IOException e) {
                unreadLines.offer("the mixer's output ended: " + e.getMessage());
              }
            },
            "mixer-log");
    reader.setDaemon(true);
    reader.start();
  }

  /**
   * Starts one; {@code known} is the list it begins with, {@code record} a file to record to, or
   * null.
   */
  public static MixerProcess start(
      Scenario world, InetSocketAddress discovery, String known, Path record) throws IOException {
    return start(world, discovery, known, record, FleetMember.STANDALONE);
  }

  /** Starts one of a fleet. */
  public static MixerProcess start(
      Scenario world, InetSocketAddress discovery, String known, Path record, FleetMember member)
      throws IOException {
    return start(world, discovery, known, record, member, UnaryOperator.identity());
  }

  /** Starts one alone, with its configuration edited: for settings that a world does not tell. */
  public static MixerProcess startEdited(
      Scenario world, InetSocketAddress discovery, String known, UnaryOperator<String> edit)
      throws IOException {
    return start(world, discovery, known, null, FleetMember.STANDALONE, edit);
  }

  private static MixerProcess start(
      Scenario world,
      InetSocketAddress discovery,
      String known,
      Path record,
      FleetMember member,
      UnaryOperator<String> edit)
      throws IOException {
    Path config = Files.createTempFile("gingerring-mixer", ".json");
    Files.writeString(config, edit.apply(config(world, discovery, known, member)));
    List<String> command =
        new ArrayList<>(
            List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
    command.addAll(JVM_FLAGS);
    command.add(
        "-Xmx" + (BASE_HEAP_MB + (int) ((long) world.clients() * HEAP_KB_PER_CLIENT >> 10)) + "m");
    command.addAll(List.of("-cp", System.getProperty("java.class.path")));
    command.addAll(
        member.peersFile() != null
            ? List.of("gingerring.peering.Main", "serve", "--peers", member.peersFile().toString())
            : record == null
                ? List.of("gingerring.Main", "serve")
                : List.of("gingerring.cli.Gingerring", "serve", "--record", record.toString()));
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.environment().remove("GINGERRING_LOG"); // its lines are read here as plain ones
    builder.environment().put("LB_CONFIG", config.toString());
    MixerProcess mixer = new MixerProcess(builder.start(), config);
    mixer.configEdit = edit;
    try {
      mixer.awaitStart();
      return mixer;
    } catch (IOException e) {
      mixer.close();
      throw e;
    }
  }

  private void awaitStart() throws IOException {
    long until = System.currentTimeMillis() + START_TIMEOUT_MS;
    try {
      while (System.currentTimeMillis() < until) {
        String line = unreadLines.poll(100, TimeUnit.MILLISECONDS);
        if (line != null) {
          readLines.add(line);
          Matcher listens = LISTENING_LINE.matcher(line);
          if (listens.find()) {
            address = EmulatedStore.loopback(Integer.parseInt(listens.group(1)));
            return;
          }
        } else if (!process.isAlive()) {
          break;
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    throw new IOException("the mixer did not start: " + String.join(" | ", readLines));
  }

  public InetSocketAddress address() {
    return address;
  }

  public long pid() {
    return process.pid();
  }

  /** Whether it still runs. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** Sends a signal by its name, as STOP or CONT. */
  public void signal(String name) throws IOException {
    try {
      new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid()))
          .start()
          .waitFor(STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Has it read its configuration again (SIGHUP), which differs from before in where discovery is.
   */
  public void reload(Scenario world, InetSocketAddress discovery, String known) throws IOException {
    Files.writeString(
        configFile, configEdit.apply(config(world, discovery, known, FleetMember.STANDALONE)));
    signal("HUP");
  }

  /**
   * Asks it to end (SIGTERM), as a planned restart does, and does not wait. Its output is read on.
   */
  public void terminate() {
    process.toHandle().destroy(); // the process's own would close its streams
  }

  /** The code that it ended with; null while it runs. */
  public Integer exitCode() {
    return process.isAlive() ? null : Integer.valueOf(process.exitValue());
  }

  /** Waits for a line that matches and returns its first group; null where none comes in time. */
  public String awaitLine(Pattern pattern, long ms) {
    long until = System.currentTimeMillis() + ms;
    try {
      for (String line : readLines) {
        Matcher matcher = pattern.matcher(line);
        if (matcher.find()) {
          return matcher.group(1);
        }
      }
      while (System.currentTimeMillis() < until) {
        String line = unreadLines.poll(50, TimeUnit.MILLISECONDS);
        if (line != null) {
          readLines.add(line);
          Matcher matcher = pattern.matcher(line);
          if (matcher.find()) {
            return matcher.group(1);
          }
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return null;
  }

  /** Kills it outright. */
  public void kill() {
    process.destroyForcibly();
  }

  /** CPU time used so far, in seconds; NaN where the system does not tell. */
  public double cpuSeconds() {
    return process.info().totalCpuDuration().map(cpu -> cpu.toNanos() / 1e9).orElse(Double.NaN);
  }

  /** What it has logged and was not read yet. */
  public List<String> drainLog() {
    List<String> log = new ArrayList<>();
    unreadLines.drainTo(log);
    return log;
  }

  /** Ends it by the usual signal, and for good where it does not go; returns its exit code. */
  public int stop() {
    process.destroy();
    try {
      if (!process.waitFor(STOP_TIMEOUT_MS + 5000, TimeUnit.MILLISECONDS)) {
        process.destroyForcibly().waitFor(STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
      }
      return process.isAlive() ? -1 : process.exitValue();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return -1;
    }
  }

  @Override
  public void close() {
    process.destroyForcibly();
    try {
      Files.deleteIfExists(configFile);
    } catch (IOException e) {
      configFile.toFile().deleteOnExit();
    }
  }

  /** The configuration of a mixer before this world's store, in the deployment's form. */
  static String config(
      Scenario world, InetSocketAddress discovery, String known, FleetMember member) {
    String grades =
        world.serviceClasses().stream()
            .map(MixerProcess::serviceClassJson)
            .collect(Collectors.joining(",\n      "));
    return String.format(
        Locale.ROOT,
        """
        {"name": "%s", "listen": "127.0.0.1:0", "discovery": "%s:%d", "seed": "%016x",
         "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 8192}, "known": %s,
         "settings": {
          "Classes": [%s],
          "Discovery": "automatic",
          "Domain": {"Batch": 4, "ClassFetch": [%s], "ClassFloor": [%s], "ClassPartial": [%s],
           "NeedByClass": [%s], "Places": %d, "Reach": %d, "Slices": %d},
          "FleetSize": %d, "LoadReport": {"Columns": ["depth", "concurrent"], "Source": "answers"}, "Me": %d,
          "PolicyLimits": {"Cancel": true, "ConnIdleMs": %f, "DialTimeoutMs": 250.0, "MaxAttempts": %d,
           "MaxRetryAfterMs": 2000.0, "MostHeld": 4000, "Probing": true, "RetryAfter": true,
           "SecondCopies": true, "StreamsPerConn": 32},
          "Safety": {"ColdFrom": %f, "DrainGraceMs": %f, "GraceToAnswerMs": 20.0, "TipAfterMs": %f,
           "TipMultiple": %f, "WarmUpMs": %f},
          "Skus": ["emulated"], "Zone": %d, "Zones": ["%s"]}}
        """,
        member.name(),
        discovery.getAddress().getHostAddress(),
        discovery.getPort(),
        world.seed(),
        known,
        grades,
        joinClasses(world, grade -> "0"),
        joinClasses(world, grade -> String.valueOf(grade.minCoverage())),
        joinClasses(world, grade -> "0.95"),
        joinClasses(world, grade -> "1.0"),
        world.boxes(),
        world.replicas(),
        world.partitions(),
        member.fleetSize(),
        member.number(),
        millis(world.idleTimeout()),
        world.maxTrips(),
        world.coldCapacityShare(),
        millis(world.drainGrace()),
        millis(world.overloadDuration()),
        world.overloadMultiple(),
        millis(world.warmUp()),
        member.zone(),
        String.join("\", \"", member.zones()));
  }

  private static String joinClasses(Scenario world, Function<ServiceClass, String> value) {
    return world.serviceClasses().stream().map(value).collect(Collectors.joining(", "));
  }

  private static String serviceClassJson(ServiceClass grade) {
    String repeats =
        switch (grade.retrySafety()) {
          case IDEMPOTENT -> "idempotent";
          case KEYED -> "deduplicated";
          case AT_MOST_ONCE -> "at_most_once";
        };
    return String.format(
        Locale.ROOT,
        "{\"Name\": \"%s\", \"AimMs\": %f, \"HardLimitMs\": %f, "
            + "\"Idempotency\": \"%s\", \"LateWorth\": %f, \"WindowMs\": %f, \"Worth\": %f}",
        grade.name(),
        millis(grade.latencyTarget()),
        millis(grade.deadline()),
        repeats,
        grade.lateValueShare(),
        millis(grade.idempotencyWindow()),
        grade.value());
  }

  private static double millis(Duration span) {
    return span.toNanos() / 1e6;
  }
}
