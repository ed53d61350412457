package gingerring.net;

import java.nio.ByteBuffer;

/**
 * Bytes on their way through a connection, in a ring that holds so many at most. One that starts at
 * its full size never moves, so that one thread may put while another takes; a smaller one grows,
 * for one thread.
 */
public final class ByteRing {
  private final int most;
  private byte[] bytes;
  private volatile long taken;
  private volatile long put;

  public ByteRing(int first, int most) {
    this.most = most;
    bytes = new byte[first];
  }

  public int size() {
    return (int) (put - taken);
  }

  public int remainingCapacity() {
    return most - size();
  }

  /** How many bytes were ever put. */
  public long totalBytesPut() {
    return put;
  }

  /** Puts all the bytes, or none where there is no room for all. */
  public boolean put(byte[] from, int at, int length) {
    if (length > remainingCapacity()) {
      return false;
    }
    grow(length);
    int start = (int) (put % bytes.length);
    int first = Math.min(length, bytes.length - start);
    System.arraycopy(from, at, bytes, start, first);
    System.arraycopy(from, at + first, bytes, 0, length - first);
    put += length;
    return true;
  }

  public boolean put(byte[] from) {
    return put(from, 0, from.length);
  }

  private void grow(int length) {
    int need = size() + length;
    if (need <= bytes.length) {
      return;
    }
    byte[] larger = new byte[Math.min(most, Math.max(need, 2 * bytes.length))];
    for (long i = taken; i < put; i++) {
      larger[(int) (i % larger.length)] = bytes[(int) (i % bytes.length)];
    }
    bytes = larger;
  }

  /** The next byte, or -1 where there is none. */
  public int take() {
    long at = taken;
    if (at == put) {
      return -1;
    }
    int next = bytes[(int) (at % bytes.length)] & 0xFF;
    taken = at + 1;
    return next;
  }

  /** Takes up to so many bytes; returns how many. */
  public int take(byte[] to, int at, int length) {
    int count = Math.min(length, size());
    int start = (int) (taken % bytes.length);
    int first = Math.min(count, bytes.length - start);
    System.arraycopy(bytes, start, to, at, first);
    System.arraycopy(bytes, 0, to, at + first, count - first);
    taken += count;
    return count;
  }

  /** The bytes next in turn that lie side by side; they stay until skipped. */
  public ByteBuffer peekContiguous() {
    int start = (int) (taken % bytes.length);
    return ByteBuffer.wrap(bytes, start, Math.min(size(), bytes.length - start)).slice();
  }

  public void skip(int count) {
    assert count <= size();
    taken += count;
  }

  public void clear() {
    taken = put;
  }
}
