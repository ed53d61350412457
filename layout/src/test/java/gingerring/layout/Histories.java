package gingerring.layout;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Generated histories, and the slow plain model beside the layout: an owner for every key, written
 * out. The model takes a step apart key by key and knows nothing of slices.
 */
final class Histories {
  static final int KEYS = 48;

  /** Every key with its folio and its weight, and every folio's holders. */
  static final class Model {
    long version;
    final int[] owner = new int[KEYS];
    final double[] weight = new double[KEYS];
    final Map<Integer, Set<BoxId>> holders = new HashMap<>();
    final Map<Integer, BoxId[]> moves = new HashMap<>();

    Model copy() {
      Model copy = new Model();
      copy.version = version;
      System.arraycopy(owner, 0, copy.owner, 0, KEYS);
      System.arraycopy(weight, 0, copy.weight, 0, KEYS);
      copy.holders.putAll(holders);
      copy.moves.putAll(moves);
      return copy;
    }

    /**
     * The model after a step, or null where it would leave a key with two owners or none, or does
     * not fit.
     */
    Model after(Step step) {
      Model next = copy();
      next.version++;
      if (step.version() != next.version) {
        return null;
      }
      if (step instanceof Step.Split split) {
        return next.split(split) ? next : null;
      } else if (step instanceof Step.Merge merge) {
        return next.merge(merge) ? next : null;
      } else if (step instanceof Step.MoveBegins begins) {
        int id = begins.folio().number();
        if (!holders.containsKey(id)
            || moves.containsKey(id)
            || !holders.get(id).contains(begins.source())
            || holders.get(id).contains(begins.successor())) {
          return null;
        }
        next.moves.put(id, new BoxId[] {begins.source(), begins.successor()});
        return next;
      }
      int id =
          step instanceof Step.MoveEnds ends
              ? ends.folio().number()
              : ((Step.MoveFails) step).folio().number();
      BoxId[] move = next.moves.remove(id);
      if (move == null) {
        return null;
      }
      if (step instanceof Step.MoveEnds) {
        Set<BoxId> now = new HashSet<>(holders.get(id));
        now.remove(move[0]);
        now.add(move[1]);
        next.holders.put(id, now);
      }
      return next;
    }

    private boolean split(Step.Split split) {
      int from = split.from().number();
      if (!holders.containsKey(from) || moves.containsKey(from) || split.into().size() < 2) {
        return false;
      }
      double before = 0;
      for (int key = 0; key < KEYS; key++) {
        before += owner[key] == from ? weight[key] : 0;
      }
      holders.remove(from);
      Set<Integer> given = new HashSet<>();
      double after = 0;
      for (Partition folio : split.into()) {
        int id = folio.id().number();
        if (holders.containsKey(id)
            || folio.holders().isEmpty()
            || new HashSet<>(folio.holders()).size() < folio.holders().size()
            || folio.ranges().isEmpty()) {
          return false;
        }
        holders.put(id, new HashSet<>(folio.holders()));
        for (KeyRange slice : folio.ranges()) {
          for (long key = slice.from(); key < slice.to(); key++) {
            if (key >= KEYS || owner[(int) key] != from || !given.add((int) key)) {
              return false;
            }
          }
        }
      }
      for (Partition folio : split.into()) {
        for (KeyRange slice : folio.ranges()) {
          after += slice.weight();
          for (long key = slice.from(); key < slice.to(); key++) {
            owner[(int) key] = folio.id().number();
            weight[(int) key] = slice.weight() / (slice.to() - slice.from());
          }
        }
      }
      for (int key = 0; key < KEYS; key++) {
        if (owner[key] == from && !given.contains(key)) {
          return false;
        }
      }
      return Math.abs(after - before) <= 1e-6 * before;
    }

    private boolean merge(Step.Merge merge) {
      Set<PartitionId> from = new HashSet<>(merge.from());
      if (from.size() < 2
          || from.size() != merge.from().size()
          || merge.holders().isEmpty()
          || new HashSet<>(merge.holders()).size() != merge.holders().size()) {
        return false;
      }
      for (PartitionId id : from) {
        if (holders.remove(id.number()) == null || moves.containsKey(id.number())) {
          return false;
        }
      }
      if (holders.containsKey(merge.into().number())) {
        return false;
      }
      holders.put(merge.into().number(), new HashSet<>(merge.holders()));
      for (int key = 0; key < KEYS; key++) {
        if (from.contains(new PartitionId(owner[key]))) {
          owner[key] = merge.into().number();
        }
      }
      return true;
    }
  }

