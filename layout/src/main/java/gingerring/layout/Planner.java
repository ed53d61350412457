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
 * Plans the steps from one layout to another: first splits, then moves in waves, then merges. Every
 * step is applied as it is planned, so no key is ever without an owner; no box is copied to by more
 * than so many moves at a time, which is what a cold successor can take; and folios are merged only
 * where the same boxes hold them.
 *
 * <p>Weights stay as they were: a plan changes who holds what, not how it weighs. What no steps can
 * do is refused: a number that would name other keys, a folio that would only change its number,
 * another number of holders.
 */
public final class Planner {
  private final Layout to;
  private final int atOnce;
  private final List<Step> steps = new ArrayList<>();

  /** Folios as they stand between splits and merges, with what they are to be part of. */
  private final Map<PartitionId, PartitionId> targets = new TreeMap<>();

  private Layout now;
  private int numbers;

  private Planner(Layout from, Layout to, int atOnce) {
    now = from;
    this.to = to;
    this.atOnce = atOnce;
    for (Layout layout : List.of(from, to)) {
      for (Partition folio : layout.partitions()) {
        numbers = Math.max(numbers, folio.id().number() + 1);
      }
    }
  }

  /** {@code atOnce}: moves that copy to one box at a time, 1 or more. */
  public static List<Step> plan(Layout from, Layout to, int atOnce) throws LayoutException {
    if (atOnce < 1) {
      throw new LayoutException("no move at a time: " + atOnce);
    }
    if (from.keys() != to.keys()) {
      throw new LayoutException("one layout has " + from.keys() + " keys, the other " + to.keys());
    }
    for (Layout layout : List.of(from, to)) {
      for (Partition folio : layout.partitions()) {
        if (folio.moving()) {
          throw new LayoutException(
              folio.id() + " of version " + layout.version() + " is moving: that has to end first");
        }
      }
    }
    Planner planner = new Planner(from, to, atOnce);
    planner.split();
    planner.move();
    planner.merge();
    return planner.steps;
  }

  private void step(Step step) throws LayoutException {
    now = now.apply(step);
    steps.add(step);
  }

  private static List<Partition> sorted(Layout layout) {
    List<Partition> folios = new ArrayList<>(layout.partitions());
    folios.sort(Comparator.comparing(Partition::id));
    return folios;
  }

  /** Cuts each folio where its keys go to different ones. */
  private void split() throws LayoutException {
    Map<PartitionId, Integer> pieces = new HashMap<>();
    Map<PartitionId, Map<PartitionId, List<KeyRange>>> cuts = new TreeMap<>();
    for (Partition folio : sorted(now)) {
      Map<PartitionId, List<KeyRange>> parts = new TreeMap<>();
      for (KeyRange slice : folio.ranges()) {
        for (Map.Entry<KeyRange, PartitionId> each : to.over(slice.from(), slice.to())) {
          parts
              .computeIfAbsent(each.getValue(), id -> new ArrayList<>())
              .add(slice.within(each.getKey().from(), each.getKey().to()));
        }
      }
      parts.keySet().forEach(id -> pieces.merge(id, 1, Integer::sum));
      cuts.put(folio.id(), parts);
      if (to.partition(folio.id()).isPresent() && !parts.containsKey(folio.id())) {
        throw new LayoutException(folio.id() + " would name other keys");
      }
    }
    for (Map.Entry<PartitionId, Map<PartitionId, List<KeyRange>>> cut : cuts.entrySet()) {
      Partition folio = now.partition(cut.getKey()).orElseThrow();
      if (cut.getValue().size() == 1) {
        PartitionId target = cut.getValue().keySet().iterator().next();
        if (!target.equals(folio.id()) && pieces.get(target) == 1) {
          throw new LayoutException(
              folio.id() + " would only change its number, to " + target.number());
        }
        targets.put(folio.id(), target);
        continue;
      }
      List<Partition> into = new ArrayList<>();
      for (Map.Entry<PartitionId, List<KeyRange>> part : cut.getValue().entrySet()) {
        PartitionId target = part.getKey();
        // what stays keeps its number; what is alone in its target has that one's at once
        PartitionId id =
            target.equals(folio.id()) || pieces.get(target) == 1
                ? target
                : new PartitionId(numbers++);
        into.add(new Partition(id, part.getValue(), folio.holders()));
        targets.put(id, target);
      }
      step(new Step.Split(now.version() + 1, folio.id(), into));
    }
  }

  /** Moves holders in waves, each box copied to by so many at a time. */
  private void move() throws LayoutException {
    Map<PartitionId, Deque<BoxId[]>> moves = new TreeMap<>();
    for (Partition folio : sorted(now)) {
      Partition target = to.partition(targets.get(folio.id())).orElseThrow();
      List<BoxId> sources = new ArrayList<>(folio.holders());
      sources.removeAll(target.holders());
      List<BoxId> successors = new ArrayList<>(target.holders());
      successors.removeAll(folio.holders());
      if (sources.size() != successors.size()) {
        throw new LayoutException(
            target.id()
                + " would have "
                + target.holders().size()
                + " holders, and has "
                + folio.holders().size());
      }
      Deque<BoxId[]> mine = new ArrayDeque<>();
      for (int i = 0; i < sources.size(); i++) {
        mine.add(new BoxId[] {sources.get(i), successors.get(i)});
      }
      if (!mine.isEmpty()) {
        moves.put(folio.id(), mine);
      }
    }
    while (!moves.isEmpty()) {
      Map<BoxId, Integer> copying = new HashMap<>();
      List<PartitionId> begun = new ArrayList<>();
      for (Map.Entry<PartitionId, Deque<BoxId[]>> each : moves.entrySet()) {
        BoxId[] move = each.getValue().peek();
        if (copying.merge(move[1], 1, Integer::sum) <= atOnce) {
          step(new Step.MoveBegins(now.version() + 1, each.getKey(), move[0], move[1]));
          begun.add(each.getKey());
        }
      }
      for (PartitionId id : begun) {
        step(new Step.MoveEnds(now.version() + 1, id));
        moves.get(id).poll();
        if (moves.get(id).isEmpty()) {
          moves.remove(id);
        }
      }
    }
  }

  private void merge() throws LayoutException {
    Map<PartitionId, List<PartitionId>> parts = new TreeMap<>();
    targets.forEach((id, target) -> parts.computeIfAbsent(target, t -> new ArrayList<>()).add(id));
    for (Map.Entry<PartitionId, List<PartitionId>> each : parts.entrySet()) {
      if (each.getValue().size() > 1) {
        Set<BoxId> holders = new HashSet<>(to.partition(each.getKey()).orElseThrow().holders());
        for (PartitionId part : each.getValue()) {
          assert holders.equals(new HashSet<>(now.partition(part).orElseThrow().holders())) : part;
        }
        step(
            new Step.Merge(
                now.version() + 1,
                each.getValue(),
                each.getKey(),
                to.partition(each.getKey()).orElseThrow().holders()));
      }
    }
  }
}
