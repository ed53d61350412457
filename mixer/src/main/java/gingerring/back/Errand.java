package gingerring.back;

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
  /** Where its frame ends in all that was put into its link's ring; -1 before it was put. */
  long frameEnd = -1;
  Link link;
  boolean done;

  public Errand(PartId part, int trip, SearcherId searcher, String mark, int shard, String key, byte[] text,
      Duration until) {
    this.part = part;
    this.trip = trip;
    this.searcher = searcher;
    this.mark = mark;
    this.shard = shard;
    this.key = key;
    this.text = text;
    this.until = until;
  }

  public boolean done() {
    return done;
  }
}
