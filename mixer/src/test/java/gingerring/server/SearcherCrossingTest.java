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
class SearcherCrossingTest {
  private static final int SOON_MS = 300;
  private static final String[] NO_CANCEL = {"\"Cancel\": true", "\"Cancel\": false"};
  private static final String[] PATIENT_DIALS = {
    "\"DialTimeoutMs\": 250.0", "\"DialTimeoutMs\": 9000.0"
  };

  private static String[] swaps(String[]... all) {
    return Arrays.stream(all).flatMap(Arrays::stream).toArray(String[]::new);
  }

  private static MixerTestHarness.DiscoveryConnection begin(MixerTestHarness rig, String... members)
      throws Exception {
    MixerTestHarness.DiscoveryConnection watch = rig.agent.acceptWatch();
    watch.sendLine(MixerTestHarness.memberListLine(1, true, members));
    rig.awaitReady();
    return watch;
  }

  /** Nothing but probes comes for a while. */
  private static boolean noCall(MixerTestHarness.BoxConnection link) throws IOException {
    link.socket.setSoTimeout(SOON_MS);
    try {
      link.readCall();
      return false;
    } catch (SocketTimeoutException e) {
      return true;
    } finally {
      link.socket.setSoTimeout(MixerTestHarness.TIMEOUT_MS);
    }
  }

  /**
   * Guards against a part that is sent for a client that left while its connection was coming up.
   */
  @Test
  void aPartThatWaitsForADialIsNotSentOnceItsClientHasLeft() throws Exception {
    for (String[] cancel : new String[][] {NO_CANCEL, {}}) {
      try (MixerTestHarness rig = new MixerTestHarness(swaps(cancel, PATIENT_DIALS))) {
        Late late = rig.closeAtEnd(new Late("late", 0));
        begin(rig, late.member("SERVING"));
        MixerTestHarness.Client client = rig.connectClient();
        client.write(rig.scanRequest("search", 2000, 0));
        rig.awaitCount("links dialled", 1);
        client.close();
        rig.awaitCount("clients that left", 1);
        late.letGo();
        assertTrue(noCall(late.link()));
        assertEquals(1, rig.count("trips NOT_SENT"));
      }
    }
  }

  /** Guards against a part that is sent after its scan was answered without it. */
  @Test
  void aPartThatWaitsForADialIsNotSentOnceItsScanIsAnswered() throws Exception {
    for (String[] cancel : new String[][] {NO_CANCEL, {}}) {
      try (MixerTestHarness rig = new MixerTestHarness(swaps(cancel, PATIENT_DIALS))) {
        Late late = rig.closeAtEnd(new Late("late", 3));
        MixerTestHarness.Box box = rig.box("box", 1);
        begin(rig, late.member("SERVING"), box.memberJson("SERVING"));
        MixerTestHarness.Client client = rig.connectClient();
        client.write(rig.scanRequest("search", 2000, 0, 2));
        MixerTestHarness.BoxConnection link = box.acceptConnection();
        link.answer(link.readCall(), "done");
        assertTrue(client.readAnswer().startsWith("200 {\"whole\":false"));
        late.letGo();
        assertTrue(noCall(late.link()));
        assertEquals(1, rig.count("trips NOT_SENT"));
      }
    }
  }

  /**
   * Guards against a part that is sent after its scan was given up, and has its effect for nobody.
   */
  @Test
  void aPartThatWaitsForADialIsNotSentOnceItsScanIsGivenUp() throws Exception {
    for (String[] cancel : new String[][] {NO_CANCEL, {}}) {
      try (MixerTestHarness rig = new MixerTestHarness(swaps(cancel, PATIENT_DIALS))) {
        Late late = rig.closeAtEnd(new Late("late", 0));
        begin(rig, late.member("SERVING"));
        MixerTestHarness.Client client = rig.connectClient();
        client.write(rig.scanRequest("post", 2000, 0));
        assertTrue(client.readAnswer().startsWith("50"));
        late.letGo();
        assertTrue(noCall(late.link()));
        assertEquals(1, rig.count("trips NOT_SENT"));
      }
    }
  }

