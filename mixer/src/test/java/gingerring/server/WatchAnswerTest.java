package gingerring.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Answers of discovery that end in odd ways, never end, or hold what cannot be: see
 * docs/crossings.md.
 */
@Timeout(120)
class WatchAnswerTest {
  private static final String BARE = "HTTP/1.1 200 OK\r\n\r\n";
  private static final String CHUNKS = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  private static final int SILENCE_MS = 2500;
  private static final int LINE_MS = 1000;

  private static WatchStage stage() throws Exception {
    return new WatchStage(true, "automatic", 60_000);
  }

  private static void settle(WatchStage stage) throws Exception {
    for (int i = 0; i < 3; i++) {
      stage.inLoop(() -> {});
    }
  }

  /**
   * Writes, and waits until the watch has read it: the loop is idle while the agent says nothing.
   */
  private static void trickle(
      WatchStage stage, MixerTestHarness.DiscoveryConnection call, String text) throws Exception {
    stage.hold(
        () -> {
          call.write(text);
          stage.posted(1);
        });
    settle(stage);
  }

  /**
   * Guards against a list cut short by a reset that passes for whole, and against a whole one left
   * out.
   */
  @Test
  void anAnswerWithoutALengthEndsByAnOrderlyCloseAlone() throws Exception {
    for (boolean orderly : new boolean[] {true, false}) {
      try (WatchStage stage = stage()) {
        stage.inLoop(stage.watch::fetchFullList);
        MixerTestHarness.DiscoveryConnection fetch = stage.agent.acceptRequest();
        trickle(stage, fetch, BARE + MixerTestHarness.memberListLine(42, true));
        if (orderly) {
          fetch.halfClose();
          assertEquals("list 42", stage.next());
        } else {
          fetch.reset();
          assertEquals("failed", stage.next());
        }
        settle(stage);
        assertNull(stage.told.poll());
        assertEquals(orderly ? 1 : 0, stage.counts.get("lists told"));
      }
    }
  }

  /**
   * The same of a watch, whose last line need not end; what is no whole list tells nothing either
   * way.
   */
  @Test
  void aLastLineWithoutAnEndCountsByAnOrderlyCloseAlone() throws Exception {
    for (String head : new String[] {BARE, CHUNKS}) {
      for (boolean orderly : new boolean[] {true, false}) {
        try (WatchStage stage = stage()) {
          stage.open();
          MixerTestHarness.DiscoveryConnection watch = stage.agent.acceptRequest();
          String last = MixerTestHarness.memberListLine(43, false);
          boolean chunks = head.equals(CHUNKS);
          String line = MixerTestHarness.memberListLine(42, true) + "\n";
          trickle(
              stage,
              watch,
              head
                  + (chunks ? Integer.toHexString(line.length() + last.length()) + "\r\n" : "")
                  + line
                  + last
                  + (chunks ? "\r\n" : ""));
          assertEquals("list 42", stage.next());
          if (!orderly) {
            watch.reset();
          } else if (chunks) {
            watch.write("0\r\n\r\n");
          } else {
            watch.close();
          }
          if (orderly) {
            assertEquals("list 43", stage.next());
          }
          assertEquals("failed", stage.next());
          settle(stage);
          assertNull(stage.told.poll());
        }
      }
    }
  }

  @Test
  void halfAListIsNoListHoweverItEnds() throws Exception {
    for (boolean orderly : new boolean[] {true, false}) {
      try (WatchStage stage = stage()) {
        stage.inLoop(stage.watch::fetchFullList);
        MixerTestHarness.DiscoveryConnection fetch = stage.agent.acceptRequest();
        String list = MixerTestHarness.memberListLine(42, true);
        trickle(stage, fetch, BARE + list.substring(0, list.length() - 1));
        if (orderly) {
          fetch.close();
        } else {
          fetch.reset();
        }
        assertEquals("failed", stage.next());
        assertEquals(0, stage.counts.get("lists told"));
        assertEquals(1, stage.counts.get("discovery failures"));
      }
    }
  }

  /** With a length, or in chunks, an orderly close before the end is none. */
  @Test
  void anAnswerWithALengthDoesNotEndByAClose() throws Exception {
    String list = MixerTestHarness.memberListLine(42, true);
    for (String head :
        new String[] {
          "HTTP/1.1 200 OK\r\nContent-Length: " + (list.length() + 1) + "\r\n\r\n",
          CHUNKS + Integer.toHexString(list.length() + 1) + "\r\n"
        }) {
      try (WatchStage stage = stage()) {
        stage.inLoop(stage.watch::fetchFullList);
        MixerTestHarness.DiscoveryConnection fetch = stage.agent.acceptRequest();
        trickle(stage, fetch, head + list);
        fetch.close();
        assertEquals("failed", stage.next());
        assertEquals(0, stage.counts.get("lists told"));
      }
    }
  }

