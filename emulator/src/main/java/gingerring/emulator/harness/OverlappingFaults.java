package gingerring.emulator.harness;

import gingerring.emulator.harness.FleetScenario.Fault.Kind;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * Generates from a seed a fleet scenario with overlapping faults: two to four faults, each of which
 * starts before the previous one ends, and the first two of which affect a common mixer. The result
 * is an ordinary scenario file that can be stored and replayed.
 */
public final class OverlappingFaults {
  /** Faults of a process; the first fault is one of these. */
  private static final List<Kind> PROCESS_FAULTS = List.of(Kind.KILL, Kind.STOP, Kind.ROLL);

  private static final List<Kind> PEER_FAULTS =
      List.of(Kind.CUT_PEERS, Kind.CUT_PEERS_ONE_WAY, Kind.LOSE, Kind.DOUBLE, Kind.REORDER);
  private static final List<Kind> ALL_FAULTS = List.of(Kind.values());

  private OverlappingFaults() {}

  /** Returns the scenario in JSON. The faults lie in the middle of the run's {@code lengthMs}. */
  public static String generate(long seed, int mixers, int boxes, long lengthMs) {
    SplittableRandom random = new SplittableRandom(seed);
    List<String> faults = new ArrayList<>();
    boolean hasPeerFault = false;
    int sharedMixer = random.nextInt(mixers);
    int count = random.nextInt(2, 5);
    double startMs = lengthMs * random.nextDouble(0.08, 0.16);
    for (int i = 0; i < count; i++) {
      Kind kind =
          i == 0
              ? PROCESS_FAULTS.get(random.nextInt(PROCESS_FAULTS.size()))
              : ALL_FAULTS.get(random.nextInt(ALL_FAULTS.size()));
      hasPeerFault |= PEER_FAULTS.contains(kind);
      double durationMs = lengthMs * random.nextDouble(0.1, 0.3);
      Set<Integer> affectedMixers = randomSubset(random, mixers, mixers / 2);
      if (i < 2 || random.nextBoolean()) {
        affectedMixers.add(sharedMixer);
      }
      faults.add(
          String.format(
              Locale.ROOT,
              "{\"kind\": \"%s\", \"atMs\": %.0f, \"forMs\": %.0f, \"mixers\": %s, \"boxes\": %s, "
                  + "\"size\": %.2f}",
              kind.name().toLowerCase(Locale.ROOT),
              startMs,
              durationMs,
              affectedMixers,
              randomSubset(random, boxes, boxes / 2),
              randomMagnitude(kind, random)));
      startMs += durationMs * random.nextDouble(0.1, 0.7);
    }
    return String.format(
        Locale.ROOT,
        """
        {"seed": %d, "boxes": %d, "folios": %d, "rate": 40, "clients": 32, "lengthMs": %d,
         "troubles": [{"kind": "hang", "atMs": %d, "forMs": %d, "boxes": %d}],
         "fleet": {"mixers": %d, "zones": ["a", "b", "c"], "peers": %b, "settings": {"witnesses": 3},
          "faults": [
           %s]}}
        """,
        seed,
        boxes,
        boxes,
        lengthMs,
        lengthMs / 5,
        lengthMs * 2 / 5,
        boxes / 4,
        mixers,
        hasPeerFault || random.nextBoolean(),
        String.join(",\n   ", faults));
  }

  private static Set<Integer> randomSubset(SplittableRandom random, int limit, int maxDraws) {
    Set<Integer> subset = new TreeSet<>();
    for (int i = random.nextInt(1, Math.max(2, maxDraws + 1)); i > 0; i--) {
      subset.add(random.nextInt(limit));
    }
    return subset;
  }

  private static double randomMagnitude(Kind kind, SplittableRandom random) {
    return switch (kind) {
      case DELAY, REORDER -> random.nextDouble(20, 120);
      case DRIP -> random.nextDouble(2000, 20_000);
      case CUT_BYTES -> random.nextDouble(0.01, 0.1);
      default -> random.nextDouble(0.1, 0.4);
    };
  }
}
