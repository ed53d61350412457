package gingerring.decide;

import static gingerring.decide.FakeHost.line;
import static gingerring.decide.FakeHost.ms;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.Test;

class MixerTest {
  private static final String[] PARTIAL = {"Domain.ClassFloor", "0.4", "Domain.NeedByClass", "1"};
  private static final String[] TWO_STEPS = {
    "Domain.ClassFloor",
    "0.4",
    "Domain.NeedByClass",
    "1",
    "Domain.ClassFetch",
    "1",
    "Domain.Reach",
    "3"
  };

  /**
   * Fills the windows with quick answers, so that paces and the cold guard have something to go by.
   */
  private static void warm(FakeHost stage, int scans) {
    warm(stage, scans, 50);
  }

  /** The same with answers that stayed so long, in ms. */
  private static void warm(FakeHost stage, int scans, int stay) {
    for (int i = 0; i < scans; i++) {
      int first = stage.sent.size();
      stage.scan(1000 + i, 0.25, 0.25, 0.25, 0.25);
      stage.pass(stay);
      for (int j = first; j < first + 4; j++) {
        stage.end(j, Outcome.SUCCEEDED);
      }
    }
  }

  /**
   * Guards against a roster that grows with every searcher there ever was, and a cold guard with
   * it.
   */
  @Test
  void forgetsSearchersThatHaveGoneUnlessSomethingIsOutThere() {
    MemberList roster = new MemberList(4, 2);
    Searcher busy = null;
    for (int i = 0; i < 2000; i++) {
      Duration now = ms(100 * i);
      List<MemberEntry> lines =
          new ArrayList<>(List.of(line(i, i % 4, MemberEntry.Status.READY, null)));
      if (i >= 4) {
        lines.add(line(i - 4, i % 4, MemberEntry.Status.GONE, null));
      }
      roster.update(
          lines,
          false,
          each -> each.isRemovable(now),
          id -> new Searcher(id, ms(1000), 10, ms(1000), 10));
      if (i == 5) {
        busy = roster.get(new SearcherId(5));
        Part part = new Part(new PartId(1), 1, 1, 0);
        part.trips.add(busy.recordSend(part, now, 1));
      }
      assertTrue(roster.searchers().size() <= 6, () -> roster.searchers().size() + " at " + now);
      assertEquals(i >= 5, roster.searchers().contains(busy), "" + i);
    }
  }

  @Test
  void underPressureSendsTheHeaviestPartsDownToTheFloorAndClimbsBack() {
    FakeHost stage = new FakeHost(PARTIAL).fleet(4);
    for (int second = 0; second < 8; second++) {
      int first = stage.sent.size();
      stage.scan(second, 0.1, 0.2, 0.5, 0.2);
      for (int j = first; j < stage.sent.size(); j++) {
        stage.end(j, Outcome.FULL);
      }
      stage.pass(1000);
    }
    int first = stage.sent.size();
    stage.scan(50, 0.1, 0.2, 0.5, 0.2);
    assertEquals(
        List.of(new PartId(5002)),
        stage.sent.subList(first, stage.sent.size()).stream().map(FakeHost.Sent::part).toList());
    stage.end(first, Outcome.SUCCEEDED);
    assertEquals("partial", stage.finals.get(new ScanId(50)));
    stage.pass(13_000);
    int later = stage.sent.size();
    stage.scan(51, 0.1, 0.2, 0.5, 0.2);
    assertEquals(4, stage.sent.size() - later);
    for (int i = later; i < later + 4; i++) {
      stage.end(i, Outcome.SUCCEEDED);
    }
    assertEquals("whole", stage.finals.get(new ScanId(51)));
  }

  @Test
  void choosesTheReplicaWithFewestOwnPartsOutAndTheSameHomeOnTies() {
    FakeHost stage = new FakeHost().fleet(4);
    stage.scan(1, 1);
    stage.scan(2, 1);
    assertNotEquals(stage.sent.get(0).searcher(), stage.sent.get(1).searcher());
    stage.end(0, Outcome.SUCCEEDED);
    stage.end(1, Outcome.SUCCEEDED);
    stage.scan(1, 1);
    assertEquals(stage.sent.get(0).searcher(), stage.sent.get(2).searcher());
  }