  private static final String[] LONG_AIM = {
    "\"AimMs\": 600.0", "\"AimMs\": 2500.0", "\"HardLimitMs\": 2000.0", "\"HardLimitMs\": 3000.0"
  };

  /**
   * Late is what is out for 0.7 s, and a repeat is one up to 0.95 s; connections that are late come
   * up after 1 s.
   */
  private static final String[] SHORT_WINDOW = {
    "\"AimMs\": 600.0", "\"AimMs\": 1400.0", "\"WindowMs\": 5000.0", "\"WindowMs\": 950.0"
  };

  /**
   * Guards against a part of a numbered class that begins where it would be taken for another than
   * its copy, which began before it; and against one kept back by a window that nothing has opened.
   */
  @Test
  void aPartThatWaitsForADialIsNotSentPastItsCopysWindow() throws Exception {
    for (boolean copied : new boolean[] {true, false}) {
      try (MixerTestHarness rig = new MixerTestHarness(swaps(SHORT_WINDOW, PATIENT_DIALS))) {
        Late late = rig.closeAtEnd(new Late("late", 0));
        MixerTestHarness.DiscoveryConnection watch = begin(rig, late.member("SERVING"));
        MixerTestHarness.Client client = rig.connectClient();
        client.write(rig.scanRequest("post", 2000, 0));
        rig.awaitCount("links dialled", 1);
        MixerTestHarness.Box other = rig.box("other", 1);
        if (copied) {
          // what is late by half of its time is copied, and its window is as long as that
          watch.sendLine(MixerTestHarness.memberListLine(2, false, other.memberJson("SERVING")));
          assertEquals(1, other.acceptConnection().readCall().partIds().size());
        }
        late.letGo(); // it comes up a second after it was dialled, or two
        MixerTestHarness.BoxConnection link = late.link();
        if (copied) {
          assertTrue(noCall(link));
          rig.awaitCount("trips NOT_SENT", 1);
        } else {
          link.answer(link.readCall(), "done");
          assertTrue(client.readAnswer().startsWith("200"));
        }
      }
    }
  }

  /**
   * Guards against a part that is put by the time at which its turn began, though its own is over
   * by now.
   */
  @Test
  void aPartIsNotSentOnceItsTimeHasPassedWithinTheTurnThatTookIt() throws Exception {
    try (MixerTestHarness rig = new MixerTestHarness()) {
      MixerTestHarness.Box box = rig.box("b0", 0);
      rig.announceAndAwaitReady(box);
      MixerTestHarness.Client client = rig.connectClient();
      client.write(rig.scanRequest("search", 2000, 0));
      MixerTestHarness.BoxConnection link = box.acceptConnection();
      link.answer(link.readCall(), "done");
      assertTrue(client.readAnswer().startsWith("200"));
      try (MixerTestHarness.LoopGate gate = rig.pauseLoop()) {
        client.write(rig.scanRequest("search", 2000, 0));
        gate.awaitPosted(1);
        Duration over = rig.server.loop.currentTime().plusMillis(2100);
        rig.server.loop.post(
            () -> { // the process stands still within the turn
              while (rig.server.loop.currentTime().compareTo(over) < 0) {
                Thread.onSpinWait();
              }
            });
      }
      rig.awaitCount("trips NOT_SENT", 1);
      assertTrue(noCall(link));
    }
  }

  private enum While {
    LEAVES,
    DRAINS,
    GOES,
    STARTED_ANEW
  }

