package gingerring.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Races between events on searcher connections and other events, in both orders: see
 * docs/crossings.md.
 */
@Timeout(180)
class SearcherConnectionRaceTest {
  private static final int NO_TRAFFIC_WAIT_MS = 300;
  private static final String[] CANCEL_DISABLED = {"\"Cancel\": true", "\"Cancel\": false"};
  private static final String[] LONG_DIAL_TIMEOUT = {
    "\"DialTimeoutMs\": 250.0", "\"DialTimeoutMs\": 9000.0"
  };

  private static String[] concatenate(String[]... groups) {
    return Arrays.stream(groups).flatMap(Arrays::stream).toArray(String[]::new);
  }

  private static MixerTestHarness.DiscoveryConnection startWithMembers(
      MixerTestHarness harness, String... members) throws Exception {
    MixerTestHarness.DiscoveryConnection watch = harness.agent.acceptWatch();
    watch.sendLine(MixerTestHarness.memberListLine(1, true, members));
    harness.awaitReady();
    return watch;
  }

  /** Returns whether only probes and no request arrive for {@link #NO_TRAFFIC_WAIT_MS}. */
  private static boolean receivesNoRequest(MixerTestHarness.BoxConnection connection)
      throws IOException {
    connection.socket.setSoTimeout(NO_TRAFFIC_WAIT_MS);
    try {
      connection.readCall();
      return false;
    } catch (SocketTimeoutException e) {
      return true;
    } finally {
      connection.socket.setSoTimeout(MixerTestHarness.TIMEOUT_MS);
    }
  }

  /**
   * Guards against a part that is sent for a client that left while the part's connection was being
   * established.
   */
  @Test
  void partWaitingForDialIsNotSentAfterClientLeaves() throws Exception {
    for (String[] cancelSetting : new String[][] {CANCEL_DISABLED, {}}) {
      try (MixerTestHarness harness =
          new MixerTestHarness(concatenate(cancelSetting, LONG_DIAL_TIMEOUT))) {
        SlowAcceptSearcher slowSearcher = harness.closeAtEnd(new SlowAcceptSearcher("late", 0));
        startWithMembers(harness, slowSearcher.memberJson("SERVING"));
        MixerTestHarness.Client client = harness.connectClient();
        client.write(harness.scanRequest("search", 2000, 0));
        harness.awaitCount("links dialled", 1);
        client.close();
        harness.awaitCount("clients that left", 1);
        slowSearcher.releaseBacklog();
        assertTrue(receivesNoRequest(slowSearcher.acceptConnection()));
        assertEquals(1, harness.count("trips NOT_SENT"));
      }
    }
  }

  /** Guards against a part that is sent after its scan was answered without it. */
  @Test
  void partWaitingForDialIsNotSentAfterScanIsAnswered() throws Exception {
    for (String[] cancelSetting : new String[][] {CANCEL_DISABLED, {}}) {
      try (MixerTestHarness harness =
          new MixerTestHarness(concatenate(cancelSetting, LONG_DIAL_TIMEOUT))) {
        SlowAcceptSearcher slowSearcher = harness.closeAtEnd(new SlowAcceptSearcher("late", 3));
        MixerTestHarness.Box box = harness.box("box", 1);
        startWithMembers(harness, slowSearcher.memberJson("SERVING"), box.memberJson("SERVING"));
        MixerTestHarness.Client client = harness.connectClient();
        client.write(harness.scanRequest("search", 2000, 0, 2));
        MixerTestHarness.BoxConnection connection = box.acceptConnection();
        connection.answer(connection.readCall(), "done");
        assertTrue(client.readAnswer().startsWith("200 {\"whole\":false"));
        slowSearcher.releaseBacklog();
        assertTrue(receivesNoRequest(slowSearcher.acceptConnection()));
        assertEquals(1, harness.count("trips NOT_SENT"));
      }
    }
  }

  /**
   * Guards against a part that is sent after its scan failed, and so has an effect that no client
   * is waiting for.
   */
  @Test
  void partWaitingForDialIsNotSentAfterScanFails() throws Exception {
    for (String[] cancelSetting : new String[][] {CANCEL_DISABLED, {}}) {
      try (MixerTestHarness harness =
          new MixerTestHarness(concatenate(cancelSetting, LONG_DIAL_TIMEOUT))) {
        SlowAcceptSearcher slowSearcher = harness.closeAtEnd(new SlowAcceptSearcher("late", 0));
        startWithMembers(harness, slowSearcher.memberJson("SERVING"));
        MixerTestHarness.Client client = harness.connectClient();
        client.write(harness.scanRequest("post", 2000, 0));
        assertTrue(client.readAnswer().startsWith("50"));
        slowSearcher.releaseBacklog();
        assertTrue(receivesNoRequest(slowSearcher.acceptConnection()));
        assertEquals(1, harness.count("trips NOT_SENT"));
      }
    }
  }

