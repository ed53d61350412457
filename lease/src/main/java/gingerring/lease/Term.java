package gingerring.lease;

/**
 * A lease's term: a counter that increases with each new request for the lease and never decreases.
 *
 * @param value at least zero and below 2^47. An elector starts at its incarnation (Unix time in
 *     ms), so that terms grow even if all electors have lost their memory, provided that electors
 *     restart less often than once per ms and that their start times increase.
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
   * Returns whether this term is too far above all known terms to be accepted: by more than 2^40,
   * which is 35 years in ms.
   */
  boolean isImplausible(Term highestTerm, long incarnation) {
    return value - Math.max(highestTerm.value, Math.floorMod(incarnation, LIMIT)) > 1L << 40;
  }

  @Override
  public int compareTo(Term other) {
    return Long.compare(value, other.value);
  }
}
