package gingerring.share;

/**
 * A box of the member list: its zone by number (-1 where unknown), and its size in any one unit.
 */
public record Box(BoxId id, int zone, double size) {
  public Box {
    if (!(size > 0) || Double.isInfinite(size)) {
      throw new IllegalArgumentException("box " + id.number() + " has invalid size " + size);
    }
  }
}
