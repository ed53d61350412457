package gingerring.lease;

/** Identifies a mixer in its role as an elector. */
public record ElectorId(MixerId mixer) implements Comparable<ElectorId> {
  @Override
  public int compareTo(ElectorId other) {
    return mixer.compareTo(other.mixer);
  }
}
