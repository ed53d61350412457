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
  private final int peersMost;
  private final int boxesMost;
  private final Duration apart;
  private final Duration age;

  /** The one heard longest ago first. */
  private final Map<PeerId, TimedReport> kept = new LinkedHashMap<>();

  private final Map<Verdict, Long> counts = new EnumMap<>(Verdict.class);

  /** {@code age}: how long a word counts. */
  public PeerReports(PeerId self, int peersMost, int boxesMost, Duration apart, Duration age) {
    if (peersMost < 1 || boxesMost < 1 || apart.isNegative() || age.compareTo(apart) <= 0) {
      throw new IllegalArgumentException(
          "peers "
              + peersMost
              + ", boxes "
              + boxesMost
              + ", words "
              + apart
              + " apart that count for "
              + age);
    }
    this.self = self;
    this.peersMost = peersMost;
    this.boxesMost = boxesMost;
    this.apart = apart;
    this.age = age;
  }

  /** A word has come. */
  public Verdict accept(PeerReport word, Duration now) {
    Verdict verdict = judge(word, now);
    counts.merge(verdict, 1L, Long::sum);
    if (verdict == Verdict.TAKEN) {
      kept.remove(word.author()); // so that it stands last
      if (kept.size() >= peersMost) {
        kept.remove(kept.keySet().iterator().next());
      }
      kept.put(word.author(), new TimedReport(word, now));
    }
    return verdict;
  }

  private Verdict judge(PeerReport word, Duration now) {
    TimedReport last = kept.get(word.author());
    if (word.author().equals(self)
        || last != null && word.incarnation() < last.report.incarnation()) {
      return Verdict.OLD_LIFE;
    }
    boolean sameLife = last != null && word.incarnation() == last.report.incarnation();
    if (sameLife && word.number() <= last.report.number()) {
      return Verdict.OLD_NUMBER;
    }
    // of a new life too: who claims one life after the other is not heard more often than others
    if (last != null && now.minus(last.receivedAt).compareTo(apart) < 0) {
      return Verdict.TOO_SOON;
    }
    if (word.boxes().size() > boxesMost) {
      return Verdict.TOO_LARGE;
    }
    boolean room =
        last != null
            || kept.size() < peersMost
            || now.minus(kept.values().iterator().next().receivedAt).compareTo(age) >= 0;
    return room ? Verdict.TAKEN : Verdict.NO_ROOM;
  }

  /**
   * The peer has said that it leaves: what it said counts no more. Its life is remembered until it
   * is forgotten.
   */
  public void peerLeft(PeerId peer, long life, Duration now) {
    TimedReport last = kept.get(peer);
    if (last != null && last.report.incarnation() <= life) {
      kept.put(
          peer,
          new TimedReport(
              new PeerReport(peer, life, Long.MAX_VALUE, last.report.zone(), 0, Map.of()),
              last.receivedAt));
    }
  }

  /** The words that still count, the oldest first. */
  public List<TimedReport> current(Duration now) {
    List<TimedReport> fresh = new ArrayList<>();
    for (TimedReport each : kept.values()) {
      if (now.minus(each.receivedAt).compareTo(age) < 0 && each.report.number() != Long.MAX_VALUE) {
        fresh.add(each);
      }
    }
    return fresh;
  }

  public long count(Verdict verdict) {
    return counts.getOrDefault(verdict, 0L);
  }
}