  private Histories() {}

  static BoxId box(int number) {
    return new BoxId("box-" + number);
  }

  static List<BoxId> boxes(SplittableRandom random) {
    Set<BoxId> boxes = new HashSet<>();
    while (boxes.size() < 3) {
      boxes.add(box(random.nextInt(8)));
    }
    return boxes.stream().sorted().toList();
  }

  /** Four folios that share the keys, and the model of that. */
  static Layout first(Model model) {
    List<Partition> folios = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      int from = i * KEYS / 4;
      int to = (i + 1) * KEYS / 4;
      List<BoxId> holders = List.of(box(i), box(i + 1), box(i + 2));
      folios.add(
          new Partition(new PartitionId(i), List.of(new KeyRange(from, to, 1 + i)), holders));
      for (int key = from; key < to; key++) {
        model.owner[key] = i;
        model.weight[key] = (1.0 + i) / (to - from);
      }
      model.holders.put(i, new HashSet<>(holders));
    }
    try {
      return Layout.of(0, KEYS, folios);
    } catch (LayoutException e) {
      throw new IllegalStateException(e);
    }
  }

  /** A step that may or may not fit; about one in three is spoilt in some way. */
  static Step step(Layout layout, int[] numbers, SplittableRandom random) {
    List<Partition> folios = new ArrayList<>(layout.partitions());
    folios.sort(Comparator.comparing(Partition::id));
    Partition one = folios.get(random.nextInt(folios.size()));
    long version = layout.version() + (random.nextInt(20) == 0 ? random.nextInt(4) : 1);
    switch (random.nextInt(5)) {
      case 0:
        return new Step.MoveBegins(
            version,
            one.id(),
            random.nextInt(8) == 0
                ? box(9)
                : one.holders().get(random.nextInt(one.holders().size())),
            box(random.nextInt(10)));
      case 1:
        return random.nextBoolean()
            ? new Step.MoveEnds(version, one.id())
            : new Step.MoveFails(version, one.id());
      case 2:
        List<PartitionId> from = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
          from.add(folios.get(random.nextInt(folios.size())).id());
        }
        PartitionId into =
            new PartitionId(random.nextInt(4) == 0 ? one.id().number() : numbers[0]++);
        return new Step.Merge(
            version, from, into, random.nextInt(10) == 0 ? List.of() : boxes(random));
      default:
        return split(version, one, numbers, random);
    }
  }

  private static Step split(long version, Partition one, int[] numbers, SplittableRandom random) {
    // each key goes to one of the new folios, in runs
    int count = 2 + random.nextInt(2);
    List<List<KeyRange>> slices = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      slices.add(new ArrayList<>());
    }
    for (KeyRange slice : one.ranges()) {
      long at = slice.from();
      while (at < slice.to()) {
        long end = Math.min(slice.to(), at + 1 + random.nextInt(8));
        slices.get(random.nextInt(count)).add(slice.within(at, end));
        at = end;
      }
    }
    if (random.nextInt(6) == 0
        && !slices.get(0).isEmpty()) { // spoilt: a slice lost, doubled, or made longer
      KeyRange last = slices.get(0).get(slices.get(0).size() - 1);
      switch (random.nextInt(3)) {
        case 0 -> slices.get(0).remove(last);
        case 1 -> slices.get(1).add(last);
        default ->
            slices
                .get(0)
                .set(
                    slices.get(0).size() - 1,
                    new KeyRange(last.from(), last.to() + 1, last.weight()));
      }
    }
    List<Partition> into = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      List<KeyRange> mine = new ArrayList<>(slices.get(i));
      mine.sort(Comparator.comparingLong(KeyRange::from));
      PartitionId id = i == 0 && random.nextBoolean() ? one.id() : new PartitionId(numbers[0]++);
      into.add(new Partition(id, mine, boxes(random)));
    }
    return new Step.Split(version, one.id(), into);
  }

  static int[] owners(Layout layout) {
    int[] owners = new int[KEYS];
    Arrays.setAll(owners, key -> layout.owner(key).number());
    return owners;
  }
}
