package gingerring.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Races on client connections: disconnects, answers, connection closes and the shutdown of the
 * process.
 */
@Timeout(120)
class FrontendRaceTest {
  private static final Duration NO_TRAFFIC_WAIT = Duration.ofMillis(300);

  private static void disconnect(MixerTestHarness.Client client, boolean reset) throws IOException {
    if (reset) {
      client.reset();
    } else {
      client.close();
    }
  }

  /**
   * Guards against a client's disconnect that stays unnoticed behind the bytes sent after its
   * request until the scan is answered.
   */
  @Test
  void disconnectBehindTrailingBytesIsDetected() throws Exception {
    for (boolean reset : new boolean[] {false, true}) {
      for (int trailingBytes : new int[] {20_000, 400_000}) {
        try (MixerTestHarness harness = new MixerTestHarness()) {
          MixerTestHarness.Box box = harness.box("b0", 0);
          harness.announceAndAwaitReady(box);
          MixerTestHarness.Client client = harness.connectClient();
          client.write(harness.scanRequest("search", 2000, 0));
          MixerTestHarness.BoxConnection connection = box.acceptConnection();
          MixerTestHarness.Frame request = connection.readCall();
          client.write(new byte[trailingBytes]);
          disconnect(client, reset);
          harness.awaitCount("clients that left", 1);
          assertEquals(
              "C" + harness.lastTransactionId() + ".0",
              "C" + connection.readFrame().payloadText()); // its only part is cancelled
          assertEquals(1, request.partIds().size());
        }
      }
    }
  }

  /**
   * A client that sends bytes after its request and stays connected gets its answer, after which
   * the connection closes in order.
   */
  @Test
  void clientThatSendsTrailingBytesAndStaysIsAnswered() throws Exception {
    try (MixerTestHarness harness = new MixerTestHarness()) {
      MixerTestHarness.Box box = harness.box("b0", 0);
      harness.announceAndAwaitReady(box);
      MixerTestHarness.Client client = harness.connectClient();
      client.write(harness.scanRequest("search", 2000, 0));
      MixerTestHarness.BoxConnection connection = box.acceptConnection();
      MixerTestHarness.Frame request = connection.readCall();
      client.write(new byte[400_000]);
      harness.awaitCount("bytes dropped", 300_000);
      connection.answer(request, "done");
      assertTrue(client.readAnswer().startsWith("200"));
      assertEquals("closed", client.awaitEnd());
    }
  }

  /**
   * Guards against attempts for a client that has gone: behind more bytes than are read at full
   * speed, the client's disconnect is seen only after all that the kernel holds was read slowly.
   */
  @Test
  void scanOfClientThatFloodsBehindItsRequestFailsAtOnce() throws Exception {
    int floodBytes = 1_500_000;
    int deadlineMs = 600_000;
    try (MixerTestHarness harness =
        new MixerTestHarness("\"HardLimitMs\": 2000.0", "\"HardLimitMs\": " + deadlineMs + ".0")) {
      MixerTestHarness.Box box = harness.box("b0", 0);
      harness.announceAndAwaitReady(box);
      MixerTestHarness.Client client = harness.connectClient();
      client.write(harness.scanRequest("search", deadlineMs, 0));
      MixerTestHarness.BoxConnection connection = box.acceptConnection();
      String partId = connection.readCall().partIds().get(0);
      client.write(new byte[floodBytes]);
      assertEquals("500", client.readAnswer());
      assertEquals(partId, connection.readFrame().payloadText(), "the part is cancelled");
      assertEquals(1, harness.count("scans of flooding clients failed"));
    }
  }

