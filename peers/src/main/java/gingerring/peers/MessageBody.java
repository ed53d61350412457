package gingerring.peers;

import java.util.List;

/**
 * The body of a message between two mixers; membership updates and probe notices travel beside it
 * in {@link PeerMessage}.
 */
public sealed interface MessageBody {
  /** Checks whether {@code peer} is present; another mixer at the same address does not answer. */
  record Ping(int number, PeerId peer) implements MessageBody {}

  /** Answers a ping. */
  record Ack(int number) implements MessageBody {}

  /**
   * Answers a ping request whose target has not answered yet, to show that the helper itself is
   * present.
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

  /** Carries only the updates and notices beside it. */
  record Empty() implements MessageBody {}

  /**
   * An operator's query; {@code about} selects the topic (see {@link PeerNode.Host#answerQuery})
   * and {@code box} the box where the topic is one box.
   */
  record Query(char about, long box) implements MessageBody {}

  /** The answer to a query, as lines of plain text. */
  record Reply(String text) implements MessageBody {}
}
