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
    try (Rig rig = new Rig()) {
      Rig.Box box = rig.box("b0", 0);
      rig.begin(box);
      Rig.Client client = rig.client();
      client.write(rig.scan("search", 2000, 0));
      Rig.Link link = box.link();
      Rig.Frame call = link.call();
      link.answer(call, "done");
      assertEquals(
          "200 {\"whole\":true,\"results\":[{\"partition\":0,\"value\":\"v"
              + rig.lastMark()
              + ".0\"}]}",
          client.answer());
    }
  }

  @Test
  void aListAndAScanOfOneTurnAreDecidedByTheList() throws Exception {
    for (boolean listFirst : new boolean[] {true, false}) {
      try (Rig rig = new Rig()) {
        Rig.Box box = rig.box("b0", 0);
        Rig.Call watch = rig.begin(box);
        Rig.Client client = rig.client();
        assertTrue(client.ready());
        String drains = Rig.list(2, false, box.member("DRAINING"));
        String scan = rig.scan("search", 2000, 0);
        try (Rig.Gate gate = rig.hold()) {
          if (listFirst) {
            watch.say(drains);
            gate.posted(1);
            client.write(scan);
          } else {
            client.write(scan);
            gate.posted(1);
            watch.say(drains);
          }
          gate.posted(2);
        }
        assertTrue(client.answer().startsWith("503"), "list first: " + listFirst);
        assertTrue(box.quiet(SOON), "list first: " + listFirst);
      }
    }
  }

  /**
   * Seen on join+brink: one client's mark, sent 650 times, left 65 open connections to each
   * searcher.
   */
  @Test
  void aMarkSentAgainNeedsNoConnectionOfItsOwn() throws Exception {
    try (Rig rig = new Rig()) {
      Rig.Box box = rig.box("b0", 0);
      rig.begin(box);
      String scan = rig.scan("search", 2000, 0);
      Rig.Client client = rig.client();
      client.write(scan);
      Rig.Link link = box.link();
      link.answer(link.call(), "done");
      assertTrue(client.answer().startsWith("200"));
      for (int i = 0; i < 5; i++) {
        client.write(scan);
        assertTrue(client.answer().startsWith("400"), "a mark has to be fresh");
      }
      client.write(rig.scan("search", 2000, 0));
      link.answer(link.call(), "done");
      assertTrue(client.answer().startsWith("200"), "the connection goes on");
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
        try (Rig rig = new Rig()) {
          Rig.Box box = rig.box("b0", 0);
          Rig.Call watch = rig.begin(box);
          Rig.Client client = rig.client();
          client.write(rig.scan(grade, PATIENCE_MS, 0));
          Rig.Link link = box.link();
          Rig.Frame call = link.call();
          try (Rig.Gate gate = rig.hold()) {
            switch (event) {
              case ANSWER -> link.answer(call, "done");
              case FAILED -> link.answer(call, "failed");
              case CLOSED -> link.close();
              case CLIENT_CLOSES -> client.close();
              case CLIENT_RESETS -> client.reset();
              case IT_GOES -> watch.say(Rig.list(2, true));
              case NOTHING -> {}
            }
            gate.posted(event == Late.NOTHING ? 0 : 1);
            Thread.sleep(PATIENCE_MS + 50); // both timers are due, however the machine went
          }
          if (event == Late.CLIENT_CLOSES || event == Late.CLIENT_RESETS) {
            rig.awaitCount("clients that left", 1);
          } else {
            String wanted = event == Late.ANSWER ? "200" : grade.equals("post") ? "500" : "503";
            assertEquals(wanted, client.answer().substring(0, 3), event + " " + grade);
            assertTrue(client.ready(), "one answer, and the connection goes on");
          }
          assertTrue(box.quiet(SOON), event + " " + grade + ": nothing more is sent");
          assertEquals(0, rig.count("scans the mixer left open"), event + " " + grade);
        }
      }
    }
  }
}
