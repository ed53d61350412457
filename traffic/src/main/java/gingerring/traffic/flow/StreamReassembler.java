package gingerring.traffic.flow;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;

/**
 * One direction of a flow: offsets from its first byte, unwrapped from sequence numbers. What comes
 * early is held, not overlapping, by offset; of bytes that come twice the first stay. Nothing is
 * passed on before it is {@code flowing}: where a stream begins has to be sure first, in both
 * directions.
 */
final class StreamReassembler {
  /**
   * Farther off than this a segment is not of this stream: a window is 1 GiB at most (RFC 7323
   * 2.2).
   */
  private static final int MAX_WINDOW_BYTES = 1 << 30;

  /**
   * How far before the first byte seen a SYN may stand and still be taken for one that came late.
   */
  private static final int MAX_LATE_SYN_BYTES = 1 << 20;

  /**
   * Whom bytes go to once they are in order; {@code acknowledged} is a sequence number of the other
   * direction.
   */
  interface StreamSink {
    void onData(byte[] bytes, int at, int length, long nanos, int acknowledged);

    void onGap(long missing);
  }

  /** Bytes that came early: when, and what their sender had acknowledged by then. */
  private record Block(byte[] bytes, long nanos, int ackNumber) {
    int length() {
      return bytes.length;
    }
  }

  private final TreeMap<Long, Block> outOfOrder = new TreeMap<>();
  boolean hasStart;

  /** Where the stream begins is sure: by its SYN, or by what was seen until it had to be. */
  boolean startSettled;

  boolean delivering;
  private int startSequence;
  long nextOffset;

  /** How far the peer was seen to have taken it, and the first that was seen of that. */
  long acknowledgedOffset;

  private long firstAcknowledgedOffset = Long.MAX_VALUE;
  int bufferedBytes;

  /** When the oldest gap was met. */
  long gapSinceNanos;

  long finOffset = -1;
  boolean finReported;
  long conflictingBlocks;
  long repeatedBytes;

  /** Its stream is counted from this sequence number, for now. */
  void setProvisionalStart(int sequence) {
    hasStart = true;
    startSequence = sequence;
  }

  /** The peer has taken all before this sequence number. */
  void onAcknowledged(int sequence) {
    long offset = offsetOf(sequence);
    if (!isOutsideWindow(offset)) {
      acknowledgedOffset = Math.max(acknowledgedOffset, offset);
      firstAcknowledgedOffset = Math.min(firstAcknowledgedOffset, offset);
    }
  }

  /** Its stream begins at a SYN's sequence number. */
  void setStart(int sequence) {
    if (!startSettled) {
      rebase(offsetOf(sequence));
    }
  }

  /** Its stream begins with the first byte held, or where its peer first waited for more. */
  void settleStart() {
    if (!startSettled) {
      long lowest = outOfOrder.isEmpty() ? Long.MAX_VALUE : outOfOrder.firstKey();
      long base = Math.min(lowest, firstAcknowledgedOffset);
      rebase(base == Long.MAX_VALUE ? 0 : base);
    }
  }

  private void rebase(long base) {
    startSettled = true;
    startSequence += (int) base;
    acknowledgedOffset = Math.max(0, acknowledgedOffset - base);
    finOffset -= finOffset >= 0 ? base : 0;
    if (outOfOrder.isEmpty()) {
      return;
    }
    TreeMap<Long, Block> moved = new TreeMap<>();
    outOfOrder.forEach((offset, block) -> moved.put(offset - base, block));
    outOfOrder.clear();
    outOfOrder.putAll(moved);
    while (!outOfOrder.isEmpty()
        && outOfOrder.firstKey() < 0) { // before the SYN: not of this stream
      bufferedBytes -= outOfOrder.pollFirstEntry().getValue().length();
    }
  }

  /** Whether a SYN that makes the stream begin here can be this stream's own, come late. */
  boolean canStartAt(int sequence, boolean opened) {
    int before = startSequence - sequence;
    return !hasStart
        || before == 0
        || !startSettled && Math.abs(before) < MAX_LATE_SYN_BYTES
        || !opened && before > 0 && before < MAX_LATE_SYN_BYTES;
  }

