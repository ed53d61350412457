package gingerring.net;

import java.nio.ByteBuffer;

/**
 * Bytes on their way through a connection, in a ring that holds so many at most. One that starts at
 * its full size never moves, so that one thread may put while another takes; a smaller one grows,
 * for one thread.
 */
public final class ByteRing {
  private final int capacity;
  private byte[] bytes;
  private volatile long readPosition;
  private volatile long writePosition;

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

  /** How many bytes were ever put. */
  public long totalBytesPut() {
    return writePosition;
  }

  /** Puts all the bytes, or none where there is no room for all. */
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

  /** The next byte, or -1 where there is none. */
  public int take() {
    long offset = readPosition;
    if (offset == writePosition) {
      return -1;
    }
    int next = bytes[(int) (offset % bytes.length)] & 0xFF;
    readPosition = offset + 1;
    return next;
  }

  /** Takes up to so many bytes; returns how many. */
  public int take(byte[] target, int offset, int length) {
    int count = Math.min(length, size());
    int start = (int) (readPosition % bytes.length);
    int untilWrap = Math.min(count, bytes.length - start);
    System.arraycopy(bytes, start, target, offset, untilWrap);
    System.arraycopy(bytes, 0, target, offset + untilWrap, count - untilWrap);
    readPosition += count;
    return count;
  }

  /** The bytes next in turn that lie side by side; they stay until skipped. */
  public ByteBuffer peekContiguous() {
    int start = (int) (readPosition % bytes.length);
    return ByteBuffer.wrap(bytes, start, Math.min(size(), bytes.length - start)).slice();
  }

  public void skip(int count) {
    assert count <= size();
    readPosition += count;
  }

  public void clear() {
    readPosition = writePosition;
  }
}
