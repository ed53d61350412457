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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What crosses at the clients' side: leaving, answers, ends of connections and of the process. */
@Timeout(120)
class FrontCrossingTest {
  private static final Duration SOON = Duration.ofMillis(300);

  private static void leave(MixerTestHarness.Client client, boolean reset) throws IOException {
    if (reset) {
      client.reset();
    } else {
      client.close();
    }
  }

  /**
   * Guards against a client's end that is not seen behind what it sent, until its scan has been
   * answered.
   */
  @Test
  void aClientThatSendsMuchBehindItsRequestAndGoesHasGone() throws Exception {
    for (boolean reset : new boolean[] {false, true}) {
      for (int much : new int[] {20_000, 400_000}) {
        try (MixerTestHarness rig = new MixerTestHarness()) {
          MixerTestHarness.Box box = rig.box("b0", 0);
          rig.announceAndAwaitReady(box);
          MixerTestHarness.Client client = rig.connectClient();
          client.write(rig.scanRequest("search", 2000, 0));
          MixerTestHarness.BoxConnection link = box.acceptConnection();
          MixerTestHarness.Frame call = link.readCall();
          client.write(new byte[much]);
          leave(client, reset);
          rig.awaitCount("clients that left", 1);
          assertEquals(
              "C" + rig.lastTransactionId() + ".0",
              "C" + link.readFrame().payloadText()); // its only part is given up
          assertEquals(1, call.partIds().size());
        }
      }
    }
  }

  /** It stays: it has its answer, and the connection ends with it, in order. */
  @Test
  void aClientThatSendsMuchBehindItsRequestAndStaysIsAnswered() throws Exception {
    try (MixerTestHarness rig = new MixerTestHarness()) {
      MixerTestHarness.Box box = rig.box("b0", 0);
      rig.announceAndAwaitReady(box);
      MixerTestHarness.Client client = rig.connectClient();
      client.write(rig.scanRequest("search", 2000, 0));
      MixerTestHarness.BoxConnection link = box.acceptConnection();
      MixerTestHarness.Frame call = link.readCall();
      client.write(new byte[400_000]);
      rig.awaitCount("bytes dropped", 300_000);
      link.answer(call, "done");
      assertTrue(client.readAnswer().startsWith("200"));
      assertEquals("closed", client.awaitEnd());
    }
  }

  /**
   * Guards against a scan that is sent on in the very turn in which its client is seen to have
   * gone.
   */
  @Test
  void aScanWhoseClientLeavesInTheSameTurnIsNotSentOn() throws Exception {
    for (boolean reset : new boolean[] {false, true}) {
      try (MixerTestHarness rig = new MixerTestHarness()) {
        MixerTestHarness.Box box = rig.box("b0", 0);
        rig.announceAndAwaitReady(box);
        MixerTestHarness.Client client = rig.connectClient();
        assertTrue(client.isReady());
        try (MixerTestHarness.LoopGate gate = rig.pauseLoop()) {
          client.write(rig.scanRequest("search", 2000, 0));
          gate.awaitPosted(1);
          leave(client, reset);
          gate.awaitPosted(2);
        }
        rig.awaitCount("clients that left", 1);
        assertTrue(box.noConnectionWithin(SOON), "reset: " + reset);
      }
    }
  }

  /**
   * Guards against a last answer that is reset away by what its client has sent behind its request.
   */
  @Test
  void aLastAnswerOutlivesItsConnectionOverUnreadBytes() throws Exception {
    try (MixerTestHarness rig = new MixerTestHarness()) {
      rig.announceAndAwaitReady(rig.box("b0", 0));
      MixerTestHarness.Client client = rig.connectClient();
      try (MixerTestHarness.LoopGate gate = rig.pauseLoop()) {
        // MINA's thread stops at half a ring, and leaves the rest in the system's buffer
        client.write(
            "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" + "x".repeat(100_000));
        gate.awaitPosted(1);
      }
      assertTrue(client.readAnswer().startsWith("200"));
      assertEquals("closed", client.awaitEnd());
      client.write(
          rig.scanRequest("search", 2000, 0)); // it may come once more, and nothing resets it
      client.halfClose();
      assertEquals("closed", client.awaitEnd());
      rig.runIterations(2);
      assertEquals(0, rig.count("scans taken"));
    }
  }

