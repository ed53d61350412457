package gingerring.peers;

import java.util.Map;

/**
 * All that one mixer says at one moment; it replaces all that it said before.
 *
 * @param incarnation when its process started, as Unix time in milliseconds: a later life under the
 *     same name wins
 * @param number counts up within a life
 * @param zone where it stands, -1 where that is not told
 * @param demand parts a second that its clients ask for
 * @param boxes what it saw, by the box's number
 */
public record PeerReport(
    PeerId author,
    long incarnation,
    long number,
    int zone,
    double demand,
    Map<Long, BoxObservation> boxes) {
  public PeerReport {
    if (!(demand >= 0) || Double.isInfinite(demand)) {
      throw new IllegalArgumentException("a demand of " + demand);
    }
    boxes = Map.copyOf(boxes);
  }
}
