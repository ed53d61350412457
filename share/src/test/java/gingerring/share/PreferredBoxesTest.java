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

  /** Whatever fails and comes back, each folio keeps as many preferred holders as it can. */
  @Property(tries = 60, seed = "71")
  void eachFolioKeepsItsHoldersWhileSomeAreTrusted(@ForAll long seed) {
    SplittableRandom chance = new SplittableRandom(seed);
    PreferredBoxes preference = new PreferredBoxes(new MixerId(chance.nextLong()), 2, 12, 4);
    assertTrue(preference.prefers(new BoxId(1000)), "before any list");
    preference.update(ring(12));
    Set<BoxId> out = new HashSet<>();
    for (int step = 0; step < 40; step++) {
      BoxId box = new BoxId(1000 + chance.nextInt(12));
      if (chance.nextBoolean()) {
        out.add(box);
        preference.exclude(box);
      } else {
        out.remove(box);
        preference.include(box);
      }
      for (int folio = 0; folio < 12; folio++) {
        int sound = 0;
        int preferred = 0;
        for (int j = 0; j < 4; j++) {
          BoxId holder = new BoxId(1000 + (folio + j) % 12);
          sound += out.contains(holder) ? 0 : 1;
          preferred += !out.contains(holder) && preference.prefers(holder) ? 1 : 0;
        }
        assertTrue(
            preferred >= Math.min(2, sound),
            "folio " + folio + " has " + preferred + " of " + sound);
      }
    }
  }

  @Test
  void aBoxThatIsBackBringsTheOldChoiceBack() {
    PreferredBoxes preference = new PreferredBoxes(new MixerId(5), 2, 12, 4);
    preference.update(ring(12));
    List<Boolean> before =
        ring(12).stream().map(each -> preference.prefers(each.box().id())).toList();
    BoxId first =
        ring(12).stream()
            .map(each -> each.box().id())
            .filter(preference::prefers)
            .findFirst()
            .orElseThrow();
    preference.exclude(first);
    assertTrue(!preference.prefers(first));
    preference.include(first);
    assertEquals(
        before, ring(12).stream().map(each -> preference.prefers(each.box().id())).toList());
    assertTrue(preference.size() < 12);
  }

  @Test
  void withNothingTrustedAllArePreferred() {
    PreferredBoxes preference = new PreferredBoxes(new MixerId(5), 1, 3, 1);
    preference.update(ring(3));
    ring(3).forEach(each -> preference.exclude(each.box().id()));
    assertTrue(ring(3).stream().allMatch(each -> preference.prefers(each.box().id())));
    assertEquals(-1, preference.size());
  }
}
