package gingerring.bench;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Measures a cold start up to the first scans. {@code ColdStart SEARCHERS RUNS [trace]} starts the
 * mixer with the {@code run} command of the deploy file, on one processor, in front of the toy
 * store, and sends scans with one part for each searcher. Prints the mixer's CPU time when it is
 * ready, after the first answer and after the hundredth, and the response times of the first scans.
 * With {@code trace}, counts the system calls of the first scan, which connects to every searcher,
 * and of the second, which connects to none, with strace. Run it from the root of a built
 * repository.
 */
public final class ColdStart {
  private static final int SCAN_COUNT = 100;
  private static final long TIMEOUT_SECONDS = 30;

  private final int searchers;
  private final boolean trace;
  private final List<Process> children = new ArrayList<>();
  private int scansSent;

  private ColdStart(int searchers, boolean trace) {
    this.searchers = searchers;
    this.trace = trace;
  }

  public static void main(String[] args) throws Exception {
    int runs = Integer.parseInt(args[1]);
    boolean trace = args.length > 2 && args[2].equals("trace");
    System.out.println(
        trace
            ? "calls_scan_1,calls_scan_2,calls_per_dial,scan_1_by_call"
            : "cpu_ready_ms,cpu_1_ms,cpu_100_ms,scan_1_ms,scan_2_ms,scan_3_ms,scan_100_ms,scan_1_cpu_by_thread");
    List<double[]> results = new ArrayList<>();
    for (int i = 0; i < runs; i++) {
      ColdStart coldStart = new ColdStart(Integer.parseInt(args[0]), trace);
      try {
        results.add(coldStart.run());
      } finally {
        coldStart.children.forEach(Process::destroyForcibly);
      }
    }
    if (!trace) {
      StringBuilder medians = new StringBuilder("median");
      for (int i = 0; i < results.get(0).length; i++) {
        int column = i;
        double[] sorted = results.stream().mapToDouble(result -> result[column]).sorted().toArray();
        medians.append(String.format(Locale.ROOT, ",%.1f", sorted[sorted.length / 2]));
      }
      System.out.println(medians);
    }
  }

  private double[] run() throws Exception {
    Process toyStore = start("java", "example/ToyStore.java", "0", String.valueOf(searchers));
    String discoveryAddress = awaitLine(toyStore, "discovery at (.*)");
    String config =
        Files.readString(Path.of("example/config.json"))
            .replace("127.0.0.1:8500", discoveryAddress)
            .replace("127.0.0.1:8081", "127.0.0.1:0")
            .replace("\"Places\": 4", "\"Places\": " + searchers)
            .replace("\"Slices\": 8", "\"Slices\": " + searchers)
            .replace("\"MostHeld\": 60", "\"MostHeld\": 1000")
            .replace("600.0", "1800.0");
    Path configFile = Files.createTempFile("cold", ".json");
    Files.writeString(configFile, config);
    String runCommand =
        Files.readString(Path.of("deploy/balancer.toml"))
            .replaceAll("(?s).*\nrun = \"([^\"]*)\".*", "$1");
    ProcessBuilder builder = new ProcessBuilder("taskset", "-c", "7", "/bin/sh", "-c", runCommand);
    builder.environment().put("LB_CONFIG", configFile.toString());
    Process mixer = builder.redirectErrorStream(true).start();
    children.add(mixer);
    int port = Integer.parseInt(awaitLine(mixer, ".*listens at [^ ]*:([0-9]+),.*"));
    awaitReady(port);
    Map<String, Double> cpuAtReady = cpuMsByThread(mixer.pid());
    Map<String, Double> cpuAfterFirstScan = cpuAtReady;
    double[] scanMs = new double[SCAN_COUNT];
    try (Socket socket = new Socket("127.0.0.1", port)) {
      socket.setTcpNoDelay(true);
      if (trace) {
        countSystemCalls(mixer, socket);
        return new double[0];
      }
      for (int i = 0; i < SCAN_COUNT; i++) {
        scanMs[i] = scan(socket);
        cpuAfterFirstScan = i == 0 ? cpuMsByThread(mixer.pid()) : cpuAfterFirstScan;
        Thread.sleep(20);
      }
    }
    double cpuAfterAllScansMs = sum(cpuMsByThread(mixer.pid()));
    double[] result = {
      sum(cpuAtReady),
      sum(cpuAfterFirstScan),
      cpuAfterAllScansMs,
      scanMs[0],
      scanMs[1],
      scanMs[2],
      scanMs[SCAN_COUNT - 1]
    };
    StringBuilder threads = new StringBuilder();
    cpuAfterFirstScan.forEach(
        (name, cpuMs) -> {
          double increaseMs = cpuMs - cpuAtReady.getOrDefault(name, 0.0);
          threads.append(
              increaseMs < 0.1 ? "" : String.format(Locale.ROOT, " %s %.1f", name, increaseMs));
        });
    System.out.println(
        String.join(
                ",",
                Arrays.stream(result)
                    .mapToObj(value -> String.format(Locale.ROOT, "%.1f", value))
                    .toList())
            + ','
            + threads.toString().strip());
    return result;
  }

