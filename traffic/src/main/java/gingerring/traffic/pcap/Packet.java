package gingerring.traffic.pcap;

/**
 * One packet of a capture file. A reader reuses the object, and the packet's bytes lie in the
 * reader's buffer only until the next packet is read: copy any bytes to be kept.
 */
public final class Packet {
  /** Unix time in nanoseconds. */
  public long timestampNanos;

  /** The link type, numbered as in the tcpdump group's registry. */
  public int linkType;

  public byte[] buffer;

  /** Where the captured bytes begin in {@code buffer}. */
  public int offset;

  public int length;

  /**
   * Length of the packet on the wire: {@code length}, or more if the capture truncated the packet.
   */
  public int originalLength;
}
