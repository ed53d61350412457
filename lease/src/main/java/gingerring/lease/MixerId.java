package gingerring.lease;

/**
 * A mixer, by the number that every mixer makes of its name: the same after it has started anew.
 */
public record MixerId(long number) implements Comparable<MixerId> {
  @Override
  public int compareTo(MixerId other) {
    return Long.compare(number, other.number);
  }
}
