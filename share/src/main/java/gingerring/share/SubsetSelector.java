package gingerring.share;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Selects the boxes that a mixer prefers: few enough to bound its connections, and of each
 * partition as many holders as retries need, in two zones where possible. Each mixer visits the
 * boxes in an order of its own, from a weighted hash of mixer and box by the box's size; adds each
 * box that some partition still needs; and then removes, in reverse order, each box that no
 * partition needs. Over many mixers a box is preferred in proportion to its size, and a box that
 * joins or leaves changes few selections, since the order of all others stays.
 *
 * <p>To replace boxes that it does not trust, a mixer leaves them out of {@code boxes}: other
 * holders of the same partitions are selected instead. A box that holds no partition is never
 * preferred; a partition whose holders are all left out has no preferred holder.
 *
 * <p>Cost: O(b log b + sum over boxes of the partitions each holds, times their holders); memory of
 * the same order.
 */
public final class SubsetSelector {
  private final int holdersPerPartition;
  private final Map<BoxId, Box> boxes = new HashMap<>();
  private final List<List<BoxId>> partitions = new ArrayList<>();
  private final Map<BoxId, List<Integer>> partitionsByBox = new HashMap<>();

  /**
   * {@code partitions}: the holders of each partition; holders that are not among the boxes are
   * ignored. {@code holdersPerPartition}: how many holders of each partition are preferred, or all
   * where the partition has fewer; at least one.
   */
  public SubsetSelector(
      Collection<Box> boxes,
      Collection<? extends Collection<BoxId>> partitions,
      int holdersPerPartition) {
    if (holdersPerPartition < 1) {
      throw new IllegalArgumentException(
          "holders per partition is " + holdersPerPartition + ", must be 1 or more");
    }
    this.holdersPerPartition = holdersPerPartition;
    for (Box box : boxes) {
      if (this.boxes.put(box.id(), box) != null) {
        throw new IllegalArgumentException("box " + box.id().number() + " is listed twice");
      }
    }
    for (Collection<BoxId> holders : partitions) {
      List<BoxId> known = holders.stream().filter(this.boxes::containsKey).distinct().toList();
      for (BoxId holder : known) {
        partitionsByBox
            .computeIfAbsent(holder, id -> new ArrayList<>())
            .add(this.partitions.size());
      }
      this.partitions.add(known);
    }
  }

  /** Selects the boxes that a mixer prefers, in that mixer's order. */
  public Set<BoxId> select(MixerId mixer) {
    List<BoxId> order = new ArrayList<>(partitionsByBox.keySet());
    Map<BoxId, Double> hashes = new HashMap<>();
    order.forEach(
        id ->
            hashes.put(
                id,
                RendezvousHash.weightedHash(mixer.number(), id.number(), boxes.get(id).size())));
    order.sort(Comparator.<BoxId>comparingDouble(hashes::get).thenComparingLong(BoxId::number));
    Set<BoxId> selected = new LinkedHashSet<>();
    for (BoxId id : order) {
      if (partitionsByBox.get(id).stream()
          .anyMatch(partition -> needs(partitions.get(partition), selected, id))) {
        selected.add(id);
      }
    }
    for (int i = order.size() - 1; i >= 0; i--) {
      BoxId id = order.get(i);
      if (selected.remove(id)
          && !partitionsByBox.get(id).stream()
              .allMatch(partition -> isCovered(partitions.get(partition), selected))) {
        selected.add(id);
      }
    }
    order.retainAll(selected);
    return new LinkedHashSet<>(order);
  }

  /** Whether adding the candidate brings the partition closer to its required holders or zones. */
  private boolean needs(List<BoxId> holders, Set<BoxId> selected, BoxId candidate) {
    int count = 0;
    Set<Integer> zones = new HashSet<>();
    for (BoxId holder : holders) {
      if (selected.contains(holder)) {
        count++;
        zones.add(boxes.get(holder).zone());
      }
    }
    boolean newZone =
        zones.size() < requiredZones(holders) && !zones.contains(boxes.get(candidate).zone());
    return count < Math.min(holdersPerPartition, holders.size()) || newZone;
  }

  private boolean isCovered(List<BoxId> holders, Set<BoxId> selected) {
    List<BoxId> selectedHolders = holders.stream().filter(selected::contains).toList();
    long zones = selectedHolders.stream().map(id -> boxes.get(id).zone()).distinct().count();
    return selectedHolders.size() >= Math.min(holdersPerPartition, holders.size())
        && zones >= requiredZones(holders);
  }

  /**
   * The number of zones that a partition's preferred holders have to span: two where possible, one
   * if a single holder is preferred.
   */
  private int requiredZones(List<BoxId> holders) {
    long zones = holders.stream().map(id -> boxes.get(id).zone()).distinct().count();
    return (int) Math.min(Math.min(2, holdersPerPartition), zones);
  }
}