  /**
   * Guards against a part whose connection comes up in the very turn in which nobody wants it there
   * any more.
   */
  @Test
  void aPartIsNotSentByAConnectionThatComesUpInTheTurnThatEndsIt() throws Exception {
    for (While event : While.values()) {
      for (boolean upFirst : new boolean[] {true, false}) {
        try (MixerTestHarness rig = new MixerTestHarness(swaps(LONG_AIM, PATIENT_DIALS))) {
          Late late = rig.closeAtEnd(new Late("late", 0));
          MixerTestHarness.DiscoveryConnection watch = begin(rig, late.member("SERVING"));
          MixerTestHarness.Client client = rig.connectClient();
          client.write(rig.scanRequest("search", 2900, 0));
          rig.awaitCount("links dialled", 1);
          rig.runIterations(3);
          try (MixerTestHarness.LoopGate gate = rig.pauseLoop()) {
            int before = gate.postedCount();
            if (upFirst) {
              late.letGo();
              gate.awaitPosted(before + 1);
            }
            switch (event) {
              case LEAVES -> client.close();
              case DRAINS ->
                  watch.sendLine(
                      MixerTestHarness.memberListLine(2, false, late.member("DRAINING")));
              case GOES -> watch.sendLine(MixerTestHarness.memberListLine(2, true));
              case STARTED_ANEW ->
                  watch.sendLine(
                      MixerTestHarness.memberListLine(
                          2,
                          false,
                          late.member("SERVING")
                              .replace(
                                  "\"up_since_ms\":0",
                                  "\"up_since_ms\":" + System.currentTimeMillis())));
            }
            gate.awaitPosted(before + (upFirst ? 2 : 1));
            if (!upFirst) {
              late.letGo();
              gate.awaitPosted(before + 2);
            }
          }
          String what = event + ", up first: " + upFirst;
          MixerTestHarness.BoxConnection link = late.link();
          if (event == While.GOES || event == While.STARTED_ANEW) {
            link.awaitEnd(); // the mixer closes its end too
          } else {
            assertTrue(noCall(link), what);
          }
          rig.awaitCount("trips NOT_SENT", 1);
          assertEquals(0, rig.count("trips UNREACHABLE"), what);
          assertEquals(0, rig.count("trips BROKEN"), what);
          if (event != While.LEAVES) {
            assertTrue(client.readAnswer().startsWith("503"), what);
          }
        }
      }
    }
  }

