package gingerring.lease;

import java.util.HashMap;
import java.util.Map;

/**
 * The receiver of duties' work: takes it only with the newest token that it has seen, so that an
 * old holder that wakes changes nothing (fencing; Burrows, "The Chubby lock service", OSDI 2006,
 * 2.4). Keep the newest token beside what the work writes: a gate that has forgotten takes the
 * first that comes. At most so many duties, some 100 bytes each; no more are taken then.
 */
public final class Gate {
  private final int most;
  private final Checks checks;
  private final Map<DutyName, Token> newest = new HashMap<>();
  private long refused;

  public Gate(int most) {
    this(most, Checks.ALL);
  }

  Gate(int most, Checks checks) {
    this.most = most;
    this.checks = checks;
  }

  /**
   * Takes a piece of work, or not. A new holder shows its token at once, also where it has no work
   * yet: from then on the earlier is shut out.
   *
   * @throws DutyError.OldToken where a later holder was here, or the token is another duty's
   * @throws DutyError.TooManyDuties
   */
  public void take(DutyName duty, Token token) {
    Token before = newest.get(duty);
    if (before == null && newest.size() >= most) {
      throw new DutyError.TooManyDuties(most);
    }
    boolean old = before != null && token.compareTo(before) < 0 && checks.on(Checks.Check.GATE_OLD);
    boolean alien = !token.fits(duty) && checks.on(Checks.Check.GATE_DUTY);
    if (old || alien) {
      refused++;
      throw new DutyError.OldToken(
          duty, token, before == null ? Token.of(duty, Term.NONE) : before);
    }
    newest.put(duty, token);
  }

  /** Pieces of work not taken. */
  public long refused() {
    return refused;
  }
}
