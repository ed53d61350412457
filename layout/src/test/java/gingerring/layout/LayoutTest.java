package gingerring.layout;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import gingerring.layout.Histories.Model;
import gingerring.layout.LayoutLog.Heard;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Layouts against the plain model of every key. */
class LayoutTest {
  private static final int HISTORIES = 20_000;

  @Test
  void takesAndRefusesAsThePlainModelDoes() {
    int[] seen = new int[2];
    for (int history = 0; history < HISTORIES; history++) {
      SplittableRandom random = new SplittableRandom(history);
      Model model = new Model();
      Layout layout = Histories.first(model);
      int[] numbers = {4};
      for (int i = 0; i < 12; i++) {
        Step step = Histories.step(layout, numbers, random);
        Model after = model.after(step);
        Layout next = null;
        String why = "";
        try {
          next = layout.apply(step);
        } catch (LayoutException e) {
          why = e.getMessage();
        }
        assertEquals(after != null, next != null, history + ": " + step + ": " + why);
        seen[after == null ? 0 : 1]++;
        if (after == null) {
          assertTrue(why.contains("step " + step.version()) || why.contains("folio "), why);
          continue;
        }
        int[] before = Histories.owners(layout);
        model = after;
        assertArrayEquals(model.owner, Histories.owners(next), history + ": " + step);
        assertArrayEquals(before, Histories.owners(layout), "the version before has changed");
        layout = next;
        for (Partition folio : layout.partitions()) {
          assertEquals(model.holders.get(folio.id().number()), new HashSet<>(folio.holders()));
          assertEquals(model.moves.containsKey(folio.id().number()), folio.moving());
        }
        int from = random.nextInt(Histories.KEYS);
        int to = from + random.nextInt(Histories.KEYS - from + 1);
        int key = from;
        double weight = 0;
        for (Map.Entry<KeyRange, PartitionId> each : layout.over(from, to)) {
          assertEquals(key, each.getKey().from());
          weight += each.getKey().weight();
          for (; key < each.getKey().to(); key++) {
            assertEquals(model.owner[key], each.getValue().number());
            weight -= model.weight[key];
          }
        }
        assertEquals(to, key);
        assertEquals(0, weight, 1e-9);
      }
    }
    assertTrue(
        seen[0] > HISTORIES && seen[1] > HISTORIES, "refused " + seen[0] + ", taken " + seen[1]);
  }

  /** Steps early, late, twice and lost, with lists between them: in the end all have the same. */
  @Test
  void whateverTheOrderTheEndIsTheSame() throws Exception {
    for (int history = 0; history < 5000; history++) {
      SplittableRandom random = new SplittableRandom(history);
      List<Layout> versions = new ArrayList<>(List.of(Histories.first(new Model())));
      List<Step> steps = new ArrayList<>();
      int[] numbers = {4};
      while (steps.size() < 20) {
        Layout last = versions.get(versions.size() - 1);
        Step step = Histories.step(last, numbers, random);
        try {
          versions.add(last.apply(step));
          steps.add(step);
        } catch (LayoutException e) {
          // another
        }
      }
      LayoutLog log = new LayoutLog(versions.get(0));
      List<Step> heard = new ArrayList<>();
      for (Step step : steps) {
        for (int copies = random.nextInt(8) == 0 ? 0 : 1 + random.nextInt(2);
            copies > 0;
            copies--) {
          heard.add(Math.max(0, heard.size() - random.nextInt(5)), step);
        }
      }
      for (Step step : heard) {
        log.step(step);
        if (random.nextInt(10) == 0) { // a list of any age
          Layout list = versions.get(random.nextInt(versions.size()));
          Heard how = log.list(list);
          assertEquals(how == Heard.TAKEN, how != Heard.OLD && how != Heard.KNOWN);
        }
        assertArrayEquals(
            Histories.owners(versions.get((int) log.inForce().version())),
            Histories.owners(log.inForce()));
      }
      if (log.inForce().version() < 20) {
        assertEquals(Heard.TAKEN, log.list(versions.get(20)));
      }
      assertEquals(20, log.inForce().version());
      assertEquals(0, log.waiting());
      assertEquals(0, log.refused());
      assertTrue(!log.gap());
    }
  }

