package gingerring.duty;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class WorldTest {
  private static final int WORLDS = Boolean.getBoolean("duty.long") ? 20_000 : 100;

  static World faulty(long seed, double drift, Checks checks) {
    World world = new World(seed, 4 + (int) (seed % 3), seed % 4 == 0 ? 5 - (int) (seed % 2) - (seed % 3 == 0 ? 1 : 0)
        : 3, 2, Rules.usual(), checks).begin(drift);
    world.faults(25_000);
    return world;
  }

  /** Loss, doubling, delay, reordering, stops, lost memory, cuts, hand-overs; clocks within the bound. */
  @Test void oneHoldsUnderFaults() {
    int took = 0;
    int works = 0;
    for (long seed = 1; seed <= WORLDS; seed++) {
      World world = faulty(seed, 0.01, Checks.ALL);
      world.calm(10_000);
      assertEquals(java.util.Set.of(), world.fouls, "seed " + seed);
      took += world.took;
      works += world.works;
    }
    System.out.println(WORLDS + " worlds: " + took + " times taken, " + works + " works");
    assertTrue(took > 10 * WORLDS);
  }
}
