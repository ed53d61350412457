package gingerring.share;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class PreferredBoxesTest {
  private static List<PreferredBoxes.ListedBox> ring(int boxes) {
    List<PreferredBoxes.ListedBox> ring = new ArrayList<>();
    for (int i = 0; i < boxes; i++) {
      ring.add(new PreferredBoxes.ListedBox(new Box(new BoxId(1000 + i), i % 3, 1), i));
    }
    return ring;
  }

  /**
   * Whichever boxes are excluded and included, each partition keeps as many preferred holders as
   * possible.
   */
  @Property(tries = 60, seed = "71")
  void eachPartitionKeepsPreferredHoldersWhileSomeAreIncluded(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    PreferredBoxes preferredBoxes = new PreferredBoxes(new MixerId(random.nextLong()), 2, 12, 4);
    assertTrue(preferredBoxes.prefers(new BoxId(1000)), "before any list");
    preferredBoxes.update(ring(12));
    Set<BoxId> excluded = new HashSet<>();
    for (int step = 0; step < 40; step++) {
      BoxId box = new BoxId(1000 + random.nextInt(12));
      if (random.nextBoolean()) {
        excluded.add(box);
        preferredBoxes.exclude(box);
      } else {
        excluded.remove(box);
        preferredBoxes.include(box);
      }
      for (int partition = 0; partition < 12; partition++) {
        int included = 0;
        int preferred = 0;
        for (int j = 0; j < 4; j++) {
          BoxId holder = new BoxId(1000 + (partition + j) % 12);
          included += excluded.contains(holder) ? 0 : 1;
          preferred += !excluded.contains(holder) && preferredBoxes.prefers(holder) ? 1 : 0;
        }
        assertTrue(
            preferred >= Math.min(2, included),
            "partition " + partition + " has " + preferred + " of " + included);
      }
    }
  }

  @Test
  void includingABoxAgainRestoresTheSelection() {
    PreferredBoxes preferredBoxes = new PreferredBoxes(new MixerId(5), 2, 12, 4);
    preferredBoxes.update(ring(12));
    List<Boolean> before =
        ring(12).stream().map(each -> preferredBoxes.prefers(each.box().id())).toList();
    BoxId first =
        ring(12).stream()
            .map(each -> each.box().id())
            .filter(preferredBoxes::prefers)
            .findFirst()
            .orElseThrow();
    preferredBoxes.exclude(first);
    assertTrue(!preferredBoxes.prefers(first));
    preferredBoxes.include(first);
    assertEquals(
        before, ring(12).stream().map(each -> preferredBoxes.prefers(each.box().id())).toList());
    assertTrue(preferredBoxes.size() < 12);
  }

  @Test
  void allArePreferredWhenAllAreExcluded() {
    PreferredBoxes preferredBoxes = new PreferredBoxes(new MixerId(5), 1, 3, 1);
    preferredBoxes.update(ring(3));
    ring(3).forEach(each -> preferredBoxes.exclude(each.box().id()));
    assertTrue(ring(3).stream().allMatch(each -> preferredBoxes.prefers(each.box().id())));
    assertEquals(-1, preferredBoxes.size());
  }
}
