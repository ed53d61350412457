package gingerring.layout;

import com.google.common.collect.Range;
import com.google.common.collect.RangeSet;
import com.google.common.collect.TreeRangeMap;
import com.google.common.collect.TreeRangeSet;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * One scan's account by range of keys: what it asked, what is in, what is missing. A key counts
 * once, whichever folio brought it under whichever version; {@link #whole} and {@link #weight} are
 * judged on keys alone.
 *
 * <p>A box answers for ranges, and may tell its parts apart: then what is in already is left out
 * and the rest counts. Where it cannot, an answer that overlaps what is in is set aside, and the
 * rest has to be asked anew.
 */
public final class Ledger {
  /** One value that a box gave for a range of keys. */
  public record Entry(long from, long to, long value) {}

  /** What became of an answer: all of it counts, some, nothing new, or it cannot be cut. */
  public enum Taken {
    ALL,
    SOME,
    NOTHING,
    SET_ASIDE,
    STRANGE
  }

  private final RangeSet<Long> asked = TreeRangeSet.create();
  private final RangeSet<Long> in = TreeRangeSet.create();

  /** Weight by key: each range's share of the scan, as finely as it is known. */
  private final TreeRangeMap<Long, Double> density = TreeRangeMap.create();

  private final Map<Long, Entry> counted = new TreeMap<>();
  private double total;
  private double weighed;

  private static Range<Long> range(long from, long to) {
    return Range.closedOpen(from, to);
  }

  /**
   * The scan asks for this folio of the version that it began under, with this share of its weight.
   */
  public void ask(Partition folio, double share) {
    double all = folio.weight();
    for (KeyRange slice : folio.ranges()) {
      Range<Long> keys = range(slice.from(), slice.to());
      if (asked.intersects(keys)) {
        throw new IllegalArgumentException("keys " + slice + " asked twice");
      }
      asked.add(keys);
      density.put(keys, share * slice.weight() / all / (slice.to() - slice.from()));
    }
    total += share;
  }

  /**
   * A newer version knows better how what is missing weighs: of each range asked, the weight is
   * divided as that layout's slices have it. The sum stays; what is in keeps the weight that it
   * came with.
   */
  public void refine(Layout layout) {
    for (Map.Entry<Range<Long>, Double> piece : List.copyOf(density.asMapOfRanges().entrySet())) {
      long from = piece.getKey().lowerEndpoint();
      long to = piece.getKey().upperEndpoint();
      if (in.intersects(piece.getKey())) {
        continue;
      }
      List<Map.Entry<KeyRange, PartitionId>> over = layout.over(from, to);
      double all = over.stream().mapToDouble(each -> each.getKey().weight()).sum();
      if (over.size() > 1 && all > 0) {
        double weight = piece.getValue() * (to - from);
        for (Map.Entry<KeyRange, PartitionId> each : over) {
          KeyRange slice = each.getKey();
          density.put(
              range(slice.from(), slice.to()),
              weight * slice.weight() / all / (slice.to() - slice.from()));
        }
      }
    }
  }

  /** Folios of a layout that hold what is missing, each with the ranges to ask of it. */
  public Map<PartitionId, List<Range<Long>>> missing(Layout layout) {
    Map<PartitionId, List<Range<Long>>> folios = new TreeMap<>();
    for (Range<Long> keys : missing().asRanges()) {
      for (Map.Entry<KeyRange, PartitionId> each :
          layout.over(keys.lowerEndpoint(), keys.upperEndpoint())) {
        folios
            .computeIfAbsent(each.getValue(), id -> new ArrayList<>())
            .add(range(each.getKey().from(), each.getKey().to()));
      }
    }
    return folios;
  }

  private RangeSet<Long> missing() {
    RangeSet<Long> missing = TreeRangeSet.create(asked);
    missing.removeAll(in);
    return missing;
  }

  /**
   * A box has answered. {@code apart}: its entries can be counted one by one; else all of them or
   * none. An entry that is partly in is never cut itself, as its value is of all its keys.
   */
  public Taken answer(List<Entry> entries, boolean apart) {
    RangeSet<Long> its = TreeRangeSet.create();
    for (Entry entry : entries) {
      if (entry.from >= entry.to
          || its.intersects(range(entry.from, entry.to))
          || !asked.encloses(range(entry.from, entry.to))) {
        return Taken.STRANGE; // it answers what was not asked, or one thing twice
      }
      its.add(range(entry.from, entry.to));
    }
    List<Entry> fresh = new ArrayList<>();
    boolean cut = false;
    for (Entry entry : entries) {
      Range<Long> keys = range(entry.from, entry.to);
      if (!in.intersects(keys)) {
        fresh.add(entry);
      } else if (!in.encloses(keys)) {
        cut = true;
      }
    }
    boolean all = fresh.size() == entries.size();
    if (fresh.isEmpty() || !apart && !all) {
      return fresh.isEmpty() && !cut ? Taken.NOTHING : Taken.SET_ASIDE;
    }
    for (Entry entry : fresh) {
      Range<Long> keys = range(entry.from, entry.to);
      in.add(keys);
      counted.put(entry.from, entry);
      for (Map.Entry<Range<Long>, Double> piece :
          density.subRangeMap(keys).asMapOfRanges().entrySet()) {
        weighed +=
            piece.getValue() * (piece.getKey().upperEndpoint() - piece.getKey().lowerEndpoint());
      }
    }
    return all ? Taken.ALL : Taken.SOME;
  }

  /** The share of the scan's weight that is in. */
  public double weight() {
    return whole() ? total : weighed;
  }

  /** Every key that was asked is in. */
  public boolean whole() {
    return in.enclosesAll(asked);
  }

  /** What counts, in the order of keys. */
  public List<Entry> counted() {
    return List.copyOf(counted.values());
  }

  /** The sum of what counts: each provider's hours once. */
  public long sum() {
    return counted.values().stream().mapToLong(Entry::value).sum();
  }
}
