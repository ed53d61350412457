package gingerring.layout;

import java.util.List;

/**
 * A folio of one version: its slices in the order of their keys, who holds it, and what is being
 * done to it. {@code successor} is the box that a move copies to, and {@code source} the one that
 * it takes it from; both are null unless it moves.
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
