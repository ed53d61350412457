package gingerring.emulator.interleaving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gingerring.emulator.core.Scenario;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Feeds the checker with constructed records. Each check must report its violation and accept the
 * closest correct record.
 */
class InterleavingCheckerTest {
  private static final Map<Integer, Double> SHARES = Map.of(0, 0.5, 1, 0.5);
  private static final int BOX = 1; // a box that serves partitions 0 and 1

  private InterleavingChecker checker;

  @BeforeEach
  void createChecker() throws Scenario.InvalidScenario {
    checker = new InterleavingChecker(Scenario.read(InterleavingRunner.SCENARIO_JSON.getBytes()));
  }

  private static Duration ms(long ms) {
    return Duration.ofMillis(ms);
  }

  private void requestSent(String requestId, String serviceClass, long timeMs) {
    checker.requestSent(
        requestId,
        serviceClass,
        SHARES,
        serviceClass.equals("post") ? "k" + requestId : null,
        ms(timeMs));
  }

  private void partReceived(String requestId, int partition, long timeMs) {
    checker.partReceived(
        requestId,
        partition,
        requestId.startsWith("post") ? "k" + requestId : null,
        BOX,
        ms(timeMs));
  }

  private void partDone(String requestId, int partition, long timeMs) {
    checker.partAnswered(requestId, partition, BOX, "done", "v" + partition, ms(timeMs));
  }

  private void assertViolations(String... rules) {
    assertEquals(
        List.of(rules),
        checker.violations().stream().map(InterleavingChecker.Violation::rule).toList(),
        checker.violations().toString());
  }

  @Test
  void correctScanHasNoViolation() {
    requestSent("a", "search", 0);
    partReceived("a", 0, 5);
    partReceived("a", 1, 5);
    partDone("a", 0, 10);
    partDone("a", 1, 10);
    checker.requestAnswered("a", ms(12), false, true, Map.of(0, "v0", 1, "v1"));
    checker.checkDeadlines(ms(9000), true);
    assertViolations();
    assertEquals(0, checker.unansweredRequests());
  }

  @Test
  void unansweredRequestIsLostHalfASecondAfterItsDeadline() {
    requestSent("a", "search", 0);
    checker.checkDeadlines(ms(2499), true);
    assertViolations();
    assertEquals(1, checker.unansweredRequests());
    checker.checkDeadlines(ms(2501), true);
    assertViolations("SCAN_LOST");
    checker.checkDeadlines(ms(2600), true);
    assertViolations("SCAN_LOST");
  }

  @Test
  void answerMayBeAtMostHalfASecondLate() {
    requestSent("a", "search", 0);
    requestSent("b", "search", 0);
    checker.requestAnswered("a", ms(2499), true, false, null);
    assertViolations();
    checker.requestAnswered("b", ms(2501), true, false, null);
    assertViolations("SCAN_LOST");
  }

  @Test
  void secondAnswerIsAViolation() {
    requestSent("a", "search", 0);
    checker.requestAnswered("a", ms(10), true, false, null);
    checker.requestAnswered("a", ms(20), true, false, null);
    assertViolations("SCAN_LOST");
  }

  @Test
  void noAttemptStartsAfterTheClientLeft() {
    requestSent("first", "search", 0);
    checker.clientLeft("first", ms(100));
    partReceived("first", 0, 349);
    assertViolations();
    partReceived("first", 1, 351); // the first attempt of this part, but the second of the request
    assertViolations("GONE_CLIENT");
    requestSent("waits", "search", 1000);
    checker.clientLeft("waits", ms(1100));
    partReceived("waits", 0, 1400);
    assertViolations("GONE_CLIENT", "GONE_CLIENT");
    assertTrue(
        checker
            .violations()
            .get(1)
            .description()
            .contains("300 ms after its client left, as attempt 1"));
  }

  @Test
  void departedClientIsOwedNoAnswer() {
    requestSent("a", "search", 0);
    partReceived("a", 0, 5);
    checker.clientLeft("a", ms(100));
    checker.connectionEnded("a", ms(110));
    checker.checkDeadlines(ms(9000), true);
    assertViolations();
  }

  @Test
  void harnessStallIsNotCountedAfterTheClientLeft() {
    checker.heartbeat(ms(0));
    requestSent("a", "search", 0);
    checker.clientLeft("a", ms(10));
    checker.heartbeat(ms(10));
    partReceived("a", 0, 500); // read when the harness resumes after its stall
    assertViolations();
    checker.heartbeat(ms(505));
    for (int timeMs = 510; timeMs <= 800; timeMs += 10) {
      checker.heartbeat(ms(timeMs));
    }
    partReceived("a", 1, 800);
    assertViolations("GONE_CLIENT");
  }

  @Test
  void connectionClosedAfterPartsWereSentLosesTheRequest() {
    requestSent("a", "search", 0);
    partReceived("a", 0, 5);
    checker.connectionEnded("a", ms(10));
    assertViolations("SCAN_LOST");
    checker.checkDeadlines(ms(9000), true);
    assertViolations("SCAN_LOST");
  }

  @Test
  void connectionClosedLongAfterTheRequestLosesIt() {
    requestSent("a", "search", 0);
    checker.connectionEnded("a", ms(251));
    assertViolations("SCAN_LOST");
  }

  @Test
  void closeThatRacesARequestIsAllowedUnlessPartsAreSent() {
    requestSent("a", "search", 0);
    checker.connectionEnded("a", ms(20));
    checker.checkDeadlines(ms(9000), true);
    assertViolations();
    partReceived("a", 0, 9000);
    assertTrue(
        checker.violations().stream().anyMatch(violation -> violation.rule().equals("SHUTDOWN")));
  }

