package gingerring.lease;

/** Each check of this module, so that a test can take one out and see that it is missed. */
record Checks(Check out) {
  static final Checks ALL = new Checks(null);

  enum Check {
    /** An elector that came back empty is quiet. */
    QUIET,
    /** An elector has one lease of a duty at a time. */
    ONE_LEASE,
    /** Only a token later than all seen is granted anew. */
    LATER_TOKEN,
    /** A start at one's life. */
    LIFE_FLOOR,
    /** The holder counts from before it asked. */
    FROM_ASKING,
    /** The holder's span is shorter than the elector's. */
    SHORTER,
    /** The holder looks at its clock before it acts. */
    OWN_CLOCK,
    /** An answer cites what that elector was asked. */
    CITES,
    /** ... and so does the lease on record. */
    LEASE_CITES,
    /** The lease on record is one's own. */
    OWN_LEASE,
    /** ... of one's own life. */
    OWN_LIFE,
    /** ... of the token asked for. */
    OWN_TOKEN,
    /** ... for as long as asked for. */
    SPAN,
    /** A majority, not half. */
    MAJORITY,
    /** Only who was invited and is ready is yielded to. */
    INVITED,
    /** A yield counts only when it cites one's own readiness. */
    YIELD_CITES,
    /** The holder stops before it yields. */
    STOP_FIRST,
    /** An elector follows a yield only where the ask cites the line. */
    LINE_CITES,
    /** A release names the lease that it ends. */
    RELEASE_CITES,
    /** A release names the token that it ends. */
    RELEASE_TOKEN,
    /** A token is of the duty it comes with. */
    DUTY_TOKEN,
    /** Asks of another epoch get nothing. */
    EPOCH,
    /** The gate takes no older token. */
    GATE_OLD,
    /** The gate takes no other duty's token. */
    GATE_DUTY
  }

  boolean on(Check check) {
    return check != out;
  }
}
