package gingerring.decide;

/** A wake-up call that the mixer asked its host for. */
public record WakeId(int number) {
  // written out as in SearcherId
  @Override
  public boolean equals(Object other) {
    return other instanceof WakeId id && id.number == number;
  }

  @Override
  public int hashCode() {
    return number;
  }
}