  /**
   * Guards against a scan that is forwarded in the loop iteration in which its client's disconnect
   * is seen.
   */
  @Test
  void scanWhoseClientLeavesInSameIterationIsNotForwarded() throws Exception {
    for (boolean reset : new boolean[] {false, true}) {
      try (MixerTestHarness harness = new MixerTestHarness()) {
        MixerTestHarness.Box box = harness.box("b0", 0);
        harness.announceAndAwaitReady(box);
        MixerTestHarness.Client client = harness.connectClient();
        assertTrue(client.isReady());
        try (MixerTestHarness.LoopGate gate = harness.pauseLoop()) {
          client.write(harness.scanRequest("search", 2000, 0));
          gate.awaitPosted(1);
          disconnect(client, reset);
          gate.awaitPosted(2);
        }
        harness.awaitCount("clients that left", 1);
        assertTrue(box.noConnectionWithin(NO_TRAFFIC_WAIT), "reset: " + reset);
      }
    }
  }

  /**
   * Guards against a final response that is lost to a TCP reset, caused by unread bytes that the
   * client sent after its request.
   */
  @Test
  void finalResponseIsNotLostToUnreadBytes() throws Exception {
    try (MixerTestHarness harness = new MixerTestHarness()) {
      harness.announceAndAwaitReady(harness.box("b0", 0));
      MixerTestHarness.Client client = harness.connectClient();
      try (MixerTestHarness.LoopGate gate = harness.pauseLoop()) {
        // MINA's thread stops reading at half a ring buffer and leaves the rest in the kernel's
        // buffer
        client.write(
            "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" + "x".repeat(100_000));
        gate.awaitPosted(1);
      }
      assertTrue(client.readAnswer().startsWith("200"));
      assertEquals("closed", client.awaitEnd());
      client.write(harness.scanRequest("search", 2000, 0)); // sending once more causes no reset
      client.halfClose();
      assertEquals("closed", client.awaitEnd());
      harness.runIterations(2);
      assertEquals(0, harness.count("scans taken"));
    }
  }

  private static MixerTestHarness harnessWithShortTimeLimits() throws Exception {
    return new MixerTestHarness(
        "\"HardLimitMs\": 2000.0",
        "\"HardLimitMs\": 500.0",
        "\"AimMs\": 600.0",
        "\"AimMs\": 300.0");
  }

  /**
   * A request races the close of its idle connection: if it is read before the close it is
   * answered; if it is written after the close it is never read.
   */
  @Test
  void requestRacingCloseOfIdleConnectionIsAnsweredOrNeverRead() throws Exception {
    for (boolean requestFirst : new boolean[] {true, false}) {
      try (MixerTestHarness harness = new MixerTestHarness()) {
        MixerTestHarness.Box box = harness.box("b0", 0);
        harness.announceAndAwaitReady(box);
        MixerTestHarness.Client client = harness.connectClient();
        assertTrue(client.isReady());
        String scan = harness.scanRequest("search", 2000, 0);
        if (requestFirst) {
          try (MixerTestHarness.LoopGate gate = harness.pauseLoop()) {
            harness.server.loop.post(harness.server.frontend::closeIdleClients);
            client.write(scan);
            gate.awaitPosted(2);
          }
          MixerTestHarness.BoxConnection connection = box.acceptConnection();
          connection.answer(connection.readCall(), "done");
          assertTrue(client.readAnswer().startsWith("200"));
        } else {
          // the previous answer is known to be sent, so the connection is idle
          try (MixerTestHarness.LoopGate gate = harness.pauseLoop()) {
            harness.server.loop.post(harness.server.frontend::closeIdleClients);
            gate.awaitPosted(1);
          }
          harness.runIterations(1);
          client.write(scan);
          client.awaitEnd();
          assertTrue(box.noConnectionWithin(NO_TRAFFIC_WAIT));
          assertEquals(0, harness.count("scans taken"));
        }
      }
    }
  }

