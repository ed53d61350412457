package gingerring.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A change of the discovery agent's address, and events that race it, in both orders: see
 * docs/crossings.md.
 */
@Timeout(120)
class WatchAddressChangeTest {
  private static final int DRAIN_GRACE_MS = 500;
  private static final int CALL_INTERVAL_MS = 250;
  private static final int MAX_CALL_INTERVAL_MS = 1167;
  private static final int SILENCE_TIMEOUT_MS = 2500;

  private static WatchHarness newHarness() throws Exception {
    return new WatchHarness(true, "automatic", DRAIN_GRACE_MS);
  }

  private static MixerTestHarness.DiscoveryConnection acceptWatchAndSendList(
      WatchHarness harness, MixerTestHarness.DiscoveryAgent agent, int expectedIndex, int revision)
      throws Exception {
    MixerTestHarness.DiscoveryConnection watch = agent.acceptWatch();
    assertTrue(
        watch.requestHead.contains("?stream=1&index=" + expectedIndex + ' '), watch.requestHead);
    watch.sendLine(MixerTestHarness.memberListLine(revision, true));
    assertEquals("list " + revision, harness.nextNotification());
    return watch;
  }

  /** Runs all pending events and asserts that they report nothing. */
  private static void assertNoNotification(WatchHarness harness) throws Exception {
    for (int i = 0; i < 3; i++) {
      harness.runInLoop(() -> {});
    }
    assertNull(harness.notifications.poll());
  }

  /**
   * Guards against a mixer without any watch between the address change and the first list from the
   * new address.
   */
  @Test
  void formerWatchIsUsedUntilFirstListFromNewAddress() throws Exception {
    try (WatchHarness harness = newHarness();
        MixerTestHarness.DiscoveryAgent newAgent = new MixerTestHarness.DiscoveryAgent(true)) {
      harness.openWatch();
      MixerTestHarness.DiscoveryConnection formerWatch =
          acceptWatchAndSendList(harness, harness.agent, 41, 42);
      harness.changeAgentAddress(newAgent.address());
      MixerTestHarness.DiscoveryConnection watch = newAgent.acceptWatch();
      assertTrue(watch.requestHead.contains("index=0 "), watch.requestHead);
      formerWatch.sendLine(MixerTestHarness.memberListLine(43, false));
      assertEquals("list 43", harness.nextNotification());
      watch.sendLine("");
      formerWatch.sendLine(MixerTestHarness.memberListLine(44, false));
      assertEquals("list 44", harness.nextNotification());
      watch.sendLine(MixerTestHarness.memberListLine(7, true));
      assertEquals("list 7", harness.nextNotification());
      assertEquals("closed", formerWatch.awaitEnd());
      watch.sendLine(MixerTestHarness.memberListLine(8, false));
      assertEquals("list 8", harness.nextNotification());
      assertNull(harness.notifications.poll());
    }
  }

  /**
   * Guards against an unusable list from the new address that ends the former watch, which still
   * works.
   */
  @Test
  void unusableListDoesNotEndFormerWatch() throws Exception {
    try (WatchHarness harness = newHarness();
        MixerTestHarness.DiscoveryAgent newAgent = new MixerTestHarness.DiscoveryAgent(true)) {
      harness.openWatch();
      MixerTestHarness.DiscoveryConnection formerWatch =
          acceptWatchAndSendList(harness, harness.agent, 41, 42);
      harness.changeAgentAddress(newAgent.address());
      newAgent.acceptWatch().sendLine("{\"revision\":7}");
      assertEquals("failed", harness.nextNotification());
      formerWatch.sendLine(MixerTestHarness.memberListLine(43, false));
      assertEquals("list 43", harness.nextNotification());
      harness.advanceClock(CALL_INTERVAL_MS);
      acceptWatchAndSendList(harness, newAgent, 0, 8);
      assertEquals("closed", formerWatch.awaitEnd());
    }
  }

