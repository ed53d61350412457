package gingerring.emulator.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gingerring.emulator.core.RuleChecker.Rule;
import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Checks that each broken rule is reported once, and that a correct run has no violations. */
class RuleCheckerTest {
  private static final Map<Integer, Double> SHARES = Map.of(0, 0.5, 1, 0.3, 2, 0.2);

  private RuleChecker ruleChecker;

  @BeforeEach
  void createRuleChecker() throws Exception {
    ruleChecker =
        new RuleChecker(
            Scenario.read(
                """
        {"boxes": 4, "copies": 2, "trips": 2, "grades": [
          {"name": "search", "floor": 0.4},
          {"name": "post", "repeats": "numbered", "windowMs": 1000},
          {"name": "once", "repeats": "at-most-once"}]}"""
                    .getBytes()));
  }

  private static Duration ms(long ms) {
    return Duration.ofMillis(ms);
  }

  private void sendRequest(String scanId, String serviceClass) {
    ruleChecker.requestSent(scanId, serviceClass, SHARES, "key", ms(0), ms(2000));
  }

  /** Sends a part to the first holder of its partition, which answers it. */
  private void completePart(String scanId, int partition) {
    ruleChecker.partReceived(scanId, partition, "key", partition, ms(10));
    ruleChecker.partAnswered(scanId, partition, partition, "done", "v" + partition, ms(12));
  }

  private void assertSingleViolation(Rule rule) {
    assertEquals(Map.of(rule, 1), ruleChecker.countsByRule());
  }

  @Test
  void correctRunHasNoViolations() {
    for (String serviceClass : new String[] {"search", "post", "once"}) {
      sendRequest(serviceClass, serviceClass);
      ruleChecker.partReceived(serviceClass, 0, "key", 0, ms(5));
      ruleChecker.partAnswered(
          serviceClass, 0, 0, "full", null, ms(6)); // it was not executed, so it may be sent again
      ruleChecker.partReceived(serviceClass, 0, "key", 1, ms(6));
      ruleChecker.partAnswered(serviceClass, 0, 1, "done", "v0", ms(8));
      completePart(serviceClass, 1);
      completePart(serviceClass, 2);
      ruleChecker.requestAnswered(
          serviceClass, ms(20), false, true, Map.of(0, "v0", 1, "v1", 2, "v2"));
    }
    sendRequest("part", "search");
    completePart("part", 0);
    ruleChecker.requestAnswered("part", ms(20), false, false, Map.of(0, "v0"));
    sendRequest("refused", "once");
    ruleChecker.requestAnswered("refused", ms(20), true, false, null);
    sendRequest("gone", "search");
    ruleChecker.clientLeft("gone", ms(100));
    ruleChecker.requestAnswered("gone", ms(120), false, false, null);
    ruleChecker.boxStateNotified(3, ms(0));
    sendRequest("drains", "search");
    ruleChecker.partReceived("drains", 2, "key", 3, ms(1000)); // within the grace period
    ruleChecker.boxStateNotified(3, null);
    assertEquals(Map.of(), ruleChecker.countsByRule());
  }

  @Test
  void missingAnswerIsScanLost() {
    sendRequest("a", "search");
    ruleChecker.answerMissing("a", ms(2050));
    assertSingleViolation(Rule.SCAN_LOST);
  }

  @Test
  void secondAnswerIsScanLost() {
    sendRequest("a", "search");
    ruleChecker.requestAnswered("a", ms(20), true, false, null);
    ruleChecker.requestAnswered("a", ms(30), true, false, null);
    assertSingleViolation(Rule.SCAN_LOST);
  }

  @Test
  void answerWithoutRequestIsScanLost() {
    ruleChecker.requestAnswered("a", ms(20), true, false, null);
    assertSingleViolation(Rule.SCAN_LOST);
  }

  /** A part that a link delayed is checked by the time at which it was sent. */
  @Test
  void delayedPartIsCheckedBySendTime() {
    sendRequest("a", "once");
    ruleChecker.boxStateNotified(0, 1, ms(100));
    ruleChecker.partReceived(0, "a", 1, "key", 1, ms(10), ms(5000));
    ruleChecker.requestAnswered("a", ms(20), false, false, null);
    ruleChecker.partReceived(0, "a", 0, "key", 0, ms(15), ms(6000));
    assertEquals(Map.of(), ruleChecker.countsByRule());
    // sent before the one that has arrived
    ruleChecker.partReceived(0, "a", 0, "key", 1, ms(12), ms(7000));
    assertSingleViolation(Rule.EFFECT_TWICE);
    assertEquals(3, ruleChecker.delayedCount());
  }

