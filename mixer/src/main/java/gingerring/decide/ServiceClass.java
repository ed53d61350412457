package gingerring.decide;

import java.time.Duration;

/** The service class of a scan: its deadlines, its coverage and whether it may be retried. */
public final class ServiceClass {
  /**
   * The effect of executing a request twice: none, none while the idempotency key is stored, or
   * harmful.
   */
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

  /** Reads the service class with the given index. */
  static ServiceClass read(Settings settings, int index) {
    String prefix = "Classes." + index + ".";
    ServiceClass serviceClass = new ServiceClass();
    String idempotency = settings.text(prefix + "Idempotency");
    serviceClass.retrySafety =
        switch (idempotency) {
          case "idempotent" -> RetrySafety.IDEMPOTENT;
          case "deduplicated" -> RetrySafety.KEYED;
          case "at_most_once" -> RetrySafety.AT_MOST_ONCE;
          default ->
              throw new IllegalArgumentException(
                  "setting " + prefix + "Idempotency is unknown: " + idempotency);
        };
    serviceClass.latencyTarget = settings.duration(prefix + "AimMs");
    serviceClass.latencyTargetPerWork = settings.number(prefix + "AimStretch", 0);
    serviceClass.deadline = settings.duration(prefix + "HardLimitMs");
    serviceClass.idempotencyWindow =
        serviceClass.retrySafety == RetrySafety.KEYED
            ? settings.duration(prefix + "WindowMs")
            : Duration.ZERO;
    serviceClass.lateValueShare = settings.number(prefix + "LateWorth", 0);
    serviceClass.fullCoverage = settings.item("Domain.NeedByClass", index, 1);
    serviceClass.minCoverage = settings.item("Domain.ClassFloor", index, serviceClass.fullCoverage);
    serviceClass.secondStepParts = (int) settings.item("Domain.ClassFetch", index, 0);
    return serviceClass;
  }

  /**
   * Returns whether a scan may be answered from a subset of its parts: only an idempotent one may
   * leave the other parts unfinished.
   */
  public boolean allowsPartial() {
    return minCoverage < fullCoverage && retrySafety == RetrySafety.IDEMPOTENT;
  }
}
