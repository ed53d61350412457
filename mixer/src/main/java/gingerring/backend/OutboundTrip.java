package gingerring.backend;

import gingerring.decide.PartId;
import gingerring.decide.SearcherId;
import gingerring.net.ScheduledTask;
import java.time.Duration;

/** A trip on the network side: one attempt to have a part answered by a searcher. */
public final class OutboundTrip {
  public final PartId part;
  public final int tripNumber;
  public final SearcherId searcher;

  /** The id of the part in frames. */
  final String wireId;

  final int shard;
  final String idempotencyKey;

  /** The text to send; null once the frame is written. */
  byte[] queryText;

  final Duration deadline;

  /**
   * The latest time at which the trip may begin, or null: a retry that begins later would be taken
   * for a new request.
   */
  private Duration startDeadline;

  /** When the trip was queued. */
  Duration queuedAt;

  ConnectionPool pool;

  /**
   * End of the trip's frame, as a position in all output of its connection; -1 before the frame is
   * written.
   */
  long frameEndPosition = -1;

  SearcherConnection connection;

  /** Ends the trip as unreachable if it finds no connection in time; null before it waits. */
  ScheduledTask connectTimer;

  /** Ends the trip as timed out at its deadline; null before it is queued. */
  ScheduledTask deadlineTimer;

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
   * Creates a trip that times out at {@code deadline}. {@code startDeadline} is the latest time to
   * begin, null if only {@code deadline} limits it.
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

  /**
   * Returns whether the frame has been written to the output of its connection; from then on the
   * trip may run.
   */
  boolean written() {
    return frameEndPosition >= 0;
  }

  /**
   * Records where the trip's frame ends in all output of its connection, and drops the text that
   * the frame contains: a trip may stay in flight until its deadline.
   */
  void frameWritten(long endPosition) {
    frameEndPosition = endPosition;
    queryText = null;
  }

  /** Cancels the timers of a trip that has ended. */
  void cancelTimers() {
    cancel(connectTimer);
    cancel(deadlineTimer);
  }

  /** Cancels the timer of a trip that no longer waits for a connection. */
  void cancelConnectTimer() {
    cancel(connectTimer);
  }

  private static void cancel(ScheduledTask timer) {
    if (timer != null) {
      timer.cancel();
    }
  }

  /**
   * Lowers the latest time to begin, since another trip for the same part may begin in the
   * meantime.
   */
  public void limitStart(Duration latestStart) {
    startDeadline =
        startDeadline == null || latestStart.compareTo(startDeadline) < 0
            ? latestStart
            : startDeadline;
  }

  /** Returns whether the trip may still begin at {@code now}. */
  boolean mayStart(Duration now) {
    return !ended
        && now.compareTo(deadline) < 0
        && (startDeadline == null || now.compareTo(startDeadline) < 0);
  }

  public boolean ended() {
    return ended;
  }
}
