package gingerring.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Set;
import org.junit.jupiter.api.Test;

class FaultSimulationTest {
  private static final int RUNS = Integer.getInteger("duty.worlds", 100);

  static ClusterSimulation runFaulty(long seed, double drift, SafetyChecks checks) {
    int mixers = 4 + (int) (seed % 3);
    int electors = seed % 4 == 0 ? Math.min(5, mixers) : 3;
    ClusterSimulation simulation =
        new ClusterSimulation(seed, mixers, electors, 2, LeaseSettings.defaults(), checks)
            .startAll(drift);
    simulation.runWithRandomFaults(25_000);
    return simulation;
  }

  /**
   * Guards against two holders, and against stale tokens, under message loss, duplication, delay
   * and reordering, pauses, restarts with lost memory, network cuts and handovers, with clocks
   * within the drift bound.
   */
  @Test
  void atMostOneHolderUnderFaults() {
    int acquisitions = 0;
    int admitted = 0;
    for (long seed = 1; seed <= RUNS; seed++) {
      ClusterSimulation simulation = runFaulty(seed, 0.01, SafetyChecks.ALL);
      simulation.checkRecovery(10_000);
      assertEquals(Set.of(), simulation.violations, "seed " + seed);
      acquisitions += simulation.acquisitionCount;
      admitted += simulation.admittedCount;
    }
    System.out.println(
        RUNS
            + " simulations: "
            + acquisitions
            + " acquisitions, "
            + admitted
            + " pieces of work admitted");
    assertTrue(acquisitions > 10 * RUNS);
  }

  /**
   * Guards against an overlap longer than {@link LeaseSettings#maxOverlap}, and against effects of
   * a former holder, when clocks drift past the bound.
   */
  @Test
  void overlapStaysWithinBoundWhenClocksDriftTooFar() {
    LeaseSettings defaults = LeaseSettings.defaults();
    LeaseSettings lowRankDelay =
        new LeaseSettings(
            defaults.leaseDuration(),
            defaults.initialDuration(),
            defaults.maxClockDrift(),
            defaults.renewInterval(),
            defaults.replyTimeout(),
            Duration.ofMillis(2),
            3);
    for (double drift : new double[] {0.01, 0.02, 0.05}) {
      long longestOverlap = 0;
      for (long seed = 1; seed <= RUNS / 2; seed++) {
        ClusterSimulation simulation =
            new ClusterSimulation(seed, 5, 3, 2, lowRankDelay, SafetyChecks.ALL);
        simulation.allowOverlap = true;
        simulation.separateElectors = true;
        simulation.maxDelay = ClusterSimulation.MS;
        simulation.startAll(drift);
        simulation.nodes.forEach(
            each -> each.clockRate = each.elector == null ? 1 - drift : 1 + drift);
        for (int second = 3; second < 25; second += 5) {
          simulation.scheduleAt(
              second * 1000 * ClusterSimulation.MS
                  + simulation.random.nextLong(500 * ClusterSimulation.MS),
              () -> {
                simulation.isolate(simulation.holder(simulation.leases.get(0)), 3_000);
                ClusterSimulation.Node other = simulation.holder(simulation.leases.get(1));
                if (other != null) {
                  simulation.pause(other);
                }
                simulation.scheduleAt(
                    simulation.now + 3_000 * ClusterSimulation.MS,
                    () -> simulation.nodes.forEach(simulation::resume));
              });
        }
        simulation.runUntil(25_000 * ClusterSimulation.MS);
        simulation.checkRecovery(10_000);
        longestOverlap = Math.max(longestOverlap, simulation.longestOverlap);
        assertEquals(Set.of(), simulation.violations, "seed " + seed);
      }
      System.out.println(
          "drift "
              + drift
              + ": two holders for "
              + longestOverlap / 1e6
              + " ms at most, bound "
              + defaults.maxOverlap(drift).toNanos() / 1e6);
      assertTrue(
          longestOverlap <= defaults.maxOverlap(drift).toNanos()
              && longestOverlap > 0 == drift > defaults.maxClockDrift());
    }
  }

  /**
   * Guards against admitted stale work, and against an overlap longer than a lease, when clocks
   * jump up to 3 s ahead or back.
   */
  @Test
  void guardRejectsStaleTokensWhenClocksJump() {
    long longestOverlap = 0;
    for (long seed = 1; seed <= RUNS; seed++) {
      ClusterSimulation simulation =
          new ClusterSimulation(seed, 5, 3, 2, LeaseSettings.defaults(), SafetyChecks.ALL);
      simulation.allowOverlap = true;
      simulation.startAll(0.01);
      for (int i = 0; i < 20; i++) {
        ClusterSimulation.Node node = simulation.nodes.get(simulation.random.nextInt(5));
        long jump = simulation.random.nextLong(6_000) - 3_000;
        simulation.scheduleAt(
            simulation.random.nextLong(20_000) * ClusterSimulation.MS,
            () -> node.clockOffset += jump * ClusterSimulation.MS);
      }
      simulation.runWithRandomFaults(22_000);
      simulation.checkRecovery(12_000);
      longestOverlap = Math.max(longestOverlap, simulation.longestOverlap);
      simulation.violations.removeIf(
          each ->
              each.startsWith(
                  "token")); // of two simultaneous holders the earlier may get its token later
      assertEquals(Set.of(), simulation.violations, "seed " + seed);
    }
    System.out.println("jumping clocks: two holders for " + longestOverlap / 1e6 + " ms at most");
    assertTrue(longestOverlap <= LeaseSettings.defaults().leaseDuration().toNanos());
  }
}
