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
 * Starts the program as a child, before the toy store of the examples, and speaks to it over
 * sockets.
 */
@Timeout(60)
class ServeTest {
  private static final int WAIT_MS = 10_000;
  private static final String PARTS =
      "{\"partition\":0,\"share\":0.6},{\"partition\":1,\"share\":0.3},"
          + "{\"partition\":2,\"share\":0.1}";

  @TempDir Path folder;
  private final List<Process> children = new ArrayList<>();
  private int marks;

  /** A child, the lines it writes, and its standard input. */
  private record Child(Process process, BlockingQueue<String> lines, PrintStream in) {
    String line(String with) throws InterruptedException {
      for (String line = ""; line != null; line = lines.poll(WAIT_MS, TimeUnit.MILLISECONDS)) {
        if (line.contains(with)) {
          return line;
        }
      }
      throw new AssertionError("no line with: " + with);
    }
  }

  private Child start(List<String> command, Path config) throws IOException {
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    if (config != null) {
      builder.environment().put("LB_CONFIG", config.toString());
    }
    Process process = builder.start();
    children.add(process);
    BlockingQueue<String> lines = new LinkedBlockingQueue<>();
    Thread reader =
        new Thread(
            () -> {
              try (BufferedReader out =
                  new BufferedReader(new InputStreamReader(process.getInputStream()))) {
                out.lines().forEach(lines::add);
              } catch (IOException | UncheckedIOException e) {
                // the child has been ended
              }
            });
    reader.setDaemon(true);
    reader.start();
    return new Child(process, lines, new PrintStream(process.getOutputStream(), true));
  }

  private static String java() {
    return Path.of(System.getProperty("java.home"), "bin", "java").toString();
  }

  private Child toy;
  private Child mixer;
  private Path file;
  private int port;

  private Child mixer(String config, String... through) throws IOException {
    file = folder.resolve("config-" + children.size() + ".json");
    Files.writeString(file, config);
    List<String> command = new ArrayList<>(List.of(through));
    command.addAll(
        List.of(
            java(),
            "-ea",
            "-cp",
            System.getProperty("java.class.path"),
            "gingerring.Main",
            "serve"));
    return start(command, file);
  }

  private String config() throws IOException, InterruptedException {
    toy = start(List.of(java(), "example/ToyStore.java", "0", "4"), null);
    String discovery = toy.line("discovery at").replace("discovery at ", "");
    return Files.readString(Path.of("example/config.json"))
        .replace("127.0.0.1:8500", discovery)
        .replace("127.0.0.1:8081", "127.0.0.1:0");
  }

  /** Starts both, and waits until the mixer knows the searchers. */
  private void up(String config) throws Exception {
    mixer = mixer(config);
    port = port(mixer);
    ready();
    for (int i = 0; i < 100; i++) {
      if (scan("search", "", PARTS).status == 200) {
        return;
      }
      Thread.sleep(50);
    }
    throw new AssertionError("no scan was answered");
  }

  /** Waits until the mixer says that it is ready, which it is after discovery's first word. */
  private void ready() throws Exception {
    int status = 0;
    for (int i = 0; i < 200 && status != 200; i++) {
      status = send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status;
      Thread.sleep(status == 200 ? 0 : 50);
    }
    assertEquals(200, status);
  }

  private static int port(Child mixer) throws InterruptedException {
    String line = mixer.line("listens at");
    return Integer.parseInt(line.replaceAll(".*listens at /[0-9.]+:([0-9]+),.*", "$1"));
  }

  @AfterEach
  void end() {
    children.forEach(Process::destroyForcibly);
  }

  private record Answer(int status, String head, String body) {}

  private Socket connect() throws IOException {
    Socket socket = new Socket("127.0.0.1", port);
    socket.setSoTimeout(WAIT_MS);
    return socket;
  }

  private Answer send(String request) throws IOException {
    try (Socket socket = connect()) {
      socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      return answer(socket);
    }
  }

