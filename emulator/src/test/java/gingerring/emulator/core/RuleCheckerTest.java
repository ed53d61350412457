package gingerring.emulator.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gingerring.emulator.core.RuleChecker.Rule;
import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The referee sees each rule broken, and nothing in a run that keeps them. */
class RuleCheckerTest {
  private static final Map<Integer, Double> SHARES = Map.of(0, 0.5, 1, 0.3, 2, 0.2);

  private RuleChecker referee;

  @BeforeEach
  void world() throws Exception {
    referee =
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

  private void ask(String mark, String grade) {
    referee.requestSent(mark, grade, SHARES, "key", ms(0), ms(2000));
  }

  /** A part goes to the box at which its folio begins, and is done there. */
  private void done(String mark, int folio) {
    referee.partReceived(mark, folio, "key", folio, ms(10));
    referee.partAnswered(mark, folio, folio, "done", "v" + folio, ms(12));
  }

  private void only(Rule rule) {
    assertEquals(Map.of(rule, 1), referee.countsByRule());
  }

  @Test
  void aRunThatKeepsTheRulesIsNotBlamed() {
    for (String grade : new String[] {"search", "post", "once"}) {
      ask(grade, grade);
      referee.partReceived(grade, 0, "key", 0, ms(5));
      referee.partAnswered(grade, 0, 0, "full", null, ms(6)); // it never ran: free to go again
      referee.partReceived(grade, 0, "key", 1, ms(6));
      referee.partAnswered(grade, 0, 1, "done", "v0", ms(8));
      done(grade, 1);
      done(grade, 2);
      referee.requestAnswered(grade, ms(20), false, true, Map.of(0, "v0", 1, "v1", 2, "v2"));
    }
    ask("part", "search");
    done("part", 0);
    referee.requestAnswered("part", ms(20), false, false, Map.of(0, "v0"));
    ask("refused", "once");
    referee.requestAnswered("refused", ms(20), true, false, null);
    ask("gone", "search");
    referee.clientLeft("gone", ms(100));
    referee.requestAnswered("gone", ms(120), false, false, null);
    referee.boxStateNotified(3, ms(0));
    ask("drains", "search");
    referee.partReceived("drains", 2, "key", 3, ms(1000)); // within the grace
    referee.boxStateNotified(3, null);
    assertEquals(Map.of(), referee.countsByRule());
  }

  @Test
  void aScanWithoutAnAnswer() {
    ask("a", "search");
    referee.answerMissing("a", ms(2050));
    only(Rule.SCAN_LOST);
  }

  @Test
  void aScanAnsweredTwice() {
    ask("a", "search");
    referee.requestAnswered("a", ms(20), true, false, null);
    referee.requestAnswered("a", ms(30), true, false, null);
    only(Rule.SCAN_LOST);
  }

  @Test
  void anAnswerThatNobodyAskedFor() {
    referee.requestAnswered("a", ms(20), true, false, null);
    only(Rule.SCAN_LOST);
  }

  /** A link held it: what its sender did is judged, not when it came. */
  @Test
  void aPartThatWasHeldOnItsWay() {
    ask("a", "once");
    referee.boxStateNotified(0, 1, ms(100));
    referee.partReceived(0, "a", 1, "key", 1, ms(10), ms(5000));
    referee.requestAnswered("a", ms(20), false, false, null);
    referee.partReceived(0, "a", 0, "key", 0, ms(15), ms(6000));
    assertEquals(Map.of(), referee.countsByRule());
    referee.partReceived(
        0, "a", 0, "key", 1, ms(12), ms(7000)); // sent before the one that has come
    only(Rule.EFFECT_TWICE);
    assertEquals(3, referee.delayedCount());
  }

  /**
   * What tells the referee stood still over the time by which an answer was due; another scan's is
   * late.
   */
  @Test
  void aJudgeThatStoodStillBlamesNobody() {
    ask("a", "search");
    referee.heartbeat(ms(1900));
    referee.requestAnswered("a", ms(2100), true, false, null);
    assertEquals(Map.of(), referee.countsByRule());
    referee.heartbeat(ms(2110));
    referee.requestSent("b", "search", SHARES, "key", ms(2120), ms(100));
    for (int at = 2120; at < 2300; at += 10) {
      referee.heartbeat(ms(at));
    }
    referee.requestAnswered("b", ms(2300), true, false, null);
    only(Rule.SCAN_LOST);
    assertEquals(ms(200), referee.longestStall());
  }

  @Test
  void aScanAnsweredTooLate() {
    ask("a", "search");
    referee.requestAnswered("a", ms(2051), true, false, null);
    only(Rule.SCAN_LOST);
  }

  @Test
  void aPartSentAfterTheAnswer() {
    ask("a", "search");
    referee.requestAnswered("a", ms(20), true, false, null);
    referee.partReceived("a", 0, "key", 0, ms(71));
    only(Rule.SCAN_LOST);
  }

  @Test
  void anAtMostOncePartSentAgainThatMayHaveRun() {
    ask("a", "once");
    referee.partReceived("a", 0, "key", 0, ms(5));
    referee.partReceived("a", 0, "key", 1, ms(500));
    only(Rule.EFFECT_TWICE);
  }

  @Test
  void anAtMostOnceScanNackedThatMayHaveRun() {
    ask("a", "once");
    referee.partReceived("a", 0, "key", 0, ms(5));
    referee.partAnswered("a", 0, 0, "failed", null, ms(6));
    referee.requestAnswered("a", ms(20), true, false, null);
    only(Rule.EFFECT_TWICE);
  }

  @Test
  void aNumberedPartSentAgainAfterItsMarkWasForgotten() {
    ask("a", "post");
    referee.partReceived("a", 0, "key", 0, ms(5));
    referee.partReceived("a", 0, "key", 1, ms(1056));
    only(Rule.EFFECT_TWICE);
  }

  private void beats(int from, int to) {
    for (int at = from; at <= to; at += 5) {
      referee.heartbeat(ms(at));
    }
  }

  /** Its first part is read at 5 ms; its window, the slack in it, ends at 1055 ms. */
  private void numbered() {
    ask("a", "post");
    referee.partReceived("a", 0, "key", 0, ms(5));
  }

  private void numberedAgain(int at) {
    referee.partReceived("a", 0, "key", 1, ms(at));
  }

  @Test
  void aNumberedPartReadAfterAStallMayHaveComeAtItsBeginning() {
    numbered();
    beats(5, 900);
    numberedAgain(1300);
    assertEquals(Map.of(), referee.countsByRule());
    assertEquals(1, referee.exempted());
  }

  /** Seen by another's part first, and read a turn later. */
  @Test
  void aNumberedPartReadATurnAfterAStallMayHaveComeInIt() {
    numbered();
    beats(5, 900);
    beats(1300, 1310);
    numberedAgain(1310);
    assertEquals(Map.of(), referee.countsByRule());
  }

  @Test
  void aNumberedPartReadAfterAStallThatHadEnded() {
    numbered();
    beats(5, 900);
    beats(1300, 1310);
    numberedAgain(1311);
    only(Rule.EFFECT_TWICE);
    assertEquals(0, referee.exempted());
  }

  @Test
  void aNumberedPartReadAfterAStallTooShortToExplainIt() {
    numbered();
    beats(5, 1055);
    numberedAgain(1300);
    assertEquals(Map.of(), referee.countsByRule());
    referee.requestSent("b", "post", SHARES, "key", ms(1300), ms(2000));
    referee.partReceived("b", 0, "key", 0, ms(1300));
    beats(1305, 2355); // 2350 ms are allowed
    referee.partReceived("b", 0, "key", 1, ms(2600));
    only(Rule.EFFECT_TWICE);
  }

  /**
   * Two stalls without a turn between are one; with a turn between the first one's frames were
   * read.
   */
  @Test
  void aNumberedPartReadAfterTwoStalls() {
    numbered();
    beats(5, 900);
    referee.heartbeat(ms(1100));
    numberedAgain(1300);
    assertEquals(Map.of(), referee.countsByRule());
    referee.requestSent("b", "post", SHARES, "key", ms(1300), ms(2000));
    referee.partReceived("b", 0, "key", 0, ms(1300));
    beats(1305, 2200);
    beats(2400, 2405);
    referee.partReceived("b", 0, "key", 1, ms(2600));
    only(Rule.EFFECT_TWICE);
  }

  @Test
  void anAtMostOncePartSentAgainWhileTheRigStoodStill() {
    ask("a", "once");
    referee.partReceived("a", 0, "key", 0, ms(5));
    beats(5, 900);
    referee.partReceived("a", 0, "key", 1, ms(1300));
    only(Rule.EFFECT_TWICE);
  }

  @Test
  void aPartSentToADrainedBox() {
    referee.boxStateNotified(0, ms(0));
    ask("a", "search");
    referee.partReceived("a", 0, "key", 0, ms(1051));
    only(Rule.DRAIN);
  }

  @Test
  void aColdBoxPushedOver() {
    referee.boxOverloaded(1, ms(7));
    only(Rule.COLD_BOX);
  }

  @Test
  void anAnswerUnderTheFloor() {
    ask("a", "search");
    done("a", 1);
    referee.requestAnswered("a", ms(20), false, false, Map.of(1, "v1"));
    only(Rule.HONEST_ANSWER);
  }

  @Test
  void anAnswerMarkedWholeThatIsNot() {
    ask("a", "search");
    done("a", 0);
    done("a", 1);
    referee.requestAnswered("a", ms(20), false, true, Map.of(0, "v0", 1, "v1"));
    only(Rule.HONEST_ANSWER);
  }

  @Test
  void aValueThatNoBoxGave() {
    ask("a", "search");
    done("a", 0);
    referee.partReceived("a", 1, "key", 1, ms(10)); // out, and not back
    referee.requestAnswered("a", ms(20), false, false, Map.of(0, "v0", 1, "v1"));
    only(Rule.HONEST_ANSWER);
  }

  @Test
  void aTripTooMany() {
    ask("a", "search");
    for (int i = 0; i < 3; i++) {
      referee.partReceived("a", 0, "key", i % 2, ms(5 + i));
    }
    only(Rule.TRIPS);
  }

  @Test
  void aPartThatNobodyAskedForOrThatItsBoxDoesNotHold() {
    ask("a", "search");
    referee.partReceived("a", 3, "key", 3, ms(5));
    only(Rule.STRANGE_PART);
    referee.partReceived("a", 0, "key", 3, ms(5));
    ask("b", "post");
    referee.partReceived("b", 0, "another", 0, ms(5));
    assertEquals(Map.of(Rule.STRANGE_PART, 3), referee.countsByRule());
  }
}
