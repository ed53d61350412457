package gingerring.peers;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Updates that a mixer attaches to the messages it sends, a limited number of times each
 * (piggybacked dissemination: Das, Gupta and Motivala, "SWIM", DSN 2002, 4.1). The queue keeps only
 * the newest update of each subject and takes the least often sent first; the send limit grows with
 * the logarithm of the fleet's size. At most {@code capacity} subjects are kept: the most often
 * sent update is dropped for a new one, and counted.
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

  /**
   * {@code retransmitFactor}: how often each update is sent for each power of ten of the fleet's
   * size.
   */
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

  /** Takes at most {@code maxUpdates} updates for the next message, and counts them as sent. */
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
