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
class WatchRaceTest {
  private static final String AUTOMATIC_MODE = "automatic";
  private static final String SUBSCRIBE_MODE = "subscribe";

  /** A grace, and how long after a call the next one comes by it. */
  private static final int DRAIN_GRACE_MS = 500;

  private static final int CALL_INTERVAL_MS = 250;

  /**
   * The longest pace: a third of what the protocol leaves between a silence found and the end of
   * its term.
   */
  private static final int MAX_CALL_INTERVAL_MS = 1167;

  private static final int SILENCE_TIMEOUT_MS = 2500;

  private static MixerTestHarness.DiscoveryConnection acceptWatchAndSendList(
      WatchHarness harness, int revision) throws Exception {
    MixerTestHarness.DiscoveryConnection watch = harness.agent.acceptWatch();
    watch.sendLine(MixerTestHarness.memberListLine(revision, true));
    assertEquals("list " + revision, harness.nextNotification());
    return watch;
  }

  /** Passes on step by step, and lets each call be refused before the clock moves on. */
  private static void advanceWhileRefused(WatchHarness harness, int totalMs, int stepMs)
      throws InterruptedException {
    for (int i = 0; i <= totalMs; i += stepMs) {
      // refusals come in their own time, from the network
      MixerTestHarness.await(
          "refusals", () -> harness.counts.get("discovery failures") >= harness.discoveryCalls());
      if (i < totalMs) {
        harness.advanceClock(stepMs);
      }
    }
  }

