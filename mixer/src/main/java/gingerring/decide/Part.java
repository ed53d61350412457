package gingerring.decide;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/** A part of a scan: the work for one shard. */
public final class Part {
  public final PartId id;
  public final int shard;
  public final double weight;
  public final long key;
  public Scan scan;
  public final List<Trip> trips = new ArrayList<>();
  public boolean answered;

  /**
   * The part's step has been answered, or the host has reported the client's deadline: no further
   * trip may be sent.
   */
  public boolean noMoreTrips;

  /** The part's open trip was canceled so that another one can follow. */
  public boolean moveRequested;

  public Searcher assignedSearcher;

  /** The number of healthy searchers that hold the shard. */
  public int healthyHolders;

  private double randomDraw = -1;

  public Part(PartId id, int shard, double weight, long key) {
    this.id = id;
    this.shard = shard;
    this.weight = weight;
    this.key = key;
  }

  /**
   * Returns one random number per part, the same for all searchers and at all times, so that
   * repeated attempts do not raise the probability.
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

  /** Returns when the first trip that may have run was sent, or null if none may have run. */
  public Duration firstPossibleRun() {
    for (Trip trip : trips) {
      if (trip.outcome == null || !trip.outcome.neverRan) {
        return trip.sentAt;
      }
    }
    return null;
  }
}
