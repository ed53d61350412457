package gingerring.backend;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gingerring.decide.PartId;
import gingerring.decide.SearcherId;
import gingerring.decide.Settings;
import gingerring.net.ByteRing;
import gingerring.net.Counters;
import gingerring.net.MemoryBudget;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class FrameCodecTest {
  /** Parts of which every id but one is known. */
  private static FrameReader.Parts parts(int inFlight) {
    return new FrameReader.Parts() {
      @Override
      public boolean isKnown(String partId) {
        return !partId.equals("unknown.1");
      }

      @Override
      public int inFlight() {
        return inFlight;
      }
    };
  }

  private static String decode(byte[] bytes, int split) {
    return decode(bytes, split, 1);
  }

  /** Reads bytes in two pieces; returns the frames that reached the sink. */
  private static String decode(byte[] bytes, int split, int inFlight) {
    StringBuilder text = new StringBuilder();
    MemoryBudget memory = new MemoryBudget("frames", 1 << 20, new Counters());
    FrameReader frames = new FrameReader(parts(inFlight), memory);
    ByteRing ring = new ByteRing(4096, 4096);
    FrameReader.Sink sink =
        (letter, rest) ->
            text.append(letter).append(new String(rest, StandardCharsets.ISO_8859_1)).append('|');
    try {
      ring.put(bytes, 0, split);
      frames.read(ring, sink);
      ring.put(bytes, split, bytes.length - split);
      frames.read(ring, sink);
    } catch (MalformedFrameException e) {
      text.append("malformed");
    }
    frames.release();
    assertEquals(0, memory.reserved());
    return text.toString();
  }

  private static byte[] result(String line) {
    return FrameCodec.encode('R', line.getBytes(StandardCharsets.US_ASCII));
  }

  @Test
  void decodesTheSameFramesAtEverySplit() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.writeBytes(result("a.1 done 5 -\nvalue"));
    bytes.writeBytes(FrameCodec.encode('H', new byte[0]));
    bytes.writeBytes(result("a.2 full 5 -\n"));
    bytes.writeBytes(FrameCodec.encode('X', new byte[0])); // letters are not checked here
    for (int split = 0; split <= bytes.size(); split++) {
      assertEquals("Ra.1 done 5 -\nvalue|H|Ra.2 full 5 -\n|X|", decode(bytes.toByteArray(), split));
    }
  }

  /**
   * A frame with bytes behind it that are no length is not passed on, since its own length may be
   * wrong. Only where it had arrived alone, all of it and nothing else, was it passed on before.
   */
  @Test
  void holdsBackTheFrameBeforeMalformedBytesAtEverySplit() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.writeBytes(result("a.1 done 5 -\nvalue"));
    bytes.writeBytes(FrameCodec.encode('H', new byte[0]));
    int end = bytes.size();
    for (byte[] malformed :
        List.of(new byte[] {0, 0, 0, 0}, "lue9".getBytes(StandardCharsets.US_ASCII))) {
      bytes.writeBytes(malformed);
      for (int split = 0; split <= bytes.size(); split++) {
        assertEquals(
            "Ra.1 done 5 -\nvalue|" + (split == end ? "H|" : "") + "malformed",
            decode(bytes.toByteArray(), split));
      }
      byte[] sound = Arrays.copyOf(bytes.toByteArray(), end);
      bytes.reset();
      bytes.writeBytes(sound);
    }
  }

  /** A length that is cut off may still turn out to be out of range. */
  @Test
  void holdsBackTheFrameBeforeAnIncompleteLength() {
    byte[] frame = result("a.1 done 5 -\nvalue");
    for (int cut = 1; cut < 4; cut++) {
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      bytes.writeBytes(frame);
      bytes.write(frame, 0, cut);
      assertEquals("", decode(bytes.toByteArray(), bytes.size()));
    }
  }

  /**
   * Guards against a value cut by a length that is a few bytes too small: with the bytes that it
   * lacks, the length of the next frame may be in range again. The answer behind may have any size.
   */
  @Test
  void holdsBackAFrameCutBeforeAnotherAtEverySize() {
    for (int missing = 1; missing <= 8; missing++) {
      for (int valueLength = 1; valueLength < 1200; valueLength++) {
        byte[] cut = result("a.1 done 5 -\n0123456789abcdef");
        cut[0] -= (byte) missing;
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(cut);
        bytes.writeBytes(result("a.2 done 5 -\n" + "v".repeat(valueLength)));
        for (int inFlight = 1; inFlight <= 2; inFlight++) {
          assertEquals("malformed", decode(bytes.toByteArray(), bytes.size(), inFlight));
        }
      }
    }
  }

  /**
   * Guards against the answer to another client inside a value: a length that takes in the frame
   * behind it, whole or in part, and one frame more or not.
   */
  @Test
  void holdsBackAFrameThatTakesInAnother() {
    byte[] next = result("a.2 done 5 -\nfedcba9876543210");
    for (int taken = 1; taken <= next.length; taken++) {
      for (boolean further : new boolean[] {false, true}) {
        byte[] joined = result("a.1 done 5 -\n0123456789abcdef");
        joined[0] += (byte) taken;
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(joined);
        bytes.writeBytes(next);
        if (further) {
          bytes.writeBytes(result("a.3 done 5 -\nv"));
        }
        String decoded = decode(bytes.toByteArray(), bytes.size(), 3);
        // less than a whole length behind the frame: the codec waits for the rest, and times out
        boolean waits = !further && next.length - taken > 0 && next.length - taken < 4;
        assertEquals(waits ? "" : "malformed", decoded, "taken: " + taken);
      }
    }
  }

  /** A frame of noise may follow an answer only while no other part waits for its own. */
  @Test
  void holdsBackTheFrameBeforeFramedNoiseWhileOthersWait() {
    for (byte[] noise :
        List.of(
            result("unknown.1 done 5 -\nvalue"),
            result("nonsense"),
            FrameCodec.encode('n', "oise".getBytes(StandardCharsets.US_ASCII)))) {
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      bytes.writeBytes(result("a.1 done 5 -\nvalue"));
      bytes.writeBytes(noise);
      assertEquals("malformed", decode(bytes.toByteArray(), bytes.size(), 2));
      assertTrue(decode(bytes.toByteArray(), bytes.size(), 1).startsWith("Ra.1 done 5 -\nvalue|"));
    }
  }

  /** Text may have control characters, also NUL, as long as they are no head of a frame. */
  @Test
  void deliversValuesWithControlCharacters() {
    String line = "a.1 done 5 -\n\0text\0more\1\0.\t";
    assertEquals('R' + line + '|', decode(result(line), 0));
  }

  /** The told length takes no memory; what has arrived does, up to the limit of all connections. */
  @Test
  void limitsTheMemoryOfIncompleteFrames() throws Exception {
    MemoryBudget memory = new MemoryBudget("frames", 8192, new Counters());
    byte[] frame = result("a.1 done 5 -\n" + "v".repeat(60_000));
    FrameReader first = new FrameReader(parts(1), memory);
    ByteRing ring = new ByteRing(8192, 8192);
    ring.put(frame, 0, 8);
    first.read(ring, (letter, rest) -> {});
    assertEquals(0, memory.reserved());
    ring.put(frame, 8, 5000);
    first.read(ring, (letter, rest) -> {});
    FrameReader second = new FrameReader(parts(1), memory);
    ring.put(frame, 0, 8000);
    assertThrows(MalformedFrameException.class, () -> second.read(ring, (letter, rest) -> {}));
    second.release();
    first.release();
    assertEquals(0, memory.reserved());
  }

  @Test
  void decodesRandomBytesOrReportsThemAsMalformed() {
    SplittableRandom random = new SplittableRandom(3);
    for (int round = 0; round < 20_000; round++) {
      byte[] bytes = new byte[random.nextInt(40)];
      random.nextBytes(bytes);
      for (int i = 1; i < bytes.length; i += 2) {
        bytes[i] = 0;
      }
      decode(bytes, random.nextInt(bytes.length + 1));
    }
  }

  @Test
  void encodesACallAsTheProtocolDefines() {
    OutboundTrip trip =
        new OutboundTrip(
            new PartId(1),
            0,
            new SearcherId(1),
            "9b1f03aa5c7e2d41",
            3,
            "5c0f6e1a2b3d4c59a8b7c6d5e4f30211",
            "c41e77d0".getBytes(StandardCharsets.US_ASCII),
            Duration.ofMillis(1240));
    String line = "S9b1f03aa5c7e2d41 3 d=240,k=5c0f6e1a2b3d4c59a8b7c6d5e4f30211 8\nc41e77d0";
    byte[] call = FrameCodec.encodeCall(List.of(trip), Duration.ofSeconds(1));
    assertEquals("\0\0\0" + line, new String(call, 1, call.length - 1, StandardCharsets.US_ASCII));
    assertEquals(line.length(), call[0]);
  }

  /** An unreadable report counts as none and does not affect the answer that it came with. */
  @Test
  void parsesLoadReportsIntoTheConfiguredColumns() {
    Counters counts = new Counters();
    LoadReportParser reports =
        new LoadReportParser(
            new Settings(Map.of("LoadReport.Columns", "depth,load_share")), counts);
    assertArrayEquals(new float[] {7, 0.5f}, reports.parse("inflight=3,util=0.5,queue=7"));
    assertEquals(0, reports.parse("-").length);
    for (String unreadable : List.of("queue", "queue=NaN", "", ",", "=3", "queue=7,util")) {
      assertEquals(0, reports.parse(unreadable).length, unreadable);
    }
    assertEquals(6, counts.get("unreadable load reports"));
  }
}
