package gingerring.layout;

/** Identifies a box by its name in discovery. */
public record BoxId(String name) implements Comparable<BoxId> {
  @Override
  public int compareTo(BoxId other) {
    return name.compareTo(other.name);
  }

  @Override
  public String toString() {
    return name;
  }
}