  private static final String[] LONG_LATENCY_TARGET = {
    "\"AimMs\": 600.0", "\"AimMs\": 2500.0", "\"HardLimitMs\": 2000.0", "\"HardLimitMs\": 3000.0"
  };

  /**
   * A part counts as late after 0.7 s, and a repeat is accepted up to 0.95 s; connections of a
   * {@link SlowAcceptSearcher} are established after 1 s.
   */
  private static final String[] SHORT_IDEMPOTENCY_WINDOW = {
    "\"AimMs\": 600.0", "\"AimMs\": 1400.0", "\"WindowMs\": 5000.0", "\"WindowMs\": 950.0"
  };

  /**
   * Guards against a part of a keyed class that is sent after the idempotency window of its earlier
   * copy, when the searcher no longer recognises it as a repeat; and against a part held back by a
   * window although no copy was sent.
   */
  @Test
  void partWaitingForDialIsNotSentAfterIdempotencyWindowOfItsCopy() throws Exception {
    for (boolean copied : new boolean[] {true, false}) {
      try (MixerTestHarness harness =
          new MixerTestHarness(concatenate(SHORT_IDEMPOTENCY_WINDOW, LONG_DIAL_TIMEOUT))) {
        SlowAcceptSearcher slowSearcher = harness.closeAtEnd(new SlowAcceptSearcher("late", 0));
        MixerTestHarness.DiscoveryConnection watch =
            startWithMembers(harness, slowSearcher.memberJson("SERVING"));
        MixerTestHarness.Client client = harness.connectClient();
        client.write(harness.scanRequest("post", 2000, 0));
        harness.awaitCount("links dialled", 1);
        MixerTestHarness.Box otherBox = harness.box("other", 1);
        if (copied) {
          // a part that is late by half of its time is copied, and its window is as long as that
          watch.sendLine(MixerTestHarness.memberListLine(2, false, otherBox.memberJson("SERVING")));
          assertEquals(1, otherBox.acceptConnection().readCall().partIds().size());
        }
        slowSearcher
            .releaseBacklog(); // the connection is established one or two seconds after the dial
        MixerTestHarness.BoxConnection connection = slowSearcher.acceptConnection();
        if (copied) {
          assertTrue(receivesNoRequest(connection));
          harness.awaitCount("trips NOT_SENT", 1);
        } else {
          connection.answer(connection.readCall(), "done");
          assertTrue(client.readAnswer().startsWith("200"));
        }
      }
    }
  }

  /**
   * Guards against a part that is sent because its deadline is checked against the start of the
   * loop iteration, although the deadline has passed by now.
   */
  @Test
  void partWhoseDeadlinePassesWithinItsIterationIsNotSent() throws Exception {
    try (MixerTestHarness harness = new MixerTestHarness()) {
      MixerTestHarness.Box box = harness.box("b0", 0);
      harness.announceAndAwaitReady(box);
      MixerTestHarness.Client client = harness.connectClient();
      client.write(harness.scanRequest("search", 2000, 0));
      MixerTestHarness.BoxConnection connection = box.acceptConnection();
      connection.answer(connection.readCall(), "done");
      assertTrue(client.readAnswer().startsWith("200"));
      try (MixerTestHarness.LoopGate gate = harness.pauseLoop()) {
        client.write(harness.scanRequest("search", 2000, 0));
        gate.awaitPosted(1);
        Duration deadline = harness.server.loop.currentTime().plusMillis(2100);
        harness.server.loop.post(
            () -> { // the process stalls within the iteration
              while (harness.server.loop.currentTime().compareTo(deadline) < 0) {
                Thread.onSpinWait();
              }
            });
      }
      harness.awaitCount("trips NOT_SENT", 1);
      assertTrue(receivesNoRequest(connection));
    }
  }

  private enum ConcurrentEvent {
    CLIENT_LEAVES,
    SEARCHER_DRAINS,
    SEARCHER_REMOVED,
    SEARCHER_RESTARTED
  }

