package gingerring.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gingerring.peers.PeerReports.Verdict;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class PeerReportsTest {
  private static final PeerId SELF = new PeerId(99);
  private static final Duration MIN_INTERVAL = Duration.ofMillis(500);
  private static final Duration LIFETIME = Duration.ofSeconds(5);

  private static PeerReport report(long author, long incarnation, long number) {
    return new PeerReport(
        new PeerId(author),
        incarnation,
        number,
        0,
        1,
        Map.of(7L, new BoxObservation(number, incarnation)));
  }

  private static Duration ms(long millis) {
    return Duration.ofMillis(millis);
  }

  /** The reference model keeps every accepted report and searches all of them. */
  @Property(tries = 300, seed = "30")
  void keepsWhatALinearSearchFinds(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    PeerReports reports = new PeerReports(SELF, 100, 4, MIN_INTERVAL, LIFETIME);
    List<PeerReports.TimedReport> accepted = new ArrayList<>();
    long now = 0;
    for (int i = 0; i < 200; i++) {
      now += random.nextInt(400);
      PeerReport report = report(random.nextInt(8), random.nextInt(3), random.nextInt(40));
      boolean newest = true;
      for (PeerReports.TimedReport timed : accepted) {
        if (timed.report().author().equals(report.author())) {
          newest &=
              report.incarnation() > timed.report().incarnation()
                  || report.incarnation() == timed.report().incarnation()
                      && report.number() > timed.report().number();
          newest &= now - timed.receivedAt().toMillis() >= MIN_INTERVAL.toMillis();
        }
      }
      assertEquals(newest, reports.accept(report, ms(now)) == Verdict.TAKEN);
      if (newest) {
        accepted.add(new PeerReports.TimedReport(report, ms(now)));
      }
    }
    Map<PeerId, PeerReport> last = new HashMap<>();
    for (PeerReports.TimedReport timed : accepted) {
      last.remove(timed.report().author());
      if (now - timed.receivedAt().toMillis() < LIFETIME.toMillis()) {
        last.put(timed.report().author(), timed.report());
      }
    }
    Map<PeerId, PeerReport> current = new HashMap<>();
    reports.current(ms(now)).forEach(timed -> current.put(timed.report().author(), timed.report()));
    assertEquals(last, current);
  }

  /**
   * Guards against a process that resumes after a pause, or a replayed recording, that reports for
   * an earlier incarnation.
   */
  @Test
  void anEarlierIncarnationNeverWins() {
    PeerReports reports = new PeerReports(SELF, 10, 4, MIN_INTERVAL, LIFETIME);
    assertEquals(Verdict.TAKEN, reports.accept(report(1, 100, 50), ms(0)));
    assertEquals(Verdict.TAKEN, reports.accept(report(1, 200, 1), ms(1000)));
    assertEquals(Verdict.OLD_LIFE, reports.accept(report(1, 100, 51), ms(2000)));
    assertEquals(Verdict.OLD_NUMBER, reports.accept(report(1, 200, 1), ms(3000)));
    assertEquals(
        Verdict.OLD_LIFE,
        reports.accept(report(99, 300, 1), ms(3000)),
        "an own report that came back");
    assertEquals(200, reports.current(ms(3000)).get(0).report().incarnation());
    assertEquals(2, reports.count(Verdict.OLD_LIFE));
  }

  /**
   * Two mixers with one name: each new incarnation replaces the other, no more often than one mixer
   * may report.
   */
  @Test
  void twoMixersWithOneNameReportNoMoreOftenThanOne() {
    PeerReports reports = new PeerReports(SELF, 10, 4, MIN_INTERVAL, LIFETIME);
    int accepted = 0;
    for (int i = 0; i < 100; i++) {
      accepted += reports.accept(report(1, 100 + i, 1), ms(i * 100)) == Verdict.TAKEN ? 1 : 0;
    }
    assertEquals(20, accepted);
    assertEquals(80, reports.count(Verdict.TOO_SOON));
  }

  @Test
  void enforcesItsLimits() {
    PeerReports reports = new PeerReports(SELF, 3, 2, MIN_INTERVAL, LIFETIME);
    for (int i = 0; i < 3; i++) {
      assertEquals(Verdict.TAKEN, reports.accept(report(i, 1, 1), ms(i)));
    }
    assertEquals(Verdict.NO_ROOM, reports.accept(report(3, 1, 1), ms(100)));
    Map<Long, BoxObservation> many =
        Map.of(
            1L,
            new BoxObservation(1, 0),
            2L,
            new BoxObservation(1, 0),
            3L,
            new BoxObservation(1, 0));
    assertEquals(
        Verdict.TOO_LARGE,
        reports.accept(new PeerReport(new PeerId(1), 1, 2, 0, 0, many), ms(1000)));
    assertEquals(
        Verdict.TAKEN,
        reports.accept(report(0, 1, 2), ms(4000)),
        "peer 1 is now the one silent for longest");
    assertEquals(Verdict.TAKEN, reports.accept(report(3, 1, 1), ms(5002)));
    assertEquals(Verdict.OLD_NUMBER, reports.accept(report(0, 1, 2), ms(5002)));
    assertTrue(
        reports.current(ms(5003)).stream().noneMatch(each -> each.report().author().number() == 1));
  }

  @Test
  void aPeerThatLeftReturnsOnlyWithANewIncarnation() {
    PeerReports reports = new PeerReports(SELF, 10, 4, MIN_INTERVAL, LIFETIME);
    reports.accept(report(1, 100, 5), ms(0));
    reports.peerLeft(new PeerId(1), 100, ms(600));
    assertEquals(List.of(), reports.current(ms(600)));
    assertEquals(
        Verdict.OLD_NUMBER,
        reports.accept(report(1, 100, 6), ms(1200)),
        "a report that was in flight");
    assertEquals(Verdict.TAKEN, reports.accept(report(1, 101, 1), ms(1200)));
  }

  @Test
  void rejectsInvalidArguments() {
    assertThrows(
        IllegalArgumentException.class, () -> new PeerReports(SELF, 0, 1, MIN_INTERVAL, LIFETIME));
    assertThrows(
        IllegalArgumentException.class, () -> new PeerReports(SELF, 1, 1, LIFETIME, MIN_INTERVAL));
    assertThrows(IllegalArgumentException.class, () -> new BoxObservation(Double.NaN, 0));
    assertThrows(IllegalArgumentException.class, () -> new PeerReport(SELF, 1, 1, 0, -1, Map.of()));
  }
}
