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
    void onData(byte[] bytes, int offset, int length, long timestampNanos, int ackNumber);

    void onGap(long missingBytes);
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
  void setProvisionalStart(int sequenceNumber) {
    hasStart = true;
    startSequence = sequenceNumber;
  }

  /** The peer has taken all before this sequence number. */
  void onAcknowledged(int ackNumber) {
    long offset = offsetOf(ackNumber);
    if (!isOutsideWindow(offset)) {
      acknowledgedOffset = Math.max(acknowledgedOffset, offset);
      firstAcknowledgedOffset = Math.min(firstAcknowledgedOffset, offset);
    }
  }

  /** Its stream begins at a SYN's sequence number. */
  void setStart(int sequenceNumber) {
    if (!startSettled) {
      rebase(offsetOf(sequenceNumber));
    }
  }

  /** Its stream begins with the first byte held, or where its peer first waited for more. */
  void settleStart() {
    if (!startSettled) {
      long lowestBufferedOffset = outOfOrder.isEmpty() ? Long.MAX_VALUE : outOfOrder.firstKey();
      long start = Math.min(lowestBufferedOffset, firstAcknowledgedOffset);
      rebase(start == Long.MAX_VALUE ? 0 : start);
    }
  }

  private void rebase(long newStart) {
    startSettled = true;
    startSequence += (int) newStart;
    acknowledgedOffset = Math.max(0, acknowledgedOffset - newStart);
    finOffset -= finOffset >= 0 ? newStart : 0;
    if (outOfOrder.isEmpty()) {
      return;
    }
    TreeMap<Long, Block> rebased = new TreeMap<>();
    outOfOrder.forEach((offset, block) -> rebased.put(offset - newStart, block));
    outOfOrder.clear();
    outOfOrder.putAll(rebased);
    while (!outOfOrder.isEmpty()
        && outOfOrder.firstKey() < 0) { // before the SYN: not of this stream
      bufferedBytes -= outOfOrder.pollFirstEntry().getValue().length();
    }
  }

  /** Whether a SYN that makes the stream begin here can be this stream's own, come late. */
  boolean canStartAt(int sequenceNumber, boolean openingSeen) {
    int bytesBeforeStart = startSequence - sequenceNumber;
    return !hasStart
        || bytesBeforeStart == 0
        || !startSettled && Math.abs(bytesBeforeStart) < MAX_LATE_SYN_BYTES
        || !openingSeen && bytesBeforeStart > 0 && bytesBeforeStart < MAX_LATE_SYN_BYTES;
  }

  /** The offset of a sequence number, next to where the stream stands. */
  long offsetOf(int sequenceNumber) {
    return nextOffset + (sequenceNumber - (int) (startSequence + nextOffset));
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
      long offset,
      byte[] buffer,
      int bufferOffset,
      int length,
      long timestampNanos,
      int ackNumber,
      StreamSink sink) {
    long end = offset + length;
    if (delivering) {
      if (offset < nextOffset) {
        int alreadyDelivered = (int) Math.min(length, nextOffset - offset);
        repeatedBytes += alreadyDelivered;
        offset += alreadyDelivered;
        bufferOffset += alreadyDelivered;
      }
      if (offset >= end) {
        return;
      }
      if (offset == nextOffset && outOfOrder.isEmpty()) { // the ordinary case: nothing is copied
        nextOffset = end;
        sink.onData(buffer, bufferOffset, (int) (end - offset), timestampNanos, ackNumber);
        return;
      }
    }
    gapSinceNanos = hasGap() ? gapSinceNanos : timestampNanos;
    bufferNewBytes(offset, buffer, bufferOffset, (int) (end - offset), timestampNanos, ackNumber);
    deliverContiguous(sink);
  }

  /** Keeps those bytes that are not held yet. */
  private void bufferNewBytes(
      long offset,
      byte[] buffer,
      int bufferOffset,
      int length,
      long timestampNanos,
      int ackNumber) {
    long end = offset + length;
    Map.Entry<Long, Block> precedingBlock = outOfOrder.floorEntry(offset);
    long firstBlockOffset =
        precedingBlock != null
                && precedingBlock.getKey() + precedingBlock.getValue().length() > offset
            ? precedingBlock.getKey()
            : offset;
    long cursor = offset;
    for (Map.Entry<Long, Block> block :
        new TreeMap<>(outOfOrder.subMap(firstBlockOffset, true, end, false)).entrySet()) {
      long blockStart = block.getKey();
      long blockEnd = blockStart + block.getValue().length();
      if (blockStart > cursor) {
        buffer(
            cursor,
            buffer,
            bufferOffset + (int) (cursor - offset),
            (int) (blockStart - cursor),
            timestampNanos,
            ackNumber);
      }
      long overlapStart = Math.max(cursor, blockStart);
      long overlapEnd = Math.min(end, blockEnd);
      if (overlapStart < overlapEnd) {
        int size = (int) (overlapEnd - overlapStart);
        int newIndex = bufferOffset + (int) (overlapStart - offset);
        int blockIndex = (int) (overlapStart - blockStart);
        repeatedBytes += size;
        if (!Arrays.equals(
            buffer,
            newIndex,
            newIndex + size,
            block.getValue().bytes,
            blockIndex,
            blockIndex + size)) {
          conflictingBlocks++;
        }
      }
      cursor = Math.max(cursor, blockEnd);
    }
    if (cursor < end) {
      buffer(
          cursor,
          buffer,
          bufferOffset + (int) (cursor - offset),
          (int) (end - cursor),
          timestampNanos,
          ackNumber);
    }
  }

  private void buffer(
      long offset,
      byte[] source,
      int sourceOffset,
      int length,
      long timestampNanos,
      int ackNumber) {
    outOfOrder.put(
        offset,
        new Block(
            Arrays.copyOfRange(source, sourceOffset, sourceOffset + length),
            timestampNanos,
            ackNumber));
    bufferedBytes += length;
  }

  void deliverContiguous(StreamSink sink) {
    while (delivering && !outOfOrder.isEmpty() && outOfOrder.firstKey() == nextOffset) {
      Block block = outOfOrder.pollFirstEntry().getValue();
      bufferedBytes -= block.length();
      nextOffset += block.length();
      sink.onData(block.bytes, 0, block.length(), block.nanos, block.ackNumber);
    }
  }

  /** Gives the oldest gap up, and passes on what follows it. */
  void skipGap(long timestampNanos, StreamSink sink) {
    gapSinceNanos = timestampNanos;
    long missingBytes = outOfOrder.firstKey() - nextOffset;
    nextOffset += missingBytes;
    sink.onGap(missingBytes);
    deliverContiguous(sink);
  }

  /** What is known to have been sent before the end and never came. */
  long undeliveredBytes() {
    return Math.max(0, (finOffset >= 0 ? finOffset : acknowledgedOffset) - nextOffset);
  }
}
