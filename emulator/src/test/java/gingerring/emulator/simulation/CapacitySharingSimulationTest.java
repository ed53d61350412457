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
      for (double delay : new double[] {50, 250}) {
        for (long seed = 1; seed <= 3; seed++) {
          CapacitySharingSimulation.Result result =
              CapacitySharingSimulation.run(
                  new CapacitySharingSimulation.Setup(mixers, delay, 1, 0.02, 2000, seed));
          String which = mixers + " mixers, delay " + delay + ": ";
          for (int change :
              new int[] {0, 2, 3}) { // demand shifts, some join, the box's capacity is halved
            assertTrue(
                result.errors()[change] <= 0.05,
                which + change + " off by " + result.errors()[change]);
          }
          // what those who left had, one with ten times the others' demand takes up as the room is
          // tried
          // larger
          assertTrue(
              result.errors()[1] <= 0.12,
              which + "off by " + result.errors()[1] + " after some left");
          assertTrue(result.rejectedShare() <= 0.01, which + "refused " + result.rejectedShare());
        }
      }
    }
  }

  /**
   * Reports a second old: no longer within the bound, and still no swing between all and nothing.
   */
  @Test
  void lateReportsCostAccuracyAndNoStability() {
    for (long seed = 1; seed <= 3; seed++) {
      CapacitySharingSimulation.Result result =
          CapacitySharingSimulation.run(
              new CapacitySharingSimulation.Setup(30, 1000, 1, 0.02, 3000, seed));
      assertTrue(result.rejectedShare() <= 0.02, "refused " + result.rejectedShare());
      assertTrue(result.errors()[0] <= 0.25, "off by " + result.errors()[0]);
    }
  }
}
