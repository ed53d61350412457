package gingerring.peers;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Sliding window of this mixer's own observations of each box, as a ring of buckets. It also
 * selects the observations to report: boxes with failures first, then those that answered most
 * parts. At most {@code maxBoxes} boxes are kept; observations of further boxes are dropped and
 * counted. 16 bytes for each box and bucket.
 */
final class ObservationWindow {
  private static final int BUCKETS = 5;

  private static final class Ring {
    final double[] answered = new double[BUCKETS];
    final double[] failed = new double[BUCKETS];
    long newest = Long.MIN_VALUE;
  }

  private final long bucketNanos;
  private final int maxBoxes;
  private final Map<Long, Ring> rings = new HashMap<>();
  private long dropped;

  /** {@code windowLength}: how far back the window reaches. */
  ObservationWindow(Duration windowLength, int maxBoxes) {
    bucketNanos = Math.max(1, windowLength.toNanos() / BUCKETS);
    this.maxBoxes = maxBoxes;
  }

  void add(long box, double answered, double failed, Duration now) {
    Ring ring = rings.get(box);
    if (ring == null) {
      if (rings.size() >= maxBoxes) {
        dropped++;
        return;
      }
      ring = new Ring();
      rings.put(box, ring);
    }
    advance(ring, now);
    int bucket = (int) Math.floorMod(ring.newest, (long) BUCKETS);
    ring.answered[bucket] += answered;
    ring.failed[bucket] += failed;
  }

  private void advance(Ring ring, Duration now) {
    long bucket = now.toNanos() / bucketNanos;
    for (long next = Math.max(ring.newest + 1, bucket - BUCKETS + 1); next <= bucket; next++) {
      ring.answered[(int) Math.floorMod(next, (long) BUCKETS)] = 0;
      ring.failed[(int) Math.floorMod(next, (long) BUCKETS)] = 0;
    }
    ring.newest = Math.max(ring.newest, bucket);
  }

  /** The observation of one box over the window; zero parts where nothing was observed. */
  BoxObservation observation(long box, Duration now) {
    Ring ring = rings.get(box);
    if (ring == null) {
      return new BoxObservation(0, 0);
    }
    advance(ring, now);
    double answered = 0;
    double failed = 0;
    for (int i = 0; i < BUCKETS; i++) {
      answered += ring.answered[i];
      failed += ring.failed[i];
    }
    return new BoxObservation(answered, failed);
  }

  /**
   * Selects the observations to report, at most {@code maxReported}; boxes without parts in the
   * window are removed.
   */
  Map<Long, BoxObservation> mostRelevant(int maxReported, Duration now) {
    Map<Long, BoxObservation> observations = new HashMap<>();
    rings
        .keySet()
        .removeIf(
            box -> {
              BoxObservation observation = observation(box, now);
              if (observation.parts() > 0) {
                observations.put(box, observation);
              }
              return observation.parts() == 0;
            });
    if (observations.size() <= maxReported) {
      return observations;
    }
    List<Map.Entry<Long, BoxObservation>> ranked = new ArrayList<>(observations.entrySet());
    ranked.sort(
        Comparator.<Map.Entry<Long, BoxObservation>>comparingDouble(
                entry -> -entry.getValue().failed())
            .thenComparingDouble(entry -> -entry.getValue().answered())
            .thenComparing(Map.Entry::getKey));
    Map<Long, BoxObservation> selected = new HashMap<>();
    ranked.subList(0, maxReported).forEach(entry -> selected.put(entry.getKey(), entry.getValue()));
    return selected;
  }

  /** Parts that ended per second, over the window. */
  double demand(Duration now) {
    double parts = rings.keySet().stream().mapToDouble(box -> observation(box, now).parts()).sum();
    return parts / (bucketNanos * BUCKETS / 1e9);
  }

  long dropped() {
    return dropped;
  }
}
