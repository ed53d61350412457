package gingerring.decide;

/** A scan, by the number that its client's side gave it. */
public record ScanId(long number) {
  // written out as in SearcherId
  @Override
  public boolean equals(Object other) {
    return other instanceof ScanId id && id.number == number;
  }

  @Override
  public int hashCode() {
    return Long.hashCode(number);
  }
}
