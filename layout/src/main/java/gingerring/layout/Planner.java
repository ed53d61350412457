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
  private final Map<FolioId, FolioId> targets = new TreeMap<>();

  private Layout now;
  private int numbers;

  private Planner(Layout from, Layout to, int atOnce) {
    now = from;
    this.to = to;
    this.atOnce = atOnce;
    for (Layout layout : List.of(from, to)) {
      for (Folio folio : layout.folios()) {
        numbers = Math.max(numbers, folio.id().number() + 1);
      }
    }
  }

  /** {@code atOnce}: moves that copy to one box at a time, 1 or more. */
  public static List<Step> plan(Layout from, Layout to, int atOnce) throws Refused {
    if (atOnce < 1) {
      throw new Refused("no move at a time: " + atOnce);
    }
    if (from.keys() != to.keys()) {
      throw new Refused("one layout has " + from.keys() + " keys, the other " + to.keys());
    }
    for (Layout layout : List.of(from, to)) {
      for (Folio folio : layout.folios()) {
        if (folio.moving()) {
          throw new Refused(
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

  private void step(Step step) throws Refused {
    now = now.apply(step);
    steps.add(step);
  }

  private static List<Folio> sorted(Layout layout) {
    List<Folio> folios = new ArrayList<>(layout.folios());
    folios.sort(Comparator.comparing(Folio::id));
    return folios;
  }

  /** Cuts each folio where its keys go to different ones. */
  private void split() throws Refused {
    Map<FolioId, Integer> pieces = new HashMap<>();
    Map<FolioId, Map<FolioId, List<Slice>>> cuts = new TreeMap<>();
    for (Folio folio : sorted(now)) {
      Map<FolioId, List<Slice>> parts = new TreeMap<>();
      for (Slice slice : folio.slices()) {
        for (Map.Entry<Slice, FolioId> each : to.over(slice.from(), slice.to())) {
          parts
              .computeIfAbsent(each.getValue(), id -> new ArrayList<>())
              .add(slice.within(each.getKey().from(), each.getKey().to()));
        }
      }
      parts.keySet().forEach(id -> pieces.merge(id, 1, Integer::sum));
      cuts.put(folio.id(), parts);
      if (to.folio(folio.id()).isPresent() && !parts.containsKey(folio.id())) {
        throw new Refused(folio.id() + " would name other keys");
      }
    }
    for (Map.Entry<FolioId, Map<FolioId, List<Slice>>> cut : cuts.entrySet()) {
      Folio folio = now.folio(cut.getKey()).orElseThrow();
      if (cut.getValue().size() == 1) {
        FolioId target = cut.getValue().keySet().iterator().next();
        if (!target.equals(folio.id()) && pieces.get(target) == 1) {
          throw new Refused(folio.id() + " would only change its number, to " + target.number());
        }
        targets.put(folio.id(), target);
        continue;
      }
      List<Folio> into = new ArrayList<>();
      for (Map.Entry<FolioId, List<Slice>> part : cut.getValue().entrySet()) {
        FolioId target = part.getKey();
        // what stays keeps its number; what is alone in its target has that one's at once
        FolioId id =
            target.equals(folio.id()) || pieces.get(target) == 1 ? target : new FolioId(numbers++);
        into.add(new Folio(id, part.getValue(), folio.holders()));
        targets.put(id, target);
      }
      step(new Step.Split(now.version() + 1, folio.id(), into));
    }
  }

  /** Moves holders in waves, each box copied to by so many at a time. */
  private void move() throws Refused {
    Map<FolioId, Deque<BoxId[]>> moves = new TreeMap<>();
    for (Folio folio : sorted(now)) {
      Folio target = to.folio(targets.get(folio.id())).orElseThrow();
      List<BoxId> sources = new ArrayList<>(folio.holders());
      sources.removeAll(target.holders());
      List<BoxId> successors = new ArrayList<>(target.holders());
      successors.removeAll(folio.holders());
      if (sources.size() != successors.size()) {
        throw new Refused(
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
      List<FolioId> begun = new ArrayList<>();
      for (Map.Entry<FolioId, Deque<BoxId[]>> each : moves.entrySet()) {
        BoxId[] move = each.getValue().peek();
        if (copying.merge(move[1], 1, Integer::sum) <= atOnce) {
          step(new Step.MoveBegins(now.version() + 1, each.getKey(), move[0], move[1]));
          begun.add(each.getKey());
        }
      }
      for (FolioId id : begun) {
        step(new Step.MoveEnds(now.version() + 1, id));
        moves.get(id).poll();
        if (moves.get(id).isEmpty()) {
          moves.remove(id);
        }
      }
    }
  }

  private void merge() throws Refused {
    Map<FolioId, List<FolioId>> parts = new TreeMap<>();
    targets.forEach((id, target) -> parts.computeIfAbsent(target, t -> new ArrayList<>()).add(id));
    for (Map.Entry<FolioId, List<FolioId>> each : parts.entrySet()) {
      if (each.getValue().size() > 1) {
        Set<BoxId> holders = new HashSet<>(to.folio(each.getKey()).orElseThrow().holders());
        for (FolioId part : each.getValue()) {
          assert holders.equals(new HashSet<>(now.folio(part).orElseThrow().holders())) : part;
        }
        step(
            new Step.Merge(
                now.version() + 1,
                each.getValue(),
                each.getKey(),
                to.folio(each.getKey()).orElseThrow().holders()));
      }
    }
  }
}
