package gingerring.layout;

import java.util.List;

/**
 * A partition in one layout version: its key ranges in ascending order, the boxes that hold it, and
 * a move that is in progress. A move copies the partition from {@code source}, one of the holders,
 * to {@code successor}; both are null if the partition is not moving.
 */
public record Partition(
    PartitionId id, List<KeyRange> ranges, List<BoxId> holders, BoxId source, BoxId successor) {
  public Partition {
    ranges = List.copyOf(ranges);
    holders = List.copyOf(holders);
  }

  public Partition(PartitionId id, List<KeyRange> ranges, List<BoxId> holders) {
    this(id, ranges, holders, null, null);
  }

  public boolean isMoving() {
    return successor != null;
  }

  public double weight() {
    return ranges.stream().mapToDouble(KeyRange::weight).sum();
  }
}
