package gingerring.decide;

import java.time.Duration;

/** One attempt to run a part at a searcher. {@code outcome} is null while the trip is open. */
public final class Trip {
  public final Part part;
  public final Searcher searcher;
  public final Duration sentAt;
  public final Call call;
  public Outcome outcome;
  public Duration endedAt;
  public boolean countedInPressure;

  public Trip(Part part, Searcher searcher, Duration sent, Call call) {
    this.part = part;
    this.searcher = searcher;
    this.sentAt = sent;
    this.call = call;
  }

  /** Parts sent to one searcher at the same time, which share one call. */
  public static final class Call {
    public final Duration sentAt;
    public int partCount;
    public int openTrips;

    public Call(Duration made) {
      this.sentAt = made;
    }
  }
}