  /** Guards against a partial request that is pending at shutdown and gets no response. */
  @Test
  void partialRequestIsRejectedAtEndOfShutdown() throws Exception {
    try (MixerTestHarness harness = harnessWithShortTimeLimits()) {
      MixerTestHarness.Box box = harness.box("b0", 0);
      harness.announceAndAwaitReady(box);
      MixerTestHarness.Client client = harness.connectClient();
      assertTrue(client.isReady());
      harness.runInLoop(harness.server::beginShutdown);
      String scan = harness.scanRequest("search", 500, 0);
      client.write(scan.substring(0, scan.length() - 1));
      assertTrue(client.readAnswer().startsWith("503"));
      assertEquals("closed", client.awaitEnd());
      client.write(scan.substring(scan.length() - 1));
      assertEquals(0, harness.awaitExitCode());
      assertTrue(box.noConnectionWithin(NO_TRAFFIC_WAIT));
      assertEquals(0, harness.count("scans taken"));
    }
  }

  /**
   * Discovery never sends a list: a scan that waits for the first list is answered with an error
   * all the same, and the process exits.
   */
  @Test
  void sigtermBeforeFirstMemberListLeavesNoScanOpen() throws Exception {
    for (boolean scanFirst : new boolean[] {true, false}) {
      try (MixerTestHarness harness = new MixerTestHarness()) {
        MixerTestHarness.Box box = harness.box("b0", 0);
        MixerTestHarness.DiscoveryConnection watch = harness.agent.acceptWatch();
        MixerTestHarness.Client client = harness.connectClient();
        if (scanFirst) {
          client.write(harness.scanRequest("search", 500, 0));
          harness.awaitCount("scans taken", 1);
          harness.runInLoop(harness.server::beginShutdown);
        } else {
          harness.runInLoop(harness.server::beginShutdown);
          client.write(harness.scanRequest("search", 500, 0));
          harness.awaitCount("scans taken", 1);
        }
        assertTrue(client.readAnswer().startsWith("5"));
        assertEquals(0, harness.awaitExitCode());
        watch.reset();
        assertTrue(box.noConnectionWithin(NO_TRAFFIC_WAIT));
      }
    }
  }

  /** The first member list arrives after SIGTERM: the waiting scan is served. */
  @Test
  void firstMemberListAfterSigtermServesWaitingScan() throws Exception {
    try (MixerTestHarness harness = new MixerTestHarness()) {
      MixerTestHarness.Box box = harness.box("b0", 0);
      MixerTestHarness.DiscoveryConnection watch = harness.agent.acceptWatch();
      MixerTestHarness.Client client = harness.connectClient();
      client.write(harness.scanRequest("search", 2000, 0));
      harness.awaitCount("scans taken", 1);
      harness.runInLoop(harness.server::beginShutdown);
      watch.sendLine(MixerTestHarness.memberListLine(1, true, box.memberJson("SERVING")));
      MixerTestHarness.BoxConnection connection = box.acceptConnection();
      connection.answer(connection.readCall(), "done");
      assertTrue(client.readAnswer().startsWith("200"));
      assertEquals(0, harness.awaitExitCode());
    }
  }

  /**
   * Guards against a second SIGTERM that starts the shutdown anew, so that the process is killed
   * before the shutdown ends.
   */
  @Test
  void secondSigtermDoesNotRestartShutdown() throws Exception {
    try (MixerTestHarness harness = harnessWithShortTimeLimits()) {
      harness.announceAndAwaitReady(harness.box("b0", 0));
      MixerTestHarness.Client client = harness.connectClient();
      harness.runInLoop(harness.server::beginShutdown);
      client.write("GET /rea"); // delays the shutdown until its time limit
      Thread.sleep(600);
      harness.runInLoop(harness.server::beginShutdown);
      assertTrue(client.readAnswer().startsWith("503"));
      assertEquals(0, harness.awaitExitCode());
      assertEquals(1, harness.count("ends announced"));
    }
  }