  @Test
  void anOlderListChangesNothingAndARefusedStepWaitsForOne() throws Exception {
    Layout zero = Histories.first(new Model());
    Step.MoveBegins one =
        new Step.MoveBegins(1, new PartitionId(0), Histories.box(0), Histories.box(7));
    Step.MoveEnds two = new Step.MoveEnds(2, new PartitionId(1)); // it does not move
    Step.MoveEnds right = new Step.MoveEnds(2, new PartitionId(0));
    Step.MoveBegins three =
        new Step.MoveBegins(3, new PartitionId(0), Histories.box(7), Histories.box(0));
    LayoutLog log = new LayoutLog(zero);
    assertEquals(Heard.WAITS, log.step(three));
    assertEquals(Heard.TAKEN, log.step(one));
    assertEquals(Heard.REFUSED, log.step(two));
    assertTrue(log.gap());
    assertEquals(List.of("step 2: folio 1 is not moving"), log.refusals());
    assertEquals(1, log.inForce().version());
    assertEquals(Heard.OLD, log.list(zero));
    assertEquals(Heard.REFUSED, log.step(right)); // whom to believe, only a list can tell
    assertEquals(Heard.TAKEN, log.list(zero.apply(one).apply(right)));
    assertEquals(3, log.inForce().version());
    assertTrue(!log.gap());
  }

  @Test
  void stepsWaitInBoundedNumber() {
    LayoutLog log = new LayoutLog(Histories.first(new Model()));
    for (int i = 0; i < 3 * LayoutLog.WAITING_MOST; i++) {
      log.step(new Step.MoveEnds(2 + i, new PartitionId(0)));
    }
    assertEquals(LayoutLog.WAITING_MOST, log.waiting());
  }

  @Test
  void badListsAreRefusedByTheirEntry() {
    List<BoxId> holders = List.of(Histories.box(1));
    Map<List<Partition>, String> wrong =
        Map.of(
            List.of(folio(0, 0, 10), folio(1, 12, 20)),
                "keys 10 to 12 have no owner, before folio 1",
            List.of(folio(0, 0, 10), folio(1, 8, 20)), "folio 1: keys 8 to 10 have two owners",
            List.of(folio(0, 0, 10)), "keys 10 to 20 have no owner",
            List.of(folio(0, 0, 10), folio(0, 10, 20)), "folio 0 stands there twice",
            List.of(folio(0, 0, 25)), "keys 20 to 25 are beyond the last",
            List.of(new Partition(new PartitionId(3), List.of(), holders)), "folio 3 has no keys",
            List.of(new Partition(new PartitionId(3), List.of(new KeyRange(0, 20, 1)), List.of())),
                "folio 3 has no holder",
            List.of(
                    new Partition(
                        new PartitionId(3),
                        List.of(new KeyRange(0, 20, 1)),
                        holders,
                        Histories.box(2),
                        Histories.box(4))),
                "folio 3 moves from no holder, or to one");
    wrong.forEach(
        (list, why) -> {
          LayoutException refused =
              assertThrows(LayoutException.class, () -> Layout.of(1, 20, list));
          assertTrue(refused.getMessage().startsWith(why), refused.getMessage());
        });
  }

  private static Partition folio(int number, long from, long to) {
    return new Partition(
        new PartitionId(number), List.of(new KeyRange(from, to, 1)), List.of(Histories.box(1)));
  }

  /**
   * Old versions are kept as long as a scan needs them, through thousands of reshapes, and no
   * longer.
   */
  @Test
  void versionsAreKeptForTheirScansAlone() throws Exception {
    Versions versions = new Versions(Histories.first(new Model()));
    SplittableRandom random = new SplittableRandom(1);
    List<Long> scans = new ArrayList<>();
    int[] numbers = {4};
    for (int i = 0; i < 20_000; i++) {
      Layout layout = versions.inForce();
      try {
        versions.inForce(layout.apply(Histories.step(layout, numbers, random)));
      } catch (LayoutException e) {
        continue;
      }
      scans.add(versions.hold().version());
      if (scans.size() > 50) {
        versions.release(scans.remove(random.nextInt(scans.size())));
      }
      for (long version : scans) {
        assertEquals(version, versions.get(version).orElseThrow().version());
      }
      assertTrue(versions.kept() <= 51, "kept: " + versions.kept());
    }
    scans.forEach(versions::release);
    assertEquals(0, versions.kept());
    assertEquals(0, versions.pushedOut());
    assertTrue(versions.inForce().version() > 3000, "versions: " + versions.inForce().version());
  }

  @Test
  void theCoreKnowsNoInputClockOrThread() {
    noClasses()
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("java.io..", "java.nio..", "java.net..", "java.util.concurrent..")
        .check(
            new ClassFileImporter()
                .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                .importPackages("gingerring.layout"));
  }
}
