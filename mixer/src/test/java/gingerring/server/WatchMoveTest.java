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

  private static Rig.Call speaking(WatchStage stage, Rig.Agent agent, int index, int revision)
      throws Exception {
    Rig.Call watch = agent.watch();
    assertTrue(watch.request.contains("?stream=1&index=" + index + ' '), watch.request);
    watch.say(Rig.list(revision, true));
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
        Rig.Agent there = new Rig.Agent(true)) {
      stage.open();
      Rig.Call former = speaking(stage, stage.agent, 41, 42);
      stage.move(there.address());
      Rig.Call watch = there.watch();
      assertTrue(watch.request.contains("index=0 "), watch.request);
      former.say(Rig.list(43, false));
      assertEquals("list 43", stage.next());
      watch.say("");
      former.say(Rig.list(44, false));
      assertEquals("list 44", stage.next());
      watch.say(Rig.list(7, true));
      assertEquals("list 7", stage.next());
      assertEquals("closed", former.end());
      watch.say(Rig.list(8, false));
      assertEquals("list 8", stage.next());
      assertNull(stage.told.poll());
    }
  }

  /** Guards against a list that cannot be used, and ends the watch that could. */
  @Test
  void aListThatCannotBeReadDoesNotEndTheFormerWatch() throws Exception {
    try (WatchStage stage = stage();
        Rig.Agent there = new Rig.Agent(true)) {
      stage.open();
      Rig.Call former = speaking(stage, stage.agent, 41, 42);
      stage.move(there.address());
      there.watch().say("{\"revision\":7}");
      assertEquals("failed", stage.next());
      former.say(Rig.list(43, false));
      assertEquals("list 43", stage.next());
      stage.pass(PACE_MS);
      speaking(stage, there, 0, 8);
      assertEquals("closed", former.end());
    }
  }

  /** In one turn: the new address has the last word, whichever comes first. */
  @Test
  void whatTheFormerSaysAfterTheNewListIsNotTold() throws Exception {
    for (boolean formerFirst : new boolean[] {true, false}) {
      try (WatchStage stage = stage();
          Rig.Agent there = new Rig.Agent(true)) {
        stage.open();
        Rig.Call former = speaking(stage, stage.agent, 41, 42);
        stage.move(there.address());
        Rig.Call watch = there.watch();
        stage.saysOn(watch);
        stage.awaitCount("discovery calls", 2);
        nothingTold(stage);
        stage.hold(
            () -> {
              (formerFirst ? former : watch)
                  .say(formerFirst ? Rig.list(43, false) : Rig.list(7, true));
              stage.posted(1);
              (formerFirst ? watch : former)
                  .say(formerFirst ? Rig.list(7, true) : Rig.list(43, false));
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
        Rig.Agent second = new Rig.Agent(true);
        Rig.Agent third = new Rig.Agent(true)) {
      stage.open();
      Rig.Call former = speaking(stage, stage.agent, 41, 42);
      stage.move(second.address());
      Rig.Call unheard = second.watch();
      stage.move(third.address());
      assertEquals("closed", unheard.end());
      former.say(Rig.list(43, false));
      assertEquals("list 43", stage.next());
      Rig.Call watch = speaking(stage, third, 0, 5);
      assertEquals("closed", former.end());
      // and where the second has spoken, it is the one that stays
      stage.move(second.address());
      Rig.Call back = speaking(stage, second, 0, 9);
      assertEquals("closed", watch.end());
      stage.move(third.address());
      back.say(Rig.list(10, false));
      assertEquals("list 10", stage.next());
      speaking(stage, third, 0, 6);
      assertEquals("closed", back.end());
      assertEquals(0, stage.counts.get("discovery failures"));
    }
  }

  @Test
  void backAtTheFirstAddressItsWholeListIsAskedForAnew() throws Exception {
    try (WatchStage stage = stage();
        Rig.Agent there = new Rig.Agent(true)) {
      stage.open();
      Rig.Call former = speaking(stage, stage.agent, 41, 42);
      stage.move(there.address());
      Rig.Call unheard = there.watch();
      stage.move(stage.agent.address());
      assertEquals("closed", unheard.end());
      former.say(Rig.list(43, false));
      assertEquals("list 43", stage.next());
      Rig.Call watch = speaking(stage, stage.agent, 0, 43);
      assertEquals("closed", former.end());
      stage.move(stage.agent.address()); // it is there already
      watch.say(Rig.list(44, false));
      assertEquals("list 44", stage.next());
      assertEquals(3, stage.calls());
    }
  }

  /** A former watch that falls silent or ends is no failure; the calls to the new address go on. */
  @Test
  void aFormerWatchThatEndsIsNotOpenedAgain() throws Exception {
    for (boolean silent : new boolean[] {true, false}) {
      try (WatchStage stage = stage();
          Rig.Agent there = new Rig.Agent(false)) {
        stage.open();
        Rig.Call former = speaking(stage, stage.agent, 41, 42);
        stage.move(there.address());
        assertEquals("failed", stage.next());
        if (silent) {
          for (int i = 0; i < SILENCE_MS; i += PACE_MS) {
            long failures = stage.counts.get("discovery failures");
            stage.pass(PACE_MS);
            stage.awaitCount("discovery failures", failures + 1);
          }
          assertEquals("closed", former.end());
        } else {
          former.reset();
          stage.awaitCount("discovery failures", 2);
        }
        nothingTold(stage);
        there.admit();
        stage.pass(PACE_MS);
        speaking(stage, there, 0, 5);
        assertTrue(stage.agent.quiet(java.time.Duration.ofMillis(50)));
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
          Rig.Agent there = new Rig.Agent(true)) {
        stage.open();
        Rig.Call late = stage.agent.watch();
        late.say(Rig.list(39, true));
        stage.awaitCount("lists older than the one held", 1);
        Rig.Call watch = late;
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
          Rig.Agent there = new Rig.Agent(true)) {
        stage.inLoop(stage.watch::fetchFullList);
        Rig.Call fetch = stage.agent.call();
        assertTrue(fetch.request.startsWith("GET /v1/endpoints HTTP/1.1\r\n"), fetch.request);
        String old = Rig.list(42, true);
        String answer = "HTTP/1.1 200 OK\r\nContent-Length: " + old.length() + "\r\n\r\n" + old;
        if (answered) {
          fetch.write(answer);
          assertEquals("list 42", stage.next());
        }
        stage.move(there.address());
        assertEquals("closed", fetch.end());
        if (!answered) {
          String list = Rig.list(7, true);
          there
              .call()
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
      Rig.Call watch = speaking(stage, stage.agent, 41, 42);
      stage.inLoop(stage.watch::fetchFullList);
      Rig.Call fetch = stage.agent.call();
      watch.say(Rig.list(43, false));
      assertEquals("list 43", stage.next());
      String old = Rig.list(42, true);
      fetch.write("HTTP/1.1 200 OK\r\nContent-Length: " + old.length() + "\r\n\r\n" + old);
      assertEquals("closed", fetch.end());
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
          Rig.Agent there = new Rig.Agent(!refused)) {
        stage.open();
        speaking(stage, stage.agent, 41, 42);
        stage.pass(1000);
        stage.move(there.address());
        for (int i = 1; i <= 2; i++) {
          if (refused) {
            stage.awaitCount("discovery failures", i);
          } else {
            there.call();
          }
          if (i == 2 && refused) {
            there.admit();
          }
          stage.pass(SLOWEST_MS);
        }
        assertTrue(3 * SLOWEST_MS < 4000);
        Rig.Call watch = there.watch();
        watch.say(Rig.list(7, true));
        String told = stage.next();
        assertEquals("list 7", "failed".equals(told) ? stage.next() : told);
      }
    }
  }

  /** A move before the mixer asks for a watch, or after it wants none, opens none. */
  @Test
  void aMoveOpensNoWatchThatNobodyAskedFor() throws Exception {
    try (WatchStage stage = stage();
        Rig.Agent there = new Rig.Agent(true)) {
      stage.move(there.address());
      assertEquals(0, stage.calls());
      stage.open();
      Rig.Call watch = speaking(stage, there, 0, 7);
      stage.inLoop(stage.watch::close);
      assertEquals("closed", watch.end());
      stage.move(stage.agent.address());
      stage.pass(10_000);
      assertEquals(1, stage.calls());
      assertNull(stage.told.poll());
    }
  }
}
