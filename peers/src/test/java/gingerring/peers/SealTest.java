package gingerring.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class SealTest {
  private static final byte[] KEY = "a key of this fleet".getBytes();
  private static final byte[] NEXT = "the key that follows".getBytes();

  private static Word word(SplittableRandom chance) {
    Map<Long, Seen> boxes = new HashMap<>();
    for (int i = chance.nextInt(20); i > 0; i--) {
      boxes.put(chance.nextLong(), new Seen(chance.nextInt(65_536), chance.nextInt(65_536)));
    }
    return new Word(new PeerId(chance.nextLong()), chance.nextLong(), chance.nextLong(), chance.nextInt(-1,
        9),
        chance.nextInt(1000), boxes);
  }

  @Property(tries = 200, seed = "33")
  void whatIsSealedIsOpenedAndNothingElseIs(@ForAll long seed) throws Seal.Refused {
    SplittableRandom chance = new SplittableRandom(seed);
    Word word = word(chance);
    Seal seal = Seal.of(List.of(KEY));
    byte[] bytes = seal.seal(word);
    assertEquals(51 + 12 * word.boxes().size(), bytes.length);
    assertTrue(Seal.boxes(bytes.length) == word.boxes().size());
    assertEquals(word, seal.open(bytes));
    byte[] bent = bytes.clone();
    bent[chance.nextInt(bent.length)] ^= (byte) (1 << chance.nextInt(8));
    assertThrows(Seal.Refused.class, () -> seal.open(bent));
    assertThrows(Seal.Refused.class, () -> seal.open(Arrays.copyOf(bytes, chance.nextInt(bytes.length))));
    assertThrows(Seal.Refused.class, () -> seal.open(Arrays.copyOf(bytes, bytes.length + 1)));
    assertThrows(Seal.Refused.class, () -> Seal.of(List.of(NEXT)).open(bytes));
  }

  /** A key is changed in three steps, mixer by mixer; at no step is a word refused. */
  @Test void keysChangeWithoutAGap() throws Seal.Refused {
    Word word = word(new SplittableRandom(1));
    List<Seal> steps = List.of(Seal.of(List.of(KEY)), Seal.of(List.of(KEY, NEXT)), Seal.of(List.of(NEXT,
        KEY)),
        Seal.of(List.of(NEXT)));
    for (int i = 0; i + 1 < steps.size(); i++) {
      assertEquals(word, steps.get(i).open(steps.get(i + 1).seal(word)));
      assertEquals(word, steps.get(i + 1).open(steps.get(i).seal(word)));
    }
    assertThrows(Seal.Refused.class, () -> steps.get(0).open(steps.get(3).seal(word)));
  }

  /** Who knows the key and sends what is no word: proved, and refused all the same. */
  @Test void whatIsProvedHasToBeAWord() throws Exception {
    Seal seal = Seal.of(List.of(KEY));
    byte[] bytes = seal.seal(new Word(new PeerId(1), 1, 1, 0, 1, Map.of(1L, new Seen(1, 1), 2L, new Seen(1,
        1))));
    // form, demand, count, box
    for (int[] change : new int[][] {{0, 2}, {29, 0xFF}, {34, 1}, {34, 3}, {54, 1}}) {
      byte[] bent = bytes.clone();
      bent[change[0]] = (byte) change[1];
      Mac mac = Mac.getInstance("HmacSHA256");
      mac.init(new SecretKeySpec(KEY, "HmacSHA256"));
      mac.update(bent, 0, bent.length - 16);
      System.arraycopy(mac.doFinal(), 0, bent, bent.length - 16, 16);
      assertThrows(Seal.Refused.class, () -> seal.open(bent), () -> "byte " + change[0]);
    }
  }

  @Test void whatDoesNotFitIsCut() throws Seal.Refused {
    Seal seal = Seal.of(List.of(KEY));
    Word much = new Word(new PeerId(1), 1, 1, 0, 1e300, Map.of(1L, new Seen(1e9, 70_000)));
    Word read = seal.open(seal.seal(much));
    assertEquals(new Seen(65_535, 65_535), read.boxes().get(1L));
    assertTrue(read.demand() <= Float.MAX_VALUE);
    assertThrows(IllegalArgumentException.class, () -> Seal.of(List.of()));
    assertThrows(IllegalArgumentException.class, () -> Seal.of(List.of(new byte[15])));
  }
}
