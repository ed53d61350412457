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
 * Compares the results of scans one by one. Two results agree if both have the same outcome and the
 * same partitions, and no value present in both differs. Each difference is given one cause, the
 * first that applies in {@link #findCause}. Scans whose result the recording does not show are not
 * compared.
 */
public final class Comparison {
  /** A scan whose results differ. */
  public record Difference(
      String transactionId,
      String serviceClass,
      ScanResult recorded,
      ScanResult replayed,
      String cause) {}

  /** How many differences are kept for display; all are counted. */
  public static final int MAX_DIFFERENCES = 1000;

  /**
   * A response that takes more than this share of its client's time limit counts as close to the
   * limit.
   */
  private static final double NEAR_DEADLINE_SHARE = 0.9;

  private final Duration maxLateness;
  private final Map<ScanOutcome, Map<ScanOutcome, Long>> outcomeTable =
      new EnumMap<>(ScanOutcome.class);
  private final Map<String, Long> countsByCause = new TreeMap<>();
  private final List<Difference> differences = new ArrayList<>();
  private long comparedCount;
  private long agreedCount;
  private long notComparedCount;

  /**
   * {@code maxLateness}: a difference is attributed to the tool if the tool sent the scan later
   * than this.
   */
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

  /** The share of compared scans that agree; 1 if none was compared. */
  public double agreement() {
    return comparedCount == 0 ? 1 : (double) agreedCount / comparedCount;
  }

  /** For each recorded outcome, how often each replayed outcome occurred. */
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
