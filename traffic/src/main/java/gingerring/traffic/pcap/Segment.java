package gingerring.traffic.pcap;

/**
 * One TCP segment as {@link Layers} found it in a packet; filled again and again, as {@link Packet}
 * is.
 */
public final class Segment {
  public static final int FIN = 1;
  public static final int SYN = 2;
  public static final int RST = 4;
  public static final int ACK = 16;

  public long nanos;

  /** Addresses as two halves; those of IPv4 as IPv6 has them mapped, ::ffff:a.b.c.d. */
  public long fromHigh;

  public long fromLow;
  public long toHigh;
  public long toLow;
  public int fromPort;
  public int toPort;
  public int sequence;
  public int acknowledged;
  public int flags;
  public byte[] bytes;
  public int at;
  public int length;

  /** Bytes of the payload that were on the wire and not captured; they follow those that were. */
  public int missing;

  public boolean has(int flag) {
    return (flags & flag) != 0;
  }
}
