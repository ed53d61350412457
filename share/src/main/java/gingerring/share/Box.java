package gingerring.share;

/**
 * A box as the list tells it: its zone by number (-1 where none is told), its size in any one unit.
 */
public record Box(BoxId id, int zone, double size) {
  public Box {
    if (!(size > 0) || Double.isInfinite(size)) {
      throw new IllegalArgumentException("box " + id.number() + " of size " + size);
    }
  }
}