  /** Counts the system calls of two scans; both counts include the mixer's background activity. */
  private void countSystemCalls(Process mixer, Socket socket) throws Exception {
    long[] calls = new long[2];
    StringBuilder firstScanCalls = new StringBuilder();
    for (int i = 0; i < calls.length; i++) {
      Path summaryFile = Files.createTempFile("calls", ".txt");
      Process strace =
          start(
              "strace",
              "-f",
              "-c",
              "-U",
              "calls,name",
              "-S",
              "calls",
              "-o",
              summaryFile.toString(),
              "-p",
              String.valueOf(mixer.pid()));
      Thread.sleep(1000); // until strace has attached to all threads
      scan(socket);
      Thread.sleep(200);
      strace.destroy();
      strace.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      for (String line : Files.readAllLines(summaryFile)) {
        Matcher callCount = Pattern.compile(" *([0-9]+) (.+)").matcher(line);
        if (callCount.matches() && !callCount.group(2).equals("total")) {
          calls[i] += Long.parseLong(callCount.group(1));
          firstScanCalls.append(i == 0 ? ' ' + callCount.group(2) + ' ' + callCount.group(1) : "");
        }
      }
    }
    System.out.printf(
        Locale.ROOT,
        "%d,%d,%.1f,%s%n",
        calls[0],
        calls[1],
        (double) (calls[0] - calls[1]) / searchers,
        firstScanCalls.toString().strip());
  }

  /** Sends a scan with one part for each searcher; returns its response time in milliseconds. */
  private double scan(Socket socket) throws IOException {
    StringBuilder parts = new StringBuilder();
    for (int i = 0; i < searchers; i++) {
      parts
          .append(i == 0 ? "" : ",")
          .append("{\"partition\":")
          .append(i)
          .append(",\"share\":")
          .append(1.0 / searchers)
          .append('}');
    }
    String body = "{\"targets\":[" + parts + "],\"query\":\"\"}";
    String request =
        "POST /api HTTP/1.1\r\nHost: x\r\nX-Txn: m"
            + scansSent++
            + "\r\nX-Lane: search\r\n"
            + "X-Remaining-Ms: 2000\r\nContent-Length: "
            + body.length()
            + "\r\n\r\n"
            + body;
    long start = System.nanoTime();
    socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    InputStream in = socket.getInputStream();
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int character = in.read();
      if (character < 0) {
        throw new IOException("the mixer closed the connection after: " + head);
      }
      head.append((char) character);
    }
    in.readNBytes(
        Integer.parseInt(head.toString().replaceAll("(?s).*Content-Length: ([0-9]+).*", "$1")));
    double elapsedMs = (System.nanoTime() - start) / 1e6;
    if (!head.toString().startsWith("HTTP/1.1 200")) {
      throw new IOException("a scan was not answered: " + head);
    }
    return elapsedMs;
  }

  /** Waits until the mixer reports ready, and then 500 ms for pending JIT compilation. */
  private static void awaitReady(int port) throws Exception {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    for (String status = ""; !status.contains(" 200 "); ) {
      if (System.nanoTime() > deadline) {
        throw new IOException("the mixer is not ready after " + TIMEOUT_SECONDS + " s: " + status);
      }
      Thread.sleep(20);
      try (Socket socket = new Socket("127.0.0.1", port)) {
        socket.getOutputStream().write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n".getBytes());
        status = new BufferedReader(new InputStreamReader(socket.getInputStream())).readLine();
      }
    }
    Thread.sleep(500);
  }

  private Process start(String... command) throws IOException {
    Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
    children.add(process);
    return process;
  }

  /**
   * Returns the first group of the first output line that matches. Later output is read and
   * discarded.
   */
  private static String awaitLine(Process process, String pattern) throws IOException {
    BufferedReader out = new BufferedReader(new InputStreamReader(process.getInputStream()));
    for (String line = out.readLine(); line != null; line = out.readLine()) {
      Matcher matcher = Pattern.compile(pattern).matcher(line);
      if (matcher.matches()) {
        Thread reader = new Thread(() -> out.lines().forEach(ignored -> {}));
        reader.setDaemon(true);
        reader.start();
        return matcher.group(1);
      }
    }
    throw new IOException("a child process ended without a line like: " + pattern);
  }

  private static double sum(Map<String, Double> cpuMsByThread) {
    return cpuMsByThread.values().stream().mapToDouble(ms -> ms).sum();
  }

  /**
   * Returns the CPU time of each live thread. The kernel counts it in nanoseconds, while the figure
   * of the whole process has a resolution of only 10 ms.
   */
  private static Map<String, Double> cpuMsByThread(long pid) throws IOException {
    Map<String, Double> cpuMsByThread = new TreeMap<>();
    try (Stream<Path> tasks = Files.list(Path.of("/proc/" + pid + "/task"))) {
      for (Path task : tasks.toList()) {
        String name = Files.readString(task.resolve("comm")).strip().replaceAll("[ ,]", "_");
        cpuMsByThread.put(
            name + '/' + task.getFileName(),
            Long.parseLong(Files.readString(task.resolve("schedstat")).split(" ")[0]) / 1e6);
      }
    }
    return cpuMsByThread;
  }
}
