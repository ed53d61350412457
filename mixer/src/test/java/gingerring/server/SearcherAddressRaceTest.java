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
class SearcherAddressRaceTest {
  private static final String[] LONG_DIAL_TIMEOUT = {
    "\"DialTimeoutMs\": 250.0", "\"DialTimeoutMs\": 9000.0"
  };

  /**
   * Guards against a part that goes to where its searcher was, or nowhere, as its connection is
   * late.
   */
  @Test
  void partWaitingForDialIsSentToNewAddressOfItsSearcher() throws Exception {
    for (boolean establishedFirst : new boolean[] {false, true}) {
      try (Rig harness = new Rig(LONG_DIAL_TIMEOUT)) {
        SlowAcceptSearcher oldSearcher = harness.keep(new SlowAcceptSearcher("b0", 0));
        Rig.Call watch = harness.agent.watch();
        watch.say(Rig.list(1, true, oldSearcher.member("SERVING")));
        harness.ready();
        Rig.Client client = harness.client();
        client.write(harness.scan("search", 2000, 0));
        harness.awaitCount("links dialled", 1);
        Rig.Box newSearcher = harness.box("b0", 0);
        if (establishedFirst) {
          oldSearcher.releaseBacklog();
          Rig.Link link = oldSearcher.link();
          Rig.Frame request = link.call();
          watch.say(Rig.list(2, false, newSearcher.member("SERVING")));
          harness.awaitCount("lists told", 2);
          link.answer(request, "done"); // what has begun ends where it did
        } else {
          watch.say(Rig.list(2, false, newSearcher.member("SERVING")));
          Rig.Link link = newSearcher.link();
          link.answer(link.call(), "done");
        }
        assertTrue(client.answer().startsWith("200 {\"whole\":true"));
        assertEquals(1, harness.count("trips SUCCEEDED"));
        if (establishedFirst) {
          client.write(harness.scan("search", 2000, 0));
          Rig.Link link = newSearcher.link();
          link.answer(link.call(), "done");
          assertTrue(client.answer().startsWith("200 {\"whole\":true"));
        }
        assertEquals(2, harness.count("links dialled"));
        assertEquals(
            0, harness.count("failures in an event") + harness.count("failures in the mixer"));
      }
    }
  }

  /** Of two lists that are read in one turn the later one holds, whichever way round they come. */
  @Test
  void laterOfTwoListsReadInOneTurnApplies() throws Exception {
    for (boolean servingLast : new boolean[] {true, false}) {
      try (Rig harness = new Rig()) {
        Rig.Box box = harness.box("b0", 0);
        Rig.Call watch = harness.begin(box);
        Rig.Client client = harness.client();
        try (Rig.Gate gate = harness.hold()) {
          watch.write(
              chunk(Rig.list(2, false, box.member(servingLast ? "DRAINING" : "SERVING")))
                  + chunk(Rig.list(3, false, box.member(servingLast ? "SERVING" : "DRAINING"))));
          gate.posted(1);
          client.write(harness.scan("search", 500, 0));
          gate.posted(2);
        }
        harness.awaitCount("lists told", 3);
        if (servingLast) {
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
