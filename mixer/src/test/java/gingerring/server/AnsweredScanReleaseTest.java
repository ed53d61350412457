package gingerring.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gingerring.frontend.ScanRequest;
import gingerring.frontend.ScanResponder;
import java.lang.ref.WeakReference;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What a scan leaves in memory between its answer and its deadline. */
@Timeout(120)
class AnsweredScanReleaseTest {
  private static final int SCANS = 100;

  /** Far beyond every wait of the harness, so that no deadline passes during a test. */
  private static final int DEADLINE_MS = 600_000;

  private static final String[] LONG_DEADLINES = {
    "\"HardLimitMs\": 2000.0", "\"HardLimitMs\": " + DEADLINE_MS + ".0"
  };

  /**
   * Guards against answered scans that fill the heap: each one's timers, up to its deadline, kept
   * the scan, its trips and the closed connection of its client with all buffers.
   */
  @Test
  void answeredScansLeaveNoTimers() throws Exception {
    try (MixerTestHarness harness = new MixerTestHarness(LONG_DEADLINES)) {
      MixerTestHarness.Box box = harness.box("b0", 0);
      harness.announceAndAwaitReady(box);
      askOnConnectionOfItsOwn(harness, box);
      AtomicInteger timersBefore = new AtomicInteger();
      harness.runInLoop(() -> timersBefore.set(harness.server.loop.scheduledTaskCount()));
      for (int i = 1; i < SCANS; i++) {
        askOnConnectionOfItsOwn(harness, null);
      }
      assertEquals(SCANS, harness.count("whole answers"));
      AtomicInteger timersAfter = new AtomicInteger();
      // Timers of the start and of dials end within a second or two.
      MixerTestHarness.await(
          "as many timers as before " + (SCANS - 1) + " scans",
          () -> {
            runInLoop(harness, () -> timersAfter.set(harness.server.loop.scheduledTaskCount()));
            return timersAfter.get() <= timersBefore.get();
          });
    }
  }

  private static void askOnConnectionOfItsOwn(MixerTestHarness harness, MixerTestHarness.Box newBox)
      throws Exception {
    try (MixerTestHarness.Client client = harness.connectClient()) {
      client.write(harness.scanRequest("search", DEADLINE_MS, 0));
      if (newBox != null) {
        MixerTestHarness.answerAllCalls(newBox.acceptConnection());
      }
      assertTrue(client.readAnswer().startsWith("200"));
    }
  }

  private static void runInLoop(MixerTestHarness harness, Runnable task) {
    try {
      harness.runInLoop(task);
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  /** A client that records nothing; the test watches whether the mixer still refers to it. */
  private static final class SilentResponder implements ScanResponder {
    @Override
    public void answer(boolean complete, Map<Integer, byte[]> values) {}

    @Override
    public void reject(Duration retryAfter) {}

    @Override
    public void fail() {}
  }

  /**
   * Guards against the same where a searcher does not answer: a trip that stays in flight after its
   * client has gone kept the client's connection and the query until the deadline.
   */
  @Test
  void tripInFlightKeepsNeitherClientNorQuery() throws Exception {
    String[] withoutCancel = {
      LONG_DEADLINES[0], LONG_DEADLINES[1], "\"Cancel\": true", "\"Cancel\": false"
    };
    try (MixerTestHarness harness = new MixerTestHarness(withoutCancel)) {
      MixerTestHarness.Box box = harness.box("b0", 0);
      harness.announceAndAwaitReady(box);
      WeakReference<byte[]> query = leaveWithTripInFlight(harness, box);
      WeakReference<ScanResponder> client = leftClient;
      harness.runIterations(2);
      assertEquals(0, harness.count("trips TIMED_OUT") + harness.count("trips CALLED_OFF"));
      System.gc();
      assertNull(client.get(), "the connection of a client that has gone");
      assertNull(query.get(), "a query that was sent");
    }
  }

  private WeakReference<ScanResponder> leftClient;

  /** Begins a scan, lets its trip be sent and its client leave; returns the scan's query. */
  private WeakReference<byte[]> leaveWithTripInFlight(
      MixerTestHarness harness, MixerTestHarness.Box box) throws Exception {
    ScanResponder responder = new SilentResponder();
    byte[] query = new byte[1];
    ScanRequest request =
        new ScanRequest(
            "t-left",
            0,
            false,
            null,
            Duration.ofMillis(DEADLINE_MS),
            List.of(new ScanRequest.Target(0, 1, Duration.ZERO, 0)),
            query);
    harness.runInLoop(
        () -> harness.server.scanHandler().accept(request, harness.server.loop.now(), responder));
    box.acceptConnection().readCall();
    harness.runInLoop(() -> harness.server.scanHandler().clientDisconnected(responder));
    leftClient = new WeakReference<>(responder);
    return new WeakReference<>(query);
  }
}
