package gingerring.lease;

/**
 * What a holder shows with each piece of a duty's work, as Chubby's sequencer (Burrows, OSDI 2006):
 * of two holders of a duty the later has the greater number.
 *
 * @param value the term in the upper 48 bits, 16 bits of the duty's name below, by which a token
 *     that was meant for another duty is told (all but one in 65,536 of such)
 */
public record FencingToken(long value) implements Comparable<FencingToken> {
  public static FencingToken of(LeaseName lease, Term term) {
    return new FencingToken(term.value() << 16 | lease.hash() & 0xFFFF);
  }

  public Term term() {
    return new Term(value >>> 16);
  }

  /** Whether this can be a token of a duty. */
  public boolean belongsTo(LeaseName lease) {
    return value >= 0 && (value & 0xFFFF) == (lease.hash() & 0xFFFF);
  }

  @Override
  public int compareTo(FencingToken other) {
    return Long.compare(value, other.value);
  }
}
