package gingerring.traffic.replay;

import gingerring.traffic.scan.ObservedScan.ScanOutcome;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * Counts outcomes by the second in which the scan was requested, in recording time. Holds {@link
 * #MAX_SECONDS} seconds; later scans count in the last second.
 */
public final class OutcomeTimeline {
  public static final int MAX_SECONDS = 100_000;

  private final List<Map<ScanOutcome, Integer>> countsBySecond = new ArrayList<>();

  public void add(Duration elapsed, ScanOutcome outcome) {
    int second = (int) Math.max(0, Math.min(MAX_SECONDS - 1, elapsed.toSeconds()));
    while (countsBySecond.size() <= second) {
      countsBySecond.add(new EnumMap<>(ScanOutcome.class));
    }
    countsBySecond.get(second).merge(outcome, 1, Integer::sum);
  }

  public int seconds() {
    return countsBySecond.size();
  }

  public int count(int second, ScanOutcome outcome) {
    return second < countsBySecond.size() ? countsBySecond.get(second).getOrDefault(outcome, 0) : 0;
  }
}
