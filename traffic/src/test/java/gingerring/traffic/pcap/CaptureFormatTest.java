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

/** Capture file formats, link types, fragments and extension headers. */
class CaptureFormatTest {
  @TempDir Path folder;

  @Test
  void readsWhatItWrites() throws Exception {
    List<TimedPacket> packets = Conversations.ofScans(4000, 3, "m", 5, true);
    for (String name : List.of("a.pcap", "a.pcapng", "a.pcap.gz", "a.pcapng.zst")) {
      Path file = folder.resolve(name);
      Conversations.write(file, packets);
      assertFalse(Files.exists(folder.resolve(name + ".part")));
      List<ObservedScan> scans = new ArrayList<>();
      RecordingReader.Summary summary =
          RecordingReader.read(file, ReassemblyLimits.DEFAULT, s -> true, scans::add);
      assertEquals(5, scans.size(), name);
      assertEquals(packets.size(), summary.packets(), name);
      assertEquals(Conversations.START, summary.firstNanos(), name);
      assertEquals("v-m4", scans.get(4).valuesByPartition().get(0), name);
      byte[] bytes = Files.readAllBytes(file);
      Files.write(file, Arrays.copyOf(bytes, bytes.length - 30));
      if (name.endsWith(".zst")) { // a zstd frame is decompressed completely or not at all
        assertThrows(
            UnreadableCaptureException.class,
            () -> RecordingReader.read(file, ReassemblyLimits.DEFAULT, s -> true, scan -> {}));
      } else {
        assertEquals(
            CaptureReader.EndState.CUT,
            RecordingReader.read(file, ReassemblyLimits.DEFAULT, s -> true, s -> {}).endState(),
            name);
      }
    }
  }

  @Test
  void recordsDropsInTheFile() throws Exception {
    Path file = folder.resolve("d.pcapng");
    try (CaptureWriter writer = new CaptureWriter(file, 101)) {
      writer.writeDropCount(Conversations.START, 7);
      writer.writeDropCount(Conversations.START, 5);
    }
    assertEquals(
        12,
        RecordingReader.read(file, ReassemblyLimits.DEFAULT, s -> true, scan -> {})
            .droppedPackets());
  }

