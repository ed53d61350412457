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
 * Which boxes a mixer prefers: few enough that connections are bounded, and of each folio so many
 * holders as retries need, in two zones where that can be had. Each mixer takes the boxes in an
 * order of its own, drawn by size for each pair of mixer and box; takes each that some folio still
 * wants; and then drops, the last first, what no folio misses. So over many mixers a box is
 * preferred in proportion to its size, and a box that comes or goes moves little, since the order
 * of all others stays.
 *
 * <p>A mixer widens by leaving out of {@code boxes} what it does not trust: the others of that
 * folio stand in. A box that no folio lists is never preferred; a folio whose holders are all left
 * out stays without one.
 *
 * <p>Cost: O(b log b + sum over boxes of the folios each holds, times their holders); memory of the
 * same order.
 */
public final class SubsetSelector {
  private final int holdersPerPartition;
  private final Map<BoxId, Box> boxes = new HashMap<>();
  private final List<List<BoxId>> partitions = new ArrayList<>();
  private final Map<BoxId, List<Integer>> partitionsByBox = new HashMap<>();

  /**
   * {@code folios}: the holders of each, of which those that are not among the boxes are passed
   * over. {@code keep}: so many holders of each folio are preferred, or all where it has fewer; at
   * least one.
   */
  public SubsetSelector(
      Collection<Box> boxes,
      Collection<? extends Collection<BoxId>> partitions,
      int holdersPerPartition) {
    if (holdersPerPartition < 1) {
      throw new IllegalArgumentException(
          "keep is " + holdersPerPartition + ", and has to be 1 or more");
    }
    this.holdersPerPartition = holdersPerPartition;
    for (Box box : boxes) {
      if (this.boxes.put(box.id(), box) != null) {
        throw new IllegalArgumentException("box " + box.id().number() + " stands there twice");
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

  /** The boxes that a mixer prefers, the first drawn first. */
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

  /** Whether one more of its holders would bring the folio nearer to what it is to have. */
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
   * In how many zones a folio's preferred holders have to stand: two where it can be, one for a
   * single one.
   */
  private int requiredZones(List<BoxId> holders) {
    long zones = holders.stream().map(id -> boxes.get(id).zone()).distinct().count();
    return (int) Math.min(Math.min(2, holdersPerPartition), zones);
  }
}