  /** Within one loop iteration the list from the new address prevails, whichever is read first. */
  @Test
  void listOfFormerWatchAfterListFromNewAddressIsIgnored() throws Exception {
    for (boolean formerFirst : new boolean[] {true, false}) {
      try (WatchHarness harness = newHarness();
          MixerTestHarness.DiscoveryAgent newAgent = new MixerTestHarness.DiscoveryAgent(true)) {
        harness.openWatch();
        MixerTestHarness.DiscoveryConnection formerWatch =
            acceptWatchAndSendList(harness, harness.agent, 41, 42);
        harness.changeAgentAddress(newAgent.address());
        MixerTestHarness.DiscoveryConnection watch = newAgent.acceptWatch();
        harness.sendEmptyLine(watch);
        harness.awaitCount("discovery calls", 2);
        assertNoNotification(harness);
        harness.runWhileBlocked(
            () -> {
              (formerFirst ? formerWatch : watch)
                  .sendLine(
                      formerFirst
                          ? MixerTestHarness.memberListLine(43, false)
                          : MixerTestHarness.memberListLine(7, true));
              harness.awaitPosted(1);
              (formerFirst ? watch : formerWatch)
                  .sendLine(
                      formerFirst
                          ? MixerTestHarness.memberListLine(7, true)
                          : MixerTestHarness.memberListLine(43, false));
              harness.awaitPosted(2);
            });
        if (formerFirst) {
          assertEquals("list 43", harness.nextNotification());
        }
        assertEquals("list 7", harness.nextNotification());
        assertNoNotification(harness);
      }
    }
  }

  /** Guards against a second address change that ends the only watch that has delivered a list. */
  @Test
  void lastWatchWithListIsKeptOverTwoAddressChanges() throws Exception {
    try (WatchHarness harness = newHarness();
        MixerTestHarness.DiscoveryAgent secondAgent = new MixerTestHarness.DiscoveryAgent(true);
        MixerTestHarness.DiscoveryAgent thirdAgent = new MixerTestHarness.DiscoveryAgent(true)) {
      harness.openWatch();
      MixerTestHarness.DiscoveryConnection formerWatch =
          acceptWatchAndSendList(harness, harness.agent, 41, 42);
      harness.changeAgentAddress(secondAgent.address());
      MixerTestHarness.DiscoveryConnection unansweredWatch = secondAgent.acceptWatch();
      harness.changeAgentAddress(thirdAgent.address());
      assertEquals("closed", unansweredWatch.awaitEnd());
      formerWatch.sendLine(MixerTestHarness.memberListLine(43, false));
      assertEquals("list 43", harness.nextNotification());
      MixerTestHarness.DiscoveryConnection watch =
          acceptWatchAndSendList(harness, thirdAgent, 0, 5);
      assertEquals("closed", formerWatch.awaitEnd());
      // once the second agent has sent a list, its watch is kept
      harness.changeAgentAddress(secondAgent.address());
      MixerTestHarness.DiscoveryConnection returnedWatch =
          acceptWatchAndSendList(harness, secondAgent, 0, 9);
      assertEquals("closed", watch.awaitEnd());
      harness.changeAgentAddress(thirdAgent.address());
      returnedWatch.sendLine(MixerTestHarness.memberListLine(10, false));
      assertEquals("list 10", harness.nextNotification());
      acceptWatchAndSendList(harness, thirdAgent, 0, 6);
      assertEquals("closed", returnedWatch.awaitEnd());
      assertEquals(0, harness.counts.get("discovery failures"));
    }
  }

  @Test
  void returnToFirstAddressRequestsFullList() throws Exception {
    try (WatchHarness harness = newHarness();
        MixerTestHarness.DiscoveryAgent newAgent = new MixerTestHarness.DiscoveryAgent(true)) {
      harness.openWatch();
      MixerTestHarness.DiscoveryConnection formerWatch =
          acceptWatchAndSendList(harness, harness.agent, 41, 42);
      harness.changeAgentAddress(newAgent.address());
      MixerTestHarness.DiscoveryConnection unansweredWatch = newAgent.acceptWatch();
      harness.changeAgentAddress(harness.agent.address());
      assertEquals("closed", unansweredWatch.awaitEnd());
      formerWatch.sendLine(MixerTestHarness.memberListLine(43, false));
      assertEquals("list 43", harness.nextNotification());
      MixerTestHarness.DiscoveryConnection watch =
          acceptWatchAndSendList(harness, harness.agent, 0, 43);
      assertEquals("closed", formerWatch.awaitEnd());
      harness.changeAgentAddress(harness.agent.address()); // unchanged address
      watch.sendLine(MixerTestHarness.memberListLine(44, false));
      assertEquals("list 44", harness.nextNotification());
      assertEquals(3, harness.discoveryCalls());
    }
  }