  private static MixerTestHarness shortRig() throws Exception {
    return new MixerTestHarness(
        "\"HardLimitMs\": 2000.0",
        "\"HardLimitMs\": 500.0",
        "\"AimMs\": 600.0",
        "\"AimMs\": 300.0");
  }

  /**
   * A resting connection's request and its end: read before, it is answered; written after, never
   * read.
   */
  @Test
  void aRequestThatCrossesTheEndOfItsRestingConnectionIsAnsweredOrNeverRead() throws Exception {
    for (boolean requestFirst : new boolean[] {true, false}) {
      try (MixerTestHarness rig = new MixerTestHarness()) {
        MixerTestHarness.Box box = rig.box("b0", 0);
        rig.announceAndAwaitReady(box);
        MixerTestHarness.Client client = rig.connectClient();
        assertTrue(client.isReady());
        String scan = rig.scanRequest("search", 2000, 0);
        if (requestFirst) {
          try (MixerTestHarness.LoopGate gate = rig.pauseLoop()) {
            rig.server.loop.post(rig.server.frontend::closeIdleClients);
            client.write(scan);
            gate.awaitPosted(2);
          }
          MixerTestHarness.BoxConnection link = box.acceptConnection();
          link.answer(link.readCall(), "done");
          assertTrue(client.readAnswer().startsWith("200"));
        } else {
          try (MixerTestHarness.LoopGate gate =
              rig.pauseLoop()) { // the answer before is known to have left: the connection rests
            rig.server.loop.post(rig.server.frontend::closeIdleClients);
            gate.awaitPosted(1);
          }
          rig.runIterations(1);
          client.write(scan);
          client.awaitEnd();
          assertTrue(box.noConnectionWithin(SOON));
          assertEquals(0, rig.count("scans taken"));
        }
      }
    }
  }

  /** Guards against half a request that the end of the process finds, and leaves without a word. */
  @Test
  void halfARequestIsRefusedAtTheVeryEnd() throws Exception {
    try (MixerTestHarness rig = shortRig()) {
      MixerTestHarness.Box box = rig.box("b0", 0);
      rig.announceAndAwaitReady(box);
      MixerTestHarness.Client client = rig.connectClient();
      assertTrue(client.isReady());
      rig.runInLoop(rig.server::beginShutdown);
      String scan = rig.scanRequest("search", 500, 0);
      client.write(scan.substring(0, scan.length() - 1));
      assertTrue(client.readAnswer().startsWith("503"));
      assertEquals("closed", client.awaitEnd());
      client.write(scan.substring(scan.length() - 1));
      assertEquals(0, rig.awaitExitCode());
      assertTrue(box.noConnectionWithin(SOON));
      assertEquals(0, rig.count("scans taken"));
    }
  }

  /**
   * Discovery says nothing: a scan that waits for its first word is answered all the same, and the
   * end comes.
   */
  @Test
  void sigtermBeforeDiscoverysFirstWordLeavesNoScanOpen() throws Exception {
    for (boolean scanFirst : new boolean[] {true, false}) {
      try (MixerTestHarness rig = new MixerTestHarness()) {
        MixerTestHarness.Box box = rig.box("b0", 0);
        MixerTestHarness.DiscoveryConnection watch = rig.agent.acceptWatch();
        MixerTestHarness.Client client = rig.connectClient();
        if (scanFirst) {
          client.write(rig.scanRequest("search", 500, 0));
          rig.awaitCount("scans taken", 1);
          rig.runInLoop(rig.server::beginShutdown);
        } else {
          rig.runInLoop(rig.server::beginShutdown);
          client.write(rig.scanRequest("search", 500, 0));
          rig.awaitCount("scans taken", 1);
        }
        assertTrue(client.readAnswer().startsWith("5"));
        assertEquals(0, rig.awaitExitCode());
        watch.reset();
        assertTrue(box.noConnectionWithin(SOON));
      }
    }
  }

