package gingerring.peers;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The latest word of each peer. Call {@link #accept} for each word that came and whose sender was
 * proved; {@link #current} for those that still count.
 *
 * <p>Bounds: {@code peersMost} peers, of whom the one silent longest goes for a newcomer once its
 * word has aged, and a newcomer is turned away while none has; {@code boxesMost} boxes a word; one
 * word a peer in each {@code apart}. What is not taken is counted by cause ({@link #count}).
 * Memory: the words kept, and some 100 bytes a peer.
 */
public final class PeerReports {
  /** What became of a word. */
  public enum Verdict {
    TAKEN,
    /** Its author has since started anew, or it is an own word that came back. */
    OLD_LIFE,
    /** Its author has said something newer, or the same word came twice. */
    OLD_NUMBER,
    /** Its author speaks too often. */
    TOO_SOON,
    /** It tells of more boxes than one word may. */
    TOO_LARGE,
    /** There are as many peers as are kept, and none of them has fallen silent. */
    NO_ROOM
  }

  /** A word and when it came. */
  public record TimedReport(PeerReport report, Duration receivedAt) {}

  private final PeerId self;
  private final int maxPeers;
  private final int maxBoxes;
  private final Duration minInterval;
  private final Duration lifetime;

  /** The one heard longest ago first. */
  private final Map<PeerId, TimedReport> latest = new LinkedHashMap<>();

  private final Map<Verdict, Long> counts = new EnumMap<>(Verdict.class);

  /** {@code age}: how long a word counts. */
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
              + ", words "
              + minInterval
              + " apart that count for "
              + lifetime);
    }
    this.self = self;
    this.maxPeers = maxPeers;
    this.maxBoxes = maxBoxes;
    this.minInterval = minInterval;
    this.lifetime = lifetime;
  }

  /** A word has come. */
  public Verdict accept(PeerReport report, Duration now) {
    Verdict verdict = check(report, now);
    counts.merge(verdict, 1L, Long::sum);
    if (verdict == Verdict.TAKEN) {
      latest.remove(report.author()); // so that it stands last
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
    // of a new life too: who claims one life after the other is not heard more often than others
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
   * The peer has said that it leaves: what it said counts no more. Its life is remembered until it
   * is forgotten.
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

  /** The words that still count, the oldest first. */
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
