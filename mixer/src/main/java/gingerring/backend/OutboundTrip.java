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
      int tripNumber,
      SearcherId searcher,
      String wireId,
      int shard,
      String idempotencyKey,
      byte[] queryText,
      Duration deadline) {
    this(part, tripNumber, searcher, wireId, shard, idempotencyKey, queryText, deadline, null);
  }

  /**
   * {@code until}: when its end is no longer waited for; {@code startBy}: null where that is all.
   */
  public OutboundTrip(
      PartId part,
      int tripNumber,
      SearcherId searcher,
      String wireId,
      int shard,
      String idempotencyKey,
      byte[] queryText,
      Duration deadline,
      Duration startDeadline) {
    this.part = part;
    this.tripNumber = tripNumber;
    this.searcher = searcher;
    this.wireId = wireId;
    this.shard = shard;
    this.idempotencyKey = idempotencyKey;
    this.queryText = queryText;
    this.deadline = deadline;
    this.startDeadline = startDeadline;
  }

  /** Whether its frame has been put into its link's ring: it may run from then on. */
  boolean written() {
    return frameEndPosition >= 0;
  }

  /** It is not to begin later than this either, as a copy of its part may begin meanwhile. */
  public void limitStart(Duration latestStart) {
    startDeadline =
        startDeadline == null || latestStart.compareTo(startDeadline) < 0
            ? latestStart
            : startDeadline;
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