  @Test
  void leavesRoomAboveTheFloorUnderPressure() {
    FakeHost stage = new FakeHost(PARTIAL).fleet(4);
    for (int second = 0; second < 12; second++) {
      int first = stage.sent.size();
      stage.scan(second, 0.1, 0.2, 0.5, 0.2);
      for (int j = first; j < stage.sent.size(); j++) {
        stage.end(j, Outcome.FULL);
      }
      stage.pass(1000);
    }
    int first = stage.sent.size();
    stage.scan(50, 0.4, 0.3, 0.3);
    assertEquals(2, stage.sent.size() - first);
  }

  /**
   * Guards against sending all parts of each scan into a jam that a mixer of few scans sees too
   * late.
   */
  @Test
  void aQuietMixerLeavesLightPartsBehindWhereStaysWereLong() {
    FakeHost stage = new FakeHost(PARTIAL).fleet(4);
    for (int scan = 0; scan < 5; scan++) {
      int first = stage.sent.size();
      stage.scan(scan, 0.1, 0.2, 0.5, 0.2);
      stage.pass(430);
      for (int j = first; j < stage.sent.size(); j++) {
        stage.end(j, Outcome.SUCCEEDED);
      }
      stage.pass(4000);
    }
    int first = stage.sent.size();
    stage.scan(50, 0.1, 0.2, 0.5, 0.2);
    assertEquals(
        List.of(new PartId(5002)),
        stage.sent.stream().skip(first).map(FakeHost.Sent::part).toList());
  }

  @Test
  void amongManyMixersAColdSearcherGetsPartsInTurnsOfTheMixersOwnRate() {
    FakeHost stage = new FakeHost("FleetSize", "100").fleet(4);
    for (int i = 0; i < 8; i++) {
      stage.scan(100 + i, 0.25, 0.25, 0.25, 0.25);
      for (int j = 4 * i; j < 4 * i + 4; j++) {
        stage.end(j, Outcome.SUCCEEDED);
      }
      stage.pass(4000);
    }
    stage.mixer.memberListUpdated(
        List.of(
            line(0, 0, MemberEntry.Status.GONE, null),
            line(1, 1, MemberEntry.Status.GONE, null),
            line(5, 1, MemberEntry.Status.READY, stage.now)),
        false);
    int first = stage.sent.size();
    for (int i = 0; i < 36; i++) {
      stage.scan(i, 1);
      stage.pass(250);
    }
    List<Duration> turns = stage.sent.stream().skip(first).map(FakeHost.Sent::at).toList();
    for (int i = 1; i < turns.size(); i++) {
      assertTrue(turns.get(i).minus(turns.get(i - 1)).compareTo(ms(2000)) > 0, "" + turns);
    }
    assertTrue(turns.size() >= 1 && turns.size() <= 4, "" + turns);
    assertEquals("nack", stage.finals.get(new ScanId(35)));
  }

  @Test
  void partsWithAChoiceGoAroundTheLastHolderOfAShard() {
    FakeHost stage = new FakeHost("Domain.Places", "8").fleet(8);
    stage.mixer.memberListUpdated(List.of(line(1, 1, MemberEntry.Status.GONE, null)), false);
    stage.scan(1, 0.25, 0.25, 0.25, 0.25);
    assertEquals(4, stage.sent.stream().map(FakeHost.Sent::searcher).distinct().count());
  }

  @Test
  void answersPartiallyNearTheQuotedTimeAndNeverUnderTheFloor() {
    FakeHost stage = new FakeHost(PARTIAL).fleet(4);
    stage.scan(1, 0.5, 0.5);
    stage.scan(2, 0.3, 0.7);
    stage.end(0, Outcome.SUCCEEDED);
    stage.end(2, Outcome.SUCCEEDED);
    stage.pass(900);
    assertEquals(Map.of(), stage.finals);
    stage.pass(100);
    assertEquals(Map.of(new ScanId(1), "partial", new ScanId(2), "nack"), stage.finals);
  }

  /**
   * Guards against a first step that waits for one silent searcher until the second has no time
   * left.
   */
  @Test
  void aFirstStepIsAnsweredInTimeForTheSecond() {
    FakeHost stage = new FakeHost(TWO_STEPS).fleet(4);
    stage.scan(1, 0.5, 0.5);
    stage.end(0, Outcome.SUCCEEDED);
    stage.pass(510);
    assertEquals("partial", stage.finals.get(new ScanId(1)));
  }

