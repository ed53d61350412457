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
  public enum How {
    FINISHED,
    RESET,
    REUSED,
    IDLE,
    PUSHED_OUT,
    FILE_ENDED
  }

  /** Addresses in two halves, IPv4 as mapped; side 0 comes first. */
  record Key(long highA, long lowA, int portA, long highB, long lowB, int portB) {}

  public final long number;
  public final long since;

  /** The first segment seen opened it: what came before is not missing. */
  public boolean whole;

  /** What the reader of this flow keeps for it. */
  public Object owner;

  final Key key;
  final Direction[] directions = {new Direction(), new Direction()};
  long seen;

  /** Segments that came before it was sure where its streams begin. */
  int unsettled;

  boolean over;

  Flow(long number, Key key, long since) {
    this.number = number;
    this.key = key;
    this.since = since;
    seen = since;
  }

  public int port(int side) {
    return side == 0 ? key.portA : key.portB;
  }

  public InetAddress address(int side) {
    byte[] bytes =
        ByteBuffer.allocate(16)
            .putLong(side == 0 ? key.highA : key.highB)
            .putLong(side == 0 ? key.lowA : key.lowB)
            .array();
    try {
      return InetAddress.getByAddress(bytes); // a mapped one becomes IPv4
    } catch (UnknownHostException e) {
      throw new IllegalStateException(e);
    }
  }

  /** How many bytes of this side's stream its peer was seen to acknowledge; a floor. */
  public long acknowledged(int side) {
    return directions[side].acknowledged;
  }

  /** How many bytes of this side's stream have been passed on or given up. */
  public long position(int side) {
    return directions[side].next;
  }
}
