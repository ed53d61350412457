package gingerring.layout;

import java.util.List;

/** One change of a layout: it turns the version before {@link #version} into {@link #version}. */
public sealed interface LayoutStep {
  long version();

  /** Splits one partition into several that together have the same keys. */
  record Split(long version, PartitionId from, List<Partition> into) implements LayoutStep {
    public Split {
      into = List.copyOf(into);
    }
  }

  /** Merges several partitions into one, which has all their keys and the given holders. */
  record Merge(long version, List<PartitionId> from, PartitionId into, List<BoxId> holders)
      implements LayoutStep {
    public Merge {
      from = List.copyOf(from);
      holders = List.copyOf(holders);
    }
  }

  /**
   * Starts a move of a holder's copy to a box that is not a holder. The source remains a holder
   * until the move ends.
   */
  record MoveBegins(long version, PartitionId partition, BoxId source, BoxId successor)
      implements LayoutStep {}

  /** Completes a move: the successor replaces the source as a holder. */
  record MoveEnds(long version, PartitionId partition) implements LayoutStep {}

  /** Cancels a move: the holders do not change. */
  record MoveFails(long version, PartitionId partition) implements LayoutStep {}
}
