package gingerring.layout;

/**
 * Identifies a partition. A number is never reused for another partition. Layout files and printed
 * output call a partition a folio.
 */
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
