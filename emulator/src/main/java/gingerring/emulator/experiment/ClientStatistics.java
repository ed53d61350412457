package gingerring.emulator.experiment;

import gingerring.emulator.core.Scenario.ServiceClass;
import gingerring.emulator.core.Workload.ClientRequest;
import gingerring.traffic.scan.ObservedScan.ScanOutcome;
import gingerring.traffic.scan.ScanResponse;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * What clients saw of a run. Service is the earnings answered within the quoted time, counted from
 * a wish's first try, over the earnings asked for; an answer in part earns its weight, a late one
 * the grade's late share.
 */
public final class ClientStatistics {
  /** Of one grade. */
  public static final class ClassStatistics {
    public double offeredValue;
    public double earnedValue;
    public final Histogram latencyMicros = new Histogram(600_000_000L, 3);
    public final Map<ScanOutcome, Long> attemptOutcomes = new EnumMap<>(ScanOutcome.class);
    public final Map<ScanOutcome, Long> requestOutcomes = new EnumMap<>(ScanOutcome.class);
  }

  public final Map<String, ClassStatistics> byClass = new TreeMap<>();

  /** By the second of the wish, as the world counts it: what was asked, and what was earned. */
  public final Map<Integer, double[]> valueBySecond = new TreeMap<>();

  public long attempts;
  public long retries;

  /** Tries that found no connection idle. */
  public long waitedForConnection;

  void attemptEnded(ClientRequest wish, ScanResponse answer, Duration took, Duration now) {
    classStatistics(wish.serviceClass()).attemptOutcomes.merge(answer.outcome(), 1L, Long::sum);
  }

  void requestEnded(ClientRequest wish, ScanResponse answer, Duration took) {
    ServiceClass grade = wish.serviceClass();
    ClassStatistics mine = classStatistics(grade);
    mine.requestOutcomes.merge(answer.outcome(), 1L, Long::sum);
    double share = 0;
    if (answer.outcome() == ScanOutcome.WHOLE || answer.outcome() == ScanOutcome.PART) {
      mine.latencyMicros.recordValue(Math.min(600_000_000L, took.toNanos() / 1000));
      share =
          answer.outcome() == ScanOutcome.WHOLE
              ? 1
              : answer.valuesByPartition().keySet().stream()
                  .mapToDouble(folio -> wish.shares().getOrDefault(folio, 0.0))
                  .sum();
      share *= took.compareTo(grade.latencyTarget()) <= 0 ? 1 : grade.lateValueShare();
    }
    mine.offeredValue += grade.value();
    mine.earnedValue += grade.value() * share;
    double[] second =
        valueBySecond.computeIfAbsent((int) wish.sendAt().toSeconds(), s -> new double[2]);
    second[0] += grade.value();
    second[1] += grade.value() * share;
  }

  private ClassStatistics classStatistics(ServiceClass grade) {
    return byClass.computeIfAbsent(grade.name(), name -> new ClassStatistics());
  }

  public double serviceLevel() {
    double all = byClass.values().stream().mapToDouble(grade -> grade.offeredValue).sum();
    return all == 0
        ? 1
        : byClass.values().stream().mapToDouble(grade -> grade.earnedValue).sum() / all;
  }

  /** Of tries, how many ended so. */
  public long attemptsWith(ScanOutcome fate) {
    return byClass.values().stream()
        .mapToLong(grade -> grade.attemptOutcomes.getOrDefault(fate, 0L))
        .sum();
  }
}
