package gingerring.emulator.simulation;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Sharing of one box's capacity under late reports: accurate up to a bounded delay, and without
 * oscillation at any delay.
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
          // demand shifts, mixers join, the capacity of the box is halved
          for (int change : new int[] {0, 2, 3}) {
            assertTrue(
                result.errors()[change] <= 0.05,
                label + change + " off by " + result.errors()[change]);
          }
          // The mixer with ten times the demand of the others takes up the capacity of
          // those that left, as the estimated capacity grows.
          assertTrue(
              result.errors()[1] <= 0.12,
              label + "off by " + result.errors()[1] + " after some mixers left");
          assertTrue(result.rejectedShare() <= 0.01, label + "rejected " + result.rejectedShare());
        }
      }
    }
  }

  /** Reports that are a second old exceed the accuracy bound but cause no oscillation. */
  @Test
  void lateReportsCostAccuracyButNotStability() {
    for (long seed = 1; seed <= 3; seed++) {
      CapacitySharingSimulation.Result result =
          CapacitySharingSimulation.run(
              new CapacitySharingSimulation.Setup(30, 1000, 1, 0.02, 3000, seed));
      assertTrue(result.rejectedShare() <= 0.02, "rejected " + result.rejectedShare());
      assertTrue(result.errors()[0] <= 0.25, "off by " + result.errors()[0]);
    }
  }
}