  /**
   * Guards against losing the work of a first step to the searcher that has just failed it, or to a
   * gate.
   */
  @Test
  void aSecondStepGoesAroundThoseThatFailedTheFirstAndIsAlwaysSent() {
    FakeHost stage = new FakeHost(TWO_STEPS).fleet(4);
    warm(stage, 10);
    int first = stage.sent.size();
    stage.scan(1, 0.5, 0.5);
    stage.end(first, Outcome.SUCCEEDED);
    stage.pass(950);
    stage.scan(2, 1);
    stage.scan(3, 1);
    stage.scan(4, 1);
    int second = stage.sent.size();
    stage.secondStep(1, 1);
    assertEquals(second + 1, stage.sent.size());
    assertNotEquals(stage.sent.get(first + 1).searcher(), stage.sent.get(second).searcher());
  }

  @Test
  void aLatePartOfASecondStepGetsACopyByHalfOfItsTime() {
    FakeHost stage = new FakeHost(TWO_STEPS).fleet(4);
    stage.scan(1, 0.5, 0.5);
    stage.pass(50);
    stage.end(0, Outcome.SUCCEEDED);
    stage.end(1, Outcome.SUCCEEDED);
    stage.secondStep(1, 1);
    stage.pass(650);
    assertEquals(4, stage.sent.size());
    assertEquals(new PartId(150), stage.sent.get(3).part());
  }

  /** Guards against copies of every part where too few answers tell what is late. */
  @Test
  void copiesNothingAtOnceOnAnUnknownStay() {
    FakeHost stage = new FakeHost().fleet(4);
    stage.scan(1, 0.5, 0.5);
    stage.pass(400);
    assertEquals(2, stage.sent.size());
  }

  @Test
  void aBudgetOfTheRulesStandsInForTheOwnRation() {
    FakeHost stage =
        new FakeHost(
                "Safety.ResendSpanMs",
                "10000",
                "Safety.ExtraFree",
                "3",
                "Safety.ResendRatio",
                "0",
                "PolicyLimits.MaxAttempts",
                "5",
                "Domain.Reach",
                "4")
            .fleet(4);
    stage.scan(1, 0.25, 0.25, 0.25, 0.25);
    for (int i = 0; i < 4; i++) {
      stage.end(i, Outcome.ERROR);
    }
    assertEquals(7, stage.sent.size());
  }

  @Test
  void closesAScanAtOnceWhenItCanNoLongerBeAnswered() {
    FakeHost stage = new FakeHost("PolicyLimits.MaxAttempts", "1").fleet(4);
    stage.scan(1, 0.5, 0.5);
    stage.end(0, Outcome.ERROR);
    assertEquals("nack", stage.finals.get(new ScanId(1)));
    assertEquals(List.of(stage.sent.get(1).part()), stage.recalled);
  }

  @Test
  void scrapsWhatMayHaveRunAndMayNotRunAgain() {
    FakeHost stage = new FakeHost("Classes.0.Idempotency", "at_most_once").fleet(4);
    stage.scan(1, 1);
    stage.end(0, Outcome.UNREACHABLE);
    assertEquals(2, stage.sent.size());
    stage.end(1, Outcome.BROKEN);
    assertEquals(2, stage.sent.size());
    assertEquals("scrap", stage.finals.get(new ScanId(1)));
  }

  /**
   * Guards against a repeat that is decided inside its window and begun outside it, behind a dial
   * or a full ring. Where none has run there is nothing to repeat, and no bound.
   */
  @Test
  void aTripOfANumberedPartTellsHowLongItMayStillBegin() {
    for (String repeats : List.of("deduplicated", "idempotent")) {
      for (Outcome first : List.of(Outcome.ERROR, Outcome.UNREACHABLE)) {
        FakeHost stage =
            new FakeHost("Classes.0.Idempotency", repeats, "Classes.0.WindowMs", "500").fleet(4);
        stage.scan(1, 1);
        stage.pass(200);
        stage.end(0, first);
        assertEquals(2, stage.sent.size(), repeats + ' ' + first);
        List<Duration> bounds =
            Arrays.asList(
                null,
                repeats.equals("idempotent") || first == Outcome.UNREACHABLE ? null : ms(300));
        assertEquals(
            bounds, stage.sent.stream().map(FakeHost.Sent::startWithin).toList(), repeats + first);
      }
    }
  }

