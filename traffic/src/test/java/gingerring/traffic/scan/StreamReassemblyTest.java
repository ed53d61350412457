package gingerring.traffic.scan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gingerring.traffic.Conversations;
import gingerring.traffic.Conversations.TimedPacket;
import gingerring.traffic.scan.ObservedScan.ScanOutcome;
import java.nio.ByteBuffer;
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

/**
 * Segments shuffled, repeated, cut in two, overlapping, lost: what is read against what was said.
 */
class StreamReassemblyTest {
  private static final int TCP = 20;

  /** Cuts a packet's data in two that overlap by some bytes. */
  private static List<TimedPacket> split(TimedPacket piece, SplittableRandom random) {
    byte[] b = piece.bytes();
    int data = b.length - 20 - TCP;
    if (data < 2) {
      return List.of(piece);
    }
    int cut = 1 + random.nextInt(data - 1);
    int back = random.nextInt(cut + 1);
    return List.of(
        new TimedPacket(piece.timestampNanos(), part(b, 0, cut)),
        new TimedPacket(piece.timestampNanos(), part(b, cut - back, data - cut + back)));
  }

  /**
   * Some of a packet's data as a packet; checksums are left as they were, since none are judged.
   */
  private static byte[] part(byte[] b, int from, int length) {
    byte[] some = new byte[40 + length];
    System.arraycopy(b, 0, some, 0, 40);
    System.arraycopy(b, 40 + from, some, 40, length);
    some[2] = (byte) (some.length >> 8);
    some[3] = (byte) some.length;
    int sequence = ByteBuffer.wrap(b).getInt(24) + from;
    ByteBuffer.wrap(some).putInt(24, sequence);
    return some;
  }

  private static List<TimedPacket> disturbed(
      List<TimedPacket> pieces, SplittableRandom random, int window) {
    List<TimedPacket> out = new ArrayList<>();
    for (TimedPacket piece : pieces) {
      List<TimedPacket> parts = random.nextInt(3) == 0 ? split(piece, random) : List.of(piece);
      for (TimedPacket part : parts) {
        out.add(part);
        if (random.nextInt(5) == 0) {
          out.add(part);
        }
      }
    }
    // each moves by less than the window
    for (int i = 0; i + 1 < out.size(); i++) {
      int other = Math.min(out.size() - 1, i + random.nextInt(window));
      TimedPacket moved = out.get(i);
      out.set(i, out.get(other));
      out.set(other, moved);
    }
    return out;
  }

  @Property(tries = 300, seed = "7")
  void disorderChangesNothing(
      @ForAll long seed,
      @ForAll @IntRange(min = 1, max = 12) int scans,
      @ForAll @IntRange(min = 1, max = 6) int window) {
    SplittableRandom random = new SplittableRandom(seed);
    // sequence numbers that wrap within the conversation, at times
    long first = random.nextBoolean() ? seed : 0xFFFFF000FFFFFF00L;
    List<TimedPacket> pieces = Conversations.ofScans(4000, first, "m", scans, true);
    // the ends stay last: after both no more is taken, as on the wire
    List<TimedPacket> body = disturbed(pieces.subList(0, pieces.size() - 3), random, window);
    body.addAll(pieces.subList(pieces.size() - 3, pieces.size()));
    Map<String, ObservedScan> read = new HashMap<>();
    Conversations.read(body)
        .forEach(seen -> assertEquals(null, read.put(seen.transactionId(), seen)));
    assertEquals(scans, read.size());
    read.forEach(
        (mark, seen) -> {
          assertEquals(ScanOutcome.WHOLE, seen.outcome(), mark + seen.problem());
          assertEquals("v-" + mark, seen.valuesByPartition().get(0));
        });
  }

  /**
   * What is lost makes the scan that it was part of incomplete, and no other; nothing is mistaken.
   */
  @Property(tries = 300, seed = "7")
  void lossIsMarkedWhereItWas(
      @ForAll long seed,
      @ForAll @IntRange(min = 2, max = 12) int scans,
      @ForAll @IntRange(min = 1, max = 3) int losses) {
    SplittableRandom random = new SplittableRandom(seed);
    List<TimedPacket> pieces = Conversations.ofScans(4000, seed, "m", scans, true);
    List<Integer> lost = new ArrayList<>();
    for (int i = 0; i < losses; i++) {
      lost.add(3 + random.nextInt(pieces.size() - 6));
    }
    // which scans a lost packet belongs to: by counting data packets of the undisturbed
    // conversation
    Set<String> hurt = new HashSet<>();
    int scan = -1;
    boolean answers = true;
    List<TimedPacket> left = new ArrayList<>();
    for (int i = 0; i < pieces.size(); i++) {
      byte[] b = pieces.get(i).bytes();
      boolean fromMixer = b[15] == 2;
      if (b.length > 40) {
        if (!fromMixer && answers) {
          scan++;
        }
        answers = fromMixer;
      }
      if (lost.contains(i)) {
        hurt.add("m" + scan);
      } else {
        left.add(pieces.get(i));
      }
    }
    Map<String, ObservedScan> whole = new HashMap<>();
    for (ObservedScan seen : Conversations.read(left)) {
      if (seen.outcome() != ScanOutcome.INCOMPLETE) {
        assertEquals(ScanOutcome.WHOLE, seen.outcome());
        assertEquals(
            "v-" + seen.transactionId(),
            seen.valuesByPartition().get(0),
            "an answer of another scan");
        whole.put(seen.transactionId(), seen);
      }
    }
    for (int i = 0; i < scans; i++) {
      assertEquals(!hurt.contains("m" + i), whole.containsKey("m" + i), "m" + i + " of " + hurt);
    }
  }

  @Property(tries = 100, seed = "7")
  void aCaptureMayBeginAnywhere(
      @ForAll long seed,
      @ForAll @IntRange(min = 2, max = 8) int scans,
      @ForAll @IntRange(min = 0, max = 40) int skipped) {
    List<TimedPacket> pieces = Conversations.ofScans(4000, seed, "m", scans, true);
    List<TimedPacket> rest = pieces.subList(Math.min(skipped, pieces.size() - 1), pieces.size());
    for (ObservedScan seen : Conversations.read(rest)) {
      if (seen.outcome() == ScanOutcome.WHOLE) {
        assertEquals("v-" + seen.transactionId(), seen.valuesByPartition().get(0));
      }
    }
    if (skipped <= 3) {
      assertEquals(
          scans,
          Conversations.read(rest).stream()
              .filter(seen -> seen.outcome() == ScanOutcome.WHOLE)
              .count());
    }
  }

  @Test
  void portsUsedAgainAreAnotherConnection() {
    List<TimedPacket> pieces = new ArrayList<>(Conversations.ofScans(4000, 5, "a", 2, true));
    pieces.subList(pieces.size() - 3, pieces.size()).clear(); // its end was not captured
    pieces.addAll(Conversations.ofScans(4000, 99L << 33 | 77777, "b", 2, true));
    List<ObservedScan> scans = Conversations.read(pieces);
    assertEquals(
        List.of("a0", "a1", "b0", "b1"), scans.stream().map(ObservedScan::transactionId).toList());
    assertTrue(scans.get(0).connectionNumber() != scans.get(2).connectionNumber());
  }
}
