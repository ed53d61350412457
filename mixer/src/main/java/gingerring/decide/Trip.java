package gingerring.decide;

import java.time.Duration;

/** One sending of a part to a searcher. {@code outcome} is null while it is out. */
public final class Trip {
  public final Part part;
  public final Searcher searcher;
  public final Duration sent;
  public final Call call;
  public Outcome outcome;
  public Duration ended;
  public boolean settled;

  public Trip(Part part, Searcher searcher, Duration sent, Call call) {
    this.part = part;
    this.searcher = searcher;
    this.sent = sent;
    this.call = call;
  }

  /** Parts sent to one searcher at one moment, which share a place. */
  public static final class Call {
    public final Duration made;
    public int parts;
    public int out;

    public Call(Duration made) {
      this.made = made;
    }
  }
}
