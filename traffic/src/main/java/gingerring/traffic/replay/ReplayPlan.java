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
 * What a replay sends: every scan whose request the recording holds whole, on a connection for each
 * recorded one, at recorded times divided by the pace. Holds {@link #MAX_SCANS} scans at most.
 */
public final class ReplayPlan {
  public static final int MAX_SCANS = 1_000_000;

  /** How long after an end a retry may follow and still be taken for one. */
  public static final Duration RETRY_WINDOW = Duration.ofSeconds(60);

  /** A pace that does not wait for any recorded time. */
  public static final double UNPACED = Double.POSITIVE_INFINITY;

  private final List<ReplayStep> steps = new ArrayList<>();
  private final List<RetryChain> chains;
  private final int connectionCount;
  private final int omittedScans;
  private final boolean marksRetries;

  /** {@code anew}: only first tries are planned, since a replay makes its retries itself. */
  public ReplayPlan(List<ObservedScan> scans, double speed, boolean regeneratesRetries) {
    if (!(speed > 0)) {
      throw new IllegalArgumentException("the pace has to be above 0: " + speed);
    }
    if (scans.size() > MAX_SCANS) {
      throw new IllegalArgumentException("more than " + MAX_SCANS + " scans: cut the recording");
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

  /** How many connections the recording used for them. */
  public int connectionCount() {
    return connectionCount;
  }

  /** Scans whose request is not in the recording whole. */
  public int omittedScans() {
    return omittedScans;
  }

  /** The step that tries again what {@code step} did not get, under a fresh mark. */
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

  /** A request under another mark; {@code resent} tells that it is a retry. */
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