  /**
   * A former watch that falls silent or ends is not a failure; the calls to the new address go on.
   */
  @Test
  void endedFormerWatchIsNotReopened() throws Exception {
    for (boolean silent : new boolean[] {true, false}) {
      try (WatchHarness harness = newHarness();
          MixerTestHarness.DiscoveryAgent newAgent = new MixerTestHarness.DiscoveryAgent(false)) {
        harness.openWatch();
        MixerTestHarness.DiscoveryConnection formerWatch =
            acceptWatchAndSendList(harness, harness.agent, 41, 42);
        harness.changeAgentAddress(newAgent.address());
        assertEquals("failed", harness.nextNotification());
        if (silent) {
          for (int i = 0; i < SILENCE_TIMEOUT_MS; i += CALL_INTERVAL_MS) {
            long failures = harness.counts.get("discovery failures");
            harness.advanceClock(CALL_INTERVAL_MS);
            harness.awaitCount("discovery failures", failures + 1);
          }
          assertEquals("closed", formerWatch.awaitEnd());
        } else {
          formerWatch.reset();
          harness.awaitCount("discovery failures", 2);
        }
        assertNoNotification(harness);
        newAgent.resumeListening();
        harness.advanceClock(CALL_INTERVAL_MS);
        acceptWatchAndSendList(harness, newAgent, 0, 5);
        assertTrue(harness.agent.noConnectionWithin(java.time.Duration.ofMillis(50)));
      }
    }
  }

  /**
   * Guards against a timer for outdated lists that was set before the address change and ends the
   * watch after it.
   */
  @Test
  void olderListTimerIsCancelledByAddressChange() throws Exception {
    for (boolean addressChanged : new boolean[] {true, false}) {
      try (WatchHarness harness = newHarness();
          MixerTestHarness.DiscoveryAgent newAgent = new MixerTestHarness.DiscoveryAgent(true)) {
        harness.openWatch();
        MixerTestHarness.DiscoveryConnection outdatedWatch = harness.agent.acceptWatch();
        outdatedWatch.sendLine(MixerTestHarness.memberListLine(39, true));
        harness.awaitCount("lists older than the one held", 1);
        MixerTestHarness.DiscoveryConnection watch = outdatedWatch;
        if (addressChanged) {
          harness.changeAgentAddress(newAgent.address());
          watch = acceptWatchAndSendList(harness, newAgent, 0, 3);
        }
        long calls = harness.discoveryCalls();
        for (int i = 0; i < 6000; i += 1000) {
          harness.sendEmptyLine(watch);
          assertNoNotification(harness);
          harness.advanceClock(1000);
        }
        assertEquals(addressChanged ? calls : calls + 1, harness.discoveryCalls());
        if (!addressChanged) {
          acceptWatchAndSendList(harness, harness.agent, 0, 39);
        }
      }
    }
  }

