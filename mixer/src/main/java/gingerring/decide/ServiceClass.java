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

  public RetrySafety retrySafety;
  public Duration latencyTarget;
  public double latencyTargetPerWork;
  public Duration deadline;
  public Duration idempotencyWindow;
  public double lateValueShare;
  public double minCoverage;
  public double fullCoverage;
  public int secondStepParts;

  /** Reads the grade of a number. */
  static ServiceClass read(Settings terms, int i) {
    String at = "Classes." + i + ".";
    ServiceClass grade = new ServiceClass();
    String repeats = terms.text(at + "Idempotency");
    grade.retrySafety =
        switch (repeats) {
          case "idempotent" -> RetrySafety.IDEMPOTENT;
          case "deduplicated" -> RetrySafety.KEYED;
          case "at_most_once" -> RetrySafety.AT_MOST_ONCE;
          default ->
              throw new IllegalArgumentException(
                  "setting " + at + "Idempotency is unknown: " + repeats);
        };
    grade.latencyTarget = terms.duration(at + "AimMs");
    grade.latencyTargetPerWork = terms.number(at + "AimStretch", 0);
    grade.deadline = terms.duration(at + "HardLimitMs");
    grade.idempotencyWindow =
        grade.retrySafety == RetrySafety.KEYED ? terms.duration(at + "WindowMs") : Duration.ZERO;
    grade.lateValueShare = terms.number(at + "LateWorth", 0);
    grade.fullCoverage = terms.item("Domain.NeedByClass", i, 1);
    grade.minCoverage = terms.item("Domain.ClassFloor", i, grade.fullCoverage);
    grade.secondStepParts = (int) terms.item("Domain.ClassFetch", i, 0);
    return grade;
  }

  /**
   * May be answered from some of its parts: only a grade that may run again can leave the others
   * behind.
   */
  public boolean allowsPartial() {
    return minCoverage < fullCoverage && retrySafety == RetrySafety.IDEMPOTENT;
  }
}
