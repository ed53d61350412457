package gingerring.server;

import gingerring.decide.MemberEntry;
import gingerring.decide.Outcome;
import gingerring.net.EventQueue;
import gingerring.net.LoopTimer;
import java.time.Duration;
import java.util.Collection;

/**
 * The other mixers, as a mixer's process meets them: told what this one sees, and asked what others
 * tell. All calls come on the loop's thread; searchers go by the number that every mixer makes of
 * their names. Given to {@link MixerServer}, or not: without one, nothing of it is loaded, opened
 * or started.
 */
public interface PeerService {
  /** What the process lends: its loop's clock and inbox, and a way to its mixer. */
  interface Context extends LoopTimer, EventQueue {
    String name();

    /** The number of this mixer's zone in its settings; -1 where there is none. */
    int zone();

    /** Cells of the ring, and how many from a shard's own on hold it. */
    int cellCount();

    int cellsPerShard();

    /** Unix time in milliseconds at the clock's zero. */
    long startEpochMs();

    /** Another mixer had an answer of that searcher. */
    void answeredElsewhere(long searcher);
  }

  /** The process is about to take scans. */
  void start(Context ground);

  void membersChanged(Collection<MemberEntry> searchers);

  /** A trip there has ended. */
  void attemptEnded(long searcher, Outcome outcome);

  void ejected(long searcher);

  /** Whether this mixer is to ask a benched searcher itself now. */
  boolean shouldProbe(long searcher);

  /** It does. */
  void probeStarted(long searcher);

  void probeEnded(long searcher, boolean answered);

  /** The share of its parts that fail as others see it, 0 to 1; 0 where nobody tells. */
  double failureShare(long searcher);

  boolean isPreferred(long searcher);

  /** A line for the log each minute. */
  String statusLine();

  /** The process ends on purpose; {@code within} it may still say so. */
  void shutDown(Duration within);
}
