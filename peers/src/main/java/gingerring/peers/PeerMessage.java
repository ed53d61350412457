package gingerring.peers;

import java.util.List;

/**
 * One datagram from a mixer to another.
 *
 * @param number counts up within the author's incarnation, over the messages to all recipients
 * @param updates membership records, gossiped along with the body
 * @param notices probe notices, gossiped along with the body
 */
public record PeerMessage(
    PeerId author,
    long incarnation,
    long number,
    MessageBody body,
    List<PeerRecord> updates,
    List<ProbeNotice> notices) {
  public PeerMessage {
    updates = List.copyOf(updates);
    notices = List.copyOf(notices);
  }
}
