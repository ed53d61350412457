package gingerring.decide;

/** A searcher, by its address: the bytes of the address and port, the first byte highest. */
public record SearcherId(long address) implements Comparable<SearcherId> {
  @Override public int compareTo(SearcherId other) {
    return Long.compareUnsigned(address, other.address);
  }
}
