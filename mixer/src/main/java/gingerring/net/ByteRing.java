package gingerring.net;

import java.nio.ByteBuffer;

/**
 * A bounded ring buffer of bytes. It takes no memory while it is empty and has been released. If
 * the initial capacity equals the limit, the array does not grow, and one thread may put while
 * another takes and releases; otherwise the buffer grows and must be used by one thread only.
 */
public final class ByteRing {
  private static final byte[] NO_BYTES = {};

  private final int initialCapacity;
  private final int capacity;

  /** Limits the growth beyond the initial capacity, of all buffers together. */
  private final MemoryBudget budget;

  /** Replaced under this buffer's lock only. */
  private byte[] bytes = NO_BYTES;

  /** Total number of bytes ever taken. */
  private volatile long readPosition;

  /** Total number of bytes ever put. */
  private volatile long writePosition;

  /**
   * Creates a buffer that starts with {@code initialCapacity} bytes and grows to {@code capacity}.
   */
  public ByteRing(int initialCapacity, int capacity) {
    this(initialCapacity, capacity, MemoryBudget.UNLIMITED);
  }

  /** Creates a buffer that grows as far as {@code capacity} and the budget allow. */
  ByteRing(int initialCapacity, int capacity, MemoryBudget budget) {
    this.initialCapacity = initialCapacity;
    this.capacity = capacity;
    this.budget = budget;
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

  /** Total number of bytes ever taken, skipped or cleared. */
  public long totalBytesTaken() {
    return readPosition;
  }

  /** Puts all the bytes, or none if they do not all fit; returns whether they were put. */
  public synchronized boolean put(byte[] source, int offset, int length) {
    if (length > remainingCapacity() || !grow(size() + length)) {
      return false;
    }
    if (length == 0) {
      return true;
    }
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

  /** Makes room for {@code required} bytes; returns false if the budget does not allow that. */
  private boolean grow(int required) {
    if (required <= bytes.length) {
      return true;
    }
    int newLength =
        Math.min(capacity, Math.max(required, Math.max(initialCapacity, 2 * bytes.length)));
    if (!budget.tryReserve(beyondInitial(newLength) - beyondInitial(bytes.length))) {
      return false;
    }
    byte[] larger = new byte[newLength];
    for (long i = readPosition; i < writePosition; i++) {
      larger[(int) (i % larger.length)] = bytes[(int) (i % bytes.length)];
    }
    bytes = larger;
    return true;
  }

  private int beyondInitial(int length) {
    return Math.max(0, length - initialCapacity);
  }

  /** Releases the memory of an empty buffer; the next put allocates it again. */
  public synchronized void releaseIfEmpty() {
    if (size() == 0) {
      budget.release(beyondInitial(bytes.length));
      bytes = NO_BYTES;
    }
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
    if (count == 0) {
      return 0;
    }
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
    if (size() == 0) {
      return ByteBuffer.wrap(NO_BYTES);
    }
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
