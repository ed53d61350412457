package gingerring.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Responses of discovery that end abnormally, never end, or have invalid content: see
 * docs/crossings.md.
 */
@Timeout(120)
class WatchResponseTest {
  private static final String UNFRAMED_HEAD = "HTTP/1.1 200 OK\r\n\r\n";
  private static final String CHUNKED_HEAD =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  private static final int SILENCE_TIMEOUT_MS = 2500;
  private static final int LINE_TIMEOUT_MS = 1000;

  private static WatchHarness newHarness() throws Exception {
    return new WatchHarness(true, "automatic", 60_000);
  }

  private static void runPendingEvents(WatchHarness harness) throws Exception {
    for (int i = 0; i < 3; i++) {
      harness.runInLoop(() -> {});
    }
  }

  /**
   * Writes, and waits until the watch has read the text: the loop is idle while the agent sends
   * nothing.
   */
  private static void writeAndAwaitRead(
      WatchHarness harness, MixerTestHarness.DiscoveryConnection call, String text)
      throws Exception {
    harness.runWhileBlocked(
        () -> {
          call.write(text);
          harness.awaitPosted(1);
        });
    runPendingEvents(harness);
  }

  /**
   * Guards against a list that is truncated by a reset and taken as complete, and against a
   * complete list that is ignored.
   */
  @Test
  void responseWithoutLengthEndsOnlyByOrderlyClose() throws Exception {
    for (boolean orderly : new boolean[] {true, false}) {
      try (WatchHarness harness = newHarness()) {
        harness.runInLoop(harness.watch::fetchFullList);
        MixerTestHarness.DiscoveryConnection fetch = harness.agent.acceptRequest();
        writeAndAwaitRead(
            harness, fetch, UNFRAMED_HEAD + MixerTestHarness.memberListLine(42, true));
        if (orderly) {
          fetch.halfClose();
          assertEquals("list 42", harness.nextNotification());
        } else {
          fetch.reset();
          assertEquals("failed", harness.nextNotification());
        }
        runPendingEvents(harness);
        assertNull(harness.notifications.poll());
        assertEquals(orderly ? 1 : 0, harness.counts.get("lists told"));
      }
    }
  }

  /**
   * The same for a watch, whose last line need not be terminated. A list that is not complete is
   * reported in neither case.
   */
  @Test
  void unterminatedLastLineCountsOnlyAfterOrderlyClose() throws Exception {
    for (String head : new String[] {UNFRAMED_HEAD, CHUNKED_HEAD}) {
      for (boolean orderly : new boolean[] {true, false}) {
        try (WatchHarness harness = newHarness()) {
          harness.openWatch();
          MixerTestHarness.DiscoveryConnection watch = harness.agent.acceptRequest();
          String lastLine = MixerTestHarness.memberListLine(43, false);
          boolean chunked = head.equals(CHUNKED_HEAD);
          String line = MixerTestHarness.memberListLine(42, true) + "\n";
          writeAndAwaitRead(
              harness,
              watch,
              head
                  + (chunked ? Integer.toHexString(line.length() + lastLine.length()) + "\r\n" : "")
                  + line
                  + lastLine
                  + (chunked ? "\r\n" : ""));
          assertEquals("list 42", harness.nextNotification());
          if (!orderly) {
            watch.reset();
          } else if (chunked) {
            watch.write("0\r\n\r\n");
          } else {
            watch.close();
          }
          if (orderly) {
            assertEquals("list 43", harness.nextNotification());
          }
          assertEquals("failed", harness.nextNotification());
          runPendingEvents(harness);
          assertNull(harness.notifications.poll());
        }
      }
    }
  }

