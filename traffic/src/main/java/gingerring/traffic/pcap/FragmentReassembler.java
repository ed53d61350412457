package gingerring.traffic.pcap;

import java.util.Arrays;
import java.util.BitSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Reassembles IP fragments. Holds at most {@link #MAX_DATAGRAMS} datagrams of 64 KiB, each for
 * {@link #TIMEOUT_NANOS} of capture time; a new datagram evicts the oldest. Where fragments
 * overlap, the bytes that came first are kept.
 */
final class FragmentReassembler {
  static final int MAX_DATAGRAMS = 64;
  static final long TIMEOUT_NANOS = 30_000_000_000L;
  private static final int MAX_DATAGRAM_BYTES = 1 << 16;

  private record Key(long fromHigh, long fromLow, long toHigh, long toLow, int id) {}

  private static final class Datagram {
    final long firstSeenNanos;
    byte[] bytes = new byte[2048];
    final BitSet received = new BitSet();
    int totalLength = -1;

    Datagram(long firstSeenNanos) {
      this.firstSeenNanos = firstSeenNanos;
    }
  }

  private final Map<Key, Datagram> pending = new LinkedHashMap<>();
  private long discarded;

  long incompleteDatagrams() {
    return discarded + pending.size();
  }

  /**
   * Adds a fragment. Returns the datagram's payload when the last missing fragment has arrived,
   * else null.
   */
  byte[] add(
      Segment source,
      int datagramId,
      int fragmentOffset,
      boolean moreFragments,
      byte[] buffer,
      int bufferOffset,
      int length) {
    for (Iterator<Datagram> oldest = pending.values().iterator(); oldest.hasNext(); ) {
      if (source.timestampNanos - oldest.next().firstSeenNanos <= TIMEOUT_NANOS) {
        break;
      }
      oldest.remove();
      discarded++;
    }
    if (fragmentOffset + length > MAX_DATAGRAM_BYTES
        || length == 0
        || moreFragments && length % 8 != 0) {
      discarded++;
      return null;
    }
    Key key =
        new Key(
            source.sourceHigh,
            source.sourceLow,
            source.destinationHigh,
            source.destinationLow,
            datagramId);
    Datagram datagram = pending.get(key);
    if (datagram == null) {
      if (pending.size() == MAX_DATAGRAMS) {
        Iterator<Datagram> eldest = pending.values().iterator();
        eldest.next();
        eldest.remove();
        discarded++;
      }
      datagram = new Datagram(source.timestampNanos);
      pending.put(key, datagram);
    }
    if (datagram.bytes.length < fragmentOffset + length) {
      datagram.bytes =
          Arrays.copyOf(
              datagram.bytes,
              Math.min(
                  MAX_DATAGRAM_BYTES,
                  Math.max(fragmentOffset + length, 2 * datagram.bytes.length)));
    }
    for (int i = 0; i < length; i++) {
      if (!datagram.received.get(fragmentOffset + i)) {
        datagram.bytes[fragmentOffset + i] = buffer[bufferOffset + i];
      }
    }
    datagram.received.set(fragmentOffset, fragmentOffset + length);
    if (!moreFragments && datagram.totalLength < 0) {
      datagram.totalLength = fragmentOffset + length;
    }
    if (datagram.totalLength < 0 || datagram.received.nextClearBit(0) < datagram.totalLength) {
      return null;
    }
    pending.remove(key);
    return Arrays.copyOf(datagram.bytes, datagram.totalLength);
  }
}