  /** The first word comes after SIGTERM: what waited goes on. */
  @Test
  void sigtermAndThenDiscoverysFirstWordServesWhatWaits() throws Exception {
    try (MixerTestHarness rig = new MixerTestHarness()) {
      MixerTestHarness.Box box = rig.box("b0", 0);
      MixerTestHarness.DiscoveryConnection watch = rig.agent.acceptWatch();
      MixerTestHarness.Client client = rig.connectClient();
      client.write(rig.scanRequest("search", 2000, 0));
      rig.awaitCount("scans taken", 1);
      rig.runInLoop(rig.server::beginShutdown);
      watch.sendLine(MixerTestHarness.memberListLine(1, true, box.memberJson("SERVING")));
      MixerTestHarness.BoxConnection link = box.acceptConnection();
      link.answer(link.readCall(), "done");
      assertTrue(client.readAnswer().startsWith("200"));
      assertEquals(0, rig.awaitExitCode());
    }
  }

  /**
   * Guards against a second SIGTERM that begins the end anew, and a process that is killed in it.
   */
  @Test
  void sigtermTwiceEndsAsOnce() throws Exception {
    try (MixerTestHarness rig = shortRig()) {
      rig.announceAndAwaitReady(rig.box("b0", 0));
      MixerTestHarness.Client client = rig.connectClient();
      rig.runInLoop(rig.server::beginShutdown);
      client.write("GET /rea"); // keeps the end waiting for its time
      Thread.sleep(600);
      rig.runInLoop(rig.server::beginShutdown);
      assertTrue(client.readAnswer().startsWith("503"));
      assertEquals(0, rig.awaitExitCode());
      assertEquals(1, rig.count("ends announced"));
    }
  }

  /** SIGHUP before the loop runs, or even reads its configuration, is taken once it does. */
  @Test
  void sighupInStartUpIsTaken() throws Exception {
    try (MixerTestHarness.DiscoveryAgent first = new MixerTestHarness.DiscoveryAgent(true);
        MixerTestHarness.DiscoveryAgent next = new MixerTestHarness.DiscoveryAgent(true)) {
      Path file = Files.createTempFile("hup", ".json");
      String config = example();
      Map<String, String> env = Map.of("LB_CONFIG", file.toString());
      Files.writeString(file, config.replace("8500", "" + first.address().getPort()));
      MixerConfig orders = MixerConfig.read(env);
      Files.writeString(file, config.replace("8500", "" + next.address().getPort()));
      MixerServer serve = new MixerServer(env, null, null);
      serve.reload();
      Thread thread = new Thread(() -> serve.serve(orders, System.err, at -> {}));
      thread.start();
      next.acceptWatch().sendLine(MixerTestHarness.memberListLine(1, true));
      MixerTestHarness.await("a list", () -> serve.counts.get("lists told") == 1);
      serve.loop.post(serve.loop::stop);
      thread.join(MixerTestHarness.TIMEOUT_MS);
      serve.dispose();
      assertEquals(0, serve.counts.get("failures in an event"));
      file.toFile().delete();
    }
  }

  /** SIGHUP while the process ends, and after its loop has ended. */
  @Test
  void sighupInShutdownCostsNothing() throws Exception {
    try (MixerTestHarness rig = new MixerTestHarness()) {
      MixerTestHarness.Box box = rig.box("b0", 0);
      rig.announceAndAwaitReady(box);
      MixerTestHarness.Client client = rig.connectClient();
      client.write(rig.scanRequest("search", 2000, 0));
      MixerTestHarness.BoxConnection link = box.acceptConnection();
      MixerTestHarness.Frame call = link.readCall();
      try (MixerTestHarness.DiscoveryAgent next = new MixerTestHarness.DiscoveryAgent(true)) {
        rig.runInLoop(rig.server::beginShutdown);
        rig.writeConfig(next.address());
        rig.server.reload();
        MixerTestHarness.DiscoveryConnection watch = next.acceptWatch();
        watch.sendLine(MixerTestHarness.memberListLine(7, true, box.memberJson("SERVING")));
        link.answer(call, "done");
        assertTrue(client.readAnswer().startsWith("200"));
        assertEquals(0, rig.awaitExitCode());
        rig.server.reload();
      }
    }
  }

