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
 * difference gets one cause, the first that fits of the list in {@link #findCause}. What the
 * recording does not show is not compared.
 */
public final class Comparison {
  /** A scan whose outcomes differ. */
  public record Difference(
      String transactionId,
      String serviceClass,
      ScanResult recorded,
      ScanResult replayed,
      String cause) {}

  /** Differences kept to be shown; all are counted. */
  public static final int MAX_DIFFERENCES = 1000;

  /** From this share of its client's time on an answer is close to its limit. */
  private static final double NEAR_DEADLINE_SHARE = 0.9;

  private final Duration maxLateness;
  private final Map<ScanOutcome, Map<ScanOutcome, Long>> outcomeTable =
      new EnumMap<>(ScanOutcome.class);
  private final Map<String, Long> countsByCause = new TreeMap<>();
  private final List<Difference> differences = new ArrayList<>();
  private long comparedCount;
  private long agreedCount;
  private long notComparedCount;

  /** {@code lateMost}: the tool's own lateness from which a difference is put down to the tool. */
  public Comparison(Duration maxLateness) {
    this.maxLateness = maxLateness;
  }

  public void add(ObservedScan scan, ScanResult recorded, ScanResult replayed) {
    if (recorded.outcome() == ScanOutcome.INCOMPLETE) {
      notComparedCount++;
      return;
    }
    comparedCount++;
    outcomeTable
        .computeIfAbsent(recorded.outcome(), f -> new EnumMap<>(ScanOutcome.class))
        .merge(replayed.outcome(), 1L, Long::sum);
    if (agrees(recorded, replayed)) {
      agreedCount++;
      return;
    }
    String cause = findCause(scan, recorded, replayed);
    countsByCause.merge(cause, 1L, Long::sum);
    if (differences.size() < MAX_DIFFERENCES) {
      differences.add(
          new Difference(scan.transactionId(), scan.serviceClass(), recorded, replayed, cause));
    }
  }

  static boolean agrees(ScanResult recorded, ScanResult replayed) {
    return recorded.outcome() == replayed.outcome()
        && recorded.partitions().equals(replayed.partitions())
        && differingPartitions(recorded, replayed).isEmpty();
  }

  private static TreeSet<Integer> differingPartitions(ScanResult recorded, ScanResult replayed) {
    TreeSet<Integer> partitions = new TreeSet<>();
    recorded
        .valuesByPartition()
        .forEach(
            (partition, value) -> {
              String otherValue = replayed.valuesByPartition().get(partition);
              if (otherValue != null && !otherValue.equals(value)) {
                partitions.add(partition);
              }
            });
    return partitions;
  }

  private String findCause(ObservedScan scan, ScanResult recorded, ScanResult replayed) {
    if (!differingPartitions(recorded, replayed).isEmpty()) {
      return "a value differs: the store is not in the recorded state";
    }
    if (replayed.outcome() == ScanOutcome.INCOMPLETE) {
      return "the replay ended before its answer";
    }
    if (replayed.sendLateness().compareTo(maxLateness) > 0) {
      return "the tool sent it late";
    }
    Duration timeLimit = Duration.ofMillis(scan.remainingMs());
    if (isNearDeadline(recorded, timeLimit) || isNearDeadline(replayed, timeLimit)) {
      return "an answer close to the end of its client's time: open by nature";
    }
    if (replayed.holdDelay().compareTo(maxLateness) > 0) {
      return "held back by the answer before it on its connection";
    }
    if (replayed.outcome() == ScanOutcome.NACKED) {
      return "turned away in the replay: more load or less trust than recorded";
    }
    if (recorded.outcome() == ScanOutcome.NACKED) {
      return "turned away when recorded, and taken in the replay";
    }
    if (replayed.outcome() == ScanOutcome.SCRAPPED) {
      return "given up in the replay: its parts or their holders failed";
    }
    if (recorded.outcome() == ScanOutcome.SCRAPPED) {
      return "given up when recorded, and answered in the replay";
    }
    if (recorded.outcome() == ScanOutcome.LEFT || replayed.outcome() == ScanOutcome.LEFT) {
      return "its client left in one of the two";
    }
    return "answered from other parts: some came or were sent in one run alone";
  }

  private static boolean isNearDeadline(ScanResult result, Duration timeLimit) {
    return !timeLimit.isZero()
        && result.responseTime().toNanos() > NEAR_DEADLINE_SHARE * timeLimit.toNanos();
  }

  public long comparedCount() {
    return comparedCount;
  }

  public long agreedCount() {
    return agreedCount;
  }

  /** Scans whose outcome the recording does not show. */
  public long notComparedCount() {
    return notComparedCount;
  }

  /** The share that agrees; 1 where nothing was compared. */
  public double agreement() {
    return comparedCount == 0 ? 1 : (double) agreedCount / comparedCount;
  }

  /** Recorded fates, and for each the fates of the replay with how many. */
  public Map<ScanOutcome, Map<ScanOutcome, Long>> outcomeTable() {
    return outcomeTable;
  }

  public Map<String, Long> countsByCause() {
    return countsByCause;
  }

  public List<Difference> differences() {
    return differences;
  }
}
