package gingerring.traffic.record;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Arrays;

/**
 * Produces the packets that could have carried one connection's bytes: raw IP (link type 101),
 * handshake, data in segments of {@link #MAX_SEGMENT_BYTES} bytes with acknowledgements, and close.
 * Checksums and sequence numbers are valid for other tools.
 */
public final class PacketSynthesizer {
  /** Receives the packets. The array {@code bytes} is reused. */
  public interface PacketConsumer {
    void onPacket(long timestampNanos, byte[] bytes, int length);
  }

  public static final int LINK_TYPE_RAW = 101;
  public static final int MAX_SEGMENT_BYTES = 1448;
  private static final int FIN = 1;
  private static final int SYN = 2;
  private static final int RST = 4;
  private static final int PUSH = 8;
  private static final int ACK = 16;
  private static final int WINDOW = 65535;

  private final byte[][] addresses = new byte[2][];
  private final int[] ports = new int[2];

  /** The next sequence number of each side. */
  private final int[] nextSequence = new int[2];

  private final byte[] packet = new byte[60 + MAX_SEGMENT_BYTES];
  private int nextPacketId;

  /** Side 0 opens the connection; {@code seed} determines the initial sequence numbers. */
  public PacketSynthesizer(InetSocketAddress opener, InetSocketAddress listener, long seed) {
    setEndpoint(0, opener, (int) seed);
    setEndpoint(1, listener, (int) (seed >>> 32));
    if (addresses[0].length != addresses[1].length) {
      addresses[0] = toIpv6(addresses[0]);
      addresses[1] = toIpv6(addresses[1]);
    }
  }

  private void setEndpoint(int side, InetSocketAddress endpoint, int initialSequence) {
    InetAddress address = endpoint.getAddress();
    addresses[side] = address.getAddress();
    ports[side] = endpoint.getPort();
    nextSequence[side] = initialSequence;
  }

  private static byte[] toIpv6(byte[] address) {
    if (address.length == 16) {
      return address;
    }
    byte[] mapped = new byte[16];
    mapped[10] = -1;
    mapped[11] = -1;
    System.arraycopy(address, 0, mapped, 12, 4);
    return mapped;
  }

  public void writeHandshake(long timestampNanos, PacketConsumer consumer) {
    writePacket(timestampNanos, 0, SYN, null, 0, 0, consumer);
    nextSequence[0]++;
    writePacket(timestampNanos, 1, SYN | ACK, null, 0, 0, consumer);
    nextSequence[1]++;
    writePacket(timestampNanos, 0, ACK, null, 0, 0, consumer);
  }

  public void writeData(
      long timestampNanos,
      int side,
      byte[] bytes,
      int offset,
      int length,
      PacketConsumer consumer) {
    for (int i = 0; i < length; i += MAX_SEGMENT_BYTES) {
      int count = Math.min(MAX_SEGMENT_BYTES, length - i);
      writePacket(
          timestampNanos,
          side,
          ACK | (i + count == length ? PUSH : 0),
          bytes,
          offset + i,
          count,
          consumer);
      nextSequence[side] += count;
    }
  }

  /** A segment that only acknowledges, sent by a side that has no data to send. */
  public void writeAcknowledgement(long timestampNanos, int side, PacketConsumer consumer) {
    writePacket(timestampNanos, side, ACK, null, 0, 0, consumer);
  }

  /** Skips bytes that were not recorded, which leaves a gap in the stream. */
  public void skipBytes(int side, long length) {
    nextSequence[side] += (int) length;
  }

  public void writeClose(long timestampNanos, boolean reset, int side, PacketConsumer consumer) {
    if (reset) {
      writePacket(timestampNanos, side, RST | ACK, null, 0, 0, consumer);
      return;
    }
    writePacket(timestampNanos, side, FIN | ACK, null, 0, 0, consumer);
    nextSequence[side]++;
    writePacket(timestampNanos, 1 - side, FIN | ACK, null, 0, 0, consumer);
    nextSequence[1 - side]++;
    writePacket(timestampNanos, side, ACK, null, 0, 0, consumer);
  }

  private void writePacket(
      long timestampNanos,
      int side,
      int flags,
      byte[] bytes,
      int offset,
      int length,
      PacketConsumer consumer) {
    byte[] source = addresses[side];
    byte[] destination = addresses[1 - side];
    boolean isIpv4 = source.length == 4;
    int ipHeaderLength = isIpv4 ? 20 : 40;
    int tcpLength = 20 + length;
    Arrays.fill(packet, 0, ipHeaderLength + 20, (byte) 0);
    if (isIpv4) {
      packet[0] = 0x45;
      put16(2, ipHeaderLength + tcpLength);
      put16(4, nextPacketId++);
      packet[6] = 0x40; // don't fragment
      packet[8] = 64;
      packet[9] = 6;
      System.arraycopy(source, 0, packet, 12, 4);
      System.arraycopy(destination, 0, packet, 16, 4);
      put16(10, fold(sum(packet, 0, 20)));
    } else {
      packet[0] = 0x60;
      put16(4, tcpLength);
      packet[6] = 6;
      packet[7] = 64;
      System.arraycopy(source, 0, packet, 8, 16);
      System.arraycopy(destination, 0, packet, 24, 16);
    }
    put16(ipHeaderLength, ports[side]);
    put16(ipHeaderLength + 2, ports[1 - side]);
    put32(ipHeaderLength + 4, nextSequence[side]);
    put32(ipHeaderLength + 8, (flags & ACK) == 0 ? 0 : nextSequence[1 - side]);
    packet[ipHeaderLength + 12] = 0x50;
    packet[ipHeaderLength + 13] = (byte) flags;
    put16(ipHeaderLength + 14, WINDOW);
    if (length > 0) {
      System.arraycopy(bytes, offset, packet, ipHeaderLength + 20, length);
    }
    long pseudoHeaderSum =
        sum(source, 0, source.length) + sum(destination, 0, destination.length) + 6 + tcpLength;
    put16(ipHeaderLength + 16, fold(pseudoHeaderSum + sum(packet, ipHeaderLength, tcpLength)));
    consumer.onPacket(timestampNanos, packet, ipHeaderLength + tcpLength);
  }

  private void put16(int offset, int value) {
    packet[offset] = (byte) (value >>> 8);
    packet[offset + 1] = (byte) value;
  }

  private void put32(int offset, int value) {
    put16(offset, value >>> 16);
    put16(offset + 2, value);
  }

  private static long sum(byte[] bytes, int offset, int length) {
    long sum = 0;
    int i = 0;
    for (; i + 1 < length; i += 2) {
      sum += (bytes[offset + i] & 0xFF) << 8 | bytes[offset + i + 1] & 0xFF;
    }
    return i < length ? sum + ((bytes[offset + i] & 0xFF) << 8) : sum;
  }

  /** The ones' complement of the ones' complement sum (RFC 1071). */
  private static int fold(long sum) {
    while (sum >>> 16 != 0) {
      sum = (sum & 0xFFFF) + (sum >>> 16);
    }
    return (int) ~sum & 0xFFFF;
  }
}
