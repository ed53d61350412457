package gingerring.lease;

/**
 * Identifies a mixer by a number that is derived from its name. A restart does not change the
 * number.
 */
public record MixerId(long number) implements Comparable<MixerId> {
  @Override
  public int compareTo(MixerId other) {
    return Long.compare(number, other.number);
  }
}
