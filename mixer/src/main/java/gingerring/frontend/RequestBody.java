package gingerring.frontend;

import java.util.Arrays;

/** The bytes of a request's body that have arrived; grows with them up to the largest body. */
final class RequestBody {
  private static final int INITIAL_CAPACITY_BYTES = 512;

  private byte[] bytes = {};
  private int size;

  /** Returns the memory that is taken, in bytes. */
  int capacity() {
    return bytes.length;
  }

  /** Returns the memory that will be taken with {@code length} bytes more. */
  int capacityWith(int length) {
    int required = size + length;
    if (required <= bytes.length) {
      return bytes.length;
    }
    int doubled = Math.max(INITIAL_CAPACITY_BYTES, 2 * bytes.length);
    return Math.max(required, Math.min(Frontend.MAX_BODY_BYTES, doubled));
  }

  /** Appends the first {@code length} bytes of an array. */
  void append(byte[] source, int length) {
    int capacity = capacityWith(length);
    if (capacity > bytes.length) {
      bytes = Arrays.copyOf(bytes, capacity);
    }
    System.arraycopy(source, 0, bytes, size, length);
    size += length;
  }

  byte[] toByteArray() {
    return Arrays.copyOf(bytes, size);
  }
}
