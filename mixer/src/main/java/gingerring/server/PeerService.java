package gingerring.server;

import gingerring.decide.MemberEntry;
import gingerring.decide.Outcome;
import gingerring.net.EventQueue;
import gingerring.net.LoopTimer;
import java.time.Duration;
import java.util.Collection;

/**
 * The connection of a mixer to its peers, the other mixers: receives what this mixer observes and
 * provides what the peers report. All calls come on the thread of the event loop. Searchers are
 * identified by the number that every mixer derives from their names. Optional for {@link
 * MixerServer}: without one, no code of it is loaded and no connection or thread is started.
 */
public interface PeerService {
  /**
   * What the process provides to the service: the clock and queue of its event loop, and access to
   * its mixer.
   */
  interface Context extends LoopTimer, EventQueue {
    String name();

    /** Returns the index of this mixer's zone in its settings; -1 if there is none. */
    int zone();

    /**
     * Returns the number of cells in the ring of searchers; {@link #cellsPerShard} is how many
     * consecutive cells, from the shard's own, hold a shard.
     */
    int cellCount();

    int cellsPerShard();

    /** Returns the Unix time in milliseconds at which {@link #now} was zero. */
    long startEpochMs();

    /** Reports that a searcher has answered another mixer. */
    void answeredElsewhere(long searcher);
  }

  /** Starts the service, just before the process accepts scans. */
  void start(Context context);

  void membersChanged(Collection<MemberEntry> searchers);

  /** Reports the outcome of a trip to a searcher. */
  void attemptEnded(long searcher, Outcome outcome);

  void ejected(long searcher);

  /** Returns whether this mixer is to probe an ejected searcher itself now. */
  boolean shouldProbe(long searcher);

  /** Reports that this mixer has sent a probe to a searcher. */
  void probeStarted(long searcher);

  void probeEnded(long searcher, boolean answered);

  /**
   * Returns the share of a searcher's parts that fail according to other mixers, 0 to 1; 0 without
   * reports.
   */
  double failureShare(long searcher);

  boolean isPreferred(long searcher);

  /** Returns the line that is logged each minute. */
  String statusLine();

  /**
   * Reports that the process shuts down; the service may tell its peers so for {@code timeLeft}.
   */
  void shutDown(Duration timeLeft);
}
