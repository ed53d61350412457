package gingerring.decide;

import static gingerring.decide.FakeHost.memberEntry;
import static gingerring.decide.FakeHost.millis;
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
   * Fills the statistics with fast answers, so that times per answer and the cold-start limit have
   * data.
   */
  private static void warmUp(FakeHost host, int scanCount) {
    warmUp(host, scanCount, 50);
  }

  /** Does the same with the given service time in ms. */
  private static void warmUp(FakeHost host, int scanCount, int serviceTimeMs) {
    for (int i = 0; i < scanCount; i++) {
      int first = host.sentTrips.size();
      host.scan(1000 + i, 0.25, 0.25, 0.25, 0.25);
      host.advance(serviceTimeMs);
      for (int j = first; j < first + 4; j++) {
        host.endTrip(j, Outcome.SUCCEEDED);
      }
    }
  }

  /**
   * Guards against a member list, and with it a cold-start limit, that grows with every searcher
   * that ever existed.
   */
  @Test
  void dropsGoneSearchersUnlessTripsAreOpen() {
    MemberList memberList = new MemberList(4, 2);
    Searcher busy = null;
    for (int i = 0; i < 2000; i++) {
      Duration now = millis(100 * i);
      List<MemberEntry> entries =
          new ArrayList<>(List.of(memberEntry(i, i % 4, MemberEntry.Status.READY, null)));
      if (i >= 4) {
        entries.add(memberEntry(i - 4, i % 4, MemberEntry.Status.GONE, null));
      }
      memberList.update(
          entries,
          false,
          candidate -> candidate.isRemovable(now),
          id -> new Searcher(id, millis(1000), 10, millis(1000), 10));
      if (i == 5) {
        busy = memberList.get(new SearcherId(5));
        Part part = new Part(new PartId(1), 1, 1, 0);
        part.trips.add(busy.recordSend(part, now, 1));
      }
      assertTrue(
          memberList.searchers().size() <= 6, () -> memberList.searchers().size() + " at " + now);
      assertEquals(i >= 5, memberList.searchers().contains(busy), "" + i);
    }
  }

  @Test
  void underPressureSendsTheHeaviestPartsDownToMinCoverageAndRecovers() {
    FakeHost host = new FakeHost(PARTIAL).withFleet(4);
    for (int second = 0; second < 8; second++) {
      int first = host.sentTrips.size();
      host.scan(second, 0.1, 0.2, 0.5, 0.2);
      for (int j = first; j < host.sentTrips.size(); j++) {
        host.endTrip(j, Outcome.FULL);
      }
      host.advance(1000);
    }
    int first = host.sentTrips.size();
    host.scan(50, 0.1, 0.2, 0.5, 0.2);
    assertEquals(
        List.of(new PartId(5002)),
        host.sentTrips.subList(first, host.sentTrips.size()).stream()
            .map(FakeHost.SentTrip::part)
            .toList());
    host.endTrip(first, Outcome.SUCCEEDED);
    assertEquals("partial", host.finalAnswers.get(new ScanId(50)));
    host.advance(13_000);
    int later = host.sentTrips.size();
    host.scan(51, 0.1, 0.2, 0.5, 0.2);
    assertEquals(4, host.sentTrips.size() - later);
    for (int i = later; i < later + 4; i++) {
      host.endTrip(i, Outcome.SUCCEEDED);
    }
    assertEquals("whole", host.finalAnswers.get(new ScanId(51)));
  }

  @Test
  void choosesTheReplicaWithFewestOpenTripsAndTheSameHomeOnTies() {
    FakeHost host = new FakeHost().withFleet(4);
    host.scan(1, 1);
    host.scan(2, 1);
    assertNotEquals(host.sentTrips.get(0).searcher(), host.sentTrips.get(1).searcher());
    host.endTrip(0, Outcome.SUCCEEDED);
    host.endTrip(1, Outcome.SUCCEEDED);
    host.scan(1, 1);
    assertEquals(host.sentTrips.get(0).searcher(), host.sentTrips.get(2).searcher());
  }

  @Test
  void staysAboveMinCoverageUnderPressure() {
    FakeHost host = new FakeHost(PARTIAL).withFleet(4);
    for (int second = 0; second < 12; second++) {
      int first = host.sentTrips.size();
      host.scan(second, 0.1, 0.2, 0.5, 0.2);
      for (int j = first; j < host.sentTrips.size(); j++) {
        host.endTrip(j, Outcome.FULL);
      }
      host.advance(1000);
    }
    int first = host.sentTrips.size();
    host.scan(50, 0.4, 0.3, 0.3);
    assertEquals(2, host.sentTrips.size() - first);
  }

  /**
   * Guards against sending all parts of each scan into an overload that a mixer with few scans
   * detects too late.
   */
  @Test
  void aMixerWithFewScansSkipsLightPartsAfterLongServiceTimes() {
    FakeHost host = new FakeHost(PARTIAL).withFleet(4);
    for (int scan = 0; scan < 5; scan++) {
      int first = host.sentTrips.size();
      host.scan(scan, 0.1, 0.2, 0.5, 0.2);
      host.advance(430);
      for (int j = first; j < host.sentTrips.size(); j++) {
        host.endTrip(j, Outcome.SUCCEEDED);
      }
      host.advance(4000);
    }
    int first = host.sentTrips.size();
    host.scan(50, 0.1, 0.2, 0.5, 0.2);
    assertEquals(
        List.of(new PartId(5002)),
        host.sentTrips.stream().skip(first).map(FakeHost.SentTrip::part).toList());
  }

  @Test
  void amongManyMixersAColdSearcherGetsSinglePartsInTurns() {
    FakeHost host = new FakeHost("FleetSize", "100").withFleet(4);
    for (int i = 0; i < 8; i++) {
      host.scan(100 + i, 0.25, 0.25, 0.25, 0.25);
      for (int j = 4 * i; j < 4 * i + 4; j++) {
        host.endTrip(j, Outcome.SUCCEEDED);
      }
      host.advance(4000);
    }
    host.mixer.memberListUpdated(
        List.of(
            memberEntry(0, 0, MemberEntry.Status.GONE, null),
            memberEntry(1, 1, MemberEntry.Status.GONE, null),
            memberEntry(5, 1, MemberEntry.Status.READY, host.now)),
        false);
    int first = host.sentTrips.size();
    for (int i = 0; i < 36; i++) {
      host.scan(i, 1);
      host.advance(250);
    }
    List<Duration> turns =
        host.sentTrips.stream().skip(first).map(FakeHost.SentTrip::sentAt).toList();
    for (int i = 1; i < turns.size(); i++) {
      assertTrue(turns.get(i).minus(turns.get(i - 1)).compareTo(millis(2000)) > 0, "" + turns);
    }
    assertTrue(turns.size() >= 1 && turns.size() <= 4, "" + turns);
    assertEquals("rejected", host.finalAnswers.get(new ScanId(35)));
  }

  @Test
  void partsWithSeveralHoldersAvoidTheLastHolderOfAShard() {
    FakeHost host = new FakeHost("Domain.Places", "8").withFleet(8);
    host.mixer.memberListUpdated(List.of(memberEntry(1, 1, MemberEntry.Status.GONE, null)), false);
    host.scan(1, 0.25, 0.25, 0.25, 0.25);
    assertEquals(4, host.sentTrips.stream().map(FakeHost.SentTrip::searcher).distinct().count());
  }

  @Test
  void answersPartiallyNearTheLatencyTargetAndNeverBelowMinCoverage() {
    FakeHost host = new FakeHost(PARTIAL).withFleet(4);
    host.scan(1, 0.5, 0.5);
    host.scan(2, 0.3, 0.7);
    host.endTrip(0, Outcome.SUCCEEDED);
    host.endTrip(2, Outcome.SUCCEEDED);
    host.advance(900);
    assertEquals(Map.of(), host.finalAnswers);
    host.advance(100);
    assertEquals(Map.of(new ScanId(1), "partial", new ScanId(2), "rejected"), host.finalAnswers);
  }

  /**
   * Guards against a first step that waits for one silent searcher until no time is left for the
   * second.
   */
  @Test
  void aFirstStepIsAnsweredInTimeForTheSecond() {
    FakeHost host = new FakeHost(TWO_STEPS).withFleet(4);
    host.scan(1, 0.5, 0.5);
    host.endTrip(0, Outcome.SUCCEEDED);
    host.advance(510);
    assertEquals("partial", host.finalAnswers.get(new ScanId(1)));
  }

  /**
   * Guards against losing the work of a first step to the searcher that has just failed it, or to
   * the admission check.
   */
  @Test
  void aSecondStepAvoidsSearchersThatFailedTheFirstAndIsAlwaysSent() {
    FakeHost host = new FakeHost(TWO_STEPS).withFleet(4);
    warmUp(host, 10);
    int first = host.sentTrips.size();
    host.scan(1, 0.5, 0.5);
    host.endTrip(first, Outcome.SUCCEEDED);
    host.advance(950);
    host.scan(2, 1);
    host.scan(3, 1);
    host.scan(4, 1);
    int second = host.sentTrips.size();
    host.secondStep(1, 1);
    assertEquals(second + 1, host.sentTrips.size());
    assertNotEquals(
        host.sentTrips.get(first + 1).searcher(), host.sentTrips.get(second).searcher());
  }

  @Test
  void aLatePartOfASecondStepIsRetriedAfterHalfOfItsTime() {
    FakeHost host = new FakeHost(TWO_STEPS).withFleet(4);
    host.scan(1, 0.5, 0.5);
    host.advance(50);
    host.endTrip(0, Outcome.SUCCEEDED);
    host.endTrip(1, Outcome.SUCCEEDED);
    host.secondStep(1, 1);
    host.advance(650);
    assertEquals(4, host.sentTrips.size());
    assertEquals(new PartId(150), host.sentTrips.get(3).part());
  }

  /** Guards against retrying every part while too few answers show what is late. */
  @Test
  void retriesNothingEarlyWhenTheServiceTimeIsUnknown() {
    FakeHost host = new FakeHost().withFleet(4);
    host.scan(1, 0.5, 0.5);
    host.advance(400);
    assertEquals(2, host.sentTrips.size());
  }

  @Test
  void aRetryBudgetInTheSettingsReplacesTheMixersOwn() {
    FakeHost host =
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
            .withFleet(4);
    host.scan(1, 0.25, 0.25, 0.25, 0.25);
    for (int i = 0; i < 4; i++) {
      host.endTrip(i, Outcome.ERROR);
    }
    assertEquals(7, host.sentTrips.size());
  }

  @Test
  void closesAScanImmediatelyWhenItCanNoLongerBeAnswered() {
    FakeHost host = new FakeHost("PolicyLimits.MaxAttempts", "1").withFleet(4);
    host.scan(1, 0.5, 0.5);
    host.endTrip(0, Outcome.ERROR);
    assertEquals("rejected", host.finalAnswers.get(new ScanId(1)));
    assertEquals(List.of(host.sentTrips.get(1).part()), host.canceled);
  }

  @Test
  void failsAScanThatMayHaveRunAndMayNotRunAgain() {
    FakeHost host = new FakeHost("Classes.0.Idempotency", "at_most_once").withFleet(4);
    host.scan(1, 1);
    host.endTrip(0, Outcome.UNREACHABLE);
    assertEquals(2, host.sentTrips.size());
    host.endTrip(1, Outcome.BROKEN);
    assertEquals(2, host.sentTrips.size());
    assertEquals("failed", host.finalAnswers.get(new ScanId(1)));
  }

  /**
   * Guards against a retry that is decided within the window of the idempotency key but started
   * after it, because of a slow connection or a full ring. If no trip has run, the retry repeats
   * nothing and needs no limit.
   */
  @Test
  void aRetryOfAKeyedPartLimitsWhenItMayStart() {
    for (String repeats : List.of("deduplicated", "idempotent")) {
      for (Outcome first : List.of(Outcome.ERROR, Outcome.UNREACHABLE)) {
        FakeHost host =
            new FakeHost("Classes.0.Idempotency", repeats, "Classes.0.WindowMs", "500")
                .withFleet(4);
        host.scan(1, 1);
        host.advance(200);
        host.endTrip(0, first);
        assertEquals(2, host.sentTrips.size(), repeats + ' ' + first);
        List<Duration> bounds =
            Arrays.asList(
                null,
                repeats.equals("idempotent") || first == Outcome.UNREACHABLE ? null : millis(300));
        assertEquals(
            bounds,
            host.sentTrips.stream().map(FakeHost.SentTrip::startWithin).toList(),
            repeats + first);
      }
    }
  }

  @Test
  void silenceCountsOnlyTimeWithOpenTripsSinceTheLastAnswer() {
    FakeHost host = new FakeHost().withFleet(4);
    warmUp(host, 10);
    host.advance(5000);
    host.scan(1, 1);
    host.advance(100);
    host.endTrip(host.sentTrips.size() - 1, Outcome.SUCCEEDED);
    assertEquals(List.of(), host.logLines);
    host.scan(2, 1);
    host.advance(850);
    assertTrue(
        host.logLines.size() == 1 && host.logLines.get(0).endsWith("benched: silent"),
        "" + host.logLines);
  }

  /**
   * Guards against ejecting half the fleet in a burst after a quiet period in which no gaps between
   * answers were measured.
   */
  @Test
  void aWaitWithinUsualServiceTimesIsNoSilence() {
    FakeHost host = new FakeHost().withFleet(4);
    warmUp(host, 4, 400);
    host.advance(5000);
    host.scan(50, 1);
    host.advance(900);
    assertEquals(List.of(), host.ejected);
    host.advance(500);
    assertEquals(1, host.ejected.size());
  }

  @Test
  void timeInWhichTheMixerWasStalledIsNoSilence() {
    FakeHost host = new FakeHost().withFleet(4);
    warmUp(host, 10);
    host.scan(1, 1);
    host.now = host.now.plus(millis(900));
    host.advance(0);
    assertEquals(List.of(), host.logLines);
  }

  @Test
  void aPartAtASilentSearcherIsRetriedElsewhere() {
    FakeHost host = new FakeHost().withFleet(4);
    warmUp(host, 10);
    int first = host.sentTrips.size();
    host.scan(1, 1);
    host.advance(850);
    assertEquals(2, host.sentTrips.size() - first);
    assertNotEquals(host.sentTrips.get(first).searcher(), host.sentTrips.get(first + 1).searcher());
    host.endTrip(first + 1, Outcome.SUCCEEDED);
    assertEquals("whole", host.finalAnswers.get(new ScanId(1)));
  }

  @Test
  void aLatePartIsRetriedJustInTimeAlsoAfterALongIdlePeriod() {
    FakeHost host = new FakeHost().withFleet(4);
    warmUp(host, 10);
    host.advance(3600);
    int first = host.sentTrips.size();
    host.scan(1, 1);
    host.advance(600);
    assertEquals(1, host.sentTrips.size() - first);
    host.advance(350);
    assertEquals(2, host.sentTrips.size() - first);
  }

  /**
   * Searchers that would admit a client with the usual deadline are not overloaded for one with a
   * short deadline.
   */
  @Test
  void aShortDeadlineDoesNotExcludeSearchersThatAreNotOverloaded() {
    FakeHost host = new FakeHost().withFleet(4);
    warmUp(host, 4, 190);
    host.scanWithDeadline(1, 330, 1);
    assertEquals(17, host.sentTrips.size());
    host.scanWithDeadline(2, 100, 1);
    assertEquals(17, host.sentTrips.size());
    assertEquals("rejected", host.finalAnswers.get(new ScanId(2)));
  }

  @Test
  void aPartWhoseTripFailedGoesWhereTheServiceTimeJustFits() {
    FakeHost host = new FakeHost().withFleet(4);
    warmUp(host, 4, 400);
    host.scan(1, 1);
    host.advance(300);
    host.endTrip(16, Outcome.FULL);
    assertEquals(18, host.sentTrips.size());
  }

  @Test
  void aLatePartIsMovedWhereSimultaneousTripsAreNotAllowed() {
    FakeHost host = new FakeHost("PolicyLimits.SecondCopies", "false").withFleet(4);
    warmUp(host, 10);
    int first = host.sentTrips.size();
    host.scan(1, 1);
    host.advance(700);
    assertEquals(List.of(), host.canceled);
    host.advance(150);
    assertEquals(List.of(host.sentTrips.get(first).part()), host.canceled);
    assertEquals(1, host.sentTrips.size() - first);
    host.endTrip(first, Outcome.CALLED_OFF);
    assertEquals(2, host.sentTrips.size() - first);
    assertNotEquals(host.sentTrips.get(first).searcher(), host.sentTrips.get(first + 1).searcher());
    host.endTrip(first + 1, Outcome.SUCCEEDED);
    assertEquals("whole", host.finalAnswers.get(new ScanId(1)));
  }

  /** Canceling a trip that none may follow would only lose the answer. */
  @Test
  void movesNoMorePartsThanTheRetryBudgetAllows() {
    FakeHost host =
        new FakeHost(
                "PolicyLimits.SecondCopies",
                "false",
                "Safety.ExtraFree",
                "1",
                "Safety.ResendRatio",
                "0",
                "Safety.ResendSpanMs",
                "2000")
            .withFleet(4);
    warmUp(host, 10);
    host.scan(1, 0.25, 0.25, 0.25, 0.25);
    host.advance(900);
    assertEquals(1, host.canceled.size());
  }

  /**
   * The zone or the way to it is slow, so a searcher in it that has never been used is avoided too.
   */
  @Test
  void aSlowZoneIsAvoidedIncludingItsUnmeasuredSearchers() {
    FakeHost host =
        new FakeHost(
            "Domain.Places",
            "8",
            "PolicyLimits.SecondCopies",
            "false",
            "PolicyLimits.Cancel",
            "false");
    List<MemberEntry> entries = new ArrayList<>();
    Map<SearcherId, Integer> zones = new HashMap<>();
    for (int i = 0; i < 8; i++) {
      zones.put(new SearcherId(i), i % 2);
      entries.add(
          new MemberEntry(new SearcherId(i), i % 2, 0, i, MemberEntry.Status.READY, 1, null));
    }
    host.mixer.memberListUpdated(entries, true);
    for (int i = 0; i < 4; i++) {
      int first = host.sentTrips.size();
      host.scan(100 + i, 0.2, 0.2, 0.2, 0.2, 0.2);
      for (int zone = 0; zone < 2; zone++) {
        host.advance(zone == 0 ? 20 : 680);
        for (int j = first; j < host.sentTrips.size(); j++) {
          SearcherId searcher = host.sentTrips.get(j).searcher();
          if (zones.get(searcher) == zone) {
            host.endTrip(j, Outcome.SUCCEEDED);
          }
        }
      }
    }
    int first = host.sentTrips.size();
    for (int i = 0; i < 8; i++) {
      Part part = new Part(new PartId(i), 6, 1, 0);
      host.mixer.scanArrived(
          new ScanId(i), i, 0, 0, false, Duration.ZERO, host.now.plus(millis(4000)), List.of(part));
      host.endTrip(first + i, Outcome.SUCCEEDED);
    }
    assertEquals(
        List.of(new SearcherId(6)),
        host.sentTrips.stream().skip(first).map(FakeHost.SentTrip::searcher).distinct().toList());
  }

  @Test
  void fastErrorsDoNotAttractParts() {
    FakeHost host = new FakeHost("PolicyLimits.MaxAttempts", "1").withFleet(4);
    int partsToFailing = 0;
    for (int i = 0; i < 20; i++) {
      host.scan(i, 1);
      boolean toFailing = host.sentTrips.get(i).searcher().equals(new SearcherId(1));
      partsToFailing += toFailing ? 1 : 0;
      host.endTrip(i, toFailing ? Outcome.ERROR : Outcome.SUCCEEDED);
      host.advance(40);
    }
    assertEquals(2, partsToFailing);
  }

  @Test
  void sendsToAnEjectedHolderWhereThereIsNoOther() {
    FakeHost host = new FakeHost("Domain.Reach", "1", "PolicyLimits.MaxAttempts", "1").withFleet(4);
    for (int i = 0; i < 4; i++) {
      host.scan(i, 1);
      host.endTrip(i, Outcome.ERROR);
    }
    assertTrue(
        host.sentTrips.size() == 4 && host.logLines.size() == 1,
        host.sentTrips + " " + host.logLines);
  }

  @Test
  void aReinstatedSearcherIsJudgedByNewMeasurements() {
    FakeHost host = new FakeHost("PolicyLimits.MaxAttempts", "1").withFleet(2);
    for (int i = 0; host.logLines.isEmpty(); i++) {
      host.scan(i, 1);
      host.endTrip(i, Outcome.ERROR);
    }
    host.advance(2100);
    assertEquals(1, host.probes.size());
    host.mixer.probeEnded(host.probes.get(0), Outcome.SUCCEEDED, millis(1), new float[0]);
    host.advance(200);
    assertEquals(1, host.logLines.size());
  }

  @Test
  void leavesProbesToPeersUntilItsTurnOrTheirReport() {
    FakeHost host = new FakeHost("PolicyLimits.MaxAttempts", "1").withFleet(2);
    host.probingLeftToPeers = true;
    for (int i = 0; host.ejected.isEmpty(); i++) {
      host.scan(i, 1);
      host.endTrip(i, Outcome.ERROR);
    }
    host.advance(9000);
    assertEquals(List.of(), host.probes);
    host.probingLeftToPeers = false;
    host.advance(150);
    assertEquals(host.ejected, host.probes);
    host.mixer.probeEnded(host.probes.get(0), Outcome.UNREACHABLE, millis(1), new float[0]);
    host.advance(500);
    assertEquals(1, host.probes.size()); // ejected for longer
    host.mixer.peerReceivedAnswer(host.ejected.get(0));
    host.advance(150);
    assertEquals(2, host.probes.size());
    host.mixer.probeEnded(host.probes.get(0), Outcome.SUCCEEDED, millis(1), new float[0]);
    host.mixer.peerReceivedAnswer(new SearcherId(99)); // an unknown searcher
  }

  @Test
  void peerReportsShortenTheSilenceButOwnAnswersStillCount() {
    for (double failureShare : new double[] {0, 0.7, 1}) {
      FakeHost host = new FakeHost().withFleet(4);
      warmUp(host, 10);
      host.failureShare = failureShare;
      host.scan(1, 1);
      host.advance(550);
      assertEquals(
          failureShare == 1 ? 1 : 0, host.ejected.size(), "at a failure share of " + failureShare);
      FakeHost answered = new FakeHost().withFleet(4);
      answered.failureShare = 1; // all other mixers report wrongly
      warmUp(answered, 50);
      assertEquals(List.of(), answered.ejected);
    }
  }

  @Test
  void usesPreferredSearchersAndOthersOnlyWhenTheyFail() {
    FakeHost host = new FakeHost("PolicyLimits.MaxAttempts", "1").withFleet(2);
    host.notPreferred = new SearcherId(1);
    int toNotPreferred = 0;
    for (int i = 0; i < 10; i++) {
      host.scan(i, 1);
      toNotPreferred += host.sentTrips.get(i).searcher().equals(host.notPreferred) ? 1 : 0;
      host.endTrip(i, Outcome.SUCCEEDED);
    }
    assertEquals(0, toNotPreferred);
    for (int i = 10; host.ejected.isEmpty(); i++) {
      host.scan(i, 1);
      host.endTrip(i, Outcome.ERROR);
    }
    host.scan(90, 1);
    assertEquals(host.notPreferred, host.sentTrips.get(host.sentTrips.size() - 1).searcher());
  }

  @Test
  void sendsAllPartsDuringTheFirstFewAnswers() {
    FakeHost host = new FakeHost().withFleet(4);
    host.scan(1, 0.5, 0.5);
    host.advance(400);
    host.endTrip(0, Outcome.SUCCEEDED);
    host.scan(2, 0.25, 0.25, 0.25, 0.25);
    assertEquals(6, host.sentTrips.size());
  }

  @Test
  void rejectsAScanWhoseSearchersAreTooBusyToAnswerInTime() {
    FakeHost host = new FakeHost().withFleet(4);
    warmUp(host, 10);
    int scans = 0;
    while (host.finalAnswers.values().stream().noneMatch("rejected"::equals) && scans < 200) {
      host.scan(scans++, 1);
    }
    assertTrue(scans > 4 && scans < 200, "after " + scans);
  }

  @Test
  void aRejectedPartGoesToTheOtherHolderRegardlessOfTheRetryBudget() {
    FakeHost host = new FakeHost().withFleet(4);
    for (int i = 0; i < 20; i++) {
      host.scan(i, 1);
      host.endTrip(2 * i, Outcome.FULL);
      assertEquals(2 * i + 2, host.sentTrips.size());
      host.endTrip(2 * i + 1, Outcome.SUCCEEDED);
    }
  }

  @Test
  void theColdLimitFollowsTheLoadOfOneSearcherWhileOthersComeAndGo() {
    FakeHost host = new FakeHost("Domain.Reach", "1").withFleet(4);
    for (int i = 0; i < 120; i++) {
      host.scan(1000 + i, 0.25, 0.25, 0.25, 0.25);
      for (MemberEntry.Status status :
          List.of(MemberEntry.Status.DRAINING, MemberEntry.Status.READY)) {
        for (int j = 1; j < 4; j++) {
          host.mixer.memberListUpdated(List.of(memberEntry(j, j, status, null)), false);
        }
        host.advance(status == MemberEntry.Status.DRAINING ? 250 : 0);
        for (int j = host.sentTrips.size() - 4; j < host.sentTrips.size(); j++) {
          host.endTrip(j, Outcome.SUCCEEDED);
        }
      }
    }
    host.mixer.memberListUpdated(
        List.of(
            memberEntry(0, 0, MemberEntry.Status.GONE, null),
            memberEntry(5, 0, MemberEntry.Status.READY, host.now)),
        false);
    int first = host.sentTrips.size();
    for (int i = 0; i < 30; i++) {
      host.scan(i, 1);
      host.endTrip(host.sentTrips.size() - 1, Outcome.SUCCEEDED);
    }
    assertEquals(4, host.sentTrips.size() - first);
  }

  @Test
  void aFleetThatStartsColdGetsLoadByWhatItAnsweredBefore() {
    FakeHost host = new FakeHost().withFleet(4);
    warmUp(host, 200);
    host.advance(4000);
    for (int i = 0; i < 4; i++) {
      host.mixer.memberListUpdated(
          List.of(memberEntry(i, i, MemberEntry.Status.READY, host.now)), false);
    }
    int first = host.sentTrips.size();
    for (int i = 0; i < 200; i++) {
      host.scan(5000 + i, 1);
    }
    int sentParts = host.sentTrips.size() - first;
    assertTrue(sentParts > 4 && sentParts < 60, "sent " + sentParts);
  }

  @Test
  void requestsTheMemberListAgainAfterAFailure() {
    FakeHost host = new FakeHost("Discovery", "subscribe");
    host.mixer.memberListFailed();
    assertEquals(1, host.memberListRequests);
    host.advance(1001);
    assertEquals(2, host.memberListRequests);
  }

  /** Guards against requests that pile up, each of which fails and starts the next one. */
  @Test
  void memberListFailuresAddNoRequestsWhileOneIsPending() {
    FakeHost host = new FakeHost("Discovery", "subscribe");
    for (int i = 0; i < 20; i++) {
      host.mixer.memberListFailed();
    }
    host.advance(1001);
    assertEquals(2, host.memberListRequests);
    host.mixer.memberListFailed();
    host.advance(1001);
    assertEquals(3, host.memberListRequests);
  }

  /**
   * Settings of other customers that the documentation allows: a searcher that has just started
   * still receives parts.
   */
  @Test
  void servesAScanWithSettingsThatAreZeroOrMissing() {
    for (String[] changes :
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
      FakeHost host = new FakeHost(changes);
      host.mixer.memberListUpdated(
          List.of(
              memberEntry(0, 0, MemberEntry.Status.READY, millis(-1)),
              memberEntry(1, 1, MemberEntry.Status.READY, millis(-1))),
          true);
      host.advance(20_000);
      host.mixer.memberListUpdated(
          List.of(memberEntry(0, 0, MemberEntry.Status.READY, host.now)), false);
      host.scan(1, 1);
      assertEquals(1, host.sentTrips.size(), Arrays.toString(changes));
      host.endTrip(0, Outcome.SUCCEEDED);
      assertEquals("whole", host.finalAnswers.get(new ScanId(1)), Arrays.toString(changes));
      int timerCount = host.timers.size();
      host.advance(1000);
      assertTrue(host.timers.size() <= timerCount, Arrays.toString(changes));
      if (changes.length > 0 && changes[0].equals("Safety.WarmUpMs") && "0".equals(changes[1])) {
        // warm immediately: no turns
        for (int i = 2; i < 6; i++) {
          host.scan(i, 1);
        }
        assertEquals(5, host.sentTrips.size(), Arrays.toString(changes));
      }
    }
  }

  /** A minimum coverage of 0 does not permit an answer without any part. */
  @Test
  void answersFromAtLeastOnePartWhenMinCoverageIsZero() {
    FakeHost host = new FakeHost("Domain.ClassFloor", "0", "Domain.NeedByClass", "1").withFleet(4);
    host.scan(1, 1);
    host.endTrip(0, Outcome.ERROR);
    host.endTrip(1, Outcome.ERROR);
    assertEquals("rejected", host.finalAnswers.get(new ScanId(1)));
  }

  @Test
  void namesASettingThatIsMissingOrMalformed() {
    Map<String, String> settings = new HashMap<>(FakeHost.DEFAULT_SETTINGS);
    for (String value : Arrays.asList(null, "two")) {
      settings.put("Domain.Reach", value);
      Exception e =
          assertThrows(
              IllegalArgumentException.class,
              () ->
                  new Mixer(
                      settings, RandomGeneratorFactory.getDefault().create(1), new FakeHost()));
      assertTrue(e.getMessage().contains("Domain.Reach"), e.getMessage());
    }
  }

  @Test
  void aRollingSumDropsWhatIsOlderThanItsWindow() {
    RollingSum rollingSum = new RollingSum(millis(1000), 10);
    rollingSum.add(millis(50), 1);
    rollingSum.add(millis(950), 2);
    assertEquals(3, rollingSum.sum(millis(1000)));
    assertEquals(2, rollingSum.sumWithin(millis(1000)));
    assertEquals(2, rollingSum.sum(millis(1150)));
    assertEquals(0, rollingSum.sum(millis(9000)));
  }

  /**
   * A retry budget counts the retries spent over at least its window, and the arrivals that it is
   * based on over at most its window.
   */
  @Test
  void theTwoRollingSumsEncloseTheExactSum() {
    SplittableRandom random = new SplittableRandom(5);
    for (int round = 0; round < 300; round++) {
      int windowNanos = random.nextInt(1, 80);
      RollingSum rollingSum = new RollingSum(Duration.ofNanos(windowNanos), 12);
      List<Long> times = new ArrayList<>();
      long now = random.nextInt(99);
      for (int i = 0; i < 60; i++, now += random.nextInt(12)) {
        long time = now;
        rollingSum.add(Duration.ofNanos(time), 1);
        times.add(time);
        double within = rollingSum.sumWithin(Duration.ofNanos(time));
        assertTrue(
            within <= times.stream().filter(addedAt -> addedAt > time - windowNanos).count(),
            windowNanos + " at " + time);
        double sum = rollingSum.sum(Duration.ofNanos(time));
        assertTrue(
            sum >= times.stream().filter(addedAt -> addedAt >= time - windowNanos).count(),
            windowNanos + " at " + time);
      }
    }
  }

  /**
   * Of 38 mixers that learn of a start at the same moment, each with a part to send, only a few
   * send it immediately.
   */
  @Test
  void mixersTakeTheirFirstTurnsAtAColdSearcherAtRandomTimes() {
    int early = 0;
    int total = 0;
    for (int i = 0; i < 38; i++) {
      FakeHost host =
          new FakeHost("FleetSize", "38", "Seed", "" + i, "Domain.Reach", "1").withFleet(4);
      host.mixer.memberListUpdated(
          List.of(memberEntry(0, 0, MemberEntry.Status.READY, millis(0))), false);
      for (int scan = 0; scan < 55; scan++) {
        int sentBefore = host.sentTrips.size();
        host.scan(scan, 1);
        early += scan < 10 ? host.sentTrips.size() - sentBefore : 0;
        total += host.sentTrips.size() - sentBefore;
        if (host.sentTrips.size() > sentBefore) {
          host.endTrip(sentBefore, Outcome.SUCCEEDED);
        }
        host.advance(200);
      }
    }
    assertTrue(early <= 8 && total >= 15, early + " immediately, " + total + " in total");
  }

  @Test
  void afterTheFirstStepOnlySecondStepPartsAreSentAndItIsWholeOnlyIfBothAre() {
    for (int late = 0; late < 2; late++) {
      FakeHost host =
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
              .withFleet(4);
      host.scan(1, 0.7, 0.3);
      host.advance(late == 0 ? 100 : 1100);
      host.endTrip(1, late == 0 ? Outcome.SUCCEEDED : Outcome.BROKEN); // a second trip after BROKEN
      host.endTrip(0, Outcome.SUCCEEDED);
      if (late == 1) {
        host.endTrip(2, Outcome.CALLED_OFF);
      }
      host.mixer.secondStepArrived(1, List.of(new Part(new PartId(150), 0, 1, 0)));
      host.endTrip(host.sentTrips.size() - 1, Outcome.SUCCEEDED);
      assertEquals(
          late == 0 ? "whole+whole" : "partial+partial", host.finalAnswers.get(new ScanId(1)));
      assertEquals(3 + late, host.sentTrips.size());
    }
  }
}
