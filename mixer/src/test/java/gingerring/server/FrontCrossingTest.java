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

  private static void leave(Rig.Client client, boolean reset) throws IOException {
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
        try (Rig rig = new Rig()) {
          Rig.Box box = rig.box("b0", 0);
          rig.begin(box);
          Rig.Client client = rig.client();
          client.write(rig.scan("search", 2000, 0));
          Rig.Link link = box.link();
          Rig.Frame call = link.call();
          client.write(new byte[much]);
          leave(client, reset);
          rig.awaitCount("clients that left", 1);
          assertEquals(
              "C" + rig.lastMark() + ".0", "C" + link.frame().text()); // its only part is given up
          assertEquals(1, call.parts().size());
        }
      }
    }
  }

  /** It stays: it has its answer, and the connection ends with it, in order. */
  @Test
  void aClientThatSendsMuchBehindItsRequestAndStaysIsAnswered() throws Exception {
    try (Rig rig = new Rig()) {
      Rig.Box box = rig.box("b0", 0);
      rig.begin(box);
      Rig.Client client = rig.client();
      client.write(rig.scan("search", 2000, 0));
      Rig.Link link = box.link();
      Rig.Frame call = link.call();
      client.write(new byte[400_000]);
      rig.awaitCount("bytes dropped", 300_000);
      link.answer(call, "done");
      assertTrue(client.answer().startsWith("200"));
      assertEquals("closed", client.end());
    }
  }

  /**
   * Guards against a scan that is sent on in the very turn in which its client is seen to have
   * gone.
   */
  @Test
  void aScanWhoseClientLeavesInTheSameTurnIsNotSentOn() throws Exception {
    for (boolean reset : new boolean[] {false, true}) {
      try (Rig rig = new Rig()) {
        Rig.Box box = rig.box("b0", 0);
        rig.begin(box);
        Rig.Client client = rig.client();
        assertTrue(client.ready());
        try (Rig.Gate gate = rig.hold()) {
          client.write(rig.scan("search", 2000, 0));
          gate.posted(1);
          leave(client, reset);
          gate.posted(2);
        }
        rig.awaitCount("clients that left", 1);
        assertTrue(box.quiet(SOON), "reset: " + reset);
      }
    }
  }

  /**
   * Guards against a last answer that is reset away by what its client has sent behind its request.
   */
  @Test
  void aLastAnswerOutlivesItsConnectionOverUnreadBytes() throws Exception {
    try (Rig rig = new Rig()) {
      rig.begin(rig.box("b0", 0));
      Rig.Client client = rig.client();
      try (Rig.Gate gate = rig.hold()) {
        // MINA's thread stops at half a ring, and leaves the rest in the system's buffer
        client.write(
            "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" + "x".repeat(100_000));
        gate.posted(1);
      }
      assertTrue(client.answer().startsWith("200"));
      assertEquals("closed", client.end());
      client.write(rig.scan("search", 2000, 0)); // it may come once more, and nothing resets it
      client.halfClose();
      assertEquals("closed", client.end());
      rig.turns(2);
      assertEquals(0, rig.count("scans taken"));
    }
  }

  private static Rig shortRig() throws Exception {
    return new Rig(
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
      try (Rig rig = new Rig()) {
        Rig.Box box = rig.box("b0", 0);
        rig.begin(box);
        Rig.Client client = rig.client();
        assertTrue(client.ready());
        String scan = rig.scan("search", 2000, 0);
        if (requestFirst) {
          try (Rig.Gate gate = rig.hold()) {
            rig.serve.loop.post(rig.serve.front::end);
            client.write(scan);
            gate.posted(2);
          }
          Rig.Link link = box.link();
          link.answer(link.call(), "done");
          assertTrue(client.answer().startsWith("200"));
        } else {
          try (Rig.Gate gate =
              rig.hold()) { // the answer before is known to have left: the connection rests
            rig.serve.loop.post(rig.serve.front::end);
            gate.posted(1);
          }
          rig.turns(1);
          client.write(scan);
          client.end();
          assertTrue(box.quiet(SOON));
          assertEquals(0, rig.count("scans taken"));
        }
      }
    }
  }

  /** Guards against half a request that the end of the process finds, and leaves without a word. */
  @Test
  void halfARequestIsRefusedAtTheVeryEnd() throws Exception {
    try (Rig rig = shortRig()) {
      Rig.Box box = rig.box("b0", 0);
      rig.begin(box);
      Rig.Client client = rig.client();
      assertTrue(client.ready());
      rig.inLoop(rig.serve::announceEnd);
      String scan = rig.scan("search", 500, 0);
      client.write(scan.substring(0, scan.length() - 1));
      assertTrue(client.answer().startsWith("503"));
      assertEquals("closed", client.end());
      client.write(scan.substring(scan.length() - 1));
      assertEquals(0, rig.ended());
      assertTrue(box.quiet(SOON));
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
      try (Rig rig = new Rig()) {
        Rig.Box box = rig.box("b0", 0);
        Rig.Call watch = rig.agent.watch();
        Rig.Client client = rig.client();
        if (scanFirst) {
          client.write(rig.scan("search", 500, 0));
          rig.awaitCount("scans taken", 1);
          rig.inLoop(rig.serve::announceEnd);
        } else {
          rig.inLoop(rig.serve::announceEnd);
          client.write(rig.scan("search", 500, 0));
          rig.awaitCount("scans taken", 1);
        }
        assertTrue(client.answer().startsWith("5"));
        assertEquals(0, rig.ended());
        watch.reset();
        assertTrue(box.quiet(SOON));
      }
    }
  }

  /** The first word comes after SIGTERM: what waited goes on. */
  @Test
  void sigtermAndThenDiscoverysFirstWordServesWhatWaits() throws Exception {
    try (Rig rig = new Rig()) {
      Rig.Box box = rig.box("b0", 0);
      Rig.Call watch = rig.agent.watch();
      Rig.Client client = rig.client();
      client.write(rig.scan("search", 2000, 0));
      rig.awaitCount("scans taken", 1);
      rig.inLoop(rig.serve::announceEnd);
      watch.say(Rig.list(1, true, box.member("SERVING")));
      Rig.Link link = box.link();
      link.answer(link.call(), "done");
      assertTrue(client.answer().startsWith("200"));
      assertEquals(0, rig.ended());
    }
  }

  /**
   * Guards against a second SIGTERM that begins the end anew, and a process that is killed in it.
   */
  @Test
  void sigtermTwiceEndsAsOnce() throws Exception {
    try (Rig rig = shortRig()) {
      rig.begin(rig.box("b0", 0));
      Rig.Client client = rig.client();
      rig.inLoop(rig.serve::announceEnd);
      client.write("GET /rea"); // keeps the end waiting for its time
      Thread.sleep(600);
      rig.inLoop(rig.serve::announceEnd);
      assertTrue(client.answer().startsWith("503"));
      assertEquals(0, rig.ended());
      assertEquals(1, rig.count("ends announced"));
    }
  }

  /** SIGHUP before the loop runs, or even reads its configuration, is taken once it does. */
  @Test
  void sighupInStartUpIsTaken() throws Exception {
    try (Rig.Agent first = new Rig.Agent(true);
        Rig.Agent next = new Rig.Agent(true)) {
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
      next.watch().say(Rig.list(1, true));
      Rig.await("a list", () -> serve.counts.get("lists told") == 1);
      serve.loop.post(serve.loop::stop);
      thread.join(Rig.WAIT_MS);
      serve.dispose();
      assertEquals(0, serve.counts.get("failures in an event"));
      file.toFile().delete();
    }
  }

  /** SIGHUP while the process ends, and after its loop has ended. */
  @Test
  void sighupInShutdownCostsNothing() throws Exception {
    try (Rig rig = new Rig()) {
      Rig.Box box = rig.box("b0", 0);
      rig.begin(box);
      Rig.Client client = rig.client();
      client.write(rig.scan("search", 2000, 0));
      Rig.Link link = box.link();
      Rig.Frame call = link.call();
      try (Rig.Agent next = new Rig.Agent(true)) {
        rig.inLoop(rig.serve::announceEnd);
        rig.configure(next.address());
        rig.serve.reload();
        Rig.Call watch = next.watch();
        watch.say(Rig.list(7, true, box.member("SERVING")));
        link.answer(call, "done");
        assertTrue(client.answer().startsWith("200"));
        assertEquals(0, rig.ended());
        rig.serve.reload();
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
    try (Rig rig =
        new Rig(
            false,
            "\"sockets\": 1024",
            "\"sockets\": 256",
            "\"MostHeld\": 60",
            "\"MostHeld\": 9000",
            "\"ClassFloor\": [0.4, 1.0]",
            "\"ClassFloor\": [0.1, 1.0]")) {
      Rig.Box[] boxes = new Rig.Box[200];
      for (int i = 0; i < boxes.length; i++) {
        boxes[i] = rig.box("b" + i, i % 4);
      }
      List<Rig.Client> idle = new ArrayList<>();
      for (int i = 0; i < 2 * most; i++) {
        idle.add(rig.client());
      }
      rig.agent.admit();
      rig.begin(boxes);
      int peak = 0;
      for (int i = 0; i < 300; i++) {
        Rig.Client client = rig.client();
        client.write(rig.scan("search", 1000, i % 8));
        rig.turns(2);
        peak = Math.max(peak, rig.serve.network().connectionCount());
      }
      // the last of them may still stand in the backlog, and a link is dialled at the end of its
      // scan's turn
      Rig.await(
          "what becomes of each client",
          () ->
              rig.count("idle connections shed")
                      + rig.count("connections turned away")
                      + rig.count("nacks for want of connections")
                      + rig.count("scans taken")
                  >= 2 * most + 300);
      rig.turns(2);
      // each that works has its own searcher dialled, until the descriptors are full of those that
      // work
      long taken = rig.count("scans taken");
      rig.turns(2);
      assertTrue(taken >= 90, rig.serve.counts.toString());
      assertTrue(rig.count("links dialled") >= taken, rig.serve.counts.toString());
      assertTrue(peak <= most, peak + " connections at one time, " + rig.serve.counts);
    }
  }

  /**
   * Guards against a flood of half requests that holds all room until the time for whole ones is
   * over.
   */
  @Test
  void halfRequestsGiveWayOnceNoIdleConnectionIsLeft() throws Exception {
    for (int idle : new int[] {0, 100}) {
      try (Rig rig = new Rig("\"sockets\": 1024", "\"sockets\": 256")) {
        rig.begin(answering(rig, 4));
        List<Rig.Client> halves = new ArrayList<>();
        for (int i = 0; i < 201; i++) { // with one more, newcomers are turned away
          Rig.Client client = rig.client();
          if (i >= idle) {
            client.write("POST /api HTTP/1.1\r\nHost: x\r\n");
            halves.add(client);
          }
        }
        if (idle > 0) { // they alone are as many as have to go
          rig.awaitCount("idle connections shed", 1);
          rig.turns(2);
          assertEquals(0, rig.count("half requests shed"), rig.serve.counts.toString());
        } else {
          rig.awaitCount("half requests shed", 1);
          assertTrue(halves.get(0).answer().startsWith("503"));
          assertEquals("closed", halves.get(0).end());
          Rig.await("room for a newcomer", () -> rig.serve.network().availableConnections() > 40);
          Rig.Client client = rig.client();
          client.write(rig.scan("search", 2000, 0));
          assertTrue(client.answer().startsWith("200"));
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
    try (Rig rig =
        new Rig(
            "\"sockets\": 1024", "\"sockets\": 256", "\"MostHeld\": 60", "\"MostHeld\": 9000")) {
      rig.begin(answering(rig, 4));
      for (int i = 0; i < 150; i++) { // so many are not too many, and with the newcomers they are
        rig.client();
      }
      rig.awaitConnections(151);
      List<Rig.Client> newcomers = new ArrayList<>();
      try (Rig.Gate gate = rig.hold()) {
        for (int i = 0; i < 40; i++) {
          Rig.Client client = rig.client();
          client.write(rig.scan("search", 2000, i % 8));
          newcomers.add(client);
        }
        gate.posted(3 * newcomers.size()); // each has come, is open, and has said something
      }
      for (Rig.Client client : newcomers) {
        String answer = client.answer();
        assertTrue(answer.startsWith("200"), answer + ", " + rig.serve.counts);
      }
      assertTrue(rig.count("idle connections shed") > 0, rig.serve.counts.toString());
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
    try (Rig rig = new Rig("\"sockets\": 1024", "\"sockets\": 128")) {
      rig.begin(answering(rig, 80));
      Rig.Client client = rig.client();
      for (int i = 0; i < 1000 && rig.count("resting links shed") == 0; i++) {
        client.write(rig.scan("search", 2000, i % 8));
        String answer = client.answer();
        assertTrue(answer.startsWith("200"), answer + " after " + i + ", " + rig.serve.counts);
      }
      assertTrue(rig.count("resting links shed") > 0, rig.serve.counts.toString());
      assertTrue(rig.count("links dialled") >= 0.75 * most, rig.serve.counts.toString());
      assertEquals(
          0,
          rig.count("trips UNREACHABLE") + rig.count("trips BROKEN"),
          rig.serve.counts.toString());
    }
  }

  /** So many searchers that answer whatever comes. */
  private static Rig.Box[] answering(Rig rig, int many) throws IOException {
    Rig.Box[] boxes = new Rig.Box[many];
    for (int i = 0; i < many; i++) {
      Rig.Box box = rig.box("b" + i, i % 4);
      boxes[i] = box;
      Rig.aside(
          () -> {
            while (true) {
              Rig.answers(box.link());
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
      try (Rig rig = new Rig(!refusing, "\"DialTimeoutMs\": 250.0", "\"DialTimeoutMs\": 20000.0")) {
        rig.ready(); // nobody accepts at the agent, or nobody listens there
        assertTrue(System.nanoTime() - start < 10_000_000_000L, "refusing: " + refusing);
        rig.awaitCount("answers practised", 1);
      }
    }
  }

  /** SIGTERM in the very first turn, with practice under way and nothing heard of discovery. */
  @Test
  void sigtermDuringPracticeEndsAsEver() throws Exception {
    try (Rig.Agent agent = new Rig.Agent(true)) {
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
              MixerConfig.read(env), System.err, at -> serve.loop.post(serve::announceEnd)));
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
