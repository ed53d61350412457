package gingerring.layout;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gingerring.layout.RandomLayouts.KeyModel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Guards against plans that leave a key without an owner, exceed the limit of simultaneous moves,
 * or do not reach the target, with random layouts as targets.
 */
class LayoutPlannerTest {
  @Test
  void plansReachTheTargetWithinTheMoveLimit() throws Exception {
    int planCount = 0;
    Set<String> refusals = new HashSet<>();
    for (int history = 0; history < 5000; history++) {
      SplittableRandom random = new SplittableRandom(history);
      Layout from = RandomLayouts.initialLayout(new KeyModel());
      Layout target = from;
      int[] nextId = {4};
      for (int i = 0; i < 8; i++) {
        LayoutStep step = RandomLayouts.randomStep(target, nextId, random);
        try {
          if (!(step instanceof LayoutStep.MoveBegins)) {
            target = target.apply(step);
          }
        } catch (LayoutException e) {
          // an invalid random step; the next one is tried
        }
      }
      int maxConcurrentMoves = 1 + random.nextInt(3);
      List<LayoutStep> steps;
      try {
        steps = LayoutPlanner.plan(from, target, maxConcurrentMoves);
      } catch (LayoutException e) {
        refusals.add(e.getMessage().replaceAll("[0-9]+", "N"));
        continue;
      }
      planCount++;
      Layout current = from;
      Map<BoxId, Integer> movesInProgress = new HashMap<>();
      for (LayoutStep step : steps) {
        if (step instanceof LayoutStep.MoveEnds ends) {
          movesInProgress.merge(
              current.partition(ends.partition()).orElseThrow().successor(), -1, Integer::sum);
        }
        current = current.apply(step); // throws if a key would have no owner
        if (step instanceof LayoutStep.MoveBegins begins) {
          assertTrue(
              movesInProgress.merge(begins.successor(), 1, Integer::sum) <= maxConcurrentMoves,
              "history " + history);
        }
      }
      assertArrayEquals(
          RandomLayouts.owners(target), RandomLayouts.owners(current), "history " + history);
      assertEquals(target.partitionCount(), current.partitionCount());
      for (Partition partition : target.partitions()) {
        assertEquals(
            new HashSet<>(partition.holders()),
            new HashSet<>(current.partition(partition.id()).orElseThrow().holders()));
      }
    }
    assertTrue(planCount > 2000, planCount + " plans; " + refusals);
  }

  @Test
  void rejectsTargetsThatStepsCannotReach() throws Exception {
    Layout from = RandomLayouts.initialLayout(new KeyModel());
    List<Partition> swappedPartitions = new ArrayList<>();
    for (Partition partition : from.partitions()) {
      swappedPartitions.add(
          new Partition(
              new PartitionId(3 - partition.id().number()),
              partition.ranges(),
              partition.holders()));
    }
    Layout swappedTarget = Layout.of(9, RandomLayouts.KEYS, swappedPartitions);
    assertEquals(
        "folio 0 would name other keys",
        assertThrows(LayoutException.class, () -> LayoutPlanner.plan(from, swappedTarget, 1))
            .getMessage());
    List<Partition> renamedPartitions = new ArrayList<>();
    for (Partition partition : from.partitions()) {
      renamedPartitions.add(
          new Partition(
              new PartitionId(10 + partition.id().number()),
              partition.ranges(),
              partition.holders()));
    }
    Layout renamedTarget = Layout.of(9, RandomLayouts.KEYS, renamedPartitions);
    assertTrue(
        assertThrows(LayoutException.class, () -> LayoutPlanner.plan(from, renamedTarget, 1))
            .getMessage()
            .startsWith("folio 0 would only change its number"));
    assertEquals(List.of(), LayoutPlanner.plan(from, from, 1));
  }
}
