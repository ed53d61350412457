package gingerring.lease;

/**
 * How far a duty's leases have come: counts up with each lease that is asked for, never back.
 *
 * @param value zero or more, under 2^47; an elector starts at its life (Unix time in ms), so that
 *     terms grow even over electors who have all forgotten, if they start less often than once a ms
 *     and start times grow
 */
public record Term(long value) implements Comparable<Term> {
  static final long LIMIT = 1L << 47;
  public static final Term NONE = new Term(0);

  public Term {
    if (value < 0 || value >= LIMIT) {
      throw new LeaseException.InvalidTerm(value);
    }
  }

  public Term next() {
    return new Term(value + 1);
  }

  public static Term max(Term first, Term second) {
    return first.value >= second.value ? first : second;
  }

  /**
   * Whether this is too far above all that is known for a word to be believed: 2^40, as ms 35
   * years.
   */
  boolean isImplausible(Term highestTerm, long incarnation) {
    return value - Math.max(highestTerm.value, Math.floorMod(incarnation, LIMIT)) > 1L << 40;
  }

  @Override
  public int compareTo(Term other) {
    return Long.compare(value, other.value);
  }
}
