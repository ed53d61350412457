package gingerring.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class ReportAggregatorTest {
  private static final BoxObservation NO_PARTS = new BoxObservation(0, 0);

  private static PeerReports.TimedReport report(
      int author, int zone, double demand, double answered, double failed) {
    return new PeerReports.TimedReport(
        new PeerReport(
            new PeerId(author),
            1,
            1,
            zone,
            demand,
            Map.of(5L, new BoxObservation(answered, failed))),
        Duration.ZERO);
  }

  /**
   * Of 2f + 1 witnesses f may send arbitrary reports, even in agreement: the result stays in the
   * range of the others' reports.
   */
  @Property(tries = 500, seed = "31")
  void aMinorityOfLiarsCannotMoveTheResultOutOfRange(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    int f = 1 + random.nextInt(7);
    List<PeerReports.TimedReport> reports = new ArrayList<>();
    double low = 1;
    double high = 0;
    for (int i = 0; i < f + 1; i++) {
      double failed = random.nextInt(20);
      reports.add(report(i, i % 3, 1, 20 - failed, failed));
      low = Math.min(low, failed / 20);
      high = Math.max(high, failed / 20);
    }
    boolean claimFailed = random.nextBoolean(); // all liars claim the same
    for (int i = 0; i < f; i++) {
      reports.add(report(100 + i, i % 3, 1, claimFailed ? 0 : 1e9, claimFailed ? 1e9 : 0));
    }
    ReportAggregator aggregator = new ReportAggregator(3, 1, 4, 3);
    double failureShare = aggregator.failureShare(5, NO_PARTS, reports);
    assertTrue(
        failureShare >= low - 1e-12 && failureShare <= high + 1e-12,
        () -> "moved out of range to " + failureShare);
    // own observations come first: 16 own parts without a failure, and all reports together count
    // as four parts
    assertTrue(
        aggregator.failureShare(5, new BoxObservation(16, 0), reports) <= 0.2 * high + 1e-12);
  }

  @Test
  void needsEnoughWitnessesFromTwoZones() {
    ReportAggregator aggregator = new ReportAggregator(3, 5, 4, 3);
    List<PeerReports.TimedReport> reports =
        new ArrayList<>(List.of(report(1, 0, 1, 0, 10), report(2, 1, 1, 0, 10)));
    assertEquals(Double.NaN, aggregator.failureShare(5, NO_PARTS, reports));
    reports.add(report(3, 1, 1, 0, 4)); // it saw too few parts
    assertEquals(0, aggregator.failureShare(5, new BoxObservation(2, 0), reports));
    reports.add(report(4, 1, 1, 0, 10));
    assertEquals(1, aggregator.failureShare(5, NO_PARTS, reports), 1e-12);
    assertEquals(
        Double.NaN, aggregator.failureShare(6, NO_PARTS, reports), "no mixer reports that box");
    List<PeerReports.TimedReport> sameZoneReports =
        new ArrayList<>(
            List.of(report(1, 0, 1, 0, 10), report(2, 0, 1, 0, 10), report(3, 0, 1, 0, 10)));
    assertEquals(
        1,
        aggregator.failureShare(5, NO_PARTS, sameZoneReports),
        1e-12,
        "all mixers are in one zone");
    // there is another zone, where no mixer saw enough parts
    sameZoneReports.add(report(4, 1, 1, 1, 0));
    assertEquals(Double.NaN, aggregator.failureShare(5, NO_PARTS, sameZoneReports));
  }

  /**
   * Guards against a mixer that claims an excessive demand: it is capped at a multiple of the
   * median.
   */
  @Test
  void capsAnExcessiveDemand() {
    ReportAggregator aggregator = new ReportAggregator(3, 1, 4, 3);
    List<PeerReports.TimedReport> reports = new ArrayList<>();
    for (int i = 0; i < 15; i++) {
      reports.add(report(i, 0, i == 0 ? 1e12 : 10, 1, 0));
    }
    assertEquals(10 + 14 * 10 + 30, aggregator.totalDemand(10, reports), 1e-9);
    assertEquals(7, aggregator.totalDemand(7, List.of()), 1e-12);
  }

  @Test
  void rejectsInvalidArguments() {
    assertThrows(IllegalArgumentException.class, () -> new ReportAggregator(0, 1, 1, 1));
    assertThrows(IllegalArgumentException.class, () -> new ReportAggregator(1, 0, 1, 1));
    assertThrows(IllegalArgumentException.class, () -> new ReportAggregator(1, 1, -1, 1));
    assertThrows(IllegalArgumentException.class, () -> new ReportAggregator(1, 1, 1, 0.5));
  }
}
