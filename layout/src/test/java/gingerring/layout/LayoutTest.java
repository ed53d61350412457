package gingerring.layout;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import gingerring.layout.LayoutSequencer.UpdateResult;
import gingerring.layout.RandomLayouts.KeyModel;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Compares layouts with a reference model of every key. */
class LayoutTest {
  private static final int HISTORIES = 20_000;

  @Test
  void matchesPerKeyModel() {
    int[] resultCounts = new int[2];
    for (int history = 0; history < HISTORIES; history++) {
      SplittableRandom random = new SplittableRandom(history);
      KeyModel model = new KeyModel();
      Layout layout = RandomLayouts.initialLayout(model);
      int[] nextId = {4};
      for (int i = 0; i < 12; i++) {
        LayoutStep step = RandomLayouts.randomStep(layout, nextId, random);
        KeyModel nextModel = model.apply(step);
        Layout next = null;
        String reason = "";
        try {
          next = layout.apply(step);
        } catch (LayoutException e) {
          reason = e.getMessage();
        }
        assertEquals(nextModel != null, next != null, history + ": " + step + ": " + reason);
        resultCounts[nextModel == null ? 0 : 1]++;
        if (nextModel == null) {
          assertTrue(
              reason.contains("step " + step.version()) || reason.contains("folio "), reason);
          continue;
        }
        int[] ownersBefore = RandomLayouts.owners(layout);
        model = nextModel;
        assertArrayEquals(model.owner, RandomLayouts.owners(next), history + ": " + step);
        assertArrayEquals(
            ownersBefore, RandomLayouts.owners(layout), "apply changed the previous version");
        layout = next;
        for (Partition partition : layout.partitions()) {
          assertEquals(
              model.holders.get(partition.id().number()), new HashSet<>(partition.holders()));
          assertEquals(model.moves.containsKey(partition.id().number()), partition.isMoving());
        }
        int from = random.nextInt(RandomLayouts.KEYS);
        int to = from + random.nextInt(RandomLayouts.KEYS - from + 1);
        int key = from;
        double weight = 0;
        for (Map.Entry<KeyRange, PartitionId> overlap : layout.overlapping(from, to)) {
          assertEquals(key, overlap.getKey().from());
          weight += overlap.getKey().weight();
          for (; key < overlap.getKey().to(); key++) {
            assertEquals(model.owner[key], overlap.getValue().number());
            weight -= model.weight[key];
          }
        }
        assertEquals(to, key);
        assertEquals(0, weight, 1e-9);
      }
    }
    assertTrue(
        resultCounts[0] > HISTORIES && resultCounts[1] > HISTORIES,
        "rejected " + resultCounts[0] + ", applied " + resultCounts[1]);
  }

  /**
   * Guards against a final layout that depends on the order of events: steps arrive early, late,
   * twice or never, with snapshots of any age between them.
   */
  @Test
  void anyStepOrderLeadsToTheSameLayout() throws Exception {
    for (int history = 0; history < 5000; history++) {
      SplittableRandom random = new SplittableRandom(history);
      List<Layout> versions = new ArrayList<>(List.of(RandomLayouts.initialLayout(new KeyModel())));
      List<LayoutStep> steps = new ArrayList<>();
      int[] nextId = {4};
      while (steps.size() < 20) {
        Layout last = versions.get(versions.size() - 1);
        LayoutStep step = RandomLayouts.randomStep(last, nextId, random);
        try {
          versions.add(last.apply(step));
          steps.add(step);
        } catch (LayoutException e) {
          // an invalid random step; the next one is tried
        }
      }
      LayoutSequencer sequencer = new LayoutSequencer(versions.get(0));
      List<LayoutStep> delivered = new ArrayList<>();
      for (LayoutStep step : steps) {
        for (int copies = random.nextInt(8) == 0 ? 0 : 1 + random.nextInt(2);
            copies > 0;
            copies--) {
          delivered.add(Math.max(0, delivered.size() - random.nextInt(5)), step);
        }
      }
      for (LayoutStep step : delivered) {
        sequencer.applyStep(step);
        if (random.nextInt(10) == 0) { // a snapshot of any age
          Layout snapshot = versions.get(random.nextInt(versions.size()));
          UpdateResult result = sequencer.applySnapshot(snapshot);
          assertEquals(
              result == UpdateResult.APPLIED,
              result != UpdateResult.OUTDATED && result != UpdateResult.ALREADY_KNOWN);
        }
        assertArrayEquals(
            RandomLayouts.owners(versions.get((int) sequencer.current().version())),
            RandomLayouts.owners(sequencer.current()));
      }
      if (sequencer.current().version() < 20) {
        assertEquals(UpdateResult.APPLIED, sequencer.applySnapshot(versions.get(20)));
      }
      assertEquals(20, sequencer.current().version());
      assertEquals(0, sequencer.queuedCount());
      assertEquals(0, sequencer.rejectedCount());
      assertTrue(!sequencer.needsSnapshot());
    }
  }

