package gingerring.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gingerring.lease.Checks.Check;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentSkipListMap;
import org.junit.jupiter.api.Test;

/**
 * Each check taken out on purpose, and what finds that: here the world that is known to, in the
 * long run ({@code -Dduty.planted=WORLDS -Dduty.changes=RUNS}) whichever comes first. {@link
 * DutyTest} finds EPOCH and GATE_DUTY.
 */
class PlantedTest {
  private static final int WORLDS = Integer.getInteger("duty.planted", 0);
  private static final int CHANGES = Integer.getInteger("duty.changes", 0);

  /** A world's seed; below zero of a slow one; above 1000 a change of run 2. */
  private static final Map<Check, Integer> KNOWN =
      new EnumMap<>(
          Map.of(
              Check.QUIET,
              1,
              Check.ONE_LEASE,
              1,
              Check.LATER_TOKEN,
              -3,
              Check.LIFE_FLOOR,
              1,
              Check.FROM_ASKING,
              -55,
              Check.SHORTER,
              1,
              Check.OWN_CLOCK,
              2,
              Check.OWN_LEASE,
              18,
              Check.MAJORITY,
              1,
              Check.STOP_FIRST,
              -1));

  static {
    KNOWN.put(Check.GATE_OLD, 2);
    KNOWN.put(Check.SPAN, 25_014);
  }

  /** What is wrong in a world; empty where nothing is. */
  private static String wrong(int seed, Checks checks) {
    try {
      Set<String> fouls;
      if (seed < 0) {
        fouls = MutationTest.slow(-seed, checks);
      } else if (seed > 1000) {
        fouls = MutationTest.changed(seed, checks);
      } else {
        World world = WorldTest.faulty(seed, 0.01, checks);
        world.calm(10_000);
        fouls = world.fouls;
      }
      String kind = seed < 0 ? "slow world " : seed > 1000 ? "change " : "world ";
      return fouls.isEmpty() ? "" : kind + Math.abs(seed) + ": " + fouls.iterator().next();
    } catch (DutyError error) {
      return "world " + seed + ": " + error.code();
    }
  }

  private static String search(Check check) {
    for (int seed = 1; seed <= WORLDS; seed++) {
      for (int each : new int[] {seed, -seed}) {
        String wrong = wrong(each, new Checks(check));
        if (!wrong.isEmpty()) {
          return wrong;
        }
      }
    }
    String found = CHANGES == 0 ? null : MutationTest.found(new Checks(check), CHANGES);
    return found == null ? "not found" : found;
  }

  @Test
  void eachMissingCheckIsFound() {
    KNOWN.forEach(
        (check, seed) -> {
          assertEquals("", wrong(seed, Checks.ALL), "nothing missing");
          String wrong = wrong(seed, new Checks(check));
          System.out.println(check + " out, " + wrong);
          assertEquals(false, wrong.isEmpty(), check + " out is not found by " + seed);
        });
    Map<Check, String> found = new ConcurrentSkipListMap<>();
    if (WORLDS > 0 || CHANGES > 0) {
      Arrays.stream(Check.values()).parallel().forEach(each -> found.put(each, search(each)));
    }
    found.forEach((check, by) -> System.out.println(check + " out, searched: " + by));
  }
}
