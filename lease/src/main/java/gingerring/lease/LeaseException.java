package gingerring.lease;

/** What an operator can meet of duties: a stable code, the place, what happened, and what to do. */
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

  /** Never changes once given out, as {@code duty-name}. */
  public String code() {
    return code;
  }

  public String location() {
    return location;
  }

  /** What an operator can do. */
  public String remedy() {
    return remedy;
  }

  /** A duty's name that cannot be. */
  public static final class InvalidLeaseName extends LeaseException {
    private static final long serialVersionUID = 1;

    InvalidLeaseName(String name) {
      super(
          "duty-name",
          "name of a duty",
          "\"" + name + "\"",
          "give 1 to 64 of a-z, 0-9, hyphen, dot");
    }
  }

  /** Spans that do not go together. */
  public static final class InvalidLeaseSettings extends LeaseException {
    private static final long serialVersionUID = 1;

    InvalidLeaseSettings(String settings) {
      super(
          "duty-rules",
          "rules of leases",
          settings,
          "let patience < vote <= lease, renew + patience < lease, 0 <= drift < 0.5, all spans above zero");
    }
  }

  /** A set of electors that cannot be. */
  public static final class InvalidElectorSet extends LeaseException {
    private static final long serialVersionUID = 1;

    InvalidElectorSet(String set) {
      super(
          "duty-electors",
          "set of electors",
          set,
          "name 1 to 9 mixers, best 3, 5 or 7 in different zones");
    }
  }

  /** A change of electors by which two majorities might not meet. */
  public static final class UnsafeElectorChange extends LeaseException {
    private static final long serialVersionUID = 1;

    UnsafeElectorChange(ElectorSet from, ElectorSet to) {
      super(
          "duty-electors-apart",
          "change of electors",
          "from " + from + " to " + to,
          "add or remove one at a time, each with the next epoch");
    }
  }

  /** A change of electors before the last one is surely known to a majority for a lease. */
  public static final class ElectorChangeTooEarly extends LeaseException {
    private static final long serialVersionUID = 1;

    ElectorChangeTooEarly(ElectorSet current) {
      super(
          "duty-electors-unsettled",
          "change of electors",
          current + " is not known to a majority for a lease yet",
          "wait for two leases and try again; look which electors of it are not there");
    }
  }

  /** A term outside of its range. */
  public static final class InvalidTerm extends LeaseException {
    private static final long serialVersionUID = 1;

    InvalidTerm(long value) {
      super(
          "duty-term",
          "term of a duty",
          String.valueOf(value),
          "look for a mixer whose clock is far ahead");
    }
  }

  /** More duties than the bound. */
  public static final class TooManyLeases extends LeaseException {
    private static final long serialVersionUID = 1;

    TooManyLeases(int maxLeases) {
      super(
          "duty-many",
          "table of duties",
          "more than " + maxLeases,
          "raise the bound, or retire duties");
    }
  }

  /** Work shown with the token of an earlier holder, or of another duty. */
  public static final class StaleToken extends LeaseException {
    private static final long serialVersionUID = 1;
    private final transient FencingToken newest;

    StaleToken(LeaseName lease, FencingToken presented, FencingToken newest) {
      super(
          "duty-token",
          "gate of " + lease.value(),
          "shown " + presented.value() + ", newest " + newest.value(),
          "nothing, if a mixer was slow or stopped; else look for two mixers with one name");
      this.newest = newest;
    }

    /** What the sender is to be told, so that it asks for a later term. */
    public FencingToken newest() {
      return newest;
    }
  }
}
