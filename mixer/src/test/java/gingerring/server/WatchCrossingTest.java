package gingerring.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Pairs of events that cross at discovery's watch, in both orders: see docs/crossings.md. */
@Timeout(120)
class WatchCrossingTest {
  private static final String PUSHED = "automatic";
  private static final String ASKED = "subscribe";

  /** A grace, and how long after a call the next one comes by it. */
  private static final int GRACE_MS = 500;

  private static final int PACE_MS = 250;

  /**
   * The longest pace: a third of what the protocol leaves between a silence found and the end of
   * its term.
   */
  private static final int SLOWEST_MS = 1167;

  private static final int SILENCE_MS = 2500;

  private static MixerTestHarness.DiscoveryConnection speaking(WatchStage stage, int revision)
      throws Exception {
    MixerTestHarness.DiscoveryConnection watch = stage.agent.acceptWatch();
    watch.sendLine(MixerTestHarness.memberListLine(revision, true));
    assertEquals("list " + revision, stage.next());
    return watch;
  }

  /** Passes on step by step, and lets each call be refused before the clock moves on. */
  private static void passRefused(WatchStage stage, int ms, int step) throws InterruptedException {
    for (int i = 0; i <= ms; i += step) {
      // refusals come in their own time, from the network
      MixerTestHarness.await(
          "refusals", () -> stage.counts.get("discovery failures") >= stage.calls());
      if (i < ms) {
        stage.pass(step);
      }
    }
  }

  /**
   * Guards against an agent that can be reached again, whose list counts as told at once, while the
   * mixer waits longer than the grace before it calls again.
   */
  @Test
  void whileRefusedItCallsTwiceWithinTheGraceAndIsToldAtTheReturn() throws Exception {
    try (WatchStage stage = new WatchStage(true, PUSHED, GRACE_MS)) {
      stage.open();
      MixerTestHarness.DiscoveryConnection watch = speaking(stage, 42);
      stage.pass(SILENCE_MS - 100);
      stage.agent.stopListening();
      watch.reset();
      assertEquals(
          "failed", stage.next()); // of the watch, and of the call that followed it at once
      assertEquals("failed", stage.next());
      passRefused(stage, 3000, 50);
      assertEquals(2 + 3000 / PACE_MS, stage.calls());
      assertNull(stage.told.poll(), "what it calls by itself is not told as failed");
      stage.agent.resumeListening();
      stage.pass(PACE_MS);
      assertTrue(
          stage
              .agent
              .acceptRequest()
              .requestHead
              .startsWith("GET /v1/endpoints?stream=1&index=42 "));
    }
  }

