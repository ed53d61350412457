package gingerring.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A move of discovery, and what crosses it, in both orders: see docs/crossings.md. */
@Timeout(120)
class WatchMoveTest {
  private static final int GRACE_MS = 500;
  private static final int PACE_MS = 250;
  private static final int SLOWEST_MS = 1167;
  private static final int SILENCE_MS = 2500;

  private static WatchStage stage() throws Exception {
    return new WatchStage(true, "automatic", GRACE_MS);
  }

  private static MixerTestHarness.DiscoveryConnection speaking(
      WatchStage stage, MixerTestHarness.DiscoveryAgent agent, int index, int revision)
      throws Exception {
    MixerTestHarness.DiscoveryConnection watch = agent.acceptWatch();
    assertTrue(watch.requestHead.contains("?stream=1&index=" + index + ' '), watch.requestHead);
    watch.sendLine(MixerTestHarness.memberListLine(revision, true));
    assertEquals("list " + revision, stage.next());
    return watch;
  }

  /** All that has been said is heard, and what was to be told of it is. */
  private static void nothingTold(WatchStage stage) throws Exception {
    for (int i = 0; i < 3; i++) {
      stage.inLoop(() -> {});
    }
    assertNull(stage.told.poll());
  }

  /**
   * Guards against a mixer that hears nobody between the move and the first list from the new
   * address.
   */
  @Test
  void theFormerWatchIsHeardUntilTheFirstListFromTheNewAddress() throws Exception {
    try (WatchStage stage = stage();
        MixerTestHarness.DiscoveryAgent there = new MixerTestHarness.DiscoveryAgent(true)) {
      stage.open();
      MixerTestHarness.DiscoveryConnection former = speaking(stage, stage.agent, 41, 42);
      stage.move(there.address());
      MixerTestHarness.DiscoveryConnection watch = there.acceptWatch();
      assertTrue(watch.requestHead.contains("index=0 "), watch.requestHead);
      former.sendLine(MixerTestHarness.memberListLine(43, false));
      assertEquals("list 43", stage.next());
      watch.sendLine("");
      former.sendLine(MixerTestHarness.memberListLine(44, false));
      assertEquals("list 44", stage.next());
      watch.sendLine(MixerTestHarness.memberListLine(7, true));
      assertEquals("list 7", stage.next());
      assertEquals("closed", former.awaitEnd());
      watch.sendLine(MixerTestHarness.memberListLine(8, false));
      assertEquals("list 8", stage.next());
      assertNull(stage.told.poll());
    }
  }

  /** Guards against a list that cannot be used, and ends the watch that could. */
  @Test
  void aListThatCannotBeReadDoesNotEndTheFormerWatch() throws Exception {
    try (WatchStage stage = stage();
        MixerTestHarness.DiscoveryAgent there = new MixerTestHarness.DiscoveryAgent(true)) {
      stage.open();
      MixerTestHarness.DiscoveryConnection former = speaking(stage, stage.agent, 41, 42);
      stage.move(there.address());
      there.acceptWatch().sendLine("{\"revision\":7}");
      assertEquals("failed", stage.next());
      former.sendLine(MixerTestHarness.memberListLine(43, false));
      assertEquals("list 43", stage.next());
      stage.pass(PACE_MS);
      speaking(stage, there, 0, 8);
      assertEquals("closed", former.awaitEnd());
    }
  }

  /** In one turn: the new address has the last word, whichever comes first. */
  @Test
  void whatTheFormerSaysAfterTheNewListIsNotTold() throws Exception {
    for (boolean formerFirst : new boolean[] {true, false}) {
      try (WatchStage stage = stage();
          MixerTestHarness.DiscoveryAgent there = new MixerTestHarness.DiscoveryAgent(true)) {
        stage.open();
        MixerTestHarness.DiscoveryConnection former = speaking(stage, stage.agent, 41, 42);
        stage.move(there.address());
        MixerTestHarness.DiscoveryConnection watch = there.acceptWatch();
        stage.saysOn(watch);
        stage.awaitCount("discovery calls", 2);
        nothingTold(stage);
        stage.hold(
            () -> {
              (formerFirst ? former : watch)
                  .sendLine(
                      formerFirst
                          ? MixerTestHarness.memberListLine(43, false)
                          : MixerTestHarness.memberListLine(7, true));
              stage.posted(1);
              (formerFirst ? watch : former)
                  .sendLine(
                      formerFirst
                          ? MixerTestHarness.memberListLine(7, true)
                          : MixerTestHarness.memberListLine(43, false));
              stage.posted(2);
            });
        if (formerFirst) {
          assertEquals("list 43", stage.next());
        }
        assertEquals("list 7", stage.next());
        nothingTold(stage);
      }
    }
  }

