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

/** A real mixer as a child process on the same class path, configured for a scenario. */
public final class MixerProcess implements AutoCloseable {
  /** The place of a mixer in a fleet; {@code peersFile} is null for a mixer without peers. */
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
   * The heap of the deployment. {@link #HEAP_KB_PER_CLIENT} is added for each client, which may
   * open two connections.
   */
  private static final int BASE_HEAP_MB = 64;

  private static final int HEAP_KB_PER_CLIENT = 48;

  private final Process process;
  private final BlockingQueue<String> unreadLines = new LinkedBlockingQueue<>(10_000);
  private final List<String> readLines = new ArrayList<>();
  private final Path configFile;
  private UnaryOperator<String> configEdit = UnaryOperator.identity();
  private InetSocketAddress address;

  private MixerProcess(Process process, Path configFile) {
    this.process = process;
    this.configFile = configFile;
    Thread reader =
        new Thread(
            () -> {
              try (BufferedReader out =
                  new BufferedReader(new InputStreamReader(process.getInputStream()))) {
                for (String line = out.readLine(); line != null; line = out.readLine()) {
                  unreadLines.offer(line);
                }
              } catch (IOException e) {
                unreadLines.offer("reading the mixer's output failed: " + e.getMessage());
              }
            },
            "mixer-log");
    reader.setDaemon(true);
    reader.start();
  }

  /**
   * Starts a mixer without peers. {@code memberListJson} is its initial member list; {@code
   * recordFile} is the capture file to write, or null.
   */
  public static MixerProcess start(
      Scenario scenario, InetSocketAddress discovery, String memberListJson, Path recordFile)
      throws IOException {
    return start(scenario, discovery, memberListJson, recordFile, FleetMember.STANDALONE);
  }

  /** Starts a mixer of a fleet. */
  public static MixerProcess start(
      Scenario scenario,
      InetSocketAddress discovery,
      String memberListJson,
      Path recordFile,
      FleetMember member)
      throws IOException {
    return start(scenario, discovery, memberListJson, recordFile, member, UnaryOperator.identity());
  }

  /**
   * Starts a mixer without peers and with an edited configuration, for settings that a scenario
   * does not contain.
   */
  public static MixerProcess startEdited(
      Scenario scenario,
      InetSocketAddress discovery,
      String memberListJson,
      UnaryOperator<String> configEdit)
      throws IOException {
    return start(scenario, discovery, memberListJson, null, FleetMember.STANDALONE, configEdit);
  }

  private static MixerProcess start(
      Scenario scenario,
      InetSocketAddress discovery,
      String memberListJson,
      Path recordFile,
      FleetMember member,
      UnaryOperator<String> configEdit)
      throws IOException {
    Path configFile = Files.createTempFile("gingerring-mixer", ".json");
    Files.writeString(
        configFile, configEdit.apply(config(scenario, discovery, memberListJson, member)));
    List<String> command =
        new ArrayList<>(
            List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
    command.addAll(JVM_FLAGS);
    command.add(
        "-Xmx"
            + (BASE_HEAP_MB + (int) ((long) scenario.clients() * HEAP_KB_PER_CLIENT >> 10))
            + "m");
    command.addAll(List.of("-cp", System.getProperty("java.class.path")));
    command.addAll(
        member.peersFile() != null
            ? List.of("gingerring.peering.Main", "serve", "--peers", member.peersFile().toString())
            : recordFile == null
                ? List.of("gingerring.Main", "serve")
                : List.of("gingerring.cli.Gingerring", "serve", "--record", recordFile.toString()));
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.environment().remove("GINGERRING_LOG"); // the log lines are parsed here as plain text
    builder.environment().put("LB_CONFIG", configFile.toString());
    MixerProcess mixer = new MixerProcess(builder.start(), configFile);
    mixer.configEdit = configEdit;
    try {
      mixer.awaitStart();
      return mixer;
    } catch (IOException e) {
      mixer.close();
      throw e;
    }
  }

  private void awaitStart() throws IOException {
    long deadlineMs = System.currentTimeMillis() + START_TIMEOUT_MS;
    try {
      while (System.currentTimeMillis() < deadlineMs) {
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

  /** Returns whether the process is running. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** Sends a signal by its name, for example STOP or CONT. */
  public void signal(String name) throws IOException {
    try {
      new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid()))
          .start()
          .waitFor(STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Writes a configuration with a new discovery address and makes the mixer reload it (SIGHUP). */
  public void reload(Scenario scenario, InetSocketAddress discovery, String memberListJson)
      throws IOException {
    Files.writeString(
        configFile,
        configEdit.apply(config(scenario, discovery, memberListJson, FleetMember.STANDALONE)));
    signal("HUP");
  }

  /**
   * Requests termination (SIGTERM), as a planned restart does, without waiting. The output is still
   * read.
   */
  public void terminate() {
    process.toHandle().destroy(); // Process.destroy() would close the streams of the process
  }

  /** Returns the exit code, or null while the process runs. */
  public Integer exitCode() {
    return process.isAlive() ? null : Integer.valueOf(process.exitValue());
  }

  /** Waits for a log line that matches and returns its first group, or null on timeout. */
  public String awaitLine(Pattern pattern, long timeoutMs) {
    long deadlineMs = System.currentTimeMillis() + timeoutMs;
    try {
      for (String line : readLines) {
        Matcher matcher = pattern.matcher(line);
        if (matcher.find()) {
          return matcher.group(1);
        }
      }
      while (System.currentTimeMillis() < deadlineMs) {
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

  /** Kills the process (SIGKILL). */
  public void kill() {
    process.destroyForcibly();
  }

  /** Returns the CPU seconds used so far, or NaN if the system does not report them. */
  public double cpuSeconds() {
    return process.info().totalCpuDuration().map(cpu -> cpu.toNanos() / 1e9).orElse(Double.NaN);
  }

  /** Returns the log lines that have not been read yet. */
  public List<String> drainLog() {
    List<String> log = new ArrayList<>();
    unreadLines.drainTo(log);
    return log;
  }

  /** Terminates the process, kills it after a timeout, and returns its exit code. */
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

  /** Returns the configuration of a mixer in front of the store of this scenario, as deployed. */
  static String config(
      Scenario scenario, InetSocketAddress discovery, String memberListJson, FleetMember member) {
    String classesJson =
        scenario.serviceClasses().stream()
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
        scenario.seed(),
        memberListJson,
        classesJson,
        joinClasses(scenario, serviceClass -> "0"),
        joinClasses(scenario, serviceClass -> String.valueOf(serviceClass.minCoverage())),
        joinClasses(scenario, serviceClass -> "0.95"),
        joinClasses(scenario, serviceClass -> "1.0"),
        scenario.boxes(),
        scenario.replicas(),
        scenario.partitions(),
        member.fleetSize(),
        member.number(),
        millis(scenario.idleTimeout()),
        scenario.maxTrips(),
        scenario.coldCapacityShare(),
        millis(scenario.drainGrace()),
        millis(scenario.overloadDuration()),
        scenario.overloadMultiple(),
        millis(scenario.warmUp()),
        member.zone(),
        String.join("\", \"", member.zones()));
  }

  private static String joinClasses(Scenario scenario, Function<ServiceClass, String> toText) {
    return scenario.serviceClasses().stream().map(toText).collect(Collectors.joining(", "));
  }

  private static String serviceClassJson(ServiceClass serviceClass) {
    String idempotency =
        switch (serviceClass.retrySafety()) {
          case IDEMPOTENT -> "idempotent";
          case KEYED -> "deduplicated";
          case AT_MOST_ONCE -> "at_most_once";
        };
    return String.format(
        Locale.ROOT,
        "{\"Name\": \"%s\", \"AimMs\": %f, \"HardLimitMs\": %f, "
            + "\"Idempotency\": \"%s\", \"LateWorth\": %f, \"WindowMs\": %f, \"Worth\": %f}",
        serviceClass.name(),
        millis(serviceClass.latencyTarget()),
        millis(serviceClass.deadline()),
        idempotency,
        serviceClass.lateValueShare(),
        millis(serviceClass.idempotencyWindow()),
        serviceClass.value());
  }

  private static double millis(Duration duration) {
    return duration.toNanos() / 1e6;
  }
}
