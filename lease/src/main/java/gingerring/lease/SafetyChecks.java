package gingerring.lease;

/** Each check of this module, so that a test can take one out and see that it is missed. */
record SafetyChecks(Check disabled) {
  static final SafetyChecks ALL = new SafetyChecks(null);

  enum Check {
    /** An elector that came back empty is quiet. */
    QUIET,
    /** An elector has one lease of a duty at a time. */
    SINGLE_GRANT,
    /** Only a token later than all seen is granted anew. */
    HIGHER_TERM,
    /** A start at one's life. */
    INITIAL_TERM,
    /** The holder counts from before it asked. */
    EXPIRY_FROM_REQUEST,
    /** The holder's span is shorter than the elector's. */
    SHORTER,
    /** The holder looks at its clock before it acts. */
    HOLDER_EXPIRY,
    /** An answer cites what that elector was asked. */
    REPLY_NUMBER,
    /** ... and so does the lease on record. */
    GRANT_NUMBER,
    /** The lease on record is one's own. */
    GRANT_HOLDER,
    /** ... of one's own life. */
    GRANT_INCARNATION,
    /** ... of the token asked for. */
    GRANT_TOKEN,
    /** ... for as long as asked for. */
    SPAN,
    /** A majority, not half. */
    MAJORITY,
    /** Only who was invited and is ready is yielded to. */
    INVITED,
    /** A yield counts only when it cites one's own readiness. */
    HANDOVER_NUMBER,
    /** The holder stops before it yields. */
    STOP_FIRST,
    /** An elector follows a yield only where the ask cites the line. */
    RESERVATION_NUMBER,
    /** A release names the lease that it ends. */
    RELEASE_NUMBER,
    /** A release names the token that it ends. */
    RELEASE_TOKEN,
    /** A token is of the duty it comes with. */
    DUTY_TOKEN,
    /** Asks of another epoch get nothing. */
    EPOCH,
    /** The gate takes no older token. */
    GUARD_STALE_TOKEN,
    /** The gate takes no other duty's token. */
    GUARD_LEASE
  }

  boolean enabled(Check check) {
    return check != disabled;
  }
}
