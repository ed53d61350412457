package gingerring.backend;

import gingerring.decide.PartId;
import gingerring.decide.SearcherId;
import java.time.Duration;

/** One trip on the network side: a part on its way to a searcher and back. */
public final class Errand {
  public final PartId part;
  public final int trip;
  public final SearcherId searcher;

  /** What the frames call the part. */
  final String mark;

  final int shard;
  final String key;
  final byte[] text;
  final Duration until;

  /** By when it has to begin, or null: a repeat that begins later is taken for another request. */
  private Duration startBy;

  /** When it was sent. */
  Duration since;

  Station station;

  /** Where its frame ends in all that was put into its link's ring; -1 before it was put. */
  long frameEnd = -1;

  Link link;
  boolean done;

  public Errand(
      PartId part,
      int trip,
      SearcherId searcher,
      String mark,
      int shard,
      String key,
      byte[] text,
      Duration until) {
    this(part, trip, searcher, mark, shard, key, text, until, null);
  }

  /**
   * {@code until}: when its end is no longer waited for; {@code startBy}: null where that is all.
   */
  public Errand(
      PartId part,
      int trip,
      SearcherId searcher,
      String mark,
      int shard,
      String key,
      byte[] text,
      Duration until,
      Duration startBy) {
    this.part = part;
    this.trip = trip;
    this.searcher = searcher;
    this.mark = mark;
    this.shard = shard;
    this.key = key;
    this.text = text;
    this.until = until;
    this.startBy = startBy;
  }

  /** Whether its frame has been put into its link's ring: it may run from then on. */
  boolean begun() {
    return frameEnd >= 0;
  }

  /** It is not to begin later than this either, as a copy of its part may begin meanwhile. */
  public void beginBy(Duration by) {
    startBy = startBy == null || by.compareTo(startBy) < 0 ? by : startBy;
  }

  /** Whether its first byte may still leave now. */
  boolean mayBegin(Duration now) {
    return !done && now.compareTo(until) < 0 && (startBy == null || now.compareTo(startBy) < 0);
  }

  public boolean done() {
    return done;
  }
}
