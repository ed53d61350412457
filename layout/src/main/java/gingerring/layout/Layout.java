package gingerring.layout;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.pcollections.HashPMap;
import org.pcollections.HashTreePMap;
import org.pcollections.TreePMap;

/**
 * One immutable version of the layout: which partition holds which keys. Every key from 0
 * (inclusive) to {@link #keys} (exclusive) has exactly one owner. A step creates the next version,
 * which shares all unchanged data: a step costs O(log n) time and memory for each partition that it
 * names, and {@link #owner} costs O(log n).
 */
public final class Layout {
  /** Maximum number of partitions in a layout. */
  public static final int MAX_PARTITIONS = 1 << 21;

  private static final double WEIGHT_TOLERANCE = 1e-6;

  /** A key range with the partition that owns it. */
  private record OwnedRange(KeyRange range, PartitionId owner) {}

  private final long version;
  private final long keys;
  private final TreePMap<Long, OwnedRange> rangesByStart;
  private final HashPMap<PartitionId, Partition> partitions;

  private Layout(
      long version,
      long keys,
      TreePMap<Long, OwnedRange> rangesByStart,
      HashPMap<PartitionId, Partition> partitions) {
    this.version = version;
    this.keys = keys;
    this.rangesByStart = rangesByStart;
    this.partitions = partitions;
  }

  /**
   * Creates a layout.
   *
   * @throws LayoutException unless every key from 0 to {@code keys} has exactly one owner
   */
  public static Layout of(long version, long keys, Collection<Partition> partitionList)
      throws LayoutException {
    if (version < 0 || keys <= 0) {
      throw new LayoutException("version " + version + " of " + keys + " keys cannot be");
    }
    if (partitionList.size() > MAX_PARTITIONS) {
      throw new LayoutException("more than " + MAX_PARTITIONS + " folios");
    }
    HashPMap<PartitionId, Partition> partitions = HashTreePMap.empty();
    List<OwnedRange> ownedRanges = new ArrayList<>();
    for (Partition partition : partitionList) {
      if (partitions.containsKey(partition.id())) {
        throw new LayoutException(partition.id() + " stands there twice");
      }
      validate(partition);
      partitions = partitions.plus(partition.id(), partition);
      partition.ranges().forEach(range -> ownedRanges.add(new OwnedRange(range, partition.id())));
    }
    ownedRanges.sort(Comparator.comparingLong(ownedRange -> ownedRange.range.from()));
    TreePMap<Long, OwnedRange> rangesByStart = TreePMap.empty();
    long expectedStart = 0;
    for (OwnedRange ownedRange : ownedRanges) {
      if (ownedRange.range.from() != expectedStart) {
        throw new LayoutException(
            ownedRange.range.from() > expectedStart
                ? "keys "
                    + expectedStart
                    + " to "
                    + ownedRange.range.from()
                    + " have no owner, before "
                    + ownedRange.owner
                : ownedRange.owner
                    + ": keys "
                    + ownedRange.range.from()
                    + " to "
                    + expectedStart
                    + " have two owners");
      }
      expectedStart = ownedRange.range.to();
      rangesByStart = rangesByStart.plus(ownedRange.range.from(), ownedRange);
    }
    if (expectedStart != keys) {
      throw new LayoutException(
          "keys "
              + Math.min(expectedStart, keys)
              + " to "
              + Math.max(expectedStart, keys)
              + (expectedStart < keys ? " have no owner" : " are beyond the last"));
    }
    return new Layout(version, keys, rangesByStart, partitions);
  }

  private static void validate(Partition partition) throws LayoutException {
    if (partition.ranges().isEmpty()) {
      throw new LayoutException(partition.id() + " has no keys");
    }
    for (int i = 1; i < partition.ranges().size(); i++) {
      if (partition.ranges().get(i).from() < partition.ranges().get(i - 1).to()) {
        throw new LayoutException(
            partition.id()
                + ": its slices "
                + partition.ranges().get(i - 1)
                + " and "
                + partition.ranges().get(i)
                + " are out of order or overlap");
      }
    }
    if (partition.holders().isEmpty()
        || new HashSet<>(partition.holders()).size() != partition.holders().size()) {
      throw new LayoutException(partition.id() + " has no holder, or one twice");
    }
    if ((partition.source() == null) != (partition.successor() == null)
        || partition.isMoving()
            && (!partition.holders().contains(partition.source())
                || partition.holders().contains(partition.successor()))) {
      throw new LayoutException(partition.id() + " moves from no holder, or to one");
    }
  }

