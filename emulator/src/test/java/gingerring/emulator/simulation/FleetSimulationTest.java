package gingerring.emulator.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class FleetSimulationTest {
  private static ProbeSimulation.Result probes(
      int mixers, double stoppedShare, long seed, ProbeSimulation.Strategy strategy) {
    return ProbeSimulation.run(
        new ProbeSimulation.Setup(mixers, stoppedShare, 0.05, 30, seed), strategy);
  }

  @Test
  void sameSeedGivesSameResult() {
    RoutingSimulation.Setup setup = new RoutingSimulation.Setup(40, 30, 3, 2, 0.5, 5, 7);
    for (RoutingSimulation.Policy policy : RoutingSimulation.Policy.values()) {
      assertEquals(RoutingSimulation.run(setup, policy), RoutingSimulation.run(setup, policy));
    }
    assertNotEquals(
        RoutingSimulation.run(setup, RoutingSimulation.Policy.TWO),
        RoutingSimulation.run(
            new RoutingSimulation.Setup(40, 30, 3, 2, 0.5, 5, 8), RoutingSimulation.Policy.TWO));
  }

  /**
   * Guards against probe storms: if every mixer probes an ejected box on its own, the box receives
   * a number of probes that grows with the fleet.
   */
  @Test
  void coordinatedProbesDoNotGrowWithTheFleet() {
    for (long seed = 1; seed <= 3; seed++) {
      for (int mixers : new int[] {10, 100, 1000}) {
        for (double stoppedShare : new double[] {0, 0.3}) {
          ProbeSimulation.Result coordinated =
              probes(mixers, stoppedShare, seed, ProbeSimulation.Strategy.TURNS);
          assertTrue(
              coordinated.probesPerSecond() <= 1.2 && coordinated.maxInOneSecond() <= 5,
              () -> mixers + " mixers: " + coordinated);
          assertTrue(coordinated.detectionSeconds() <= 6, () -> mixers + " mixers: " + coordinated);
          ProbeSimulation.Result randomized =
              probes(mixers, stoppedShare, seed, ProbeSimulation.Strategy.SPREAD);
          assertTrue(randomized.probesPerSecond() <= 1.2, () -> mixers + " mixers: " + randomized);
          assertTrue(randomized.detectionSeconds() <= 30, () -> mixers + " mixers: " + randomized);
        }
      }
      assertTrue(
          probes(100, 0, seed, ProbeSimulation.Strategy.ALONE).probesPerSecond() > 10,
          "independent probes are expected to exceed 10 a second");
    }
  }

  /**
   * Subsets bound the connections where a partition has many holders; every part still goes to a
   * holder.
   */
  @Test
  void subsetsNeedFewerConnections() {
    RoutingSimulation.Setup setup = new RoutingSimulation.Setup(60, 60, 12, 2, 0.5, 20, 3);
    RoutingSimulation.Result withoutSubsets =
        RoutingSimulation.run(setup, RoutingSimulation.Policy.LEAST_OWN);
    RoutingSimulation.Result withSubsets =
        RoutingSimulation.run(setup, RoutingSimulation.Policy.COVER);
    assertEquals(withoutSubsets.parts(), withSubsets.parts());
    assertTrue(
        withSubsets.meanConnections() < 0.4 * withoutSubsets.meanConnections(),
        () -> withSubsets + " against " + withoutSubsets);
  }
}
