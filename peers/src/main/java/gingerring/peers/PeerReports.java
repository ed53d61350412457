package gingerring.peers;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Keeps the latest report of each peer. Call {@link #accept} for each report whose sender was
 * authenticated; {@link #current} returns the reports that have not expired.
 *
 * <p>Bounds: {@code maxPeers} peers, where the peer silent for longest is evicted for a new one
 * once its report has expired, and a new peer is rejected while no report has; {@code maxBoxes}
 * boxes in a report; one report of a peer in each {@code minInterval}. Rejected reports are counted
 * by cause ({@link #count}). Memory: the reports kept, and some 100 bytes a peer.
 */
public final class PeerReports {
  /** Result of {@link #accept}. */
  public enum Verdict {
    TAKEN,
    /** The author has restarted since, or the report is this mixer's own. */
    OLD_LIFE,
    /** The author has sent a newer report, or this report is a duplicate. */
    OLD_NUMBER,
    /** The author sends reports too often. */
    TOO_SOON,
    /** The report covers more boxes than one report may. */
    TOO_LARGE,
    /** The maximum number of peers is kept, and none of their reports has expired. */
    NO_ROOM
  }

  /** A report and when it arrived. */
  public record TimedReport(PeerReport report, Duration receivedAt) {}

  private final PeerId self;
  private final int maxPeers;
  private final int maxBoxes;
  private final Duration minInterval;
  private final Duration lifetime;

  /** Ordered by arrival, the oldest report first. */
  private final Map<PeerId, TimedReport> latest = new LinkedHashMap<>();

  private final Map<Verdict, Long> counts = new EnumMap<>(Verdict.class);

  /**
   * {@code minInterval}: the shortest time between two reports of one peer; {@code lifetime}: how
   * long a report counts.
   */
  public PeerReports(
      PeerId self, int maxPeers, int maxBoxes, Duration minInterval, Duration lifetime) {
    if (maxPeers < 1
        || maxBoxes < 1
        || minInterval.isNegative()
        || lifetime.compareTo(minInterval) <= 0) {
      throw new IllegalArgumentException(
          "peers "
              + maxPeers
              + ", boxes "
              + maxBoxes
              + ", interval between reports "
              + minInterval
              + ", lifetime "
              + lifetime);
    }
    this.self = self;
    this.maxPeers = maxPeers;
    this.maxBoxes = maxBoxes;
    this.minInterval = minInterval;
    this.lifetime = lifetime;
  }

  /** Checks a report and keeps it if it is accepted. */
  public Verdict accept(PeerReport report, Duration now) {
    Verdict verdict = check(report, now);
    counts.merge(verdict, 1L, Long::sum);
    if (verdict == Verdict.TAKEN) {
      latest.remove(report.author()); // reinserted at the end of the order
      if (latest.size() >= maxPeers) {
        latest.remove(latest.keySet().iterator().next());
      }
      latest.put(report.author(), new TimedReport(report, now));
    }
    return verdict;
  }

  private Verdict check(PeerReport report, Duration now) {
    TimedReport previous = latest.get(report.author());
    if (report.author().equals(self)
        || previous != null && report.incarnation() < previous.report.incarnation()) {
      return Verdict.OLD_LIFE;
    }
    boolean sameIncarnation =
        previous != null && report.incarnation() == previous.report.incarnation();
    if (sameIncarnation && report.number() <= previous.report.number()) {
      return Verdict.OLD_NUMBER;
    }
    // applies to a new incarnation too: a peer that claims one incarnation after another must not
    // be accepted more often than others
    if (previous != null && now.minus(previous.receivedAt).compareTo(minInterval) < 0) {
      return Verdict.TOO_SOON;
    }
    if (report.boxes().size() > maxBoxes) {
      return Verdict.TOO_LARGE;
    }
    boolean hasRoom =
        previous != null
            || latest.size() < maxPeers
            || now.minus(latest.values().iterator().next().receivedAt).compareTo(lifetime) >= 0;
    return hasRoom ? Verdict.TAKEN : Verdict.NO_ROOM;
  }

  /**
   * Handles a peer that leaves: its report no longer counts. Its incarnation is kept until the peer
   * is evicted.
   */
  public void peerLeft(PeerId peer, long incarnation, Duration now) {
    TimedReport previous = latest.get(peer);
    if (previous != null && previous.report.incarnation() <= incarnation) {
      latest.put(
          peer,
          new TimedReport(
              new PeerReport(
                  peer, incarnation, Long.MAX_VALUE, previous.report.zone(), 0, Map.of()),
              previous.receivedAt));
    }
  }

  /** The reports that have not expired, the oldest first. */
  public List<TimedReport> current(Duration now) {
    List<TimedReport> reports = new ArrayList<>();
    for (TimedReport timed : latest.values()) {
      if (now.minus(timed.receivedAt).compareTo(lifetime) < 0
          && timed.report.number() != Long.MAX_VALUE) {
        reports.add(timed);
      }
    }
    return reports;
  }

  public long count(Verdict verdict) {
    return counts.getOrDefault(verdict, 0L);
  }
}
