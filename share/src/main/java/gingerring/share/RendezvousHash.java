package gingerring.share;

/**
 * Rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
 * IEEE/ACM Transactions on Networking 6(1), 1998): a hash of a pair that everyone who knows both
 * members computes alike. When a member joins or leaves on one side, the hashes of all other pairs
 * stay.
 */
public final class RendezvousHash {
  private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;

  private RendezvousHash() {}

  /**
   * Stafford's variant 13 of the 64-bit finalizer, as in java.util.SplittableRandom: every input
   * bit affects every output bit.
   */
  public static long mix(long bits) {
    long mixed = (bits ^ (bits >>> 30)) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
    return mixed ^ (mixed >>> 31);
  }

  /** Hashes a pair, uniformly over all longs. */
  public static long pairHash(long first, long second) {
    return mix(mix(first + GOLDEN_GAMMA) + GOLDEN_GAMMA * 3 + second);
  }

  /** Hashes a pair to a number above 0 and under 1. */
  static double unitHash(long first, long second) {
    return ((pairHash(first, second) >>> 11) + 0.5) * 0x1p-53;
  }

  /**
   * Weighted hash of a pair: among many, each is the smallest with a probability proportional to
   * its weight (Efraimidis and Spirakis, "Weighted random sampling with a reservoir", Information
   * Processing Letters 97, 2006).
   */
  static double weightedHash(long first, long second, double weight) {
    return -Math.log(unitHash(first, second)) / weight;
  }
}
