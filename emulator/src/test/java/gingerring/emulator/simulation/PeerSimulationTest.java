package gingerring.emulator.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gingerring.emulator.simulation.PeerSimulation.Fault;
import gingerring.emulator.simulation.PeerSimulation.Fault.Kind;
import gingerring.emulator.simulation.PeerSimulation.Result;
import gingerring.emulator.simulation.PeerSimulation.Setup;
import gingerring.peers.Membership;
import gingerring.peers.PeerNode;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Fleets that talk, in simulated time, with the hard cases of many mixers. */
class PeerSimulationTest {
  private static Result play(int mixers, double seconds, long seed, Fault... faults) {
    return PeerSimulation.run(Setup.defaults(mixers, seconds, seed, List.of(faults)));
  }

  private static Fault fault(Kind kind, double atMs, double forMs, Set<Integer> some) {
    return new Fault(kind, atMs, forMs, some, Set.of(), 0);
  }

  private static double most(Result result) {
    return result.bytesBySecond.stream().mapToDouble(each -> each[0]).max().orElse(0);
  }

  @Test
  void aCalmFleetKnowsItselfAndSuspectsNobodyForLong() {
    for (long seed = 1; seed <= 3; seed++) {
      Result result = play(40, 60, seed);
      assertEquals(0, result.falselyGone);
      assertEquals(0, result.unknownPairs);
      assertTrue(most(result) <= 2 * PeerNode.Settings.defaults().maxBytesPerSecond());
      assertEquals(0, result.maxFailureShareOfLiveBox);
    }
  }

  @Test
  void theSameSeedPlaysTheSame() {
    Result one = play(15, 30, 9, fault(Kind.KILL, 10_000, 5000, Set.of(3)));
    Result other = play(15, 30, 9, fault(Kind.KILL, 10_000, 5000, Set.of(3)));
    assertEquals(one.peerCounts, other.peerCounts);
    assertEquals(one.membershipCounts, other.membershipCounts);
    assertEquals(one.detectionTimesMs, other.detectionTimesMs);
  }

  /**
   * Seven in ten at once, back within a second: their new lives take over, and nobody is left out.
   */
  @Test
  void sevenInTenKilledAndBackWithinASecond() {
    for (long seed = 1; seed <= 3; seed++) {
      Result result =
          play(30, 60, seed, fault(Kind.KILL, 20_000, 900, PeerSimulation.range(9, 21)));
      assertEquals(0, result.falselyGone);
      assertEquals(0, result.unknownPairs);
    }
  }

  @Test
  void whoIsKilledForGoodIsKnownToAllInTime() {
    for (long seed = 1; seed <= 3; seed++) {
      Result result = play(30, 60, seed, fault(Kind.KILL, 20_000, 60_000, Set.of(5, 6)));
      assertEquals(0, result.falselyGone);
      result.detectionTimesMs.forEach(
          after -> assertTrue(after < 30_000, "known after " + after + " ms"));
    }
  }

  @Test
  void halvesThatWereCutFindEachOtherAgain() {
    Fault even =
        new Fault(
            Kind.CUT, 20_000, 40_000, PeerSimulation.range(0, 15), PeerSimulation.range(15, 15), 0);
    Fault uneven =
        new Fault(
            Kind.CUT, 20_000, 40_000, PeerSimulation.range(3, 4), PeerSimulation.range(7, 23), 0);
    Fault oneWay =
        new Fault(
            Kind.CUT_ONE_WAY,
            20_000,
            40_000,
            PeerSimulation.range(0, 15),
            PeerSimulation.range(15, 15),
            0);
    for (Fault each : List.of(even, uneven, oneWay)) {
      for (long seed = 3; seed <= 5; seed++) {
        Result result = play(30, 120, seed, each);
        assertEquals(
            0, result.unknownPairs, () -> "after " + each.kind() + " of " + each.targets().size());
        assertEquals(0, result.falselyGone);
      }
    }
  }

  /**
   * It wakes and believes what it did: others took it for gone, and it comes back in the same life.
   */
  @Test
  void whoWasStoppedForTenSecondsComesBack() {
    Result result =
        play(
            20,
            80,
            5,
            fault(Kind.STOP, 20_000, 10_000, Set.of(4, 5)),
            fault(Kind.BOXES_DEAD, 15_000, 25_000, Set.of(2)));
    assertEquals(0, result.unknownPairs);
    assertEquals(0, result.falselyGone);
    assertTrue(
        result.recoveryTimesMs.get(0)[0] < 6000, "found after " + result.recoveryTimesMs.get(0)[0]);
  }

