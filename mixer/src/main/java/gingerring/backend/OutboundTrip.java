package gingerring.backend;

import gingerring.decide.PartId;
import gingerring.decide.SearcherId;
import java.time.Duration;

/** One trip on the network side: a part on its way to a searcher and back. */
public final class OutboundTrip {
  public final PartId part;
  public final int tripNumber;
  public final SearcherId searcher;

  /** What the frames call the part. */
  final String wireId;

  final int shard;
  final String idempotencyKey;
  final byte[] queryText;
  final Duration deadline;

  /** By when it has to begin, or null: a repeat that begins later is taken for another request. */
  private Duration startDeadline;

  /** When it was sent. */
  Duration queuedAt;

  ConnectionPool pool;

  /** Where its frame ends in all that was put into its link's ring; -1 before it was put. */
  long frameEndPosition = -1;

  SearcherConnection connection;
  boolean ended;

  public OutboundTrip(
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
  public OutboundTrip(
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
    this.tripNumber = trip;
    this.searcher = searcher;
    this.wireId = mark;
    this.shard = shard;
    this.idempotencyKey = key;
    this.queryText = text;
    this.deadline = until;
    this.startDeadline = startBy;
  }

  /** Whether its frame has been put into its link's ring: it may run from then on. */
  boolean written() {
    return frameEndPosition >= 0;
  }

  /** It is not to begin later than this either, as a copy of its part may begin meanwhile. */
  public void limitStart(Duration by) {
    startDeadline = startDeadline == null || by.compareTo(startDeadline) < 0 ? by : startDeadline;
  }

  /** Whether its first byte may still leave now. */
  boolean mayStart(Duration now) {
    return !ended
        && now.compareTo(deadline) < 0
        && (startDeadline == null || now.compareTo(startDeadline) < 0);
  }

  public boolean ended() {
    return ended;
  }
}
