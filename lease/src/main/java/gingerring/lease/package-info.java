/**
 * Which mixer holds which duty, one at a time: leases by a majority of electors without a log, a
 * disk or common time ({@link gingerring.lease.Elector}, {@link gingerring.lease.Candidate}),
 * tokens that only grow and are checked by whoever takes a duty's work ({@link
 * gingerring.lease.Gate}), and an even spread of duties ({@link
 * gingerring.lease.CandidateRanking}). A word says what its author saw; it comes in a {@link
 * gingerring.lease.Envelope} with its author's life and number. No I/O, thread or clock: times are
 * durations since one's own start, each by its own clock. A mixer's shell or a simulation calls it;
 * it must never depend on a mixer.
 */
package gingerring.lease;
