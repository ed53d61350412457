package gingerring.traffic.pcap;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gingerring.traffic.Conversations;
import gingerring.traffic.Conversations.TimedPacket;
import gingerring.traffic.flow.ReassemblyLimits;
import gingerring.traffic.scan.ObservedScan;
import gingerring.traffic.scan.RecordingReader;
import java.io.ByteArrayInputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** File forms, link types, fragments and headers. */
class CaptureFormatTest {
  @TempDir Path folder;

  @Test
  void readsWhatItWrites() throws Exception {
    List<TimedPacket> pieces = Conversations.ofScans(4000, 3, "m", 5, true);
    for (String name : List.of("a.pcap", "a.pcapng", "a.pcap.gz", "a.pcapng.zst")) {
      Path file = folder.resolve(name);
      Conversations.write(file, pieces);
      assertFalse(Files.exists(folder.resolve(name + ".part")));
      List<ObservedScan> scans = new ArrayList<>();
      RecordingReader.Summary summary =
          RecordingReader.read(file, ReassemblyLimits.DEFAULT, s -> true, scans::add);
      assertEquals(5, scans.size(), name);
      assertEquals(pieces.size(), summary.packets(), name);
      assertEquals(Conversations.START, summary.firstNanos(), name);
      assertEquals("v-m4", scans.get(4).valuesByPartition().get(0), name);
      byte[] bytes = Files.readAllBytes(file);
      Files.write(file, Arrays.copyOf(bytes, bytes.length - 30));
      if (name.endsWith(".zst")) { // one frame of it is unpacked whole or not at all
        assertThrows(
            UnreadableCaptureException.class,
            () -> RecordingReader.read(file, ReassemblyLimits.DEFAULT, s -> true, seen -> {}));
      } else {
        assertEquals(
            CaptureReader.EndState.CUT,
            RecordingReader.read(file, ReassemblyLimits.DEFAULT, s -> true, s -> {}).endState(),
            name);
      }
    }
  }

  @Test
  void marksDropsInTheFile() throws Exception {
    Path file = folder.resolve("d.pcapng");
    try (CaptureWriter out = new CaptureWriter(file, 101)) {
      out.writeDropCount(Conversations.START, 7);
      out.writeDropCount(Conversations.START, 5);
    }
    assertEquals(
        12,
        RecordingReader.read(file, ReassemblyLimits.DEFAULT, s -> true, seen -> {})
            .droppedPackets());
  }

  private static byte[] file(ByteOrder order, int magic, int link, byte[]... packets) {
    ByteBuffer file = ByteBuffer.allocate(1 << 17).order(order);
    file.putInt(magic)
        .putShort((short) 2)
        .putShort((short) 4)
        .putInt(0)
        .putInt(0)
        .putInt(65535)
        .putInt(link);
    for (byte[] packet : packets) {
      file.putInt(1_790_000_000)
          .putInt(500_000)
          .putInt(packet.length)
          .putInt(packet.length)
          .put(packet);
    }
    return Arrays.copyOf(file.array(), file.position());
  }

  private static byte[] data() {
    return Conversations.ofScans(4000, 3, "m", 1, true).get(3).bytes();
  }

  private static byte[] framed(int... head) {
    byte[] packet = data();
    byte[] framed = new byte[head.length + packet.length];
    for (int i = 0; i < head.length; i++) {
      framed[i] = (byte) head[i];
    }
    System.arraycopy(packet, 0, framed, head.length, packet.length);
    return framed;
  }

  private static Segment only(byte[] file) throws Exception {
    CaptureReader reader = CaptureReader.fromStream("it", new ByteArrayInputStream(file));
    Packet packet = new Packet();
    PacketDecoder layers = new PacketDecoder();
    Segment found = null;
    while (reader.next(packet)) {
      Segment segment = new Segment();
      if (layers.decode(packet, segment)) {
        found = segment;
      }
    }
    assertEquals(CaptureReader.EndState.WHOLE, reader.endState(), reader.endReason());
    return found;
  }

  private static void same(Segment segment) {
    assertEquals(4000, segment.sourcePort);
    assertEquals(8081, segment.destinationPort);
    assertEquals(data().length - 40, segment.payloadLength);
    assertEquals('P', segment.buffer[segment.payloadOffset]);
    assertEquals(0xFFFF7F000001L, segment.sourceLow);
  }

  @Test
  void readsBothByteOrdersAndBothUnits() throws Exception {
    for (ByteOrder order : List.of(ByteOrder.BIG_ENDIAN, ByteOrder.LITTLE_ENDIAN)) {
      Segment micros = only(file(order, 0xa1b2c3d4, 101, data()));
      same(micros);
      assertEquals(1_790_000_000_500_000_000L, micros.timestampNanos);
      assertEquals(
          1_790_000_000_000_500_000L, only(file(order, 0xa1b23c4d, 101, data())).timestampNanos);
    }
  }