  /**
   * A SIGHUP that arrives before the loop runs, or even before the configuration is read, takes
   * effect once the loop runs.
   */
  @Test
  void sighupDuringStartupReloadsConfig() throws Exception {
    try (MixerTestHarness.DiscoveryAgent oldAgent = new MixerTestHarness.DiscoveryAgent(true);
        MixerTestHarness.DiscoveryAgent newAgent = new MixerTestHarness.DiscoveryAgent(true)) {
      Path file = Files.createTempFile("hup", ".json");
      String config = exampleConfig();
      Map<String, String> env = Map.of("LB_CONFIG", file.toString());
      Files.writeString(file, config.replace("8500", "" + oldAgent.address().getPort()));
      MixerConfig mixerConfig = MixerConfig.read(env);
      Files.writeString(file, config.replace("8500", "" + newAgent.address().getPort()));
      MixerServer server = new MixerServer(env, null, null);
      server.reload();
      Thread thread = new Thread(() -> server.serve(mixerConfig, System.err, address -> {}));
      thread.start();
      newAgent.acceptWatch().sendLine(MixerTestHarness.memberListLine(1, true));
      MixerTestHarness.await("a member list", () -> server.counts.get("lists told") == 1);
      server.loop.post(server.loop::stop);
      thread.join(MixerTestHarness.TIMEOUT_MS);
      server.dispose();
      assertEquals(0, server.counts.get("failures in an event"));
      file.toFile().delete();
    }
  }

  /** SIGHUP during the shutdown, and after the loop has ended. */
  @Test
  void sighupDuringShutdownIsHarmless() throws Exception {
    try (MixerTestHarness harness = new MixerTestHarness()) {
      MixerTestHarness.Box box = harness.box("b0", 0);
      harness.announceAndAwaitReady(box);
      MixerTestHarness.Client client = harness.connectClient();
      client.write(harness.scanRequest("search", 2000, 0));
      MixerTestHarness.BoxConnection connection = box.acceptConnection();
      MixerTestHarness.Frame request = connection.readCall();
      try (MixerTestHarness.DiscoveryAgent newAgent = new MixerTestHarness.DiscoveryAgent(true)) {
        harness.runInLoop(harness.server::beginShutdown);
        harness.writeConfig(newAgent.address());
        harness.server.reload();
        MixerTestHarness.DiscoveryConnection watch = newAgent.acceptWatch();
        watch.sendLine(MixerTestHarness.memberListLine(7, true, box.memberJson("SERVING")));
        connection.answer(request, "done");
        assertTrue(client.readAnswer().startsWith("200"));
        assertEquals(0, harness.awaitExitCode());
        harness.server.reload();
      }
    }
  }

  /**
   * Guards against idle clients that use up the file descriptors while discovery is down, and leave
   * none for discovery, for the searchers that discovery lists once it is back, and for clients
   * that send requests.
   */
  @Test
  void idleClientsLeaveConnectionsForDiscoverySearchersAndActiveClients() throws Exception {
    int maxConnections = 256 - 40;
    try (MixerTestHarness harness =
        new MixerTestHarness(
            false,
            "\"sockets\": 1024",
            "\"sockets\": 256",
            "\"MostHeld\": 60",
            "\"MostHeld\": 9000",
            "\"ClassFloor\": [0.4, 1.0]",
            "\"ClassFloor\": [0.1, 1.0]")) {
      MixerTestHarness.Box[] boxes = new MixerTestHarness.Box[200];
      for (int i = 0; i < boxes.length; i++) {
        boxes[i] = harness.box("b" + i, i % 4);
      }
      List<MixerTestHarness.Client> idleClients = new ArrayList<>();
      for (int i = 0; i < 2 * maxConnections; i++) {
        idleClients.add(harness.connectClient());
      }
      harness.agent.resumeListening();
      harness.announceAndAwaitReady(boxes);
      AtomicInteger fewestAvailable = new AtomicInteger(maxConnections);
      for (int i = 0; i < 300; i++) {
        MixerTestHarness.Client client = harness.connectClient();
        client.write(harness.scanRequest("search", 1000, i % 8));
        harness.runIterations(2);
        // counted by descriptors: a dial that waits for one is a connection and holds none
        harness.runInLoop(
            () ->
                fewestAvailable.accumulateAndGet(
                    harness.server.network().availableConnections(), Math::min));
      }
      // the last clients may still wait in the accept backlog, and a searcher connection is dialled
      // at the end of the loop iteration of its scan
      MixerTestHarness.await(
          "an outcome for each client",
          () ->
              harness.count("idle connections shed")
                      + harness.count("connections turned away")
                      + harness.count("nacks for want of connections")
                      + harness.count("scans taken")
                  >= 2 * maxConnections + 300);
      harness.runIterations(2);
      // for each active client its own searcher is dialled, until active connections use up the
      // descriptors
      long scansTaken = harness.count("scans taken");
      harness.runIterations(2);
      assertTrue(scansTaken >= 90, harness.server.counts.toString());
      assertTrue(harness.count("links dialled") >= scansTaken, harness.server.counts.toString());
      assertTrue(
          fewestAvailable.get() >= 0,
          maxConnections
              - fewestAvailable.get()
              + " descriptors at one time, "
              + harness.server.counts);
    }
  }

