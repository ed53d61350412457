package gingerring.lease;

/**
 * An error of the lease module that an operator can see: a stable code, the location, the cause and
 * a remedy.
 */
public abstract sealed class LeaseException extends RuntimeException {
  private static final long serialVersionUID = 1;
  private final String code;
  private final String location;
  private final String remedy;

  private LeaseException(String code, String location, String cause, String remedy) {
    super(code + " at " + location + ": " + cause + "; " + remedy);
    this.code = code;
    this.location = location;
    this.remedy = remedy;
  }

  /** Returns the error's code, such as {@code duty-name}. A published code never changes. */
  public String code() {
    return code;
  }

  public String location() {
    return location;
  }

  /** Returns what an operator can do about the error. */
  public String remedy() {
    return remedy;
  }

  /** An invalid lease name. */
  public static final class InvalidLeaseName extends LeaseException {
    private static final long serialVersionUID = 1;

    InvalidLeaseName(String name) {
      super(
          "duty-name",
          "name of a lease",
          "\"" + name + "\"",
          "use 1 to 64 characters out of a-z, 0-9, hyphen and dot");
    }
  }

  /** Lease settings that are out of range or contradict each other. */
  public static final class InvalidLeaseSettings extends LeaseException {
    private static final long serialVersionUID = 1;

    InvalidLeaseSettings(String settings) {
      super(
          "duty-rules",
          "lease settings",
          settings,
          "required: replyTimeout < initialDuration <= leaseDuration, "
              + "renewInterval + replyTimeout < leaseDuration, 0 <= maxClockDrift < 0.5, "
              + "candidateCount >= 1, all durations above zero");
    }
  }

  /** An invalid set of electors. */
  public static final class InvalidElectorSet extends LeaseException {
    private static final long serialVersionUID = 1;

    InvalidElectorSet(String set) {
      super(
          "duty-electors",
          "set of electors",
          set,
          "name 1 to 9 mixers, preferably 3, 5 or 7 in different zones");
    }
  }

  /** A change of electors after which two majorities might not intersect. */
  public static final class UnsafeElectorChange extends LeaseException {
    private static final long serialVersionUID = 1;

    UnsafeElectorChange(ElectorSet from, ElectorSet to) {
      super(
          "duty-electors-apart",
          "change of electors",
          "from " + from + " to " + to,
          "add or remove one elector at a time and increase the epoch by one each time");
    }
  }

  /**
   * A change of electors before a majority is known to have had the previous set for a full lease.
   */
  public static final class ElectorChangeTooEarly extends LeaseException {
    private static final long serialVersionUID = 1;

    ElectorChangeTooEarly(ElectorSet current) {
      super(
          "duty-electors-unsettled",
          "change of electors",
          current + " has not been known to a majority of electors for a full lease yet",
          "wait for two lease durations and try again; "
              + "check which of these electors are unreachable");
    }
  }

  /** A term that is out of range. */
  public static final class InvalidTerm extends LeaseException {
    private static final long serialVersionUID = 1;

    InvalidTerm(long value) {
      super(
          "duty-term",
          "term of a lease",
          String.valueOf(value),
          "check for a mixer whose clock is far ahead");
    }
  }

  /** More leases than the configured maximum. */
  public static final class TooManyLeases extends LeaseException {
    private static final long serialVersionUID = 1;

    TooManyLeases(int maxLeases) {
      super(
          "duty-many",
          "lease table",
          "more than " + maxLeases,
          "raise the maximum or remove leases");
    }
  }

  /** Work that was presented with the token of a former holder or of another lease. */
  public static final class StaleToken extends LeaseException {
    private static final long serialVersionUID = 1;
    private final transient FencingToken newest;

    StaleToken(LeaseName lease, FencingToken presented, FencingToken newest) {
      super(
          "duty-token",
          "fencing guard of " + lease.value(),
          "presented token " + presented.value() + ", newest token " + newest.value(),
          "no action is needed if a mixer was slow or paused; "
              + "otherwise check for two mixers with the same name");
      this.newest = newest;
    }

    /**
     * Returns the newest token that the guard has seen, so that the sender can request a higher
     * term.
     */
    public FencingToken newest() {
      return newest;
    }
  }
}
