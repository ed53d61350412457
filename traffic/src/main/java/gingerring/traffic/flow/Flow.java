package gingerring.traffic.flow;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;

/** One TCP connection of a capture, from the first that was seen of it to its end. */
public final class Flow {
  /**
   * How it ended: both sides said so, one broke it off, its ports were used again, it fell silent,
   * the file ended.
   */
  public enum CloseReason {
    FINISHED,
    RESET,
    PORTS_REUSED,
    IDLE,
    EVICTED,
    END_OF_FILE
  }

  /** Addresses in two halves, IPv4 as mapped; side 0 comes first. */
  record Key(
      long addressHigh0,
      long addressLow0,
      int port0,
      long addressHigh1,
      long addressLow1,
      int port1) {}

  public final long number;
  public final long firstSeenNanos;

  /** The first segment seen opened it: what came before is not missing. */
  public boolean openingSeen;

  /** What the reader of this flow keeps for it. */
  public Object attachment;

  final Key key;
  final StreamReassembler[] streams = {new StreamReassembler(), new StreamReassembler()};
  long lastSeenNanos;

  /** Segments that came before it was sure where its streams begin. */
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
      return InetAddress.getByAddress(bytes); // a mapped one becomes IPv4
    } catch (UnknownHostException e) {
      throw new IllegalStateException(e);
    }
  }

  /** How many bytes of this side's stream its peer was seen to acknowledge; a floor. */
  public long acknowledgedBytes(int side) {
    return streams[side].acknowledgedOffset;
  }

  /** How many bytes of this side's stream have been passed on or given up. */
  public long deliveredBytes(int side) {
    return streams[side].nextOffset;
  }
}
