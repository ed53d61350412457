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

class MessageCodecTest {
  private static final byte[] KEY = "a key of this fleet".getBytes();
  private static final byte[] NEXT = "the key that follows".getBytes();

  private static MessageCodec with(byte[]... keys) {
    return new MessageCodec(MessageAuthenticator.of(List.of(keys)));
  }

  private static PeerRecord standing(SplittableRandom chance) {
    return new PeerRecord(
        new PeerId(chance.nextLong()),
        new PeerAddress(chance.nextInt(), chance.nextInt(1, 65_536)),
        chance.nextLong(),
        chance.nextInt(),
        PeerRecord.State.values()[chance.nextInt(4)],
        new PeerId(chance.nextLong()));
  }

  private static List<PeerRecord> standings(SplittableRandom chance, int most) {
    List<PeerRecord> standings = new ArrayList<>();
    for (int i = chance.nextInt(most + 1); i > 0; i--) {
      standings.add(standing(chance));
    }
    return standings;
  }

  private static PeerMessage letter(SplittableRandom chance) {
    PeerId author = new PeerId(chance.nextLong());
    long life = chance.nextLong();
    long number = chance.nextLong();
    int asked = chance.nextInt();
    MessageBody body =
        switch (chance.nextInt(10)) {
          case 0 -> new MessageBody.Ping(asked, new PeerId(chance.nextLong()));
          case 1 -> new MessageBody.Ack(asked);
          case 2 -> new MessageBody.Nack(asked);
          case 3 ->
              new MessageBody.PingRequest(
                  asked, new PeerId(chance.nextLong()), standing(chance).address());
          case 4 -> new MessageBody.MembersRequest(chance.nextLong());
          case 5 -> new MessageBody.MembersPage(standings(chance, 20), chance.nextLong());
          case 6 -> {
            Map<Long, BoxObservation> boxes = new HashMap<>();
            for (int i = chance.nextInt(MessageCodec.maxBoxes(6, 4) + 1); i > 0; i--) {
              boxes.put(
                  chance.nextLong(),
                  new BoxObservation(chance.nextInt(65_536), chance.nextInt(65_536)));
            }
            yield new MessageBody.Report(
                new PeerReport(
                    author, life, number, chance.nextInt(-1, 9), chance.nextInt(1000), boxes));
          }
          case 7 -> new MessageBody.Query((char) chance.nextInt(256), chance.nextLong());
          case 8 -> new MessageBody.Reply("x\u00e9".repeat(chance.nextInt(200)));
          default -> new MessageBody.Empty();
        };
    List<ProbeNotice> notes = new ArrayList<>();
    for (int i = chance.nextInt(5); i > 0; i--) {
      notes.add(
          new ProbeNotice(
              new PeerId(chance.nextLong()),
              chance.nextLong(),
              chance.nextLong(),
              chance.nextLong(),
              chance.nextBoolean()));
    }
    return new PeerMessage(author, life, number, body, standings(chance, 6), notes);
  }

  @Property(tries = 400, seed = "33")
  void whatIsWrittenIsReadAndNothingElseIs(@ForAll long seed) throws MessageCodec.InvalidMessage {
    SplittableRandom chance = new SplittableRandom(seed);
    PeerMessage letter = letter(chance);
    MessageCodec letters = with(KEY);
    byte[] bytes = letters.encode(letter);
    assertTrue(bytes.length <= MessageCodec.MAX_BYTES);
    assertEquals(letter, letters.decode(bytes));
    byte[] bent = bytes.clone();
    bent[chance.nextInt(bent.length)] ^= (byte) (1 << chance.nextInt(8));
    assertThrows(MessageCodec.InvalidMessage.class, () -> letters.decode(bent));
    assertThrows(
        MessageCodec.InvalidMessage.class,
        () -> letters.decode(Arrays.copyOf(bytes, chance.nextInt(bytes.length))));
    assertThrows(
        MessageCodec.InvalidMessage.class,
        () -> letters.decode(Arrays.copyOf(bytes, bytes.length + 1)));
    assertThrows(MessageCodec.InvalidMessage.class, () -> with(NEXT).decode(bytes));
  }

  /** A key is changed in three steps, mixer by mixer; at no step is a letter refused. */
  @Test
  void keysChangeWithoutAGap() throws MessageCodec.InvalidMessage {
    PeerMessage letter = letter(new SplittableRandom(1));
    List<MessageCodec> steps = List.of(with(KEY), with(KEY, NEXT), with(NEXT, KEY), with(NEXT));
    for (int i = 0; i + 1 < steps.size(); i++) {
      assertEquals(letter, steps.get(i).decode(steps.get(i + 1).encode(letter)));
      assertEquals(letter, steps.get(i + 1).decode(steps.get(i).encode(letter)));
    }
    assertThrows(
        MessageCodec.InvalidMessage.class, () -> steps.get(0).decode(steps.get(3).encode(letter)));
  }

  /** Who holds the key and writes nonsense is refused with a reason, whatever the nonsense. */
  @Property(tries = 400, seed = "34")
  void provedNonsenseIsRefused(@ForAll long seed) throws Exception {
    SplittableRandom chance = new SplittableRandom(seed);
    byte[] bytes = with(KEY).encode(letter(chance));
    int length = bytes.length - MessageAuthenticator.TAG_BYTES;
    int cut = chance.nextInt(2) == 0 ? chance.nextInt(1, length) : length;
    byte[] plain = Arrays.copyOf(bytes, cut);
    for (int i = chance.nextInt(4); i >= 0; i--) {
      plain[chance.nextInt(plain.length)] = (byte) chance.nextInt();
    }
    Mac mac = Mac.getInstance("HmacSHA256");
    mac.init(new SecretKeySpec(KEY, "HmacSHA256"));
    byte[] proof = Arrays.copyOf(mac.doFinal(plain), MessageAuthenticator.TAG_BYTES);
    byte[] sealed =
        ByteBuffer.allocate(plain.length + MessageAuthenticator.TAG_BYTES)
            .put(plain)
            .put(proof)
            .array();
    try {
      with(KEY).decode(sealed); // some changes make another letter
    } catch (MessageCodec.InvalidMessage e) {
      assertTrue(
          e.getMessage().startsWith("authenticated but malformed")
              || e.getMessage().startsWith("unsupported format version"));
    }
  }

  @Test
  void shortKeysAreRefused() {
    assertThrows(
        IllegalArgumentException.class, () -> MessageAuthenticator.of(List.of(new byte[15])));
    assertThrows(IllegalArgumentException.class, () -> MessageAuthenticator.of(List.of()));
  }

  @Test
  void whatDoesNotFitIsCut() throws MessageCodec.InvalidMessage {
    PeerId author = new PeerId(1);
    PeerReport much =
        new PeerReport(author, 1, 1, 0, 1e300, Map.of(1L, new BoxObservation(1e9, 70_000)));
    PeerMessage read =
        with(KEY)
            .decode(
                with(KEY)
                    .encode(
                        new PeerMessage(
                            author, 1, 1, new MessageBody.Report(much), List.of(), List.of())));
    PeerReport word = ((MessageBody.Report) read.body()).report();
    assertEquals(new BoxObservation(65_535, 65_535), word.boxes().get(1L));
    assertTrue(word.demand() <= Float.MAX_VALUE);
  }
}
