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

/** Simulated fleets with the peer protocol, under the faults that are hard for many mixers. */
class PeerSimulationTest {
  private static Result simulate(int mixers, double seconds, long seed, Fault... faults) {
    return PeerSimulation.run(Setup.defaults(mixers, seconds, seed, List.of(faults)));
  }

  private static Fault fault(Kind kind, double startMs, double durationMs, Set<Integer> targets) {
    return new Fault(kind, startMs, durationMs, targets, Set.of(), 0);
  }

  private static double maxBytesPerSecond(Result result) {
    return result.bytesBySecond.stream().mapToDouble(cut -> cut[0]).max().orElse(0);
  }

  @Test
  void faultFreeFleetIsFullyConnectedWithoutFalseDetections() {
    for (long seed = 1; seed <= 3; seed++) {
      Result result = simulate(40, 60, seed);
      assertEquals(0, result.falselyMarkedGone);
      assertEquals(0, result.unknownPairs);
      assertTrue(maxBytesPerSecond(result) <= 2 * PeerNode.Settings.defaults().maxBytesPerSecond());
      assertEquals(0, result.maxFailureShareOfLiveBox);
    }
  }

  @Test
  void sameSeedGivesSameResult() {
    Result first = simulate(15, 30, 9, fault(Kind.KILL, 10_000, 5000, Set.of(3)));
    Result second = simulate(15, 30, 9, fault(Kind.KILL, 10_000, 5000, Set.of(3)));
    assertEquals(first.peerCounts, second.peerCounts);
    assertEquals(first.membershipCounts, second.membershipCounts);
    assertEquals(first.detectionTimesMs, second.detectionTimesMs);
  }

  /**
   * Seven of ten mixers restart at once within a second: their new incarnations replace the old
   * ones, and none is missing afterwards.
   */
  @Test
  void massRestartWithinASecondRecoversFully() {
    for (long seed = 1; seed <= 3; seed++) {
      Result result =
          simulate(30, 60, seed, fault(Kind.KILL, 20_000, 900, PeerSimulation.range(9, 21)));
      assertEquals(0, result.falselyMarkedGone);
      assertEquals(0, result.unknownPairs);
    }
  }

  @Test
  void permanentDeathIsDetectedByAllInTime() {
    for (long seed = 1; seed <= 3; seed++) {
      Result result = simulate(30, 60, seed, fault(Kind.KILL, 20_000, 60_000, Set.of(5, 6)));
      assertEquals(0, result.falselyMarkedGone);
      result.detectionTimesMs.forEach(
          after -> assertTrue(after < 30_000, "detected after " + after + " ms"));
    }
  }

  @Test
  void partitionedHalvesRejoin() {
    Fault evenCut =
        new Fault(
            Kind.CUT, 20_000, 40_000, PeerSimulation.range(0, 15), PeerSimulation.range(15, 15), 0);
    Fault unevenCut =
        new Fault(
            Kind.CUT, 20_000, 40_000, PeerSimulation.range(3, 4), PeerSimulation.range(7, 23), 0);
    Fault oneWayCut =
        new Fault(
            Kind.CUT_ONE_WAY,
            20_000,
            40_000,
            PeerSimulation.range(0, 15),
            PeerSimulation.range(15, 15),
            0);
    for (Fault cut : List.of(evenCut, unevenCut, oneWayCut)) {
      for (long seed = 3; seed <= 5; seed++) {
        Result result = simulate(30, 120, seed, cut);
        assertEquals(
            0, result.unknownPairs, () -> "after " + cut.kind() + " of " + cut.targets().size());
        assertEquals(0, result.falselyMarkedGone);
      }
    }
  }

  /**
   * A resumed process still has its old state, while the others have marked it as gone; it rejoins
   * in the same incarnation.
   */
  @Test
  void processStoppedForTenSecondsRejoins() {
    Result result =
        simulate(
            20,
            80,
            5,
            fault(Kind.STOP, 20_000, 10_000, Set.of(4, 5)),
            fault(Kind.BOXES_DEAD, 15_000, 25_000, Set.of(2)));
    assertEquals(0, result.unknownPairs);
    assertEquals(0, result.falselyMarkedGone);
    assertTrue(
        result.recoveryTimesMs.get(0)[0] < 6000, "found after " + result.recoveryTimesMs.get(0)[0]);
  }

  /**
   * Probes of dead boxes do not grow with the fleet, and all mixers that ejected a box detect its
   * recovery.
   */
  @Test
  void probesOfDeadBoxesDoNotGrowWithTheFleet() {
    for (int mixers : new int[] {8, 32, 100}) {
      Result result =
          simulate(mixers, 80, 6, fault(Kind.BOXES_DEAD, 15_000, 40_000, Set.of(2, 3, 4)));
      // counted once all mixers have ejected the boxes: at most two probes in a round of 2 s for
      // each of three
      // boxes
      int probes = 0;
      for (int second = 25; second < 55; second++) {
        probes += result.deadBoxProbes.getOrDefault(second, 0);
      }
      assertTrue(probes <= 3 * 2 * 15, probes + " probes in 30 s with " + mixers);
      assertTrue(probes >= 3 * 15 / 2, probes + " asks in 30 s with " + mixers);
      for (double[] found : result.recoveryTimesMs) {
        assertTrue(
            found[0] < 4000 && found[1] < 9000,
            found[0] + " and " + found[1] + " ms with " + mixers);
      }
    }
  }

