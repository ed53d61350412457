package gingerring.traffic.flow;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;

/** One TCP connection of a capture, from its first observed segment to its end. */
public final class Flow {
  /**
   * Why the flow ended: both sides sent FIN, one side reset, a new connection reused the ports, no
   * segment came for the idle timeout, the flow was evicted by newer ones, or the file ended.
   */
  public enum CloseReason {
    FINISHED,
    RESET,
    PORTS_REUSED,
    IDLE,
    EVICTED,
    END_OF_FILE
  }

  /** Addresses as two 64-bit halves, IPv4 in mapped form. Index 0 is side 0. */
  record Key(
      long addressHigh0,
      long addressLow0,
      int port0,
      long addressHigh1,
      long addressLow1,
      int port1) {}

  public final long number;
  public final long firstSeenNanos;

  /** Whether the capture shows the connection's SYN, so that no earlier bytes are missing. */
  public boolean openingSeen;

  /** State that the flow's listener keeps for the flow. */
  public Object attachment;

  final Key key;
  final StreamReassembler[] streams = {new StreamReassembler(), new StreamReassembler()};
  long lastSeenNanos;

  /** Number of segments of this flow received before the start of both its streams was certain. */
  int segmentsBeforeStart;

  boolean closed;

  Flow(long number, Key key, long firstSeenNanos) {
    this.number = number;
    this.key = key;
    this.firstSeenNanos = firstSeenNanos;
    lastSeenNanos = firstSeenNanos;
  }

  public int port(int side) {
    return side == 0 ? key.port0 : key.port1;
  }

  public InetAddress address(int side) {
    byte[] bytes =
        ByteBuffer.allocate(16)
            .putLong(side == 0 ? key.addressHigh0 : key.addressHigh1)
            .putLong(side == 0 ? key.addressLow0 : key.addressLow1)
            .array();
    try {
      return InetAddress.getByAddress(bytes); // a mapped address becomes IPv4
    } catch (UnknownHostException e) {
      throw new IllegalStateException(e);
    }
  }

  /** How many bytes of this side's stream its peer was seen to acknowledge: a lower bound. */
  public long acknowledgedBytes(int side) {
    return streams[side].acknowledgedOffset;
  }

  /** How many bytes of this side's stream have been delivered or skipped. */
  public long deliveredBytes(int side) {
    return streams[side].nextOffset;
  }
}
