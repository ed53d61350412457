package gingerring.traffic.replay;

import gingerring.traffic.scan.ObservedScan.ScanOutcome;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * Fates by the second of their asking, in the recording's time. Holds {@link #MOST} seconds; later
 * ones count as the last.
 */
public final class Timeline {
  public static final int MOST = 100_000;

  private final List<Map<ScanOutcome, Integer>> seconds = new ArrayList<>();

  public void add(Duration at, ScanOutcome fate) {
    int second = (int) Math.max(0, Math.min(MOST - 1, at.toSeconds()));
    while (seconds.size() <= second) {
      seconds.add(new EnumMap<>(ScanOutcome.class));
    }
    seconds.get(second).merge(fate, 1, Integer::sum);
  }

  public int length() {
    return seconds.size();
  }

  public int count(int second, ScanOutcome fate) {
    return second < seconds.size() ? seconds.get(second).getOrDefault(fate, 0) : 0;
  }
}
