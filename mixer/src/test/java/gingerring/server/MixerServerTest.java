package gingerring.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Starts the mixer as a child process with the toy store of the examples behind it and talks to it
 * over sockets.
 */
@Timeout(60)
class MixerServerTest {
  private static final int TIMEOUT_MS = 10_000;
  private static final String THREE_TARGETS =
      "{\"partition\":0,\"share\":0.6},{\"partition\":1,\"share\":0.3},"
          + "{\"partition\":2,\"share\":0.1}";

  @TempDir Path directory;
  private final List<Process> processes = new ArrayList<>();
  private int requestCount;

  /** A child process, its output lines and its standard input. */
  private record ChildProcess(Process process, BlockingQueue<String> lines, PrintStream input) {
    String awaitLine(String text) throws InterruptedException {
      for (String line = ""; line != null; line = lines.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
        if (line.contains(text)) {
          return line;
        }
      }
      throw new AssertionError("no output line contains: " + text);
    }
  }

  private ChildProcess start(List<String> command, Path config) throws IOException {
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    if (config != null) {
      builder.environment().put("LB_CONFIG", config.toString());
    }
    Process process = builder.start();
    processes.add(process);
    BlockingQueue<String> lines = new LinkedBlockingQueue<>();
    Thread reader =
        new Thread(
            () -> {
              try (BufferedReader out =
                  new BufferedReader(new InputStreamReader(process.getInputStream()))) {
                out.lines().forEach(lines::add);
              } catch (IOException | UncheckedIOException e) {
                // The process has been destroyed.
              }
            });
    reader.setDaemon(true);
    reader.start();
    return new ChildProcess(process, lines, new PrintStream(process.getOutputStream(), true));
  }

  private static String java() {
    return Path.of(System.getProperty("java.home"), "bin", "java").toString();
  }

  private ChildProcess toyStore;
  private ChildProcess mixer;
  private Path configFile;
  private int port;

  private ChildProcess startMixer(String config, String... wrapperCommand) throws IOException {
    configFile = directory.resolve("config-" + processes.size() + ".json");
    Files.writeString(configFile, config);
    List<String> command = new ArrayList<>(List.of(wrapperCommand));
    command.addAll(
        List.of(
            java(),
            "-ea",
            "-cp",
            System.getProperty("java.class.path"),
            "gingerring.Main",
            "serve"));
    return start(command, configFile);
  }

  /** Starts a toy store and returns the example configuration with its discovery address. */
  private String configOfNewToyStore() throws IOException, InterruptedException {
    toyStore = start(List.of(java(), "example/ToyStore.java", "0", "4"), null);
    String discovery = toyStore.awaitLine("discovery at").replace("discovery at ", "");
    return Files.readString(Path.of("example/config.json"))
        .replace("127.0.0.1:8500", discovery)
        .replace("127.0.0.1:8081", "127.0.0.1:0");
  }

  /** Starts the mixer and waits until a scan is answered. */
  private void startAndAwaitFirstAnswer(String config) throws Exception {
    mixer = startMixer(config);
    port = awaitListenPort(mixer);
    awaitReady();
    for (int i = 0; i < 100; i++) {
      if (sendScan("search", "", THREE_TARGETS).status == 200) {
        return;
      }
      Thread.sleep(50);
    }
    throw new AssertionError("no scan was answered with status 200");
  }

  /** Waits until the mixer reports that it is ready, which requires discovery's first answer. */
  private void awaitReady() throws Exception {
    int status = 0;
    for (int i = 0; i < 200 && status != 200; i++) {
      status = send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status;
      Thread.sleep(status == 200 ? 0 : 50);
    }
    assertEquals(200, status);
  }

  private static int awaitListenPort(ChildProcess mixer) throws InterruptedException {
    String line = mixer.awaitLine("listens at");
    return Integer.parseInt(line.replaceAll(".*listens at /[0-9.]+:([0-9]+),.*", "$1"));
  }

