/**
 * Leases that let one mixer at a time do a piece of work.
 *
 * <p>A majority of electors grants a lease without a log, a disk or synchronised clocks ({@link
 * gingerring.lease.Elector}, {@link gingerring.lease.Candidate}). Fencing tokens only grow, and the
 * receiver of the work checks them ({@link gingerring.lease.FencingGuard}). Rendezvous hashing
 * spreads the leases evenly over the mixers ({@link gingerring.lease.CandidateRanking}). Mixers
 * exchange a {@link gingerring.lease.LeaseMessage} in an {@link gingerring.lease.Envelope}, which
 * carries the sender's incarnation and a sequence number.
 *
 * <p>The package does no I/O and uses no thread and no clock. Each process measures time as the
 * duration since its own start, by its own clock. A mixer or a simulation drives these classes;
 * they must never depend on the mixer.
 */
package gingerring.lease;
