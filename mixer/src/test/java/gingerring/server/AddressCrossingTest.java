package gingerring.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Lists that move a searcher, or take back what a list of the same turn said: see
 * docs/crossings.md.
 */
@Timeout(120)
class AddressCrossingTest {
  private static final String[] PATIENT_DIALS = {
    "\"DialTimeoutMs\": 250.0", "\"DialTimeoutMs\": 9000.0"
  };

  /**
   * Guards against a part that goes to where its searcher was, or nowhere, as its connection is
   * late.
   */
  @Test
  void aPartThatWaitsForADialGoesToTheAddressThatItsSearcherMovedTo() throws Exception {
    for (boolean upFirst : new boolean[] {false, true}) {
      try (Rig rig = new Rig(PATIENT_DIALS)) {
        Late before = rig.keep(new Late("b0", 0));
        Rig.Call watch = rig.agent.watch();
        watch.say(Rig.list(1, true, before.member("SERVING")));
        rig.ready();
        Rig.Client client = rig.client();
        client.write(rig.scan("search", 2000, 0));
        rig.awaitCount("links dialled", 1);
        Rig.Box after = rig.box("b0", 0);
        if (upFirst) {
          before.letGo();
          Rig.Link link = before.link();
          Rig.Frame call = link.call();
          watch.say(Rig.list(2, false, after.member("SERVING")));
          rig.awaitCount("lists told", 2);
          link.answer(call, "done"); // what has begun ends where it did
        } else {
          watch.say(Rig.list(2, false, after.member("SERVING")));
          Rig.Link link = after.link();
          link.answer(link.call(), "done");
        }
        assertTrue(client.answer().startsWith("200 {\"whole\":true"));
        assertEquals(1, rig.count("trips SUCCEEDED"));
        if (upFirst) {
          client.write(rig.scan("search", 2000, 0));
          Rig.Link link = after.link();
          link.answer(link.call(), "done");
          assertTrue(client.answer().startsWith("200 {\"whole\":true"));
        }
        assertEquals(2, rig.count("links dialled"));
        assertEquals(0, rig.count("failures in an event") + rig.count("failures in the mixer"));
      }
    }
  }

  /** Of two lists that are read in one turn the later one holds, whichever way round they come. */
  @Test
  void theLaterOfTwoListsOfOneTurnHolds() throws Exception {
    for (boolean servesLast : new boolean[] {true, false}) {
      try (Rig rig = new Rig()) {
        Rig.Box box = rig.box("b0", 0);
        Rig.Call watch = rig.begin(box);
        Rig.Client client = rig.client();
        try (Rig.Gate gate = rig.hold()) {
          watch.write(
              chunk(Rig.list(2, false, box.member(servesLast ? "DRAINING" : "SERVING")))
                  + chunk(Rig.list(3, false, box.member(servesLast ? "SERVING" : "DRAINING"))));
          gate.posted(1);
          client.write(rig.scan("search", 500, 0));
          gate.posted(2);
        }
        rig.awaitCount("lists told", 3);
        if (servesLast) {
          Rig.Link link = box.link();
          link.answer(link.call(), "done");
          assertTrue(client.answer().startsWith("200"));
        } else {
          assertTrue(client.answer().startsWith("503"));
          assertTrue(box.quiet(Duration.ofMillis(300)));
        }
      }
    }
  }

  private static String chunk(String line) {
    return Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n";
  }
}
