package gingerring.lease;

import java.time.Duration;

/**
 * A message between two mixers about a lease. It carries only the sender's request or state that
 * the sender itself has recorded. A reply cites the sequence number of the envelope that it
 * answers, so that a late, foreign or misdirected reply has no effect.
 */
public sealed interface LeaseMessage {
  LeaseName lease();

  /**
   * A grant as an elector has recorded it; the token is zero if there is no grant. {@code
   * requestNumber} is the sequence number of the latest request for the grant, and {@code
   * remaining} is the time until the grant expires by the elector's clock.
   */
  record GrantStatus(
      MixerId holder,
      long incarnation,
      FencingToken token,
      long requestNumber,
      Duration remaining) {}

  /**
   * Asks an elector to grant or renew the lease for a duration that starts when the elector handles
   * the request. {@code reservationNumber} is the sequence number of the {@link ReservationRequest}
   * that the elector accepted, if the holder has handed the lease over; otherwise 0.
   */
  record GrantRequest(
      LeaseName lease, long epoch, FencingToken token, Duration duration, long reservationNumber)
      implements LeaseMessage {}

  /**
   * Asks an elector to reserve the lease for the sender, which the current holder has offered the
   * lease to. The reservation takes effect after the grant with {@code currentToken}.
   */
  record ReservationRequest(
      LeaseName lease, long epoch, FencingToken token, FencingToken currentToken, Duration duration)
      implements LeaseMessage {}

  /**
   * Tells an elector that the sender no longer uses the grant that it got for request {@code
   * requestNumber}.
   */
  record Release(LeaseName lease, FencingToken token, long requestNumber) implements LeaseMessage {}

  /**
   * An elector's reply to a grant request or a reservation request, with the grants that the
   * elector has recorded.
   */
  record ElectorReply(
      LeaseName lease,
      long epoch,
      long requestNumber,
      Term highestTerm,
      GrantStatus current,
      GrantStatus reserved)
      implements LeaseMessage {}

  /** The holder offers the lease to its chosen successor. */
  record HandoverOffer(LeaseName lease, FencingToken token) implements LeaseMessage {}

  /**
   * The successor tells the holder that a majority of electors has reserved the lease for the
   * successor.
   */
  record HandoverReady(
      LeaseName lease, FencingToken token, FencingToken successorToken, long offerNumber)
      implements LeaseMessage {}

  /** The former holder tells the successor that it has stopped using the lease. */
  record HandoverConfirmed(
      LeaseName lease, FencingToken token, FencingToken successorToken, long readyNumber)
      implements LeaseMessage {}
}
