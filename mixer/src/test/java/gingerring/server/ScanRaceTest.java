package gingerring.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Pairs of events that cross, in both orders: see docs/crossings.md. */
@Timeout(120)
class ScanRaceTest {
  private static final Duration NO_TRAFFIC_WAIT = Duration.ofMillis(300);
  private static final int DEADLINE_MS = 400;

  @Test
  void scanIsAnsweredByItsBox() throws Exception {
    try (Rig harness = new Rig()) {
      Rig.Box box = harness.box("b0", 0);
      harness.begin(box);
      Rig.Client client = harness.client();
      client.write(harness.scan("search", 2000, 0));
      Rig.Link link = box.link();
      Rig.Frame request = link.call();
      link.answer(request, "done");
      assertEquals(
          "200 {\"whole\":true,\"results\":[{\"partition\":0,\"value\":\"v"
              + harness.lastMark()
              + ".0\"}]}",
          client.answer());
    }
  }

  @Test
  void scanReadInSameTurnAsDrainingListIsNotSent() throws Exception {
    for (boolean listFirst : new boolean[] {true, false}) {
      try (Rig harness = new Rig()) {
        Rig.Box box = harness.box("b0", 0);
        Rig.Call watch = harness.begin(box);
        Rig.Client client = harness.client();
        assertTrue(client.ready());
        String drainingList = Rig.list(2, false, box.member("DRAINING"));
        String scan = harness.scan("search", 2000, 0);
        try (Rig.Gate gate = harness.hold()) {
          if (listFirst) {
            watch.say(drainingList);
            gate.posted(1);
            client.write(scan);
          } else {
            client.write(scan);
            gate.posted(1);
            watch.say(drainingList);
          }
          gate.posted(2);
        }
        assertTrue(client.answer().startsWith("503"), "list first: " + listFirst);
        assertTrue(box.quiet(NO_TRAFFIC_WAIT), "list first: " + listFirst);
      }
    }
  }

  /**
   * Seen on join+brink: one client's mark, sent 650 times, left 65 open connections to each
   * searcher.
   */
  @Test
  void repeatedIdempotencyKeyOpensNoConnection() throws Exception {
    try (Rig harness = new Rig()) {
      Rig.Box box = harness.box("b0", 0);
      harness.begin(box);
      String scan = harness.scan("search", 2000, 0);
      Rig.Client client = harness.client();
      client.write(scan);
      Rig.Link link = box.link();
      link.answer(link.call(), "done");
      assertTrue(client.answer().startsWith("200"));
      for (int i = 0; i < 5; i++) {
        client.write(scan);
        assertTrue(client.answer().startsWith("400"), "a mark has to be fresh");
      }
      client.write(harness.scan("search", 2000, 0));
      link.answer(link.call(), "done");
      assertTrue(client.answer().startsWith("200"), "the connection goes on");
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
   * The quoted time and the client's patience pass while something else waits for the same turn:
   * what came is heard first, and one thing or the other ends the scan, once.
   */
  @Test
  void timersDueInTurnOfRacingEventEndScanOnce() throws Exception {
    for (RacingEvent event : RacingEvent.values()) {
      for (String serviceClass : new String[] {"search", "post"}) {
        try (Rig harness = new Rig()) {
          Rig.Box box = harness.box("b0", 0);
          Rig.Call watch = harness.begin(box);
          Rig.Client client = harness.client();
          client.write(harness.scan(serviceClass, DEADLINE_MS, 0));
          Rig.Link link = box.link();
          Rig.Frame request = link.call();
          try (Rig.Gate gate = harness.hold()) {
            switch (event) {
              case ANSWER -> link.answer(request, "done");
              case ANSWER_FAILED -> link.answer(request, "failed");
              case SEARCHER_CLOSES -> link.close();
              case CLIENT_CLOSES -> client.close();
              case CLIENT_RESETS -> client.reset();
              case SEARCHER_REMOVED -> watch.say(Rig.list(2, true));
              case NONE -> {}
            }
            gate.posted(event == RacingEvent.NONE ? 0 : 1);
            Thread.sleep(DEADLINE_MS + 50); // both timers are due, however the machine went
          }
          if (event == RacingEvent.CLIENT_CLOSES || event == RacingEvent.CLIENT_RESETS) {
            harness.awaitCount("clients that left", 1);
          } else {
            String expectedStatus =
                event == RacingEvent.ANSWER ? "200" : serviceClass.equals("post") ? "500" : "503";
            assertEquals(
                expectedStatus, client.answer().substring(0, 3), event + " " + serviceClass);
            assertTrue(client.ready(), "one answer, and the connection goes on");
          }
          assertTrue(
              box.quiet(NO_TRAFFIC_WAIT), event + " " + serviceClass + ": nothing more is sent");
          assertEquals(0, harness.count("scans the mixer left open"), event + " " + serviceClass);
        }
      }
    }
  }
}