  /** Guards against a second move that ends the watch which alone has spoken. */
  @Test
  void theLastWatchThatSpokeStaysOverTwoMoves() throws Exception {
    try (WatchStage stage = stage();
        MixerTestHarness.DiscoveryAgent second = new MixerTestHarness.DiscoveryAgent(true);
        MixerTestHarness.DiscoveryAgent third = new MixerTestHarness.DiscoveryAgent(true)) {
      stage.open();
      MixerTestHarness.DiscoveryConnection former = speaking(stage, stage.agent, 41, 42);
      stage.move(second.address());
      MixerTestHarness.DiscoveryConnection unheard = second.acceptWatch();
      stage.move(third.address());
      assertEquals("closed", unheard.awaitEnd());
      former.sendLine(MixerTestHarness.memberListLine(43, false));
      assertEquals("list 43", stage.next());
      MixerTestHarness.DiscoveryConnection watch = speaking(stage, third, 0, 5);
      assertEquals("closed", former.awaitEnd());
      // and where the second has spoken, it is the one that stays
      stage.move(second.address());
      MixerTestHarness.DiscoveryConnection back = speaking(stage, second, 0, 9);
      assertEquals("closed", watch.awaitEnd());
      stage.move(third.address());
      back.sendLine(MixerTestHarness.memberListLine(10, false));
      assertEquals("list 10", stage.next());
      speaking(stage, third, 0, 6);
      assertEquals("closed", back.awaitEnd());
      assertEquals(0, stage.counts.get("discovery failures"));
    }
  }

  @Test
  void backAtTheFirstAddressItsWholeListIsAskedForAnew() throws Exception {
    try (WatchStage stage = stage();
        MixerTestHarness.DiscoveryAgent there = new MixerTestHarness.DiscoveryAgent(true)) {
      stage.open();
      MixerTestHarness.DiscoveryConnection former = speaking(stage, stage.agent, 41, 42);
      stage.move(there.address());
      MixerTestHarness.DiscoveryConnection unheard = there.acceptWatch();
      stage.move(stage.agent.address());
      assertEquals("closed", unheard.awaitEnd());
      former.sendLine(MixerTestHarness.memberListLine(43, false));
      assertEquals("list 43", stage.next());
      MixerTestHarness.DiscoveryConnection watch = speaking(stage, stage.agent, 0, 43);
      assertEquals("closed", former.awaitEnd());
      stage.move(stage.agent.address()); // it is there already
      watch.sendLine(MixerTestHarness.memberListLine(44, false));
      assertEquals("list 44", stage.next());
      assertEquals(3, stage.calls());
    }
  }

  /** A former watch that falls silent or ends is no failure; the calls to the new address go on. */
  @Test
  void aFormerWatchThatEndsIsNotOpenedAgain() throws Exception {
    for (boolean silent : new boolean[] {true, false}) {
      try (WatchStage stage = stage();
          MixerTestHarness.DiscoveryAgent there = new MixerTestHarness.DiscoveryAgent(false)) {
        stage.open();
        MixerTestHarness.DiscoveryConnection former = speaking(stage, stage.agent, 41, 42);
        stage.move(there.address());
        assertEquals("failed", stage.next());
        if (silent) {
          for (int i = 0; i < SILENCE_MS; i += PACE_MS) {
            long failures = stage.counts.get("discovery failures");
            stage.pass(PACE_MS);
            stage.awaitCount("discovery failures", failures + 1);
          }
          assertEquals("closed", former.awaitEnd());
        } else {
          former.reset();
          stage.awaitCount("discovery failures", 2);
        }
        nothingTold(stage);
        there.resumeListening();
        stage.pass(PACE_MS);
        speaking(stage, there, 0, 5);
        assertTrue(stage.agent.noConnectionWithin(java.time.Duration.ofMillis(50)));
      }
    }
  }

  /**
   * Guards against a timer for older lists that was set before the move, and ends the watch after
   * it.
   */
  @Test
  void theTimerForOlderListsDoesNotOutliveAMove() throws Exception {
    for (boolean moved : new boolean[] {true, false}) {
      try (WatchStage stage = stage();
          MixerTestHarness.DiscoveryAgent there = new MixerTestHarness.DiscoveryAgent(true)) {
        stage.open();
        MixerTestHarness.DiscoveryConnection late = stage.agent.acceptWatch();
        late.sendLine(MixerTestHarness.memberListLine(39, true));
        stage.awaitCount("lists older than the one held", 1);
        MixerTestHarness.DiscoveryConnection watch = late;
        if (moved) {
          stage.move(there.address());
          watch = speaking(stage, there, 0, 3);
        }
        long calls = stage.calls();
        for (int i = 0; i < 6000; i += 1000) {
          stage.saysOn(watch);
          nothingTold(stage);
          stage.pass(1000);
        }
        assertEquals(moved ? calls : calls + 1, stage.calls());
        if (!moved) {
          speaking(stage, stage.agent, 0, 39);
        }
      }
    }
  }