  @Test
  void readsEveryLinkType() throws Exception {
    int[] mac = {1, 2, 3, 4, 5, 6, 1, 2, 3, 4, 5, 6};
    int[] ether = Arrays.copyOf(mac, 14);
    ether[12] = 8;
    same(only(file(ByteOrder.BIG_ENDIAN, 0xa1b2c3d4, 1, framed(ether))));
    int[] tagged = {1, 2, 3, 4, 5, 6, 1, 2, 3, 4, 5, 6, 0x88, 0xa8, 0, 9, 0x81, 0, 0, 7, 8, 0};
    same(only(file(ByteOrder.BIG_ENDIAN, 0xa1b2c3d4, 1, framed(tagged))));
    int[] cooked = new int[16];
    cooked[14] = 8;
    same(only(file(ByteOrder.BIG_ENDIAN, 0xa1b2c3d4, 113, framed(cooked))));
    int[] cooked2 = new int[20];
    cooked2[0] = 8;
    same(only(file(ByteOrder.BIG_ENDIAN, 0xa1b2c3d4, 276, framed(cooked2))));
    same(only(file(ByteOrder.BIG_ENDIAN, 0xa1b2c3d4, 0, framed(2, 0, 0, 0))));
    same(only(file(ByteOrder.BIG_ENDIAN, 0xa1b2c3d4, 108, framed(0, 0, 0, 2))));
    assertEquals(null, only(file(ByteOrder.BIG_ENDIAN, 0xa1b2c3d4, 147, data())));
    byte[] padded = Arrays.copyOf(framed(ether), data().length + 14 + 6);
    same(only(file(ByteOrder.BIG_ENDIAN, 0xa1b2c3d4, 1, padded)));
  }

  @Test
  void readsLittleEndianBlocksWithTheirUnitsOfTime() throws Exception {
    byte[] packet = data();
    int padded = packet.length + 3 & ~3;
    ByteBuffer file = ByteBuffer.allocate(1 << 14).order(ByteOrder.LITTLE_ENDIAN);
    file.putInt(0x0a0d0d0a).putInt(28).putInt(0x1a2b3c4d).putInt(1).putLong(-1).putInt(28);
    file.putInt(1)
        .putInt(32)
        .putInt(101)
        .putInt(0)
        .putShort((short) 9)
        .putShort((short) 1)
        .putInt(0x83)
        .putInt(0)
        .putInt(32); // an eighth of a second
    file.putInt(0x0BAD).putInt(16).putInt(0).putInt(16); // a block of another maker
    long time = 1_790_000_000L * 8 + 3;
    file.putInt(6)
        .putInt(32 + padded)
        .putInt(0)
        .putInt((int) (time >>> 32))
        .putInt((int) time)
        .putInt(packet.length)
        .putInt(packet.length)
        .put(packet)
        .position(file.position() + padded - packet.length);
    file.putInt(32 + padded);
    Segment segment = only(Arrays.copyOf(file.array(), file.position()));
    same(segment);
    assertEquals(1_790_000_000_375_000_000L, segment.timestampNanos);
  }

  @Test
  void putsFragmentsTogether() throws Exception {
    byte[] whole = data();
    int cut = 20 + 160;
    byte[] one = Arrays.copyOf(whole, cut);
    byte[] two = new byte[20 + whole.length - cut];
    System.arraycopy(whole, 0, two, 0, 20);
    System.arraycopy(whole, cut, two, 20, whole.length - cut);
    one[2] = (byte) (one.length >> 8);
    one[3] = (byte) one.length;
    one[6] = 0x20;
    two[2] = (byte) (two.length >> 8);
    two[3] = (byte) two.length;
    two[6] = 0;
    two[7] = 160 / 8;
    same(only(file(ByteOrder.BIG_ENDIAN, 0xa1b2c3d4, 101, one, two)));
    same(only(file(ByteOrder.BIG_ENDIAN, 0xa1b2c3d4, 101, two, one, one)));
    assertEquals(null, only(file(ByteOrder.BIG_ENDIAN, 0xa1b2c3d4, 101, one)));
  }

  @Test
  void passesOverExtensionHeaders() throws Exception {
    byte[] whole = data();
    byte[] six = new byte[40 + 8 + 8 + whole.length - 20];
    six[0] = 0x60;
    six[4] = (byte) (six.length - 40 >> 8);
    six[5] = (byte) (six.length - 40);
    six[6] = 0; // hop by hop, then a fragment that is whole
    six[23] = 1;
    six[39] = 2;
    six[40] = 44;
    six[48] = 6;
    System.arraycopy(whole, 20, six, 56, whole.length - 20);
    Segment segment = only(file(ByteOrder.BIG_ENDIAN, 0xa1b2c3d4, 229, six));
    assertEquals(4000, segment.sourcePort);
    assertEquals(1, segment.sourceLow);
    assertEquals(whole.length - 40, segment.payloadLength);
  }

  @Test
  void aPacketCutShortLosesItsEnd() throws Exception {
    byte[] whole = data();
    ByteBuffer file = ByteBuffer.allocate(1 << 12);
    file.putInt(0xa1b2c3d4).putInt(2 << 16 | 4).putInt(0).putInt(0).putInt(96).putInt(101);
    file.putInt(1).putInt(0).putInt(96).putInt(whole.length).put(whole, 0, 96);
    Segment segment = only(Arrays.copyOf(file.array(), file.position()));
    assertEquals(56, segment.payloadLength);
    assertEquals(whole.length - 96, segment.truncatedBytes);
    assertTrue(segment.truncatedBytes > 0);
  }
}
