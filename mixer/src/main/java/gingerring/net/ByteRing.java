package gingerring.net;

import java.nio.ByteBuffer;

/**
 * A bounded ring buffer of bytes. If the initial capacity equals the limit, the array is never
 * replaced, and one thread may put while another takes; otherwise the buffer grows and must be used
 * by one thread only.
 */
public final class ByteRing {
  private final int capacity;
  private byte[] bytes;

  /** Total number of bytes ever taken. */
  private volatile long readPosition;

  /** Total number of bytes ever put. */
  private volatile long writePosition;

  /**
   * Creates a buffer that starts with {@code initialCapacity} bytes and grows to {@code capacity}.
   */
  public ByteRing(int initialCapacity, int capacity) {
    this.capacity = capacity;
    bytes = new byte[initialCapacity];
  }

  public int size() {
    return (int) (writePosition - readPosition);
  }

  public int remainingCapacity() {
    return capacity - size();
  }

  /** Total number of bytes ever put. */
  public long totalBytesPut() {
    return writePosition;
  }

  /** Puts all the bytes, or none if they do not all fit; returns whether they were put. */
  public boolean put(byte[] source, int offset, int length) {
    if (length > remainingCapacity()) {
      return false;
    }
    grow(length);
    int start = (int) (writePosition % bytes.length);
    int untilWrap = Math.min(length, bytes.length - start);
    System.arraycopy(source, offset, bytes, start, untilWrap);
    System.arraycopy(source, offset + untilWrap, bytes, 0, length - untilWrap);
    writePosition += length;
    return true;
  }

  public boolean put(byte[] source) {
    return put(source, 0, source.length);
  }

  private void grow(int length) {
    int required = size() + length;
    if (required <= bytes.length) {
      return;
    }
    byte[] larger = new byte[Math.min(capacity, Math.max(required, 2 * bytes.length))];
    for (long i = readPosition; i < writePosition; i++) {
      larger[(int) (i % larger.length)] = bytes[(int) (i % bytes.length)];
    }
    bytes = larger;
  }

  /** Takes the next byte; -1 if the buffer is empty. */
  public int take() {
    long position = readPosition;
    if (position == writePosition) {
      return -1;
    }
    int next = bytes[(int) (position % bytes.length)] & 0xFF;
    readPosition = position + 1;
    return next;
  }

  /** Takes up to {@code length} bytes; returns how many. */
  public int take(byte[] target, int offset, int length) {
    int count = Math.min(length, size());
    int start = (int) (readPosition % bytes.length);
    int untilWrap = Math.min(count, bytes.length - start);
    System.arraycopy(bytes, start, target, offset, untilWrap);
    System.arraycopy(bytes, 0, target, offset + untilWrap, count - untilWrap);
    readPosition += count;
    return count;
  }

  /**
   * The next bytes as far as they are contiguous in memory; they stay in the buffer until skipped.
   */
  public ByteBuffer peekContiguous() {
    int start = (int) (readPosition % bytes.length);
    return ByteBuffer.wrap(bytes, start, Math.min(size(), bytes.length - start)).slice();
  }

  /** Removes the next {@code count} bytes. */
  public void skip(int count) {
    assert count <= size();
    readPosition += count;
  }

  /** Removes all bytes. */
  public void clear() {
    readPosition = writePosition;
  }
}
