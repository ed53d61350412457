package gingerring.peers;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * News that each mixer passes on a few times beside whatever it sends (Das, Gupta and Motivala,
 * "SWIM", DSN 2002, 4.1): of each subject the newest alone, what was passed on least often first,
 * each so many times as the logarithm of the fleet's size asks for. At most {@code most} subjects:
 * what was passed on most often goes for what is new, and is counted.
 */
final class GossipQueue<S, N> {
  private static final class QueuedUpdate<N> {
    final N update;
    final long sequence;
    int sendCount;

    QueuedUpdate(N update, long sequence) {
      this.update = update;
      this.sequence = sequence;
    }
  }

  private final int capacity;
  private final double retransmitFactor;
  private final Map<S, QueuedUpdate<N>> items = new HashMap<>();
  private long nextSequence;
  private long dropped;

  /** {@code times}: how often each is passed on for each power of ten of the fleet. */
  GossipQueue(int capacity, double retransmitFactor) {
    this.capacity = capacity;
    this.retransmitFactor = retransmitFactor;
  }

  void add(S subject, N update) {
    if (!items.containsKey(subject) && items.size() >= capacity) {
      S mostSent =
          items.entrySet().stream()
              .max(Comparator.comparingInt(entry -> entry.getValue().sendCount))
              .orElseThrow()
              .getKey();
      items.remove(mostSent);
      dropped++;
    }
    items.put(subject, new QueuedUpdate<>(update, nextSequence++));
  }

  /** What the next letter carries, so many at most; counts as passed on. */
  List<N> take(int maxUpdates, int fleetSize) {
    if (items.isEmpty()) {
      return List.of();
    }
    List<Map.Entry<S, QueuedUpdate<N>>> bySendCount = new ArrayList<>(items.entrySet());
    bySendCount.sort(
        Comparator.<Map.Entry<S, QueuedUpdate<N>>>comparingInt(entry -> entry.getValue().sendCount)
            .thenComparingLong(entry -> -entry.getValue().sequence));
    List<N> taken = new ArrayList<>();
    int maxSends =
        (int) Math.ceil(retransmitFactor * Math.max(1, Math.ceil(Math.log10(fleetSize + 1.0))));
    for (Map.Entry<S, QueuedUpdate<N>> entry :
        bySendCount.subList(0, Math.min(maxUpdates, bySendCount.size()))) {
      taken.add(entry.getValue().update);
      if (++entry.getValue().sendCount >= maxSends) {
        items.remove(entry.getKey());
      }
    }
    return taken;
  }

  int size() {
    return items.size();
  }

  long dropped() {
    return dropped;
  }
}