  @AfterEach
  void destroyProcesses() {
    processes.forEach(Process::destroyForcibly);
  }

  private record Answer(int status, String head, String body) {}

  private Socket connect() throws IOException {
    Socket socket = new Socket("127.0.0.1", port);
    socket.setSoTimeout(TIMEOUT_MS);
    return socket;
  }

  private Answer send(String request) throws IOException {
    try (Socket socket = connect()) {
      socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      return readAnswer(socket);
    }
  }

  private static Answer readAnswer(Socket socket) throws IOException {
    InputStream input = socket.getInputStream();
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = input.read();
      if (next < 0) {
        throw new IOException("the connection ended after: " + head);
      }
      head.append((char) next);
    }
    int length =
        Integer.parseInt(head.toString().replaceAll("(?s).*Content-Length: ([0-9]+).*", "$1"));
    return new Answer(
        Integer.parseInt(head.substring(9, 12)),
        head.toString(),
        new String(input.readNBytes(length), StandardCharsets.UTF_8));
  }

  private String scanRequest(String serviceClass, String query, String targets) {
    String body = "{\"targets\":[" + targets + "],\"query\":\"" + query + "\"}";
    return "POST /api HTTP/1.1\r\nHost: x\r\nX-Txn: m"
        + requestCount++
        + "\r\nx-lane: "
        + serviceClass
        + "\r\nX-Remaining-Ms: 2000\r\nIdempotency-Key: k"
        + requestCount
        + "\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private Answer sendScan(String serviceClass, String query, String targets) throws IOException {
    return send(scanRequest(serviceClass, query, targets));
  }

  @Test
  void answersCompletePartialAndFailedScans() throws Exception {
    startAndAwaitFirstAnswer(configOfNewToyStore());
    Answer complete = sendScan("search", "", THREE_TARGETS);
    assertEquals(200, complete.status);
    assertTrue(complete.body.startsWith("{\"whole\":true,"), complete.body);
    assertTrue(
        complete.body.matches(".*\"partition\":2,\"value\":\"value-2-from-[23]\".*"),
        complete.body);
    Answer partial = sendScan("search", "2:silent", THREE_TARGETS);
    assertTrue(
        partial.body.startsWith("{\"whole\":false,") && !partial.body.contains("value-2"),
        partial.body);
    String cancelledParts = "";
    for (int i = 0; i < 100 && !cancelledParts.contains("m" + (requestCount - 1) + ".2"); i++) {
      Thread.sleep(50);
      toyStore.input.println("seen");
      cancelledParts = toyStore.awaitLine("recalled");
    }
    assertTrue(cancelledParts.contains("m" + (requestCount - 1) + ".2"), cancelledParts);
    Answer rejected = sendScan("search", "0:full 1:full", THREE_TARGETS);
    assertEquals(503, rejected.status);
    assertTrue(rejected.head.contains("Retry-After: 0.5\r\n"), rejected.head);
    // Keyed scan: the searcher may have executed the part before it failed, and all holders of the
    // part fail it.
    assertEquals(500, sendScan("post", "1:failed", "{\"partition\":1,\"share\":1}").status);
    // A part whose searcher closes the connection or sends a malformed answer is sent to the other
    // holder.
    for (int i = 0; i < 8; i++) {
      sendScan("search", "", THREE_TARGETS); // adds to the retry budget
    }
    assertEquals(200, sendScan("search", "0:once-reset", THREE_TARGETS).status);
    Answer retried = sendScan("search", "1:once-junk", THREE_TARGETS);
    assertTrue(retried.body.startsWith("{\"whole\":true,"), retried.body);
    for (String malformedAnswer : List.of("noline", "words", "long")) {
      // The retry budget may be exhausted; the other parts are answered then.
      assertEquals(
          200,
          sendScan("search", "1:once-" + malformedAnswer, THREE_TARGETS).status,
          malformedAnswer);
    }
  }

  /**
   * Guards against waiting for a searcher after it has sent a malformed answer, or accepting such
   * an answer.
   */
  @Test
  void malformedAnswersEndTripsAtOnceAndValidOnesCount() throws Exception {
    startAndAwaitFirstAnswer(configOfNewToyStore().replace("600.0", "1800.0"));
    String target = "{\"partition\":1,\"share\":1}";
    for (String malformedAnswer : List.of("junk", "short", "stranger", "end", "bytes", "nothing")) {
      for (int i = 0; i < 8; i++) {
        sendScan("search", "", THREE_TARGETS); // adds to the retry budget
      }
      long startNanos = System.nanoTime();
      Answer answer = sendScan("post", "1:once-" + malformedAnswer, target);
      assertTrue(answer.body.matches(".*\"value-1-from-[12]\".*"), malformedAnswer + ": " + answer);
      assertTrue(System.nanoTime() - startNanos < 1_000_000_000L, malformedAnswer);
    }
    for (String oddAnswer : List.of("report", "twice", "noise")) {
      assertTrue(
          sendScan("post", "1:" + oddAnswer, target).body.contains("\"value-1\""), oddAnswer);
      assertTrue(sendScan("post", "", target).body.contains("\"value-1-from-"), oddAnswer);
    }
  }

  @Test
  void keepsConnectionThroughSplitChunkedAndPipelinedRequests() throws Exception {
    startAndAwaitFirstAnswer(configOfNewToyStore());
    try (Socket socket = connect()) {
      socket.setTcpNoDelay(true);
      String pipelinedRequests =
          scanRequest("search", "", THREE_TARGETS)
              + scanRequest("post", "", "{\"partition\":7,\"share\":1}");
      for (char c : pipelinedRequests.toCharArray()) {
        socket.getOutputStream().write(c);
      }
      assertEquals(200, readAnswer(socket).status);
      assertEquals(200, readAnswer(socket).status);
      String query = "x".repeat(60_000);
      String[] headAndBody =
          scanRequest("search", query, THREE_TARGETS)
              .replaceAll("Content-Length: [0-9]+", "Transfer-Encoding: chunked")
              .split("\r\n\r\n");
      String firstChunk = headAndBody[1].substring(0, 30_000);
      String secondChunk = headAndBody[1].substring(30_000);
      String chunkedBody =
          Integer.toHexString(firstChunk.length())
              + "\r\n"
              + firstChunk
              + "\r\n"
              + Integer.toHexString(secondChunk.length())
              + ";x=y\r\n"
              + secondChunk
              + "\r\n0\r\nA: b\r\n\r\n";
      socket.getOutputStream().write((headAndBody[0] + "\r\n\r\n" + chunkedBody).getBytes());
      assertEquals(200, readAnswer(socket).status);
    }
  }

  @Test
  void answersInvalidRequestsWithAnErrorStatus() throws Exception {
    startAndAwaitFirstAnswer(configOfNewToyStore());
    String validRequest = scanRequest("search", "", THREE_TARGETS);
    String[][] invalidRequests = {
      {"GET /other HTTP/1.1\r\nHost: x\r\n\r\n", "404"},
      {"PUT /api HTTP/1.1\r\nHost: x\r\n\r\n", "405"},
      {"POST /ready HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", "405"},
      {"GET /ready HTTP/1.1\r\n\r\n", "400"},
      {"nonsense\r\n\r\n", "400"},
      {"GET /ready HTTP/1.1\r\nHost x\r\n\r\n", "400"},
      {"GET /ready HTTP/1.1\nHost: x\n\n", "400"},
      {"GET / HTTP/1.1\r\nA: " + "a".repeat(9000) + "\r\n\r\n", "431"},
      {validRequest.replaceAll("Content-Length: [0-9]+", "Content-Length: 70000"), "413"},
      {
        validRequest.replace("Content-Length", "Transfer-Encoding: chunked\r\nContent-Length"),
        "400"
      },
      {
        validRequest.replaceAll("Content-Length: [0-9]+", "Transfer-Encoding: chunked") + "\r\n",
        "400"
      },
      {validRequest.replaceAll("Content-Length: [0-9]+", "Content-Length: -1"), "400"},
      {scanRequest("nolane", "", THREE_TARGETS), "400"},
      {validRequest.replace("X-Remaining-Ms: 2000", "X: y"), "400"},
      {scanRequest("search", "", ""), "400"},
      {scanRequest("search", "\\q", THREE_TARGETS), "400"},
      {scanRequest("search", "\\ud800", THREE_TARGETS), "400"},
      {scanRequest("search", "", "[[[[[[[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]]]]]]]"), "400"},
      {scanRequest("search", "", "{\"partition\":8,\"share\":1}"), "400"},
      {scanRequest("search", "", "{\"partition\":1.5,\"share\":1}"), "400"},
      {scanRequest("search", "", THREE_TARGETS + "," + THREE_TARGETS), "400"},
      {scanRequest("search", "", "{\"partition\":1,\"share\":0}"), "400"},
      {scanRequest("search", "", "{\"partition\":1,\"share\":0.5}"), "400"},
      {scanRequest("search", "", "{\"partition\":1,\"share\":1e999}"), "400"},
      {scanRequest("search", "", "{\"partition\":1,\"share\":\"1\"}"), "400"},
      {scanRequest("search", "", "{\"partition\":1,\"share\":1,\"route\":\"x\"}"), "400"},
      {scanRequest("post", "", THREE_TARGETS).replaceAll("Idempotency-Key: .*\r\n", ""), "400"},
    };
    for (String[] requestAndStatus : invalidRequests) {
      Answer answer = send(requestAndStatus[0]);
      assertEquals(requestAndStatus[1], String.valueOf(answer.status), requestAndStatus[0]);
      assertEquals("", answer.body);
    }
    // Clients that send half a request and stay, or leave during a scan, do not delay others.
    try (Socket slowSocket = connect()) {
      slowSocket.getOutputStream().write(validRequest.substring(0, 50).getBytes());
      try (Socket leavingSocket = connect()) {
        leavingSocket
            .getOutputStream()
            .write(scanRequest("search", "0:silent", THREE_TARGETS).getBytes());
      }
      assertEquals(200, sendScan("search", "", THREE_TARGETS).status);
    }
  }

  @Test
  void rejectsScansOverTheLimitOfOpenScansAndParts() throws Exception {
    startAndAwaitFirstAnswer(configOfNewToyStore().replace("600.0", "1800.0"));
    List<Socket> sockets = new ArrayList<>();
    for (int i = 0; i < 16; i++) {
      Socket socket = connect();
      sockets.add(socket);
      // The mixer holds at most 60 scans and parts; each of these scans counts as four.
      socket
          .getOutputStream()
          .write(scanRequest("search", "0:900 1:900 2:900", THREE_TARGETS).getBytes());
    }
    int rejected = 0;
    for (Socket socket : sockets) {
      Answer answer = readAnswer(socket);
      rejected += answer.status == 503 && !answer.head.contains("Retry-After") ? 1 : 0;
      socket.close();
    }
    assertEquals(1, rejected);
    // Answered parts no longer count, so scans with one slow part each leave room for more scans.
    for (int i = 0; i < 20; i++) {
      Socket socket = connect();
      socket.getOutputStream().write(scanRequest("search", "0:900", THREE_TARGETS).getBytes());
      if (i % 10 == 9) {
        Thread.sleep(500);
      }
      sockets.add(socket);
    }
    for (Socket socket : sockets.subList(16, 36)) {
      Answer answer = readAnswer(socket);
      assertFalse(answer.status == 503 && !answer.head.contains("Retry-After"), answer.head);
      socket.close();
    }
  }

  @Test
  void closesIdleConnectionsFirstWhenDescriptorsRunShort() throws Exception {
    // 24 connections for clients; idle ones are closed beyond 18.
    startAndAwaitFirstAnswer(
        configOfNewToyStore()
            .replace("\"sockets\": 1024", "\"sockets\": 64")
            .replace("600.0", "1800.0"));
    List<Socket> idleSockets = new ArrayList<>();
    try (Socket activeSocket = connect()) {
      for (int i = 0; i < 30; i++) {
        // Connections that have sent a request are kept longer than silent ones.
        activeSocket.getOutputStream().write(scanRequest("search", "", THREE_TARGETS).getBytes());
        assertEquals(200, readAnswer(activeSocket).status);
        idleSockets.add(connect());
        Thread.sleep(5);
        assertEquals(200, sendScan("search", "", "{\"partition\":0,\"share\":1}").status);
      }
    }
    assertEquals(-1, idleSockets.get(0).getInputStream().read());
    Socket newestIdleSocket = idleSockets.get(29);
    newestIdleSocket.getOutputStream().write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n".getBytes());
    assertEquals(200, readAnswer(newestIdleSocket).status);
    // All connections are busy: a scan on a new one is rejected, and its connection is closed.
    List<Socket> busySockets = new ArrayList<>();
    Answer rejected = null;
    for (int i = 0; i < 28 && rejected == null; i++) {
      Socket socket = connect();
      busySockets.add(socket);
      socket
          .getOutputStream()
          .write(scanRequest("search", "0:1500", "{\"partition\":0,\"share\":1}").getBytes());
      socket.setSoTimeout(20);
      try {
        rejected = readAnswer(socket);
      } catch (SocketTimeoutException e) {
        // The scan was accepted.
      }
    }
    assertTrue(
        rejected.status == 503 && rejected.head.contains("Connection: close"), rejected.head);
    for (Socket socket : idleSockets) {
      socket.close();
    }
  }

  /** Guards against clients that use up all descriptors and clients that never finish a request. */
  @Test
  void staysWithinDescriptorLimitAndClosesSilentConnections() throws Exception {
    String config = configOfNewToyStore().replace("\"sockets\": 1024", "\"sockets\": 120");
    configFile = directory.resolve("few.json");
    Files.writeString(configFile, config);
    mixer =
        start(
            List.of(
                "sh",
                "-c",
                "ulimit -n 120; exec "
                    + java()
                    + " -ea -cp "
                    + System.getProperty("java.class.path")
                    + " gingerring.Main serve"),
            configFile);
    port = awaitListenPort(mixer);
    List<Socket> idleSockets = new ArrayList<>();
    for (int i = 0; i < 300; i++) {
      idleSockets.add(connect());
    }
    Socket silentSocket = connect();
    Socket halfRequestSocket = connect();
    halfRequestSocket.getOutputStream().write("POST /api HTTP/1.1\r\nHo".getBytes());
    for (int i = 0; i < 8; i++) {
      assertEquals(200, sendScan("search", "", THREE_TARGETS).status);
    }
    assertEquals(408, readAnswer(halfRequestSocket).status);
    assertEquals(-1, silentSocket.getInputStream().read());
    for (Socket socket : idleSockets) {
      socket.close();
    }
    assertFalse(mixer.lines.stream().anyMatch(line -> line.contains("Too many open files")));
  }

  @Test
  void followsMemberListThroughDrainsRestartsAndMalformedLines() throws Exception {
    startAndAwaitFirstAnswer(configOfNewToyStore());
    String target = "{\"partition\":0,\"share\":1}"; // searchers 0 and 1 hold it
    toyStore.input.println("drain 0");
    toyStore.input.println("say nonsense");
    Thread.sleep(300);
    for (int i = 0; i < 8; i++) {
      assertTrue(sendScan("search", "", target).body.contains("value-0-from-1"));
    }
    // The malformed line makes the mixer reopen the watch and read a complete list. Searcher 0
    // serves again; searcher 1 crashes before the list changes.
    toyStore.input.println("serve 0");
    awaitValue(target, "value-0-from-0");
    toyStore.input.println("crash 1");
    Thread.sleep(100);
    for (int i = 0; i < 8; i++) {
      assertTrue(sendScan("search", "", target).body.contains("value-0-from-0"));
    }
    // Searcher 1 restarts at another address and is the only remaining holder.
    toyStore.input.println("revive 1");
    toyStore.input.println("gone 0");
    Thread.sleep(300);
    awaitValue(target, "value-0-from-1");
  }

  /**
   * Guards against a watch that parses each line as a complete list and so misses indented lists.
   */
  @Test
  void acceptsIndentedMemberList() throws Exception {
    startAndAwaitFirstAnswer(configOfNewToyStore());
    for (String line :
        List.of(
            "{",
            "  \"revision\": 9,",
            "  \"complete\": false,",
            "  \"members\": [",
            "    {",
            "      \"id\": \"x}]\\\"{\",",
            "      \"phase\": \"DELETED\"",
            "    },",
            "    {",
            "      \"id\": \"s-0\",",
            "      \"phase\": \"DELETED\"",
            "    }",
            "  ]",
            "}")) {
      toyStore.input.println("say " + line);
    }
    int consecutive = 0; // two holders would each get half of the scans
    for (int i = 0; i < 100 && consecutive < 16; i++) {
      Thread.sleep(20);
      String body = sendScan("search", "", "{\"partition\":0,\"share\":1}").body;
      consecutive = body.contains("value-0-from-1") ? consecutive + 1 : 0;
    }
    assertEquals(16, consecutive);
  }

  /**
   * Guards against a mixer that keeps using searchers that are no longer listed, or never uses them
   * again.
   */
  @Test
  void followsMemberListThatEmptiesAndRefillsWithTheSameNames() throws Exception {
    startAndAwaitFirstAnswer(configOfNewToyStore());
    String target = "{\"partition\":0,\"share\":1}";
    for (int round = 0; round < 3; round++) {
      for (int i = 0; i < 4; i++) {
        toyStore.input.println("gone " + i);
      }
      int status = 0;
      for (int i = 0; i < 100 && status != 503; i++) {
        Thread.sleep(50);
        status = sendScan("search", "", target).status;
      }
      assertEquals(503, status);
      for (int i = 0; i < 8; i++) {
        assertEquals(503, sendScan("search", "", THREE_TARGETS).status);
      }
      for (int i = 0; i < 4; i++) {
        toyStore.input.println("serve " + i);
      }
      awaitValue(target, "value-0-from-0");
      awaitValue(target, "value-0-from-1");
    }
    toyStore.input.println("say {\"revision\":999,\"complete\":true,\"members\":[]}");
    for (int i = 0; i < 100 && sendScan("search", "", THREE_TARGETS).status != 503; i++) {
      Thread.sleep(50);
    }
    assertEquals(503, sendScan("search", "", THREE_TARGETS).status);
  }

  /** Guards against a watch that stays open and silent while searchers are replaced. */
  @Test
  void reopensSilentWatch() throws Exception {
    startAndAwaitFirstAnswer(configOfNewToyStore());
    toyStore.input.println("hush");
    toyStore.input.println("drain 0");
    int consecutive = 0; // two holders would each get half of the scans
    long startNanos = System.nanoTime();
    while (System.nanoTime() - startNanos < 6_000_000_000L && consecutive < 16) {
      Thread.sleep(40);
      String body = sendScan("search", "", "{\"partition\":0,\"share\":1}").body;
      consecutive = body.contains("value-0-from-1") ? consecutive + 1 : 0;
    }
    assertEquals(16, consecutive);
  }

  /** Sends scans for a partition until an answer contains the value. */
  private void awaitValue(String target, String value) throws Exception {
    for (int i = 0; i < 100; i++) {
      if (sendScan("search", "", target).body.contains(value)) {
        return;
      }
      Thread.sleep(50);
    }
    throw new AssertionError("no answer contained " + value);
  }

  private void reloadWith(String config) throws Exception {
    Files.writeString(configFile, config);
    assertEquals(0, new ProcessBuilder("kill", "-HUP", "" + mixer.process.pid()).start().waitFor());
  }

  /**
   * Guards against a mixer that ignores SIGHUP unnoticed, for example because it was started by
   * nohup, and so misses a new configuration.
   */
  @Test
  void warnsIfSighupIsIgnored() throws Exception {
    mixer = startMixer(configOfNewToyStore(), "/bin/sh", "-c", "trap '' HUP; exec \"$@\"", "sh");
    mixer.awaitLine("SIGHUP is ignored");
    port = awaitListenPort(mixer);
    awaitReady();
  }

  /** Guards against a SIGHUP that ends the process or loses the member list or a scan. */
  @Test
  void sighupMovesToTheConfiguredDiscoveryAddress() throws Exception {
    String firstConfig = configOfNewToyStore().replace("600.0", "1800.0");
    ChildProcess firstToyStore = toyStore;
    startAndAwaitFirstAnswer(firstConfig);
    String secondConfig = configOfNewToyStore();
    String thirdConfig = configOfNewToyStore();
    try (Socket openScanSocket = connect()) {
      openScanSocket
          .getOutputStream()
          .write(scanRequest("search", "0:1000", THREE_TARGETS).getBytes());
      for (String invalidConfig :
          List.of(
              "", secondConfig.substring(0, 200), secondConfig.replace("\"discovery\"", "\"x\""))) {
        reloadWith(invalidConfig);
        mixer.awaitLine("reload: the configuration in force stays");
      }
      reloadWith(
          firstConfig.replaceAll("\"discovery\": \"[^\"]*\"", "\"discovery\": \"127.0.0.1:1\""));
      mixer.awaitLine("reload: discovery at /127.0.0.1:1");
      assertTrue(sendScan("search", "", THREE_TARGETS).body.startsWith("{\"whole\":true,"));
      reloadWith(secondConfig);
      reloadWith(thirdConfig);
      assertTrue(readAnswer(openScanSocket).body.startsWith("{\"whole\":true,"));
    }
    // The mixer follows the last configuration: the other two toy stores end with their searchers.
    String target = "{\"partition\":0,\"share\":1}";
    toyStore.input.println("gone 0");
    firstToyStore.process.destroyForcibly();
    processes.get(2).destroyForcibly();
    awaitValue(target, "value-0-from-1");
    for (int i = 0; i < 8; i++) {
      assertTrue(sendScan("search", "", target).body.contains("value-0-from-1"));
    }
    assertTrue(mixer.process.isAlive());
  }

  /**
   * Guards against a mixer that stops serving right after SIGTERM: connected clients are served for
   * most of the remaining time.
   */
  @Test
  void servesAfterSigtermAndExitsWithAllScansAnswered() throws Exception {
    startAndAwaitFirstAnswer(configOfNewToyStore());
    try (Socket openScanSocket = connect();
        Socket idleSocket = connect();
        Socket activeSocket = connect()) {
      mixer.process.destroy(); // also closes the stream of its output
      Thread.sleep(100);
      assertEquals(503, send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status);
      // New connections are still accepted.
      assertEquals(200, sendScan("search", "", THREE_TARGETS).status);
      Thread.sleep(800);
      activeSocket.getOutputStream().write(scanRequest("search", "", THREE_TARGETS).getBytes());
      Answer lateAnswer = readAnswer(activeSocket);
      assertTrue(
          lateAnswer.status == 200 && !lateAnswer.head.contains("Connection: close"),
          lateAnswer.head);
      Thread.sleep(700);
      openScanSocket
          .getOutputStream()
          .write(scanRequest("search", "0:2000", THREE_TARGETS).getBytes());
      Answer lastAnswer = readAnswer(openScanSocket);
      assertTrue(
          lastAnswer.status == 200 && lastAnswer.head.contains("Connection: close"),
          lastAnswer.head);
      assertEquals(-1, idleSocket.getInputStream().read());
      assertEquals(-1, activeSocket.getInputStream().read());
    }
    assertTrue(mixer.process.waitFor(4, TimeUnit.SECONDS));
    assertEquals(0, mixer.process.exitValue());
  }

  /** Guards against a request that is read while the mixer shuts down and then never answered. */
  @Test
  void answersEveryRequestReadDuringShutdown() throws Exception {
    startAndAwaitFirstAnswer(configOfNewToyStore());
    String request = scanRequest("search", "0:silent", THREE_TARGETS);
    int requestsSent = requestCount;
    try (Socket halfRequestSocket = connect();
        Socket idleSocket = connect()) {
      idleSocket.getOutputStream().write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n".getBytes());
      assertEquals(200, readAnswer(idleSocket).status);
      assertEquals(
          0, new ProcessBuilder("kill", "-TERM", "" + mixer.process.pid()).start().waitFor());
      mixer.awaitLine("ending");
      // A request may take two seconds to arrive; this one arrives as the mixer exits.
      Thread.sleep(1200);
      halfRequestSocket.getOutputStream().write(request.substring(0, 50).getBytes());
      assertEquals(-1, idleSocket.getInputStream().read());
      int answered = requestsSent - 1;
      try {
        halfRequestSocket.getOutputStream().write(request.substring(50).getBytes());
        readAnswer(halfRequestSocket);
        answered++;
      } catch (IOException e) {
        // In this case the mixer must not have read the request.
      }
      String scansTaken =
          mixer.awaitLine("ended; counts").replaceAll(".*scans taken ([0-9]+).*", "$1");
      assertEquals(String.valueOf(answered), scansTaken);
    }
    assertTrue(mixer.process.waitFor(4, TimeUnit.SECONDS));
  }

  /** Guards against a first scan that waits while the JVM loads and compiles the socket code. */
  @Test
  void warmsUpOnItsOwnSocketsBeforeItIsReady() throws Exception {
    mixer = startMixer(configOfNewToyStore());
    port = awaitListenPort(mixer);
    awaitReady();
    assertEquals(
        0, new ProcessBuilder("kill", "-TERM", "" + mixer.process.pid()).start().waitFor());
    String endLine = mixer.awaitLine("ended; counts");
    assertTrue(endLine.matches(".*answers practised [1-9].*"), endLine);
  }

  @Test
  void reportsWhyItCannotStart() throws Exception {
    String config = configOfNewToyStore();
    try (ServerSocket occupiedPort = new ServerSocket(0)) {
      String[][] invalidStarts = {
        {"{", "2", "LB_CONFIG"},
        {config.replace("\"discovery\"", "\"other\""), "2", "discovery is missing"},
        {config.replace("\"Places\"", "\"Other\""), "2", "setting Domain.Places is missing"},
        {config.replace("127.0.0.1:0", "localhost:1"), "2", "listen: not an IPv4 address and port"},
        {config.replace("[0, 0]", "[3, 0]"), "2", "setting Domain.ClassFetch"},
        {
          config.replace("\"WarmUpMs\": 5000.0", "\"WarmUpMs\": -5000.0"),
          "2",
          "setting Safety.WarmUpMs"
        },
        {
          config.replace("\"TipAfterMs\"", "\"ExtraFree\": 5, \"TipAfterMs\""),
          "2",
          "setting Safety.ResendRatio is missing"
        },
        {
          config.replace("127.0.0.1:0", "127.0.0.1:" + occupiedPort.getLocalPort()),
          "1",
          "cannot listen"
        }
      };
      for (String[] invalidStart : invalidStarts) {
        ChildProcess child = startMixer(invalidStart[0]);
        assertTrue(child.process.waitFor(10, TimeUnit.SECONDS));
        assertEquals(invalidStart[1], String.valueOf(child.process.exitValue()));
        String line = child.lines.poll(5, TimeUnit.SECONDS);
        assertTrue(line.startsWith("gingerring serve: ") && line.contains(invalidStart[2]), line);
        assertFalse(
            child.lines.stream().anyMatch(otherLine -> otherLine.contains("at gingerring")));
      }
    }
  }
}
