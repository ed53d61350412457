package gingerring.traffic.pcap;

/**
 * One TCP segment as {@link PacketDecoder} found it in a packet; filled again and again, as {@link
 * Packet} is.
 */
public final class Segment {
  public static final int FIN = 1;
  public static final int SYN = 2;
  public static final int RST = 4;
  public static final int ACK = 16;

  public long timestampNanos;

  /** Addresses as two halves; those of IPv4 as IPv6 has them mapped, ::ffff:a.b.c.d. */
  public long sourceHigh;

  public long sourceLow;
  public long destinationHigh;
  public long destinationLow;
  public int sourcePort;
  public int destinationPort;
  public int sequenceNumber;
  public int ackNumber;
  public int flags;
  public byte[] buffer;
  public int payloadOffset;
  public int payloadLength;

  /** Bytes of the payload that were on the wire and not captured; they follow those that were. */
  public int truncatedBytes;

  public boolean has(int flag) {
    return (flags & flag) != 0;
  }
}
