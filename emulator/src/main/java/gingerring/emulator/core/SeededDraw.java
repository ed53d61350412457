package gingerring.emulator.core;

/**
 * What is drawn once and for all for a thing, from the seed and what names it: the same part meets
 * the same at the same box in every run, in whatever order and at whatever pace things happen.
 */
public final class SeededDraw {
  private SeededDraw() {}

  /** From 0 up to, but not, 1. */
  public static double draw(long seed, String label, long... indexes) {
    return (bits(seed, label, indexes) >>> 11) * 0x1.0p-53;
  }

  /** 64 bits; the mixing is SplitMix64's (Steele, Lea and Flood 2014). */
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

  /** What a part's answer says: of its text and folio, whichever box gives it. */
  public static String value(long seed, String query, int partition) {
    return String.format("%016x", bits(seed, query, partition));
  }
}
