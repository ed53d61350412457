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
  private static final BoxObservation NOTHING = new BoxObservation(0, 0);

  private static PeerReports.TimedReport kept(
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

  /** Of 2f + 1 witnesses f may say what they like, together: the others' range is not left. */
  @Property(tries = 500, seed = "31")
  void liarsInTheMinorityMoveNothingOutOfRange(@ForAll long seed) {
    SplittableRandom chance = new SplittableRandom(seed);
    int f = 1 + chance.nextInt(7);
    List<PeerReports.TimedReport> words = new ArrayList<>();
    double low = 1;
    double high = 0;
    for (int i = 0; i < f + 1; i++) {
      double failed = chance.nextInt(20);
      words.add(kept(i, i % 3, 1, 20 - failed, failed));
      low = Math.min(low, failed / 20);
      high = Math.max(high, failed / 20);
    }
    boolean dead = chance.nextBoolean(); // they agree on it
    for (int i = 0; i < f; i++) {
      words.add(kept(100 + i, i % 3, 1, dead ? 0 : 1e9, dead ? 1e9 : 0));
    }
    ReportAggregator hearsay = new ReportAggregator(3, 1, 4, 3);
    double told = hearsay.failureShare(5, NOTHING, words);
    assertTrue(
        told >= low - 1e-12 && told <= high + 1e-12, () -> "brought out of range to " + told);
    // and own sight comes first: 16 own parts without a failure, and they all count as four
    assertTrue(hearsay.failureShare(5, new BoxObservation(16, 0), words) <= 0.2 * high + 1e-12);
  }

  @Test
  void fewWitnessesOrOneZoneAreNotEnough() {
    ReportAggregator hearsay = new ReportAggregator(3, 5, 4, 3);
    List<PeerReports.TimedReport> words =
        new ArrayList<>(List.of(kept(1, 0, 1, 0, 10), kept(2, 1, 1, 0, 10)));
    assertEquals(Double.NaN, hearsay.failureShare(5, NOTHING, words));
    words.add(kept(3, 1, 1, 0, 4)); // it saw too little
    assertEquals(0, hearsay.failureShare(5, new BoxObservation(2, 0), words));
    words.add(kept(4, 1, 1, 0, 10));
    assertEquals(1, hearsay.failureShare(5, NOTHING, words), 1e-12);
    assertEquals(Double.NaN, hearsay.failureShare(6, NOTHING, words), "nobody told of that one");
    List<PeerReports.TimedReport> near =
        new ArrayList<>(List.of(kept(1, 0, 1, 0, 10), kept(2, 0, 1, 0, 10), kept(3, 0, 1, 0, 10)));
    assertEquals(
        1, hearsay.failureShare(5, NOTHING, near), 1e-12, "all there are stand in one zone");
    near.add(kept(4, 1, 1, 1, 0)); // there is another zone, and nobody there saw enough
    assertEquals(Double.NaN, hearsay.failureShare(5, NOTHING, near));
  }

  /** Guards against one that claims endless demand: it is held to a multiple of the middle one. */
  @Test
  void noDemandIsEndless() {
    ReportAggregator hearsay = new ReportAggregator(3, 1, 4, 3);
    List<PeerReports.TimedReport> words = new ArrayList<>();
    for (int i = 0; i < 15; i++) {
      words.add(kept(i, 0, i == 0 ? 1e12 : 10, 1, 0));
    }
    assertEquals(10 + 14 * 10 + 30, hearsay.totalDemand(10, words), 1e-9);
    assertEquals(7, hearsay.totalDemand(7, List.of()), 1e-12);
  }

  @Test
  void refusesWhatCannotBe() {
    assertThrows(IllegalArgumentException.class, () -> new ReportAggregator(0, 1, 1, 1));
    assertThrows(IllegalArgumentException.class, () -> new ReportAggregator(1, 0, 1, 1));
    assertThrows(IllegalArgumentException.class, () -> new ReportAggregator(1, 1, -1, 1));
    assertThrows(IllegalArgumentException.class, () -> new ReportAggregator(1, 1, 1, 0.5));
  }
}
