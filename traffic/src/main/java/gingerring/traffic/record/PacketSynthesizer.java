package gingerring.traffic.record;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Arrays;

/**
 * One connection's bytes as the packets that could have carried them: raw IP (link type 101),
 * handshake, data in segments of {@link #MAX_SEGMENT_BYTES} bytes with what each side has taken, an
 * end; checksums and sequence numbers as other tools expect them.
 */
public final class PacketSynthesizer {
  /** Who takes the packets; {@code bytes} are used again. */
  public interface PacketConsumer {
    void onPacket(long nanos, byte[] bytes, int length);
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

  /** Side 0 opens the connection; {@code seed} gives the first sequence numbers. */
  public PacketSynthesizer(InetSocketAddress opener, InetSocketAddress listener, long seed) {
    setEndpoint(0, opener, (int) seed);
    setEndpoint(1, listener, (int) (seed >>> 32));
    if (addresses[0].length != addresses[1].length) {
      addresses[0] = toIpv6(addresses[0]);
      addresses[1] = toIpv6(addresses[1]);
    }
  }

  private void setEndpoint(int side, InetSocketAddress where, int first) {
    InetAddress address = where.getAddress();
    addresses[side] = address.getAddress();
    ports[side] = where.getPort();
    nextSequence[side] = first;
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

  public void writeHandshake(long nanos, PacketConsumer out) {
    writePacket(nanos, 0, SYN, null, 0, 0, out);
    nextSequence[0]++;
    writePacket(nanos, 1, SYN | ACK, null, 0, 0, out);
    nextSequence[1]++;
    writePacket(nanos, 0, ACK, null, 0, 0, out);
  }

  public void writeData(
      long nanos, int side, byte[] bytes, int at, int length, PacketConsumer out) {
    for (int i = 0; i < length; i += MAX_SEGMENT_BYTES) {
      int count = Math.min(MAX_SEGMENT_BYTES, length - i);
      writePacket(nanos, side, ACK | (i + count == length ? PUSH : 0), bytes, at + i, count, out);
      nextSequence[side] += count;
    }
  }

  /** A bare acknowledgement, as a side sends one that has nothing to say yet. */
  public void writeAcknowledgement(long nanos, int side, PacketConsumer out) {
    writePacket(nanos, side, ACK, null, 0, 0, out);
  }

  /** Bytes that went by unrecorded: their place in the stream stays empty. */
  public void skipBytes(int side, long length) {
    nextSequence[side] += (int) length;
  }

  public void writeClose(long nanos, boolean reset, int side, PacketConsumer out) {
    if (reset) {
      writePacket(nanos, side, RST | ACK, null, 0, 0, out);
      return;
    }
    writePacket(nanos, side, FIN | ACK, null, 0, 0, out);
    nextSequence[side]++;
    writePacket(nanos, 1 - side, FIN | ACK, null, 0, 0, out);
    nextSequence[1 - side]++;
    writePacket(nanos, side, ACK, null, 0, 0, out);
  }

  private void writePacket(
      long nanos, int side, int flags, byte[] bytes, int at, int length, PacketConsumer out) {
    byte[] from = addresses[side];
    byte[] to = addresses[1 - side];
    boolean four = from.length == 4;
    int ip = four ? 20 : 40;
    int tcp = 20 + length;
    Arrays.fill(packet, 0, ip + 20, (byte) 0);
    if (four) {
      packet[0] = 0x45;
      put16(2, ip + tcp);
      put16(4, nextPacketId++);
      packet[6] = 0x40; // not to be cut
      packet[8] = 64;
      packet[9] = 6;
      System.arraycopy(from, 0, packet, 12, 4);
      System.arraycopy(to, 0, packet, 16, 4);
      put16(10, fold(sum(packet, 0, 20)));
    } else {
      packet[0] = 0x60;
      put16(4, tcp);
      packet[6] = 6;
      packet[7] = 64;
      System.arraycopy(from, 0, packet, 8, 16);
      System.arraycopy(to, 0, packet, 24, 16);
    }
    put16(ip, ports[side]);
    put16(ip + 2, ports[1 - side]);
    put32(ip + 4, nextSequence[side]);
    put32(ip + 8, (flags & ACK) == 0 ? 0 : nextSequence[1 - side]);
    packet[ip + 12] = 0x50;
    packet[ip + 13] = (byte) flags;
    put16(ip + 14, WINDOW);
    if (length > 0) {
      System.arraycopy(bytes, at, packet, ip + 20, length);
    }
    long pseudo = sum(from, 0, from.length) + sum(to, 0, to.length) + 6 + tcp;
    put16(ip + 16, fold(pseudo + sum(packet, ip, tcp)));
    out.onPacket(nanos, packet, ip + tcp);
  }

  private void put16(int at, int value) {
    packet[at] = (byte) (value >>> 8);
    packet[at + 1] = (byte) value;
  }

  private void put32(int at, int value) {
    put16(at, value >>> 16);
    put16(at + 2, value);
  }

  private static long sum(byte[] bytes, int at, int length) {
    long sum = 0;
    int i = 0;
    for (; i + 1 < length; i += 2) {
      sum += (bytes[at + i] & 0xFF) << 8 | bytes[at + i + 1] & 0xFF;
    }
    return i < length ? sum + ((bytes[at + i] & 0xFF) << 8) : sum;
  }

  /** The ones' complement of the ones' complement sum (RFC 1071). */
  private static int fold(long sum) {
    while (sum >>> 16 != 0) {
      sum = (sum & 0xFFFF) + (sum >>> 16);
    }
    return (int) ~sum & 0xFFFF;
  }
}
