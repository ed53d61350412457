package gingerring.duty;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Each check taken out on purpose, and what finds that. */
class PlantedTest {
  private static final int WORLDS = Integer.getInteger("duty.worlds", 60);
  private static final int CHANGES = Integer.getInteger("duty.changes", 0);

  private static String found(Checks.Check check) {
    Checks without = new Checks(check);
    for (long seed = 1; seed <= WORLDS; seed++) {
      try {
        World world = WorldTest.faulty(seed, 0.01, without);
        world.calm(10_000);
        if (!world.fouls.isEmpty()) {
          return "world " + seed + ": " + world.fouls.iterator().next();
        }
      } catch (DutyError error) {
        return "world " + seed + ": " + error.code();
      }
    }
    return CHANGES == 0 ? null : MutationTest.found(without, CHANGES);
  }

  @Test void eachMissingCheckIsFound() {
    Map<Checks.Check, String> found = new TreeMap<>();
    List<Checks.Check> missed = new ArrayList<>();
    Map<Checks.Check, String> all = new java.util.concurrent.ConcurrentHashMap<>();
    java.util.Arrays.stream(Checks.Check.values()).parallel().forEach(each -> {
      String by = found(each);
      if (by != null) {
        all.put(each, by);
      }
    });
    for (Checks.Check each : Checks.Check.values()) {
      String by = all.get(each);
      if (by == null) {
        missed.add(each);
      } else {
        found.put(each, by);
      }
    }
    found.forEach((check, by) -> System.out.println(check + " out: " + by));
    System.out.println("not found: " + missed);
    assertTrue(found.size() >= 10, found.size() + " found");
  }
}
