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
final class Direction {
  /**
   * Farther off than this a segment is not of this stream: a window is 1 GiB at most (RFC 7323
   * 2.2).
   */
  private static final int FAR = 1 << 30;

  /**
   * How far before the first byte seen a SYN may stand and still be taken for one that came late.
   */
  private static final int LATE = 1 << 20;

  /**
   * Whom bytes go to once they are in order; {@code acknowledged} is a sequence number of the other
   * direction.
   */
  interface Out {
    void bytes(byte[] bytes, int at, int length, long nanos, int acknowledged);

    void gap(long missing);
  }

  /** Bytes that came early: when, and what their sender had acknowledged by then. */
  private record Block(byte[] bytes, long nanos, int acknowledged) {
    int length() {
      return bytes.length;
    }
  }

  private final TreeMap<Long, Block> early = new TreeMap<>();
  boolean known;

  /** Where the stream begins is sure: by its SYN, or by what was seen until it had to be. */
  boolean settled;

  boolean flowing;
  private int first;
  long next;

  /** How far the peer was seen to have taken it, and the first that was seen of that. */
  long acknowledged;

  private long floor = Long.MAX_VALUE;
  int held;

  /** When the oldest gap was met. */
  long gapSince;

  long finAt = -1;
  boolean finTold;
  long conflicting;
  long repeated;

  /** Its stream is counted from this sequence number, for now. */
  void begin(int sequence) {
    known = true;
    first = sequence;
  }

  /** The peer has taken all before this sequence number. */
  void taken(int sequence) {
    long offset = offset(sequence);
    if (!far(offset)) {
      acknowledged = Math.max(acknowledged, offset);
      floor = Math.min(floor, offset);
    }
  }

  /** Its stream begins at a SYN's sequence number. */
  void settleAt(int sequence) {
    if (!settled) {
      rebase(offset(sequence));
    }
  }

  /** Its stream begins with the first byte held, or where its peer first waited for more. */
  void settle() {
    if (!settled) {
      long lowest = early.isEmpty() ? Long.MAX_VALUE : early.firstKey();
      long base = Math.min(lowest, floor);
      rebase(base == Long.MAX_VALUE ? 0 : base);
    }
  }

  private void rebase(long base) {
    settled = true;
    first += (int) base;
    acknowledged = Math.max(0, acknowledged - base);
    finAt -= finAt >= 0 ? base : 0;
    if (early.isEmpty()) {
      return;
    }
    TreeMap<Long, Block> moved = new TreeMap<>();
    early.forEach((offset, block) -> moved.put(offset - base, block));
    early.clear();
    early.putAll(moved);
    while (!early.isEmpty() && early.firstKey() < 0) { // before the SYN: not of this stream
      held -= early.pollFirstEntry().getValue().length();
    }
  }

  /** Whether a SYN that makes the stream begin here can be this stream's own, come late. */
  boolean mayBeginAt(int sequence, boolean opened) {
    int before = first - sequence;
    return !known
        || before == 0
        || !settled && Math.abs(before) < LATE
        || !opened && before > 0 && before < LATE;
  }

  /** The offset of a sequence number, next to where the stream stands. */
  long offset(int sequence) {
    return next + (sequence - (int) (first + next));
  }

  boolean far(long offset) {
    return Math.abs(offset - next) > FAR;
  }

  boolean gapped() {
    return !early.isEmpty();
  }

  boolean finished() {
    return flowing && finAt >= 0 && next >= finAt;
  }

  void add(long offset, byte[] b, int at, int length, long nanos, int acknowledged, Out out) {
    long end = offset + length;
    if (flowing) {
      if (offset < next) {
        int known = (int) Math.min(length, next - offset);
        repeated += known;
        offset += known;
        at += known;
      }
      if (offset >= end) {
        return;
      }
      if (offset == next && early.isEmpty()) { // the ordinary case: nothing is copied
        next = end;
        out.bytes(b, at, (int) (end - offset), nanos, acknowledged);
        return;
      }
    }
    gapSince = gapped() ? gapSince : nanos;
    hold(offset, b, at, (int) (end - offset), nanos, acknowledged);
    drain(out);
  }

  /** Keeps those bytes that are not held yet. */
  private void hold(long offset, byte[] b, int at, int length, long nanos, int acknowledged) {
    long end = offset + length;
    Map.Entry<Long, Block> before = early.floorEntry(offset);
    long from =
        before != null && before.getKey() + before.getValue().length() > offset
            ? before.getKey()
            : offset;
    long cursor = offset;
    for (Map.Entry<Long, Block> block :
        new TreeMap<>(early.subMap(from, true, end, false)).entrySet()) {
      long start = block.getKey();
      long stop = start + block.getValue().length();
      if (start > cursor) {
        keep(cursor, b, at + (int) (cursor - offset), (int) (start - cursor), nanos, acknowledged);
      }
      long shared = Math.max(cursor, start);
      long sharedEnd = Math.min(end, stop);
      if (shared < sharedEnd) {
        int size = (int) (sharedEnd - shared);
        int mine = at + (int) (shared - offset);
        int its = (int) (shared - start);
        repeated += size;
        if (!Arrays.equals(b, mine, mine + size, block.getValue().bytes, its, its + size)) {
          conflicting++;
        }
      }
      cursor = Math.max(cursor, stop);
    }
    if (cursor < end) {
      keep(cursor, b, at + (int) (cursor - offset), (int) (end - cursor), nanos, acknowledged);
    }
  }

  private void keep(long offset, byte[] b, int at, int length, long nanos, int acknowledged) {
    early.put(offset, new Block(Arrays.copyOfRange(b, at, at + length), nanos, acknowledged));
    held += length;
  }

  void drain(Out out) {
    while (flowing && !early.isEmpty() && early.firstKey() == next) {
      Block block = early.pollFirstEntry().getValue();
      held -= block.length();
      next += block.length();
      out.bytes(block.bytes, 0, block.length(), block.nanos, block.acknowledged);
    }
  }

  /** Gives the oldest gap up, and passes on what follows it. */
  void giveUp(long nanos, Out out) {
    gapSince = nanos;
    long missing = early.firstKey() - next;
    next += missing;
    out.gap(missing);
    drain(out);
  }

  /** What is known to have been sent before the end and never came. */
  long missingAtEnd() {
    return Math.max(0, (finAt >= 0 ? finAt : acknowledged) - next);
  }
}
