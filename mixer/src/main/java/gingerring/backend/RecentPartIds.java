package gingerring.backend;

import java.util.Arrays;

/**
 * The ids of the parts that ended most recently on one connection, up to a fixed number. Keeps a
 * hash of 64 bits of each in place of the text: a wrong match is as good as impossible, and would
 * only make a part use another connection or an unknown answer count as a late one.
 */
final class RecentPartIds {
  private static final int INITIAL_CAPACITY = 16;
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private final int capacity;
  private long[] hashes = {};
  private int size;

  /** Where the next hash goes once there are {@link #capacity} of them. */
  private int oldest;

  RecentPartIds(int capacity) {
    this.capacity = capacity;
  }

  boolean contains(String partId) {
    long hash = hash(partId);
    for (int i = 0; i < size; i++) {
      if (hashes[i] == hash) {
        return true;
      }
    }
    return false;
  }

  /** Adds an id, in place of the oldest one if there are too many. */
  void add(String partId) {
    if (size == capacity) {
      hashes[oldest] = hash(partId);
      oldest = (oldest + 1) % capacity;
      return;
    }
    if (size == hashes.length) {
      hashes = Arrays.copyOf(hashes, Math.min(capacity, Math.max(INITIAL_CAPACITY, 2 * size)));
    }
    hashes[size++] = hash(partId);
  }

  private static long hash(String partId) {
    long hash = FNV_OFFSET;
    for (int i = 0; i < partId.length(); i++) {
      hash = (hash ^ partId.charAt(i)) * FNV_PRIME;
    }
    return hash;
  }
}
