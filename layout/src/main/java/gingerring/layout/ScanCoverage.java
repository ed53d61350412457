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
 * One scan's account by range of keys: what it asked, what is in, what is missing. A key counts
 * once, whichever folio brought it under whichever version; {@link #isComplete} and {@link
 * #receivedWeight} are judged on keys alone.
 *
 * <p>A box answers for ranges, and may tell its parts apart: then what is in already is left out
 * and the rest counts. Where it cannot, an answer that overlaps what is in is set aside, and the
 * rest has to be asked anew.
 */
public final class ScanCoverage {
  /** One value that a box gave for a range of keys. */
  public record RangeValue(long from, long to, long value) {}

  /** What became of an answer: all of it counts, some, nothing new, or it cannot be cut. */
  public enum AnswerResult {
    ACCEPTED,
    PARTLY_ACCEPTED,
    DUPLICATE,
    OVERLAP_DISCARDED,
    INVALID
  }

  private final RangeSet<Long> requested = TreeRangeSet.create();
  private final RangeSet<Long> received = TreeRangeSet.create();

  /** Weight by key: each range's share of the scan, as finely as it is known. */
  private final TreeRangeMap<Long, Double> weightPerKey = TreeRangeMap.create();

  private final Map<Long, RangeValue> acceptedByStart = new TreeMap<>();
  private double requestedWeight;
  private double receivedWeight;

  private static Range<Long> keyRange(long from, long to) {
    return Range.closedOpen(from, to);
  }

  /**
   * The scan asks for this folio of the version that it began under, with this share of its weight.
   */
  public void request(Partition partition, double share) {
    double partitionWeight = partition.weight();
    for (KeyRange range : partition.ranges()) {
      Range<Long> keys = keyRange(range.from(), range.to());
      if (requested.intersects(keys)) {
        throw new IllegalArgumentException("keys " + range + " asked twice");
      }
      requested.add(keys);
      weightPerKey.put(
          keys, share * range.weight() / partitionWeight / (range.to() - range.from()));
    }
    requestedWeight += share;
  }

  /**
   * A newer version knows better how what is missing weighs: of each range asked, the weight is
   * divided as that layout's slices have it. The sum stays; what is in keeps the weight that it
   * came with.
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

  /** Folios of a layout that hold what is missing, each with the ranges to ask of it. */
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
   * A box has answered. {@code apart}: its entries can be counted one by one; else all of them or
   * none. An entry that is partly in is never cut itself, as its value is of all its keys.
   */
  public AnswerResult acceptAnswer(List<RangeValue> values, boolean separable) {
    RangeSet<Long> answered = TreeRangeSet.create();
    for (RangeValue value : values) {
      if (value.from >= value.to
          || answered.intersects(keyRange(value.from, value.to))
          || !requested.encloses(keyRange(value.from, value.to))) {
        return AnswerResult.INVALID; // it answers what was not asked, or one thing twice
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

  /** The share of the scan's weight that is in. */
  public double receivedWeight() {
    return isComplete() ? requestedWeight : receivedWeight;
  }

  /** Every key that was asked is in. */
  public boolean isComplete() {
    return received.enclosesAll(requested);
  }

  /** What counts, in the order of keys. */
  public List<RangeValue> acceptedValues() {
    return List.copyOf(acceptedByStart.values());
  }

  /** The sum of what counts: each provider's hours once. */
  public long sum() {
    return acceptedByStart.values().stream().mapToLong(RangeValue::value).sum();
  }
}