  /**
   * The same where the agent takes connections and says nothing: no call waits for the end of
   * another.
   */
  @Test
  void whileTheAgentIsSilentCallsOverlapAndTheFirstThatSpeaksIsTheWatch() throws Exception {
    for (boolean oldest : new boolean[] {true, false}) {
      try (WatchStage stage = new WatchStage(true, PUSHED, GRACE_MS)) {
        stage.open();
        MixerTestHarness.DiscoveryConnection watch = speaking(stage, 42);
        stage.pass(SILENCE_MS);
        assertEquals("failed", stage.next());
        assertEquals("closed", watch.awaitEnd());
        List<MixerTestHarness.DiscoveryConnection> calls = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
          calls.add(stage.agent.acceptRequest());
          stage.pass(i < 3 ? PACE_MS : PACE_MS - 1);
        }
        assertEquals(1 + 4, stage.calls());
        MixerTestHarness.DiscoveryConnection first = calls.remove(oldest ? 0 : 3);
        first.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        first.sendLine(MixerTestHarness.memberListLine(43, false));
        assertEquals("list 43", stage.next());
        for (MixerTestHarness.DiscoveryConnection other : calls) {
          assertEquals("closed", other.awaitEnd());
        }
        stage.pass(2 * PACE_MS);
        first.sendLine("");
        first.sendLine(MixerTestHarness.memberListLine(44, false));
        assertEquals("list 44", stage.next());
        stage.pass(SILENCE_MS - 1);
        assertEquals(1 + 4, stage.calls());
        assertNull(stage.told.poll());
      }
    }
  }

  /**
   * Two calls answered in one turn: the second brings nothing that the first has not, and is no
   * failure.
   */
  @Test
  void ofTwoThatSpeakInOneTurnTheFirstIsTheWatch() throws Exception {
    try (WatchStage stage = new WatchStage(true, PUSHED, GRACE_MS)) {
      stage.open();
      MixerTestHarness.DiscoveryConnection one = stage.agent.acceptWatch();
      stage.pass(PACE_MS);
      MixerTestHarness.DiscoveryConnection two = stage.agent.acceptWatch();
      stage.inLoop(() -> {}); // both heads are read
      stage.hold(
          () -> {
            two.sendLine(MixerTestHarness.memberListLine(43, false));
            stage.posted(1);
            one.sendLine(MixerTestHarness.memberListLine(44, false));
            stage.posted(2);
          });
      assertEquals("list 43", stage.next());
      assertEquals("closed", one.awaitEnd());
      two.sendLine(MixerTestHarness.memberListLine(44, false));
      assertEquals("list 44", stage.next());
      assertEquals(0, stage.counts.get("discovery failures"));
    }
  }

  /**
   * Guards against a silence that is told too late as the first call after it is refused or silent
   * too.
   */
  @Test
  void whatASilentWatchMissedIsToldWithinSixSeconds() throws Exception {
    for (String way : List.of(PUSHED, ASKED)) {
      for (boolean refused : new boolean[] {true, false}) {
        try (WatchStage stage = new WatchStage(true, way, 1000)) {
          stage.open();
          speaking(stage, 42);
          stage.pass(SILENCE_MS - 1);
          assertEquals(1, stage.calls());
          if (refused) {
            stage.agent.stopListening();
          }
          stage.pass(1);
          assertEquals("failed", stage.next());
          assertEquals(2, stage.calls());
          if (refused) {
            assertEquals("failed", stage.next());
            stage.agent.resumeListening();
          } else {
            stage.agent.acceptRequest();
          }
          // nobody asks: by itself it calls again, twice before its time is over; the first of them
          // is silent too
          long calls = stage.calls();
          stage.pass(SLOWEST_MS);
          assertTrue(stage.calls() > calls);
          for (long i = calls; i < stage.calls(); i++) {
            stage.agent.acceptRequest();
          }
          calls = stage.calls();
          stage.pass(way.equals(PUSHED) ? 500 : SLOWEST_MS);
          assertEquals(calls + 1, stage.calls());
          assertTrue(SILENCE_MS + 2 * SLOWEST_MS < 6000);
          MixerTestHarness.DiscoveryConnection next = stage.agent.acceptWatch();
          next.sendLine(MixerTestHarness.memberListLine(43, false));
          String told = stage.next();
          assertEquals("list 43", "failed".equals(told) ? stage.next() : told);
        }
      }
    }
  }

  /** An agent that ends each watch as it begins is called at the pace, and not without a pause. */
  @Test
  void anAgentThatEndsEachWatchAsItBeginsIsCalledAtThePace() throws Exception {
    try (WatchStage stage = new WatchStage(true, PUSHED, GRACE_MS)) {
      stage.open();
      for (int i = 0; i < 8; i++) {
        assertEquals(1 + i, stage.calls());
        MixerTestHarness.DiscoveryConnection watch = stage.agent.acceptWatch();
        watch.sendLine(MixerTestHarness.memberListLine(42 + i, false));
        assertEquals("list " + (42 + i), stage.next());
        watch.close();
        stage.awaitCount("discovery failures", i + 1);
        if (i == 0) {
          assertEquals("failed", stage.next());
        }
        stage.pass(PACE_MS - 1);
        assertEquals(1 + i, stage.calls());
        stage.pass(1);
      }
      assertNull(stage.told.poll());
    }
  }

  /**
   * A mixer that asks again after each failure that is told keeps one such wake: guards against
   * calls that beget calls, more from second to second.
   */
  @Test
  void asksOfTheMixerDoNotAddUpInALongOutage() throws Exception {
    try (WatchStage stage = new WatchStage(false, PUSHED, GRACE_MS)) {
      stage.asksAgainAfter(600);
      stage.open();
      passRefused(stage, 3000, 50);
      long early = stage.calls();
      stage.told.clear();
      passRefused(stage, 30_000, 50);
      long later = stage.calls() - early;
      assertTrue(later <= 30_000 / PACE_MS + 30_000 / 600, "calls " + later + " after " + early);
      assertTrue(stage.told.size() <= 30_000 / 600, "told " + stage.told.size());
    }
  }

  /** The slowest pace holds where the grace is long, and where nothing is pushed. */
  @Test
  void callsAreAsRareAsTheTermAllows() throws Exception {
    for (String way : List.of(PUSHED, ASKED)) {
      try (WatchStage stage = new WatchStage(false, way, 60_000)) {
        stage.open();
        passRefused(stage, 9 * SLOWEST_MS, SLOWEST_MS);
        assertEquals(1 + 9, stage.calls());
      }
    }
  }

  /** And the fastest is bounded, however short the grace, as are the calls under way. */
  @Test
  void noMoreThanEightCallsAreUnderWay() throws Exception {
    try (WatchStage stage = new WatchStage(true, PUSHED, 0)) {
      stage.open();
      for (int i = 0; i < 32; i++) {
        MixerTestHarness.DiscoveryConnection trickle = stage.agent.acceptRequest();
        trickle.write("HTTP/1.1 200 OK\r\n");
        stage.pass(125);
        assertEquals(2 + i, stage.calls());
        MixerTestHarness.await(
            "eight connections at most", () -> stage.network.connectionCount() <= 8);
      }
    }
  }

  /**
   * What an outage of 10 s costs in calls, with a mixer that asks again 750 ms after each failure
   * that it is told, as it does in the mean.
   */
  @Test
  void theCallsOfAnOutageAreCounted() throws Exception {
    assertEquals(
        List.of(41, 27, 14, 39, 20, 9),
        List.of(
            outage(500, true),
            outage(1000, true),
            outage(60_000, true),
            outage(500, false),
            outage(1000, false),
            outage(60_000, false)));
  }

  private static int outage(int graceMs, boolean refused) throws Exception {
    try (WatchStage stage = new WatchStage(true, PUSHED, graceMs)) {
      stage.asksAgainAfter(750);
      stage.open();
      MixerTestHarness.DiscoveryConnection watch = speaking(stage, 42);
      stage.pass(2000);
      long before = stage.calls();
      if (refused) {
        stage.agent.stopListening();
        watch.reset();
        stage.awaitCount("discovery failures", 2);
        passRefused(stage, 10_000, 1);
      } else {
        for (int i = 0; i < 10_000; i++) {
          stage.pass(1);
        }
      }
      return (int) (stage.calls() - before);
    }
  }
}