  /**
   * Guards against a part that is sent on a connection established in the loop iteration in which
   * the part is cancelled or its searcher drains, goes or restarts.
   */
  @Test
  void partIsNotSentOnConnectionEstablishedInIterationThatEndsIt() throws Exception {
    for (ConcurrentEvent event : ConcurrentEvent.values()) {
      for (boolean establishedFirst : new boolean[] {true, false}) {
        try (MixerTestHarness harness =
            new MixerTestHarness(concatenate(LONG_LATENCY_TARGET, LONG_DIAL_TIMEOUT))) {
          SlowAcceptSearcher slowSearcher = harness.closeAtEnd(new SlowAcceptSearcher("late", 0));
          MixerTestHarness.DiscoveryConnection watch =
              startWithMembers(harness, slowSearcher.memberJson("SERVING"));
          MixerTestHarness.Client client = harness.connectClient();
          client.write(harness.scanRequest("search", 2900, 0));
          harness.awaitCount("links dialled", 1);
          harness.runIterations(3);
          try (MixerTestHarness.LoopGate gate = harness.pauseLoop()) {
            int postedBefore = gate.postedCount();
            if (establishedFirst) {
              slowSearcher.releaseBacklog();
              gate.awaitPosted(postedBefore + 1);
            }
            switch (event) {
              case CLIENT_LEAVES -> client.close();
              case SEARCHER_DRAINS ->
                  watch.sendLine(
                      MixerTestHarness.memberListLine(
                          2, false, slowSearcher.memberJson("DRAINING")));
              case SEARCHER_REMOVED -> watch.sendLine(MixerTestHarness.memberListLine(2, true));
              case SEARCHER_RESTARTED ->
                  watch.sendLine(
                      MixerTestHarness.memberListLine(
                          2,
                          false,
                          slowSearcher
                              .memberJson("SERVING")
                              .replace(
                                  "\"up_since_ms\":0",
                                  "\"up_since_ms\":" + System.currentTimeMillis())));
            }
            gate.awaitPosted(postedBefore + (establishedFirst ? 2 : 1));
            if (!establishedFirst) {
              slowSearcher.releaseBacklog();
              gate.awaitPosted(postedBefore + 2);
            }
          }
          String description = event + ", established first: " + establishedFirst;
          MixerTestHarness.BoxConnection connection = slowSearcher.acceptConnection();
          if (event == ConcurrentEvent.SEARCHER_REMOVED
              || event == ConcurrentEvent.SEARCHER_RESTARTED) {
            connection.awaitEnd(); // the mixer closes its side too
          } else {
            assertTrue(receivesNoRequest(connection), description);
          }
          harness.awaitCount("trips NOT_SENT", 1);
          assertEquals(0, harness.count("trips UNREACHABLE"), description);
          assertEquals(0, harness.count("trips BROKEN"), description);
          if (event != ConcurrentEvent.CLIENT_LEAVES) {
            assertTrue(client.readAnswer().startsWith("503"), description);
          }
        }
      }
    }
  }