  @Test
  void silenceCountsOnlyTimeWithOwnPartsOutSinceTheLastWord() {
    FakeHost stage = new FakeHost().fleet(4);
    warm(stage, 10);
    stage.pass(5000);
    stage.scan(1, 1);
    stage.pass(100);
    stage.end(stage.sent.size() - 1, Outcome.SUCCEEDED);
    assertEquals(List.of(), stage.logs);
    stage.scan(2, 1);
    stage.pass(850);
    assertTrue(
        stage.logs.size() == 1 && stage.logs.get(0).endsWith("benched: silent"), "" + stage.logs);
  }

  /**
   * Guards against benching half the fleet in a burst, after a quiet spell that left no gaps to go
   * by.
   */
  @Test
  void whatIsLateByTheUsualStaysIsNoSilence() {
    FakeHost stage = new FakeHost().fleet(4);
    warm(stage, 4, 400);
    stage.pass(5000);
    stage.scan(50, 1);
    stage.pass(900);
    assertEquals(List.of(), stage.benched);
    stage.pass(500);
    assertEquals(1, stage.benched.size());
  }

  @Test
  void timeInWhichTheMixerStoodStillIsNoSilence() {
    FakeHost stage = new FakeHost().fleet(4);
    warm(stage, 10);
    stage.scan(1, 1);
    stage.now = stage.now.plus(ms(900));
    stage.pass(0);
    assertEquals(List.of(), stage.logs);
  }

  @Test
  void aPartOutAtASilentSearcherGetsACopyElsewhere() {
    FakeHost stage = new FakeHost().fleet(4);
    warm(stage, 10);
    int first = stage.sent.size();
    stage.scan(1, 1);
    stage.pass(850);
    assertEquals(2, stage.sent.size() - first);
    assertNotEquals(stage.sent.get(first).searcher(), stage.sent.get(first + 1).searcher());
    stage.end(first + 1, Outcome.SUCCEEDED);
    assertEquals("whole", stage.finals.get(new ScanId(1)));
  }

  @Test
  void aLatePartGetsACopyJustInTimeAlsoFromASearcherLongUnused() {
    FakeHost stage = new FakeHost().fleet(4);
    warm(stage, 10);
    stage.pass(3600);
    int first = stage.sent.size();
    stage.scan(1, 1);
    stage.pass(600);
    assertEquals(1, stage.sent.size() - first);
    stage.pass(350);
    assertEquals(2, stage.sent.size() - first);
  }

  /**
   * Searchers that a client of usual patience would be let to are no jam for one that soon leaves.
   */
  @Test
  void aClientOfLittlePatienceIsNotKeptFromSearchersThatAreNoJam() {
    FakeHost stage = new FakeHost().fleet(4);
    warm(stage, 4, 190);
    stage.scanFor(1, 330, 1);
    assertEquals(17, stage.sent.size());
    stage.scanFor(2, 100, 1);
    assertEquals(17, stage.sent.size());
    assertEquals("nack", stage.finals.get(new ScanId(2)));
  }

  @Test
  void aPartWhoseTripHasFailedGoesWhereItsStayFitsAtAll() {
    FakeHost stage = new FakeHost().fleet(4);
    warm(stage, 4, 400);
    stage.scan(1, 1);
    stage.pass(300);
    stage.end(16, Outcome.FULL);
    assertEquals(18, stage.sent.size());
  }

  @Test
  void aLatePartIsMovedWhereNoSecondTripMayFlyBesideTheFirst() {
    FakeHost stage = new FakeHost("PolicyLimits.SecondCopies", "false").fleet(4);
    warm(stage, 10);
    int first = stage.sent.size();
    stage.scan(1, 1);
    stage.pass(700);
    assertEquals(List.of(), stage.recalled);
    stage.pass(150);
    assertEquals(List.of(stage.sent.get(first).part()), stage.recalled);
    assertEquals(1, stage.sent.size() - first);
    stage.end(first, Outcome.CALLED_OFF);
    assertEquals(2, stage.sent.size() - first);
    assertNotEquals(stage.sent.get(first).searcher(), stage.sent.get(first + 1).searcher());
    stage.end(first + 1, Outcome.SUCCEEDED);
    assertEquals("whole", stage.finals.get(new ScanId(1)));
  }

