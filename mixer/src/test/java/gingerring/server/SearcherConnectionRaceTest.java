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

/** Events at searchers' connections that cross others, in both orders: see docs/crossings.md. */
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

  private static Rig.Call startWithMembers(Rig harness, String... members) throws Exception {
    Rig.Call watch = harness.agent.watch();
    watch.say(Rig.list(1, true, members));
    harness.ready();
    return watch;
  }

  /** Nothing but probes comes for a while. */
  private static boolean receivesNoRequest(Rig.Link link) throws IOException {
    link.socket.setSoTimeout(NO_TRAFFIC_WAIT_MS);
    try {
      link.call();
      return false;
    } catch (SocketTimeoutException e) {
      return true;
    } finally {
      link.socket.setSoTimeout(Rig.WAIT_MS);
    }
  }

  /**
   * Guards against a part that is sent for a client that left while its connection was coming up.
   */
  @Test
  void partWaitingForDialIsNotSentAfterClientLeaves() throws Exception {
    for (String[] cancelSetting : new String[][] {CANCEL_DISABLED, {}}) {
      try (Rig harness = new Rig(concatenate(cancelSetting, LONG_DIAL_TIMEOUT))) {
        SlowAcceptSearcher slowSearcher = harness.keep(new SlowAcceptSearcher("late", 0));
        startWithMembers(harness, slowSearcher.member("SERVING"));
        Rig.Client client = harness.client();
        client.write(harness.scan("search", 2000, 0));
        harness.awaitCount("links dialled", 1);
        client.close();
        harness.awaitCount("clients that left", 1);
        slowSearcher.releaseBacklog();
        assertTrue(receivesNoRequest(slowSearcher.link()));
        assertEquals(1, harness.count("trips NOT_SENT"));
      }
    }
  }

  /** Guards against a part that is sent after its scan was answered without it. */
  @Test
  void partWaitingForDialIsNotSentAfterScanIsAnswered() throws Exception {
    for (String[] cancelSetting : new String[][] {CANCEL_DISABLED, {}}) {
      try (Rig harness = new Rig(concatenate(cancelSetting, LONG_DIAL_TIMEOUT))) {
        SlowAcceptSearcher slowSearcher = harness.keep(new SlowAcceptSearcher("late", 3));
        Rig.Box box = harness.box("box", 1);
        startWithMembers(harness, slowSearcher.member("SERVING"), box.member("SERVING"));
        Rig.Client client = harness.client();
        client.write(harness.scan("search", 2000, 0, 2));
        Rig.Link link = box.link();
        link.answer(link.call(), "done");
        assertTrue(client.answer().startsWith("200 {\"whole\":false"));
        slowSearcher.releaseBacklog();
        assertTrue(receivesNoRequest(slowSearcher.link()));
        assertEquals(1, harness.count("trips NOT_SENT"));
      }
    }
  }

  /**
   * Guards against a part that is sent after its scan was given up, and has its effect for nobody.
   */
  @Test
  void partWaitingForDialIsNotSentAfterScanFails() throws Exception {
    for (String[] cancelSetting : new String[][] {CANCEL_DISABLED, {}}) {
      try (Rig harness = new Rig(concatenate(cancelSetting, LONG_DIAL_TIMEOUT))) {
        SlowAcceptSearcher slowSearcher = harness.keep(new SlowAcceptSearcher("late", 0));
        startWithMembers(harness, slowSearcher.member("SERVING"));
        Rig.Client client = harness.client();
        client.write(harness.scan("post", 2000, 0));
        assertTrue(client.answer().startsWith("50"));
        slowSearcher.releaseBacklog();
        assertTrue(receivesNoRequest(slowSearcher.link()));
        assertEquals(1, harness.count("trips NOT_SENT"));
      }
    }
  }

  private static final String[] LONG_LATENCY_TARGET = {
    "\"AimMs\": 600.0", "\"AimMs\": 2500.0", "\"HardLimitMs\": 2000.0", "\"HardLimitMs\": 3000.0"
  };

  /**
   * Late is what is out for 0.7 s, and a repeat is one up to 0.95 s; connections that are late come
   * up after 1 s.
   */
  private static final String[] SHORT_IDEMPOTENCY_WINDOW = {
    "\"AimMs\": 600.0", "\"AimMs\": 1400.0", "\"WindowMs\": 5000.0", "\"WindowMs\": 950.0"
  };

  /**
   * Guards against a part of a numbered class that begins where it would be taken for another than
   * its copy, which began before it; and against one kept back by a window that nothing has opened.
   */
  @Test
  void partWaitingForDialIsNotSentAfterIdempotencyWindowOfItsCopy() throws Exception {
    for (boolean copied : new boolean[] {true, false}) {
      try (Rig harness = new Rig(concatenate(SHORT_IDEMPOTENCY_WINDOW, LONG_DIAL_TIMEOUT))) {
        SlowAcceptSearcher slowSearcher = harness.keep(new SlowAcceptSearcher("late", 0));
        Rig.Call watch = startWithMembers(harness, slowSearcher.member("SERVING"));
        Rig.Client client = harness.client();
        client.write(harness.scan("post", 2000, 0));
        harness.awaitCount("links dialled", 1);
        Rig.Box otherBox = harness.box("other", 1);
        if (copied) {
          // what is late by half of its time is copied, and its window is as long as that
          watch.say(Rig.list(2, false, otherBox.member("SERVING")));
          assertEquals(1, otherBox.link().call().parts().size());
        }
        slowSearcher.releaseBacklog(); // it comes up a second after it was dialled, or two
        Rig.Link link = slowSearcher.link();
        if (copied) {
          assertTrue(receivesNoRequest(link));
          harness.awaitCount("trips NOT_SENT", 1);
        } else {
          link.answer(link.call(), "done");
          assertTrue(client.answer().startsWith("200"));
        }
      }
    }
  }

  /**
   * Guards against a part that is put by the time at which its turn began, though its own is over
   * by now.
   */
  @Test
  void partWhoseDeadlinePassesWithinItsTurnIsNotSent() throws Exception {
    try (Rig harness = new Rig()) {
      Rig.Box box = harness.box("b0", 0);
      harness.begin(box);
      Rig.Client client = harness.client();
      client.write(harness.scan("search", 2000, 0));
      Rig.Link link = box.link();
      link.answer(link.call(), "done");
      assertTrue(client.answer().startsWith("200"));
      try (Rig.Gate gate = harness.hold()) {
        client.write(harness.scan("search", 2000, 0));
        gate.posted(1);
        Duration deadline = harness.serve.loop.clock().plusMillis(2100);
        harness.serve.loop.post(
            () -> { // the process stands still within the turn
              while (harness.serve.loop.clock().compareTo(deadline) < 0) {
                Thread.onSpinWait();
              }
            });
      }
      harness.awaitCount("trips NOT_SENT", 1);
      assertTrue(receivesNoRequest(link));
    }
  }

  private enum ConcurrentEvent {
    CLIENT_LEAVES,
    SEARCHER_DRAINS,
    SEARCHER_REMOVED,
    SEARCHER_RESTARTED
  }

  /**
   * Guards against a part whose connection comes up in the very turn in which nobody wants it there
   * any more.
   */
  @Test
  void partIsNotSentOnConnectionEstablishedInTurnThatEndsIt() throws Exception {
    for (ConcurrentEvent event : ConcurrentEvent.values()) {
      for (boolean establishedFirst : new boolean[] {true, false}) {
        try (Rig harness = new Rig(concatenate(LONG_LATENCY_TARGET, LONG_DIAL_TIMEOUT))) {
          SlowAcceptSearcher slowSearcher = harness.keep(new SlowAcceptSearcher("late", 0));
          Rig.Call watch = startWithMembers(harness, slowSearcher.member("SERVING"));
          Rig.Client client = harness.client();
          client.write(harness.scan("search", 2900, 0));
          harness.awaitCount("links dialled", 1);
          harness.turns(3);
          try (Rig.Gate gate = harness.hold()) {
            int postedBefore = gate.posted();
            if (establishedFirst) {
              slowSearcher.releaseBacklog();
              gate.posted(postedBefore + 1);
            }
            switch (event) {
              case CLIENT_LEAVES -> client.close();
              case SEARCHER_DRAINS ->
                  watch.say(Rig.list(2, false, slowSearcher.member("DRAINING")));
              case SEARCHER_REMOVED -> watch.say(Rig.list(2, true));
              case SEARCHER_RESTARTED ->
                  watch.say(
                      Rig.list(
                          2,
                          false,
                          slowSearcher
                              .member("SERVING")
                              .replace(
                                  "\"up_since_ms\":0",
                                  "\"up_since_ms\":" + System.currentTimeMillis())));
            }
            gate.posted(postedBefore + (establishedFirst ? 2 : 1));
            if (!establishedFirst) {
              slowSearcher.releaseBacklog();
              gate.posted(postedBefore + 2);
            }
          }
          String description = event + ", up first: " + establishedFirst;
          Rig.Link link = slowSearcher.link();
          if (event == ConcurrentEvent.SEARCHER_REMOVED
              || event == ConcurrentEvent.SEARCHER_RESTARTED) {
            link.end(); // the mixer closes its end too
          } else {
            assertTrue(receivesNoRequest(link), description);
          }
          harness.awaitCount("trips NOT_SENT", 1);
          assertEquals(0, harness.count("trips UNREACHABLE"), description);
          assertEquals(0, harness.count("trips BROKEN"), description);
          if (event != ConcurrentEvent.CLIENT_LEAVES) {
            assertTrue(client.answer().startsWith("503"), description);
          }
        }
      }
    }
  }

  private static String scan(Rig harness, int deadlineMs, int queryLength, int partition) {
    String body =
        "{\"targets\":[{\"partition\":"
            + partition
            + ",\"share\":1}],\"query\":\""
            + "x".repeat(queryLength)
            + "\"}";
    String head = harness.scan("search", deadlineMs, partition);
    return head.substring(0, head.indexOf("Content-Length"))
        + "Content-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  /**
   * Guards against calls that wait behind a searcher that does not read, and leave after it began
   * to drain.
   */
  @Test
  void unwrittenRequestsAreHeldBackOnceSearcherDrains() throws Exception {
    try (Rig harness =
        new Rig(
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
      SlowAcceptSearcher box = harness.keep(SlowAcceptSearcher.withSmallReceiveBuffer("box", 0));
      Rig.Call watch = startWithMembers(harness, box.member("SERVING"));
      int largeRequests = 80; // more than the kernel takes for it
      int smallRequests = 10; // room for so few bytes there would be
      for (int i = 0; i < largeRequests + smallRequests; i++) {
        harness.client().write(scan(harness, 2900, i < largeRequests ? 60_000 : 100, 0));
        if (i == largeRequests - 1) {
          harness.awaitCount("scans taken", largeRequests);
          harness.turns(3);
        }
      }
      harness.awaitCount("scans taken", largeRequests + smallRequests);
      harness.turns(3);
      long rejected = harness.count("nacks"); // on a machine that is too busy
      watch.say(Rig.list(2, false, box.member("DRAINING")));
      harness.awaitCount("trips NOT_SENT", 1);
      harness.turns(3);
      long heldBack = harness.count("trips NOT_SENT");
      Rig.Link link = box.link();
      for (int partsReceived = 0;
          partsReceived < largeRequests + smallRequests - heldBack - rejected; ) {
        Rig.Frame request = link.call();
        partsReceived += request.parts().size();
        assertTrue(request.rest().length > 60_000, "the small ones came last");
      }
      assertTrue(receivesNoRequest(link), heldBack + " were kept back");
    }
  }

  /** Guards against settings by which every connection counts as idle for too long. */
  @Test
  void connectionIsReusedWhenIdleTimeoutIsBelowDialTimeout() throws Exception {
    try (Rig harness =
        new Rig(
            "\"DialTimeoutMs\": 250.0",
            "\"DialTimeoutMs\": 8000.0",
            "\"ConnIdleMs\": 30000.0",
            "\"ConnIdleMs\": 6000.0")) {
      Rig.Box box = harness.box("box", 0);
      startWithMembers(harness, box.member("SERVING"));
      Rig.Client client = harness.client();
      client.write(harness.scan("search", 2000, 0));
      Rig.Link link = box.link();
      for (int i = 0; i < 3; i++) {
        link.answer(link.call(), "done");
        assertTrue(client.answer().startsWith("200"));
        client.write(harness.scan("search", 2000, 0));
      }
      link.answer(link.call(), "done");
      assertTrue(client.answer().startsWith("200"));
      assertEquals(1, harness.count("links dialled"));
    }
  }

  /**
   * Guards against a storm of handshakes at a searcher whose connections come up later than a dial
   * may take.
   */
  @Test
  void connectionEstablishedAfterDialTimeoutServesNextPart() throws Exception {
    try (Rig harness = new Rig()) {
      SlowAcceptSearcher slowSearcher = harness.keep(new SlowAcceptSearcher("late", 0));
      startWithMembers(harness, slowSearcher.member("SERVING"));
      Rig.Client client = harness.client();
      client.write(harness.scan("search", 2000, 0));
      assertTrue(client.answer().startsWith("503"));
      assertEquals(1, harness.count("trips UNREACHABLE"));
      slowSearcher.releaseBacklog();
      Rig.Link link = slowSearcher.link();
      assertTrue(receivesNoRequest(link)); // the part that waited for it has gone elsewhere
      client.write(harness.scan("search", 2000, 0));
      link.answer(link.call(), "done");
      assertTrue(client.answer().startsWith("200"));
      assertEquals(1, harness.count("links dialled"));
    }
  }

  /**
   * Guards against a storm of handshakes at a searcher whose connections come up late, and against
   * one of which nothing more is heard as all dials that may be under way are late: the oldest
   * makes room for the next.
   */
  @Test
  void oldestOfTwoLateDialsIsReplacedByNextDial() throws Exception {
    try (Rig harness = new Rig()) {
      SlowAcceptSearcher slowSearcher = harness.keep(new SlowAcceptSearcher("late", 0));
      startWithMembers(harness, slowSearcher.member("SERVING"));
      Rig.Client client = harness.client();
      for (int expectedDials = 1; expectedDials <= 2; expectedDials++) {
        client.write(harness.scan("search", 2000, 0));
        assertTrue(client.answer().startsWith("50"));
        assertEquals(expectedDials, harness.count("links dialled"));
      }
      harness.awaitCount("links dialled", 3); // by the probe that ends a bench
      AtomicInteger openConnections = new AtomicInteger();
      harness.inLoop(() -> openConnections.set(harness.serve.network().connections()));
      assertEquals(4, openConnections.get()); // discovery, the client, and two dials
      slowSearcher.releaseBacklog();
      Rig.Link link = slowSearcher.link();
      Thread responder =
          new Thread(
              () -> {
                try {
                  while (true) {
                    link.answer(link.call(), "done");
                  }
                } catch (IOException e) {
                  // the test is over
                }
              },
              "searcher");
      responder.setDaemon(true);
      responder.start();
      Rig.await(
          "a scan that is served",
          () -> {
            try {
              client.write(harness.scan("search", 2000, 0));
              return client.answer().startsWith("200");
            } catch (IOException e) {
              throw new AssertionError(e);
            }
          });
    }
  }
}