  private static String scan(
      MixerTestHarness harness, int deadlineMs, int queryLength, int partition) {
    String body =
        "{\"targets\":[{\"partition\":"
            + partition
            + ",\"share\":1}],\"query\":\""
            + "x".repeat(queryLength)
            + "\"}";
    String head = harness.scanRequest("search", deadlineMs, partition);
    return head.substring(0, head.indexOf("Content-Length"))
        + "Content-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  /**
   * Guards against calls that wait for a searcher that does not read, and are written after the
   * searcher began to drain.
   */
  @Test
  void unwrittenRequestsAreHeldBackOnceSearcherDrains() throws Exception {
    try (MixerTestHarness harness =
        new MixerTestHarness(
            concatenate(
                LONG_LATENCY_TARGET,
                LONG_DIAL_TIMEOUT,
                new String[] {
                  "\"MostHeld\": 60",
                  "\"MostHeld\": 900",
                  "\"SecondCopies\": true",
                  "\"SecondCopies\": false",
                  "\"StreamsPerConn\": 32",
                  "\"StreamsPerConn\": 900",
                  "\"Cancel\": true",
                  "\"Cancel\": false"
                }))) {
      SlowAcceptSearcher box =
          harness.closeAtEnd(SlowAcceptSearcher.withSmallReceiveBuffer("box", 0));
      MixerTestHarness.DiscoveryConnection watch =
          startWithMembers(harness, box.memberJson("SERVING"));
      int largeRequests = 80; // more than the kernel buffers
      int smallRequests = 10; // these few bytes would still fit
      for (int i = 0; i < largeRequests + smallRequests; i++) {
        harness.connectClient().write(scan(harness, 2900, i < largeRequests ? 60_000 : 100, 0));
        if (i == largeRequests - 1) {
          harness.awaitCount("scans taken", largeRequests);
          harness.runIterations(3);
        }
      }
      harness.awaitCount("scans taken", largeRequests + smallRequests);
      harness.runIterations(3);
      long rejected = harness.count("nacks"); // some are rejected on an overloaded machine
      watch.sendLine(MixerTestHarness.memberListLine(2, false, box.memberJson("DRAINING")));
      harness.awaitCount("trips NOT_SENT", 1);
      harness.runIterations(3);
      long heldBack = harness.count("trips NOT_SENT");
      MixerTestHarness.BoxConnection connection = box.acceptConnection();
      for (int partsReceived = 0;
          partsReceived < largeRequests + smallRequests - heldBack - rejected; ) {
        MixerTestHarness.Frame request = connection.readCall();
        partsReceived += request.partIds().size();
        assertTrue(
            request.payload().length > 60_000, "a small request was sent although it came last");
      }
      assertTrue(receivesNoRequest(connection), heldBack + " were held back");
    }
  }

  /** Guards against settings under which every connection counts as idle for too long. */
  @Test
  void connectionIsReusedWhenIdleTimeoutIsBelowDialTimeout() throws Exception {
    try (MixerTestHarness harness =
        new MixerTestHarness(
            "\"DialTimeoutMs\": 250.0",
            "\"DialTimeoutMs\": 8000.0",
            "\"ConnIdleMs\": 30000.0",
            "\"ConnIdleMs\": 6000.0")) {
      MixerTestHarness.Box box = harness.box("box", 0);
      startWithMembers(harness, box.memberJson("SERVING"));
      MixerTestHarness.Client client = harness.connectClient();
      client.write(harness.scanRequest("search", 2000, 0));
      MixerTestHarness.BoxConnection connection = box.acceptConnection();
      for (int i = 0; i < 3; i++) {
        connection.answer(connection.readCall(), "done");
        assertTrue(client.readAnswer().startsWith("200"));
        client.write(harness.scanRequest("search", 2000, 0));
      }
      connection.answer(connection.readCall(), "done");
      assertTrue(client.readAnswer().startsWith("200"));
      assertEquals(1, harness.count("links dialled"));
    }
  }

  /**
   * Guards against a storm of handshakes at a searcher whose connections take longer to establish
   * than the dial timeout.
   */
  @Test
  void connectionEstablishedAfterDialTimeoutServesNextPart() throws Exception {
    try (MixerTestHarness harness = new MixerTestHarness()) {
      SlowAcceptSearcher slowSearcher = harness.closeAtEnd(new SlowAcceptSearcher("late", 0));
      startWithMembers(harness, slowSearcher.memberJson("SERVING"));
      MixerTestHarness.Client client = harness.connectClient();
      client.write(harness.scanRequest("search", 2000, 0));
      assertTrue(client.readAnswer().startsWith("503"));
      assertEquals(1, harness.count("trips UNREACHABLE"));
      slowSearcher.releaseBacklog();
      MixerTestHarness.BoxConnection connection = slowSearcher.acceptConnection();
      assertTrue(receivesNoRequest(connection)); // the part that waited for it was sent elsewhere
      client.write(harness.scanRequest("search", 2000, 0));
      connection.answer(connection.readCall(), "done");
      assertTrue(client.readAnswer().startsWith("200"));
      assertEquals(1, harness.count("links dialled"));
    }
  }

  /**
   * Guards against a storm of handshakes at a searcher whose connections are established late, and
   * against a searcher that is never reached again because all dials that may be in progress are
   * late: the oldest dial is replaced by the next.
   */
  @Test
  void oldestOfTwoLateDialsIsReplacedByNextDial() throws Exception {
    try (MixerTestHarness harness = new MixerTestHarness()) {
      SlowAcceptSearcher slowSearcher = harness.closeAtEnd(new SlowAcceptSearcher("late", 0));
      startWithMembers(harness, slowSearcher.memberJson("SERVING"));
      MixerTestHarness.Client client = harness.connectClient();
      for (int expectedDials = 1; expectedDials <= 2; expectedDials++) {
        client.write(harness.scanRequest("search", 2000, 0));
        assertTrue(client.readAnswer().startsWith("50"));
        assertEquals(expectedDials, harness.count("links dialled"));
      }
      harness.awaitCount("links dialled", 3); // by the probe that ends an ejection
      AtomicInteger openConnections = new AtomicInteger();
      harness.runInLoop(() -> openConnections.set(harness.server.network().connectionCount()));
      assertEquals(4, openConnections.get()); // discovery, the client and two dials
      slowSearcher.releaseBacklog();
      MixerTestHarness.BoxConnection connection = slowSearcher.acceptConnection();
      Thread responder =
          new Thread(
              () -> {
                try {
                  while (true) {
                    connection.answer(connection.readCall(), "done");
                  }
                } catch (IOException e) {
                  // the test is over
                }
              },
              "searcher");
      responder.setDaemon(true);
      responder.start();
      MixerTestHarness.await(
          "a successful scan",
          () -> {
            try {
              client.write(harness.scanRequest("search", 2000, 0));
              return client.readAnswer().startsWith("200");
            } catch (IOException e) {
              throw new AssertionError(e);
            }
          });
    }
  }
}
