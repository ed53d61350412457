package gingerring.layout;

/** Names a box, as discovery does. */
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
