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
 * Generates random layout steps, and provides a slow reference model that stores the owner of every
 * key and applies steps key by key, without key ranges.
 */
final class RandomLayouts {
  static final int KEYS = 48;

  /** Reference model: the owner and weight of every key, and the holders of every partition. */
  static final class KeyModel {
    long version;
    final int[] owner = new int[KEYS];
    final double[] weight = new double[KEYS];
    final Map<Integer, Set<BoxId>> holders = new HashMap<>();
    final Map<Integer, BoxId[]> moves = new HashMap<>();

    KeyModel copy() {
      KeyModel copy = new KeyModel();
      copy.version = version;
      System.arraycopy(owner, 0, copy.owner, 0, KEYS);
      System.arraycopy(weight, 0, copy.weight, 0, KEYS);
      copy.holders.putAll(holders);
      copy.moves.putAll(moves);
      return copy;
    }

    /**
     * Returns the model after a step, or null if the step does not fit or would leave a key with
     * two owners or none.
     */
    KeyModel apply(LayoutStep step) {
      KeyModel next = copy();
      next.version++;
      if (step.version() != next.version) {
        return null;
      }
      if (step instanceof LayoutStep.Split split) {
        return next.split(split) ? next : null;
      } else if (step instanceof LayoutStep.Merge merge) {
        return next.merge(merge) ? next : null;
      } else if (step instanceof LayoutStep.MoveBegins begins) {
        int id = begins.partition().number();
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
          step instanceof LayoutStep.MoveEnds ends
              ? ends.partition().number()
              : ((LayoutStep.MoveFails) step).partition().number();
      BoxId[] move = next.moves.remove(id);
      if (move == null) {
        return null;
      }
      if (step instanceof LayoutStep.MoveEnds) {
        Set<BoxId> newHolders = new HashSet<>(holders.get(id));
        newHolders.remove(move[0]);
        newHolders.add(move[1]);
        next.holders.put(id, newHolders);
      }
      return next;
    }

    private boolean split(LayoutStep.Split split) {
      int from = split.from().number();
      if (!holders.containsKey(from) || moves.containsKey(from) || split.into().size() < 2) {
        return false;
      }
      double oldWeight = 0;
      for (int key = 0; key < KEYS; key++) {
        oldWeight += owner[key] == from ? weight[key] : 0;
      }
      holders.remove(from);
      Set<Integer> assignedKeys = new HashSet<>();
      double newWeight = 0;
      for (Partition partition : split.into()) {
        int id = partition.id().number();
        if (holders.containsKey(id)
            || partition.holders().isEmpty()
            || new HashSet<>(partition.holders()).size() < partition.holders().size()
            || partition.ranges().isEmpty()) {
          return false;
        }
        holders.put(id, new HashSet<>(partition.holders()));
        for (KeyRange range : partition.ranges()) {
          for (long key = range.from(); key < range.to(); key++) {
            if (key >= KEYS || owner[(int) key] != from || !assignedKeys.add((int) key)) {
              return false;
            }
          }
        }
      }
      for (Partition partition : split.into()) {
        for (KeyRange range : partition.ranges()) {
          newWeight += range.weight();
          for (long key = range.from(); key < range.to(); key++) {
            owner[(int) key] = partition.id().number();
            weight[(int) key] = range.weight() / (range.to() - range.from());
          }
        }
      }
      for (int key = 0; key < KEYS; key++) {
        if (owner[key] == from && !assignedKeys.contains(key)) {
          return false;
        }
      }
      return Math.abs(newWeight - oldWeight) <= 1e-6 * oldWeight;
    }

    private boolean merge(LayoutStep.Merge merge) {
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

  private RandomLayouts() {}

  static BoxId box(int number) {
    return new BoxId("box-" + number);
  }

  static List<BoxId> randomHolders(SplittableRandom random) {
    Set<BoxId> boxes = new HashSet<>();
    while (boxes.size() < 3) {
      boxes.add(box(random.nextInt(8)));
    }
    return boxes.stream().sorted().toList();
  }

  /**
   * Returns a layout of four partitions with equal numbers of keys, and initialises the model to
   * match.
   */
  static Layout initialLayout(KeyModel model) {
    List<Partition> partitions = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      int from = i * KEYS / 4;
      int to = (i + 1) * KEYS / 4;
      List<BoxId> holders = List.of(box(i), box(i + 1), box(i + 2));
      partitions.add(
          new Partition(new PartitionId(i), List.of(new KeyRange(from, to, 1 + i)), holders));
      for (int key = from; key < to; key++) {
        model.owner[key] = i;
        model.weight[key] = (1.0 + i) / (to - from);
      }
      model.holders.put(i, new HashSet<>(holders));
    }
    try {
      return Layout.of(0, KEYS, partitions);
    } catch (LayoutException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Returns a random step. About one step in three is invalid. */
  static LayoutStep randomStep(Layout layout, int[] nextId, SplittableRandom random) {
    List<Partition> partitions = new ArrayList<>(layout.partitions());
    partitions.sort(Comparator.comparing(Partition::id));
    Partition partition = partitions.get(random.nextInt(partitions.size()));
    long version = layout.version() + (random.nextInt(20) == 0 ? random.nextInt(4) : 1);
    switch (random.nextInt(5)) {
      case 0:
        return new LayoutStep.MoveBegins(
            version,
            partition.id(),
            random.nextInt(8) == 0
                ? box(9)
                : partition.holders().get(random.nextInt(partition.holders().size())),
            box(random.nextInt(10)));
      case 1:
        return random.nextBoolean()
            ? new LayoutStep.MoveEnds(version, partition.id())
            : new LayoutStep.MoveFails(version, partition.id());
      case 2:
        List<PartitionId> from = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
          from.add(partitions.get(random.nextInt(partitions.size())).id());
        }
        PartitionId into =
            new PartitionId(random.nextInt(4) == 0 ? partition.id().number() : nextId[0]++);
        return new LayoutStep.Merge(
            version, from, into, random.nextInt(10) == 0 ? List.of() : randomHolders(random));
      default:
        return randomSplit(version, partition, nextId, random);
    }
  }

  private static LayoutStep randomSplit(
      long version, Partition partition, int[] nextId, SplittableRandom random) {
    // runs of keys go to randomly chosen new partitions
    int count = 2 + random.nextInt(2);
    List<List<KeyRange>> rangesByPart = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      rangesByPart.add(new ArrayList<>());
    }
    for (KeyRange range : partition.ranges()) {
      long start = range.from();
      while (start < range.to()) {
        long end = Math.min(range.to(), start + 1 + random.nextInt(8));
        rangesByPart.get(random.nextInt(count)).add(range.intersect(start, end));
        start = end;
      }
    }
    if (random.nextInt(6) == 0
        && !rangesByPart.get(0).isEmpty()) { // invalid: a range is missing, duplicated or too long
      KeyRange last = rangesByPart.get(0).get(rangesByPart.get(0).size() - 1);
      switch (random.nextInt(3)) {
        case 0 -> rangesByPart.get(0).remove(last);
        case 1 -> rangesByPart.get(1).add(last);
        default ->
            rangesByPart
                .get(0)
                .set(
                    rangesByPart.get(0).size() - 1,
                    new KeyRange(last.from(), last.to() + 1, last.weight()));
      }
    }
    List<Partition> into = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      List<KeyRange> sortedRanges = new ArrayList<>(rangesByPart.get(i));
      sortedRanges.sort(Comparator.comparingLong(KeyRange::from));
      PartitionId id =
          i == 0 && random.nextBoolean() ? partition.id() : new PartitionId(nextId[0]++);
      into.add(new Partition(id, sortedRanges, randomHolders(random)));
    }
    return new LayoutStep.Split(version, partition.id(), into);
  }

  static int[] owners(Layout layout) {
    int[] owners = new int[KEYS];
    Arrays.setAll(owners, key -> layout.owner(key).number());
    return owners;
  }
}
