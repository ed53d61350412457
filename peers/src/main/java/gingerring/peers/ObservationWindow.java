package gingerring.peers;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What this mixer itself saw of each box of late, in buckets of a ring, and which of it is worth
 * telling first: the boxes that failed, then those that answered most. At most {@code boxesMost}
 * boxes: what was seen of others is not kept, and counted. 16 bytes a box and bucket.
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

  /** {@code span}: how far back it sees. */
  ObservationWindow(Duration span, int maxBoxes) {
    bucketNanos = Math.max(1, span.toNanos() / BUCKETS);
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

  /** Of one box; nothing where nothing was seen. */
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

  /** What to tell, of so many boxes at most; what was seen of none is forgotten. */
  Map<Long, BoxObservation> mostRelevant(int maxReported, Duration now) {
    Map<Long, BoxObservation> all = new HashMap<>();
    rings
        .keySet()
        .removeIf(
            box -> {
              BoxObservation observation = observation(box, now);
              if (observation.parts() > 0) {
                all.put(box, observation);
              }
              return observation.parts() == 0;
            });
    if (all.size() <= maxReported) {
      return all;
    }
    List<Map.Entry<Long, BoxObservation>> ranked = new ArrayList<>(all.entrySet());
    ranked.sort(
        Comparator.<Map.Entry<Long, BoxObservation>>comparingDouble(
                entry -> -entry.getValue().failed())
            .thenComparingDouble(entry -> -entry.getValue().answered())
            .thenComparing(Map.Entry::getKey));
    Map<Long, BoxObservation> selected = new HashMap<>();
    ranked.subList(0, maxReported).forEach(entry -> selected.put(entry.getKey(), entry.getValue()));
    return selected;
  }

  /** Parts ended a second, over what it sees back. */
  double demand(Duration now) {
    double parts = rings.keySet().stream().mapToDouble(box -> observation(box, now).parts()).sum();
    return parts / (bucketNanos * BUCKETS / 1e9);
  }

  long dropped() {
    return dropped;
  }
}
