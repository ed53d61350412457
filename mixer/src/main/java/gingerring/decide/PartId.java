package gingerring.decide;

/** A part of a scan, by the number that its client's side gave it. */
public record PartId(long number) {
  // written out as in SearcherId
  @Override
  public boolean equals(Object other) {
    return other instanceof PartId id && id.number == number;
  }

  @Override
  public int hashCode() {
    return Long.hashCode(number);
  }
}
