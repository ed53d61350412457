package gingerring.traffic.replay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gingerring.traffic.scan.ObservedScan;
import gingerring.traffic.scan.ObservedScan.ScanOutcome;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Finding recorded retry chains and generating retries. */
class RetriesTest {
  static ObservedScan observedScan(
      int number,
      long connection,
      long askedMs,
      long tookMs,
      String queryText,
      String idempotencyKey,
      ScanOutcome outcome) {
    byte[] request =
        ("POST /api HTTP/1.1\r\nhost: x\r\nx-txn: m" + number + "\r\n\r\n{}")
            .getBytes(StandardCharsets.US_ASCII);
    long asked = askedMs * 1_000_000;
    return new ObservedScan(
        number,
        connection,
        "c",
        asked,
        asked,
        outcome == ScanOutcome.INCOMPLETE ? 0 : asked + tookMs * 1_000_000,
        "m" + number,
        "search",
        2000,
        false,
        idempotencyKey,
        List.of(new ObservedScan.Target(0, 1)),
        queryText,
        request,
        outcome,
        200,
        outcome == ScanOutcome.WHOLE,
        outcome == ScanOutcome.WHOLE ? Map.of(0, "v") : Map.of(),
        0,
        "");
  }

  /** The reference model searches all chains for each scan. */
  private static List<List<Long>> expectedChains(List<ObservedScan> scans, long windowNanos) {
    List<List<ObservedScan>> chains = new ArrayList<>();
    for (ObservedScan scan : scans) {
      List<ObservedScan> best = null;
      for (List<ObservedScan> chain : chains) {
        ObservedScan last = chain.get(chain.size() - 1);
        long end = Math.max(last.responseEndNanos(), last.requestStartNanos());
        boolean same = last.queryText().equals(scan.queryText());
        boolean failed = last.outcome() != ScanOutcome.WHOLE && last.outcome() != ScanOutcome.PART;
        if (same
            && failed
            && last.responseEndNanos() <= scan.requestStartNanos()
            && scan.requestStartNanos() - end <= windowNanos
            && (best == null
                || best.get(best.size() - 1).responseEndNanos() < last.responseEndNanos())) {
          best = chain;
        }
      }
      if (best == null) {
        best = new ArrayList<>();
        chains.add(best);
      }
      best.add(scan);
    }
    return chains.stream().map(chain -> chain.stream().map(ObservedScan::number).toList()).toList();
  }

  @Property(tries = 500, seed = "7")
  void findsTheChainsThatTheReferenceModelFinds(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<ObservedScan> scans = new ArrayList<>();
    long requestMillis = 0;
    ScanOutcome[] outcomes = {
      ScanOutcome.WHOLE,
      ScanOutcome.NACKED,
      ScanOutcome.SCRAPPED,
      ScanOutcome.LEFT,
      ScanOutcome.INCOMPLETE
    };
    for (int i = 0; i < 40; i++) {
      requestMillis += 1 + random.nextInt(400);
      scans.add(
          observedScan(
              i,
              random.nextInt(5),
              requestMillis,
              7 * i % 300 + random.nextInt(2) * 1000,
              "t" + random.nextInt(4),
              null,
              outcomes[random.nextInt(outcomes.length)]));
    }
    Duration window = Duration.ofMillis(900);
    List<List<Long>> found =
        Retries.findChains(scans, window).stream()
            .map(chain -> chain.attempts().stream().map(ObservedScan::number).toList())
            .toList();
    assertEquals(expectedChains(scans, window.toNanos()), found);
  }

  @Test
  void aRetryOnAnotherConnectionBelongsToItsFirstAttempt() {
    List<RetryChain> chains =
        Retries.findChains(
            List.of(
                observedScan(0, 1, 0, 10, "a", "k1", ScanOutcome.NACKED),
                observedScan(1, 2, 100, 10, "a", "k2", ScanOutcome.WHOLE),
                observedScan(2, 3, 200, 10, "a", "k1", ScanOutcome.WHOLE),
                observedScan(3, 4, 300, 10, "a", "k1", ScanOutcome.WHOLE)),
            Duration.ofSeconds(60));
    assertEquals(List.of(2, 1, 1), chains.stream().map(chain -> chain.attempts().size()).toList());
  }

  @Test
  void delaysGrowAndHonourRetryAfter() {
    Retries retries =
        new Retries(
            new Retries.RetryPolicy(3, Duration.ofMillis(100), 2, 0.5), new SplittableRandom(1));
    for (int number = 0; number < 3; number++) {
      Duration wait = retries.nextDelay(number, Duration.ZERO).orElseThrow();
      double nominalMillis = 100 * Math.pow(2, number);
      assertTrue(
          wait.toMillis() >= nominalMillis / 2 - 1 && wait.toMillis() <= nominalMillis * 1.5,
          number + ": " + wait);
    }
    assertEquals(Duration.ofSeconds(5), retries.nextDelay(0, Duration.ofSeconds(5)).orElseThrow());
    assertTrue(retries.nextDelay(3, Duration.ofSeconds(5)).isEmpty());
  }

  @Test
  void aRetryHasANewTransactionIdAndIsOtherwiseEqual() {
    ReplayPlan plan =
        new ReplayPlan(
            List.of(
                observedScan(0, 1, 0, 10, "a", "k1", ScanOutcome.NACKED),
                observedScan(1, 1, 100, 10, "a", "k1", ScanOutcome.WHOLE)),
            10,
            true);
    assertEquals(1, plan.steps().size());
    ReplayStep retry = plan.createRetry(plan.steps().get(0), 1, Duration.ofMillis(5));
    assertEquals(
        "POST /api HTTP/1.1\r\nhost: x\r\nx-txn: m0~1\r\n\r\n{}",
        new String(retry.requestBytes(), StandardCharsets.US_ASCII));
    assertEquals(1, retry.attempt());
  }

  @Test
  void timesAreDividedByTheSpeed() {
    ReplayPlan plan =
        new ReplayPlan(
            List.of(
                observedScan(0, 1, 1000, 10, "a", null, ScanOutcome.WHOLE),
                observedScan(1, 2, 3000, 10, "b", null, ScanOutcome.WHOLE)),
            10,
            false);
    assertEquals(
        List.of(Duration.ZERO, Duration.ofMillis(200)),
        plan.steps().stream().map(ReplayStep::dueTime).toList());
    assertEquals(2, plan.connectionCount());
  }
}
