package gingerring.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
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

class LettersTest {
  private static final byte[] KEY = "a key of this fleet".getBytes();
  private static final byte[] NEXT = "the key that follows".getBytes();

  private static Letters with(byte[]... keys) {
    return new Letters(Seal.of(List.of(keys)));
  }

  private static Standing standing(SplittableRandom chance) {
    return new Standing(
        new PeerId(chance.nextLong()),
        new Place(chance.nextInt(), chance.nextInt(1, 65_536)),
        chance.nextLong(),
        chance.nextInt(),
        Standing.State.values()[chance.nextInt(4)],
        new PeerId(chance.nextLong()));
  }

  private static List<Standing> standings(SplittableRandom chance, int most) {
    List<Standing> standings = new ArrayList<>();
    for (int i = chance.nextInt(most + 1); i > 0; i--) {
      standings.add(standing(chance));
    }
    return standings;
  }

  private static Letter letter(SplittableRandom chance) {
    PeerId author = new PeerId(chance.nextLong());
    long life = chance.nextLong();
    long number = chance.nextLong();
    int asked = chance.nextInt();
    Body body =
        switch (chance.nextInt(10)) {
          case 0 -> new Body.Ping(asked, new PeerId(chance.nextLong()));
          case 1 -> new Body.Ack(asked);
          case 2 -> new Body.Nack(asked);
          case 3 -> new Body.Help(asked, new PeerId(chance.nextLong()), standing(chance).place());
          case 4 -> new Body.Ask(chance.nextLong());
          case 5 -> new Body.Page(standings(chance, 20), chance.nextLong());
          case 6 -> {
            Map<Long, Seen> boxes = new HashMap<>();
            for (int i = chance.nextInt(Letters.boxes(6, 4) + 1); i > 0; i--) {
              boxes.put(
                  chance.nextLong(), new Seen(chance.nextInt(65_536), chance.nextInt(65_536)));
            }
            yield new Body.Say(
                new Word(author, life, number, chance.nextInt(-1, 9), chance.nextInt(1000), boxes));
          }
          case 7 -> new Body.Query((char) chance.nextInt(256), chance.nextLong());
          case 8 -> new Body.Reply("x\u00e9".repeat(chance.nextInt(200)));
          default -> new Body.Pass();
        };
    List<Note> notes = new ArrayList<>();
    for (int i = chance.nextInt(5); i > 0; i--) {
      notes.add(
          new Note(
              new PeerId(chance.nextLong()),
              chance.nextLong(),
              chance.nextLong(),
              chance.nextLong(),
              chance.nextBoolean()));
    }
    return new Letter(author, life, number, body, standings(chance, 6), notes);
  }

  @Property(tries = 400, seed = "33")
  void whatIsWrittenIsReadAndNothingElseIs(@ForAll long seed) throws Letters.Refused {
    SplittableRandom chance = new SplittableRandom(seed);
    Letter letter = letter(chance);
    Letters letters = with(KEY);
    byte[] bytes = letters.write(letter);
    assertTrue(bytes.length <= Letters.MOST);
    assertEquals(letter, letters.read(bytes));
    byte[] bent = bytes.clone();
    bent[chance.nextInt(bent.length)] ^= (byte) (1 << chance.nextInt(8));
    assertThrows(Letters.Refused.class, () -> letters.read(bent));
    assertThrows(
        Letters.Refused.class,
        () -> letters.read(Arrays.copyOf(bytes, chance.nextInt(bytes.length))));
    assertThrows(Letters.Refused.class, () -> letters.read(Arrays.copyOf(bytes, bytes.length + 1)));
    assertThrows(Letters.Refused.class, () -> with(NEXT).read(bytes));
  }

  /** A key is changed in three steps, mixer by mixer; at no step is a letter refused. */
  @Test
  void keysChangeWithoutAGap() throws Letters.Refused {
    Letter letter = letter(new SplittableRandom(1));
    List<Letters> steps = List.of(with(KEY), with(KEY, NEXT), with(NEXT, KEY), with(NEXT));
    for (int i = 0; i + 1 < steps.size(); i++) {
      assertEquals(letter, steps.get(i).read(steps.get(i + 1).write(letter)));
      assertEquals(letter, steps.get(i + 1).read(steps.get(i).write(letter)));
    }
    assertThrows(Letters.Refused.class, () -> steps.get(0).read(steps.get(3).write(letter)));
  }

  /** Who holds the key and writes nonsense is refused with a reason, whatever the nonsense. */
  @Property(tries = 400, seed = "34")
  void provedNonsenseIsRefused(@ForAll long seed) throws Exception {
    SplittableRandom chance = new SplittableRandom(seed);
    byte[] bytes = with(KEY).write(letter(chance));
    int length = bytes.length - Seal.PROOF;
    int cut = chance.nextInt(2) == 0 ? chance.nextInt(1, length) : length;
    byte[] plain = Arrays.copyOf(bytes, cut);
    for (int i = chance.nextInt(4); i >= 0; i--) {
      plain[chance.nextInt(plain.length)] = (byte) chance.nextInt();
    }
    Mac mac = Mac.getInstance("HmacSHA256");
    mac.init(new SecretKeySpec(KEY, "HmacSHA256"));
    byte[] proof = Arrays.copyOf(mac.doFinal(plain), Seal.PROOF);
    byte[] sealed = ByteBuffer.allocate(plain.length + Seal.PROOF).put(plain).put(proof).array();
    try {
      with(KEY).read(sealed); // some changes make another letter
    } catch (Letters.Refused e) {
      assertTrue(
          e.getMessage().startsWith("proved, and no letter")
              || e.getMessage().startsWith("of form"));
    }
  }

  @Test
  void shortKeysAreRefused() {
    assertThrows(IllegalArgumentException.class, () -> Seal.of(List.of(new byte[15])));
    assertThrows(IllegalArgumentException.class, () -> Seal.of(List.of()));
  }

  @Test
  void whatDoesNotFitIsCut() throws Letters.Refused {
    PeerId author = new PeerId(1);
    Word much = new Word(author, 1, 1, 0, 1e300, Map.of(1L, new Seen(1e9, 70_000)));
    Letter read =
        with(KEY)
            .read(
                with(KEY)
                    .write(new Letter(author, 1, 1, new Body.Say(much), List.of(), List.of())));
    Word word = ((Body.Say) read.body()).word();
    assertEquals(new Seen(65_535, 65_535), word.boxes().get(1L));
    assertTrue(word.demand() <= Float.MAX_VALUE);
  }
}
