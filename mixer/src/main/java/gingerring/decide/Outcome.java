package gingerring.decide;

/** How a trip or a probe ended; {@code neverRan} means that the work was certainly not executed. */
public enum Outcome {
  SUCCEEDED(false),
  ERROR(false),
  FULL(true),
  TIMED_OUT(false),
  UNREACHABLE(true),
  BROKEN(false),
  CALLED_OFF(false),
  NOT_SENT(true);

  public final boolean neverRan;

  Outcome(boolean neverRan) {
    this.neverRan = neverRan;
  }
}
