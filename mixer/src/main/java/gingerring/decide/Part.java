package gingerring.decide;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/** A part of a scan: one shard's share of it. */
public final class Part {
  public final PartId id;
  public final int shard;
  public final double weight;
  public final long key;
  public Scan scan;
  public final List<Trip> trips = new ArrayList<>();
  public boolean answered;

  /**
   * Its step has been answered, or the host told the end of its patience: nothing may be sent for
   * it.
   */
  public boolean noMoreTrips;

  /** Its trip out was recalled for another to follow. */
  public boolean moveRequested;

  public Searcher assignedSearcher;

  /** How many trusted searchers hold its shard. */
  public int healthyHolders;

  private double randomDraw = -1;

  public Part(PartId id, int shard, double weight, long key) {
    this.id = id;
    this.shard = shard;
    this.weight = weight;
    this.key = key;
  }

  /**
   * One draw for all searchers and moments, so that trying them again does not make it likelier.
   */
  public double drawOnce(RandomGenerator random) {
    randomDraw = randomDraw < 0 ? random.nextDouble() : randomDraw;
    return randomDraw;
  }

  public boolean hasOpenTrip() {
    for (Trip trip : trips) {
      if (trip.outcome == null) {
        return true;
      }
    }
    return false;
  }

  /** When the first trip that may have run was sent, or null where none may have. */
  public Duration firstPossibleRun() {
    for (Trip trip : trips) {
      if (trip.outcome == null || !trip.outcome.neverRan) {
        return trip.sentAt;
      }
    }
    return null;
  }
}
