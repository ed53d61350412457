package gingerring.emulator.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class FleetSimulationTest {
  private static ProbeSimulation.Result probes(
      int mixers, double stopped, long seed, ProbeSimulation.Strategy way) {
    return ProbeSimulation.run(new ProbeSimulation.Setup(mixers, stopped, 0.05, 30, seed), way);
  }

  @Test
  void theSameSeedGivesTheSameRun() {
    RoutingSimulation.Setup setup = new RoutingSimulation.Setup(40, 30, 3, 2, 0.5, 5, 7);
    for (RoutingSimulation.Policy policy : RoutingSimulation.Policy.values()) {
      assertEquals(RoutingSimulation.run(setup, policy), RoutingSimulation.run(setup, policy));
    }
    assertNotEquals(
        RoutingSimulation.run(setup, RoutingSimulation.Policy.TWO),
        RoutingSimulation.run(
            new RoutingSimulation.Setup(40, 30, 3, 2, 0.5, 5, 8), RoutingSimulation.Policy.TWO));
  }

  /** Guards against a hundred mixers that all probe one benched box, each for a good reason. */
  @Test
  void probesInTurnsDoNotGrowWithTheFleet() {
    for (long seed = 1; seed <= 3; seed++) {
      for (int mixers : new int[] {10, 100, 1000}) {
        for (double stopped : new double[] {0, 0.3}) {
          ProbeSimulation.Result turns =
              probes(mixers, stopped, seed, ProbeSimulation.Strategy.TURNS);
          assertTrue(
              turns.probesPerSecond() <= 1.2 && turns.maxInOneSecond() <= 5,
              () -> mixers + " mixers: " + turns);
          assertTrue(turns.detectionSeconds() <= 6, () -> mixers + " mixers: " + turns);
          ProbeSimulation.Result spread =
              probes(mixers, stopped, seed, ProbeSimulation.Strategy.SPREAD);
          assertTrue(spread.probesPerSecond() <= 1.2, () -> mixers + " mixers: " + spread);
          assertTrue(spread.detectionSeconds() <= 30, () -> mixers + " mixers: " + spread);
        }
      }
      assertTrue(
          probes(100, 0, seed, ProbeSimulation.Strategy.ALONE).probesPerSecond() > 10,
          "what turns are for");
    }
  }

  /**
   * A cover bounds connections where a folio has many holders; each part still goes to a holder.
   */
  @Test
  void coversTakeFewerConnections() {
    RoutingSimulation.Setup setup = new RoutingSimulation.Setup(60, 60, 12, 2, 0.5, 20, 3);
    RoutingSimulation.Result all = RoutingSimulation.run(setup, RoutingSimulation.Policy.LEAST_OWN);
    RoutingSimulation.Result some = RoutingSimulation.run(setup, RoutingSimulation.Policy.COVER);
    assertEquals(all.parts(), some.parts());
    assertTrue(
        some.meanConnections() < 0.4 * all.meanConnections(), () -> some + " against " + all);
  }
}
