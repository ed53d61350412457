package gingerring.lease;

/**
 * Switches for the safety checks of this module. A test disables one check and verifies that the
 * violation is detected.
 */
record SafetyChecks(Check disabled) {
  static final SafetyChecks ALL = new SafetyChecks(null);

  enum Check {
    /** An elector grants nothing for a while after a restart. */
    QUIET,
    /** An elector has at most one active grant per lease. */
    SINGLE_GRANT,
    /** A new grant needs a term above all terms that the elector has seen. */
    HIGHER_TERM,
    /** An elector's first term is its incarnation. */
    INITIAL_TERM,
    /** The holder counts the lease duration from before it sent the request. */
    EXPIRY_FROM_REQUEST,
    /** The holder uses the lease for a shorter time than the elector keeps the grant. */
    SHORTER,
    /** Before the holder uses the lease, it checks by its clock that the lease has not expired. */
    HOLDER_EXPIRY,
    /** An elector's reply cites the sequence number of the request that it answers. */
    REPLY_NUMBER,
    /**
     * The grant in an elector's reply cites the sequence number of the request that the reply
     * answers.
     */
    GRANT_NUMBER,
    /** The grant in a reply names the candidate as its holder. */
    GRANT_HOLDER,
    /** The grant in a reply names the candidate's incarnation. */
    GRANT_INCARNATION,
    /** The grant in a reply has the requested token. */
    GRANT_TOKEN,
    /** The grant in a reply lasts for the requested duration. */
    SPAN,
    /** A candidate needs grants from a majority of electors; half is not enough. */
    MAJORITY,
    /** The holder hands the lease over only to the mixer that it made the offer to. */
    INVITED,
    /** A handover confirmation counts only if it cites the candidate's own ready message. */
    HANDOVER_NUMBER,
    /** The holder stops using the lease before it confirms the handover. */
    STOP_FIRST,
    /** An elector turns a reservation into a grant only if the request cites the reservation. */
    RESERVATION_NUMBER,
    /** A release cites the request of the grant that it ends. */
    RELEASE_NUMBER,
    /** A release names the token of the grant that it ends. */
    RELEASE_TOKEN,
    /** A token belongs to the lease that it is sent for. */
    DUTY_TOKEN,
    /** An elector grants nothing to a request from another epoch of the set of electors. */
    EPOCH,
    /** The guard rejects a token older than the newest one. */
    GUARD_STALE_TOKEN,
    /** The guard rejects a token of another lease. */
    GUARD_LEASE
  }

  boolean enabled(Check check) {
    return check != disabled;
  }
}