  private static Answer answer(Socket socket) throws IOException {
    InputStream in = socket.getInputStream();
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      if (next < 0) {
        throw new IOException("it ended after: " + head);
      }
      head.append((char) next);
    }
    int length =
        Integer.parseInt(head.toString().replaceAll("(?s).*Content-Length: ([0-9]+).*", "$1"));
    return new Answer(
        Integer.parseInt(head.substring(9, 12)),
        head.toString(),
        new String(in.readNBytes(length), StandardCharsets.UTF_8));
  }

  private String request(String lane, String text, String parts) {
    String body = "{\"targets\":[" + parts + "],\"query\":\"" + text + "\"}";
    return "POST /api HTTP/1.1\r\nHost: x\r\nX-Txn: m"
        + marks++
        + "\r\nx-lane: "
        + lane
        + "\r\nX-Remaining-Ms: 2000\r\nIdempotency-Key: k"
        + marks
        + "\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private Answer scan(String lane, String text, String parts) throws IOException {
    return send(request(lane, text, parts));
  }

  @Test
  void answersWholeInPartAndNot() throws Exception {
    up(config());
    Answer whole = scan("search", "", PARTS);
    assertEquals(200, whole.status);
    assertTrue(whole.body.startsWith("{\"whole\":true,"), whole.body);
    assertTrue(
        whole.body.matches(".*\"partition\":2,\"value\":\"value-2-from-[23]\".*"), whole.body);
    Answer partial = scan("search", "2:silent", PARTS);
    assertTrue(
        partial.body.startsWith("{\"whole\":false,") && !partial.body.contains("value-2"),
        partial.body);
    String recalled = "";
    for (int i = 0; i < 100 && !recalled.contains("m" + (marks - 1) + ".2"); i++) {
      Thread.sleep(50);
      toy.in.println("seen");
      recalled = toy.line("recalled");
    }
    assertTrue(recalled.contains("m" + (marks - 1) + ".2"), recalled);
    Answer nacked = scan("search", "0:full 1:full", PARTS);
    assertEquals(503, nacked.status);
    assertTrue(nacked.head.contains("Retry-After: 0.5\r\n"), nacked.head);
    // numbered: a searcher's failure may have run, and to all holders it is the same
    assertEquals(500, scan("post", "1:failed", "{\"partition\":1,\"share\":1}").status);
    // a part whose searcher breaks off, or talks nonsense, goes to the other holder
    for (int i = 0; i < 8; i++) {
      scan("search", "", PARTS); // the ration of further trips grows by them
    }
    assertEquals(200, scan("search", "0:once-reset", PARTS).status);
    Answer again = scan("search", "1:once-junk", PARTS);
    assertTrue(again.body.startsWith("{\"whole\":true,"), again.body);
    for (String nonsense : List.of("noline", "words", "long")) {
      // the ration of further trips may be spent: the other parts answer then
      assertEquals(200, scan("search", "1:once-" + nonsense, PARTS).status, nonsense);
    }
  }

  /**
   * Guards against waiting on a searcher that answers with what is not of the protocol, or
   * believing it.
   */
  @Test
  void spoiltAnswersEndTheirTripsAtOnceAndGoodOnesCount() throws Exception {
    up(config().replace("600.0", "1800.0"));
    String shard = "{\"partition\":1,\"share\":1}";
    for (String spoilt : List.of("junk", "short", "stranger", "end", "bytes", "nothing")) {
      for (int i = 0; i < 8; i++) {
        scan("search", "", PARTS); // the ration of further trips grows by them
      }
      long start = System.nanoTime();
      Answer answer = scan("post", "1:once-" + spoilt, shard);
      assertTrue(answer.body.matches(".*\"value-1-from-[12]\".*"), spoilt + ": " + answer);
      assertTrue(System.nanoTime() - start < 1_000_000_000L, spoilt);
    }
    for (String more : List.of("report", "twice", "noise")) {
      assertTrue(scan("post", "1:" + more, shard).body.contains("\"value-1\""), more);
      assertTrue(scan("post", "", shard).body.contains("\"value-1-from-"), more);
    }
  }

  @Test
  void keepsAConnectionThroughSplitsChunksAndRequestsInARow() throws Exception {
    up(config());
    try (Socket socket = connect()) {
      socket.setTcpNoDelay(true);
      String two =
          request("search", "", PARTS) + request("post", "", "{\"partition\":7,\"share\":1}");
      for (char c : two.toCharArray()) {
        socket.getOutputStream().write(c);
      }
      assertEquals(200, answer(socket).status);
      assertEquals(200, answer(socket).status);
      String text = "x".repeat(60_000);
      String[] chunked =
          request("search", text, PARTS)
              .replaceAll("Content-Length: [0-9]+", "Transfer-Encoding: chunked")
              .split("\r\n\r\n");
      String half = chunked[1].substring(0, 30_000);
      String rest = chunked[1].substring(30_000);
      String pieces =
          Integer.toHexString(half.length())
              + "\r\n"
              + half
              + "\r\n"
              + Integer.toHexString(rest.length())
              + ";x=y\r\n"
              + rest
              + "\r\n0\r\nA: b\r\n\r\n";
      socket.getOutputStream().write((chunked[0] + "\r\n\r\n" + pieces).getBytes());
      assertEquals(200, answer(socket).status);
    }
  }

  @Test
  void answersBadInputPlainly() throws Exception {
    up(config());
    String good = request("search", "", PARTS);
    String[][] bad = {
      {"GET /other HTTP/1.1\r\nHost: x\r\n\r\n", "404"},
      {"PUT /api HTTP/1.1\r\nHost: x\r\n\r\n", "405"},
      {"POST /ready HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", "405"},
      {"GET /ready HTTP/1.1\r\n\r\n", "400"},
      {"nonsense\r\n\r\n", "400"},
      {"GET /ready HTTP/1.1\r\nHost x\r\n\r\n", "400"},
      {"GET /ready HTTP/1.1\nHost: x\n\n", "400"},
      {"GET / HTTP/1.1\r\nA: " + "a".repeat(9000) + "\r\n\r\n", "431"},
      {good.replaceAll("Content-Length: [0-9]+", "Content-Length: 70000"), "413"},
      {good.replace("Content-Length", "Transfer-Encoding: chunked\r\nContent-Length"), "400"},
      {good.replaceAll("Content-Length: [0-9]+", "Transfer-Encoding: chunked") + "\r\n", "400"},
      {good.replaceAll("Content-Length: [0-9]+", "Content-Length: -1"), "400"},
      {request("nolane", "", PARTS), "400"},
      {good.replace("X-Remaining-Ms: 2000", "X: y"), "400"},
      {request("search", "", ""), "400"},
      {request("search", "\\q", PARTS), "400"},
      {request("search", "\\ud800", PARTS), "400"},
      {request("search", "", "[[[[[[[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]]]]]]]"), "400"},
      {request("search", "", "{\"partition\":8,\"share\":1}"), "400"},
      {request("search", "", "{\"partition\":1.5,\"share\":1}"), "400"},
      {request("search", "", PARTS + "," + PARTS), "400"},
      {request("search", "", "{\"partition\":1,\"share\":0}"), "400"},
      {request("search", "", "{\"partition\":1,\"share\":0.5}"), "400"},
      {request("search", "", "{\"partition\":1,\"share\":1e999}"), "400"},
      {request("search", "", "{\"partition\":1,\"share\":\"1\"}"), "400"},
      {request("search", "", "{\"partition\":1,\"share\":1,\"route\":\"x\"}"), "400"},
      {request("post", "", PARTS).replaceAll("Idempotency-Key: .*\r\n", ""), "400"},
    };
    for (String[] each : bad) {
      Answer answer = send(each[0]);
      assertEquals(each[1], String.valueOf(answer.status), each[0]);
      assertEquals("", answer.body);
    }
    // a client that sends half a request and stays holds no one up, nor does one that leaves
    try (Socket slow = connect()) {
      slow.getOutputStream().write(good.substring(0, 50).getBytes());
      try (Socket leaving = connect()) {
        leaving.getOutputStream().write(request("search", "0:silent", PARTS).getBytes());
      }
      assertEquals(200, scan("search", "", PARTS).status);
    }
  }

  @Test
  void nacksWhenItHoldsAllItMay() throws Exception {
    up(config().replace("600.0", "1800.0"));
    List<Socket> sockets = new ArrayList<>();
    for (int i = 0; i < 16; i++) {
      Socket socket = connect();
      sockets.add(socket);
      // of 60 scans and parts held at most, each of these holds four
      socket.getOutputStream().write(request("search", "0:900 1:900 2:900", PARTS).getBytes());
    }
    int nacked = 0;
    for (Socket socket : sockets) {
      Answer answer = answer(socket);
      nacked += answer.status == 503 && !answer.head.contains("Retry-After") ? 1 : 0;
      socket.close();
    }
    assertEquals(1, nacked);
    // a part that is in is held no longer: a slow part a scan leaves room for more of them
    for (int i = 0; i < 20; i++) {
      Socket socket = connect();
      socket.getOutputStream().write(request("search", "0:900", PARTS).getBytes());
      if (i % 10 == 9) {
        Thread.sleep(500);
      }
      sockets.add(socket);
    }
    for (Socket socket : sockets.subList(16, 36)) {
      Answer answer = answer(socket);
      assertFalse(answer.status == 503 && !answer.head.contains("Retry-After"), answer.head);
      socket.close();
    }
  }

  @Test
  void closesIdleConnectionsFirstWhereDescriptorsRunShort() throws Exception {
    // 24 connections for clients, idle ones closed beyond 18
    up(config().replace("\"sockets\": 1024", "\"sockets\": 64").replace("600.0", "1800.0"));
    List<Socket> idle = new ArrayList<>();
    try (Socket kept = connect()) {
      for (int i = 0; i < 30; i++) {
        // who has asked stays before those who say nothing
        kept.getOutputStream().write(request("search", "", PARTS).getBytes());
        assertEquals(200, answer(kept).status);
        idle.add(connect());
        Thread.sleep(5);
        assertEquals(200, scan("search", "", "{\"partition\":0,\"share\":1}").status);
      }
    }
    assertEquals(-1, idle.get(0).getInputStream().read());
    Socket newest = idle.get(29);
    newest.getOutputStream().write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n".getBytes());
    assertEquals(200, answer(newest).status);
    // all of them busy: a newcomer's scan is nacked, and it is told to come by another connection
    List<Socket> busy = new ArrayList<>();
    Answer nacked = null;
    for (int i = 0; i < 28 && nacked == null; i++) {
      Socket socket = connect();
      busy.add(socket);
      socket
          .getOutputStream()
          .write(request("search", "0:1500", "{\"partition\":0,\"share\":1}").getBytes());
      socket.setSoTimeout(20);
      try {
        nacked = answer(socket);
      } catch (SocketTimeoutException e) {
        // taken
      }
    }
    assertTrue(nacked.status == 503 && nacked.head.contains("Connection: close"), nacked.head);
    for (Socket socket : idle) {
      socket.close();
    }
  }

  /**
   * Guards against a crowd that takes every descriptor, and against clients that never finish a
   * request.
   */
  @Test
  void staysWithinItsDescriptorsAndEndsWhatSaysNothing() throws Exception {
    String config = config().replace("\"sockets\": 1024", "\"sockets\": 120");
    file = folder.resolve("few.json");
    Files.writeString(file, config);
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
            file);
    port = port(mixer);
    List<Socket> crowd = new ArrayList<>();
    for (int i = 0; i < 300; i++) {
      crowd.add(connect());
    }
    Socket silent = connect();
    Socket half = connect();
    half.getOutputStream().write("POST /api HTTP/1.1\r\nHo".getBytes());
    for (int i = 0; i < 8; i++) {
      assertEquals(200, scan("search", "", PARTS).status);
    }
    assertEquals(408, answer(half).status);
    assertEquals(-1, silent.getInputStream().read());
    for (Socket socket : crowd) {
      socket.close();
    }
    assertFalse(mixer.lines.stream().anyMatch(line -> line.contains("Too many open files")));
  }

  @Test
  void followsTheListThroughDrainsRestartsAndBadLines() throws Exception {
    up(config());
    String shard = "{\"partition\":0,\"share\":1}"; // held by searchers 0 and 1
    toy.in.println("drain 0");
    toy.in.println("say nonsense");
    Thread.sleep(300);
    for (int i = 0; i < 8; i++) {
      assertTrue(scan("search", "", shard).body.contains("value-0-from-1"));
    }
    // the watch is opened anew and its whole list is taken: 0 is back, and 1 dies before the list
    // says so
    toy.in.println("serve 0");
    answers(shard, "value-0-from-0");
    toy.in.println("crash 1");
    Thread.sleep(100);
    for (int i = 0; i < 8; i++) {
      assertTrue(scan("search", "", shard).body.contains("value-0-from-0"));
    }
    // it starts again at another address, and is the only one left
    toy.in.println("revive 1");
    toy.in.println("gone 0");
    Thread.sleep(300);
    answers(shard, "value-0-from-1");
  }

  /**
   * Guards against a watch that takes one line for the whole of a list, and misses every list that
   * is indented.
   */
  @Test
  void takesAListThatIsIndented() throws Exception {
    up(config());
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
      toy.in.println("say " + line);
    }
    int inARow = 0; // of two holders each would be asked for half of them
    for (int i = 0; i < 100 && inARow < 16; i++) {
      Thread.sleep(20);
      String body = scan("search", "", "{\"partition\":0,\"share\":1}").body;
      inARow = body.contains("value-0-from-1") ? inARow + 1 : 0;
    }
    assertEquals(16, inARow);
  }

  /**
   * Guards against a mixer that holds on to searchers that are not listed any more, or takes none
   * back.
   */
  @Test
  void followsAListThatEmptiesAndFillsAgainUnderTheSameNames() throws Exception {
    up(config());
    String shard = "{\"partition\":0,\"share\":1}";
    for (int round = 0; round < 3; round++) {
      for (int i = 0; i < 4; i++) {
        toy.in.println("gone " + i);
      }
      int status = 0;
      for (int i = 0; i < 100 && status != 503; i++) {
        Thread.sleep(50);
        status = scan("search", "", shard).status;
      }
      assertEquals(503, status);
      for (int i = 0; i < 8; i++) {
        assertEquals(503, scan("search", "", PARTS).status);
      }
      for (int i = 0; i < 4; i++) {
        toy.in.println("serve " + i);
      }
      answers(shard, "value-0-from-0");
      answers(shard, "value-0-from-1");
    }
    toy.in.println("say {\"revision\":999,\"complete\":true,\"members\":[]}");
    for (int i = 0; i < 100 && scan("search", "", PARTS).status != 503; i++) {
      Thread.sleep(50);
    }
    assertEquals(503, scan("search", "", PARTS).status);
  }

  /** Guards against a watch that stays open and silent while searchers are replaced. */
  @Test
  void opensTheWatchAnewWhereItFallsSilent() throws Exception {
    up(config());
    toy.in.println("hush");
    toy.in.println("drain 0");
    int inARow = 0; // of two holders each would be asked for half of them
    long start = System.nanoTime();
    while (System.nanoTime() - start < 6_000_000_000L && inARow < 16) {
      Thread.sleep(40);
      String body = scan("search", "", "{\"partition\":0,\"share\":1}").body;
      inARow = body.contains("value-0-from-1") ? inARow + 1 : 0;
    }
    assertEquals(16, inARow);
  }

  /** Asks for a shard until this is the answer. */
  private void answers(String shard, String value) throws Exception {
    for (int i = 0; i < 100; i++) {
      if (scan("search", "", shard).body.contains(value)) {
        return;
      }
      Thread.sleep(50);
    }
    throw new AssertionError("never " + value);
  }

  private void hangUp(String config) throws Exception {
    Files.writeString(file, config);
    assertEquals(0, new ProcessBuilder("kill", "-HUP", "" + mixer.process.pid()).start().waitFor());
  }

  /**
   * Guards against a fleet that misses a new configuration, and nobody knows why: started by nohup,
   * say.
   */
  @Test
  void saysThatItCannotBeTold() throws Exception {
    mixer = mixer(config(), "/bin/sh", "-c", "trap '' HUP; exec \"$@\"", "sh");
    mixer.line("SIGHUP is ignored");
    port = port(mixer);
    ready();
  }

  /**
   * Guards against a SIGHUP that ends the process, and against one that costs the list or a scan.
   */
  @Test
  void followsDiscoveryToTheAddressOfANewConfiguration() throws Exception {
    String first = config().replace("600.0", "1800.0");
    Child old = toy;
    up(first);
    String second = config();
    String third = config();
    try (Socket open = connect()) {
      open.getOutputStream().write(request("search", "0:1000", PARTS).getBytes());
      for (String unfit :
          List.of("", second.substring(0, 200), second.replace("\"discovery\"", "\"x\""))) {
        hangUp(unfit);
        mixer.line("reload: the configuration in force stays");
      }
      hangUp(first.replaceAll("\"discovery\": \"[^\"]*\"", "\"discovery\": \"127.0.0.1:1\""));
      mixer.line("reload: discovery at /127.0.0.1:1");
      assertTrue(scan("search", "", PARTS).body.startsWith("{\"whole\":true,"));
      hangUp(second);
      hangUp(third);
      assertTrue(answer(open).body.startsWith("{\"whole\":true,"));
    }
    // the newer of the two is followed: the others end, and their searchers with them
    String shard = "{\"partition\":0,\"share\":1}";
    toy.in.println("gone 0");
    old.process.destroyForcibly();
    children.get(2).destroyForcibly();
    answers(shard, "value-0-from-1");
    for (int i = 0; i < 8; i++) {
      assertTrue(scan("search", "", shard).body.contains("value-0-from-1"));
    }
    assertTrue(mixer.process.isAlive());
  }

  /**
   * Guards against clients left with no mixer: those connected are served for most of the time
   * left.
   */
  @Test
  void servesOnAfterSigtermAndEndsWithAllScansAnswered() throws Exception {
    up(config());
    try (Socket open = connect();
        Socket idle = connect();
        Socket kept = connect()) {
      mixer.process.destroy(); // takes its output away too
      Thread.sleep(100);
      assertEquals(503, send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status);
      assertEquals(200, scan("search", "", PARTS).status); // still coming
      Thread.sleep(800);
      kept.getOutputStream().write(request("search", "", PARTS).getBytes());
      Answer late = answer(kept);
      assertTrue(late.status == 200 && !late.head.contains("Connection: close"), late.head);
      Thread.sleep(700);
      open.getOutputStream().write(request("search", "0:2000", PARTS).getBytes());
      Answer last = answer(open);
      assertTrue(last.status == 200 && last.head.contains("Connection: close"), last.head);
      assertEquals(-1, idle.getInputStream().read());
      assertEquals(-1, kept.getInputStream().read());
    }
    assertTrue(mixer.process.waitFor(4, TimeUnit.SECONDS));
    assertEquals(0, mixer.process.exitValue());
  }

  /** Guards against an end that comes while a request is read that nobody looks for any more. */
  @Test
  void answersWhatItReadsWhileItEnds() throws Exception {
    up(config());
    String request = request("search", "0:silent", PARTS);
    int sent = marks;
    try (Socket half = connect();
        Socket idle = connect()) {
      idle.getOutputStream().write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n".getBytes());
      assertEquals(200, answer(idle).status);
      assertEquals(
          0, new ProcessBuilder("kill", "-TERM", "" + mixer.process.pid()).start().waitFor());
      mixer.line("ending");
      Thread.sleep(
          1200); // a request may take two seconds to come, and this one is to come as the end does
      half.getOutputStream().write(request.substring(0, 50).getBytes());
      assertEquals(-1, idle.getInputStream().read());
      int answered = sent - 1;
      try {
        half.getOutputStream().write(request.substring(50).getBytes());
        answer(half);
        answered++;
      } catch (IOException e) {
        // then it must not have been read
      }
      String taken = mixer.line("ended; counts").replaceAll(".*scans taken ([0-9]+).*", "$1");
      assertEquals(String.valueOf(answered), taken);
    }
    assertTrue(mixer.process.waitFor(4, TimeUnit.SECONDS));
  }

  /**
   * Guards against a first scan whose client waits while what sockets need is loaded and compiled.
   */
  @Test
  void practisesOnSocketsOfItsOwnBeforeItIsReady() throws Exception {
    mixer = mixer(config());
    port = port(mixer);
    ready();
    assertEquals(
        0, new ProcessBuilder("kill", "-TERM", "" + mixer.process.pid()).start().waitFor());
    String ended = mixer.line("ended; counts");
    assertTrue(ended.matches(".*answers practised [1-9].*"), ended);
  }

  @Test
  void namesWhatKeepsItFromStarting() throws Exception {
    String config = config();
    try (ServerSocket taken = new ServerSocket(0)) {
      String[][] unfit = {
        {"{", "2", "LB_CONFIG"},
        {config.replace("\"discovery\"", "\"other\""), "2", "discovery is missing"},
        {config.replace("\"Places\"", "\"Other\""), "2", "setting Domain.Places is missing"},
        {config.replace("127.0.0.1:0", "localhost:1"), "2", "listen: no address"},
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
        {config.replace("127.0.0.1:0", "127.0.0.1:" + taken.getLocalPort()), "1", "cannot listen"}
      };
      for (String[] each : unfit) {
        Child child = mixer(each[0]);
        assertTrue(child.process.waitFor(10, TimeUnit.SECONDS));
        assertEquals(each[1], String.valueOf(child.process.exitValue()));
        String line = child.lines.poll(5, TimeUnit.SECONDS);
        assertTrue(line.startsWith("gingerring serve: ") && line.contains(each[2]), line);
        assertFalse(child.lines.stream().anyMatch(more -> more.contains("at gingerring")));
      }
    }
  }
}
