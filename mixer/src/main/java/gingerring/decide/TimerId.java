package gingerring.decide;

/** A wake-up call that the mixer asked its host for. */
public record TimerId(int number) {
  // written out as in SearcherId
  @Override
  public boolean equals(Object other) {
    return other instanceof TimerId id && id.number == number;
  }

  @Override
  public int hashCode() {
    return number;
  }
}
