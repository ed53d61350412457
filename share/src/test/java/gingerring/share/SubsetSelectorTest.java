package gingerring.share;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class SubsetSelectorTest {
  private static List<Box> ring(int size, int zones) {
    List<Box> boxes = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      boxes.add(new Box(new BoxId(1000 + i), i % zones, 1));
    }
    return boxes;
  }

  private static List<List<BoxId>> partitions(List<Box> ring, int copies) {
    List<List<BoxId>> partitions = new ArrayList<>();
    for (int i = 0; i < ring.size(); i++) {
      List<BoxId> holders = new ArrayList<>();
      for (int j = 0; j < Math.min(copies, ring.size()); j++) {
        holders.add(ring.get((i + j) % ring.size()).id());
      }
      partitions.add(holders);
    }
    return partitions;
  }

  /** Counts directly: each partition has the required holders, and no selected box is redundant. */
  @Property(tries = 300, seed = "26")
  void coversEachPartitionWithNoRedundantBox(
      @ForAll long seed,
      @ForAll @IntRange(min = 1, max = 40) int size,
      @ForAll @IntRange(min = 1, max = 6) int copies,
      @ForAll @IntRange(min = 1, max = 4) int holdersPerPartition,
      @ForAll @IntRange(min = 1, max = 3) int zones) {
    SplittableRandom random = new SplittableRandom(seed);
    List<Box> boxes = ring(size, zones);
    List<List<BoxId>> partitions = partitions(boxes, copies);
    List<Box> trusted = boxes.stream().filter(box -> random.nextInt(5) > 0).toList();
    Set<BoxId> selected =
        new SubsetSelector(trusted, partitions, holdersPerPartition).select(new MixerId(seed));
    assertTrue(isCovered(trusted, partitions, holdersPerPartition, selected));
    for (BoxId candidate : selected) {
      Set<BoxId> fewer = new HashSet<>(selected);
      fewer.remove(candidate);
      assertFalse(
          isCovered(trusted, partitions, holdersPerPartition, fewer),
          () -> candidate + " is redundant");
    }
  }

  private static boolean isCovered(
      List<Box> trusted,
      List<List<BoxId>> partitions,
      int holdersPerPartition,
      Set<BoxId> selected) {
    Map<BoxId, Integer> zones = new HashMap<>();
    trusted.forEach(box -> zones.put(box.id(), box.zone()));
    if (!zones.keySet().containsAll(selected)) {
      return false;
    }
    for (List<BoxId> holders : partitions) {
      Set<Integer> availableZones = new HashSet<>();
      Set<Integer> selectedZones = new HashSet<>();
      int available = 0;
      int count = 0;
      for (BoxId holder : holders) {
        if (zones.containsKey(holder)) {
          available++;
          availableZones.add(zones.get(holder));
          if (selected.contains(holder)) {
            count++;
            selectedZones.add(zones.get(holder));
          }
        }
      }
      if (count < Math.min(holdersPerPartition, available)
          || selectedZones.size()
              < Math.min(availableZones.size(), Math.min(2, holdersPerPartition))) {
        return false;
      }
    }
    return true;
  }

  /** A removed box changes few selections, and other holders replace it. */
  @Test
  void aRemovedBoxChangesFewSelections() {
    List<Box> boxes = ring(60, 3);
    List<List<BoxId>> partitions = partitions(boxes, 3);
    int changes = 0;
    int totalSelected = 0;
    for (int m = 0; m < 200; m++) {
      Set<BoxId> before = new SubsetSelector(boxes, partitions, 2).select(new MixerId(m));
      BoxId removedBox = before.iterator().next();
      Set<BoxId> after =
          new SubsetSelector(
                  boxes.stream().filter(box -> !box.id().equals(removedBox)).toList(),
                  partitions,
                  2)
              .select(new MixerId(m));
      assertFalse(after.contains(removedBox));
      Set<BoxId> removed = new HashSet<>(before);
      removed.removeAll(after);
      changes += removed.size();
      Set<BoxId> added = new HashSet<>(after);
      added.removeAll(before);
      changes += added.size();
      totalSelected += before.size();
    }
    int totalChanges = changes;
    int mean = totalSelected / 200;
    assertTrue(changes / 200.0 <= 6, () -> totalChanges / 200.0 + " of " + mean + " changed");
  }

  /** A box is preferred by mixers in proportion to its size. */
  @Test
  void preferenceIsProportionalToBoxSize() {
    List<Box> boxes = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      boxes.add(new Box(new BoxId(i), 0, i < 15 ? 1 : 2));
    }
    // one partition that all boxes hold
    List<List<BoxId>> partition = List.of(boxes.stream().map(Box::id).toList());
    double[] mixers = new double[30];
    for (int m = 0; m < 9000; m++) {
      new SubsetSelector(boxes, partition, 1)
          .select(new MixerId(m))
          .forEach(id -> mixers[(int) id.number()]++);
    }
    for (int i = 0; i < 30; i++) {
      assertEquals(i < 15 ? 200 : 400, mixers[i], 5 * Math.sqrt(400));
    }
  }

  @Test
  void rejectsInvalidArguments() {
    assertThrows(
        IllegalArgumentException.class, () -> new SubsetSelector(ring(3, 1), List.of(), 0));
    assertThrows(IllegalArgumentException.class, () -> new Box(new BoxId(1), 0, 0));
    List<Box> twice = List.of(new Box(new BoxId(1), 0, 1), new Box(new BoxId(1), 1, 1));
    assertThrows(IllegalArgumentException.class, () -> new SubsetSelector(twice, List.of(), 1));
  }
}
