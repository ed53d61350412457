package gingerring.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Member lists that change a searcher's address, or that contradict another list read in the same
 * loop iteration: see docs/crossings.md.
 */
@Timeout(120)
class SearcherAddressRaceTest {
  private static final String[] LONG_DIAL_TIMEOUT = {
    "\"DialTimeoutMs\": 250.0", "\"DialTimeoutMs\": 9000.0"
  };

  /**
   * Guards against a part that is sent to its searcher's former address, or is not sent at all,
   * because a list changes the address while the part waits for a late connection.
   */
  @Test
  void partWaitingForDialIsSentToNewAddressOfItsSearcher() throws Exception {
    for (boolean establishedFirst : new boolean[] {false, true}) {
      try (MixerTestHarness harness = new MixerTestHarness(LONG_DIAL_TIMEOUT)) {
        SlowAcceptSearcher oldSearcher = harness.closeAtEnd(new SlowAcceptSearcher("b0", 0));
        MixerTestHarness.DiscoveryConnection watch = harness.agent.acceptWatch();
        watch.sendLine(MixerTestHarness.memberListLine(1, true, oldSearcher.memberJson("SERVING")));
        harness.awaitReady();
        MixerTestHarness.Client client = harness.connectClient();
        client.write(harness.scanRequest("search", 2000, 0));
        harness.awaitCount("links dialled", 1);
        MixerTestHarness.Box newSearcher = harness.box("b0", 0);
        if (establishedFirst) {
          oldSearcher.releaseBacklog();
          MixerTestHarness.BoxConnection connection = oldSearcher.acceptConnection();
          MixerTestHarness.Frame request = connection.readCall();
          watch.sendLine(
              MixerTestHarness.memberListLine(2, false, newSearcher.memberJson("SERVING")));
          harness.awaitCount("lists told", 2);
          connection.answer(request, "done"); // a part already sent completes on its connection
        } else {
          watch.sendLine(
              MixerTestHarness.memberListLine(2, false, newSearcher.memberJson("SERVING")));
          MixerTestHarness.BoxConnection connection = newSearcher.acceptConnection();
          connection.answer(connection.readCall(), "done");
        }
        assertTrue(client.readAnswer().startsWith("200 {\"whole\":true"));
        assertEquals(1, harness.count("trips SUCCEEDED"));
        if (establishedFirst) {
          client.write(harness.scanRequest("search", 2000, 0));
          MixerTestHarness.BoxConnection connection = newSearcher.acceptConnection();
          connection.answer(connection.readCall(), "done");
          assertTrue(client.readAnswer().startsWith("200 {\"whole\":true"));
        }
        assertEquals(2, harness.count("links dialled"));
        assertEquals(
            0, harness.count("failures in an event") + harness.count("failures in the mixer"));
      }
    }
  }

  /**
   * Of two lists that are read in one loop iteration the later one applies, whichever states they
   * carry.
   */
  @Test
  void laterOfTwoListsReadInOneIterationApplies() throws Exception {
    for (boolean servingLast : new boolean[] {true, false}) {
      try (MixerTestHarness harness = new MixerTestHarness()) {
        MixerTestHarness.Box box = harness.box("b0", 0);
        MixerTestHarness.DiscoveryConnection watch = harness.announceAndAwaitReady(box);
        MixerTestHarness.Client client = harness.connectClient();
        try (MixerTestHarness.LoopGate gate = harness.pauseLoop()) {
          watch.write(
              chunk(
                      MixerTestHarness.memberListLine(
                          2, false, box.memberJson(servingLast ? "DRAINING" : "SERVING")))
                  + chunk(
                      MixerTestHarness.memberListLine(
                          3, false, box.memberJson(servingLast ? "SERVING" : "DRAINING"))));
          gate.awaitPosted(1);
          client.write(harness.scanRequest("search", 500, 0));
          gate.awaitPosted(2);
        }
        harness.awaitCount("lists told", 3);
        if (servingLast) {
          MixerTestHarness.BoxConnection connection = box.acceptConnection();
          connection.answer(connection.readCall(), "done");
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
