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
public final class Tally {
  /** Of one grade. */
  public static final class ByGrade {
    public double asked;
    public double earned;
    public final Histogram micros = new Histogram(600_000_000L, 3);
    public final Map<ScanOutcome, Long> tries = new EnumMap<>(ScanOutcome.class);
    public final Map<ScanOutcome, Long> wishes = new EnumMap<>(ScanOutcome.class);
  }

  public final Map<String, ByGrade> grades = new TreeMap<>();

  /** By the second of the wish, as the world counts it: what was asked, and what was earned. */
  public final Map<Integer, double[]> seconds = new TreeMap<>();

  public long asked;
  public long retries;

  /** Tries that found no connection idle. */
  public long waited;

  void ended(ClientRequest wish, ScanResponse answer, Duration took, Duration now) {
    grade(wish.grade()).tries.merge(answer.outcome(), 1L, Long::sum);
  }

  void met(ClientRequest wish, ScanResponse answer, Duration took) {
    ServiceClass grade = wish.grade();
    ByGrade mine = grade(grade);
    mine.wishes.merge(answer.outcome(), 1L, Long::sum);
    double share = 0;
    if (answer.outcome() == ScanOutcome.WHOLE || answer.outcome() == ScanOutcome.PART) {
      mine.micros.recordValue(Math.min(600_000_000L, took.toNanos() / 1000));
      share =
          answer.outcome() == ScanOutcome.WHOLE
              ? 1
              : answer.valuesByPartition().keySet().stream()
                  .mapToDouble(folio -> wish.shares().getOrDefault(folio, 0.0))
                  .sum();
      share *= took.compareTo(grade.quoted()) <= 0 ? 1 : grade.late();
    }
    mine.asked += grade.earnings();
    mine.earned += grade.earnings() * share;
    double[] second = seconds.computeIfAbsent((int) wish.at().toSeconds(), s -> new double[2]);
    second[0] += grade.earnings();
    second[1] += grade.earnings() * share;
  }

  private ByGrade grade(ServiceClass grade) {
    return grades.computeIfAbsent(grade.name(), name -> new ByGrade());
  }

  public double service() {
    double all = grades.values().stream().mapToDouble(grade -> grade.asked).sum();
    return all == 0 ? 1 : grades.values().stream().mapToDouble(grade -> grade.earned).sum() / all;
  }

  /** Of tries, how many ended so. */
  public long tries(ScanOutcome fate) {
    return grades.values().stream().mapToLong(grade -> grade.tries.getOrDefault(fate, 0L)).sum();
  }
}
