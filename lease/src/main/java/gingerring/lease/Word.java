package gingerring.lease;

import java.time.Duration;

/**
 * What one mixer says to another about duties; each says what its author asks for or has itself
 * recorded. What comes back cites the number of the letter that it answers, so that a word of
 * another time, way or author settles nothing.
 */
public sealed interface Word {
  DutyName duty();

  /**
   * A lease that an elector has on record; of nobody with a token of zero. {@code asked} is the
   * letter that asked for it last, {@code left} by the elector's clock.
   */
  record Lease(MixerId holder, long life, Token token, long asked, Duration left) {}

  /**
   * A candidate or holder to an elector: grant, or grant anew, the duty for a span from now. {@code
   * lined} is the number of its line there, where the duty was yielded to it; else 0.
   */
  record Ask(DutyName duty, long epoch, Token token, Duration span, long lined) implements Word {}

  /** One who was invited to an elector: keep the duty for me behind the one who has it now. */
  record Line(DutyName duty, long epoch, Token token, Token behind, Duration span)
      implements Word {}

  /**
   * To an elector: of the lease that it granted to letter {@code asked}, nothing is used any more.
   */
  record Release(DutyName duty, Token token, long asked) implements Word {}

  /** An elector's answer to an ask or a line: what it has on record now. */
  record Answer(DutyName duty, long epoch, long asked, Term seen, Lease held, Lease next)
      implements Word {}

  /** A holder to the one who is to have the duty after it. */
  record Invite(DutyName duty, Token token) implements Word {}

  /** The invited to the holder: a majority keeps the duty for me. */
  record Ready(DutyName duty, Token token, Token next, long invited) implements Word {}

  /** The holder, who holds no more, to the one who is ready. */
  record Yield(DutyName duty, Token token, Token next, long ready) implements Word {}
}