  /**
   * Guards against idle clients that fill the descriptors while discovery is down, and leave none
   * for it, for searchers that it tells of at its return, and for the clients that have something
   * to ask.
   */
  @Test
  void idleClientsLeaveRoomForDiscoverySearchersAndWorkingClients() throws Exception {
    int most = 256 - 40;
    try (MixerTestHarness rig =
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
        boxes[i] = rig.box("b" + i, i % 4);
      }
      List<MixerTestHarness.Client> idle = new ArrayList<>();
      for (int i = 0; i < 2 * most; i++) {
        idle.add(rig.connectClient());
      }
      rig.agent.resumeListening();
      rig.announceAndAwaitReady(boxes);
      int peak = 0;
      for (int i = 0; i < 300; i++) {
        MixerTestHarness.Client client = rig.connectClient();
        client.write(rig.scanRequest("search", 1000, i % 8));
        rig.runIterations(2);
        peak = Math.max(peak, rig.server.network().connectionCount());
      }
      // the last of them may still stand in the backlog, and a link is dialled at the end of its
      // scan's turn
      MixerTestHarness.await(
          "what becomes of each client",
          () ->
              rig.count("idle connections shed")
                      + rig.count("connections turned away")
                      + rig.count("nacks for want of connections")
                      + rig.count("scans taken")
                  >= 2 * most + 300);
      rig.runIterations(2);
      // each that works has its own searcher dialled, until the descriptors are full of those that
      // work
      long taken = rig.count("scans taken");
      rig.runIterations(2);
      assertTrue(taken >= 90, rig.server.counts.toString());
      assertTrue(rig.count("links dialled") >= taken, rig.server.counts.toString());
      assertTrue(peak <= most, peak + " connections at one time, " + rig.server.counts);
    }
  }

  /**
   * Guards against a flood of half requests that holds all room until the time for whole ones is
   * over.
   */
  @Test
  void halfRequestsGiveWayOnceNoIdleConnectionIsLeft() throws Exception {
    for (int idle : new int[] {0, 100}) {
      try (MixerTestHarness rig = new MixerTestHarness("\"sockets\": 1024", "\"sockets\": 256")) {
        rig.announceAndAwaitReady(answering(rig, 4));
        List<MixerTestHarness.Client> halves = new ArrayList<>();
        for (int i = 0; i < 201; i++) { // with one more, newcomers are turned away
          MixerTestHarness.Client client = rig.connectClient();
          if (i >= idle) {
            client.write("POST /api HTTP/1.1\r\nHost: x\r\n");
            halves.add(client);
          }
        }
        if (idle > 0) { // they alone are as many as have to go
          rig.awaitCount("idle connections shed", 1);
          rig.runIterations(2);
          assertEquals(0, rig.count("half requests shed"), rig.server.counts.toString());
        } else {
          rig.awaitCount("half requests shed", 1);
          assertTrue(halves.get(0).readAnswer().startsWith("503"));
          assertEquals("closed", halves.get(0).awaitEnd());
          MixerTestHarness.await(
              "room for a newcomer", () -> rig.server.network().availableConnections() > 40);
          MixerTestHarness.Client client = rig.connectClient();
          client.write(rig.scanRequest("search", 2000, 0));
          assertTrue(client.readAnswer().startsWith("200"));
        }
      }
    }
  }

  /**
   * Guards against newcomers that are nacked for want of connections while enough idle ones are
   * being ended for them: who comes in one turn comes before any of those has gone.
   */
  @Test
  void newcomersOfOneTurnAreServedOnceIdleOnesGiveWay() throws Exception {
    try (MixerTestHarness rig =
        new MixerTestHarness(
            "\"sockets\": 1024", "\"sockets\": 256", "\"MostHeld\": 60", "\"MostHeld\": 9000")) {
      rig.announceAndAwaitReady(answering(rig, 4));
      for (int i = 0; i < 150; i++) { // so many are not too many, and with the newcomers they are
        rig.connectClient();
      }
      rig.awaitConnections(151);
      List<MixerTestHarness.Client> newcomers = new ArrayList<>();
      try (MixerTestHarness.LoopGate gate = rig.pauseLoop()) {
        for (int i = 0; i < 40; i++) {
          MixerTestHarness.Client client = rig.connectClient();
          client.write(rig.scanRequest("search", 2000, i % 8));
          newcomers.add(client);
        }
        gate.awaitPosted(3 * newcomers.size()); // each has come, is open, and has said something
      }
      for (MixerTestHarness.Client client : newcomers) {
        String answer = client.readAnswer();
        assertTrue(answer.startsWith("200"), answer + ", " + rig.server.counts);
      }
      assertTrue(rig.count("idle connections shed") > 0, rig.server.counts.toString());
    }
  }

  /**
   * Guards against links at rest that hold the descriptors of all others: with more searchers than
   * may be dialled, the one that has rested longest makes room for the next, and every scan is
   * answered.
   */
  @Test
  void aRestingLinkMakesRoomForTheNextSearcher() throws Exception {
    int most = 128 - 40;
    try (MixerTestHarness rig = new MixerTestHarness("\"sockets\": 1024", "\"sockets\": 128")) {
      rig.announceAndAwaitReady(answering(rig, 80));
      MixerTestHarness.Client client = rig.connectClient();
      for (int i = 0; i < 1000 && rig.count("resting links shed") == 0; i++) {
        client.write(rig.scanRequest("search", 2000, i % 8));
        String answer = client.readAnswer();
        assertTrue(answer.startsWith("200"), answer + " after " + i + ", " + rig.server.counts);
      }
      assertTrue(rig.count("resting links shed") > 0, rig.server.counts.toString());
      assertTrue(rig.count("links dialled") >= 0.75 * most, rig.server.counts.toString());
      assertEquals(
          0,
          rig.count("trips UNREACHABLE") + rig.count("trips BROKEN"),
          rig.server.counts.toString());
    }
  }

  /** So many searchers that answer whatever comes. */
  private static MixerTestHarness.Box[] answering(MixerTestHarness rig, int many)
      throws IOException {
    MixerTestHarness.Box[] boxes = new MixerTestHarness.Box[many];
    for (int i = 0; i < many; i++) {
      MixerTestHarness.Box box = rig.box("b" + i, i % 4);
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
   * Guards against a mixer that waits for discovery's word where none comes, or for its own
   * practice.
   */
  @Test
  void readyWithDiscoveryRefusingOrSilentAndDialsThatMayTakeLong() throws Exception {
    for (boolean refusing : new boolean[] {true, false}) {
      long start = System.nanoTime();
      try (MixerTestHarness rig =
          new MixerTestHarness(
              !refusing, "\"DialTimeoutMs\": 250.0", "\"DialTimeoutMs\": 20000.0")) {
        rig.awaitReady(); // nobody accepts at the agent, or nobody listens there
        assertTrue(System.nanoTime() - start < 10_000_000_000L, "refusing: " + refusing);
        rig.awaitCount("answers practised", 1);
      }
    }
  }

  /** SIGTERM in the very first turn, with practice under way and nothing heard of discovery. */
  @Test
  void sigtermDuringPracticeEndsAsEver() throws Exception {
    try (MixerTestHarness.DiscoveryAgent agent = new MixerTestHarness.DiscoveryAgent(true)) {
      Path file = Files.createTempFile("term", ".json");
      Files.writeString(
          file,
          example()
              .replace("8500", "" + agent.address().getPort())
              .replace("\"HardLimitMs\": 2000.0", "\"HardLimitMs\": 500.0")
              .replace("600.0", "300.0"));
      Map<String, String> env = Map.of("LB_CONFIG", file.toString());
      MixerServer serve = new MixerServer(env, null, null);
      assertEquals(
          0,
          serve.serve(
              MixerConfig.read(env), System.err, at -> serve.loop.post(serve::beginShutdown)));
      serve.dispose();
      assertEquals(1, serve.counts.get("ends announced"));
      assertEquals(0, serve.counts.get("failures in an event"));
      file.toFile().delete();
    }
  }

  private static String example() throws IOException {
    return Files.readString(
            Path.of(Files.exists(Path.of("example")) ? "example" : "../example", "config.json"))
        .replace("127.0.0.1:8081", "127.0.0.1:0");
  }
}
