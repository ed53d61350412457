package gingerring.peers;

import java.util.List;

/** What one letter between two mixers is about; news of others goes beside it. */
public sealed interface MessageBody {
  /**
   * Are you there? {@code peer} is whom the sender means: another at that place does not answer.
   */
  record Ping(int number, PeerId peer) implements MessageBody {}

  /** I am. */
  record Ack(int number) implements MessageBody {}

  /** Whom you asked me to ask has not answered yet; I myself am there. */
  record Nack(int number) implements MessageBody {}

  /** Ask that one for me. */
  record PingRequest(int number, PeerId peer, PeerAddress address) implements MessageBody {}

  /** Tell me whom you know, from this number on (as unsigned). */
  record MembersRequest(long fromPeer) implements MessageBody {}

  /**
   * Whom I know, in the order of their numbers; {@code next} is where the rest begins, 0 for none.
   */
  record MembersPage(List<PeerRecord> records, long nextPeer) implements MessageBody {
    public MembersPage {
      records = List.copyOf(records);
    }
  }

  /** What I have seen. */
  record Report(PeerReport report) implements MessageBody {}

  /** Nothing but what goes beside it. */
  record Empty() implements MessageBody {}

  /** An operator asks: what of ({@code about}, a letter), and of which box where it is of one. */
  record Query(char about, long box) implements MessageBody {}

  /** The answer, in plain lines. */
  record Reply(String text) implements MessageBody {}
}
