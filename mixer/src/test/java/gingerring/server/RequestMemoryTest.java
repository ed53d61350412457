package gingerring.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What the requests of many clients take in memory while they are incomplete. */
@Timeout(120)
class RequestMemoryTest {
  private static final String[] LEAST_MEMORY = {"\"memory_mb\": 192", "\"memory_mb\": 32"};

  /**
   * Guards against heads of many short headers that fill the heap: each header was kept as two
   * strings and a map entry, many times its size, until the head was complete.
   */
  @Test
  void headOfManyShortHeadersIsRejectedBeforeItIsComplete() throws Exception {
    try (MixerTestHarness harness = new MixerTestHarness()) {
      harness.announceAndAwaitReady(harness.box("b0", 0));
      MixerTestHarness.Client client = harness.connectClient();
      client.write("POST /api HTTP/1.1\r\nHost: x\r\n" + "a:1\r\n".repeat(1_300));
      assertEquals("431", client.readAnswer());
      assertEquals("closed", client.awaitEnd());
    }
  }

  /** Headers that no request is read for take no memory, complete or not. */
  @Test
  void unknownHeadersAreNotRetained() throws Exception {
    int headers = 100;
    try (MixerTestHarness harness = new MixerTestHarness()) {
      harness.announceAndAwaitReady(harness.box("b0", 0));
      MixerTestHarness.Client client = harness.connectClient();
      long parsedBefore = harness.server.requestMemory.reserved();
      client.write("GET /ready HTTP/1.1\r\nHost: x\r\n" + "a: 0123456789\r\n".repeat(headers));
      client.write("b"); // the head stays incomplete
      MixerTestHarness.await(
          "the incomplete head is held",
          () -> harness.server.requestMemory.reserved() > parsedBefore);
      client.write("b");
      harness.runIterations(2);
      assertTrue(harness.server.requestMemory.reserved() - parsedBefore < 10 * headers);
    }
  }

  /**
   * Guards against clients that stop in the middle of large requests: together they held up to 16
   * MB, whatever the process may take. The largest are rejected, and other clients are served.
   */
  @Test
  void stoppedLargeRequestsMakeRoomForOthers() throws Exception {
    int clients = 120;
    try (MixerTestHarness harness = new MixerTestHarness(LEAST_MEMORY)) {
      MixerTestHarness.Box box = harness.box("b0", 0);
      harness.announceAndAwaitReady(box);
      String head = "POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: 65536\r\n\r\n";
      for (int i = 0; i < clients; i++) {
        harness.connectClient().write(head + " ".repeat(65_000));
      }
      harness.awaitCount("half requests shed", 1);
      MixerTestHarness.Client usual = harness.connectClient();
      usual.write(harness.scanRequest("search", 2000, 0));
      MixerTestHarness.answerAllCalls(box.acceptConnection());
      assertTrue(usual.readAnswer().startsWith("200"));
      long limit = MemoryLimits.of(32, Long.MAX_VALUE).requestBytes();
      assertTrue(harness.server.requestMemory.reserved() <= limit);
    }
  }
}