  /** The offset of a sequence number, next to where the stream stands. */
  long offsetOf(int sequence) {
    return nextOffset + (sequence - (int) (startSequence + nextOffset));
  }

  boolean isOutsideWindow(long offset) {
    return Math.abs(offset - nextOffset) > MAX_WINDOW_BYTES;
  }

  boolean hasGap() {
    return !outOfOrder.isEmpty();
  }

  boolean isComplete() {
    return delivering && finOffset >= 0 && nextOffset >= finOffset;
  }

  void accept(
      long offset, byte[] b, int at, int length, long nanos, int acknowledged, StreamSink out) {
    long end = offset + length;
    if (delivering) {
      if (offset < nextOffset) {
        int known = (int) Math.min(length, nextOffset - offset);
        repeatedBytes += known;
        offset += known;
        at += known;
      }
      if (offset >= end) {
        return;
      }
      if (offset == nextOffset && outOfOrder.isEmpty()) { // the ordinary case: nothing is copied
        nextOffset = end;
        out.onData(b, at, (int) (end - offset), nanos, acknowledged);
        return;
      }
    }
    gapSinceNanos = hasGap() ? gapSinceNanos : nanos;
    bufferNewBytes(offset, b, at, (int) (end - offset), nanos, acknowledged);
    deliverContiguous(out);
  }

  /** Keeps those bytes that are not held yet. */
  private void bufferNewBytes(
      long offset, byte[] b, int at, int length, long nanos, int acknowledged) {
    long end = offset + length;
    Map.Entry<Long, Block> before = outOfOrder.floorEntry(offset);
    long from =
        before != null && before.getKey() + before.getValue().length() > offset
            ? before.getKey()
            : offset;
    long cursor = offset;
    for (Map.Entry<Long, Block> block :
        new TreeMap<>(outOfOrder.subMap(from, true, end, false)).entrySet()) {
      long start = block.getKey();
      long stop = start + block.getValue().length();
      if (start > cursor) {
        buffer(
            cursor, b, at + (int) (cursor - offset), (int) (start - cursor), nanos, acknowledged);
      }
      long shared = Math.max(cursor, start);
      long sharedEnd = Math.min(end, stop);
      if (shared < sharedEnd) {
        int size = (int) (sharedEnd - shared);
        int mine = at + (int) (shared - offset);
        int its = (int) (shared - start);
        repeatedBytes += size;
        if (!Arrays.equals(b, mine, mine + size, block.getValue().bytes, its, its + size)) {
          conflictingBlocks++;
        }
      }
      cursor = Math.max(cursor, stop);
    }
    if (cursor < end) {
      buffer(cursor, b, at + (int) (cursor - offset), (int) (end - cursor), nanos, acknowledged);
    }
  }

  private void buffer(long offset, byte[] b, int at, int length, long nanos, int acknowledged) {
    outOfOrder.put(offset, new Block(Arrays.copyOfRange(b, at, at + length), nanos, acknowledged));
    bufferedBytes += length;
  }

  void deliverContiguous(StreamSink out) {
    while (delivering && !outOfOrder.isEmpty() && outOfOrder.firstKey() == nextOffset) {
      Block block = outOfOrder.pollFirstEntry().getValue();
      bufferedBytes -= block.length();
      nextOffset += block.length();
      out.onData(block.bytes, 0, block.length(), block.nanos, block.ackNumber);
    }
  }

  /** Gives the oldest gap up, and passes on what follows it. */
  void skipGap(long nanos, StreamSink out) {
    gapSinceNanos = nanos;
    long missing = outOfOrder.firstKey() - nextOffset;
    nextOffset += missing;
    out.onGap(missing);
    deliverContiguous(out);
  }

  /** What is known to have been sent before the end and never came. */
  long undeliveredBytes() {
    return Math.max(0, (finOffset >= 0 ? finOffset : acknowledgedOffset) - nextOffset);
  }
}
