package gingerring.peers;

/**
 * What an author saw of one box over its last span: parts answered, and parts that failed there
 * (silence, error or refusal). Counts, zero or more; whoever reads them judges for itself.
 */
public record BoxObservation(double answered, double failed) {
  public BoxObservation {
    if (!(answered >= 0)
        || !(failed >= 0)
        || Double.isInfinite(answered)
        || Double.isInfinite(failed)) {
      throw new IllegalArgumentException(
          "seen " + answered + " answered and " + failed + " failed");
    }
  }

  double parts() {
    return answered + failed;
  }
}
