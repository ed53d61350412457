package gingerring.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What the input of many clients, or of one, may take of the event loop. */
@Timeout(120)
class InputLimitsTest {
  private static final String[] SMALL_SHARE = {"\"cores\": 1.0", "\"cores\": 0.05"};

  /**
   * Guards against a turn of the event loop that parses whatever all clients have sent: scans,
   * timers and searchers waited for its end.
   */
  @Test
  void turnOfTheLoopParsesALimitedAmount() throws Exception {
    int clients = 20;
    int bytes = 4000;
    try (MixerTestHarness harness = new MixerTestHarness(SMALL_SHARE)) {
      harness.announceAndAwaitReady(harness.box("b0", 0));
      List<MixerTestHarness.Client> senders = new ArrayList<>();
      for (int i = 0; i < clients; i++) {
        MixerTestHarness.Client sender = harness.connectClient();
        assertTrue(sender.isReady());
        senders.add(sender);
      }
      String head = "POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: 65536\r\n\r\n";
      CompletableFuture<Long> heldAfterEvents = new CompletableFuture<>();
      try (MixerTestHarness.LoopGate gate = harness.pauseLoop()) {
        for (MixerTestHarness.Client sender : senders) {
          sender.write(head + " ".repeat(bytes - head.length()));
        }
        gate.awaitPosted(clients);
        harness.server.loop.post(
            () -> heldAfterEvents.complete(harness.server.requestMemory.reserved()));
      }
      long held = heldAfterEvents.get(MixerTestHarness.TIMEOUT_MS, TimeUnit.MILLISECONDS);
      assertTrue(held < clients * bytes / 2, "parsed in one turn: " + held);
      MixerTestHarness.await(
          "the rest in later turns",
          () -> harness.server.requestMemory.reserved() > clients * bytes * 9L / 10);
    }
  }

  /**
   * Guards against one client that keeps the loop busy with small requests at full speed: all its
   * requests are answered, at a pace, and another client's scan goes before them.
   */
  @Test
  void clientOfManySmallRequestsIsPaced() throws Exception {
    int requests = 1000;
    try (MixerTestHarness harness = new MixerTestHarness()) {
      MixerTestHarness.Box box = harness.box("b0", 0);
      harness.announceAndAwaitReady(box);
      MixerTestHarness.Client busy = harness.connectClient();
      MixerTestHarness.runInBackground(
          () -> busy.write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n".repeat(requests)));
      harness.awaitCount("reads of busy clients paced", 1);
      MixerTestHarness.Client usual = harness.connectClient();
      usual.write(harness.scanRequest("search", 2000, 0));
      MixerTestHarness.answerAllCalls(box.acceptConnection());
      assertTrue(usual.readAnswer().startsWith("200"));
      for (int i = 0; i < requests; i++) {
        assertEquals("200", busy.readAnswer());
      }
    }
  }

  /** Guards against bodies of very many tiny values, which take many times their size. */
  @Test
  void bodyOfTooManyValuesIsRejected() throws Exception {
    try (MixerTestHarness harness = new MixerTestHarness()) {
      harness.announceAndAwaitReady(harness.box("b0", 0));
      MixerTestHarness.Client client = harness.connectClient();
      String body =
          "{\"targets\":[{\"partition\":0,\"share\":1}],\"query\":\"q\",\"x\":["
              + "{},".repeat(20_000)
              + "{}]}";
      client.write(
          "POST /api HTTP/1.1\r\nHost: x\r\nX-Txn: a\r\nX-Lane: search\r\nX-Remaining-Ms: 2000\r\n"
              + "Content-Length: "
              + body.length()
              + "\r\n\r\n"
              + body);
      assertEquals("400", client.readAnswer());
    }
  }
}
