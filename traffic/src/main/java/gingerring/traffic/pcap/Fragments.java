package gingerring.traffic.pcap;

import java.util.Arrays;
import java.util.BitSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Puts IP fragments together. Holds {@link #MOST} datagrams of 64 KiB at most, each for {@link
 * #WAIT_NANOS} of the capture's time; the oldest goes when another comes. Of bytes that come twice
 * the first are taken.
 */
final class Fragments {
  static final int MOST = 64;
  static final long WAIT_NANOS = 30_000_000_000L;
  private static final int DATAGRAM_MOST = 1 << 16;

  private record Key(long fromHigh, long fromLow, long toHigh, long toLow, int id) {}

  private static final class Datagram {
    final long since;
    byte[] bytes = new byte[2048];
    final BitSet in = new BitSet();
    int total = -1;

    Datagram(long since) {
      this.since = since;
    }
  }

  private final Map<Key, Datagram> open = new LinkedHashMap<>();
  private long lost;

  long lost() {
    return lost + open.size();
  }

  /** The whole datagram's payload once its last fragment has come, else null. */
  byte[] add(Segment of, int id, int offset, boolean more, byte[] b, int at, int length) {
    for (Iterator<Datagram> each = open.values().iterator(); each.hasNext(); ) {
      if (of.nanos - each.next().since <= WAIT_NANOS) {
        break;
      }
      each.remove();
      lost++;
    }
    if (offset + length > DATAGRAM_MOST || length == 0 || more && length % 8 != 0) {
      lost++;
      return null;
    }
    Key key = new Key(of.fromHigh, of.fromLow, of.toHigh, of.toLow, id);
    Datagram datagram = open.get(key);
    if (datagram == null) {
      if (open.size() == MOST) {
        Iterator<Datagram> eldest = open.values().iterator();
        eldest.next();
        eldest.remove();
        lost++;
      }
      datagram = new Datagram(of.nanos);
      open.put(key, datagram);
    }
    if (datagram.bytes.length < offset + length) {
      datagram.bytes =
          Arrays.copyOf(
              datagram.bytes,
              Math.min(DATAGRAM_MOST, Math.max(offset + length, 2 * datagram.bytes.length)));
    }
    for (int i = 0; i < length; i++) {
      if (!datagram.in.get(offset + i)) {
        datagram.bytes[offset + i] = b[at + i];
      }
    }
    datagram.in.set(offset, offset + length);
    if (!more && datagram.total < 0) {
      datagram.total = offset + length;
    }
    if (datagram.total < 0 || datagram.in.nextClearBit(0) < datagram.total) {
      return null;
    }
    open.remove(key);
    return Arrays.copyOf(datagram.bytes, datagram.total);
  }
}