  /**
   * The harness stood still over the deadline of a scan, which is exempted; a later scan is late
   * without a stall.
   */
  @Test
  void lateAnswerDuringCheckerStallIsExempted() {
    sendRequest("a", "search");
    ruleChecker.heartbeat(ms(1900));
    ruleChecker.requestAnswered("a", ms(2100), true, false, null);
    assertEquals(Map.of(), ruleChecker.countsByRule());
    ruleChecker.heartbeat(ms(2110));
    ruleChecker.requestSent("b", "search", SHARES, "key", ms(2120), ms(100));
    for (int timeMs = 2120; timeMs < 2300; timeMs += 10) {
      ruleChecker.heartbeat(ms(timeMs));
    }
    ruleChecker.requestAnswered("b", ms(2300), true, false, null);
    assertSingleViolation(Rule.SCAN_LOST);
    assertEquals(ms(200), ruleChecker.longestStall());
  }

  @Test
  void lateAnswerIsScanLost() {
    sendRequest("a", "search");
    ruleChecker.requestAnswered("a", ms(2051), true, false, null);
    assertSingleViolation(Rule.SCAN_LOST);
  }

  @Test
  void partSentAfterTheAnswerIsScanLost() {
    sendRequest("a", "search");
    ruleChecker.requestAnswered("a", ms(20), true, false, null);
    ruleChecker.partReceived("a", 0, "key", 0, ms(71));
    assertSingleViolation(Rule.SCAN_LOST);
  }

  @Test
  void atMostOncePartResentAfterPossibleExecution() {
    sendRequest("a", "once");
    ruleChecker.partReceived("a", 0, "key", 0, ms(5));
    ruleChecker.partReceived("a", 0, "key", 1, ms(500));
    assertSingleViolation(Rule.EFFECT_TWICE);
  }

  @Test
  void atMostOnceScanRejectedAfterPossibleExecution() {
    sendRequest("a", "once");
    ruleChecker.partReceived("a", 0, "key", 0, ms(5));
    ruleChecker.partAnswered("a", 0, 0, "failed", null, ms(6));
    ruleChecker.requestAnswered("a", ms(20), true, false, null);
    assertSingleViolation(Rule.EFFECT_TWICE);
  }

  @Test
  void keyedPartResentAfterItsWindow() {
    sendRequest("a", "post");
    ruleChecker.partReceived("a", 0, "key", 0, ms(5));
    ruleChecker.partReceived("a", 0, "key", 1, ms(1056));
    assertSingleViolation(Rule.EFFECT_TWICE);
  }

  private void heartbeats(int from, int to) {
    for (int timeMs = from; timeMs <= to; timeMs += 5) {
      ruleChecker.heartbeat(ms(timeMs));
    }
  }

  /** Sends a keyed part that is read at 5 ms; its window, including the slack, ends at 1055 ms. */
  private void sendKeyedPart() {
    sendRequest("a", "post");
    ruleChecker.partReceived("a", 0, "key", 0, ms(5));
  }

  private void resendKeyedPart(int timeMs) {
    ruleChecker.partReceived("a", 0, "key", 1, ms(timeMs));
  }

  @Test
  void keyedPartReadAfterAStallMayHaveArrivedAtItsStart() {
    sendKeyedPart();
    heartbeats(5, 900);
    resendKeyedPart(1300);
    assertEquals(Map.of(), ruleChecker.countsByRule());
    assertEquals(1, ruleChecker.exempted());
  }

  /** The stall ended before, and the frame was read one iteration of the event loop later. */
  @Test
  void keyedPartReadOneIterationAfterAStallMayHaveArrivedDuringIt() {
    sendKeyedPart();
    heartbeats(5, 900);
    heartbeats(1300, 1310);
    resendKeyedPart(1310);
    assertEquals(Map.of(), ruleChecker.countsByRule());
  }

