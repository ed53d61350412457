package gingerring.peers;

import java.util.Map;

/**
 * Load report of one mixer; it replaces all earlier reports of that mixer.
 *
 * @param incarnation when the mixer's process started, as Unix time in milliseconds; a later
 *     incarnation under the same name wins
 * @param number counts up within an incarnation
 * @param zone the mixer's zone, -1 where unknown
 * @param demand parts per second that the mixer's clients request
 * @param boxes observations by the box's number
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
      throw new IllegalArgumentException("invalid demand: " + demand);
    }
    boxes = Map.copyOf(boxes);
  }
}