  /**
   * Guards against a flood of partial requests that occupies all connections until the time limit
   * for complete requests.
   */
  @Test
  void partialRequestsAreShedOnceNoIdleConnectionIsLeft() throws Exception {
    for (int idleCount : new int[] {0, 100}) {
      try (MixerTestHarness harness =
          new MixerTestHarness("\"sockets\": 1024", "\"sockets\": 256")) {
        harness.announceAndAwaitReady(answeringBoxes(harness, 4));
        List<MixerTestHarness.Client> partialClients = new ArrayList<>();
        for (int i = 0; i < 201; i++) { // with one more, new clients would be turned away
          MixerTestHarness.Client client = harness.connectClient();
          if (i >= idleCount) {
            // The answer to these headers shows that the request has begun at the mixer: until it
            // is
            // read, its connection is idle and may be closed in favour of others.
            client.write(
                "POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\nExpect: 100-continue\r\n\r\n");
            assertTrue(client.readHead().startsWith("HTTP/1.1 100"));
            partialClients.add(client);
          }
        }
        if (idleCount > 0) { // shedding the idle connections alone is enough
          harness.awaitCount("idle connections shed", 1);
          harness.runIterations(2);
          assertEquals(0, harness.count("half requests shed"), harness.server.counts.toString());
        } else {
          harness.awaitCount("half requests shed", 1);
          assertTrue(partialClients.get(0).readAnswer().startsWith("503"));
          assertEquals("closed", partialClients.get(0).awaitEnd());
          MixerTestHarness.await(
              "room for a new client", () -> harness.server.network().availableConnections() > 40);
          MixerTestHarness.Client client = harness.connectClient();
          client.write(harness.scanRequest("search", 2000, 0));
          assertTrue(client.readAnswer().startsWith("200"));
        }
      }
    }
  }

  /**
   * Guards against new clients that are rejected for lack of connections while enough idle
   * connections are being closed for them: the new clients of one loop iteration arrive before any
   * of the idle connections has closed.
   */
  @Test
  void newClientsOfOneIterationAreServedOnceIdleOnesAreShed() throws Exception {
    try (MixerTestHarness harness =
        new MixerTestHarness(
            "\"sockets\": 1024", "\"sockets\": 256", "\"MostHeld\": 60", "\"MostHeld\": 9000")) {
      harness.announceAndAwaitReady(answeringBoxes(harness, 4));
      // within the limit alone, above it together with the new clients
      for (int i = 0; i < 150; i++) {
        harness.connectClient();
      }
      harness.awaitConnections(151);
      List<MixerTestHarness.Client> newClients = new ArrayList<>();
      try (MixerTestHarness.LoopGate gate = harness.pauseLoop()) {
        for (int i = 0; i < 40; i++) {
          MixerTestHarness.Client client = harness.connectClient();
          client.write(harness.scanRequest("search", 2000, i % 8));
          newClients.add(client);
        }
        // each has connected, is open and has sent its request
        gate.awaitPosted(3 * newClients.size());
      }
      for (MixerTestHarness.Client client : newClients) {
        String answer = client.readAnswer();
        assertTrue(answer.startsWith("200"), answer + ", " + harness.server.counts);
      }
      assertTrue(harness.count("idle connections shed") > 0, harness.server.counts.toString());
    }
  }

