package gingerring.peers;

import java.util.List;

/**
 * One datagram from a mixer to another.
 *
 * @param number counts up within its author's life, over all letters to whomever
 * @param news what is believed of the members, passed on
 * @param notes what was asked of benched boxes for all, passed on
 */
public record Letter(
    PeerId author, long life, long number, Body body, List<Standing> news, List<Note> notes) {
  public Letter {
    news = List.copyOf(news);
    notes = List.copyOf(notes);
  }
}
