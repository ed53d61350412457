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
 * Doctored records: each check of the judge fails on its foul, and lets the nearest sound record
 * by.
 */
class JudgeTest {
  private static final Map<Integer, Double> SHARES = Map.of(0, 0.5, 1, 0.5);
  private static final int HOLDER = 1; // of folios 0 and 1

  private Judge judge;

  @BeforeEach
  void fresh() throws Scenario.InvalidScenario {
    judge = new Judge(Scenario.read(Crossings.WORLD.getBytes()));
  }

  private static Duration ms(long ms) {
    return Duration.ofMillis(ms);
  }

  private void asked(String mark, String grade, long at) {
    judge.asked(mark, grade, SHARES, grade.equals("post") ? "k" + mark : null, ms(at));
  }

  private void part(String mark, int folio, long at) {
    judge.part(mark, folio, mark.startsWith("post") ? "k" + mark : null, HOLDER, ms(at));
  }

  private void done(String mark, int folio, long at) {
    judge.returned(mark, folio, HOLDER, "done", "v" + folio, ms(at));
  }

  private void is(String... rules) {
    assertEquals(
        List.of(rules),
        judge.fouls().stream().map(Judge.Foul::rule).toList(),
        judge.fouls().toString());
  }

  @Test
  void aScanAsItShouldBeIsKept() {
    asked("a", "search", 0);
    part("a", 0, 5);
    part("a", 1, 5);
    done("a", 0, 10);
    done("a", 1, 10);
    judge.answered("a", ms(12), false, true, Map.of(0, "v0", 1, "v1"));
    judge.look(ms(9000), true);
    is();
    assertEquals(0, judge.open());
  }

  @Test
  void aRequestWithoutAnswerIsLostHalfASecondAfterItsTime() {
    asked("a", "search", 0);
    judge.look(ms(2499), true);
    is();
    assertEquals(1, judge.open());
    judge.look(ms(2501), true);
    is("SCAN_LOST");
    judge.look(ms(2600), true);
    is("SCAN_LOST");
  }

  @Test
  void anAnswerMayBeHalfASecondLateAndNoMore() {
    asked("a", "search", 0);
    asked("b", "search", 0);
    judge.answered("a", ms(2499), true, false, null);
    is();
    judge.answered("b", ms(2501), true, false, null);
    is("SCAN_LOST");
  }

  @Test
  void aSecondAnswerIsFound() {
    asked("a", "search", 0);
    judge.answered("a", ms(10), true, false, null);
    judge.answered("a", ms(20), true, false, null);
    is("SCAN_LOST");
  }

  @Test
  void noAttemptBeginsAfterTheClientWent() {
    asked("first", "search", 0);
    judge.gone("first", ms(100));
    part("first", 0, 349);
    is();
    part("first", 1, 351); // a first attempt of this part, a further one of the request
    is("GONE_CLIENT");
    asked("waits", "search", 1000);
    judge.gone("waits", ms(1100));
    part("waits", 0, 1400);
    is("GONE_CLIENT", "GONE_CLIENT");
    assertTrue(judge.fouls().get(1).what().contains("300 ms after its client went, as attempt 1"));
  }

  @Test
  void aClientThatHasGoneIsOwedNothing() {
    asked("a", "search", 0);
    part("a", 0, 5);
    judge.gone("a", ms(100));
    judge.ended("a", ms(110));
    judge.look(ms(9000), true);
    is();
  }

  @Test
  void whereTheRigStoodStillTheTimeAfterTheClientIsNotCounted() {
    judge.beat(ms(0));
    asked("a", "search", 0);
    judge.gone("a", ms(10));
    judge.beat(ms(10));
    part("a", 0, 500); // seen as the rig goes on
    is();
    judge.beat(ms(505));
    for (int at = 510; at <= 800; at += 10) {
      judge.beat(ms(at));
    }
    part("a", 1, 800);
    is("GONE_CLIENT");
  }

  @Test
  void aConnectionEndedUnderARequestThatWasSentOnLosesIt() {
    asked("a", "search", 0);
    part("a", 0, 5);
    judge.ended("a", ms(10));
    is("SCAN_LOST");
    judge.look(ms(9000), true);
    is("SCAN_LOST");
  }

  @Test
  void aConnectionEndedLongAfterARequestCameLosesIt() {
    asked("a", "search", 0);
    judge.ended("a", ms(251));
    is("SCAN_LOST");
  }

  @Test
  void anEndThatCrossesARequestUnreadIsNoFoulUntilThatIsSentOn() {
    asked("a", "search", 0);
    judge.ended("a", ms(20));
    judge.look(ms(9000), true);
    is();
    part("a", 0, 9000);
    assertTrue(judge.fouls().stream().anyMatch(foul -> foul.rule().equals("SHUTDOWN")));
  }