  @Test
  void truncatedListIsNotUsedHoweverItsConnectionEnds() throws Exception {
    for (boolean orderly : new boolean[] {true, false}) {
      try (WatchHarness harness = newHarness()) {
        harness.runInLoop(harness.watch::fetchFullList);
        MixerTestHarness.DiscoveryConnection fetch = harness.agent.acceptRequest();
        String list = MixerTestHarness.memberListLine(42, true);
        writeAndAwaitRead(harness, fetch, UNFRAMED_HEAD + list.substring(0, list.length() - 1));
        if (orderly) {
          fetch.close();
        } else {
          fetch.reset();
        }
        assertEquals("failed", harness.nextNotification());
        assertEquals(0, harness.counts.get("lists told"));
        assertEquals(1, harness.counts.get("discovery failures"));
      }
    }
  }

  /**
   * A response with a content length or in chunks is not complete if the connection closes early,
   * even in order.
   */
  @Test
  void responseWithLengthDoesNotEndByClose() throws Exception {
    String list = MixerTestHarness.memberListLine(42, true);
    for (String head :
        new String[] {
          "HTTP/1.1 200 OK\r\nContent-Length: " + (list.length() + 1) + "\r\n\r\n",
          CHUNKED_HEAD + Integer.toHexString(list.length() + 1) + "\r\n"
        }) {
      try (WatchHarness harness = newHarness()) {
        harness.runInLoop(harness.watch::fetchFullList);
        MixerTestHarness.DiscoveryConnection fetch = harness.agent.acceptRequest();
        writeAndAwaitRead(harness, fetch, head + list);
        fetch.close();
        assertEquals("failed", harness.nextNotification());
        assertEquals(0, harness.counts.get("lists told"));
      }
    }
  }

