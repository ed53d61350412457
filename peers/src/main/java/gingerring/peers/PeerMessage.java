package gingerring.peers;

import java.util.List;

/**
 * One datagram from a mixer to another.
 *
 * @param number counts up within its author's life, over all letters to whomever
 * @param updates what is believed of the members, passed on
 * @param notices what was asked of benched boxes for all, passed on
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