  /** A recall that no trip may follow would only lose the answer. */
  @Test
  void movesNoMorePartsThanTheBudgetLetsFollow() {
    FakeHost stage =
        new FakeHost(
                "PolicyLimits.SecondCopies",
                "false",
                "Safety.ExtraFree",
                "1",
                "Safety.ResendRatio",
                "0",
                "Safety.ResendSpanMs",
                "2000")
            .fleet(4);
    warm(stage, 10);
    stage.scan(1, 0.25, 0.25, 0.25, 0.25);
    stage.pass(900);
    assertEquals(1, stage.recalled.size());
  }

  /**
   * What is slow is the zone or the way to it, so a searcher there that was never asked is not
   * asked.
   */
  @Test
  void aZoneWhosePartsComeLateIsPassedOverAlsoAtItsSearchersUnknown() {
    FakeHost stage =
        new FakeHost(
            "Domain.Places",
            "8",
            "PolicyLimits.SecondCopies",
            "false",
            "PolicyLimits.Cancel",
            "false");
    List<MemberEntry> lines = new ArrayList<>();
    Map<SearcherId, Integer> zones = new HashMap<>();
    for (int i = 0; i < 8; i++) {
      zones.put(new SearcherId(i), i % 2);
      lines.add(new MemberEntry(new SearcherId(i), i % 2, 0, i, MemberEntry.Status.READY, 1, null));
    }
    stage.mixer.memberListUpdated(lines, true);
    for (int i = 0; i < 4; i++) {
      int first = stage.sent.size();
      stage.scan(100 + i, 0.2, 0.2, 0.2, 0.2, 0.2);
      for (int zone = 0; zone < 2; zone++) {
        stage.pass(zone == 0 ? 20 : 680);
        for (int j = first; j < stage.sent.size(); j++) {
          SearcherId asked = stage.sent.get(j).searcher();
          if (zones.get(asked) == zone) {
            stage.end(j, Outcome.SUCCEEDED);
          }
        }
      }
    }
    int first = stage.sent.size();
    for (int i = 0; i < 8; i++) {
      Part part = new Part(new PartId(i), 6, 1, 0);
      stage.mixer.scanArrived(
          new ScanId(i), i, 0, 0, false, Duration.ZERO, stage.now.plus(ms(4000)), List.of(part));
      stage.end(first + i, Outcome.SUCCEEDED);
    }
    assertEquals(
        List.of(new SearcherId(6)),
        stage.sent.stream().skip(first).map(FakeHost.Sent::searcher).distinct().toList());
  }

  @Test
  void fastErrorsDoNotAttractParts() {
    FakeHost stage = new FakeHost("PolicyLimits.MaxAttempts", "1").fleet(4);
    int toBad = 0;
    for (int i = 0; i < 20; i++) {
      stage.scan(i, 1);
      boolean hit = stage.sent.get(i).searcher().equals(new SearcherId(1));
      toBad += hit ? 1 : 0;
      stage.end(i, hit ? Outcome.ERROR : Outcome.SUCCEEDED);
      stage.pass(40);
    }
    assertEquals(2, toBad);
  }

  @Test
  void asksABenchedHolderWhereThereIsNoOther() {
    FakeHost stage = new FakeHost("Domain.Reach", "1", "PolicyLimits.MaxAttempts", "1").fleet(4);
    for (int i = 0; i < 4; i++) {
      stage.scan(i, 1);
      stage.end(i, Outcome.ERROR);
    }
    assertTrue(stage.sent.size() == 4 && stage.logs.size() == 1, stage.sent + " " + stage.logs);
  }

  @Test
  void aSearcherTriedAgainIsJudgedByNewEvidence() {
    FakeHost stage = new FakeHost("PolicyLimits.MaxAttempts", "1").fleet(2);
    for (int i = 0; stage.logs.isEmpty(); i++) {
      stage.scan(i, 1);
      stage.end(i, Outcome.ERROR);
    }
    stage.pass(2100);
    assertEquals(1, stage.probes.size());
    stage.mixer.probeEnded(stage.probes.get(0), Outcome.SUCCEEDED, ms(1), new float[0]);
    stage.pass(200);
    assertEquals(1, stage.logs.size());
  }

