package gingerring.decide;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** A part of a scan: one shard's share of it. */
public final class Part {
  public final PartId id;
  public final int shard;
  public final double weight;
  public final long key;
  public Scan scan;
  public final List<Trip> trips = new ArrayList<>();
  public boolean in;
  /** Its step has been answered, or the host told the end of its patience: nothing may be sent for it. */
  public boolean over;
  /** Its trip out was recalled for another to follow. */
  public boolean moving;
  public Searcher planned;
  /** How many trusted searchers hold its shard. */
  public int choices;

  public Part(PartId id, int shard, double weight, long key) {
    this.id = id;
    this.shard = shard;
    this.weight = weight;
    this.key = key;
  }

  public boolean out() {
    for (Trip trip : trips) {
      if (trip.outcome == null) {
        return true;
      }
    }
    return false;
  }

  /** When the first trip that may have run was sent, or null where none may have. */
  public Duration mayHaveRunSince() {
    for (Trip trip : trips) {
      if (trip.outcome == null || !trip.outcome.neverRan) {
        return trip.sent;
      }
    }
    return null;
  }
}
