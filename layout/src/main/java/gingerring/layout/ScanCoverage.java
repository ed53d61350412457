package gingerring.layout;

import com.google.common.collect.Range;
import com.google.common.collect.RangeSet;
import com.google.common.collect.TreeRangeMap;
import com.google.common.collect.TreeRangeSet;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Tracks by key range which keys of one scan have been requested, received and are missing. A key
 * counts once, whichever partition and layout version delivered it; {@link #isComplete} and {@link
 * #receivedWeight} depend on keys alone.
 *
 * <p>A box answers with values for key ranges. If the values are separable, those for keys that
 * were received before are skipped and the rest is accepted. If they are not, an answer that
 * overlaps received keys is discarded, and its other keys have to be requested again.
 */
public final class ScanCoverage {
  /** The value that a box returned for a key range. */
  public record RangeValue(long from, long to, long value) {}

  /**
   * How an answer was handled: accepted in full, accepted in part, already received, discarded
   * because it overlaps received keys, or invalid.
   */
  public enum AnswerResult {
    ACCEPTED,
    PARTLY_ACCEPTED,
    DUPLICATE,
    OVERLAP_DISCARDED,
    INVALID
  }

  private final RangeSet<Long> requested = TreeRangeSet.create();
  private final RangeSet<Long> received = TreeRangeSet.create();

  /** Weight per key, as a share of the scan, for each segment in which the weight is uniform. */
  private final TreeRangeMap<Long, Double> weightPerKey = TreeRangeMap.create();

  private final Map<Long, RangeValue> acceptedByStart = new TreeMap<>();
  private double requestedWeight;
  private double receivedWeight;

  private static Range<Long> keyRange(long from, long to) {
    return Range.closedOpen(from, to);
  }

  /**
   * Adds a partition of the scan's initial layout version to the request.
   *
   * @param share the partition's share of the scan's weight
   */
  public void request(Partition partition, double share) {
    double partitionWeight = partition.weight();
    for (KeyRange range : partition.ranges()) {
      Range<Long> keys = keyRange(range.from(), range.to());
      if (requested.intersects(keys)) {
        throw new IllegalArgumentException("keys " + range + " requested twice");
      }
      requested.add(keys);
      weightPerKey.put(
          keys, share * range.weight() / partitionWeight / (range.to() - range.from()));
    }
    requestedWeight += share;
  }

  /**
   * Refines the weights of the missing keys by a newer layout: the weight of each requested segment
   * is distributed as the layout's key ranges have it. The sum does not change, and received keys
   * keep the weight that they were counted with.
   */
  public void refineWeights(Layout layout) {
    for (Map.Entry<Range<Long>, Double> segment :
        List.copyOf(weightPerKey.asMapOfRanges().entrySet())) {
      long from = segment.getKey().lowerEndpoint();
      long to = segment.getKey().upperEndpoint();
      if (received.intersects(segment.getKey())) {
        continue;
      }
      List<Map.Entry<KeyRange, PartitionId>> overlaps = layout.overlapping(from, to);
      double overlapWeight =
          overlaps.stream().mapToDouble(overlap -> overlap.getKey().weight()).sum();
      if (overlaps.size() > 1 && overlapWeight > 0) {
        double segmentWeight = segment.getValue() * (to - from);
        for (Map.Entry<KeyRange, PartitionId> overlap : overlaps) {
          KeyRange range = overlap.getKey();
          weightPerKey.put(
              keyRange(range.from(), range.to()),
              segmentWeight * range.weight() / overlapWeight / (range.to() - range.from()));
        }
      }
    }
  }

  /** Returns the partitions of a layout that hold missing keys, each with the missing ranges. */
  public Map<PartitionId, List<Range<Long>>> missing(Layout layout) {
    Map<PartitionId, List<Range<Long>>> rangesByPartition = new TreeMap<>();
    for (Range<Long> keys : missing().asRanges()) {
      for (Map.Entry<KeyRange, PartitionId> overlap :
          layout.overlapping(keys.lowerEndpoint(), keys.upperEndpoint())) {
        rangesByPartition
            .computeIfAbsent(overlap.getValue(), id -> new ArrayList<>())
            .add(keyRange(overlap.getKey().from(), overlap.getKey().to()));
      }
    }
    return rangesByPartition;
  }

  private RangeSet<Long> missing() {
    RangeSet<Long> missing = TreeRangeSet.create(requested);
    missing.removeAll(received);
    return missing;
  }

  /**
   * Handles an answer from a box. A value that is partly received is never split, because it covers
   * all of its keys.
   *
   * @param separable whether the values can be accepted one by one; otherwise either all are
   *     accepted or none
   */
  public AnswerResult acceptAnswer(List<RangeValue> values, boolean separable) {
    RangeSet<Long> answered = TreeRangeSet.create();
    for (RangeValue value : values) {
      if (value.from >= value.to
          || answered.intersects(keyRange(value.from, value.to))
          || !requested.encloses(keyRange(value.from, value.to))) {
        return AnswerResult.INVALID; // contains unrequested keys, or a key twice
      }
      answered.add(keyRange(value.from, value.to));
    }
    List<RangeValue> unseen = new ArrayList<>();
    boolean partlyReceived = false;
    for (RangeValue value : values) {
      Range<Long> keys = keyRange(value.from, value.to);
      if (!received.intersects(keys)) {
        unseen.add(value);
      } else if (!received.encloses(keys)) {
        partlyReceived = true;
      }
    }
    boolean allUnseen = unseen.size() == values.size();
    if (unseen.isEmpty() || !separable && !allUnseen) {
      return unseen.isEmpty() && !partlyReceived
          ? AnswerResult.DUPLICATE
          : AnswerResult.OVERLAP_DISCARDED;
    }
    for (RangeValue value : unseen) {
      Range<Long> keys = keyRange(value.from, value.to);
      received.add(keys);
      acceptedByStart.put(value.from, value);
      for (Map.Entry<Range<Long>, Double> segment :
          weightPerKey.subRangeMap(keys).asMapOfRanges().entrySet()) {
        receivedWeight +=
            segment.getValue()
                * (segment.getKey().upperEndpoint() - segment.getKey().lowerEndpoint());
      }
    }
    return allUnseen ? AnswerResult.ACCEPTED : AnswerResult.PARTLY_ACCEPTED;
  }

  /** Returns the share of the scan's weight that has been received. */
  public double receivedWeight() {
    return isComplete() ? requestedWeight : receivedWeight;
  }

  /** Returns whether every requested key has been received. */
  public boolean isComplete() {
    return received.enclosesAll(requested);
  }

  /** Returns the accepted values in key order. */
  public List<RangeValue> acceptedValues() {
    return List.copyOf(acceptedByStart.values());
  }

  /** Returns the sum of the accepted values; each provider's hours count once. */
  public long sum() {
    return acceptedByStart.values().stream().mapToLong(RangeValue::value).sum();
  }
}
