package gingerring.layout;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gingerring.layout.Histories.Model;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Plans between layouts that histories lead to: every step fits, and the end is what was wanted.
 */
class PlannerTest {
  @Test
  void everyPlanArrivesWithoutAKeyUnownedOrABoxOverloaded() throws Exception {
    int planned = 0;
    Set<String> refusals = new HashSet<>();
    for (int history = 0; history < 5000; history++) {
      SplittableRandom random = new SplittableRandom(history);
      Layout from = Histories.first(new Model());
      Layout to = from;
      int[] numbers = {4};
      for (int i = 0; i < 8; i++) {
        Step step = Histories.step(to, numbers, random);
        try {
          if (!(step instanceof Step.MoveBegins)) {
            to = to.apply(step);
          }
        } catch (LayoutException e) {
          // another
        }
      }
      int atOnce = 1 + random.nextInt(3);
      List<Step> steps;
      try {
        steps = Planner.plan(from, to, atOnce);
      } catch (LayoutException e) {
        refusals.add(e.getMessage().replaceAll("[0-9]+", "N"));
        continue;
      }
      planned++;
      Layout now = from;
      Map<BoxId, Integer> copying = new HashMap<>();
      for (Step step : steps) {
        if (step instanceof Step.MoveEnds ends) {
          copying.merge(now.partition(ends.folio()).orElseThrow().successor(), -1, Integer::sum);
        }
        now = now.apply(step); // refuses whatever would leave a key unowned
        if (step instanceof Step.MoveBegins begins) {
          assertTrue(
              copying.merge(begins.successor(), 1, Integer::sum) <= atOnce, "history " + history);
        }
      }
      assertArrayEquals(Histories.owners(to), Histories.owners(now), "history " + history);
      assertEquals(to.size(), now.size());
      for (Partition folio : to.partitions()) {
        assertEquals(
            new HashSet<>(folio.holders()),
            new HashSet<>(now.partition(folio.id()).orElseThrow().holders()));
      }
    }
    assertTrue(planned > 2000, planned + " planned; " + refusals);
  }

  @Test
  void whatNoStepsCanDoIsRefused() throws Exception {
    Layout from = Histories.first(new Model());
    List<Partition> swapped = new ArrayList<>();
    for (Partition folio : from.partitions()) {
      swapped.add(
          new Partition(new PartitionId(3 - folio.id().number()), folio.ranges(), folio.holders()));
    }
    Layout to = Layout.of(9, Histories.KEYS, swapped);
    assertEquals(
        "folio 0 would name other keys",
        assertThrows(LayoutException.class, () -> Planner.plan(from, to, 1)).getMessage());
    List<Partition> renamed = new ArrayList<>();
    for (Partition folio : from.partitions()) {
      renamed.add(
          new Partition(
              new PartitionId(10 + folio.id().number()), folio.ranges(), folio.holders()));
    }
    Layout other = Layout.of(9, Histories.KEYS, renamed);
    assertTrue(
        assertThrows(LayoutException.class, () -> Planner.plan(from, other, 1))
            .getMessage()
            .startsWith("folio 0 would only change its number"));
    assertEquals(List.of(), Planner.plan(from, from, 1));
  }
}