  /**
   * Returns the next version.
   *
   * @throws LayoutException if the step does not fit this version; no part of it is applied then
   */
  public Layout apply(LayoutStep step) throws LayoutException {
    if (step.version() != version + 1) {
      throw new LayoutException("step " + step.version() + " does not follow version " + version);
    }
    if (step instanceof LayoutStep.Split split) {
      return split(split);
    } else if (step instanceof LayoutStep.Merge merge) {
      return merge(merge);
    } else if (step instanceof LayoutStep.MoveBegins begins) {
      Partition partition = requireNotMoving(step, begins.partition());
      return withPartition(
          step,
          new Partition(
              partition.id(),
              partition.ranges(),
              partition.holders(),
              begins.source(),
              begins.successor()));
    } else if (step instanceof LayoutStep.MoveEnds ends) {
      Partition partition = requireMoving(step, ends.partition());
      List<BoxId> holders = new ArrayList<>(partition.holders());
      holders.set(holders.indexOf(partition.source()), partition.successor());
      return withPartition(step, new Partition(partition.id(), partition.ranges(), holders));
    }
    Partition partition = requireMoving(step, ((LayoutStep.MoveFails) step).partition());
    return withPartition(
        step, new Partition(partition.id(), partition.ranges(), partition.holders()));
  }

  private Layout split(LayoutStep.Split split) throws LayoutException {
    Partition original = requireNotMoving(split, split.from());
    if (split.into().size() < 2) {
      throw new LayoutException(
          "step " + split.version() + ": a split of " + original.id() + " into fewer than two");
    }
    HashPMap<PartitionId, Partition> nextPartitions = partitions.minus(original.id());
    TreePMap<Long, OwnedRange> nextRanges = rangesByStart;
    for (KeyRange range : original.ranges()) {
      nextRanges = nextRanges.minus(range.from());
    }
    List<KeyRange> newRanges = new ArrayList<>();
    for (Partition partition : split.into()) {
      validate(partition);
      if (partition.isMoving()) {
        throw new LayoutException(
            "step " + split.version() + ": " + partition.id() + " moves before it is there");
      }
      // one of the new partitions may keep the original's number
      if (nextPartitions.containsKey(partition.id())) {
        throw new LayoutException(
            "step " + split.version() + ": " + partition.id() + " is there already");
      }
      nextPartitions = nextPartitions.plus(partition.id(), partition);
      for (KeyRange range : partition.ranges()) {
        nextRanges = nextRanges.plus(range.from(), new OwnedRange(range, partition.id()));
        newRanges.add(range);
      }
    }
    requireSameKeysAndWeight(split, original, newRanges);
    return new Layout(split.version(), keys, nextRanges, nextPartitions);
  }

  /**
   * Requires that the new ranges cover the original partition's keys exactly once and have the same
   * total weight.
   */
  private static void requireSameKeysAndWeight(
      LayoutStep step, Partition original, List<KeyRange> newRanges) throws LayoutException {
    List<KeyRange> sorted = new ArrayList<>(newRanges);
    sorted.sort(Comparator.comparingLong(KeyRange::from));
    int index = 0;
    for (KeyRange oldRange : original.ranges()) {
      long nextKey = oldRange.from();
      while (nextKey < oldRange.to()) {
        if (index == sorted.size() || sorted.get(index).from() != nextKey) {
          throw new LayoutException(
              "step "
                  + step.version()
                  + ": of "
                  + original.id()
                  + "'s keys, "
                  + nextKey
                  + " to "
                  + (index == sorted.size() ? oldRange.to() : sorted.get(index).from())
                  + " would have no owner or two");
        }
        nextKey = sorted.get(index++).to();
      }
      if (nextKey != oldRange.to()) {
        throw new LayoutException(
            "step "
                + step.version()
                + ": keys "
                + oldRange.to()
                + " to "
                + nextKey
                + " are not "
                + original.id()
                + "'s");
      }
    }
    if (index != sorted.size()) {
      throw new LayoutException(
          "step "
              + step.version()
              + ": keys "
              + sorted.get(index)
              + " are not "
              + original.id()
              + "'s");
    }
    double newWeight = newRanges.stream().mapToDouble(KeyRange::weight).sum();
    if (Math.abs(newWeight - original.weight()) > WEIGHT_TOLERANCE * original.weight()) {
      throw new LayoutException(
          "step "
              + step.version()
              + ": "
              + original.id()
              + " weighs "
              + original.weight()
              + ", what it becomes "
              + newWeight);
    }
  }