  @Test
  void keyedPartReadLongAfterAStallIsAViolation() {
    sendKeyedPart();
    heartbeats(5, 900);
    heartbeats(1300, 1310);
    resendKeyedPart(1311);
    assertSingleViolation(Rule.EFFECT_TWICE);
    assertEquals(0, ruleChecker.exempted());
  }

  @Test
  void keyedPartReadAfterTooShortAStallIsAViolation() {
    sendKeyedPart();
    heartbeats(5, 1055);
    resendKeyedPart(1300);
    assertEquals(Map.of(), ruleChecker.countsByRule());
    ruleChecker.requestSent("b", "post", SHARES, "key", ms(1300), ms(2000));
    ruleChecker.partReceived("b", 0, "key", 0, ms(1300));
    heartbeats(1305, 2355); // sending is allowed until 2350 ms
    ruleChecker.partReceived("b", 0, "key", 1, ms(2600));
    assertSingleViolation(Rule.EFFECT_TWICE);
  }

  /**
   * Consecutive stalls count as one. If an iteration of the event loop ran between them, frames of
   * the first stall were read at its end.
   */
  @Test
  void keyedPartReadAfterTwoStalls() {
    sendKeyedPart();
    heartbeats(5, 900);
    ruleChecker.heartbeat(ms(1100));
    resendKeyedPart(1300);
    assertEquals(Map.of(), ruleChecker.countsByRule());
    ruleChecker.requestSent("b", "post", SHARES, "key", ms(1300), ms(2000));
    ruleChecker.partReceived("b", 0, "key", 0, ms(1300));
    heartbeats(1305, 2200);
    heartbeats(2400, 2405);
    ruleChecker.partReceived("b", 0, "key", 1, ms(2600));
    assertSingleViolation(Rule.EFFECT_TWICE);
  }

  @Test
  void atMostOncePartResentDuringAStallIsAViolation() {
    sendRequest("a", "once");
    ruleChecker.partReceived("a", 0, "key", 0, ms(5));
    heartbeats(5, 900);
    ruleChecker.partReceived("a", 0, "key", 1, ms(1300));
    assertSingleViolation(Rule.EFFECT_TWICE);
  }

  @Test
  void partSentToADrainedBox() {
    ruleChecker.boxStateNotified(0, ms(0));
    sendRequest("a", "search");
    ruleChecker.partReceived("a", 0, "key", 0, ms(1051));
    assertSingleViolation(Rule.DRAIN);
  }

  @Test
  void coldBoxOverloaded() {
    ruleChecker.boxOverloaded(1, ms(7));
    assertSingleViolation(Rule.COLD_BOX);
  }

  @Test
  void answerBelowMinCoverage() {
    sendRequest("a", "search");
    completePart("a", 1);
    ruleChecker.requestAnswered("a", ms(20), false, false, Map.of(1, "v1"));
    assertSingleViolation(Rule.HONEST_ANSWER);
  }

  @Test
  void partialAnswerMarkedWhole() {
    sendRequest("a", "search");
    completePart("a", 0);
    completePart("a", 1);
    ruleChecker.requestAnswered("a", ms(20), false, true, Map.of(0, "v0", 1, "v1"));
    assertSingleViolation(Rule.HONEST_ANSWER);
  }

  @Test
  void valueThatNoBoxReturned() {
    sendRequest("a", "search");
    completePart("a", 0);
    ruleChecker.partReceived("a", 1, "key", 1, ms(10)); // sent, but not answered
    ruleChecker.requestAnswered("a", ms(20), false, false, Map.of(0, "v0", 1, "v1"));
    assertSingleViolation(Rule.HONEST_ANSWER);
  }

  @Test
  void tooManyTrips() {
    sendRequest("a", "search");
    for (int i = 0; i < 3; i++) {
      ruleChecker.partReceived("a", 0, "key", i % 2, ms(5 + i));
    }
    assertSingleViolation(Rule.TRIPS);
  }

  @Test
  void unrequestedPartsAreStrangeParts() {
    sendRequest("a", "search");
    ruleChecker.partReceived("a", 3, "key", 3, ms(5));
    assertSingleViolation(Rule.STRANGE_PART);
    ruleChecker.partReceived("a", 0, "key", 3, ms(5));
    sendRequest("b", "post");
    ruleChecker.partReceived("b", 0, "another", 0, ms(5));
    assertEquals(Map.of(Rule.STRANGE_PART, 3), ruleChecker.countsByRule());
  }
}
