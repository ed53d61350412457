package gingerring.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gingerring.lease.SafetyChecks.Check;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentSkipListMap;
import org.junit.jupiter.api.Test;

/**
 * Guards against a safety check that has no effect: each check is disabled, and the run that is
 * known to detect the missing check must report a violation. The long search ({@code
 * -Dduty.planted=RUNS -Dduty.changes=MUTATIONS}) reports the first run that detects each missing
 * check. {@link LeaseTest} covers EPOCH and GUARD_LEASE.
 */
class DisabledCheckTest {
  private static final int RUNS = Integer.getInteger("duty.planted", 0);
  private static final int MUTATIONS = Integer.getInteger("duty.changes", 0);

  /**
   * Seed of the run that detects the disabled check. A negative seed selects the slow tight
   * scenario; a seed above 1000 is the number of a message mutation of run 2.
   */
  private static final Map<Check, Integer> DETECTING_SEEDS =
      new EnumMap<>(
          Map.of(
              Check.QUIET,
              1,
              Check.SINGLE_GRANT,
              1,
              Check.HIGHER_TERM,
              -3,
              Check.INITIAL_TERM,
              1,
              Check.EXPIRY_FROM_REQUEST,
              -55,
              Check.SHORTER,
              1,
              Check.HOLDER_EXPIRY,
              2,
              Check.GRANT_HOLDER,
              18,
              Check.MAJORITY,
              1,
              Check.STOP_FIRST,
              -1));

  static {
    DETECTING_SEEDS.put(Check.GUARD_STALE_TOKEN, 2);
    DETECTING_SEEDS.put(Check.SPAN, 25_014);
  }

  /** Returns the first violation in a run, or an empty string. */
  private static String firstViolation(int seed, SafetyChecks checks) {
    try {
      Set<String> violations;
      if (seed < 0) {
        violations = MessageMutationTest.runSlowTight(-seed, checks);
      } else if (seed > 1000) {
        violations = MessageMutationTest.runMutation(seed, checks);
      } else {
        ClusterSimulation simulation = FaultSimulationTest.runFaulty(seed, 0.01, checks);
        simulation.checkRecovery(10_000);
        violations = simulation.violations;
      }
      String kind = seed < 0 ? "slow simulation " : seed > 1000 ? "mutation " : "simulation ";
      return violations.isEmpty()
          ? ""
          : kind + Math.abs(seed) + ": " + violations.iterator().next();
    } catch (LeaseException error) {
      return "simulation " + seed + ": " + error.code();
    }
  }

  private static String searchViolation(Check check) {
    for (int seed = 1; seed <= RUNS; seed++) {
      for (int signedSeed : new int[] {seed, -seed}) {
        String violation = firstViolation(signedSeed, new SafetyChecks(check));
        if (!violation.isEmpty()) {
          return violation;
        }
      }
    }
    String found =
        MUTATIONS == 0
            ? null
            : MessageMutationTest.searchViolation(new SafetyChecks(check), MUTATIONS);
    return found == null ? "not detected" : found;
  }

  @Test
  void everyDisabledCheckIsDetected() {
    DETECTING_SEEDS.forEach(
        (check, seed) -> {
          assertEquals("", firstViolation(seed, SafetyChecks.ALL), "no check disabled");
          String violation = firstViolation(seed, new SafetyChecks(check));
          System.out.println(check + " disabled, " + violation);
          assertEquals(false, violation.isEmpty(), check + " disabled is not detected by " + seed);
        });
    Map<Check, String> found = new ConcurrentSkipListMap<>();
    if (RUNS > 0 || MUTATIONS > 0) {
      Arrays.stream(Check.values())
          .parallel()
          .forEach(check -> found.put(check, searchViolation(check)));
    }
    found.forEach(
        (check, violation) -> System.out.println(check + " disabled, searched: " + violation));
  }
}
