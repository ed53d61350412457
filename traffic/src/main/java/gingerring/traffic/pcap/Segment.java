package gingerring.traffic.pcap;

/**
 * One TCP segment decoded by {@link PacketDecoder}. The object is reused for each packet, as {@link
 * Packet} is.
 */
public final class Segment {
  public static final int FIN = 1;
  public static final int SYN = 2;
  public static final int RST = 4;
  public static final int ACK = 16;

  public long timestampNanos;

  /** Addresses as two 64-bit halves. IPv4 addresses are in IPv4-mapped form, ::ffff:a.b.c.d. */
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

  /** Payload bytes that were on the wire but not captured. They follow the captured bytes. */
  public int truncatedBytes;

  public boolean has(int flag) {
    return (flags & flag) != 0;
  }
}