  private static byte[] pcapFile(ByteOrder order, int magic, int link, byte[]... packets) {
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

  private static byte[] dataPacket() {
    return Conversations.ofScans(4000, 3, "m", 1, true).get(3).bytes();
  }

  private static byte[] withLinkHeader(int... head) {
    byte[] packet = dataPacket();
    byte[] framed = new byte[head.length + packet.length];
    for (int i = 0; i < head.length; i++) {
      framed[i] = (byte) head[i];
    }
    System.arraycopy(packet, 0, framed, head.length, packet.length);
    return framed;
  }

  private static Segment decodeOnly(byte[] file) throws Exception {
    CaptureReader reader = CaptureReader.fromStream("it", new ByteArrayInputStream(file));
    Packet packet = new Packet();
    PacketDecoder decoder = new PacketDecoder();
    Segment found = null;
    while (reader.next(packet)) {
      Segment segment = new Segment();
      if (decoder.decode(packet, segment)) {
        found = segment;
      }
    }
    assertEquals(CaptureReader.EndState.WHOLE, reader.endState(), reader.endReason());
    return found;
  }

  private static void assertIsDataSegment(Segment segment) {
    assertEquals(4000, segment.sourcePort);
    assertEquals(8081, segment.destinationPort);
    assertEquals(dataPacket().length - 40, segment.payloadLength);
    assertEquals('P', segment.buffer[segment.payloadOffset]);
    assertEquals(0xFFFF7F000001L, segment.sourceLow);
  }

  @Test
  void readsBothByteOrdersAndBothUnits() throws Exception {
    for (ByteOrder order : List.of(ByteOrder.BIG_ENDIAN, ByteOrder.LITTLE_ENDIAN)) {
      Segment micros = decodeOnly(pcapFile(order, 0xa1b2c3d4, 101, dataPacket()));
      assertIsDataSegment(micros);
      assertEquals(1_790_000_000_500_000_000L, micros.timestampNanos);
      assertEquals(
          1_790_000_000_000_500_000L,
          decodeOnly(pcapFile(order, 0xa1b23c4d, 101, dataPacket())).timestampNanos);
    }
  }

  @Test
  void readsEveryLinkType() throws Exception {
    int[] mac = {1, 2, 3, 4, 5, 6, 1, 2, 3, 4, 5, 6};
    int[] ether = Arrays.copyOf(mac, 14);
    ether[12] = 8;
    assertIsDataSegment(
        decodeOnly(pcapFile(ByteOrder.BIG_ENDIAN, 0xa1b2c3d4, 1, withLinkHeader(ether))));
    int[] tagged = {1, 2, 3, 4, 5, 6, 1, 2, 3, 4, 5, 6, 0x88, 0xa8, 0, 9, 0x81, 0, 0, 7, 8, 0};
    assertIsDataSegment(
        decodeOnly(pcapFile(ByteOrder.BIG_ENDIAN, 0xa1b2c3d4, 1, withLinkHeader(tagged))));
    int[] cooked = new int[16];
    cooked[14] = 8;
    assertIsDataSegment(
        decodeOnly(pcapFile(ByteOrder.BIG_ENDIAN, 0xa1b2c3d4, 113, withLinkHeader(cooked))));
    int[] cooked2 = new int[20];
    cooked2[0] = 8;
    assertIsDataSegment(
        decodeOnly(pcapFile(ByteOrder.BIG_ENDIAN, 0xa1b2c3d4, 276, withLinkHeader(cooked2))));
    assertIsDataSegment(
        decodeOnly(pcapFile(ByteOrder.BIG_ENDIAN, 0xa1b2c3d4, 0, withLinkHeader(2, 0, 0, 0))));
    assertIsDataSegment(
        decodeOnly(pcapFile(ByteOrder.BIG_ENDIAN, 0xa1b2c3d4, 108, withLinkHeader(0, 0, 0, 2))));
    assertEquals(null, decodeOnly(pcapFile(ByteOrder.BIG_ENDIAN, 0xa1b2c3d4, 147, dataPacket())));
    byte[] padded = Arrays.copyOf(withLinkHeader(ether), dataPacket().length + 14 + 6);
    assertIsDataSegment(decodeOnly(pcapFile(ByteOrder.BIG_ENDIAN, 0xa1b2c3d4, 1, padded)));
  }

  @Test
  void readsLittleEndianBlocksWithTheirTimestampUnit() throws Exception {
    byte[] packet = dataPacket();
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
        .putInt(32); // unit of an eighth of a second
    file.putInt(0x0BAD).putInt(16).putInt(0).putInt(16); // a vendor block
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
    Segment segment = decodeOnly(Arrays.copyOf(file.array(), file.position()));
    assertIsDataSegment(segment);
    assertEquals(1_790_000_000_375_000_000L, segment.timestampNanos);
  }

  @Test
  void reassemblesFragments() throws Exception {
    byte[] whole = dataPacket();
    int cut = 20 + 160;
    byte[] first = Arrays.copyOf(whole, cut);
    byte[] second = new byte[20 + whole.length - cut];
    System.arraycopy(whole, 0, second, 0, 20);
    System.arraycopy(whole, cut, second, 20, whole.length - cut);
    first[2] = (byte) (first.length >> 8);
    first[3] = (byte) first.length;
    first[6] = 0x20;
    second[2] = (byte) (second.length >> 8);
    second[3] = (byte) second.length;
    second[6] = 0;
    second[7] = 160 / 8;
    assertIsDataSegment(decodeOnly(pcapFile(ByteOrder.BIG_ENDIAN, 0xa1b2c3d4, 101, first, second)));
    assertIsDataSegment(
        decodeOnly(pcapFile(ByteOrder.BIG_ENDIAN, 0xa1b2c3d4, 101, second, first, first)));
    assertEquals(null, decodeOnly(pcapFile(ByteOrder.BIG_ENDIAN, 0xa1b2c3d4, 101, first)));
  }

  @Test
  void skipsExtensionHeaders() throws Exception {
    byte[] whole = dataPacket();
    byte[] ipv6Packet = new byte[40 + 8 + 8 + whole.length - 20];
    ipv6Packet[0] = 0x60;
    ipv6Packet[4] = (byte) (ipv6Packet.length - 40 >> 8);
    ipv6Packet[5] = (byte) (ipv6Packet.length - 40);
    ipv6Packet[6] = 0; // hop-by-hop header, then a fragment header of an unfragmented datagram
    ipv6Packet[23] = 1;
    ipv6Packet[39] = 2;
    ipv6Packet[40] = 44;
    ipv6Packet[48] = 6;
    System.arraycopy(whole, 20, ipv6Packet, 56, whole.length - 20);
    Segment segment = decodeOnly(pcapFile(ByteOrder.BIG_ENDIAN, 0xa1b2c3d4, 229, ipv6Packet));
    assertEquals(4000, segment.sourcePort);
    assertEquals(1, segment.sourceLow);
    assertEquals(whole.length - 40, segment.payloadLength);
  }

  @Test
  void aTruncatedPacketLosesItsEnd() throws Exception {
    byte[] whole = dataPacket();
    ByteBuffer file = ByteBuffer.allocate(1 << 12);
    file.putInt(0xa1b2c3d4).putInt(2 << 16 | 4).putInt(0).putInt(0).putInt(96).putInt(101);
    file.putInt(1).putInt(0).putInt(96).putInt(whole.length).put(whole, 0, 96);
    Segment segment = decodeOnly(Arrays.copyOf(file.array(), file.position()));
    assertEquals(56, segment.payloadLength);
    assertEquals(whole.length - 96, segment.truncatedBytes);
    assertTrue(segment.truncatedBytes > 0);
  }
}
