package gingerring.peers;

/**
 * What one mixer is believed to be. Of two words about it the one of the later life holds; within a
 * life that it has left is final; else the higher rise; else the worse news. This is an order, so
 * that all who hear the same words, in whatever order and however often, believe the same.
 *
 * @param incarnation when its process started, as Unix time in milliseconds
 * @param refutations counts up each time it speaks against being suspected; only it itself raises
 *     it
 * @param source who says so first of a suspicion; else the mixer itself
 */
public record PeerRecord(
    PeerId peer,
    PeerAddress address,
    long incarnation,
    int refutations,
    State state,
    PeerId source) {
  /** From good news to bad. */
  public enum State {
    HERE,
    SUSPECTED,
    GONE,
    LEFT
  }

  /** Whether this holds over what was believed before. */
  public boolean supersedes(PeerRecord before) {
    if (incarnation != before.incarnation) {
      return incarnation > before.incarnation;
    }
    if (state == State.LEFT || before.state == State.LEFT) {
      return before.state != State.LEFT;
    }
    return refutations != before.refutations
        ? refutations > before.refutations
        : state.compareTo(before.state) > 0;
  }

  PeerRecord withState(State newState, PeerId newSource) {
    return new PeerRecord(peer, address, incarnation, refutations, newState, newSource);
  }

  /** Whether one can send to it and expect an answer. */
  public boolean isPresent() {
    return state == State.HERE || state == State.SUSPECTED;
  }
}