  /**
   * Guards against an agent that can be reached again, whose list counts as told at once, while the
   * mixer waits longer than the grace before it calls again.
   */
  @Test
  void refusedWatchRetriesTwiceWithinDrainGraceUntilAgentReturns() throws Exception {
    try (WatchHarness harness = new WatchHarness(true, AUTOMATIC_MODE, DRAIN_GRACE_MS)) {
      harness.openWatch();
      MixerTestHarness.DiscoveryConnection watch = acceptWatchAndSendList(harness, 42);
      harness.advanceClock(SILENCE_TIMEOUT_MS - 100);
      harness.agent.stopListening();
      watch.reset();
      assertEquals(
          "failed",
          harness.nextNotification()); // of the watch, and of the call that followed it at once
      assertEquals("failed", harness.nextNotification());
      advanceWhileRefused(harness, 3000, 50);
      assertEquals(2 + 3000 / CALL_INTERVAL_MS, harness.discoveryCalls());
      assertNull(harness.notifications.poll(), "what it calls by itself is not told as failed");
      harness.agent.resumeListening();
      harness.advanceClock(CALL_INTERVAL_MS);
      assertTrue(
          harness
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
  void callsToSilentAgentOverlapAndFirstAnsweredBecomesWatch() throws Exception {
    for (boolean oldestAnswers : new boolean[] {true, false}) {
      try (WatchHarness harness = new WatchHarness(true, AUTOMATIC_MODE, DRAIN_GRACE_MS)) {
        harness.openWatch();
        MixerTestHarness.DiscoveryConnection watch = acceptWatchAndSendList(harness, 42);
        harness.advanceClock(SILENCE_TIMEOUT_MS);
        assertEquals("failed", harness.nextNotification());
        assertEquals("closed", watch.awaitEnd());
        List<MixerTestHarness.DiscoveryConnection> openCalls = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
          openCalls.add(harness.agent.acceptRequest());
          harness.advanceClock(i < 3 ? CALL_INTERVAL_MS : CALL_INTERVAL_MS - 1);
        }
        assertEquals(1 + 4, harness.discoveryCalls());
        MixerTestHarness.DiscoveryConnection answeredCall = openCalls.remove(oldestAnswers ? 0 : 3);
        answeredCall.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        answeredCall.sendLine(MixerTestHarness.memberListLine(43, false));
        assertEquals("list 43", harness.nextNotification());
        for (MixerTestHarness.DiscoveryConnection other : openCalls) {
          assertEquals("closed", other.awaitEnd());
        }
        harness.advanceClock(2 * CALL_INTERVAL_MS);
        answeredCall.sendLine("");
        answeredCall.sendLine(MixerTestHarness.memberListLine(44, false));
        assertEquals("list 44", harness.nextNotification());
        harness.advanceClock(SILENCE_TIMEOUT_MS - 1);
        assertEquals(1 + 4, harness.discoveryCalls());
        assertNull(harness.notifications.poll());
      }
    }
  }

  /**
   * Two calls answered in one turn: the second brings nothing that the first has not, and is no
   * failure.
   */
  @Test
  void firstOfTwoCallsAnsweredInOneIterationBecomesWatch() throws Exception {
    try (WatchHarness harness = new WatchHarness(true, AUTOMATIC_MODE, DRAIN_GRACE_MS)) {
      harness.openWatch();
      MixerTestHarness.DiscoveryConnection olderCall = harness.agent.acceptWatch();
      harness.advanceClock(CALL_INTERVAL_MS);
      MixerTestHarness.DiscoveryConnection newerCall = harness.agent.acceptWatch();
      harness.runInLoop(() -> {}); // both heads are read
      harness.runWhileBlocked(
          () -> {
            newerCall.sendLine(MixerTestHarness.memberListLine(43, false));
            harness.awaitPosted(1);
            olderCall.sendLine(MixerTestHarness.memberListLine(44, false));
            harness.awaitPosted(2);
          });
      assertEquals("list 43", harness.nextNotification());
      assertEquals("closed", olderCall.awaitEnd());
      newerCall.sendLine(MixerTestHarness.memberListLine(44, false));
      assertEquals("list 44", harness.nextNotification());
      assertEquals(0, harness.counts.get("discovery failures"));
    }
  }

  /**
   * Guards against a silence that is told too late as the first call after it is refused or silent
   * too.
   */
  @Test
  void listMissedBySilentWatchArrivesWithinSixSeconds() throws Exception {
    for (String discoveryMode : List.of(AUTOMATIC_MODE, SUBSCRIBE_MODE)) {
      for (boolean refused : new boolean[] {true, false}) {
        try (WatchHarness harness = new WatchHarness(true, discoveryMode, 1000)) {
          harness.openWatch();
          acceptWatchAndSendList(harness, 42);
          harness.advanceClock(SILENCE_TIMEOUT_MS - 1);
          assertEquals(1, harness.discoveryCalls());
          if (refused) {
            harness.agent.stopListening();
          }
          harness.advanceClock(1);
          assertEquals("failed", harness.nextNotification());
          assertEquals(2, harness.discoveryCalls());
          if (refused) {
            assertEquals("failed", harness.nextNotification());
            harness.agent.resumeListening();
          } else {
            harness.agent.acceptRequest();
          }
          // nobody asks: by itself it calls again, twice before its time is over; the first of them
          // is silent too
          long callsBefore = harness.discoveryCalls();
          harness.advanceClock(MAX_CALL_INTERVAL_MS);
          assertTrue(harness.discoveryCalls() > callsBefore);
          for (long i = callsBefore; i < harness.discoveryCalls(); i++) {
            harness.agent.acceptRequest();
          }
          callsBefore = harness.discoveryCalls();
          harness.advanceClock(discoveryMode.equals(AUTOMATIC_MODE) ? 500 : MAX_CALL_INTERVAL_MS);
          assertEquals(callsBefore + 1, harness.discoveryCalls());
          assertTrue(SILENCE_TIMEOUT_MS + 2 * MAX_CALL_INTERVAL_MS < 6000);
          MixerTestHarness.DiscoveryConnection nextWatch = harness.agent.acceptWatch();
          nextWatch.sendLine(MixerTestHarness.memberListLine(43, false));
          String notification = harness.nextNotification();
          assertEquals(
              "list 43", "failed".equals(notification) ? harness.nextNotification() : notification);
        }
      }
    }
  }

  /** An agent that ends each watch as it begins is called at the pace, and not without a pause. */
  @Test
  void agentThatEndsEachWatchIsCalledAtCallInterval() throws Exception {
    try (WatchHarness harness = new WatchHarness(true, AUTOMATIC_MODE, DRAIN_GRACE_MS)) {
      harness.openWatch();
      for (int i = 0; i < 8; i++) {
        assertEquals(1 + i, harness.discoveryCalls());
        MixerTestHarness.DiscoveryConnection watch = harness.agent.acceptWatch();
        watch.sendLine(MixerTestHarness.memberListLine(42 + i, false));
        assertEquals("list " + (42 + i), harness.nextNotification());
        watch.close();
        harness.awaitCount("discovery failures", i + 1);
        if (i == 0) {
          assertEquals("failed", harness.nextNotification());
        }
        harness.advanceClock(CALL_INTERVAL_MS - 1);
        assertEquals(1 + i, harness.discoveryCalls());
        harness.advanceClock(1);
      }
      assertNull(harness.notifications.poll());
    }
  }

  /**
   * A mixer that asks again after each failure that is told keeps one such wake: guards against
   * calls that beget calls, more from second to second.
   */
  @Test
  void retriesOfMixerDoNotAccumulateInLongOutage() throws Exception {
    try (WatchHarness harness = new WatchHarness(false, AUTOMATIC_MODE, DRAIN_GRACE_MS)) {
      harness.retryAfterFailure(600);
      harness.openWatch();
      advanceWhileRefused(harness, 3000, 50);
      long earlyCalls = harness.discoveryCalls();
      harness.notifications.clear();
      advanceWhileRefused(harness, 30_000, 50);
      long laterCalls = harness.discoveryCalls() - earlyCalls;
      assertTrue(
          laterCalls <= 30_000 / CALL_INTERVAL_MS + 30_000 / 600,
          "calls " + laterCalls + " after " + earlyCalls);
      assertTrue(
          harness.notifications.size() <= 30_000 / 600, "told " + harness.notifications.size());
    }
  }

  /** The slowest pace holds where the grace is long, and where nothing is pushed. */
  @Test
  void callIntervalReachesItsMaximum() throws Exception {
    for (String discoveryMode : List.of(AUTOMATIC_MODE, SUBSCRIBE_MODE)) {
      try (WatchHarness harness = new WatchHarness(false, discoveryMode, 60_000)) {
        harness.openWatch();
        advanceWhileRefused(harness, 9 * MAX_CALL_INTERVAL_MS, MAX_CALL_INTERVAL_MS);
        assertEquals(1 + 9, harness.discoveryCalls());
      }
    }
  }

  /** And the fastest is bounded, however short the grace, as are the calls under way. */
  @Test
  void atMostEightCallsAreOpenAtOnce() throws Exception {
    try (WatchHarness harness = new WatchHarness(true, AUTOMATIC_MODE, 0)) {
      harness.openWatch();
      for (int i = 0; i < 32; i++) {
        MixerTestHarness.DiscoveryConnection partialCall = harness.agent.acceptRequest();
        partialCall.write("HTTP/1.1 200 OK\r\n");
        harness.advanceClock(125);
        assertEquals(2 + i, harness.discoveryCalls());
        MixerTestHarness.await(
            "eight connections at most", () -> harness.network.connectionCount() <= 8);
      }
    }
  }

  /**
   * What an outage of 10 s costs in calls, with a mixer that asks again 750 ms after each failure
   * that it is told, as it does in the mean.
   */
  @Test
  void outageCostsExpectedNumberOfCalls() throws Exception {
    assertEquals(
        List.of(41, 27, 14, 39, 20, 9),
        List.of(
            countCallsDuringOutage(500, true),
            countCallsDuringOutage(1000, true),
            countCallsDuringOutage(60_000, true),
            countCallsDuringOutage(500, false),
            countCallsDuringOutage(1000, false),
            countCallsDuringOutage(60_000, false)));
  }

  private static int countCallsDuringOutage(int graceMs, boolean refused) throws Exception {
    try (WatchHarness harness = new WatchHarness(true, AUTOMATIC_MODE, graceMs)) {
      harness.retryAfterFailure(750);
      harness.openWatch();
      MixerTestHarness.DiscoveryConnection watch = acceptWatchAndSendList(harness, 42);
      harness.advanceClock(2000);
      long callsBefore = harness.discoveryCalls();
      if (refused) {
        harness.agent.stopListening();
        watch.reset();
        harness.awaitCount("discovery failures", 2);
        advanceWhileRefused(harness, 10_000, 1);
      } else {
        for (int i = 0; i < 10_000; i++) {
          harness.advanceClock(1);
        }
      }
      return (int) (harness.discoveryCalls() - callsBefore);
    }
  }
}
