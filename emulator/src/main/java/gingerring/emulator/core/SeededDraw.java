package gingerring.emulator.core;

/**
 * Random values that depend only on the seed and on the name of the thing they are drawn for. The
 * same part has the same outcome at the same box in every run, whatever the order and the speed of
 * events.
 */
public final class SeededDraw {
  private SeededDraw() {}

  /** Returns a value from 0 (inclusive) to 1 (exclusive). */
  public static double draw(long seed, String label, long... indexes) {
    return (bits(seed, label, indexes) >>> 11) * 0x1.0p-53;
  }

  /** Returns 64 random bits, mixed with SplitMix64 (Steele, Lea and Flood 2014). */
  public static long bits(long seed, String label, long... indexes) {
    long z = seed;
    for (int i = 0; i < label.length(); i++) {
      z = mix(z + label.charAt(i));
    }
    for (long index : indexes) {
      z = mix(z ^ index);
    }
    return mix(z);
  }

  private static long mix(long z) {
    z += 0x9e3779b97f4a7c15L;
    z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
    z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
    return z ^ z >>> 31;
  }

  /**
   * Returns the value of a part's answer; it depends on the query and the partition, not on the
   * box.
   */
  public static String value(long seed, String query, int partition) {
    return String.format("%016x", bits(seed, query, partition));
  }
}
