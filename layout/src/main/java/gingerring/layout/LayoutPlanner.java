package gingerring.layout;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Plans the steps from one layout to another: first splits, then moves in waves, then merges.
 *
 * <p>Each step is applied as it is planned, so that every key has an owner at any time. The number
 * of simultaneous moves to one box is limited to what a cold successor can sustain. Partitions are
 * merged only if the same boxes hold them.
 *
 * <p>A plan changes which boxes hold which keys; it does not change weights. Targets that steps
 * cannot reach are rejected: a partition number that would get other keys, a partition that would
 * only change its number, or a different number of holders.
 */
public final class LayoutPlanner {
  private final Layout target;
  private final int maxConcurrentMoves;
  private final List<LayoutStep> steps = new ArrayList<>();

  /**
   * For each partition between the splits and the merges, the partition of the target layout that
   * it becomes a part of.
   */
  private final Map<PartitionId, PartitionId> targetIds = new TreeMap<>();

  private Layout current;
  private int nextId;

  private LayoutPlanner(Layout from, Layout target, int maxConcurrentMoves) {
    current = from;
    this.target = target;
    this.maxConcurrentMoves = maxConcurrentMoves;
    for (Layout layout : List.of(from, target)) {
      for (Partition partition : layout.partitions()) {
        nextId = Math.max(nextId, partition.id().number() + 1);
      }
    }
  }

  /**
   * Plans the steps between two layouts.
   *
   * @param maxConcurrentMoves the maximum number of simultaneous moves to one box, 1 or more
   * @throws LayoutException if steps cannot reach the target or a partition is moving
   */
  public static List<LayoutStep> plan(Layout from, Layout target, int maxConcurrentMoves)
      throws LayoutException {
    if (maxConcurrentMoves < 1) {
      throw new LayoutException("no move at a time: " + maxConcurrentMoves);
    }
    if (from.keys() != target.keys()) {
      throw new LayoutException(
          "one layout has " + from.keys() + " keys, the other " + target.keys());
    }
    for (Layout layout : List.of(from, target)) {
      for (Partition partition : layout.partitions()) {
        if (partition.isMoving()) {
          throw new LayoutException(
              partition.id()
                  + " of version "
                  + layout.version()
                  + " is moving: that has to end first");
        }
      }
    }
    LayoutPlanner planner = new LayoutPlanner(from, target, maxConcurrentMoves);
    planner.planSplits();
    planner.planMoves();
    planner.planMerges();
    return planner.steps;
  }

  private void addStep(LayoutStep step) throws LayoutException {
    current = current.apply(step);
    steps.add(step);
  }

  private static List<Partition> sortedById(Layout layout) {
    List<Partition> partitions = new ArrayList<>(layout.partitions());
    partitions.sort(Comparator.comparing(Partition::id));
    return partitions;
  }

  /** Splits each partition whose keys go to different target partitions. */
  private void planSplits() throws LayoutException {
    Map<PartitionId, Integer> pieceCounts = new HashMap<>();
    Map<PartitionId, Map<PartitionId, List<KeyRange>>> rangesByPartition = new TreeMap<>();
    for (Partition partition : sortedById(current)) {
      Map<PartitionId, List<KeyRange>> rangesByTarget = new TreeMap<>();
      for (KeyRange range : partition.ranges()) {
        for (Map.Entry<KeyRange, PartitionId> overlap :
            target.overlapping(range.from(), range.to())) {
          rangesByTarget
              .computeIfAbsent(overlap.getValue(), id -> new ArrayList<>())
              .add(range.intersect(overlap.getKey().from(), overlap.getKey().to()));
        }
      }
      rangesByTarget.keySet().forEach(id -> pieceCounts.merge(id, 1, Integer::sum));
      rangesByPartition.put(partition.id(), rangesByTarget);
      if (target.partition(partition.id()).isPresent()
          && !rangesByTarget.containsKey(partition.id())) {
        throw new LayoutException(partition.id() + " would name other keys");
      }
    }
    for (Map.Entry<PartitionId, Map<PartitionId, List<KeyRange>>> entry :
        rangesByPartition.entrySet()) {
      Partition partition = current.partition(entry.getKey()).orElseThrow();
      if (entry.getValue().size() == 1) {
        PartitionId targetId = entry.getValue().keySet().iterator().next();
        if (!targetId.equals(partition.id()) && pieceCounts.get(targetId) == 1) {
          throw new LayoutException(
              partition.id() + " would only change its number, to " + targetId.number());
        }
        targetIds.put(partition.id(), targetId);
        continue;
      }
      List<Partition> into = new ArrayList<>();
      for (Map.Entry<PartitionId, List<KeyRange>> piece : entry.getValue().entrySet()) {
        PartitionId targetId = piece.getKey();
        // a piece that stays keeps its number; the only piece of a target gets the target's number
        PartitionId id =
            targetId.equals(partition.id()) || pieceCounts.get(targetId) == 1
                ? targetId
                : new PartitionId(nextId++);
        into.add(new Partition(id, piece.getValue(), partition.holders()));
        targetIds.put(id, targetId);
      }
      addStep(new LayoutStep.Split(current.version() + 1, partition.id(), into));
    }
  }

