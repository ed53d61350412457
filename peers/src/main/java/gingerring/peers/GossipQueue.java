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
  private static final class Item<N> {
    final N news;
    final long since;
    int sent;

    Item(N news, long since) {
      this.news = news;
      this.since = since;
    }
  }

  private final int most;
  private final double times;
  private final Map<S, Item<N>> items = new HashMap<>();
  private long count;
  private long dropped;

  /** {@code times}: how often each is passed on for each power of ten of the fleet. */
  GossipQueue(int most, double times) {
    this.most = most;
    this.times = times;
  }

  void add(S subject, N news) {
    if (!items.containsKey(subject) && items.size() >= most) {
      S oldest =
          items.entrySet().stream()
              .max(Comparator.comparingInt(each -> each.getValue().sent))
              .orElseThrow()
              .getKey();
      items.remove(oldest);
      dropped++;
    }
    items.put(subject, new Item<>(news, count++));
  }

  /** What the next letter carries, so many at most; counts as passed on. */
  List<N> take(int atMost, int fleet) {
    if (items.isEmpty()) {
      return List.of();
    }
    List<Map.Entry<S, Item<N>>> order = new ArrayList<>(items.entrySet());
    order.sort(
        Comparator.<Map.Entry<S, Item<N>>>comparingInt(each -> each.getValue().sent)
            .thenComparingLong(each -> -each.getValue().since));
    List<N> taken = new ArrayList<>();
    int limit = (int) Math.ceil(times * Math.max(1, Math.ceil(Math.log10(fleet + 1.0))));
    for (Map.Entry<S, Item<N>> each : order.subList(0, Math.min(atMost, order.size()))) {
      taken.add(each.getValue().news);
      if (++each.getValue().sent >= limit) {
        items.remove(each.getKey());
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
