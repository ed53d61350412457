package gingerring.traffic.replay;

import gingerring.traffic.scan.ObservedScan;
import gingerring.traffic.scan.ObservedScan.ScanOutcome;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Compares outcomes scan by scan. Two agree where both were answered whole, or from the same parts,
 * or nacked, or scrapped, or left by their client, and no value that both have differs. Each
 * difference gets one cause, the first that fits of the list in {@link #cause}. What the recording
 * does not show is not compared.
 */
public final class Comparison {
  /** A scan whose outcomes differ. */
  public record Difference(
      String mark, String grade, Outcome recorded, Outcome replayed, String cause) {}

  /** Differences kept to be shown; all are counted. */
  public static final int SHOWN_MOST = 1000;

  /** From this share of its client's time on an answer is close to its limit. */
  private static final double CLOSE = 0.9;

  private final Duration lateMost;
  private final Map<ScanOutcome, Map<ScanOutcome, Long>> table = new EnumMap<>(ScanOutcome.class);
  private final Map<String, Long> causes = new TreeMap<>();
  private final List<Difference> shown = new ArrayList<>();
  private long compared;
  private long agreed;
  private long notCompared;

  /** {@code lateMost}: the tool's own lateness from which a difference is put down to the tool. */
  public Comparison(Duration lateMost) {
    this.lateMost = lateMost;
  }

  public void add(ObservedScan scan, Outcome recorded, Outcome replayed) {
    if (recorded.fate() == ScanOutcome.INCOMPLETE) {
      notCompared++;
      return;
    }
    compared++;
    table
        .computeIfAbsent(recorded.fate(), f -> new EnumMap<>(ScanOutcome.class))
        .merge(replayed.fate(), 1L, Long::sum);
    if (agree(recorded, replayed)) {
      agreed++;
      return;
    }
    String cause = cause(scan, recorded, replayed);
    causes.merge(cause, 1L, Long::sum);
    if (shown.size() < SHOWN_MOST) {
      shown.add(new Difference(scan.mark(), scan.grade(), recorded, replayed, cause));
    }
  }

  static boolean agree(Outcome one, Outcome other) {
    return one.fate() == other.fate()
        && one.shards().equals(other.shards())
        && differing(one, other).isEmpty();
  }

  private static TreeSet<Integer> differing(Outcome one, Outcome other) {
    TreeSet<Integer> shards = new TreeSet<>();
    one.values()
        .forEach(
            (shard, value) -> {
              String its = other.values().get(shard);
              if (its != null && !its.equals(value)) {
                shards.add(shard);
              }
            });
    return shards;
  }

  private String cause(ObservedScan scan, Outcome recorded, Outcome replayed) {
    if (!differing(recorded, replayed).isEmpty()) {
      return "a value differs: the store is not in the recorded state";
    }
    if (replayed.fate() == ScanOutcome.INCOMPLETE) {
      return "the replay ended before its answer";
    }
    if (replayed.late().compareTo(lateMost) > 0) {
      return "the tool sent it late";
    }
    Duration patience = Duration.ofMillis(scan.remainingMs());
    if (close(recorded, patience) || close(replayed, patience)) {
      return "an answer close to the end of its client's time: open by nature";
    }
    if (replayed.held().compareTo(lateMost) > 0) {
      return "held back by the answer before it on its connection";
    }
    if (replayed.fate() == ScanOutcome.NACKED) {
      return "turned away in the replay: more load or less trust than recorded";
    }
    if (recorded.fate() == ScanOutcome.NACKED) {
      return "turned away when recorded, and taken in the replay";
    }
    if (replayed.fate() == ScanOutcome.SCRAPPED) {
      return "given up in the replay: its parts or their holders failed";
    }
    if (recorded.fate() == ScanOutcome.SCRAPPED) {
      return "given up when recorded, and answered in the replay";
    }
    if (recorded.fate() == ScanOutcome.LEFT || replayed.fate() == ScanOutcome.LEFT) {
      return "its client left in one of the two";
    }
    return "answered from other parts: some came or were sent in one run alone";
  }

  private static boolean close(Outcome outcome, Duration patience) {
    return !patience.isZero() && outcome.took().toNanos() > CLOSE * patience.toNanos();
  }

  public long compared() {
    return compared;
  }

  public long agreed() {
    return agreed;
  }

  /** Scans whose outcome the recording does not show. */
  public long notCompared() {
    return notCompared;
  }

  /** The share that agrees; 1 where nothing was compared. */
  public double agreement() {
    return compared == 0 ? 1 : (double) agreed / compared;
  }

  /** Recorded fates, and for each the fates of the replay with how many. */
  public Map<ScanOutcome, Map<ScanOutcome, Long>> table() {
    return table;
  }

  public Map<String, Long> causes() {
    return causes;
  }

  public List<Difference> differences() {
    return shown;
  }
}
