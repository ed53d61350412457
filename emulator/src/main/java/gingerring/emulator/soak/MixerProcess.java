package gingerring.emulator.soak;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** A mixer's process, started with the command of the deploy file, and the toy store behind it. */
final class MixerProcess implements AutoCloseable {
  private static final int SEARCHERS = 4;
  private static final int READY_TIMEOUT_MS = 30_000;
  private static final int POLL_INTERVAL_MS = 50;

  private final List<Process> processes = new ArrayList<>();
  private final List<String> log = new ArrayList<>();
  private Thread logReader;
  private final Path configFile;
  private final Process mixer;
  final InetSocketAddress address;

  /** Starts the toy store and a mixer with these limits, and waits until it is ready. */
  MixerProcess(Limits limits) throws IOException, InterruptedException {
    Process store =
        start(
            new ProcessBuilder(
                "java", "-Xmx64m", "example/ToyStore.java", "0", String.valueOf(SEARCHERS)));
    String discovery = awaitLine(store, "discovery at (.*)");
    configFile = Files.createTempFile("soak", ".json");
    Files.writeString(
        configFile,
        Files.readString(Path.of("example/config.json"))
            .replace("127.0.0.1:8500", discovery)
            .replace("127.0.0.1:8081", "127.0.0.1:0")
            .replaceAll("\"limits\": \\{.*?\\}", limits.toJson())
            .replace("\"MostHeld\": 60", "\"MostHeld\": 400"));
    Matcher run =
        Pattern.compile("(?m)^run = \"(.*)\"$")
            .matcher(Files.readString(Path.of("deploy/balancer.toml")));
    if (!run.find()) {
      throw new IOException("deploy/balancer.toml has no run command");
    }
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1));
    builder.environment().put("LB_CONFIG", configFile.toString());
    mixer = start(builder);
    int port = Integer.parseInt(awaitLine(mixer, ".*listens at [^ ]*:([0-9]+),.*"));
    address = new InetSocketAddress("127.0.0.1", port);
    awaitReady();
  }

  private Process start(ProcessBuilder builder) throws IOException {
    Process process = builder.redirectErrorStream(true).start();
    processes.add(process);
    return process;
  }

  /** Returns the first group of the first line that matches; later lines are kept as the log. */
  private String awaitLine(Process process, String pattern) throws IOException {
    BufferedReader output =
        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    for (String line = output.readLine(); line != null; line = output.readLine()) {
      Matcher matcher = Pattern.compile(pattern).matcher(line);
      if (matcher.matches()) {
        logReader = new Thread(() -> keepLines(output));
        logReader.setDaemon(true);
        logReader.start();
        return matcher.group(1);
      }
    }
    throw new IOException("the process ended before it wrote: " + pattern);
  }

  private void keepLines(BufferedReader output) {
    try {
      for (String line = output.readLine(); line != null; line = output.readLine()) {
        synchronized (this) {
          log.add(line);
        }
      }
    } catch (IOException e) {
      // The process has been destroyed.
    }
  }

  /** Returns the newest lines of the log. */
  synchronized List<String> lastLogLines(int count) {
    return List.copyOf(log.subList(Math.max(0, log.size() - count), log.size()));
  }

  /** Returns the counters of violated invariants and failed tasks that the log has at its end. */
  synchronized List<String> faults() {
    return log.stream()
        .filter(line -> line.contains("ended; counts: "))
        .flatMap(line -> Stream.of(line.split("(counts: |, )")))
        .filter(counter -> counter.startsWith("broken: ") || counter.startsWith("failures in "))
        .toList();
  }

  private void awaitReady() throws IOException, InterruptedException {
    long deadline = System.nanoTime() + READY_TIMEOUT_MS * 1_000_000L;
    while (true) {
      try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
        socket.setSoTimeout(READY_TIMEOUT_MS);
        HttpExchange exchange = new HttpExchange(socket);
        exchange.write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
        if (exchange.readStatus() == HttpExchange.OK) {
          return;
        }
      }
      if (System.nanoTime() > deadline) {
        throw new IOException("the mixer is not ready");
      }
      Thread.sleep(POLL_INTERVAL_MS);
    }
  }

  boolean isAlive() {
    return mixer.isAlive();
  }

  int exitCode() {
    return mixer.exitValue();
  }

  /** Asks the mixer to end, and waits for that; returns its exit code. */
  int terminate() throws InterruptedException {
    mixer.toHandle().destroy(); // unlike Process.destroy, leaves the output open
    int exitCode = mixer.waitFor();
    logReader.join();
    return exitCode;
  }

  /** Returns the memory of the process that is its own, in KB. */
  long anonymousKilobytes() throws IOException {
    return statusKilobytes("RssAnon");
  }

  /** Returns all memory of the process, pages of files included, in KB. */
  long residentKilobytes() throws IOException {
    return statusKilobytes("VmRSS");
  }

  private long statusKilobytes(String name) throws IOException {
    try (Stream<String> lines = Files.lines(Path.of("/proc", "" + mixer.pid(), "status"))) {
      return lines
          .filter(line -> line.startsWith(name + ":"))
          .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
          .findFirst()
          .orElse(0);
    }
  }

  long descriptors() throws IOException {
    try (Stream<Path> descriptors = Files.list(Path.of("/proc", "" + mixer.pid(), "fd"))) {
      return descriptors.count();
    }
  }

  @Override
  public void close() throws IOException {
    for (Process process : processes) {
      process.destroyForcibly();
    }
    Files.deleteIfExists(configFile);
  }
}
