package gingerring.traffic.pcap;

/**
 * One packet of a capture file. A reader fills the same object again and again, and its bytes stand
 * in the reader's buffer until the next packet is asked for: whoever keeps any copies them.
 */
public final class Packet {
  /** Unix time, nanoseconds. */
  public long timestampNanos;

  /** The link type, by the numbers of the tcpdump group's registry. */
  public int linkType;

  public byte[] buffer;

  /** Where the captured bytes begin, and how many they are. */
  public int offset;

  public int length;

  /**
   * How long the packet was on the wire: {@code length}, or more where the capture cut it short.
   */
  public int originalLength;
}
