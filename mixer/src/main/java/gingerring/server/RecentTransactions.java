package gingerring.server;

import java.time.Duration;

/**
 * The transaction ids of scans that have ended, within a limit on memory. An id is remembered until
 * the time given with it; while ids that are still to be remembered take all the memory, no new
 * scan may begin. Keeps a hash of 64 bits of each id, in a ring and in an open-addressing table;
 * ids are hashed with a seed, so that nobody can find one whose hash is that of another client's.
 */
final class RecentTransactions {
  /** What an id takes: its hash, its time, and two places of the table. */
  static final int ENTRY_BYTES = 4 * Long.BYTES;

  private static final int INITIAL_CAPACITY = 256;
  private static final long FNV_PRIME = 0x100000001b3L;

  /** Marks a place of the table as empty; no hash has this value. */
  private static final long EMPTY = 0;

  private final int maxIds;
  private final long seed;

  /** The hashes, and the time at which each may be forgotten, from {@link #first} on, as rings. */
  private long[] hashes = new long[INITIAL_CAPACITY];

  private long[] forgetNanos = new long[INITIAL_CAPACITY];
  private int first;
  private int size;

  /** The same hashes, each at the first place free from the one that its value gives. */
  private long[] table = new long[2 * INITIAL_CAPACITY];

  RecentTransactions(long maxBytes, long seed) {
    maxIds = (int) Math.min(Integer.MAX_VALUE / 2, maxBytes / ENTRY_BYTES);
    this.seed = seed;
  }

  boolean contains(String transactionId) {
    return table[place(hash(transactionId))] != EMPTY;
  }

  /** Returns whether no further id can be remembered without forgetting one too early. */
  boolean isFull(Duration now) {
    return size >= maxIds && forgetNanos[first] > now.toNanos();
  }

  /** Remembers an id, and forgets the oldest ones as far as memory and their time ask for it. */
  void add(String transactionId, Duration forgetAt, Duration now) {
    long hash = hash(transactionId);
    if (table[place(hash)] != EMPTY) {
      return;
    }
    while (size >= maxIds && forgetNanos[first] <= now.toNanos()) {
      forgetFirst();
    }
    if (size == hashes.length) {
      grow();
    }
    int last = (first + size) % hashes.length;
    hashes[last] = hash;
    forgetNanos[last] = forgetAt.toNanos();
    size++;
    table[place(hash)] = hash;
  }

  /** Returns where a hash is in the table, or the empty place where it belongs. */
  private int place(long hash) {
    int place = home(hash);
    while (table[place] != EMPTY && table[place] != hash) {
      place = (place + 1) % table.length;
    }
    return place;
  }

  private int home(long hash) {
    return (int) Long.remainderUnsigned(hash, table.length);
  }

  private void forgetFirst() {
    int gap = place(hashes[first]);
    first = (first + 1) % hashes.length;
    size--;
    // Each hash up to the next empty place moves into the gap unless it would be before its home.
    for (int i = (gap + 1) % table.length; table[i] != EMPTY; i = (i + 1) % table.length) {
      int distanceFromHome = Math.floorMod(i - home(table[i]), table.length);
      if (distanceFromHome >= Math.floorMod(i - gap, table.length)) {
        table[gap] = table[i];
        gap = i;
      }
    }
    table[gap] = EMPTY;
  }

  private void grow() {
    long[] oldHashes = hashes;
    long[] oldForgetNanos = forgetNanos;
    hashes = new long[2 * size];
    forgetNanos = new long[2 * size];
    table = new long[4 * size];
    for (int i = 0; i < size; i++) {
      int old = (first + i) % oldHashes.length;
      hashes[i] = oldHashes[old];
      forgetNanos[i] = oldForgetNanos[old];
      table[place(hashes[i])] = hashes[i];
    }
    first = 0;
  }

  private long hash(String transactionId) {
    long hash = seed;
    for (int i = 0; i < transactionId.length(); i++) {
      hash = (hash ^ transactionId.charAt(i)) * FNV_PRIME;
      hash ^= hash >>> 32;
    }
    return hash == EMPTY ? 1 : hash;
  }
}