  @Test
  void rejectedStepIsResolvedOnlyByANewerSnapshot() throws Exception {
    Layout initial = RandomLayouts.initialLayout(new KeyModel());
    LayoutStep.MoveBegins step1 =
        new LayoutStep.MoveBegins(
            1, new PartitionId(0), RandomLayouts.box(0), RandomLayouts.box(7));
    LayoutStep.MoveEnds invalidStep2 =
        new LayoutStep.MoveEnds(2, new PartitionId(1)); // partition 1 is not moving
    LayoutStep.MoveEnds validStep2 = new LayoutStep.MoveEnds(2, new PartitionId(0));
    LayoutStep.MoveBegins step3 =
        new LayoutStep.MoveBegins(
            3, new PartitionId(0), RandomLayouts.box(7), RandomLayouts.box(0));
    LayoutSequencer sequencer = new LayoutSequencer(initial);
    assertEquals(UpdateResult.QUEUED, sequencer.applyStep(step3));
    assertEquals(UpdateResult.APPLIED, sequencer.applyStep(step1));
    assertEquals(UpdateResult.REJECTED, sequencer.applyStep(invalidStep2));
    assertTrue(sequencer.needsSnapshot());
    assertEquals(List.of("step 2: folio 1 is not moving"), sequencer.rejectionReasons());
    assertEquals(1, sequencer.current().version());
    assertEquals(UpdateResult.OUTDATED, sequencer.applySnapshot(initial));
    assertEquals(
        UpdateResult.REJECTED,
        sequencer.applyStep(validStep2)); // only a snapshot tells which of the two steps is right
    assertEquals(
        UpdateResult.APPLIED, sequencer.applySnapshot(initial.apply(step1).apply(validStep2)));
    assertEquals(3, sequencer.current().version());
    assertTrue(!sequencer.needsSnapshot());
  }

  @Test
  void queuedStepsAreBounded() {
    LayoutSequencer sequencer = new LayoutSequencer(RandomLayouts.initialLayout(new KeyModel()));
    for (int i = 0; i < 3 * LayoutSequencer.MAX_QUEUED_STEPS; i++) {
      sequencer.applyStep(new LayoutStep.MoveEnds(2 + i, new PartitionId(0)));
    }
    assertEquals(LayoutSequencer.MAX_QUEUED_STEPS, sequencer.queuedCount());
  }

  @Test
  void invalidLayoutIsRejectedNamingTheEntry() {
    List<BoxId> holders = List.of(RandomLayouts.box(1));
    Map<List<Partition>, String> messageByLayout =
        Map.of(
            List.of(partition(0, 0, 10), partition(1, 12, 20)),
                "keys 10 to 12 have no owner, before folio 1",
            List.of(partition(0, 0, 10), partition(1, 8, 20)),
                "folio 1: keys 8 to 10 have two owners",
            List.of(partition(0, 0, 10)), "keys 10 to 20 have no owner",
            List.of(partition(0, 0, 10), partition(0, 10, 20)), "folio 0 stands there twice",
            List.of(partition(0, 0, 25)), "keys 20 to 25 are beyond the last",
            List.of(new Partition(new PartitionId(3), List.of(), holders)), "folio 3 has no keys",
            List.of(new Partition(new PartitionId(3), List.of(new KeyRange(0, 20, 1)), List.of())),
                "folio 3 has no holder",
            List.of(
                    new Partition(
                        new PartitionId(3),
                        List.of(new KeyRange(0, 20, 1)),
                        holders,
                        RandomLayouts.box(2),
                        RandomLayouts.box(4))),
                "folio 3 moves from no holder, or to one");
    messageByLayout.forEach(
        (partitions, message) -> {
          LayoutException exception =
              assertThrows(LayoutException.class, () -> Layout.of(1, 20, partitions));
          assertTrue(exception.getMessage().startsWith(message), exception.getMessage());
        });
  }

  private static Partition partition(int number, long from, long to) {
    return new Partition(
        new PartitionId(number), List.of(new KeyRange(from, to, 1)), List.of(RandomLayouts.box(1)));
  }

  /**
   * Guards against versions that are dropped while a scan needs them, or retained longer, through
   * thousands of layout changes.
   */
  @Test
  void versionsAreRetainedOnlyWhileScansNeedThem() throws Exception {
    LayoutVersions versions = new LayoutVersions(RandomLayouts.initialLayout(new KeyModel()));
    SplittableRandom random = new SplittableRandom(1);
    List<Long> scanVersions = new ArrayList<>();
    int[] nextId = {4};
    for (int i = 0; i < 20_000; i++) {
      Layout layout = versions.current();
      try {
        versions.setCurrent(layout.apply(RandomLayouts.randomStep(layout, nextId, random)));
      } catch (LayoutException e) {
        continue;
      }
      scanVersions.add(versions.retainCurrent().version());
      if (scanVersions.size() > 50) {
        versions.release(scanVersions.remove(random.nextInt(scanVersions.size())));
      }
      for (long version : scanVersions) {
        assertEquals(version, versions.get(version).orElseThrow().version());
      }
      assertTrue(versions.retainedCount() <= 51, "retained: " + versions.retainedCount());
    }
    scanVersions.forEach(versions::release);
    assertEquals(0, versions.retainedCount());
    assertEquals(0, versions.evictedCount());
    assertTrue(versions.current().version() > 3000, "versions: " + versions.current().version());
  }

  @Test
  void moduleDoesNotUseIoOrThreads() {
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
