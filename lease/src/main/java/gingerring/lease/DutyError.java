package gingerring.lease;

/** What an operator can meet of duties: a stable code, the place, what happened, and what to do. */
public abstract sealed class DutyError extends RuntimeException {
  private static final long serialVersionUID = 1;
  private final String code;
  private final String place;
  private final String todo;

  private DutyError(String code, String place, String what, String todo) {
    super(code + " at " + place + ": " + what + "; " + todo);
    this.code = code;
    this.place = place;
    this.todo = todo;
  }

  /** Never changes once given out, as {@code duty-name}. */
  public String code() {
    return code;
  }

  public String place() {
    return place;
  }

  /** What an operator can do. */
  public String todo() {
    return todo;
  }

  /** A duty's name that cannot be. */
  public static final class BadName extends DutyError {
    private static final long serialVersionUID = 1;

    BadName(String text) {
      super(
          "duty-name",
          "name of a duty",
          "\"" + text + "\"",
          "give 1 to 64 of a-z, 0-9, hyphen, dot");
    }
  }

  /** Spans that do not go together. */
  public static final class BadRules extends DutyError {
    private static final long serialVersionUID = 1;

    BadRules(String what) {
      super(
          "duty-rules",
          "rules of leases",
          what,
          "let patience < vote <= lease, renew + patience < lease, 0 <= drift < 0.5, all spans above zero");
    }
  }

  /** A set of electors that cannot be. */
  public static final class BadElectors extends DutyError {
    private static final long serialVersionUID = 1;

    BadElectors(String what) {
      super(
          "duty-electors",
          "set of electors",
          what,
          "name 1 to 9 mixers, best 3, 5 or 7 in different zones");
    }
  }

  /** A change of electors by which two majorities might not meet. */
  public static final class ElectorsApart extends DutyError {
    private static final long serialVersionUID = 1;

    ElectorsApart(Electors from, Electors to) {
      super(
          "duty-electors-apart",
          "change of electors",
          "from " + from + " to " + to,
          "add or remove one at a time, each with the next epoch");
    }
  }

  /** A change of electors before the last one is surely known to a majority for a lease. */
  public static final class ElectorsUnsettled extends DutyError {
    private static final long serialVersionUID = 1;

    ElectorsUnsettled(Electors now) {
      super(
          "duty-electors-unsettled",
          "change of electors",
          now + " is not known to a majority for a lease yet",
          "wait for two leases and try again; look which electors of it are not there");
    }
  }

  /** A term outside of its range. */
  public static final class BadTerm extends DutyError {
    private static final long serialVersionUID = 1;

    BadTerm(long count) {
      super(
          "duty-term",
          "term of a duty",
          String.valueOf(count),
          "look for a mixer whose clock is far ahead");
    }
  }

  /** More duties than the bound. */
  public static final class TooManyDuties extends DutyError {
    private static final long serialVersionUID = 1;

    TooManyDuties(int most) {
      super(
          "duty-many", "table of duties", "more than " + most, "raise the bound, or retire duties");
    }
  }

  /** Work shown with the token of an earlier holder, or of another duty. */
  public static final class OldToken extends DutyError {
    private static final long serialVersionUID = 1;
    private final transient Token newest;

    OldToken(DutyName duty, Token shown, Token newest) {
      super(
          "duty-token",
          "gate of " + duty.text(),
          "shown " + shown.number() + ", newest " + newest.number(),
          "nothing, if a mixer was slow or stopped; else look for two mixers with one name");
      this.newest = newest;
    }

    /** What the sender is to be told, so that it asks for a later term. */
    public Token newest() {
      return newest;
    }
  }
}
