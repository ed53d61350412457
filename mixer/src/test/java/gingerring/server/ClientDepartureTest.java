package gingerring.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gingerring.frontend.ScanRequest;
import gingerring.frontend.ScanResponder;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What remains of clients that have gone: requests that were not read yet, and ids. */
@Timeout(120)
class ClientDepartureTest {
  private static final Duration NO_TRAFFIC_WAIT = Duration.ofMillis(300);
  private static final String READY_REQUEST = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";

  /**
   * Guards against requests that are forwarded after their client has closed its connection: what
   * had been read behind an answered request was parsed in the turn after the close.
   */
  @Test
  void requestsOfAClientThatHasGoneAreNotForwarded() throws Exception {
    for (boolean reset : new boolean[] {false, true}) {
      try (MixerTestHarness harness = new MixerTestHarness()) {
        MixerTestHarness.Box box = harness.box("b0", 0);
        harness.announceAndAwaitReady(box);
        MixerTestHarness.Client client = harness.connectClient();
        assertTrue(client.isReady());
        try (MixerTestHarness.LoopGate gate = harness.pauseLoop()) {
          client.write(READY_REQUEST + harness.scanRequest("search", 2000, 0));
          gate.awaitPosted(1);
          if (reset) {
            client.reset();
          } else {
            client.close();
          }
          gate.awaitPosted(2);
        }
        assertTrue(box.noConnectionWithin(NO_TRAFFIC_WAIT), "reset: " + reset);
        assertEquals(0, harness.count("scans taken"), "reset: " + reset);
      }
    }
  }

  /** A client that is not answered; it leaves in the turn in which it asks. */
  private static final class LeavingClient implements ScanResponder {
    @Override
    public void answer(boolean complete, Map<Integer, byte[]> values) {}

    @Override
    public void reject(Duration retryAfter) {}

    @Override
    public void fail() {}
  }

  private static void askAndLeave(MixerTestHarness harness, String transactionId) {
    ScanRequest request =
        new ScanRequest(
            transactionId,
            0,
            false,
            null,
            Duration.ofMillis(2000),
            List.of(new ScanRequest.Target(0, 1, Duration.ZERO, 0)),
            new byte[1]);
    ScanResponder client = new LeavingClient();
    harness.server.scanHandler().accept(request, harness.server.loop.now(), client);
    harness.server.scanHandler().clientDisconnected(client);
  }

  /**
   * Guards against an id that runs twice: it was forgotten behind 8,192 others, however soon they
   * came, and accepted again after its client had left. Beyond what can be remembered for the time
   * of a scan, scans are rejected.
   */
  @Test
  void idIsNotForgottenWhileItsScanMayRun() throws Exception {
    int otherIds = 30_000;
    try (MixerTestHarness harness =
        new MixerTestHarness("\"memory_mb\": 192", "\"memory_mb\": 32")) {
      harness.announceAndAwaitReady(harness.box("b0", 0));
      harness.runInLoop(
          () -> {
            askAndLeave(harness, "first");
            for (int i = 0; i < otherIds; i++) {
              askAndLeave(harness, "other-" + i);
            }
          });
      long takenBefore = harness.count("scans taken");
      harness.runInLoop(() -> askAndLeave(harness, "first"));
      assertEquals(takenBefore, harness.count("scans taken"));
      assertEquals(1, harness.count("marks sent again"));
      assertEquals(otherIds + 1 - takenBefore, harness.count("nacks for too many ids"));
    }
  }
}