  /** Guards against an answer that never ends: each byte came in time, and no line ever did. */
  @Test
  void anAnswerThatTricklesIsGivenUpInTime() throws Exception {
    String list = MixerTestHarness.memberListLine(42, true);
    String line = Integer.toHexString(list.length() + 1) + "\r\n" + list + "\n\r\n";
    for (String[] parts :
        new String[][] {
          {"", "H", "T", "T", "P", "/"},
          {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
          {CHUNKS, "0"},
          {CHUNKS + "1000\r\n", " "},
          {CHUNKS + "1000\r\n{", "\n"},
          {CHUNKS + "1000\r\n", "{"},
          {CHUNKS + line, "0"},
          {CHUNKS + line + "1000\r\n", " "},
          {CHUNKS + line + "1000\r\n{", "\n"}
        }) {
      try (WatchStage stage = stage()) {
        stage.open();
        MixerTestHarness.DiscoveryConnection call = stage.agent.acceptRequest();
        if (!parts[0].isEmpty()) {
          trickle(stage, call, parts[0]);
        }
        boolean spoke = parts[0].contains("members");
        assertEquals(spoke ? "list 42" : null, spoke ? stage.next() : stage.told.poll());
        int passed = 0;
        for (int i = 0; stage.counts.get("discovery failures") == 0; i++) {
          assertTrue(passed < SILENCE_MS + LINE_MS, parts[0] + " is still open after " + passed);
          trickle(stage, call, parts[1 + i % (parts.length - 1)]);
          stage.pass(LINE_MS / 2);
          passed += LINE_MS / 2;
        }
        assertEquals("failed", stage.next());
        assertTrue(passed > LINE_MS, parts[0] + " was given up after " + passed);
        assertTrue(call.awaitEnd().matches("closed|reset"));
      }
    }
  }

  /** And one that comes as fast as it can is bounded in memory. */
  @Test
  void anAnswerThatGrowsIsGivenUpAtItsMost() throws Exception {
    for (String[] parts :
        new String[][] {
          {CHUNKS, "1000\r\n" + " ".repeat(4096) + "\r\n"},
          {CHUNKS + "1\r\n{\r\n", "1000\r\n" + "\n".repeat(4096) + "\r\n"},
          {BARE, "[".repeat(4096)},
          {"HTTP/1.1 200 OK\r\n", "X-A: " + "b".repeat(1000) + "\r\n"},
          {CHUNKS + "1;", "a".repeat(100)},
          {CHUNKS + "0\r\n", "X-A: " + "b".repeat(1000) + "\r\n"}
        }) {
      try (WatchStage stage = stage()) {
        stage.open();
        MixerTestHarness.DiscoveryConnection call = stage.agent.acceptRequest();
        Thread bound = endAfterAWhile(call); // a write that nobody reads has no time-out of its own
        call.write(parts[0]);
        int pieces = 0;
        try {
          for (; stage.counts.get("discovery failures") == 0; pieces++) {
            // far more than the system holds for one that does not read
            assertTrue((long) pieces * parts[1].length() < 1 << 26, parts[0] + " is still open");
            call.write(parts[1]);
          }
        } catch (java.io.IOException e) {
          // it is given up as it writes
        }
        assertEquals("failed", stage.next());
        assertEquals(0, stage.counts.get("lists told"));
        bound.interrupt();
        assertTrue(stage.counts.get("discovery failures") > 0, parts[0]);
      }
    }
  }

  private static Thread endAfterAWhile(MixerTestHarness.DiscoveryConnection call) {
    Thread thread =
        new Thread(
            () -> {
              try {
                Thread.sleep(MixerTestHarness.TIMEOUT_MS);
                call.reset();
              } catch (InterruptedException | java.io.IOException e) {
                // it was not needed, or had ended
              }
            },
            "bound");
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  /**
   * Guards against a list that is taken in part, or counts as seen, though it could not be used.
   */
  @Test
  void aListThatCannotBeUsedIsAskedForAgainFromTheSameRevision() throws Exception {
    try (WatchStage stage = stage()) {
      stage.open();
      MixerTestHarness.DiscoveryConnection watch = stage.agent.acceptWatch();
      watch.sendLine(MixerTestHarness.memberListLine(42, true));
      assertEquals("list 42", stage.next());
      stage.pass(2000);
      watch.sendLine(
          MixerTestHarness.memberListLine(43, false, "{\"id\":\"s-1\",\"phase\":\"PAUSED\"}"));
      assertEquals("failed", stage.next());
      MixerTestHarness.DiscoveryConnection again = stage.agent.acceptWatch();
      assertTrue(again.requestHead.contains("index=42 "), again.requestHead);
      again.sendLine(MixerTestHarness.memberListLine(43, false));
      assertEquals("list 43", stage.next());
    }
  }

  /**
   * A revision may jump; one that goes back tells nothing new, unless it comes with a whole list of
   * that age.
   */
  @Test
  void revisionsThatJumpAreTakenAndThoseThatGoBackAreNot() throws Exception {
    try (WatchStage stage = stage()) {
      stage.open();
      MixerTestHarness.DiscoveryConnection watch = stage.agent.acceptWatch();
      watch.sendLine(MixerTestHarness.memberListLine(9_000_000, false));
      assertEquals("list 9000000", stage.next());
      watch.sendLine(MixerTestHarness.memberListLine(9_000_000, false));
      watch.sendLine(MixerTestHarness.memberListLine(8, false));
      watch.sendLine(MixerTestHarness.memberListLine(8, true));
      watch.sendLine(MixerTestHarness.memberListLine(9_000_000, true));
      assertEquals("list 9000000", stage.next());
      assertNull(stage.told.poll());
      assertEquals(1, stage.counts.get("lists older than the one held"));
    }
  }
}
