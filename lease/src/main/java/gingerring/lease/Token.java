package gingerring.lease;

/**
 * What a holder shows with each piece of a duty's work, as Chubby's sequencer (Burrows, OSDI 2006):
 * of two holders of a duty the later has the greater number.
 *
 * @param number the term in the upper 48 bits, 16 bits of the duty's name below, by which a token
 *     that was meant for another duty is told (all but one in 65,536 of such)
 */
public record Token(long number) implements Comparable<Token> {
  public static Token of(DutyName duty, Term term) {
    return new Token(term.count() << 16 | duty.hash() & 0xFFFF);
  }

  public Term term() {
    return new Term(number >>> 16);
  }

  /** Whether this can be a token of a duty. */
  public boolean fits(DutyName duty) {
    return number >= 0 && (number & 0xFFFF) == (duty.hash() & 0xFFFF);
  }

  @Override
  public int compareTo(Token other) {
    return Long.compare(number, other.number);
  }
}
