package gingerring.lease;

/**
 * How far a duty's leases have come: counts up with each lease that is asked for, never back.
 *
 * @param count zero or more, under 2^47; an elector starts at its life (Unix time in ms), so that
 *     terms grow even over electors who have all forgotten, if they start less often than once a ms
 *     and start times grow
 */
public record Term(long count) implements Comparable<Term> {
  static final long END = 1L << 47;
  public static final Term NONE = new Term(0);

  public Term {
    if (count < 0 || count >= END) {
      throw new DutyError.BadTerm(count);
    }
  }

  public Term next() {
    return new Term(count + 1);
  }

  public static Term later(Term one, Term other) {
    return one.count >= other.count ? one : other;
  }

  /**
   * Whether this is too far above all that is known for a word to be believed: 2^40, as ms 35
   * years.
   */
  boolean leaps(Term seen, long life) {
    return count - Math.max(seen.count, Math.floorMod(life, END)) > 1L << 40;
  }

  @Override
  public int compareTo(Term other) {
    return Long.compare(count, other.count);
  }
}
