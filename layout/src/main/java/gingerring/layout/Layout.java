package gingerring.layout;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.pcollections.HashPMap;
import org.pcollections.HashTreePMap;
import org.pcollections.TreePMap;

/**
 * One version of which folio holds which keys: immutable. Every key from 0 up to {@link #keys} has
 * one owner. A step makes the next version, sharing all but what it changes: a change costs O(log
 * n) time and memory for each folio that it names, and {@link #owner} O(log n).
 */
public final class Layout {
  /** Folios and slices of a layout, at most. */
  public static final int FOLIOS_MOST = 1 << 21;

  private static final double ROUNDING = 1e-6;

  /** What stands at a slice's first key. */
  private record Place(KeyRange slice, PartitionId folio) {}

  private final long version;
  private final long keys;
  private final TreePMap<Long, Place> places;
  private final HashPMap<PartitionId, Partition> folios;

  private Layout(
      long version,
      long keys,
      TreePMap<Long, Place> places,
      HashPMap<PartitionId, Partition> folios) {
    this.version = version;
    this.keys = keys;
    this.places = places;
    this.folios = folios;
  }

  /** A whole list; refused unless every key from 0 up to {@code keys} has one owner. */
  public static Layout of(long version, long keys, Collection<Partition> list)
      throws LayoutException {
    if (version < 0 || keys <= 0) {
      throw new LayoutException("version " + version + " of " + keys + " keys cannot be");
    }
    if (list.size() > FOLIOS_MOST) {
      throw new LayoutException("more than " + FOLIOS_MOST + " folios");
    }
    HashPMap<PartitionId, Partition> folios = HashTreePMap.empty();
    List<Place> all = new ArrayList<>();
    for (Partition folio : list) {
      if (folios.containsKey(folio.id())) {
        throw new LayoutException(folio.id() + " stands there twice");
      }
      check(folio);
      folios = folios.plus(folio.id(), folio);
      folio.ranges().forEach(slice -> all.add(new Place(slice, folio.id())));
    }
    all.sort(Comparator.comparingLong(place -> place.slice.from()));
    TreePMap<Long, Place> places = TreePMap.empty();
    long at = 0;
    for (Place place : all) {
      if (place.slice.from() != at) {
        throw new LayoutException(
            place.slice.from() > at
                ? "keys "
                    + at
                    + " to "
                    + place.slice.from()
                    + " have no owner, before "
                    + place.folio
                : place.folio + ": keys " + place.slice.from() + " to " + at + " have two owners");
      }
      at = place.slice.to();
      places = places.plus(place.slice.from(), place);
    }
    if (at != keys) {
      throw new LayoutException(
          "keys "
              + Math.min(at, keys)
              + " to "
              + Math.max(at, keys)
              + (at < keys ? " have no owner" : " are beyond the last"));
    }
    return new Layout(version, keys, places, folios);
  }

  private static void check(Partition folio) throws LayoutException {
    if (folio.ranges().isEmpty()) {
      throw new LayoutException(folio.id() + " has no keys");
    }
    for (int i = 1; i < folio.ranges().size(); i++) {
      if (folio.ranges().get(i).from() < folio.ranges().get(i - 1).to()) {
        throw new LayoutException(
            folio.id()
                + ": its slices "
                + folio.ranges().get(i - 1)
                + " and "
                + folio.ranges().get(i)
                + " are out of order or overlap");
      }
    }
    if (folio.holders().isEmpty()
        || new HashSet<>(folio.holders()).size() != folio.holders().size()) {
      throw new LayoutException(folio.id() + " has no holder, or one twice");
    }
    if ((folio.source() == null) != (folio.successor() == null)
        || folio.moving()
            && (!folio.holders().contains(folio.source())
                || folio.holders().contains(folio.successor()))) {
      throw new LayoutException(folio.id() + " moves from no holder, or to one");
    }
  }

  /** The next version; refused whole where a step does not fit this one. */
  public Layout apply(Step step) throws LayoutException {
    if (step.version() != version + 1) {
      throw new LayoutException("step " + step.version() + " does not follow version " + version);
    }
    if (step instanceof Step.Split split) {
      return split(split);
    } else if (step instanceof Step.Merge merge) {
      return merge(merge);
    } else if (step instanceof Step.MoveBegins begins) {
      Partition folio = still(step, begins.folio());
      return with(
          step,
          new Partition(
              folio.id(), folio.ranges(), folio.holders(), begins.source(), begins.successor()));
    } else if (step instanceof Step.MoveEnds ends) {
      Partition folio = moving(step, ends.folio());
      List<BoxId> holders = new ArrayList<>(folio.holders());
      holders.set(holders.indexOf(folio.source()), folio.successor());
      return with(step, new Partition(folio.id(), folio.ranges(), holders));
    }
    Partition folio = moving(step, ((Step.MoveFails) step).folio());
    return with(step, new Partition(folio.id(), folio.ranges(), folio.holders()));
  }

  private Layout split(Step.Split split) throws LayoutException {
    Partition from = still(split, split.from());
    if (split.into().size() < 2) {
      throw new LayoutException(
          "step " + split.version() + ": a split of " + from.id() + " into fewer than two");
    }
    HashPMap<PartitionId, Partition> next = folios.minus(from.id());
    TreePMap<Long, Place> nextPlaces = places;
    for (KeyRange slice : from.ranges()) {
      nextPlaces = nextPlaces.minus(slice.from());
    }
    List<KeyRange> all = new ArrayList<>();
    for (Partition folio : split.into()) {
      check(folio);
      if (folio.moving()) {
        throw new LayoutException(
            "step " + split.version() + ": " + folio.id() + " moves before it is there");
      }
      // the old folio's number may go on with one of the new
      if (next.containsKey(folio.id())) {
        throw new LayoutException(
            "step " + split.version() + ": " + folio.id() + " is there already");
      }
      next = next.plus(folio.id(), folio);
      for (KeyRange slice : folio.ranges()) {
        nextPlaces = nextPlaces.plus(slice.from(), new Place(slice, folio.id()));
        all.add(slice);
      }
    }
    same(split, from, all);
    return new Layout(split.version(), keys, nextPlaces, next);
  }

