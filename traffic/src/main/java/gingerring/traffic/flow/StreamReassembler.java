package gingerring.traffic.flow;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;

/**
 * Reassembles one direction of a flow. Offsets count from the stream's first byte and are unwrapped
 * from sequence numbers. Bytes that arrive out of order are buffered without overlaps, by offset;
 * of duplicate bytes the first are kept. Nothing is delivered before {@code delivering} is set: the
 * start of the stream must first be certain in both directions.
 */
final class StreamReassembler {
  /**
   * A segment farther away than this does not belong to the stream: a window is at most 1 GiB (RFC
   * 7323, section 2.2).
   */
  private static final int MAX_WINDOW_BYTES = 1 << 30;

  /**
   * How far before the first observed byte a SYN may lie and still count as this stream's own,
   * delivered late.
   */
  private static final int MAX_LATE_SYN_BYTES = 1 << 20;

  /**
   * Receives bytes in stream order. {@code ackNumber} is a sequence number of the opposite
   * direction.
   */
  interface StreamSink {
    void onData(byte[] bytes, int offset, int length, long timestampNanos, int ackNumber);

    void onGap(long missingBytes);
  }

  /**
   * Bytes received out of order, with their capture time and the acknowledgement number that came
   * with them.
   */
  private record Block(byte[] bytes, long timestampNanos, int ackNumber) {
    int length() {
      return bytes.length;
    }
  }

  private final TreeMap<Long, Block> outOfOrder = new TreeMap<>();
  boolean hasStart;

  /**
   * Whether the start of the stream is certain: from its SYN, or from the segments observed up to
   * the limit.
   */
  boolean startSettled;

  boolean delivering;
  private int startSequence;
  long nextOffset;

  /** The highest offset in this stream, in bytes, that the peer was seen to acknowledge. */
  long acknowledgedOffset;

  private long firstAcknowledgedOffset = Long.MAX_VALUE;
  int bufferedBytes;

  /** Capture time at which the oldest gap was found. */
  long gapSinceNanos;

  long finOffset = -1;
  boolean finReported;
  long conflictingBlocks;
  long repeatedBytes;

  /** Counts offsets from this sequence number until the start is certain. */
  void setProvisionalStart(int sequenceNumber) {
    hasStart = true;
    startSequence = sequenceNumber;
  }

  /** Records that the peer acknowledged all bytes before this sequence number. */
  void onAcknowledged(int ackNumber) {
    long offset = offsetOf(ackNumber);
    if (!isOutsideWindow(offset)) {
      acknowledgedOffset = Math.max(acknowledgedOffset, offset);
      firstAcknowledgedOffset = Math.min(firstAcknowledgedOffset, offset);
    }
  }

  /** Fixes the start of the stream at the sequence number after a SYN. */
  void setStart(int sequenceNumber) {
    if (!startSettled) {
      rebase(offsetOf(sequenceNumber));
    }
  }

  /**
   * Fixes the start of the stream at the lowest buffered byte or at the first acknowledged offset,
   * whichever is lower.
   */
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
        && outOfOrder.firstKey() < 0) { // bytes before the SYN do not belong to this stream
      bufferedBytes -= outOfOrder.pollFirstEntry().getValue().length();
    }
  }

  /**
   * Whether a SYN that starts the stream at this sequence number can be this stream's own SYN,
   * captured late.
   */
  boolean canStartAt(int sequenceNumber, boolean openingSeen) {
    int bytesBeforeStart = startSequence - sequenceNumber;
    return !hasStart
        || bytesBeforeStart == 0
        || !startSettled && Math.abs(bytesBeforeStart) < MAX_LATE_SYN_BYTES
        || !openingSeen && bytesBeforeStart > 0 && bytesBeforeStart < MAX_LATE_SYN_BYTES;
  }

  /**
   * The stream offset of a sequence number, unwrapped to the value nearest the current position.
   */
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
      if (offset == nextOffset && outOfOrder.isEmpty()) { // common case: nothing is copied
        nextOffset = end;
        sink.onData(buffer, bufferOffset, (int) (end - offset), timestampNanos, ackNumber);
        return;
      }
    }
    gapSinceNanos = hasGap() ? gapSinceNanos : timestampNanos;
    bufferNewBytes(offset, buffer, bufferOffset, (int) (end - offset), timestampNanos, ackNumber);
    deliverContiguous(sink);
  }

  /** Buffers those bytes of the segment that are not buffered yet. */
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
      sink.onData(block.bytes, 0, block.length(), block.timestampNanos, block.ackNumber);
    }
  }

  /** Skips the oldest gap and delivers the bytes that follow. */
  void skipGap(long timestampNanos, StreamSink sink) {
    gapSinceNanos = timestampNanos;
    long missingBytes = outOfOrder.firstKey() - nextOffset;
    nextOffset += missingBytes;
    sink.onGap(missingBytes);
    deliverContiguous(sink);
  }

  /**
   * Bytes known to have been sent, by a FIN or by the peer's acknowledgements, that were never
   * captured.
   */
  long undeliveredBytes() {
    return Math.max(0, (finOffset >= 0 ? finOffset : acknowledgedOffset) - nextOffset);
  }
}