  @Test
  void leavesABenchedSearcherToOthersUntilItsTurnOrTheirWord() {
    FakeHost stage = new FakeHost("PolicyLimits.MaxAttempts", "1").fleet(2);
    stage.leftToOthers = true;
    for (int i = 0; stage.benched.isEmpty(); i++) {
      stage.scan(i, 1);
      stage.end(i, Outcome.ERROR);
    }
    stage.pass(9000);
    assertEquals(List.of(), stage.probes);
    stage.leftToOthers = false;
    stage.pass(150);
    assertEquals(stage.benched, stage.probes);
    stage.mixer.probeEnded(stage.probes.get(0), Outcome.UNREACHABLE, ms(1), new float[0]);
    stage.pass(500);
    assertEquals(1, stage.probes.size()); // benched for longer
    stage.mixer.peerReceivedAnswer(stage.benched.get(0));
    stage.pass(150);
    assertEquals(2, stage.probes.size());
    stage.mixer.probeEnded(stage.probes.get(0), Outcome.SUCCEEDED, ms(1), new float[0]);
    stage.mixer.peerReceivedAnswer(new SearcherId(99)); // of one that it does not know
  }

  @Test
  void whatOthersSeeShortensASilenceAndItsOwnAnswersStillCount() {
    for (double doubt : new double[] {0, 0.7, 1}) {
      FakeHost stage = new FakeHost().fleet(4);
      warm(stage, 10);
      stage.doubt = doubt;
      stage.scan(1, 1);
      stage.pass(550);
      assertEquals(doubt == 1 ? 1 : 0, stage.benched.size(), "at a doubt of " + doubt);
      FakeHost answered = new FakeHost().fleet(4);
      answered.doubt = 1; // all others lie
      warm(answered, 50);
      assertEquals(List.of(), answered.benched);
    }
  }

  @Test
  void prefersThoseItIsToPreferAndWidensWhereTheyFail() {
    FakeHost stage = new FakeHost("PolicyLimits.MaxAttempts", "1").fleet(2);
    stage.shunned = new SearcherId(1);
    int shunned = 0;
    for (int i = 0; i < 10; i++) {
      stage.scan(i, 1);
      shunned += stage.sent.get(i).searcher().equals(stage.shunned) ? 1 : 0;
      stage.end(i, Outcome.SUCCEEDED);
    }
    assertEquals(0, shunned);
    for (int i = 10; stage.benched.isEmpty(); i++) {
      stage.scan(i, 1);
      stage.end(i, Outcome.ERROR);
    }
    stage.scan(90, 1);
    assertEquals(stage.shunned, stage.sent.get(stage.sent.size() - 1).searcher());
  }

  @Test
  void keepsNothingBackOnTheFirstFewAnswers() {
    FakeHost stage = new FakeHost().fleet(4);
    stage.scan(1, 0.5, 0.5);
    stage.pass(400);
    stage.end(0, Outcome.SUCCEEDED);
    stage.scan(2, 0.25, 0.25, 0.25, 0.25);
    assertEquals(6, stage.sent.size());
  }

  @Test
  void nacksAScanWhoseSearchersAreTooBusyToMakeIt() {
    FakeHost stage = new FakeHost().fleet(4);
    warm(stage, 10);
    int scans = 0;
    while (stage.finals.values().stream().noneMatch("nack"::equals) && scans < 200) {
      stage.scan(scans++, 1);
    }
    assertTrue(scans > 4 && scans < 200, "after " + scans);
  }

  @Test
  void aRefusedPartGoesToTheOtherHolderWhateverTheRation() {
    FakeHost stage = new FakeHost().fleet(4);
    for (int i = 0; i < 20; i++) {
      stage.scan(i, 1);
      stage.end(2 * i, Outcome.FULL);
      assertEquals(2 * i + 2, stage.sent.size());
      stage.end(2 * i + 1, Outcome.SUCCEEDED);
    }
  }

  @Test
  void aColdSearcherGetsWorkByWhatOneSearcherBoreThoughOthersComeAndGo() {
    FakeHost stage = new FakeHost("Domain.Reach", "1").fleet(4);
    for (int i = 0; i < 120; i++) {
      stage.scan(1000 + i, 0.25, 0.25, 0.25, 0.25);
      for (MemberEntry.Status now :
          List.of(MemberEntry.Status.DRAINING, MemberEntry.Status.READY)) {
        for (int j = 1; j < 4; j++) {
          stage.mixer.memberListUpdated(List.of(line(j, j, now, null)), false);
        }
        stage.pass(now == MemberEntry.Status.DRAINING ? 250 : 0);
        for (int j = stage.sent.size() - 4; j < stage.sent.size(); j++) {
          stage.end(j, Outcome.SUCCEEDED);
        }
      }
    }
    stage.mixer.memberListUpdated(
        List.of(
            line(0, 0, MemberEntry.Status.GONE, null),
            line(5, 0, MemberEntry.Status.READY, stage.now)),
        false);
    int first = stage.sent.size();
    for (int i = 0; i < 30; i++) {
      stage.scan(i, 1);
      stage.end(stage.sent.size() - 1, Outcome.SUCCEEDED);
    }
    assertEquals(4, stage.sent.size() - first);
  }

