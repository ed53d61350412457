package gingerring.peers;

/**
 * What one mixer is believed to be. Of two words about it the one of the later life holds; within a
 * life that it has left is final; else the higher rise; else the worse news. This is an order, so
 * that all who hear the same words, in whatever order and however often, believe the same.
 *
 * @param life when its process started, as Unix time in milliseconds
 * @param rise counts up each time it speaks against being suspected; only it itself raises it
 * @param by who says so first of a suspicion; else the mixer itself
 */
public record PeerRecord(PeerId peer, PeerAddress place, long life, int rise, State state, PeerId by) {
  /** From good news to bad. */
  public enum State {
    HERE,
    SUSPECTED,
    GONE,
    LEFT
  }

  /** Whether this holds over what was believed before. */
  public boolean over(PeerRecord before) {
    if (life != before.life) {
      return life > before.life;
    }
    if (state == State.LEFT || before.state == State.LEFT) {
      return before.state != State.LEFT;
    }
    return rise != before.rise ? rise > before.rise : state.compareTo(before.state) > 0;
  }

  PeerRecord as(State other, PeerId says) {
    return new PeerRecord(peer, place, life, rise, other, says);
  }

  /** Whether one can send to it and expect an answer. */
  public boolean there() {
    return state == State.HERE || state == State.SUSPECTED;
  }
}