  private Layout merge(LayoutStep.Merge merge) throws LayoutException {
    if (merge.from().size() < 2 || new HashSet<>(merge.from()).size() != merge.from().size()) {
      throw new LayoutException(
          "step " + merge.version() + ": a merge of fewer than two folios, or of one twice");
    }
    HashPMap<PartitionId, Partition> nextPartitions = partitions;
    List<KeyRange> ranges = new ArrayList<>();
    for (PartitionId id : merge.from()) {
      ranges.addAll(requireNotMoving(merge, id).ranges());
      nextPartitions = nextPartitions.minus(id);
    }
    ranges.sort(Comparator.comparingLong(KeyRange::from));
    if (nextPartitions.containsKey(merge.into())) {
      throw new LayoutException(
          "step " + merge.version() + ": " + merge.into() + " is there already");
    }
    Partition partition = new Partition(merge.into(), ranges, merge.holders());
    validate(partition);
    TreePMap<Long, OwnedRange> nextRanges = rangesByStart;
    for (KeyRange range : ranges) {
      nextRanges = nextRanges.plus(range.from(), new OwnedRange(range, partition.id()));
    }
    return new Layout(
        merge.version(), keys, nextRanges, nextPartitions.plus(partition.id(), partition));
  }

  private Layout withPartition(LayoutStep step, Partition partition) throws LayoutException {
    validate(partition);
    return new Layout(
        step.version(), keys, rangesByStart, partitions.plus(partition.id(), partition));
  }

  private Partition requirePartition(LayoutStep step, PartitionId id) throws LayoutException {
    Partition partition = partitions.get(id);
    if (partition == null) {
      throw new LayoutException("step " + step.version() + ": there is no " + id);
    }
    return partition;
  }

  private Partition requireNotMoving(LayoutStep step, PartitionId id) throws LayoutException {
    Partition partition = requirePartition(step, id);
    if (partition.isMoving()) {
      throw new LayoutException("step " + step.version() + ": " + id + " is moving");
    }
    return partition;
  }

  private Partition requireMoving(LayoutStep step, PartitionId id) throws LayoutException {
    Partition partition = requirePartition(step, id);
    if (!partition.isMoving()) {
      throw new LayoutException("step " + step.version() + ": " + id + " is not moving");
    }
    return partition;
  }

  public long version() {
    return version;
  }

  /** Returns the number of keys; keys are numbered from 0. */
  public long keys() {
    return keys;
  }

  public int partitionCount() {
    return partitions.size();
  }

  public Optional<Partition> partition(PartitionId id) {
    return Optional.ofNullable(partitions.get(id));
  }

  public Collection<Partition> partitions() {
    return partitions.values();
  }

  /** Returns the partition that holds a key. */
  public PartitionId owner(long key) {
    if (key < 0 || key >= keys) {
      throw new IllegalArgumentException("key " + key + " is not one of " + keys);
    }
    return rangesByStart.floorEntry(key).getValue().owner;
  }

  /**
   * Returns the parts of all key ranges that overlap the keys from {@code from} to {@code to}, in
   * key order, each with its partition.
   */
  public List<Map.Entry<KeyRange, PartitionId>> overlapping(long from, long to) {
    List<Map.Entry<KeyRange, PartitionId>> overlaps = new ArrayList<>();
    Map.Entry<Long, OwnedRange> first = rangesByStart.floorEntry(Math.max(0, from));
    if (first == null || to <= from) {
      return overlaps;
    }
    OwnedRange ownedRange = first.getValue();
    for (long coveredUpTo = from; ownedRange != null && ownedRange.range.from() < to; ) {
      if (ownedRange.range.to() > coveredUpTo) {
        overlaps.add(Map.entry(ownedRange.range.intersect(from, to), ownedRange.owner));
      }
      coveredUpTo = ownedRange.range.to();
      ownedRange = rangesByStart.get(coveredUpTo);
    }
    return overlaps;
  }

  /** Returns the boxes that hold a partition or are the successor in a move. */
  public Set<BoxId> boxes() {
    Set<BoxId> boxes = new HashSet<>();
    for (Partition partition : partitions.values()) {
      boxes.addAll(partition.holders());
      if (partition.isMoving()) {
        boxes.add(partition.successor());
      }
    }
    return boxes;
  }
}
