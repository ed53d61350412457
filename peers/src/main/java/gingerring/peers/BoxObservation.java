package gingerring.peers;

/**
 * Parts that a mixer saw at one box during its observation span: parts answered, and parts that
 * failed there (silence, error or refusal). Both counts are finite and not negative. The receiver
 * decides what to conclude from them.
 */
public record BoxObservation(double answered, double failed) {
  public BoxObservation {
    if (!(answered >= 0)
        || !(failed >= 0)
        || Double.isInfinite(answered)
        || Double.isInfinite(failed)) {
      throw new IllegalArgumentException(
          "invalid observation: " + answered + " answered, " + failed + " failed");
    }
  }

  double parts() {
    return answered + failed;
  }
}
