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
  private static final Duration APART = Duration.ofMillis(500);
  private static final Duration AGE = Duration.ofSeconds(5);

  private static PeerReport word(long author, long life, long number) {
    return new PeerReport(
        new PeerId(author), life, number, 0, 1, Map.of(7L, new BoxObservation(number, life)));
  }

  private static Duration ms(long millis) {
    return Duration.ofMillis(millis);
  }

  /** The plain model keeps every word that ever came and looks through all of them. */
  @Property(tries = 300, seed = "30")
  void keepsWhatPlainSearchingWould(@ForAll long seed) {
    SplittableRandom chance = new SplittableRandom(seed);
    PeerReports words = new PeerReports(SELF, 100, 4, APART, AGE);
    List<PeerReports.TimedReport> taken = new ArrayList<>();
    long now = 0;
    for (int i = 0; i < 200; i++) {
      now += chance.nextInt(400);
      PeerReport word = word(chance.nextInt(8), chance.nextInt(3), chance.nextInt(40));
      boolean newest = true;
      for (PeerReports.TimedReport each : taken) {
        if (each.report().author().equals(word.author())) {
          newest &=
              word.incarnation() > each.report().incarnation()
                  || word.incarnation() == each.report().incarnation()
                      && word.number() > each.report().number();
          newest &= now - each.receivedAt().toMillis() >= APART.toMillis();
        }
      }
      assertEquals(newest, words.accept(word, ms(now)) == Verdict.TAKEN);
      if (newest) {
        taken.add(new PeerReports.TimedReport(word, ms(now)));
      }
    }
    Map<PeerId, PeerReport> last = new HashMap<>();
    for (PeerReports.TimedReport each : taken) {
      last.remove(each.report().author());
      if (now - each.receivedAt().toMillis() < AGE.toMillis()) {
        last.put(each.report().author(), each.report());
      }
    }
    Map<PeerId, PeerReport> fresh = new HashMap<>();
    words.current(ms(now)).forEach(each -> fresh.put(each.report().author(), each.report()));
    assertEquals(last, fresh);
  }

  /**
   * Guards against a process that comes back from a stop, or a recording, that speaks for a life
   * that is over.
   */
  @Test
  void anEarlierLifeNeverWins() {
    PeerReports words = new PeerReports(SELF, 10, 4, APART, AGE);
    assertEquals(Verdict.TAKEN, words.accept(word(1, 100, 50), ms(0)));
    assertEquals(Verdict.TAKEN, words.accept(word(1, 200, 1), ms(1000)));
    assertEquals(Verdict.OLD_LIFE, words.accept(word(1, 100, 51), ms(2000)));
    assertEquals(Verdict.OLD_NUMBER, words.accept(word(1, 200, 1), ms(3000)));
    assertEquals(
        Verdict.OLD_LIFE, words.accept(word(99, 300, 1), ms(3000)), "an own word that came back");
    assertEquals(200, words.current(ms(3000)).get(0).report().incarnation());
    assertEquals(2, words.count(Verdict.OLD_LIFE));
  }

  /**
   * Two mixers by one name: each new life replaces the other, at the pace that one mixer may speak
   * at.
   */
  @Test
  void twoByOneNameSpeakNoMoreThanOne() {
    PeerReports words = new PeerReports(SELF, 10, 4, APART, AGE);
    int taken = 0;
    for (int i = 0; i < 100; i++) {
      taken += words.accept(word(1, 100 + i, 1), ms(i * 100)) == Verdict.TAKEN ? 1 : 0;
    }
    assertEquals(20, taken);
    assertEquals(80, words.count(Verdict.TOO_SOON));
  }

  @Test
  void itsBoundsHold() {
    PeerReports words = new PeerReports(SELF, 3, 2, APART, AGE);
    for (int i = 0; i < 3; i++) {
      assertEquals(Verdict.TAKEN, words.accept(word(i, 1, 1), ms(i)));
    }
    assertEquals(Verdict.NO_ROOM, words.accept(word(3, 1, 1), ms(100)));
    Map<Long, BoxObservation> many =
        Map.of(
            1L,
            new BoxObservation(1, 0),
            2L,
            new BoxObservation(1, 0),
            3L,
            new BoxObservation(1, 0));
    assertEquals(
        Verdict.TOO_LARGE, words.accept(new PeerReport(new PeerId(1), 1, 2, 0, 0, many), ms(1000)));
    assertEquals(
        Verdict.TAKEN, words.accept(word(0, 1, 2), ms(4000)), "now 1 is the one heard longest ago");
    assertEquals(Verdict.TAKEN, words.accept(word(3, 1, 1), ms(5002)));
    assertEquals(Verdict.OLD_NUMBER, words.accept(word(0, 1, 2), ms(5002)));
    assertTrue(
        words.current(ms(5003)).stream().noneMatch(each -> each.report().author().number() == 1));
  }

  @Test
  void whoLeavesIsForgottenAtOnceAndComesBackWithANewLifeAlone() {
    PeerReports words = new PeerReports(SELF, 10, 4, APART, AGE);
    words.accept(word(1, 100, 5), ms(0));
    words.peerLeft(new PeerId(1), 100, ms(600));
    assertEquals(List.of(), words.current(ms(600)));
    assertEquals(
        Verdict.OLD_NUMBER, words.accept(word(1, 100, 6), ms(1200)), "a word that was on its way");
    assertEquals(Verdict.TAKEN, words.accept(word(1, 101, 1), ms(1200)));
  }

  @Test
  void refusesWhatCannotBe() {
    assertThrows(IllegalArgumentException.class, () -> new PeerReports(SELF, 0, 1, APART, AGE));
    assertThrows(IllegalArgumentException.class, () -> new PeerReports(SELF, 1, 1, AGE, APART));
    assertThrows(IllegalArgumentException.class, () -> new BoxObservation(Double.NaN, 0));
    assertThrows(IllegalArgumentException.class, () -> new PeerReport(SELF, 1, 1, 0, -1, Map.of()));
  }
}
