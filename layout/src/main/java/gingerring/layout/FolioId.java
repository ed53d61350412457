package gingerring.layout;

/** Names a folio. A number is not used again for another folio. */
public record FolioId(int number) implements Comparable<FolioId> {
  @Override
  public int compareTo(FolioId other) {
    return Integer.compare(number, other.number);
  }

  @Override
  public String toString() {
    return "folio " + number;
  }
}