  @Test
  void aWholeFleetThatStartsColdGetsWorkByWhatItBoreBefore() {
    FakeHost stage = new FakeHost().fleet(4);
    warm(stage, 200);
    stage.pass(4000);
    for (int i = 0; i < 4; i++) {
      stage.mixer.memberListUpdated(
          List.of(line(i, i, MemberEntry.Status.READY, stage.now)), false);
    }
    int first = stage.sent.size();
    for (int i = 0; i < 200; i++) {
      stage.scan(5000 + i, 1);
    }
    int got = stage.sent.size() - first;
    assertTrue(got > 4 && got < 60, "got " + got);
  }

  @Test
  void asksForTheRosterAgainAfterAFailure() {
    FakeHost stage = new FakeHost("Discovery", "subscribe");
    stage.mixer.memberListFailed();
    assertEquals(1, stage.watches);
    stage.pass(1001);
    assertEquals(2, stage.watches);
  }

  /** Guards against calls that pile up, each failing and asking for the next. */
  @Test
  void failuresOfTheRosterAddNoCallsWhileOneIsPending() {
    FakeHost stage = new FakeHost("Discovery", "subscribe");
    for (int i = 0; i < 20; i++) {
      stage.mixer.memberListFailed();
    }
    stage.pass(1001);
    assertEquals(2, stage.watches);
    stage.mixer.memberListFailed();
    stage.pass(1001);
    assertEquals(3, stage.watches);
  }

  /**
   * Settings of other customers that the pages allow: a searcher just started still gets its parts.
   */
  @Test
  void servesAScanUnderSettingsThatAreNoughtOrLeftOut() {
    for (String[] odd :
        new String[][] {
          {},
          {"Safety.WarmUpMs", "0"},
          {"Safety.TipAfterMs", "0"},
          {"Safety.WarmUpMs", "0", "Safety.TipAfterMs", "0"},
          {"Safety.WarmUpMs", null},
          {"FleetSize", null},
          {"PolicyLimits.MaxAttempts", "1"},
          {"PolicyLimits.Probing", "false", "PolicyLimits.Cancel", "false"},
          {"Domain.Batch", "1"},
          {"Classes.0.Idempotency", "deduplicated", "Classes.0.WindowMs", "1"}
        }) {
      FakeHost stage = new FakeHost(odd);
      stage.mixer.memberListUpdated(
          List.of(
              line(0, 0, MemberEntry.Status.READY, ms(-1)),
              line(1, 1, MemberEntry.Status.READY, ms(-1))),
          true);
      stage.pass(20_000);
      stage.mixer.memberListUpdated(
          List.of(line(0, 0, MemberEntry.Status.READY, stage.now)), false);
      stage.scan(1, 1);
      assertEquals(1, stage.sent.size(), Arrays.toString(odd));
      stage.end(0, Outcome.SUCCEEDED);
      assertEquals("whole", stage.finals.get(new ScanId(1)), Arrays.toString(odd));
      int wakes = stage.wakes.size();
      stage.pass(1000);
      assertTrue(stage.wakes.size() <= wakes, Arrays.toString(odd));
      if (odd.length > 0 && odd[0].equals("Safety.WarmUpMs") && "0".equals(odd[1])) {
        // warm at once: no turns
        for (int i = 2; i < 6; i++) {
          stage.scan(i, 1);
        }
        assertEquals(5, stage.sent.size(), Arrays.toString(odd));
      }
    }
  }

  /** A least share of nothing is no answer of nothing. */
  @Test
  void answersFromOnePartAtLeastWhereTheLeastShareIsNone() {
    FakeHost stage = new FakeHost("Domain.ClassFloor", "0", "Domain.NeedByClass", "1").fleet(4);
    stage.scan(1, 1);
    stage.end(0, Outcome.ERROR);
    stage.end(1, Outcome.ERROR);
    assertEquals("nack", stage.finals.get(new ScanId(1)));
  }