  /**
   * Asks of dead boxes do not grow with the fleet, and the box is found back by all who benched it.
   */
  @Test
  void asksOfDeadBoxesAreTheSameAtAnySize() {
    for (int mixers : new int[] {8, 32, 100}) {
      Result result = play(mixers, 80, 6, fault(Kind.BOXES_DEAD, 15_000, 40_000, Set.of(2, 3, 4)));
      // from when all have benched them: at most two in a round of 2 s, for each of three boxes
      int asks = 0;
      for (int second = 25; second < 55; second++) {
        asks += result.deadBoxProbes.getOrDefault(second, 0);
      }
      assertTrue(asks <= 3 * 2 * 15, asks + " asks in 30 s with " + mixers);
      assertTrue(asks >= 3 * 15 / 2, asks + " asks in 30 s with " + mixers);
      for (double[] found : result.recoveryTimesMs) {
        assertTrue(
            found[0] < 4000 && found[1] < 9000,
            found[0] + " and " + found[1] + " ms with " + mixers);
      }
    }
  }

  @Test
  void aLiarMovesNothing() {
    Set<Integer> one = Set.of(3);
    Result lied = play(16, 60, 7, fault(Kind.LIE, 10_000, 50_000, one));
    assertEquals(0, lied.maxFailureShareOfLiveBox, "one who calls healthy boxes dead");
    Result greedy = play(16, 60, 7, fault(Kind.GREED, 10_000, 50_000, one));
    assertTrue(
        greedy.maxDemandRatio < 2,
        "a demand of " + greedy.maxDemandRatio + " times the true one is believed");
    Result repeated = play(16, 60, 7, fault(Kind.REPEAT, 10_000, 50_000, one));
    assertEquals(0, repeated.unknownPairs);
    assertEquals(0, repeated.falselyGone);
    assertTrue(repeated.peerCounts.get(PeerNode.Count.REPEATED) > 500);
  }

  /**
   * Three of sixteen, that say the same: where more honest ones are heard than them, the median
   * holds.
   */
  @Test
  void threeThatColludeStayBounded() {
    Result result = play(16, 60, 8, fault(Kind.LIE, 10_000, 50_000, PeerSimulation.range(3, 3)));
    assertTrue(
        result.maxFailureShareOfLiveBox <= 0.5,
        "doubt of a box alive: " + result.maxFailureShareOfLiveBox);
  }

  /**
   * False claims of turns, and that a dead box answers, cost asks of those who believe them, and no
   * more.
   */
  @Test
  void falseClaimsHoldUpNobody() {
    Fault dead = fault(Kind.BOXES_DEAD, 15_000, 30_000, Set.of(2));
    Result honest = play(16, 70, 9, dead);
    Result claimed = play(16, 70, 9, dead, fault(Kind.CLAIM, 10_000, 60_000, Set.of(3)));
    assertTrue(
        claimed.recoveryTimesMs.get(0)[0] < 8000,
        "found after "
            + claimed.recoveryTimesMs.get(0)[0]
            + " ms, without claims "
            + honest.recoveryTimesMs.get(0)[0]);
    assertTrue(claimed.peerCounts.get(PeerNode.Count.NOTES_DISBELIEVED) > 1000);
  }

  /** Many that begin at once at three places do not end as islands round each. */
  @Test
  void aLargeFleetThatBeginsAtOnceIsOne() {
    Result result = play(100, 40, 2);
    assertEquals(0, result.unknownPairs);
    assertTrue(
        result.bytesBySecond.stream().skip(15).allMatch(each -> each[0] < 8192),
        "calm, and over 8 KB a second");
  }

  /** A mixer that missed the word of an answer hears from others that they are served. */
  @Test
  void whoMissedTheWordFindsTheBoxBackAllTheSame() {
    // by turns alone the last of a hundred would ask after 25 s
    Setup usual =
        Setup.defaults(100, 70, 3, List.of(fault(Kind.BOXES_DEAD, 15_000, 30_000, Set.of(2))));
    Setup lossy = new Setup(100, 3, 6, 0.35, 0, 20, 50, 8, 70, 3, usual.faults(), usual.rules());
    Result result = PeerSimulation.run(lossy);
    assertTrue(
        result.recoveryTimesMs.get(0)[1] < 15_000,
        "the last one after " + result.recoveryTimesMs.get(0)[1] + " ms");
  }

  /**
   * Who claims that dead boxes answer is believed less each time, so that its claims cost few asks.
   */
  @Test
  void claimsThatProveFalseCostLessAndLess() {
    Fault dead = fault(Kind.BOXES_DEAD, 15_000, 100_000, Set.of(2));
    Result result = play(32, 110, 4, dead, fault(Kind.CLAIM, 10_000, 200_000, Set.of(3)));
    int early = 0;
    int late = 0;
    for (int second = 20; second < 40; second++) {
      early += result.deadBoxProbes.getOrDefault(second, 0);
      late += result.deadBoxProbes.getOrDefault(second + 60, 0);
    }
    assertTrue(result.peerCounts.get(PeerNode.Count.MISLED) > 0);
    assertTrue(late < early / 2, early + " asks in 20 s at first, " + late + " later");
  }

  @Test
  void countsSpeakOfCauses() {
    Result result = play(10, 40, 10, fault(Kind.KILL, 10_000, 30_000, Set.of(2)));
    assertTrue(result.membershipCounts.get(Membership.Count.UNANSWERED) > 0);
    assertTrue(result.membershipCounts.get(Membership.Count.GONE) > 0);
  }
}