  /** The new slices cover the old ones' keys, each once, and weigh as much. */
  private static void same(Step step, Partition from, List<KeyRange> into) throws LayoutException {
    List<KeyRange> sorted = new ArrayList<>(into);
    sorted.sort(Comparator.comparingLong(KeyRange::from));
    int at = 0;
    for (KeyRange old : from.ranges()) {
      long key = old.from();
      while (key < old.to()) {
        if (at == sorted.size() || sorted.get(at).from() != key) {
          throw new LayoutException(
              "step "
                  + step.version()
                  + ": of "
                  + from.id()
                  + "'s keys, "
                  + key
                  + " to "
                  + (at == sorted.size() ? old.to() : sorted.get(at).from())
                  + " would have no owner or two");
        }
        key = sorted.get(at++).to();
      }
      if (key != old.to()) {
        throw new LayoutException(
            "step "
                + step.version()
                + ": keys "
                + old.to()
                + " to "
                + key
                + " are not "
                + from.id()
                + "'s");
      }
    }
    if (at != sorted.size()) {
      throw new LayoutException(
          "step " + step.version() + ": keys " + sorted.get(at) + " are not " + from.id() + "'s");
    }
    double weight = into.stream().mapToDouble(KeyRange::weight).sum();
    if (Math.abs(weight - from.weight()) > ROUNDING * from.weight()) {
      throw new LayoutException(
          "step "
              + step.version()
              + ": "
              + from.id()
              + " weighs "
              + from.weight()
              + ", what it becomes "
              + weight);
    }
  }

  private Layout merge(Step.Merge merge) throws LayoutException {
    if (merge.from().size() < 2 || new HashSet<>(merge.from()).size() != merge.from().size()) {
      throw new LayoutException(
          "step " + merge.version() + ": a merge of fewer than two folios, or of one twice");
    }
    HashPMap<PartitionId, Partition> next = folios;
    List<KeyRange> slices = new ArrayList<>();
    for (PartitionId id : merge.from()) {
      slices.addAll(still(merge, id).ranges());
      next = next.minus(id);
    }
    slices.sort(Comparator.comparingLong(KeyRange::from));
    if (next.containsKey(merge.into())) {
      throw new LayoutException(
          "step " + merge.version() + ": " + merge.into() + " is there already");
    }
    Partition folio = new Partition(merge.into(), slices, merge.holders());
    check(folio);
    TreePMap<Long, Place> nextPlaces = places;
    for (KeyRange slice : slices) {
      nextPlaces = nextPlaces.plus(slice.from(), new Place(slice, folio.id()));
    }
    return new Layout(merge.version(), keys, nextPlaces, next.plus(folio.id(), folio));
  }

  private Layout with(Step step, Partition folio) throws LayoutException {
    check(folio);
    return new Layout(step.version(), keys, places, folios.plus(folio.id(), folio));
  }

  private Partition there(Step step, PartitionId id) throws LayoutException {
    Partition folio = folios.get(id);
    if (folio == null) {
      throw new LayoutException("step " + step.version() + ": there is no " + id);
    }
    return folio;
  }

  private Partition still(Step step, PartitionId id) throws LayoutException {
    Partition folio = there(step, id);
    if (folio.moving()) {
      throw new LayoutException("step " + step.version() + ": " + id + " is moving");
    }
    return folio;
  }

  private Partition moving(Step step, PartitionId id) throws LayoutException {
    Partition folio = there(step, id);
    if (!folio.moving()) {
      throw new LayoutException("step " + step.version() + ": " + id + " is not moving");
    }
    return folio;
  }

  public long version() {
    return version;
  }

  /** Keys are from 0 up to, but not, this. */
  public long keys() {
    return keys;
  }

  public int size() {
    return folios.size();
  }

  public Optional<Partition> partition(PartitionId id) {
    return Optional.ofNullable(folios.get(id));
  }

  public Collection<Partition> partitions() {
    return folios.values();
  }

  /** The folio that holds a key. */
  public PartitionId owner(long key) {
    if (key < 0 || key >= keys) {
      throw new IllegalArgumentException("key " + key + " is not one of " + keys);
    }
    return places.floorEntry(key).getValue().folio;
  }

  /** The slices that a range of keys meets, in order, cut to it, each with its folio. */
  public List<Map.Entry<KeyRange, PartitionId>> over(long from, long to) {
    List<Map.Entry<KeyRange, PartitionId>> met = new ArrayList<>();
    Map.Entry<Long, Place> first = places.floorEntry(Math.max(0, from));
    if (first == null || to <= from) {
      return met;
    }
    Place place = first.getValue();
    for (long at = from; place != null && place.slice.from() < to; ) {
      if (place.slice.to() > at) {
        met.add(Map.entry(place.slice.within(from, to), place.folio));
      }
      at = place.slice.to();
      place = places.get(at);
    }
    return met;
  }

  /** Boxes that hold anything, or are to. */
  public Set<BoxId> boxes() {
    Set<BoxId> boxes = new HashSet<>();
    for (Partition folio : folios.values()) {
      boxes.addAll(folio.holders());
      if (folio.moving()) {
        boxes.add(folio.successor());
      }
    }
    return boxes;
  }
}