  @Test
  void singleHostilePeerHasNoEffect() {
    Set<Integer> first = Set.of(3);
    Result lying = simulate(16, 60, 7, fault(Kind.LIE, 10_000, 50_000, first));
    assertEquals(0, lying.maxFailureShareOfLiveBox, "a peer that reports healthy boxes as dead");
    Result greedy = simulate(16, 60, 7, fault(Kind.GREED, 10_000, 50_000, first));
    assertTrue(
        greedy.maxDemandRatio < 2,
        "a demand of " + greedy.maxDemandRatio + " times the true one is assumed");
    Result repeated = simulate(16, 60, 7, fault(Kind.REPEAT, 10_000, 50_000, first));
    assertEquals(0, repeated.unknownPairs);
    assertEquals(0, repeated.falselyMarkedGone);
    assertTrue(repeated.peerCounts.get(PeerNode.Count.REPEATED) > 500);
  }

  /**
   * Three colluding peers of sixteen: the median holds as long as more honest reports than hostile
   * ones are received.
   */
  @Test
  void threeColludingPeersHaveBoundedEffect() {
    Result result =
        simulate(16, 60, 8, fault(Kind.LIE, 10_000, 50_000, PeerSimulation.range(3, 3)));
    assertTrue(
        result.maxFailureShareOfLiveBox <= 0.5,
        "failure share of a live box: " + result.maxFailureShareOfLiveBox);
  }

  /**
   * False claims of turns, and false reports that a dead box answers, cost only probes by the
   * mixers that believe them.
   */
  @Test
  void falseClaimsDoNotDelayDetection() {
    Fault deadBox = fault(Kind.BOXES_DEAD, 15_000, 30_000, Set.of(2));
    Result honest = simulate(16, 70, 9, deadBox);
    Result withClaims = simulate(16, 70, 9, deadBox, fault(Kind.CLAIM, 10_000, 60_000, Set.of(3)));
    assertTrue(
        withClaims.recoveryTimesMs.get(0)[0] < 8000,
        "found after "
            + withClaims.recoveryTimesMs.get(0)[0]
            + " ms, without claims "
            + honest.recoveryTimesMs.get(0)[0]);
    assertTrue(withClaims.peerCounts.get(PeerNode.Count.NOTES_DISBELIEVED) > 1000);
  }

  /**
   * Guards against a fleet that splits: many mixers that start at once from three addresses must
   * not end as separate groups around each address.
   */
  @Test
  void largeFleetStartedAtOnceIsFullyConnected() {
    Result result = simulate(100, 40, 2);
    assertEquals(0, result.unknownPairs);
    assertTrue(
        result.bytesBySecond.stream().skip(15).allMatch(cut -> cut[0] < 8192),
        "over 8 KB a second without faults");
  }

  /**
   * A mixer that missed the report of a recovery learns from other mixers that the box serves them.
   */
  @Test
  void lostRecoveryMessageDoesNotDelayDetection() {
    // by turns alone the last of a hundred mixers would probe after 25 s
    Setup defaults =
        Setup.defaults(100, 70, 3, List.of(fault(Kind.BOXES_DEAD, 15_000, 30_000, Set.of(2))));
    Setup lossy =
        new Setup(100, 3, 6, 0.35, 0, 20, 50, 8, 70, 3, defaults.faults(), defaults.settings());
    Result result = PeerSimulation.run(lossy);
    assertTrue(
        result.recoveryTimesMs.get(0)[1] < 15_000,
        "the last detection after " + result.recoveryTimesMs.get(0)[1] + " ms");
  }

  /**
   * A peer that falsely reports that dead boxes answer loses credibility, so that its claims cause
   * fewer probes over time.
   */
  @Test
  void repeatedFalseClaimsCostFewerProbes() {
    Fault deadBox = fault(Kind.BOXES_DEAD, 15_000, 100_000, Set.of(2));
    Result result = simulate(32, 110, 4, deadBox, fault(Kind.CLAIM, 10_000, 200_000, Set.of(3)));
    int earlyProbes = 0;
    int lateProbes = 0;
    for (int second = 20; second < 40; second++) {
      earlyProbes += result.deadBoxProbes.getOrDefault(second, 0);
      lateProbes += result.deadBoxProbes.getOrDefault(second + 60, 0);
    }
    assertTrue(result.peerCounts.get(PeerNode.Count.MISLED) > 0);
    assertTrue(
        lateProbes < earlyProbes / 2,
        earlyProbes + " probes in the first 20 s, " + lateProbes + " later");
  }

  @Test
  void countersShowDetectionCauses() {
    Result result = simulate(10, 40, 10, fault(Kind.KILL, 10_000, 30_000, Set.of(2)));
    assertTrue(result.membershipCounts.get(Membership.Count.UNANSWERED) > 0);
    assertTrue(result.membershipCounts.get(Membership.Count.GONE) > 0);
  }
}
