package gingerring.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Pairs of simultaneous events at the discovery watch, in both orders: see docs/crossings.md. */
@Timeout(120)
class WatchRaceTest {
  private static final String AUTOMATIC_MODE = "automatic";
  private static final String SUBSCRIBE_MODE = "subscribe";

  /** A drain grace, and the interval between calls that follows from it. */
  private static final int DRAIN_GRACE_MS = 500;

  private static final int CALL_INTERVAL_MS = 250;

  /**
   * The longest interval between calls: a third of the time that the protocol leaves between the
   * detection of a silent watch and its deadline.
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

  /**
   * Advances the clock step by step, and waits for each call to be refused before the next step.
   */
  private static void advanceWhileRefused(WatchHarness harness, int totalMs, int stepMs)
      throws InterruptedException {
    for (int i = 0; i <= totalMs; i += stepMs) {
      // refusals arrive from the network, independent of the clock
      MixerTestHarness.await(
          "refusals", () -> harness.counts.get("discovery failures") >= harness.discoveryCalls());
      if (i < totalMs) {
        harness.advanceClock(stepMs);
      }
    }
  }

  /**
   * Guards against a mixer that waits longer than the drain grace before it calls again, although
   * an agent that is reachable again counts its list as delivered at once.
   */
  @Test
  void refusedWatchRetriesTwiceWithinDrainGraceUntilAgentReturns() throws Exception {
    try (WatchHarness harness = new WatchHarness(true, AUTOMATIC_MODE, DRAIN_GRACE_MS)) {
      harness.openWatch();
      MixerTestHarness.DiscoveryConnection watch = acceptWatchAndSendList(harness, 42);
      harness.advanceClock(SILENCE_TIMEOUT_MS - 100);
      harness.agent.stopListening();
      watch.reset();
      // one failure of the watch, one of the call that followed at once
      assertEquals("failed", harness.nextNotification());
      assertEquals("failed", harness.nextNotification());
      advanceWhileRefused(harness, 3000, 50);
      assertEquals(2 + 3000 / CALL_INTERVAL_MS, harness.discoveryCalls());
      assertNull(
          harness.notifications.poll(),
          "failed calls that the watch repeats itself are not reported");
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
   * The same where the agent accepts connections and sends nothing: no call waits for the end of
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
   * Two calls are answered in one loop iteration: the second answer has no newer list than the
   * first, and is not a failure.
   */
  @Test
  void firstOfTwoCallsAnsweredInOneIterationBecomesWatch() throws Exception {
    try (WatchHarness harness = new WatchHarness(true, AUTOMATIC_MODE, DRAIN_GRACE_MS)) {
      harness.openWatch();
      MixerTestHarness.DiscoveryConnection olderCall = harness.agent.acceptWatch();
      harness.advanceClock(CALL_INTERVAL_MS);
      MixerTestHarness.DiscoveryConnection newerCall = harness.agent.acceptWatch();
      harness.runInLoop(() -> {}); // both response heads are read
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
   * Guards against a list that arrives too late because the first call after a silent watch is
   * refused or silent too.
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
          // without a retry of the mixer the watch calls again twice before its deadline; the first
          // of these calls is silent too
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

  /**
   * An agent that ends each watch as it begins is called at the usual interval, not without a
   * pause.
   */
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
   * A mixer that retries after each reported failure has only one pending retry. Guards against
   * calls that cause further calls, so that their rate grows without bound.
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
          harness.notifications.size() <= 30_000 / 600,
          "notifications " + harness.notifications.size());
    }
  }

  /**
   * The longest interval applies with a long drain grace, and in subscribe mode, which has no
   * pushed lists.
   */
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

  /**
   * The shortest interval is bounded however short the drain grace is, and so is the number of
   * calls in progress.
   */
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
            "at most eight connections", () -> harness.network.connectionCount() <= 8);
      }
    }
  }

  /**
   * The number of calls in an outage of 10 s, with a mixer that retries 750 ms after each reported
   * failure, its mean delay.
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
