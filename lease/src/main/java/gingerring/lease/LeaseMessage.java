package gingerring.lease;

import java.time.Duration;

/**
 * What one mixer says to another about duties; each says what its author asks for or has itself
 * recorded. What comes back cites the number of the letter that it answers, so that a word of
 * another time, way or author settles nothing.
 */
public sealed interface LeaseMessage {
  LeaseName lease();

  /**
   * A lease that an elector has on record; of nobody with a token of zero. {@code asked} is the
   * letter that asked for it last, {@code left} by the elector's clock.
   */
  record GrantStatus(
      MixerId holder,
      long incarnation,
      FencingToken token,
      long requestNumber,
      Duration remaining) {}

  /**
   * A candidate or holder to an elector: grant, or grant anew, the duty for a span from now. {@code
   * lined} is the number of its line there, where the duty was yielded to it; else 0.
   */
  record GrantRequest(
      LeaseName lease, long epoch, FencingToken token, Duration duration, long reservationNumber)
      implements LeaseMessage {}

  /** One who was invited to an elector: keep the duty for me behind the one who has it now. */
  record ReservationRequest(
      LeaseName lease, long epoch, FencingToken token, FencingToken currentToken, Duration duration)
      implements LeaseMessage {}

  /**
   * To an elector: of the lease that it granted to letter {@code asked}, nothing is used any more.
   */
  record Release(LeaseName lease, FencingToken token, long requestNumber) implements LeaseMessage {}

  /** An elector's answer to an ask or a line: what it has on record now. */
  record ElectorReply(
      LeaseName lease,
      long epoch,
      long requestNumber,
      Term highestTerm,
      GrantStatus current,
      GrantStatus reserved)
      implements LeaseMessage {}

  /** A holder to the one who is to have the duty after it. */
  record HandoverOffer(LeaseName lease, FencingToken token) implements LeaseMessage {}

  /** The invited to the holder: a majority keeps the duty for me. */
  record HandoverReady(
      LeaseName lease, FencingToken token, FencingToken successorToken, long offerNumber)
      implements LeaseMessage {}

  /** The holder, who holds no more, to the one who is ready. */
  record HandoverConfirmed(
      LeaseName lease, FencingToken token, FencingToken successorToken, long readyNumber)
      implements LeaseMessage {}
}
