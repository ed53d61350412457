package gingerring.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Pairs of events that cross, in both orders: see docs/crossings.md. */
@Timeout(120)
class CrossingTest {
  private static final Duration SOON = Duration.ofMillis(300);
  private static final int PATIENCE_MS = 400;

  @Test
  void aScanIsAnsweredByItsBox() throws Exception {
    try (MixerTestHarness rig = new MixerTestHarness()) {
      MixerTestHarness.Box box = rig.box("b0", 0);
      rig.announceAndAwaitReady(box);
      MixerTestHarness.Client client = rig.connectClient();
      client.write(rig.scanRequest("search", 2000, 0));
      MixerTestHarness.BoxConnection link = box.acceptConnection();
      MixerTestHarness.Frame call = link.readCall();
      link.answer(call, "done");
      assertEquals(
          "200 {\"whole\":true,\"results\":[{\"partition\":0,\"value\":\"v"
              + rig.lastTransactionId()
              + ".0\"}]}",
          client.readAnswer());
    }
  }

  @Test
  void aListAndAScanOfOneTurnAreDecidedByTheList() throws Exception {
    for (boolean listFirst : new boolean[] {true, false}) {
      try (MixerTestHarness rig = new MixerTestHarness()) {
        MixerTestHarness.Box box = rig.box("b0", 0);
        MixerTestHarness.DiscoveryConnection watch = rig.announceAndAwaitReady(box);
        MixerTestHarness.Client client = rig.connectClient();
        assertTrue(client.isReady());
        String drains = MixerTestHarness.memberListLine(2, false, box.memberJson("DRAINING"));
        String scan = rig.scanRequest("search", 2000, 0);
        try (MixerTestHarness.LoopGate gate = rig.pauseLoop()) {
          if (listFirst) {
            watch.sendLine(drains);
            gate.awaitPosted(1);
            client.write(scan);
          } else {
            client.write(scan);
            gate.awaitPosted(1);
            watch.sendLine(drains);
          }
          gate.awaitPosted(2);
        }
        assertTrue(client.readAnswer().startsWith("503"), "list first: " + listFirst);
        assertTrue(box.noConnectionWithin(SOON), "list first: " + listFirst);
      }
    }
  }

  /**
   * Seen on join+brink: one client's mark, sent 650 times, left 65 open connections to each
   * searcher.
   */
  @Test
  void aMarkSentAgainNeedsNoConnectionOfItsOwn() throws Exception {
    try (MixerTestHarness rig = new MixerTestHarness()) {
      MixerTestHarness.Box box = rig.box("b0", 0);
      rig.announceAndAwaitReady(box);
      String scan = rig.scanRequest("search", 2000, 0);
      MixerTestHarness.Client client = rig.connectClient();
      client.write(scan);
      MixerTestHarness.BoxConnection link = box.acceptConnection();
      link.answer(link.readCall(), "done");
      assertTrue(client.readAnswer().startsWith("200"));
      for (int i = 0; i < 5; i++) {
        client.write(scan);
        assertTrue(client.readAnswer().startsWith("400"), "a mark has to be fresh");
      }
      client.write(rig.scanRequest("search", 2000, 0));
      link.answer(link.readCall(), "done");
      assertTrue(client.readAnswer().startsWith("200"), "the connection goes on");
      assertEquals(1, rig.count("links dialled"));
    }
  }

  private enum Late {
    ANSWER,
    FAILED,
    CLOSED,
    CLIENT_CLOSES,
    CLIENT_RESETS,
    IT_GOES,
    NOTHING
  }

  /**
   * The quoted time and the client's patience pass while something else waits for the same turn:
   * what came is heard first, and one thing or the other ends the scan, once.
   */
  @Test
  void aTimerIsDueInTheTurnOfWhatItRacesWith() throws Exception {
    for (Late event : Late.values()) {
      for (String grade : new String[] {"search", "post"}) {
        try (MixerTestHarness rig = new MixerTestHarness()) {
          MixerTestHarness.Box box = rig.box("b0", 0);
          MixerTestHarness.DiscoveryConnection watch = rig.announceAndAwaitReady(box);
          MixerTestHarness.Client client = rig.connectClient();
          client.write(rig.scanRequest(grade, PATIENCE_MS, 0));
          MixerTestHarness.BoxConnection link = box.acceptConnection();
          MixerTestHarness.Frame call = link.readCall();
          try (MixerTestHarness.LoopGate gate = rig.pauseLoop()) {
            switch (event) {
              case ANSWER -> link.answer(call, "done");
              case FAILED -> link.answer(call, "failed");
              case CLOSED -> link.close();
              case CLIENT_CLOSES -> client.close();
              case CLIENT_RESETS -> client.reset();
              case IT_GOES -> watch.sendLine(MixerTestHarness.memberListLine(2, true));
              case NOTHING -> {}
            }
            gate.awaitPosted(event == Late.NOTHING ? 0 : 1);
            Thread.sleep(PATIENCE_MS + 50); // both timers are due, however the machine went
          }
          if (event == Late.CLIENT_CLOSES || event == Late.CLIENT_RESETS) {
            rig.awaitCount("clients that left", 1);
          } else {
            String wanted = event == Late.ANSWER ? "200" : grade.equals("post") ? "500" : "503";
            assertEquals(wanted, client.readAnswer().substring(0, 3), event + " " + grade);
            assertTrue(client.isReady(), "one answer, and the connection goes on");
          }
          assertTrue(box.noConnectionWithin(SOON), event + " " + grade + ": nothing more is sent");
          assertEquals(0, rig.count("scans the mixer left open"), event + " " + grade);
        }
      }
    }
  }
}
