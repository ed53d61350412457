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
      try (MixerTestHarness rig = new MixerTestHarness(PATIENT_DIALS)) {
        Late before = rig.closeAtEnd(new Late("b0", 0));
        MixerTestHarness.DiscoveryConnection watch = rig.agent.acceptWatch();
        watch.sendLine(MixerTestHarness.memberListLine(1, true, before.member("SERVING")));
        rig.awaitReady();
        MixerTestHarness.Client client = rig.connectClient();
        client.write(rig.scanRequest("search", 2000, 0));
        rig.awaitCount("links dialled", 1);
        MixerTestHarness.Box after = rig.box("b0", 0);
        if (upFirst) {
          before.letGo();
          MixerTestHarness.BoxConnection link = before.link();
          MixerTestHarness.Frame call = link.readCall();
          watch.sendLine(MixerTestHarness.memberListLine(2, false, after.memberJson("SERVING")));
          rig.awaitCount("lists told", 2);
          link.answer(call, "done"); // what has begun ends where it did
        } else {
          watch.sendLine(MixerTestHarness.memberListLine(2, false, after.memberJson("SERVING")));
          MixerTestHarness.BoxConnection link = after.acceptConnection();
          link.answer(link.readCall(), "done");
        }
        assertTrue(client.readAnswer().startsWith("200 {\"whole\":true"));
        assertEquals(1, rig.count("trips SUCCEEDED"));
        if (upFirst) {
          client.write(rig.scanRequest("search", 2000, 0));
          MixerTestHarness.BoxConnection link = after.acceptConnection();
          link.answer(link.readCall(), "done");
          assertTrue(client.readAnswer().startsWith("200 {\"whole\":true"));
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
      try (MixerTestHarness rig = new MixerTestHarness()) {
        MixerTestHarness.Box box = rig.box("b0", 0);
        MixerTestHarness.DiscoveryConnection watch = rig.announceAndAwaitReady(box);
        MixerTestHarness.Client client = rig.connectClient();
        try (MixerTestHarness.LoopGate gate = rig.pauseLoop()) {
          watch.write(
              chunk(
                      MixerTestHarness.memberListLine(
                          2, false, box.memberJson(servesLast ? "DRAINING" : "SERVING")))
                  + chunk(
                      MixerTestHarness.memberListLine(
                          3, false, box.memberJson(servesLast ? "SERVING" : "DRAINING"))));
          gate.awaitPosted(1);
          client.write(rig.scanRequest("search", 500, 0));
          gate.awaitPosted(2);
        }
        rig.awaitCount("lists told", 3);
        if (servesLast) {
          MixerTestHarness.BoxConnection link = box.acceptConnection();
          link.answer(link.readCall(), "done");
          assertTrue(client.readAnswer().startsWith("200"));
        } else {
          assertTrue(client.readAnswer().startsWith("503"));
          assertTrue(box.noConnectionWithin(Duration.ofMillis(300)));
        }
      }
    }
  }

  private static String chunk(String line) {
    return Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n";
  }
}