  /** Moves holders in waves, with at most {@code maxConcurrentMoves} moves to one box in a wave. */
  private void planMoves() throws LayoutException {
    Map<PartitionId, Deque<BoxId[]>> movesByPartition = new TreeMap<>();
    for (Partition partition : sortedById(current)) {
      Partition targetPartition = target.partition(targetIds.get(partition.id())).orElseThrow();
      List<BoxId> sources = new ArrayList<>(partition.holders());
      sources.removeAll(targetPartition.holders());
      List<BoxId> successors = new ArrayList<>(targetPartition.holders());
      successors.removeAll(partition.holders());
      if (sources.size() != successors.size()) {
        throw new LayoutException(
            targetPartition.id()
                + " would have "
                + targetPartition.holders().size()
                + " holders, and has "
                + partition.holders().size());
      }
      Deque<BoxId[]> partitionMoves = new ArrayDeque<>();
      for (int i = 0; i < sources.size(); i++) {
        partitionMoves.add(new BoxId[] {sources.get(i), successors.get(i)});
      }
      if (!partitionMoves.isEmpty()) {
        movesByPartition.put(partition.id(), partitionMoves);
      }
    }
    while (!movesByPartition.isEmpty()) {
      Map<BoxId, Integer> moveCounts = new HashMap<>();
      List<PartitionId> startedMoves = new ArrayList<>();
      for (Map.Entry<PartitionId, Deque<BoxId[]>> entry : movesByPartition.entrySet()) {
        BoxId[] move = entry.getValue().peek();
        if (moveCounts.merge(move[1], 1, Integer::sum) <= maxConcurrentMoves) {
          addStep(
              new LayoutStep.MoveBegins(current.version() + 1, entry.getKey(), move[0], move[1]));
          startedMoves.add(entry.getKey());
        }
      }
      for (PartitionId id : startedMoves) {
        addStep(new LayoutStep.MoveEnds(current.version() + 1, id));
        movesByPartition.get(id).poll();
        if (movesByPartition.get(id).isEmpty()) {
          movesByPartition.remove(id);
        }
      }
    }
  }

  private void planMerges() throws LayoutException {
    Map<PartitionId, List<PartitionId>> piecesByTarget = new TreeMap<>();
    targetIds.forEach(
        (id, target) -> piecesByTarget.computeIfAbsent(target, t -> new ArrayList<>()).add(id));
    for (Map.Entry<PartitionId, List<PartitionId>> entry : piecesByTarget.entrySet()) {
      if (entry.getValue().size() > 1) {
        Set<BoxId> holders =
            new HashSet<>(target.partition(entry.getKey()).orElseThrow().holders());
        for (PartitionId pieceId : entry.getValue()) {
          assert holders.equals(new HashSet<>(current.partition(pieceId).orElseThrow().holders()))
              : pieceId;
        }
        addStep(
            new LayoutStep.Merge(
                current.version() + 1,
                entry.getValue(),
                entry.getKey(),
                target.partition(entry.getKey()).orElseThrow().holders()));
      }
    }
  }
}
