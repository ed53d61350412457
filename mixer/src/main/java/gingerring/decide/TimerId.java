package gingerring.decide;

/** Identifies a timer that the mixer started at its host. */
public record TimerId(int number) {
  // written out for the reason given in SearcherId
  @Override
  public boolean equals(Object other) {
    return other instanceof TimerId id && id.number == number;
  }

  @Override
  public int hashCode() {
    return number;
  }
}
