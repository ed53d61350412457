package gingerring.emulator.simulation;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Shares of one box's room under late reports: within their bounds up to a delay, and no swing at
 * any.
 */
class CapacitySharingSimulationTest {
  @Test
  void sharesFollowDemandWithinFiveSeconds() {
    for (int mixers : new int[] {3, 30, 100}) {
      for (double delayMs : new double[] {50, 250}) {
        for (long seed = 1; seed <= 3; seed++) {
          CapacitySharingSimulation.Result result =
              CapacitySharingSimulation.run(
                  new CapacitySharingSimulation.Setup(mixers, delayMs, 1, 0.02, 2000, seed));
          String label = mixers + " mixers, delay " + delayMs + ": ";
          for (int change :
              new int[] {0, 2, 3}) { // demand shifts, some join, the box's capacity is halved
            assertTrue(
                result.errors()[change] <= 0.05,
                label + change + " off by " + result.errors()[change]);
          }
          // what those who left had, one with ten times the others' demand takes up as the room is
          // tried
          // larger
          assertTrue(
              result.errors()[1] <= 0.12,
              label + "off by " + result.errors()[1] + " after some left");
          assertTrue(result.rejectedShare() <= 0.01, label + "refused " + result.rejectedShare());
        }
      }
    }
  }

  /**
   * Reports a second old: no longer within the bound, and still no swing between all and nothing.
   */
  @Test
  void lateReportsCostAccuracyButNotStability() {
    for (long seed = 1; seed <= 3; seed++) {
      CapacitySharingSimulation.Result result =
          CapacitySharingSimulation.run(
              new CapacitySharingSimulation.Setup(30, 1000, 1, 0.02, 3000, seed));
      assertTrue(result.rejectedShare() <= 0.02, "refused " + result.rejectedShare());
      assertTrue(result.errors()[0] <= 0.25, "off by " + result.errors()[0]);
    }
  }
}
