package gingerring.net;

import java.nio.ByteBuffer;

/**
 * A bounded ring buffer of bytes, which grows with what it holds. It takes no memory while it is
 * empty and has been released. One thread may put while another takes and releases.
 */
public final class ByteRing {
  private static final byte[] NO_BYTES = {};

  private final int initialCapacity;
  private final int capacity;

  /** Limits the growth beyond the initial capacity, of all buffers together. */
  private final MemoryBudget budget;

  /**
   * Holds the bytes, each at its position modulo the length. Replaced under this buffer's lock
   * only; a thread that takes may go on with the array before, which keeps the bytes put until
   * then.
   */
  private volatile byte[] bytes = NO_BYTES;

  /** Whether {@link #prepare} has made sure of a put that has not come yet. */
  private boolean prepared;

  /** What {@link #prepare} has reserved and no put has used yet. */
  private int preparedBytes;

  /** Whether the array is no longer counted in the budget. */
  private boolean detached;

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

  /**
   * Makes sure that the next put succeeds; returns how many bytes it may have, {@code wanted} at
   * most. That may be fewer than {@link #remainingCapacity} while the budget is used up.
   */
  synchronized int prepare(int wanted) {
    unprepare();
    int possible = Math.min(wanted, remainingCapacity());
    int growth = budgeted(lengthFor(size() + possible)) - budgeted(bytes.length);
    if (growth > 0 && !budget.tryReserve(growth)) {
      possible = Math.min(possible, Math.max(initialCapacity, bytes.length) - size());
      growth = 0;
    }
    prepared = possible > 0;
    preparedBytes = Math.max(0, growth);
    return possible;
  }

  /** Returns whether no byte can be put now, for want of capacity or of memory. */
  synchronized boolean isFull() {
    int unused = Math.max(initialCapacity, bytes.length) - size();
    boolean mayGrow =
        remainingCapacity() > 0
            && budget.available() >= budgeted(lengthFor(size() + 1)) - budgeted(bytes.length);
    return unused == 0 && !mayGrow;
  }

  /** Takes back what {@link #prepare} has reserved. */
  synchronized void unprepare() {
    prepared = false;
    budget.release(preparedBytes);
    preparedBytes = 0;
  }

  /** Puts all the bytes, or none if they do not all fit; returns whether they were put. */
  public synchronized boolean put(byte[] source, int offset, int length) {
    if (detached || length > remainingCapacity() || !grow(size() + length)) {
      return false;
    }
    unprepare();
    if (length == 0) {
      return true;
    }
    byte[] target = bytes;
    int start = (int) (writePosition % target.length);
    int untilWrap = Math.min(length, target.length - start);
    System.arraycopy(source, offset, target, start, untilWrap);
    System.arraycopy(source, offset + untilWrap, target, 0, length - untilWrap);
    writePosition += length;
    return true;
  }

  public boolean put(byte[] source) {
    return put(source, 0, source.length);
  }

  /** Makes room for {@code required} bytes; returns false if the budget does not allow that. */
  private boolean grow(int required) {
    byte[] old = bytes;
    if (required <= old.length) {
      return true;
    }
    byte[] larger = new byte[lengthFor(required)];
    int growth = budgeted(larger.length) - budgeted(old.length);
    if (growth <= preparedBytes) {
      preparedBytes -= growth;
    } else if (!budget.tryReserve(growth)) {
      return false;
    }
    for (long i = readPosition; i < writePosition; i++) {
      larger[(int) (i % larger.length)] = old[(int) (i % old.length)];
    }
    bytes = larger;
    return true;
  }

  /** Returns the length of the array for {@code required} bytes: doubled as often as needed. */
  private int lengthFor(int required) {
    int length = Math.max(initialCapacity, bytes.length);
    while (length < required) {
      length *= 2;
    }
    return Math.min(capacity, length);
  }

  /** Returns how much of an array's length is taken from the budget. */
  private int budgeted(int length) {
    return Math.max(0, length - initialCapacity);
  }

  /**
   * Releases the memory of an empty buffer, unless a put has been prepared; the next put allocates
   * it again.
   */
  public synchronized void releaseIfEmpty() {
    if (size() == 0 && !prepared) {
      budget.release(detached ? 0 : budgeted(bytes.length));
      bytes = NO_BYTES;
    }
  }

  /**
   * Gives back what is reserved: nothing is put any more. The bytes can still be taken, and the
   * memory is freed with this object at the latest.
   */
  synchronized void detachFromBudget() {
    unprepare();
    if (!detached) {
      budget.release(budgeted(bytes.length));
      detached = true;
    }
  }

  /** Takes the next byte; -1 if the buffer is empty. */
  public int take() {
    long position = readPosition;
    if (position == writePosition) {
      return -1;
    }
    byte[] source = bytes;
    int next = source[(int) (position % source.length)] & 0xFF;
    readPosition = position + 1;
    return next;
  }

  /** Takes up to {@code length} bytes; returns how many. */
  public int take(byte[] target, int offset, int length) {
    int count = Math.min(length, size());
    if (count == 0) {
      return 0;
    }
    byte[] source = bytes;
    int start = (int) (readPosition % source.length);
    int untilWrap = Math.min(count, source.length - start);
    System.arraycopy(source, start, target, offset, untilWrap);
    System.arraycopy(source, 0, target, offset + untilWrap, count - untilWrap);
    readPosition += count;
    return count;
  }

  /**
   * The next bytes as far as they are contiguous in memory; they stay in the buffer until skipped.
   */
  public ByteBuffer peekContiguous() {
    int size = size();
    if (size == 0) {
      return ByteBuffer.wrap(NO_BYTES);
    }
    byte[] source = bytes;
    int start = (int) (readPosition % source.length);
    return ByteBuffer.wrap(source, start, Math.min(size, source.length - start)).slice();
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
