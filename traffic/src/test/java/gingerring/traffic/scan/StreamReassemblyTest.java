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
 * Reads conversations whose segments are reordered, repeated, split, overlapping or lost, and
 * compares the scans with the original ones.
 */
class StreamReassemblyTest {
  private static final int TCP_HEADER_BYTES = 20;

  /** Splits a packet's data in two packets that overlap by some bytes. */
  private static List<TimedPacket> split(TimedPacket packet, SplittableRandom random) {
    byte[] bytes = packet.bytes();
    int dataLength = bytes.length - 20 - TCP_HEADER_BYTES;
    if (dataLength < 2) {
      return List.of(packet);
    }
    int splitOffset = 1 + random.nextInt(dataLength - 1);
    int overlap = random.nextInt(splitOffset + 1);
    return List.of(
        new TimedPacket(packet.timestampNanos(), dataRange(bytes, 0, splitOffset)),
        new TimedPacket(
            packet.timestampNanos(),
            dataRange(bytes, splitOffset - overlap, dataLength - splitOffset + overlap)));
  }

  /**
   * A range of a packet's data as a packet. Checksums are not updated, since readers do not verify
   * them.
   */
  private static byte[] dataRange(byte[] bytes, int from, int length) {
    byte[] packet = new byte[40 + length];
    System.arraycopy(bytes, 0, packet, 0, 40);
    System.arraycopy(bytes, 40 + from, packet, 40, length);
    packet[2] = (byte) (packet.length >> 8);
    packet[3] = (byte) packet.length;
    int sequence = ByteBuffer.wrap(bytes).getInt(24) + from;
    ByteBuffer.wrap(packet).putInt(24, sequence);
    return packet;
  }

  private static List<TimedPacket> reordered(
      List<TimedPacket> packets, SplittableRandom random, int window) {
    List<TimedPacket> reorderedPackets = new ArrayList<>();
    for (TimedPacket packet : packets) {
      List<TimedPacket> parts = random.nextInt(3) == 0 ? split(packet, random) : List.of(packet);
      for (TimedPacket part : parts) {
        reorderedPackets.add(part);
        if (random.nextInt(5) == 0) {
          reorderedPackets.add(part);
        }
      }
    }
    // each packet moves by less than the window
    for (int i = 0; i + 1 < reorderedPackets.size(); i++) {
      int other = Math.min(reorderedPackets.size() - 1, i + random.nextInt(window));
      TimedPacket moved = reorderedPackets.get(i);
      reorderedPackets.set(i, reorderedPackets.get(other));
      reorderedPackets.set(other, moved);
    }
    return reorderedPackets;
  }

  @Property(tries = 300, seed = "7")
  void reorderedSegmentsGiveTheSameScans(
      @ForAll long seed,
      @ForAll @IntRange(min = 1, max = 12) int scans,
      @ForAll @IntRange(min = 1, max = 6) int window) {
    SplittableRandom random = new SplittableRandom(seed);
    // in some runs the sequence numbers wrap around within the conversation
    long first = random.nextBoolean() ? seed : 0xFFFFF000FFFFFF00L;
    List<TimedPacket> packets = Conversations.ofScans(4000, first, "m", scans, true);
    // the closing packets stay last: after both FINs the flow accepts no data
    List<TimedPacket> body = reordered(packets.subList(0, packets.size() - 3), random, window);
    body.addAll(packets.subList(packets.size() - 3, packets.size()));
    Map<String, ObservedScan> read = new HashMap<>();
    Conversations.read(body)
        .forEach(observed -> assertEquals(null, read.put(observed.transactionId(), observed)));
    assertEquals(scans, read.size());
    read.forEach(
        (mark, observed) -> {
          assertEquals(ScanOutcome.WHOLE, observed.outcome(), mark + observed.problem());
          assertEquals("v-" + mark, observed.valuesByPartition().get(0));
        });
  }

  /**
   * A lost packet must make the scan that it carries incomplete and no other, and no response may
   * be matched with another scan.
   */
  @Property(tries = 300, seed = "7")
  void aLostPacketMarksOnlyItsScan(
      @ForAll long seed,
      @ForAll @IntRange(min = 2, max = 12) int scans,
      @ForAll @IntRange(min = 1, max = 3) int losses) {
    SplittableRandom random = new SplittableRandom(seed);
    List<TimedPacket> packets = Conversations.ofScans(4000, seed, "m", scans, true);
    List<Integer> lost = new ArrayList<>();
    for (int i = 0; i < losses; i++) {
      lost.add(3 + random.nextInt(packets.size() - 6));
    }
    // finds the scan of each lost packet by counting the data packets of the full conversation
    Set<String> affected = new HashSet<>();
    int scan = -1;
    boolean answers = true;
    List<TimedPacket> captured = new ArrayList<>();
    for (int i = 0; i < packets.size(); i++) {
      byte[] bytes = packets.get(i).bytes();
      boolean fromMixer = bytes[15] == 2;
      if (bytes.length > 40) {
        if (!fromMixer && answers) {
          scan++;
        }
        answers = fromMixer;
      }
      if (lost.contains(i)) {
        affected.add("m" + scan);
      } else {
        captured.add(packets.get(i));
      }
    }
    Map<String, ObservedScan> whole = new HashMap<>();
    for (ObservedScan observed : Conversations.read(captured)) {
      if (observed.outcome() != ScanOutcome.INCOMPLETE) {
        assertEquals(ScanOutcome.WHOLE, observed.outcome());
        assertEquals(
            "v-" + observed.transactionId(),
            observed.valuesByPartition().get(0),
            "an answer of another scan");
        whole.put(observed.transactionId(), observed);
      }
    }
    for (int i = 0; i < scans; i++) {
      assertEquals(
          !affected.contains("m" + i), whole.containsKey("m" + i), "m" + i + " of " + affected);
    }
  }

  @Property(tries = 100, seed = "7")
  void aCaptureMayBeginAnywhere(
      @ForAll long seed,
      @ForAll @IntRange(min = 2, max = 8) int scans,
      @ForAll @IntRange(min = 0, max = 40) int skipped) {
    List<TimedPacket> packets = Conversations.ofScans(4000, seed, "m", scans, true);
    List<TimedPacket> captured =
        packets.subList(Math.min(skipped, packets.size() - 1), packets.size());
    for (ObservedScan observed : Conversations.read(captured)) {
      if (observed.outcome() == ScanOutcome.WHOLE) {
        assertEquals("v-" + observed.transactionId(), observed.valuesByPartition().get(0));
      }
    }
    if (skipped <= 3) {
      assertEquals(
          scans,
          Conversations.read(captured).stream()
              .filter(observed -> observed.outcome() == ScanOutcome.WHOLE)
              .count());
    }
  }

  @Test
  void reusedPortsAreAnotherConnection() {
    List<TimedPacket> packets = new ArrayList<>(Conversations.ofScans(4000, 5, "a", 2, true));
    packets.subList(packets.size() - 3, packets.size()).clear(); // the close was not captured
    packets.addAll(Conversations.ofScans(4000, 99L << 33 | 77777, "b", 2, true));
    List<ObservedScan> scans = Conversations.read(packets);
    assertEquals(
        List.of("a0", "a1", "b0", "b1"), scans.stream().map(ObservedScan::transactionId).toList());
    assertTrue(scans.get(0).connectionNumber() != scans.get(2).connectionNumber());
  }
}