  private static String scan(MixerTestHarness rig, int patienceMs, int queryLength, int shard) {
    String body =
        "{\"targets\":[{\"partition\":"
            + shard
            + ",\"share\":1}],\"query\":\""
            + "x".repeat(queryLength)
            + "\"}";
    String head = rig.scanRequest("search", patienceMs, shard);
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
  void whatASearcherDoesNotReadIsKeptBackOnceItDrains() throws Exception {
    try (MixerTestHarness rig =
        new MixerTestHarness(
            swaps(
                LONG_AIM,
                PATIENT_DIALS,
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
      Late box = rig.closeAtEnd(Late.narrow("box", 0));
      MixerTestHarness.DiscoveryConnection watch = begin(rig, box.member("SERVING"));
      int large = 80; // more than the kernel takes for it
      int small = 10; // room for so few bytes there would be
      for (int i = 0; i < large + small; i++) {
        rig.connectClient().write(scan(rig, 2900, i < large ? 60_000 : 100, 0));
        if (i == large - 1) {
          rig.awaitCount("scans taken", large);
          rig.runIterations(3);
        }
      }
      rig.awaitCount("scans taken", large + small);
      rig.runIterations(3);
      long refused = rig.count("nacks"); // on a machine that is too busy
      watch.sendLine(MixerTestHarness.memberListLine(2, false, box.member("DRAINING")));
      rig.awaitCount("trips NOT_SENT", 1);
      rig.runIterations(3);
      long kept = rig.count("trips NOT_SENT");
      MixerTestHarness.BoxConnection link = box.link();
      for (int parts = 0; parts < large + small - kept - refused; ) {
        MixerTestHarness.Frame call = link.readCall();
        parts += call.partIds().size();
        assertTrue(call.payload().length > 60_000, "the small ones came last");
      }
      assertTrue(noCall(link), kept + " were kept back");
    }
  }

  /** Guards against settings by which every connection counts as idle for too long. */
  @Test
  void aConnectionIsUsedAgainWhereItsIdleTimeIsUnderADialsTime() throws Exception {
    try (MixerTestHarness rig =
        new MixerTestHarness(
            "\"DialTimeoutMs\": 250.0",
            "\"DialTimeoutMs\": 8000.0",
            "\"ConnIdleMs\": 30000.0",
            "\"ConnIdleMs\": 6000.0")) {
      MixerTestHarness.Box box = rig.box("box", 0);
      begin(rig, box.memberJson("SERVING"));
      MixerTestHarness.Client client = rig.connectClient();
      client.write(rig.scanRequest("search", 2000, 0));
      MixerTestHarness.BoxConnection link = box.acceptConnection();
      for (int i = 0; i < 3; i++) {
        link.answer(link.readCall(), "done");
        assertTrue(client.readAnswer().startsWith("200"));
        client.write(rig.scanRequest("search", 2000, 0));
      }
      link.answer(link.readCall(), "done");
      assertTrue(client.readAnswer().startsWith("200"));
      assertEquals(1, rig.count("links dialled"));
    }
  }

  /**
   * Guards against a storm of handshakes at a searcher whose connections come up later than a dial
   * may take.
   */
  @Test
  void aConnectionThatComesUpAfterItsTimeIsUsedByTheNextPart() throws Exception {
    try (MixerTestHarness rig = new MixerTestHarness()) {
      Late late = rig.closeAtEnd(new Late("late", 0));
      begin(rig, late.member("SERVING"));
      MixerTestHarness.Client client = rig.connectClient();
      client.write(rig.scanRequest("search", 2000, 0));
      assertTrue(client.readAnswer().startsWith("503"));
      assertEquals(1, rig.count("trips UNREACHABLE"));
      late.letGo();
      MixerTestHarness.BoxConnection link = late.link();
      assertTrue(noCall(link)); // the part that waited for it has gone elsewhere
      client.write(rig.scanRequest("search", 2000, 0));
      link.answer(link.readCall(), "done");
      assertTrue(client.readAnswer().startsWith("200"));
      assertEquals(1, rig.count("links dialled"));
    }
  }

  /**
   * Guards against a storm of handshakes at a searcher whose connections come up late, and against
   * one of which nothing more is heard as all dials that may be under way are late: the oldest
   * makes room for the next.
   */
  @Test
  void theOldestOfTwoLateDialsMakesRoomForTheNext() throws Exception {
    try (MixerTestHarness rig = new MixerTestHarness()) {
      Late late = rig.closeAtEnd(new Late("late", 0));
      begin(rig, late.member("SERVING"));
      MixerTestHarness.Client client = rig.connectClient();
      for (int dials = 1; dials <= 2; dials++) {
        client.write(rig.scanRequest("search", 2000, 0));
        assertTrue(client.readAnswer().startsWith("50"));
        assertEquals(dials, rig.count("links dialled"));
      }
      rig.awaitCount("links dialled", 3); // by the probe that ends a bench
      AtomicInteger open = new AtomicInteger();
      rig.runInLoop(() -> open.set(rig.server.network().connectionCount()));
      assertEquals(4, open.get()); // discovery, the client, and two dials
      late.letGo();
      MixerTestHarness.BoxConnection link = late.link();
      Thread answers =
          new Thread(
              () -> {
                try {
                  while (true) {
                    link.answer(link.readCall(), "done");
                  }
                } catch (IOException e) {
                  // the test is over
                }
              },
              "searcher");
      answers.setDaemon(true);
      answers.start();
      MixerTestHarness.await(
          "a scan that is served",
          () -> {
            try {
              client.write(rig.scanRequest("search", 2000, 0));
              return client.readAnswer().startsWith("200");
            } catch (IOException e) {
              throw new AssertionError(e);
            }
          });
    }
  }
}