  @Test
  void whatComesAfterTheEndIsNotSentOn() {
    judge.terminated(ms(0));
    judge.askedAfterEnd("a", "search", SHARES, null, ms(100));
    judge.look(ms(9000), true);
    assertEquals(List.of("END"), judge.fouls().stream().map(Judge.Foul::rule).toList());
    part("a", 0, 110);
    is("END", "SHUTDOWN");
  }

  @Test
  void whereNoConnectionCameUpNothingIsSentOn() {
    asked("a", "search", 0);
    judge.refused("a");
    judge.look(ms(9000), true);
    is();
    part("a", 0, 10);
    is("SHUTDOWN");
  }

  @Test
  void aMixerEndsInTimeAndWithCodeZeroAndOnlyWhenTold() {
    judge.terminated(ms(0));
    judge.look(ms(7699), true);
    is();
    judge.look(ms(7701), true);
    judge.look(ms(7800), true);
    is("END");
    judge.exited(1, ms(7900));
    is("END", "CRASH");
  }

  @Test
  void aMixerThatEndsUntoldHasCrashed() {
    judge.exited(0, ms(10));
    is("CRASH");
  }

  @Test
  void aDrainIsKeptFromTheTimeItCountsAsTold() {
    judge.told(HOLDER, ms(0));
    asked("a", "search", 0);
    part("a", 0, 549);
    is();
    part("a", 1, 551);
    is("DRAIN");
    judge.told(HOLDER, null);
    asked("b", "search", 600);
    part("b", 0, 600);
    is("DRAIN");
  }

  @Test
  void anEffectIsNotHadTwice() {
    asked("once", "once", 0);
    part("once", 0, 5);
    part("once", 0, 30); // the first may have run, as a reset says
    is("EFFECT_TWICE");
  }

  @Test
  void aNumberedPartIsNotSentAgainAfterItsWindow() {
    asked("post1", "post", 0);
    part("post1", 0, 5);
    part("post1", 0, 755); // the window of 700 ms, 50 ms for the way
    is();
    part("post1", 0, 756);
    is("EFFECT_TWICE");
  }

  /** The window has none of the 150 ms that a client's going has for the machine. */
  @Test
  void aNumberedPartHasNothingOnTopOfItsWindowForTheMachine() {
    asked("post1", "post", 0);
    part("post1", 0, 5);
    runs(5, 905);
    part("post1", 0, 905);
    is("EFFECT_TWICE");
  }

  private void runs(int from, int to) {
    for (int at = from; at <= to; at += 5) {
      judge.beat(ms(at));
    }
  }

  @Test
  void aNumberedPartReadAsTheRigGoesOnCountsFromTheStallsBeginning() {
    asked("post1", "post", 0);
    part("post1", 0, 5);
    runs(5, 600);
    part("post1", 0, 906); // may have come at 600 ms
    is();
  }

  @Test
  void aNumberedPartReadLongAfterAStallCountsWhenItWasRead() {
    asked("post1", "post", 0);
    part("post1", 0, 5);
    runs(5, 300);
    runs(600, 905); // what came before was read at 600 ms
    part("post1", 0, 906);
    is("EFFECT_TWICE");
  }

  @Test
  void aNumberedPartWhoseStallBeganAfterItsWindowIsLateAllTheSame() {
    asked("post1", "post", 0);
    part("post1", 0, 5);
    runs(5, 760); // 755 ms are allowed
    part("post1", 0, 906);
    is("EFFECT_TWICE");
  }

  @Test
  void anAtMostOncePartIsNotSentAgainWhereTheRigStoodStill() {
    asked("once", "once", 0);
    part("once", 0, 5);
    runs(5, 600);
    part("once", 0, 906);
    is("EFFECT_TWICE");
  }

  @Test
  void aRefusalSaysThatNothingMayHaveRun() {
    asked("once", "once", 0);
    part("once", 0, 5);
    judge.answered("once", ms(50), true, false, null);
    is("EFFECT_TWICE");
  }

  @Test
  void anAnswerHasWhatABoxGaveAndIsMarkedAsItIs() {
    asked("a", "search", 0);
    part("a", 0, 5);
    done("a", 0, 6);
    judge.answered("a", ms(7), false, true, Map.of(0, "v0"));
    is("HONEST_ANSWER");
    asked("b", "search", 0);
    judge.answered("b", ms(7), false, true, Map.of(0, "v0", 1, "v1"));
    is("HONEST_ANSWER", "HONEST_ANSWER", "HONEST_ANSWER");
  }

  @Test
  void thePartsOfARequestAreThoseThatWereAskedAndNoMoreThanItsTrips() {
    asked("a", "search", 0);
    for (int i = 0; i < 3; i++) {
      part("a", 0, 5 + i);
    }
    is();
    part("a", 0, 9);
    is("TRIPS");
    part("nobody", 0, 9);
    is("TRIPS", "STRANGE_PART");
  }

  @Test
  void aColdBoxThatFellIsBooked() {
    judge.fell(HOLDER, ms(5));
    is("COLD_BOX");
  }
}
