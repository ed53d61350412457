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

  private static List<List<BoxId>> folios(List<Box> ring, int copies) {
    List<List<BoxId>> folios = new ArrayList<>();
    for (int i = 0; i < ring.size(); i++) {
      List<BoxId> holders = new ArrayList<>();
      for (int j = 0; j < Math.min(copies, ring.size()); j++) {
        holders.add(ring.get((i + j) % ring.size()).id());
      }
      folios.add(holders);
    }
    return folios;
  }

  /** By plain counting: each folio has what it is to have, and no preferred box could be spared. */
  @Property(tries = 300, seed = "26")
  void coversEachFolioAndNoMore(
      @ForAll long seed,
      @ForAll @IntRange(min = 1, max = 40) int size,
      @ForAll @IntRange(min = 1, max = 6) int copies,
      @ForAll @IntRange(min = 1, max = 4) int keep,
      @ForAll @IntRange(min = 1, max = 3) int zones) {
    SplittableRandom chance = new SplittableRandom(seed);
    List<Box> all = ring(size, zones);
    List<List<BoxId>> folios = folios(all, copies);
    List<Box> trusted = all.stream().filter(box -> chance.nextInt(5) > 0).toList();
    Set<BoxId> chosen = new SubsetSelector(trusted, folios, keep).select(new MixerId(seed));
    assertTrue(plainlyCovered(trusted, folios, keep, chosen));
    for (BoxId spare : chosen) {
      Set<BoxId> fewer = new HashSet<>(chosen);
      fewer.remove(spare);
      assertFalse(plainlyCovered(trusted, folios, keep, fewer), () -> spare + " could be spared");
    }
  }

  private static boolean plainlyCovered(
      List<Box> trusted, List<List<BoxId>> folios, int keep, Set<BoxId> chosen) {
    Map<BoxId, Integer> zones = new HashMap<>();
    trusted.forEach(box -> zones.put(box.id(), box.zone()));
    if (!zones.keySet().containsAll(chosen)) {
      return false;
    }
    for (List<BoxId> holders : folios) {
      Set<Integer> there = new HashSet<>();
      Set<Integer> had = new HashSet<>();
      int possible = 0;
      int count = 0;
      for (BoxId holder : holders) {
        if (zones.containsKey(holder)) {
          possible++;
          there.add(zones.get(holder));
          if (chosen.contains(holder)) {
            count++;
            had.add(zones.get(holder));
          }
        }
      }
      if (count < Math.min(keep, possible)
          || had.size() < Math.min(there.size(), Math.min(2, keep))) {
        return false;
      }
    }
    return true;
  }

  /** A box that goes moves few others, and one that is not trusted is stood in for. */
  @Test
  void aBoxThatGoesMovesFew() {
    List<Box> all = ring(60, 3);
    List<List<BoxId>> folios = folios(all, 3);
    int moved = 0;
    int had = 0;
    for (int m = 0; m < 200; m++) {
      Set<BoxId> before = new SubsetSelector(all, folios, 2).select(new MixerId(m));
      BoxId gone = before.iterator().next();
      Set<BoxId> after =
          new SubsetSelector(all.stream().filter(box -> !box.id().equals(gone)).toList(), folios, 2)
              .select(new MixerId(m));
      assertFalse(after.contains(gone));
      Set<BoxId> changed = new HashSet<>(before);
      changed.removeAll(after);
      moved += changed.size();
      Set<BoxId> came = new HashSet<>(after);
      came.removeAll(before);
      moved += came.size();
      had += before.size();
    }
    int all200 = moved;
    int mean = had / 200;
    assertTrue(moved / 200.0 <= 6, () -> all200 / 200.0 + " of " + mean + " moved");
  }

  /** Larger boxes are preferred by more mixers, and boxes alike by as many. */
  @Test
  void aBoxIsPreferredByItsSize() {
    List<Box> boxes = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      boxes.add(new Box(new BoxId(i), 0, i < 15 ? 1 : 2));
    }
    List<List<BoxId>> one = List.of(boxes.stream().map(Box::id).toList()); // a folio that all hold
    double[] mixers = new double[30];
    for (int m = 0; m < 9000; m++) {
      new SubsetSelector(boxes, one, 1)
          .select(new MixerId(m))
          .forEach(id -> mixers[(int) id.number()]++);
    }
    for (int i = 0; i < 30; i++) {
      assertEquals(i < 15 ? 200 : 400, mixers[i], 5 * Math.sqrt(400));
    }
  }

  @Test
  void refusesWhatCannotBe() {
    assertThrows(
        IllegalArgumentException.class, () -> new SubsetSelector(ring(3, 1), List.of(), 0));
    assertThrows(IllegalArgumentException.class, () -> new Box(new BoxId(1), 0, 0));
    List<Box> twice = List.of(new Box(new BoxId(1), 0, 1), new Box(new BoxId(1), 1, 1));
    assertThrows(IllegalArgumentException.class, () -> new SubsetSelector(twice, List.of(), 1));
  }
}
