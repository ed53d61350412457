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
  private static final byte[] NEXT_KEY = "the key that follows".getBytes();

  private static MessageCodec codec(byte[]... keys) {
    return new MessageCodec(MessageAuthenticator.of(List.of(keys)));
  }

  private static PeerRecord randomRecord(SplittableRandom random) {
    return new PeerRecord(
        new PeerId(random.nextLong()),
        new PeerAddress(random.nextInt(), random.nextInt(1, 65_536)),
        random.nextLong(),
        random.nextInt(),
        PeerRecord.State.values()[random.nextInt(4)],
        new PeerId(random.nextLong()));
  }

  private static List<PeerRecord> randomRecords(SplittableRandom random, int max) {
    List<PeerRecord> records = new ArrayList<>();
    for (int i = random.nextInt(max + 1); i > 0; i--) {
      records.add(randomRecord(random));
    }
    return records;
  }

  private static PeerMessage randomMessage(SplittableRandom random) {
    PeerId author = new PeerId(random.nextLong());
    long incarnation = random.nextLong();
    long number = random.nextLong();
    int pingNumber = random.nextInt();
    MessageBody body =
        switch (random.nextInt(10)) {
          case 0 -> new MessageBody.Ping(pingNumber, new PeerId(random.nextLong()));
          case 1 -> new MessageBody.Ack(pingNumber);
          case 2 -> new MessageBody.Nack(pingNumber);
          case 3 ->
              new MessageBody.PingRequest(
                  pingNumber, new PeerId(random.nextLong()), randomRecord(random).address());
          case 4 -> new MessageBody.MembersRequest(random.nextLong());
          case 5 -> new MessageBody.MembersPage(randomRecords(random, 20), random.nextLong());
          case 6 -> {
            Map<Long, BoxObservation> boxes = new HashMap<>();
            for (int i = random.nextInt(MessageCodec.maxBoxes(6, 4) + 1); i > 0; i--) {
              boxes.put(
                  random.nextLong(),
                  new BoxObservation(random.nextInt(65_536), random.nextInt(65_536)));
            }
            yield new MessageBody.Report(
                new PeerReport(
                    author,
                    incarnation,
                    number,
                    random.nextInt(-1, 9),
                    random.nextInt(1000),
                    boxes));
          }
          case 7 -> new MessageBody.Query((char) random.nextInt(256), random.nextLong());
          case 8 -> new MessageBody.Reply("x\u00e9".repeat(random.nextInt(200)));
          default -> new MessageBody.Empty();
        };
    List<ProbeNotice> notices = new ArrayList<>();
    for (int i = random.nextInt(5); i > 0; i--) {
      notices.add(
          new ProbeNotice(
              new PeerId(random.nextLong()),
              random.nextLong(),
              random.nextLong(),
              random.nextLong(),
              random.nextBoolean()));
    }
    return new PeerMessage(author, incarnation, number, body, randomRecords(random, 6), notices);
  }

  @Property(tries = 400, seed = "33")
  void decodesOnlyWhatWasEncoded(@ForAll long seed) throws MessageCodec.InvalidMessage {
    SplittableRandom random = new SplittableRandom(seed);
    PeerMessage message = randomMessage(random);
    MessageCodec codec = codec(KEY);
    byte[] bytes = codec.encode(message);
    assertTrue(bytes.length <= MessageCodec.MAX_BYTES);
    assertEquals(message, codec.decode(bytes));
    byte[] corrupted = bytes.clone();
    corrupted[random.nextInt(corrupted.length)] ^= (byte) (1 << random.nextInt(8));
    assertThrows(MessageCodec.InvalidMessage.class, () -> codec.decode(corrupted));
    assertThrows(
        MessageCodec.InvalidMessage.class,
        () -> codec.decode(Arrays.copyOf(bytes, random.nextInt(bytes.length))));
    assertThrows(
        MessageCodec.InvalidMessage.class,
        () -> codec.decode(Arrays.copyOf(bytes, bytes.length + 1)));
    assertThrows(MessageCodec.InvalidMessage.class, () -> codec(NEXT_KEY).decode(bytes));
  }

  /** A key is rotated in three steps, one mixer at a time; at no step is a message rejected. */
  @Test
  void keysRotateWithoutRejectedMessages() throws MessageCodec.InvalidMessage {
    PeerMessage message = randomMessage(new SplittableRandom(1));
    List<MessageCodec> steps =
        List.of(codec(KEY), codec(KEY, NEXT_KEY), codec(NEXT_KEY, KEY), codec(NEXT_KEY));
    for (int i = 0; i + 1 < steps.size(); i++) {
      assertEquals(message, steps.get(i).decode(steps.get(i + 1).encode(message)));
      assertEquals(message, steps.get(i + 1).decode(steps.get(i).encode(message)));
    }
    assertThrows(
        MessageCodec.InvalidMessage.class, () -> steps.get(0).decode(steps.get(3).encode(message)));
  }

  /** A malformed message from a sender that has the key is rejected with a reason. */
  @Property(tries = 400, seed = "34")
  void rejectsAuthenticatedMalformedMessages(@ForAll long seed) throws Exception {
    SplittableRandom random = new SplittableRandom(seed);
    byte[] bytes = codec(KEY).encode(randomMessage(random));
    int length = bytes.length - MessageAuthenticator.TAG_BYTES;
    int cut = random.nextInt(2) == 0 ? random.nextInt(1, length) : length;
    byte[] body = Arrays.copyOf(bytes, cut);
    for (int i = random.nextInt(4); i >= 0; i--) {
      body[random.nextInt(body.length)] = (byte) random.nextInt();
    }
    Mac mac = Mac.getInstance("HmacSHA256");
    mac.init(new SecretKeySpec(KEY, "HmacSHA256"));
    byte[] tag = Arrays.copyOf(mac.doFinal(body), MessageAuthenticator.TAG_BYTES);
    byte[] signed =
        ByteBuffer.allocate(body.length + MessageAuthenticator.TAG_BYTES)
            .put(body)
            .put(tag)
            .array();
    try {
      codec(KEY).decode(signed); // some changes yield another valid message
    } catch (MessageCodec.InvalidMessage e) {
      assertTrue(
          e.getMessage().startsWith("authenticated but malformed")
              || e.getMessage().startsWith("unsupported format version"));
    }
  }

  @Test
  void rejectsShortKeys() {
    assertThrows(
        IllegalArgumentException.class, () -> MessageAuthenticator.of(List.of(new byte[15])));
    assertThrows(IllegalArgumentException.class, () -> MessageAuthenticator.of(List.of()));
  }

  @Test
  void clampsValuesThatDoNotFit() throws MessageCodec.InvalidMessage {
    PeerId author = new PeerId(1);
    PeerReport oversized =
        new PeerReport(author, 1, 1, 0, 1e300, Map.of(1L, new BoxObservation(1e9, 70_000)));
    PeerMessage decoded =
        codec(KEY)
            .decode(
                codec(KEY)
                    .encode(
                        new PeerMessage(
                            author,
                            1,
                            1,
                            new MessageBody.Report(oversized),
                            List.of(),
                            List.of())));
    PeerReport report = ((MessageBody.Report) decoded.body()).report();
    assertEquals(new BoxObservation(65_535, 65_535), report.boxes().get(1L));
    assertTrue(report.demand() <= Float.MAX_VALUE);
  }
}
