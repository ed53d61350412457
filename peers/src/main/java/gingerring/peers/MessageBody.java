package gingerring.peers;

import java.util.List;

/**
 * The body of a message between two mixers; membership updates and probe notices travel beside it
 * in {@link PeerMessage}.
 */
public sealed interface MessageBody {
  /**
   * Checks whether {@code peer} is present; another mixer at the same address does not answer. The
   * sender numbers its pings by {@code number}.
   */
  record Ping(int number, PeerId peer) implements MessageBody {}

  /**
   * Answers the ping or the ping request with the same number; a ping request once its target has
   * answered.
   */
  record Ack(int number) implements MessageBody {}

  /**
   * Answers the ping request with the same number if its target has not answered yet. The answer
   * shows that its sender, the peer that was asked to ping the target on another mixer's behalf, is
   * itself present.
   */
  record Nack(int number) implements MessageBody {}

  /** Asks the recipient to ping {@code peer} on the sender's behalf. */
  record PingRequest(int number, PeerId peer, PeerAddress address) implements MessageBody {}

  /**
   * Requests the membership records whose identifiers, as unsigned numbers, are {@code fromPeer} or
   * more.
   */
  record MembersRequest(long fromPeer) implements MessageBody {}

  /**
   * A page of the sender's own record and those of other members, in the order of their
   * identifiers; {@code nextPeer} is the identifier at which the next page begins, 0 on the last
   * page.
   */
  record MembersPage(List<PeerRecord> records, long nextPeer) implements MessageBody {
    public MembersPage {
      records = List.copyOf(records);
    }
  }

  /** Carries the sender's load report. */
  record Report(PeerReport report) implements MessageBody {}

  /** Has no content: the message carries only membership updates and probe notices. */
  record Empty() implements MessageBody {}

  /**
   * An operator's query; {@code about} selects the topic (see {@link PeerNode.Host#answerQuery})
   * and {@code box} the box where the topic is one box.
   */
  record Query(char about, long box) implements MessageBody {}

  /** The answer to a query, as lines of plain text. */
  record Reply(String text) implements MessageBody {}
}
