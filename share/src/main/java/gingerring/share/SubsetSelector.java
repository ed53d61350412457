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
  private final int keep;
  private final Map<BoxId, Box> boxes = new HashMap<>();
  private final List<List<BoxId>> folios = new ArrayList<>();
  private final Map<BoxId, List<Integer>> held = new HashMap<>();

  /**
   * {@code folios}: the holders of each, of which those that are not among the boxes are passed
   * over. {@code keep}: so many holders of each folio are preferred, or all where it has fewer; at
   * least one.
   */
  public SubsetSelector(
      Collection<Box> boxes, Collection<? extends Collection<BoxId>> folios, int keep) {
    if (keep < 1) {
      throw new IllegalArgumentException("keep is " + keep + ", and has to be 1 or more");
    }
    this.keep = keep;
    for (Box box : boxes) {
      if (this.boxes.put(box.id(), box) != null) {
        throw new IllegalArgumentException("box " + box.id().number() + " stands there twice");
      }
    }
    for (Collection<BoxId> holders : folios) {
      List<BoxId> known = holders.stream().filter(this.boxes::containsKey).distinct().toList();
      for (BoxId holder : known) {
        held.computeIfAbsent(holder, id -> new ArrayList<>()).add(this.folios.size());
      }
      this.folios.add(known);
    }
  }

  /** The boxes that a mixer prefers, the first drawn first. */
  public Set<BoxId> select(MixerId mixer) {
    List<BoxId> order = new ArrayList<>(held.keySet());
    Map<BoxId, Double> draws = new HashMap<>();
    order.forEach(
        id ->
            draws.put(
                id,
                RendezvousHash.weightedHash(mixer.number(), id.number(), boxes.get(id).size())));
    order.sort(Comparator.<BoxId>comparingDouble(draws::get).thenComparingLong(BoxId::number));
    Set<BoxId> chosen = new LinkedHashSet<>();
    for (BoxId id : order) {
      if (held.get(id).stream().anyMatch(folio -> wants(folios.get(folio), chosen, id))) {
        chosen.add(id);
      }
    }
    for (int i = order.size() - 1; i >= 0; i--) {
      BoxId id = order.get(i);
      if (chosen.remove(id)
          && !held.get(id).stream().allMatch(folio -> served(folios.get(folio), chosen))) {
        chosen.add(id);
      }
    }
    order.retainAll(chosen);
    return new LinkedHashSet<>(order);
  }

  /** Whether one more of its holders would bring the folio nearer to what it is to have. */
  private boolean wants(List<BoxId> holders, Set<BoxId> chosen, BoxId next) {
    int count = 0;
    Set<Integer> zones = new HashSet<>();
    for (BoxId holder : holders) {
      if (chosen.contains(holder)) {
        count++;
        zones.add(boxes.get(holder).zone());
      }
    }
    boolean newZone = zones.size() < zonesOf(holders) && !zones.contains(boxes.get(next).zone());
    return count < Math.min(keep, holders.size()) || newZone;
  }

  private boolean served(List<BoxId> holders, Set<BoxId> chosen) {
    List<BoxId> mine = holders.stream().filter(chosen::contains).toList();
    long zones = mine.stream().map(id -> boxes.get(id).zone()).distinct().count();
    return mine.size() >= Math.min(keep, holders.size()) && zones >= zonesOf(holders);
  }

  /**
   * In how many zones a folio's preferred holders have to stand: two where it can be, one for a
   * single one.
   */
  private int zonesOf(List<BoxId> holders) {
    long there = holders.stream().map(id -> boxes.get(id).zone()).distinct().count();
    return (int) Math.min(Math.min(2, keep), there);
  }
}
