package gingerring.layout;

/** Names a folio. A number is not used again for another folio. */
public record PartitionId(int number) implements Comparable<PartitionId> {
  @Override
  public int compareTo(PartitionId other) {
    return Integer.compare(number, other.number);
  }

  @Override
  public String toString() {
    return "folio " + number;
  }
}
