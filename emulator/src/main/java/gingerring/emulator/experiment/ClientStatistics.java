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
 * The results of a run as the clients saw them. The service level is the value answered within the
 * latency target, counted from a request's first attempt, over the value of all requests. A partial
 * answer has the value of its weight, a late answer the late share of its service class.
 */
public final class ClientStatistics {
  /** The results of one service class. */
  public static final class ClassStatistics {
    public double offeredValue;
    public double earnedValue;
    public final Histogram latencyMicros = new Histogram(600_000_000L, 3);
    public final Map<ScanOutcome, Long> attemptOutcomes = new EnumMap<>(ScanOutcome.class);
    public final Map<ScanOutcome, Long> requestOutcomes = new EnumMap<>(ScanOutcome.class);
  }

  public final Map<String, ClassStatistics> byClass = new TreeMap<>();

  /** By second of the request's scheduled time: the value requested and the value answered. */
  public final Map<Integer, double[]> valueBySecond = new TreeMap<>();

  public long attempts;
  public long retries;

  /** Number of attempts that had to wait until a connection became free. */
  public long waitedForConnection;

  void attemptEnded(ClientRequest request, ScanResponse response, Duration duration, Duration now) {
    classStatistics(request.serviceClass())
        .attemptOutcomes
        .merge(response.outcome(), 1L, Long::sum);
  }

  void requestEnded(ClientRequest request, ScanResponse response, Duration duration) {
    ServiceClass serviceClass = request.serviceClass();
    ClassStatistics classStatistics = classStatistics(serviceClass);
    classStatistics.requestOutcomes.merge(response.outcome(), 1L, Long::sum);
    double share = 0;
    if (response.outcome() == ScanOutcome.WHOLE || response.outcome() == ScanOutcome.PART) {
      classStatistics.latencyMicros.recordValue(Math.min(600_000_000L, duration.toNanos() / 1000));
      share =
          response.outcome() == ScanOutcome.WHOLE
              ? 1
              : response.valuesByPartition().keySet().stream()
                  .mapToDouble(partition -> request.shares().getOrDefault(partition, 0.0))
                  .sum();
      share *=
          duration.compareTo(serviceClass.latencyTarget()) <= 0 ? 1 : serviceClass.lateValueShare();
    }
    classStatistics.offeredValue += serviceClass.value();
    classStatistics.earnedValue += serviceClass.value() * share;
    double[] totals =
        valueBySecond.computeIfAbsent((int) request.sendAt().toSeconds(), s -> new double[2]);
    totals[0] += serviceClass.value();
    totals[1] += serviceClass.value() * share;
  }

  private ClassStatistics classStatistics(ServiceClass serviceClass) {
    return byClass.computeIfAbsent(serviceClass.name(), key -> new ClassStatistics());
  }

  public double serviceLevel() {
    double offered =
        byClass.values().stream().mapToDouble(statistics -> statistics.offeredValue).sum();
    return offered == 0
        ? 1
        : byClass.values().stream().mapToDouble(statistics -> statistics.earnedValue).sum()
            / offered;
  }

  /** Returns the number of attempts with an outcome. */
  public long attemptsWith(ScanOutcome outcome) {
    return byClass.values().stream()
        .mapToLong(statistics -> statistics.attemptOutcomes.getOrDefault(outcome, 0L))
        .sum();
  }
}
