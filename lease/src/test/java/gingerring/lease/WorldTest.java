package gingerring.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Set;
import org.junit.jupiter.api.Test;

class WorldTest {
  private static final int WORLDS = Integer.getInteger("duty.worlds", 100);

  static World faulty(long seed, double drift, Checks checks) {
    int mixers = 4 + (int) (seed % 3);
    int electing = seed % 4 == 0 ? Math.min(5, mixers) : 3;
    World world = new World(seed, mixers, electing, 2, Rules.usual(), checks).begin(drift);
    world.faults(25_000);
    return world;
  }

  /**
   * Loss, doubling, delay, reordering, stops, lost memory, cuts, hand-overs; clocks within the
   * bound.
   */
  @Test
  void oneHoldsUnderFaults() {
    int took = 0;
    int works = 0;
    for (long seed = 1; seed <= WORLDS; seed++) {
      World world = faulty(seed, 0.01, Checks.ALL);
      world.calm(10_000);
      assertEquals(Set.of(), world.fouls, "seed " + seed);
      took += world.took;
      works += world.works;
    }
    System.out.println(WORLDS + " worlds: " + took + " times taken, " + works + " works");
    assertTrue(took > 10 * WORLDS);
  }

  /**
   * Clocks past the bound: two hold for no longer than is said, and an old holder changes nothing.
   */
  @Test
  void pastTheBoundTheGateHolds() {
    Rules usual = Rules.usual();
    Rules quick =
        new Rules(
            usual.lease(),
            usual.vote(),
            usual.drift(),
            usual.renew(),
            usual.patience(),
            Duration.ofMillis(2),
            3);
    for (double drift : new double[] {0.01, 0.02, 0.05}) {
      long longest = 0;
      for (long seed = 1; seed <= WORLDS / 2; seed++) {
        World world = new World(seed, 5, 3, 2, quick, Checks.ALL);
        world.allowTwo = true;
        world.apart = true;
        world.delay = World.MS;
        world.begin(drift);
        world.nodes.forEach(each -> each.rate = each.elector == null ? 1 - drift : 1 + drift);
        for (int second = 3; second < 25; second += 5) {
          world.at(
              second * 1000 * World.MS + world.chance.nextLong(500 * World.MS),
              () -> {
                world.aside(world.holder(world.duties.get(0)), 3_000);
                World.Node other = world.holder(world.duties.get(1));
                if (other != null) {
                  world.stop(other);
                }
                world.at(world.now + 3_000 * World.MS, () -> world.nodes.forEach(world::wake));
              });
        }
        world.until(25_000 * World.MS);
        world.calm(10_000);
        longest = Math.max(longest, world.longestTwo);
        assertEquals(Set.of(), world.fouls, "seed " + seed);
      }
      System.out.println(
          "drift "
              + drift
              + ": two held for "
              + longest / 1e6
              + " ms at most, said "
              + usual.excess(drift).toNanos() / 1e6);
      assertTrue(longest <= usual.excess(drift).toNanos() && longest > 0 == drift > usual.drift());
    }
  }

  /** Clocks that jump up to 3 s ahead or back. */
  @Test
  void jumpsLeaveTheGateWhole() {
    long longest = 0;
    for (long seed = 1; seed <= WORLDS; seed++) {
      World world = new World(seed, 5, 3, 2, Rules.usual(), Checks.ALL);
      world.allowTwo = true;
      world.begin(0.01);
      for (int i = 0; i < 20; i++) {
        World.Node one = world.nodes.get(world.chance.nextInt(5));
        long jump = world.chance.nextLong(6_000) - 3_000;
        world.at(world.chance.nextLong(20_000) * World.MS, () -> one.offset += jump * World.MS);
      }
      world.faults(22_000);
      world.calm(12_000);
      longest = Math.max(longest, world.longestTwo);
      world.fouls.removeIf(
          each -> each.startsWith("token")); // of two at once the earlier may learn it later
      assertEquals(Set.of(), world.fouls, "seed " + seed);
    }
    System.out.println("clocks that jump: two held for " + longest / 1e6 + " ms at most");
    assertTrue(longest <= Rules.usual().lease().toNanos());
  }
}