  @Test
  void namesASettingThatIsMissingOrUnreadable() {
    Map<String, String> house = new HashMap<>(FakeHost.HOUSE);
    for (String value : Arrays.asList(null, "two")) {
      house.put("Domain.Reach", value);
      Exception e =
          assertThrows(
              IllegalArgumentException.class,
              () ->
                  new Mixer(house, RandomGeneratorFactory.getDefault().create(1), new FakeHost()));
      assertTrue(e.getMessage().contains("Domain.Reach"), e.getMessage());
    }
  }

  @Test
  void aRingForgetsWhatIsOlderThanItsSpan() {
    RollingSum ring = new RollingSum(ms(1000), 10);
    ring.add(ms(50), 1);
    ring.add(ms(950), 2);
    assertEquals(3, ring.sum(ms(1000)));
    assertEquals(2, ring.sumWithin(ms(1000)));
    assertEquals(2, ring.sum(ms(1150)));
    assertEquals(0, ring.sum(ms(9000)));
  }

  /**
   * A budget counts what it has spent over no less than its span, and what it goes by over no more.
   */
  @Test
  void aRingsTwoSumsHoldTheSumOverItsSpanBetweenThem() {
    SplittableRandom random = new SplittableRandom(5);
    for (int day = 0; day < 300; day++) {
      int span = random.nextInt(1, 80);
      RollingSum ring = new RollingSum(Duration.ofNanos(span), 12);
      List<Long> added = new ArrayList<>();
      long now = random.nextInt(99);
      for (int i = 0; i < 60; i++, now += random.nextInt(12)) {
        long at = now;
        ring.add(Duration.ofNanos(at), 1);
        added.add(at);
        double within = ring.sumWithin(Duration.ofNanos(at));
        assertTrue(
            within <= added.stream().filter(each -> each > at - span).count(), span + " at " + at);
        double sum = ring.sum(Duration.ofNanos(at));
        assertTrue(
            sum >= added.stream().filter(each -> each >= at - span).count(), span + " at " + at);
      }
    }
  }

  /**
   * Of 38 mixers that hear of a start at one moment, each with a part at hand, a few send theirs at
   * once.
   */
  @Test
  void mixersTakeTheirFirstTurnsAtAColdSearcherAtMomentsOfChance() {
    int first = 0;
    int later = 0;
    for (int i = 0; i < 38; i++) {
      FakeHost stage =
          new FakeHost("FleetSize", "38", "Seed", "" + i, "Domain.Reach", "1").fleet(4);
      stage.mixer.memberListUpdated(List.of(line(0, 0, MemberEntry.Status.READY, ms(0))), false);
      for (int scan = 0; scan < 55; scan++) {
        int sent = stage.sent.size();
        stage.scan(scan, 1);
        first += scan < 10 ? stage.sent.size() - sent : 0;
        later += stage.sent.size() - sent;
        if (stage.sent.size() > sent) {
          stage.end(sent, Outcome.SUCCEEDED);
        }
        stage.pass(200);
      }
    }
    assertTrue(first <= 8 && later >= 15, first + " at once, " + later + " in all");
  }

  @Test
  void afterAFirstAnswerOnlyPartsOfTheSecondStepAreSentAndItIsWholeOnlyIfBothAre() {
    for (int late = 0; late < 2; late++) {
      FakeHost stage =
          new FakeHost(
                  "Domain.ClassFloor",
                  "0.6",
                  "Domain.NeedByClass",
                  "1",
                  "Domain.ClassFetch",
                  "1",
                  "Classes.0.LateWorth",
                  "0.3",
                  "Domain.Reach",
                  "3",
                  "PolicyLimits.SecondCopies",
                  "false")
              .fleet(4);
      stage.scan(1, 0.7, 0.3);
      stage.pass(late == 0 ? 100 : 1100);
      stage.end(1, late == 0 ? Outcome.SUCCEEDED : Outcome.BROKEN); // a second trip where it broke
      stage.end(0, Outcome.SUCCEEDED);
      if (late == 1) {
        stage.end(2, Outcome.CALLED_OFF);
      }
      stage.mixer.secondStepArrived(1, List.of(new Part(new PartId(150), 0, 1, 0)));
      stage.end(stage.sent.size() - 1, Outcome.SUCCEEDED);
      assertEquals(late == 0 ? "whole+whole" : "partial+partial", stage.finals.get(new ScanId(1)));
      assertEquals(3 + late, stage.sent.size());
    }
  }
}
