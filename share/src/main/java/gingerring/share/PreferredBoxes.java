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
  private final int keep;
  private final int places;
  private final int reach;
  private Collection<ListedBox> listed = List.of();
  private final Set<BoxId> distrusted = new HashSet<>();
  private Set<BoxId> preferred;
  private long moved;

  /**
   * {@code keep}: holders preferred of each folio; {@code places}: cells of the ring; {@code
   * reach}: how many cells from a folio's own on hold it.
   */
  public PreferredBoxes(MixerId self, int keep, int places, int reach) {
    if (keep < 1 || places < 1 || reach < 1) {
      throw new IllegalArgumentException(
          "keep " + keep + ", places " + places + ", reach " + reach);
    }
    this.self = self;
    this.keep = keep;
    this.places = places;
    this.reach = reach;
  }

  public void update(Collection<ListedBox> boxes) {
    listed = List.copyOf(boxes);
    distrusted.retainAll(listed.stream().map(each -> each.box().id()).toList());
    chooseAnew();
  }

  public void exclude(BoxId box) {
    if (distrusted.add(box)) {
      chooseAnew();
    }
  }

  public void include(BoxId box) {
    if (distrusted.remove(box)) {
      chooseAnew();
    }
  }

  private void chooseAnew() {
    Map<Integer, List<BoxId>> cells = new TreeMap<>();
    List<Box> trusted =
        listed.stream()
            .filter(each -> !distrusted.contains(each.box().id()))
            .map(ListedBox::box)
            .toList();
    for (int folio = 0; folio < places; folio++) {
      int first = folio;
      cells.put(
          folio,
          listed.stream()
              .filter(each -> Math.floorMod(each.cell() - first, places) < reach)
              .map(each -> each.box().id())
              .toList());
    }
    Set<BoxId> chosen =
        trusted.isEmpty() ? null : new SubsetSelector(trusted, cells.values(), keep).select(self);
    if (preferred != null && chosen != null) {
      moved += chosen.stream().filter(each -> !preferred.contains(each)).count();
    }
    preferred = chosen;
  }

  public boolean prefers(BoxId box) {
    return preferred == null || preferred.contains(box);
  }

  /** How many are preferred now; -1 while all are. */
  public int size() {
    return preferred == null ? -1 : preferred.size();
  }

  /** Boxes taken up over all changes: connections that had to be made for them. */
  public long moved() {
    return moved;
  }
}