  @Test
  void requestAfterCloseIsNotForwarded() {
    checker.terminationSignalled(ms(0));
    checker.requestSentAfterClose("a", "search", SHARES, null, ms(100));
    checker.checkDeadlines(ms(9000), true);
    assertEquals(
        List.of("END"),
        checker.violations().stream().map(InterleavingChecker.Violation::rule).toList());
    partReceived("a", 0, 110);
    assertViolations("END", "SHUTDOWN");
  }

  @Test
  void requestOnARefusedConnectionIsNotForwarded() {
    requestSent("a", "search", 0);
    checker.connectionRefused("a");
    checker.checkDeadlines(ms(9000), true);
    assertViolations();
    partReceived("a", 0, 10);
    assertViolations("SHUTDOWN");
  }

  @Test
  void mixerExitsInTimeWithCodeZero() {
    checker.terminationSignalled(ms(0));
    checker.checkDeadlines(ms(7699), true);
    assertViolations();
    checker.checkDeadlines(ms(7701), true);
    checker.checkDeadlines(ms(7800), true);
    assertViolations("END");
    checker.processExited(1, ms(7900));
    assertViolations("END", "CRASH");
  }

  @Test
  void unrequestedExitIsACrash() {
    checker.processExited(0, ms(10));
    assertViolations("CRASH");
  }

  @Test
  void drainAppliesFromTheNotification() {
    checker.mixerNotified(BOX, ms(0));
    requestSent("a", "search", 0);
    partReceived("a", 0, 549);
    assertViolations();
    partReceived("a", 1, 551);
    assertViolations("DRAIN");
    checker.mixerNotified(BOX, null);
    requestSent("b", "search", 600);
    partReceived("b", 0, 600);
    assertViolations("DRAIN");
  }

  @Test
  void atMostOncePartIsNotSentTwice() {
    requestSent("once", "once", 0);
    partReceived("once", 0, 5);
    partReceived("once", 0, 30); // the first attempt may have taken effect, as after a reset
    assertViolations("EFFECT_TWICE");
  }

  @Test
  void keyedPartIsNotRetriedAfterItsWindow() {
    requestSent("post1", "post", 0);
    partReceived("post1", 0, 5);
    partReceived("post1", 0, 755); // the window of 700 ms and 50 ms for the transfer
    assertViolations();
    partReceived("post1", 0, 756);
    assertViolations("EFFECT_TWICE");
  }

  /** The retry window has no scheduling allowance, unlike the 150 ms after a client has left. */
  @Test
  void keyedRetryWindowHasNoSchedulingAllowance() {
    requestSent("post1", "post", 0);
    partReceived("post1", 0, 5);
    heartbeats(5, 905);
    partReceived("post1", 0, 905);
    assertViolations("EFFECT_TWICE");
  }

  private void heartbeats(int startMs, int endMs) {
    for (int timeMs = startMs; timeMs <= endMs; timeMs += 5) {
      checker.heartbeat(ms(timeMs));
    }
  }

  @Test
  void keyedPartReadAfterAStallCountsFromItsStart() {
    requestSent("post1", "post", 0);
    partReceived("post1", 0, 5);
    heartbeats(5, 600);
    partReceived("post1", 0, 906); // may have arrived at 600 ms
    assertViolations();
  }

  @Test
  void keyedPartReadLongAfterAStallCountsWhenRead() {
    requestSent("post1", "post", 0);
    partReceived("post1", 0, 5);
    heartbeats(5, 300);
    heartbeats(600, 905); // what arrived during the stall was read at 600 ms
    partReceived("post1", 0, 906);
    assertViolations("EFFECT_TWICE");
  }

  @Test
  void keyedPartIsLateWhenTheStallBeganAfterItsWindow() {
    requestSent("post1", "post", 0);
    partReceived("post1", 0, 5);
    heartbeats(5, 760); // up to 755 ms is allowed
    partReceived("post1", 0, 906);
    assertViolations("EFFECT_TWICE");
  }

  @Test
  void atMostOncePartIsNotSentAgainDuringAStall() {
    requestSent("once", "once", 0);
    partReceived("once", 0, 5);
    heartbeats(5, 600);
    partReceived("once", 0, 906);
    assertViolations("EFFECT_TWICE");
  }

  @Test
  void rejectionRequiresThatNothingWasSent() {
    requestSent("once", "once", 0);
    partReceived("once", 0, 5);
    checker.requestAnswered("once", ms(50), true, false, null);
    assertViolations("EFFECT_TWICE");
  }

  @Test
  void answerMatchesWhatTheBoxesReturned() {
    requestSent("a", "search", 0);
    partReceived("a", 0, 5);
    partDone("a", 0, 6);
    checker.requestAnswered("a", ms(7), false, true, Map.of(0, "v0"));
    assertViolations("HONEST_ANSWER");
    requestSent("b", "search", 0);
    checker.requestAnswered("b", ms(7), false, true, Map.of(0, "v0", 1, "v1"));
    assertViolations("HONEST_ANSWER", "HONEST_ANSWER", "HONEST_ANSWER");
  }

  @Test
  void partsAreRequestedAndWithinTheTripLimit() {
    requestSent("a", "search", 0);
    for (int i = 0; i < 3; i++) {
      partReceived("a", 0, 5 + i);
    }
    assertViolations();
    partReceived("a", 0, 9);
    assertViolations("TRIPS");
    partReceived("nobody", 0, 9);
    assertViolations("TRIPS", "STRANGE_PART");
  }

  @Test
  void failedColdBoxIsAViolation() {
    checker.boxOverloaded(BOX, ms(5));
    assertViolations("COLD_BOX");
  }
}
