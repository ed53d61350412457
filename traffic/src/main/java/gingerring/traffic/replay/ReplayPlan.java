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
 * recorded one, at recorded times divided by the pace. Holds {@link #MOST} scans at most.
 */
public final class ReplayPlan {
  public static final int MOST = 1_000_000;

  /** How long after an end a retry may follow and still be taken for one. */
  public static final Duration RETRY_WINDOW = Duration.ofSeconds(60);

  /** A pace that does not wait for any recorded time. */
  public static final double AT_ONCE = Double.POSITIVE_INFINITY;

  private final List<Step> steps = new ArrayList<>();
  private final List<Chain> chains;
  private final int lanes;
  private final int leftOut;
  private final boolean marked;

  /** {@code anew}: only first tries are planned, since a replay makes its retries itself. */
  public ReplayPlan(List<ObservedScan> scans, double pace, boolean anew) {
    if (!(pace > 0)) {
      throw new IllegalArgumentException("the pace has to be above 0: " + pace);
    }
    if (scans.size() > MOST) {
      throw new IllegalArgumentException("more than " + MOST + " scans: cut the recording");
    }
    chains = Retries.chains(scans, RETRY_WINDOW);
    marked = scans.stream().anyMatch(ObservedScan::resent);
    List<ObservedScan> wanted = new ArrayList<>();
    Map<ObservedScan, Chain> of = new IdentityHashMap<>();
    int all = 0;
    for (Chain chain : chains) {
      all += chain.tries().size();
      wanted.addAll(anew ? List.of(chain.first()) : chain.tries());
      chain.tries().forEach(seen -> of.put(seen, chain));
    }
    leftOut = scans.size() - all;
    wanted.sort(
        Comparator.comparingLong(ObservedScan::askedAt).thenComparingLong(ObservedScan::number));
    long start = wanted.isEmpty() ? 0 : wanted.get(0).askedAt();
    Map<Long, Integer> laneOf = new HashMap<>();
    for (ObservedScan seen : wanted) {
      int lane = laneOf.computeIfAbsent(seen.connection(), c -> laneOf.size());
      long due = pace == AT_ONCE ? 0 : Math.round((seen.askedAt() - start) / pace);
      Chain chain = of.get(seen);
      steps.add(
          new Step(
              steps.size(),
              lane,
              Duration.ofNanos(due),
              seen,
              chain,
              chain.tries().indexOf(seen),
              seen.request()));
    }
    lanes = laneOf.size();
  }

  public List<Step> steps() {
    return steps;
  }

  public List<Chain> chains() {
    return chains;
  }

  /** How many connections the recording used for them. */
  public int lanes() {
    return lanes;
  }

  /** Scans whose request is not in the recording whole. */
  public int leftOut() {
    return leftOut;
  }

  /** The step that tries again what {@code step} did not get, under a fresh mark. */
  public Step again(Step step, int number, Duration due) {
    int attempt = step.attempt() + 1;
    return new Step(
        number,
        step.lane(),
        due,
        step.scan(),
        step.chain(),
        attempt,
        remarked(step.scan().request(), step.scan().mark() + '~' + attempt, marked));
  }

  /** A request under another mark; {@code resent} tells that it is a retry. */
  static byte[] remarked(byte[] request, String mark, boolean resent) {
    String text = new String(request, StandardCharsets.ISO_8859_1);
    int body = text.indexOf("\r\n\r\n");
    StringBuilder head = new StringBuilder();
    for (String line : text.substring(0, body).split("\r\n")) {
      String lower = line.toLowerCase(Locale.ROOT);
      if (lower.startsWith("x-txn:")) {
        head.append("x-txn: ").append(mark).append("\r\n");
      } else if (!lower.startsWith("x-resent:")) {
        head.append(line).append("\r\n");
      }
    }
    if (resent) {
      head.append("x-resent: 1\r\n");
    }
    return (head + "\r\n" + text.substring(body + 4)).getBytes(StandardCharsets.ISO_8859_1);
  }
}