  /** Guards against a whole list of the former address that replaces the one from the new. */
  @Test
  void aFetchInFlightIsAskedAnewAtTheNewAddress() throws Exception {
    for (boolean answered : new boolean[] {true, false}) {
      try (WatchStage stage = stage();
          MixerTestHarness.DiscoveryAgent there = new MixerTestHarness.DiscoveryAgent(true)) {
        stage.inLoop(stage.watch::fetchFullList);
        MixerTestHarness.DiscoveryConnection fetch = stage.agent.acceptRequest();
        assertTrue(
            fetch.requestHead.startsWith("GET /v1/endpoints HTTP/1.1\r\n"), fetch.requestHead);
        String old = MixerTestHarness.memberListLine(42, true);
        String answer = "HTTP/1.1 200 OK\r\nContent-Length: " + old.length() + "\r\n\r\n" + old;
        if (answered) {
          fetch.write(answer);
          assertEquals("list 42", stage.next());
        }
        stage.move(there.address());
        assertEquals("closed", fetch.awaitEnd());
        if (!answered) {
          String list = MixerTestHarness.memberListLine(7, true);
          there
              .acceptRequest()
              .write("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
          assertEquals("list 7", stage.next());
        }
        nothingTold(stage);
        assertEquals(answered ? 1 : 2, stage.calls());
      }
    }
  }

  /** Guards against a fetch that was answered before the watch spoke, and comes after it. */
  @Test
  void aFetchThatIsOlderThanWhatTheWatchToldTellsNothing() throws Exception {
    try (WatchStage stage = stage()) {
      stage.open();
      MixerTestHarness.DiscoveryConnection watch = speaking(stage, stage.agent, 41, 42);
      stage.inLoop(stage.watch::fetchFullList);
      MixerTestHarness.DiscoveryConnection fetch = stage.agent.acceptRequest();
      watch.sendLine(MixerTestHarness.memberListLine(43, false));
      assertEquals("list 43", stage.next());
      String old = MixerTestHarness.memberListLine(42, true);
      fetch.write("HTTP/1.1 200 OK\r\nContent-Length: " + old.length() + "\r\n\r\n" + old);
      assertEquals("closed", fetch.awaitEnd());
      nothingTold(stage);
    }
  }

  /**
   * What the new address has counts 4 s after the move: calls that are refused or silent do not use
   * it up.
   */
  @Test
  void theNewAddressIsCalledThriceWithinTheTermOfAMove() throws Exception {
    for (boolean refused : new boolean[] {true, false}) {
      try (WatchStage stage = new WatchStage(true, "subscribe", GRACE_MS);
          MixerTestHarness.DiscoveryAgent there = new MixerTestHarness.DiscoveryAgent(!refused)) {
        stage.open();
        speaking(stage, stage.agent, 41, 42);
        stage.pass(1000);
        stage.move(there.address());
        for (int i = 1; i <= 2; i++) {
          if (refused) {
            stage.awaitCount("discovery failures", i);
          } else {
            there.acceptRequest();
          }
          if (i == 2 && refused) {
            there.resumeListening();
          }
          stage.pass(SLOWEST_MS);
        }
        assertTrue(3 * SLOWEST_MS < 4000);
        MixerTestHarness.DiscoveryConnection watch = there.acceptWatch();
        watch.sendLine(MixerTestHarness.memberListLine(7, true));
        String told = stage.next();
        assertEquals("list 7", "failed".equals(told) ? stage.next() : told);
      }
    }
  }

  /** A move before the mixer asks for a watch, or after it wants none, opens none. */
  @Test
  void aMoveOpensNoWatchThatNobodyAskedFor() throws Exception {
    try (WatchStage stage = stage();
        MixerTestHarness.DiscoveryAgent there = new MixerTestHarness.DiscoveryAgent(true)) {
      stage.move(there.address());
      assertEquals(0, stage.calls());
      stage.open();
      MixerTestHarness.DiscoveryConnection watch = speaking(stage, there, 0, 7);
      stage.inLoop(stage.watch::close);
      assertEquals("closed", watch.awaitEnd());
      stage.move(stage.agent.address());
      stage.pass(10_000);
      assertEquals(1, stage.calls());
      assertNull(stage.told.poll());
    }
  }
}
