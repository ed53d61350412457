package gingerring.traffic.replay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gingerring.traffic.scan.ObservedScan;
import gingerring.traffic.scan.ObservedScan.ScanOutcome;
import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;

class ComparisonTest {
  private static final ObservedScan SCAN =
      RetriesTest.observedScan(0, 1, 0, 10, "a", null, ScanOutcome.WHOLE);

  private static ScanResult result(
      ScanOutcome outcome, Map<Integer, String> values, long tookMs, long lateMs, long heldMs) {
    return new ScanResult(
        outcome,
        200,
        values,
        1,
        Duration.ZERO,
        Duration.ofMillis(tookMs),
        Duration.ofMillis(lateMs),
        Duration.ofMillis(heldMs));
  }

  private static String cause(ScanResult recorded, ScanResult replayed) {
    Comparison comparison = new Comparison(Duration.ofMillis(20));
    comparison.add(SCAN, recorded, replayed);
    return comparison.countsByCause().isEmpty()
        ? "agree"
        : comparison.countsByCause().keySet().iterator().next();
  }

  @Test
  void agreementAndTheCausesOfDifferences() {
    ScanResult whole = result(ScanOutcome.WHOLE, Map.of(0, "v", 1, "w"), 10, 0, 0);
    assertEquals(
        "agree", cause(whole, result(ScanOutcome.WHOLE, Map.of(0, "v", 1, "w"), 900, 50, 50)));
    assertEquals(
        "a value differs: the store is not in the recorded state",
        cause(whole, result(ScanOutcome.WHOLE, Map.of(0, "v", 1, "x"), 10, 0, 0)));
    ScanResult part = result(ScanOutcome.PART, Map.of(0, "v"), 10, 0, 0);
    assertEquals("agree", cause(part, part));
    assertEquals(
        "answered from other parts: some came or were sent in one run alone", cause(part, whole));
    assertEquals(
        "answered from other parts: some came or were sent in one run alone",
        cause(part, result(ScanOutcome.PART, Map.of(1, "w"), 10, 0, 0)));
    assertEquals(
        "the tool sent it late", cause(whole, result(ScanOutcome.PART, Map.of(0, "v"), 10, 30, 0)));
    assertEquals(
        "held back by the answer before it on its connection",
        cause(whole, result(ScanOutcome.PART, Map.of(0, "v"), 10, 0, 30)));
    assertEquals(
        "an answer close to the end of its client's time: open by nature",
        cause(whole, result(ScanOutcome.LEFT, Map.of(), 2050, 0, 0)));
    assertEquals(
        "turned away in the replay: more load or less trust than recorded",
        cause(whole, result(ScanOutcome.NACKED, Map.of(), 10, 0, 0)));
    assertEquals(
        "given up in the replay: its parts or their holders failed",
        cause(whole, result(ScanOutcome.SCRAPPED, Map.of(), 10, 0, 0)));
  }

  @Test
  void outcomesMissingFromTheRecordingAreNotCompared() {
    Comparison comparison = new Comparison(Duration.ofMillis(20));
    comparison.add(
        SCAN,
        result(ScanOutcome.INCOMPLETE, Map.of(), 0, 0, 0),
        result(ScanOutcome.WHOLE, Map.of(), 1, 0, 0));
    assertEquals(0, comparison.comparedCount());
    assertEquals(1, comparison.notComparedCount());
    comparison.add(
        SCAN,
        result(ScanOutcome.NACKED, Map.of(), 0, 0, 0),
        result(ScanOutcome.WHOLE, Map.of(), 1, 0, 0));
    assertEquals(0, comparison.agreement());
    assertEquals(1, comparison.differences().size());
  }
}
