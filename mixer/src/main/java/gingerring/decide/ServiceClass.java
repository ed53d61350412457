package gingerring.decide;

import java.time.Duration;

/** A service grade. */
public final class ServiceClass {
  /** What a repeat does: nothing, nothing while its mark is known, or harm. */
  public enum RetrySafety {
    IDEMPOTENT,
    KEYED,
    AT_MOST_ONCE
  }

  public RetrySafety repeats;
  public Duration quoted;
  public double quotedStretch;
  public Duration patience;
  public Duration window;
  public double lateShare;
  public double floor;
  public double need;
  public int fetch;

  /** Reads the grade of a number. */
  static ServiceClass read(Settings terms, int i) {
    String at = "Classes." + i + ".";
    ServiceClass grade = new ServiceClass();
    String repeats = terms.text(at + "Idempotency");
    grade.repeats =
        switch (repeats) {
          case "idempotent" -> RetrySafety.IDEMPOTENT;
          case "deduplicated" -> RetrySafety.KEYED;
          case "at_most_once" -> RetrySafety.AT_MOST_ONCE;
          default ->
              throw new IllegalArgumentException(
                  "setting " + at + "Idempotency is unknown: " + repeats);
        };
    grade.quoted = terms.span(at + "AimMs");
    grade.quotedStretch = terms.number(at + "AimStretch", 0);
    grade.patience = terms.span(at + "HardLimitMs");
    grade.window = grade.repeats == RetrySafety.KEYED ? terms.span(at + "WindowMs") : Duration.ZERO;
    grade.lateShare = terms.number(at + "LateWorth", 0);
    grade.need = terms.item("Domain.NeedByClass", i, 1);
    grade.floor = terms.item("Domain.ClassFloor", i, grade.need);
    grade.fetch = (int) terms.item("Domain.ClassFetch", i, 0);
    return grade;
  }

  /**
   * May be answered from some of its parts: only a grade that may run again can leave the others
   * behind.
   */
  public boolean partial() {
    return floor < need && repeats == RetrySafety.IDEMPOTENT;
  }
}
