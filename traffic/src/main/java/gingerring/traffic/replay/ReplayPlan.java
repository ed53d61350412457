package gingerring.traffic.replay;

import gingerring.traffic.scan.ObservedScan;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * The scans that a replay sends: every scan whose request was recorded completely, on one
 * connection for each recorded one, at the recorded times divided by the speed. Holds at most
 * {@link #MAX_SCANS} scans.
 */
public final class ReplayPlan {
  public static final int MAX_SCANS = 1_000_000;

  /**
   * How long after the end of an attempt another recorded scan may still count as a retry of that
   * attempt.
   */
  public static final Duration RETRY_WINDOW = Duration.ofSeconds(60);

  /** A speed that ignores the recorded times. */
  public static final double UNPACED = Double.POSITIVE_INFINITY;

  private final List<ReplayStep> steps = new ArrayList<>();
  private final List<RetryChain> chains;
  private final int connectionCount;
  private final int omittedScans;
  private final boolean marksRetries;

  /**
   * {@code regeneratesRetries}: only first attempts are planned, because the replay generates its
   * retries itself.
   */
  public ReplayPlan(List<ObservedScan> scans, double speed, boolean regeneratesRetries) {
    if (!(speed > 0)) {
      throw new IllegalArgumentException("the replay speed must be above 0: " + speed);
    }
    if (scans.size() > MAX_SCANS) {
      throw new IllegalArgumentException(
          "more than " + MAX_SCANS + " scans; cut the recording first");
    }
    chains = Retries.findChains(scans, RETRY_WINDOW);
    marksRetries = scans.stream().anyMatch(ObservedScan::resent);
    List<ObservedScan> planned = new ArrayList<>();
    Map<ObservedScan, RetryChain> chainByScan = new IdentityHashMap<>();
    int plannable = 0;
    for (RetryChain chain : chains) {
      plannable += chain.attempts().size();
      planned.addAll(regeneratesRetries ? List.of(chain.first()) : chain.attempts());
      chain.attempts().forEach(scan -> chainByScan.put(scan, chain));
    }
    omittedScans = scans.size() - plannable;
    planned.sort(
        Comparator.comparingLong(ObservedScan::requestStartNanos)
            .thenComparingLong(ObservedScan::number));
    long start = planned.isEmpty() ? 0 : planned.get(0).requestStartNanos();
    Map<Long, Integer> connectionIndexes = new HashMap<>();
    for (ObservedScan scan : planned) {
      int connection =
          connectionIndexes.computeIfAbsent(scan.connectionNumber(), c -> connectionIndexes.size());
      long dueNanos = speed == UNPACED ? 0 : Math.round((scan.requestStartNanos() - start) / speed);
      RetryChain chain = chainByScan.get(scan);
      steps.add(
          new ReplayStep(
              steps.size(),
              connection,
              Duration.ofNanos(dueNanos),
              scan,
              chain,
              chain.attempts().indexOf(scan),
              scan.requestBytes()));
    }
    connectionCount = connectionIndexes.size();
  }

  public List<ReplayStep> steps() {
    return steps;
  }

  public List<RetryChain> chains() {
    return chains;
  }

  /** The number of recorded connections that the scans use. */
  public int connectionCount() {
    return connectionCount;
  }

  /** Scans whose request was not recorded completely. */
  public int omittedScans() {
    return omittedScans;
  }

  /** A step that retries the scan of {@code step} under a new transaction id. */
  public ReplayStep createRetry(ReplayStep step, int number, Duration dueTime) {
    int attempt = step.attempt() + 1;
    return new ReplayStep(
        number,
        step.connection(),
        dueTime,
        step.scan(),
        step.chain(),
        attempt,
        withTransactionId(
            step.scan().requestBytes(), step.scan().transactionId() + '~' + attempt, marksRetries));
  }

  /**
   * The request with another transaction id; {@code isRetry} adds the header that marks a retry.
   */
  static byte[] withTransactionId(byte[] request, String transactionId, boolean isRetry) {
    String text = new String(request, StandardCharsets.ISO_8859_1);
    int headEnd = text.indexOf("\r\n\r\n");
    StringBuilder head = new StringBuilder();
    for (String line : text.substring(0, headEnd).split("\r\n")) {
      String lower = line.toLowerCase(Locale.ROOT);
      if (lower.startsWith("x-txn:")) {
        head.append("x-txn: ").append(transactionId).append("\r\n");
      } else if (!lower.startsWith("x-resent:")) {
        head.append(line).append("\r\n");
      }
    }
    if (isRetry) {
      head.append("x-resent: 1\r\n");
    }
    return (head + "\r\n" + text.substring(headEnd + 4)).getBytes(StandardCharsets.ISO_8859_1);
  }
}