  /**
   * Guards against a response that never ends: every byte arrives in time, but no line is ever
   * completed.
   */
  @Test
  void tricklingResponseIsAbandonedInTime() throws Exception {
    String list = MixerTestHarness.memberListLine(42, true);
    String line = Integer.toHexString(list.length() + 1) + "\r\n" + list + "\n\r\n";
    for (String[] segments :
        new String[][] {
          {"", "H", "T", "T", "P", "/"},
          {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
          {CHUNKED_HEAD, "0"},
          {CHUNKED_HEAD + "1000\r\n", " "},
          {CHUNKED_HEAD + "1000\r\n{", "\n"},
          {CHUNKED_HEAD + "1000\r\n", "{"},
          {CHUNKED_HEAD + line, "0"},
          {CHUNKED_HEAD + line + "1000\r\n", " "},
          {CHUNKED_HEAD + line + "1000\r\n{", "\n"}
        }) {
      try (WatchHarness harness = newHarness()) {
        harness.openWatch();
        MixerTestHarness.DiscoveryConnection call = harness.agent.acceptRequest();
        if (!segments[0].isEmpty()) {
          writeAndAwaitRead(harness, call, segments[0]);
        }
        boolean listSent = segments[0].contains("members");
        assertEquals(
            listSent ? "list 42" : null,
            listSent ? harness.nextNotification() : harness.notifications.poll());
        int elapsedMs = 0;
        for (int i = 0; harness.counts.get("discovery failures") == 0; i++) {
          assertTrue(
              elapsedMs < SILENCE_TIMEOUT_MS + LINE_TIMEOUT_MS,
              segments[0] + " is still open, in ms: " + elapsedMs);
          writeAndAwaitRead(harness, call, segments[1 + i % (segments.length - 1)]);
          harness.advanceClock(LINE_TIMEOUT_MS / 2);
          elapsedMs += LINE_TIMEOUT_MS / 2;
        }
        assertEquals("failed", harness.nextNotification());
        assertTrue(
            elapsedMs > LINE_TIMEOUT_MS, segments[0] + " was abandoned early, in ms: " + elapsedMs);
        assertTrue(call.awaitEnd().matches("closed|reset"));
      }
    }
  }

  /** A response that arrives as fast as possible is bounded in memory. */
  @Test
  void growingResponseIsAbandonedAtItsSizeLimit() throws Exception {
    for (String[] segments :
        new String[][] {
          {CHUNKED_HEAD, "1000\r\n" + " ".repeat(4096) + "\r\n"},
          {CHUNKED_HEAD + "1\r\n{\r\n", "1000\r\n" + "\n".repeat(4096) + "\r\n"},
          {UNFRAMED_HEAD, "[".repeat(4096)},
          {"HTTP/1.1 200 OK\r\n", "X-A: " + "b".repeat(1000) + "\r\n"},
          {CHUNKED_HEAD + "1;", "a".repeat(100)},
          {CHUNKED_HEAD + "0\r\n", "X-A: " + "b".repeat(1000) + "\r\n"}
        }) {
      try (WatchHarness harness = newHarness()) {
        harness.openWatch();
        MixerTestHarness.DiscoveryConnection call = harness.agent.acceptRequest();
        // a write has no timeout of its own if the peer does not read
        Thread watchdog = resetAfterTimeout(call);
        call.write(segments[0]);
        int segmentsWritten = 0;
        try {
          for (; harness.counts.get("discovery failures") == 0; segmentsWritten++) {
            // far more than the kernel buffers for a peer that does not read
            assertTrue(
                (long) segmentsWritten * segments[1].length() < 1 << 26,
                segments[0] + " is still open");
            call.write(segments[1]);
          }
        } catch (java.io.IOException e) {
          // the watch closes the connection during the write
        }
        assertEquals("failed", harness.nextNotification());
        assertEquals(0, harness.counts.get("lists told"));
        watchdog.interrupt();
        assertTrue(harness.counts.get("discovery failures") > 0, segments[0]);
      }
    }
  }

  private static Thread resetAfterTimeout(MixerTestHarness.DiscoveryConnection call) {
    Thread thread =
        new Thread(
            () -> {
              try {
                Thread.sleep(MixerTestHarness.TIMEOUT_MS);
                call.reset();
              } catch (InterruptedException | java.io.IOException e) {
                // the call has already ended
              }
            },
            "watchdog");
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  /**
   * Guards against a list that is applied in part, or whose revision counts as seen, although the
   * list is invalid.
   */
  @Test
  void unusableListIsRequestedAgainFromSameRevision() throws Exception {
    try (WatchHarness harness = newHarness()) {
      harness.openWatch();
      MixerTestHarness.DiscoveryConnection watch = harness.agent.acceptWatch();
      watch.sendLine(MixerTestHarness.memberListLine(42, true));
      assertEquals("list 42", harness.nextNotification());
      harness.advanceClock(2000);
      watch.sendLine(
          MixerTestHarness.memberListLine(43, false, "{\"id\":\"s-1\",\"phase\":\"PAUSED\"}"));
      assertEquals("failed", harness.nextNotification());
      MixerTestHarness.DiscoveryConnection retry = harness.agent.acceptWatch();
      assertTrue(retry.requestHead.contains("index=42 "), retry.requestHead);
      retry.sendLine(MixerTestHarness.memberListLine(43, false));
      assertEquals("list 43", harness.nextNotification());
    }
  }

  /**
   * A revision may skip numbers. An older revision is ignored, unless it comes with a full list of
   * that age.
   */
  @Test
  void newerRevisionsAreAcceptedAndOlderOnesAreNot() throws Exception {
    try (WatchHarness harness = newHarness()) {
      harness.openWatch();
      MixerTestHarness.DiscoveryConnection watch = harness.agent.acceptWatch();
      watch.sendLine(MixerTestHarness.memberListLine(9_000_000, false));
      assertEquals("list 9000000", harness.nextNotification());
      watch.sendLine(MixerTestHarness.memberListLine(9_000_000, false));
      watch.sendLine(MixerTestHarness.memberListLine(8, false));
      watch.sendLine(MixerTestHarness.memberListLine(8, true));
      watch.sendLine(MixerTestHarness.memberListLine(9_000_000, true));
      assertEquals("list 9000000", harness.nextNotification());
      assertNull(harness.notifications.poll());
      assertEquals(1, harness.counts.get("lists older than the one held"));
    }
  }
}