  /** Guards against a full list from the former address that replaces the list from the new one. */
  @Test
  void fetchInFlightIsRepeatedAtNewAddress() throws Exception {
    for (boolean answered : new boolean[] {true, false}) {
      try (WatchHarness harness = newHarness();
          MixerTestHarness.DiscoveryAgent newAgent = new MixerTestHarness.DiscoveryAgent(true)) {
        harness.runInLoop(harness.watch::fetchFullList);
        MixerTestHarness.DiscoveryConnection fetch = harness.agent.acceptRequest();
        assertTrue(
            fetch.requestHead.startsWith("GET /v1/endpoints HTTP/1.1\r\n"), fetch.requestHead);
        String oldList = MixerTestHarness.memberListLine(42, true);
        String answer =
            "HTTP/1.1 200 OK\r\nContent-Length: " + oldList.length() + "\r\n\r\n" + oldList;
        if (answered) {
          fetch.write(answer);
          assertEquals("list 42", harness.nextNotification());
        }
        harness.changeAgentAddress(newAgent.address());
        assertEquals("closed", fetch.awaitEnd());
        if (!answered) {
          String list = MixerTestHarness.memberListLine(7, true);
          newAgent
              .acceptRequest()
              .write("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
          assertEquals("list 7", harness.nextNotification());
        }
        assertNoNotification(harness);
        assertEquals(answered ? 1 : 2, harness.discoveryCalls());
      }
    }
  }

  /**
   * Guards against a fetch that was answered before the watch sent its list, and arrives after it.
   */
  @Test
  void fetchOlderThanWatchedListIsIgnored() throws Exception {
    try (WatchHarness harness = newHarness()) {
      harness.openWatch();
      MixerTestHarness.DiscoveryConnection watch =
          acceptWatchAndSendList(harness, harness.agent, 41, 42);
      harness.runInLoop(harness.watch::fetchFullList);
      MixerTestHarness.DiscoveryConnection fetch = harness.agent.acceptRequest();
      watch.sendLine(MixerTestHarness.memberListLine(43, false));
      assertEquals("list 43", harness.nextNotification());
      String oldList = MixerTestHarness.memberListLine(42, true);
      fetch.write("HTTP/1.1 200 OK\r\nContent-Length: " + oldList.length() + "\r\n\r\n" + oldList);
      assertEquals("closed", fetch.awaitEnd());
      assertNoNotification(harness);
    }
  }

  /**
   * The list at the new address has to apply 4 s after the address change: calls that are refused
   * or silent do not use up that time.
   */
  @Test
  void newAddressIsCalledThreeTimesWithinFourSeconds() throws Exception {
    for (boolean refused : new boolean[] {true, false}) {
      try (WatchHarness harness = new WatchHarness(true, "subscribe", DRAIN_GRACE_MS);
          MixerTestHarness.DiscoveryAgent newAgent =
              new MixerTestHarness.DiscoveryAgent(!refused)) {
        harness.openWatch();
        acceptWatchAndSendList(harness, harness.agent, 41, 42);
        harness.advanceClock(1000);
        harness.changeAgentAddress(newAgent.address());
        for (int i = 1; i <= 2; i++) {
          if (refused) {
            harness.awaitCount("discovery failures", i);
          } else {
            newAgent.acceptRequest();
          }
          if (i == 2 && refused) {
            newAgent.resumeListening();
          }
          harness.advanceClock(MAX_CALL_INTERVAL_MS);
        }
        assertTrue(3 * MAX_CALL_INTERVAL_MS < 4000);
        MixerTestHarness.DiscoveryConnection watch = newAgent.acceptWatch();
        watch.sendLine(MixerTestHarness.memberListLine(7, true));
        String notification = harness.nextNotification();
        assertEquals(
            "list 7", "failed".equals(notification) ? harness.nextNotification() : notification);
      }
    }
  }

  /**
   * An address change before the mixer opens a watch, or after it has closed the watch, opens none.
   */
  @Test
  void addressChangeOpensNoUnrequestedWatch() throws Exception {
    try (WatchHarness harness = newHarness();
        MixerTestHarness.DiscoveryAgent newAgent = new MixerTestHarness.DiscoveryAgent(true)) {
      harness.changeAgentAddress(newAgent.address());
      assertEquals(0, harness.discoveryCalls());
      harness.openWatch();
      MixerTestHarness.DiscoveryConnection watch = acceptWatchAndSendList(harness, newAgent, 0, 7);
      harness.runInLoop(harness.watch::close);
      assertEquals("closed", watch.awaitEnd());
      harness.changeAgentAddress(harness.agent.address());
      harness.advanceClock(10_000);
      assertEquals(1, harness.discoveryCalls());
      assertNull(harness.notifications.poll());
    }
  }
}
