package gingerring.lease;

/**
 * A fencing token, which the holder of a lease presents with each piece of work, like a sequencer
 * in Chubby (Burrows, OSDI 2006). Of two holders of a lease the later one has the greater token.
 *
 * @param value the term in the upper 48 bits and 16 bits of the lease name's hash in the lower
 *     bits. The hash bits detect a token of another lease, except for one in 65,536.
 */
public record FencingToken(long value) implements Comparable<FencingToken> {
  public static FencingToken of(LeaseName lease, Term term) {
    return new FencingToken(term.value() << 16 | lease.hash() & 0xFFFF);
  }

  public Term term() {
    return new Term(value >>> 16);
  }

  /** Returns whether this token can belong to the lease, judged by the hash bits. */
  public boolean belongsTo(LeaseName lease) {
    return value >= 0 && (value & 0xFFFF) == (lease.hash() & 0xFFFF);
  }

  @Override
  public int compareTo(FencingToken other) {
    return Long.compare(value, other.value);
  }
}
