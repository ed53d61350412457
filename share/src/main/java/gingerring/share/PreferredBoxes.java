package gingerring.share;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The boxes that one mixer prefers, kept up to date as the member list and the set of ejected boxes
 * change: a {@link SubsetSelector} over all boxes that are not excluded. Call {@link #update} for
 * each member list, {@link #exclude} and {@link #include} when a box is ejected and back, and
 * {@link #prefers} for each decision. Where a preferred box fails, other holders of its partitions
 * replace it at once; when that box is back, so is the earlier selection. Before the first list,
 * and with every box excluded, all boxes are preferred.
 */
public final class PreferredBoxes {
  /** A box and the cell of the ring that it stands in. */
  public record ListedBox(Box box, int cell) {}

  private final MixerId self;
  private final int holdersPerPartition;
  private final int cellCount;
  private final int cellsPerPartition;
  private Collection<ListedBox> listed = List.of();
  private final Set<BoxId> excluded = new HashSet<>();
  private Set<BoxId> preferred;
  private long added;

  /**
   * {@code holdersPerPartition}: preferred holders of each partition; {@code cellCount}: cells of
   * the ring; {@code cellsPerPartition}: the number of cells, from a partition's own on, that hold
   * the partition.
   */
  public PreferredBoxes(
      MixerId self, int holdersPerPartition, int cellCount, int cellsPerPartition) {
    if (holdersPerPartition < 1 || cellCount < 1 || cellsPerPartition < 1) {
      throw new IllegalArgumentException(
          "holders per partition "
              + holdersPerPartition
              + ", cells "
              + cellCount
              + ", cells per partition "
              + cellsPerPartition);
    }
    this.self = self;
    this.holdersPerPartition = holdersPerPartition;
    this.cellCount = cellCount;
    this.cellsPerPartition = cellsPerPartition;
  }

  public void update(Collection<ListedBox> boxes) {
    listed = List.copyOf(boxes);
    excluded.retainAll(listed.stream().map(each -> each.box().id()).toList());
    reselect();
  }

  public void exclude(BoxId box) {
    if (excluded.add(box)) {
      reselect();
    }
  }

  public void include(BoxId box) {
    if (excluded.remove(box)) {
      reselect();
    }
  }

  private void reselect() {
    Map<Integer, List<BoxId>> holders = new TreeMap<>();
    List<Box> candidates =
        listed.stream()
            .filter(each -> !excluded.contains(each.box().id()))
            .map(ListedBox::box)
            .toList();
    for (int partition = 0; partition < cellCount; partition++) {
      int firstCell = partition;
      holders.put(
          partition,
          listed.stream()
              .filter(each -> Math.floorMod(each.cell() - firstCell, cellCount) < cellsPerPartition)
              .map(each -> each.box().id())
              .toList());
    }
    Set<BoxId> selected =
        candidates.isEmpty()
            ? null
            : new SubsetSelector(candidates, holders.values(), holdersPerPartition).select(self);
    if (preferred != null && selected != null) {
      added += selected.stream().filter(each -> !preferred.contains(each)).count();
    }
    preferred = selected;
  }

  public boolean prefers(BoxId box) {
    return preferred == null || preferred.contains(box);
  }

  /** The number of preferred boxes; -1 while all are preferred. */
  public int size() {
    return preferred == null ? -1 : preferred.size();
  }

  /** Boxes added to the selection over all changes, each of which cost new connections. */
  public long added() {
    return added;
  }
}
