package gingerring.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Pairs of events that reach the mixer in the same loop iteration, in both orders: see
 * docs/crossings.md.
 */
@Timeout(120)
class ScanRaceTest {
  private static final Duration NO_TRAFFIC_WAIT = Duration.ofMillis(300);
  private static final int DEADLINE_MS = 400;

  @Test
  void scanIsAnsweredByItsBox() throws Exception {
    try (MixerTestHarness harness = new MixerTestHarness()) {
      MixerTestHarness.Box box = harness.box("b0", 0);
      harness.announceAndAwaitReady(box);
      MixerTestHarness.Client client = harness.connectClient();
      client.write(harness.scanRequest("search", 2000, 0));
      MixerTestHarness.BoxConnection connection = box.acceptConnection();
      MixerTestHarness.Frame request = connection.readCall();
      connection.answer(request, "done");
      assertEquals(
          "200 {\"whole\":true,\"results\":[{\"partition\":0,\"value\":\"v"
              + harness.lastTransactionId()
              + ".0\"}]}",
          client.readAnswer());
    }
  }

  @Test
  void scanReadInSameIterationAsDrainingListIsNotSent() throws Exception {
    for (boolean listFirst : new boolean[] {true, false}) {
      try (MixerTestHarness harness = new MixerTestHarness()) {
        MixerTestHarness.Box box = harness.box("b0", 0);
        MixerTestHarness.DiscoveryConnection watch = harness.announceAndAwaitReady(box);
        MixerTestHarness.Client client = harness.connectClient();
        assertTrue(client.isReady());
        String drainingList = MixerTestHarness.memberListLine(2, false, box.memberJson("DRAINING"));
        String scan = harness.scanRequest("search", 2000, 0);
        try (MixerTestHarness.LoopGate gate = harness.pauseLoop()) {
          if (listFirst) {
            watch.sendLine(drainingList);
            gate.awaitPosted(1);
            client.write(scan);
          } else {
            client.write(scan);
            gate.awaitPosted(1);
            watch.sendLine(drainingList);
          }
          gate.awaitPosted(2);
        }
        assertTrue(client.readAnswer().startsWith("503"), "list first: " + listFirst);
        assertTrue(box.noConnectionWithin(NO_TRAFFIC_WAIT), "list first: " + listFirst);
      }
    }
  }

  /**
   * Guards against a connection leak: in the run join+brink one client sent the same transaction id
   * 650 times, which left 65 open connections to each searcher.
   */
  @Test
  void reusedTransactionIdOpensNoConnection() throws Exception {
    try (MixerTestHarness harness = new MixerTestHarness()) {
      MixerTestHarness.Box box = harness.box("b0", 0);
      harness.announceAndAwaitReady(box);
      String scan = harness.scanRequest("search", 2000, 0);
      MixerTestHarness.Client client = harness.connectClient();
      client.write(scan);
      MixerTestHarness.BoxConnection connection = box.acceptConnection();
      connection.answer(connection.readCall(), "done");
      assertTrue(client.readAnswer().startsWith("200"));
      for (int i = 0; i < 5; i++) {
        client.write(scan);
        assertTrue(client.readAnswer().startsWith("400"), "a transaction id must not be reused");
      }
      client.write(harness.scanRequest("search", 2000, 0));
      connection.answer(connection.readCall(), "done");
      assertTrue(client.readAnswer().startsWith("200"), "the connection stays in use");
      assertEquals(1, harness.count("links dialled"));
    }
  }

  private enum RacingEvent {
    ANSWER,
    ANSWER_FAILED,
    SEARCHER_CLOSES,
    CLIENT_CLOSES,
    CLIENT_RESETS,
    SEARCHER_REMOVED,
    NONE
  }

  /**
   * The latency target and the client's deadline expire while another event waits for the same loop
   * iteration. The event is processed before the timers, and exactly one of them ends the scan.
   */
  @Test
  void timersDueInIterationOfRacingEventEndScanOnce() throws Exception {
    for (RacingEvent event : RacingEvent.values()) {
      for (String serviceClass : new String[] {"search", "post"}) {
        try (MixerTestHarness harness = new MixerTestHarness()) {
          MixerTestHarness.Box box = harness.box("b0", 0);
          MixerTestHarness.DiscoveryConnection watch = harness.announceAndAwaitReady(box);
          MixerTestHarness.Client client = harness.connectClient();
          client.write(harness.scanRequest(serviceClass, DEADLINE_MS, 0));
          MixerTestHarness.BoxConnection connection = box.acceptConnection();
          MixerTestHarness.Frame request = connection.readCall();
          try (MixerTestHarness.LoopGate gate = harness.pauseLoop()) {
            switch (event) {
              case ANSWER -> connection.answer(request, "done");
              case ANSWER_FAILED -> connection.answer(request, "failed");
              case SEARCHER_CLOSES -> connection.close();
              case CLIENT_CLOSES -> client.close();
              case CLIENT_RESETS -> client.reset();
              case SEARCHER_REMOVED -> watch.sendLine(MixerTestHarness.memberListLine(2, true));
              case NONE -> {}
            }
            gate.awaitPosted(event == RacingEvent.NONE ? 0 : 1);
            Thread.sleep(DEADLINE_MS + 50); // both timers are due, even on a slow machine
          }
          if (event == RacingEvent.CLIENT_CLOSES || event == RacingEvent.CLIENT_RESETS) {
            harness.awaitCount("clients that left", 1);
          } else {
            String expectedStatus =
                event == RacingEvent.ANSWER ? "200" : serviceClass.equals("post") ? "500" : "503";
            assertEquals(
                expectedStatus, client.readAnswer().substring(0, 3), event + " " + serviceClass);
            assertTrue(client.isReady(), "one answer, and the connection stays in use");
          }
          assertTrue(
              box.noConnectionWithin(NO_TRAFFIC_WAIT),
              event + " " + serviceClass + ": nothing more is sent");
          assertEquals(0, harness.count("scans the mixer left open"), event + " " + serviceClass);
        }
      }
    }
  }
}
