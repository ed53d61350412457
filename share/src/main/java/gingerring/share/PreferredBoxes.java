package gingerring.share;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The boxes that one mixer prefers, as its list and its trust move: a {@link SubsetSelector} of all
 * that it trusts. Call {@link #update} for each list, {@link #exclude} and {@link #include} when a
 * box is benched and back, and ask {@link #prefers}. Where a box that it preferred fails, others of
 * that box's folios stand in at once; when it is back, so is the old choice. Before the first list,
 * and with nothing trusted, all are preferred.
 */
public final class PreferredBoxes {
  /** A box, and the cell of the ring that it stands in. */
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
   * {@code keep}: holders preferred of each folio; {@code places}: cells of the ring; {@code
   * reach}: how many cells from a folio's own on hold it.
   */
  public PreferredBoxes(
      MixerId self, int holdersPerPartition, int cellCount, int cellsPerPartition) {
    if (holdersPerPartition < 1 || cellCount < 1 || cellsPerPartition < 1) {
      throw new IllegalArgumentException(
          "keep " + holdersPerPartition + ", places " + cellCount + ", reach " + cellsPerPartition);
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

  /** How many are preferred now; -1 while all are. */
  public int size() {
    return preferred == null ? -1 : preferred.size();
  }

  /** Boxes taken up over all changes: connections that had to be made for them. */
  public long added() {
    return added;
  }
}
