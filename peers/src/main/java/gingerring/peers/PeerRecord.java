package gingerring.peers;

/**
 * Membership record of one mixer. Of two records of the same mixer the one with the later
 * incarnation wins; within an incarnation {@code LEFT} is final; else the higher refutation number
 * wins; else the worse state. This is an order, so all mixers that receive the same records, in any
 * sequence and however often, reach the same result.
 *
 * @param incarnation when the mixer's process started, as Unix time in milliseconds
 * @param refutations counts up each time the mixer refutes a suspicion of itself; only that mixer
 *     raises it
 * @param source of a suspicion, the mixer that raised it; else the mixer itself
 */
public record PeerRecord(
    PeerId peer,
    PeerAddress address,
    long incarnation,
    int refutations,
    State state,
    PeerId source) {
  /** Ordered from best to worst; the ordinal is sent on the wire. */
  public enum State {
    HERE,
    SUSPECTED,
    GONE,
    LEFT
  }

  /**
   * Returns whether this record replaces {@code before}, the record of the same mixer known until
   * now.
   */
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

  /** Whether the mixer can be sent messages and be expected to answer. */
  public boolean isPresent() {
    return state == State.HERE || state == State.SUSPECTED;
  }
}
