package gingerring.peers;

import java.util.List;

/**
 * One datagram from a mixer to another.
 *
 * @param number counts up within its author's life, over all letters to whomever
 * @param news what is believed of the members, passed on
 * @param notes what was asked of benched boxes for all, passed on
 */
public record PeerMessage(
    PeerId author, long life, long number, MessageBody body, List<PeerRecord> news, List<Note> notes) {
  public PeerMessage {
    news = List.copyOf(news);
    notes = List.copyOf(notes);
  }
}