  /**
   * Guards against idle searcher connections that use up all file descriptors. With more searchers
   * than connections allowed, the connection idle for longest is closed for the next searcher, and
   * every scan is answered.
   */
  @Test
  void longestIdleSearcherConnectionMakesRoomForNextSearcher() throws Exception {
    int maxConnections = 128 - 40;
    try (MixerTestHarness harness = new MixerTestHarness("\"sockets\": 1024", "\"sockets\": 128")) {
      harness.announceAndAwaitReady(answeringBoxes(harness, 80));
      MixerTestHarness.Client client = harness.connectClient();
      for (int i = 0; i < 1000 && harness.count("resting links shed") == 0; i++) {
        client.write(harness.scanRequest("search", 2000, i % 8));
        String answer = client.readAnswer();
        assertTrue(answer.startsWith("200"), answer + " after " + i + ", " + harness.server.counts);
      }
      assertTrue(harness.count("resting links shed") > 0, harness.server.counts.toString());
      assertTrue(
          harness.count("links dialled") >= 0.75 * maxConnections,
          harness.server.counts.toString());
      assertEquals(
          0,
          harness.count("trips UNREACHABLE") + harness.count("trips BROKEN"),
          harness.server.counts.toString());
    }
  }

  /** Starts {@code count} searchers that answer every call. */
  private static MixerTestHarness.Box[] answeringBoxes(MixerTestHarness harness, int count)
      throws IOException {
    MixerTestHarness.Box[] boxes = new MixerTestHarness.Box[count];
    for (int i = 0; i < count; i++) {
      MixerTestHarness.Box box = harness.box("b" + i, i % 4);
      boxes[i] = box;
      MixerTestHarness.runInBackground(
          () -> {
            while (true) {
              MixerTestHarness.answerAllCalls(box.acceptConnection());
            }
          });
    }
    return boxes;
  }

  /**
   * Guards against a mixer that does not get ready because it waits for a member list that never
   * arrives, or for its own warm-up.
   */
  @Test
  void readyWhileDiscoveryRefusesOrIsSilentWithLongDialTimeout() throws Exception {
    for (boolean refusing : new boolean[] {true, false}) {
      long startNanos = System.nanoTime();
      try (MixerTestHarness harness =
          new MixerTestHarness(
              !refusing, "\"DialTimeoutMs\": 250.0", "\"DialTimeoutMs\": 20000.0")) {
        harness.awaitReady(); // the agent does not accept, or does not listen
        assertTrue(System.nanoTime() - startNanos < 10_000_000_000L, "refusing: " + refusing);
        harness.awaitCount("answers practised", 1);
      }
    }
  }

  /** SIGTERM in the first loop iteration, while the warm-up runs and discovery has sent nothing. */
  @Test
  void sigtermDuringWarmUpShutsDownNormally() throws Exception {
    try (MixerTestHarness.DiscoveryAgent agent = new MixerTestHarness.DiscoveryAgent(true)) {
      Path file = Files.createTempFile("term", ".json");
      Files.writeString(
          file,
          exampleConfig()
              .replace("8500", "" + agent.address().getPort())
              .replace("\"HardLimitMs\": 2000.0", "\"HardLimitMs\": 500.0")
              .replace("600.0", "300.0"));
      Map<String, String> env = Map.of("LB_CONFIG", file.toString());
      MixerServer server = new MixerServer(env, null, null);
      assertEquals(
          0,
          server.serve(
              MixerConfig.read(env),
              System.err,
              address -> server.loop.post(server::beginShutdown)));
      server.dispose();
      assertEquals(1, server.counts.get("ends announced"));
      assertEquals(0, server.counts.get("failures in an event"));
      file.toFile().delete();
    }
  }

  private static String exampleConfig() throws IOException {
    return Files.readString(
            Path.of(Files.exists(Path.of("example")) ? "example" : "../example", "config.json"))
        .replace("127.0.0.1:8081", "127.0.0.1:0");
  }
}
