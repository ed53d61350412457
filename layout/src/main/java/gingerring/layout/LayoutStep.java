package gingerring.layout;

import java.util.List;

/** One change of a layout: it makes {@link #version} out of the version before. */
public sealed interface LayoutStep {
  long version();

  /** One folio becomes several, which together have its keys. */
  record Split(long version, PartitionId from, List<Partition> into) implements LayoutStep {
    public Split {
      into = List.copyOf(into);
    }
  }

  /** Several folios become one, which has their keys and these holders. */
  record Merge(long version, List<PartitionId> from, PartitionId into, List<BoxId> holders)
      implements LayoutStep {
    public Merge {
      from = List.copyOf(from);
      holders = List.copyOf(holders);
    }
  }

  /** A holder's copy begins to move to a box that is none: until it has, the holder goes on. */
  record MoveBegins(long version, PartitionId partition, BoxId source, BoxId successor)
      implements LayoutStep {}

  /** The successor holds the folio now, and the source does not. */
  record MoveEnds(long version, PartitionId partition) implements LayoutStep {}

  /** A move was given up: the holders stay as they are. */
  record MoveFails(long version, PartitionId partition) implements LayoutStep {}
}
