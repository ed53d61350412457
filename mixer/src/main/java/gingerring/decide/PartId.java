package gingerring.decide;

/** Identifies a part of a scan by the number that the client connection assigned to it. */
public record PartId(long number) {
  // written out for the reason given in SearcherId
  @Override
  public boolean equals(Object other) {
    return other instanceof PartId id && id.number == number;
  }

  @Override
  public int hashCode() {
    return Long.hashCode(number);
  }
}
