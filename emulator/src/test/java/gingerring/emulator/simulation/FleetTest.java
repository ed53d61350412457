package gingerring.emulator.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class FleetTest {
  private static Probes.Result probes(int mixers, double stopped, long seed, Probes.Way way) {
    return Probes.of(new Probes.Setup(mixers, stopped, 0.05, 30, seed), way);
  }

  @Test
  void theSameSeedGivesTheSameRun() {
    Choices.Setup setup = new Choices.Setup(40, 30, 3, 2, 0.5, 5, 7);
    for (Choices.Policy policy : Choices.Policy.values()) {
      assertEquals(Choices.of(setup, policy), Choices.of(setup, policy));
    }
    assertNotEquals(
        Choices.of(setup, Choices.Policy.TWO),
        Choices.of(new Choices.Setup(40, 30, 3, 2, 0.5, 5, 8), Choices.Policy.TWO));
  }

  /** Guards against a hundred mixers that all probe one benched box, each for a good reason. */
  @Test
  void probesInTurnsDoNotGrowWithTheFleet() {
    for (long seed = 1; seed <= 3; seed++) {
      for (int mixers : new int[] {10, 100, 1000}) {
        for (double stopped : new double[] {0, 0.3}) {
          Probes.Result turns = probes(mixers, stopped, seed, Probes.Way.TURNS);
          assertTrue(
              turns.perSecond() <= 1.2 && turns.most() <= 5, () -> mixers + " mixers: " + turns);
          assertTrue(turns.foundAfter() <= 6, () -> mixers + " mixers: " + turns);
          Probes.Result spread = probes(mixers, stopped, seed, Probes.Way.SPREAD);
          assertTrue(spread.perSecond() <= 1.2, () -> mixers + " mixers: " + spread);
          assertTrue(spread.foundAfter() <= 30, () -> mixers + " mixers: " + spread);
        }
      }
      assertTrue(probes(100, 0, seed, Probes.Way.ALONE).perSecond() > 10, "what turns are for");
    }
  }

  /**
   * A cover bounds connections where a folio has many holders; each part still goes to a holder.
   */
  @Test
  void coversTakeFewerConnections() {
    Choices.Setup setup = new Choices.Setup(60, 60, 12, 2, 0.5, 20, 3);
    Choices.Result all = Choices.of(setup, Choices.Policy.LEAST_OWN);
    Choices.Result some = Choices.of(setup, Choices.Policy.COVER);
    assertEquals(all.parts(), some.parts());
    assertTrue(some.linesMean() < 0.4 * all.linesMean(), () -> some + " against " + all);
  }
}
