package gingerring.decide;

/** A searcher, by its address: the bytes of the address and port, the first byte highest. */
public record SearcherId(long address) implements Comparable<SearcherId> {
  // written out: a record's own are linked by method handles, which costs a starting process some
  // 0.1 s
  @Override
  public boolean equals(Object other) {
    return other instanceof SearcherId id && id.address == address;
  }

  @Override
  public int hashCode() {
    return Long.hashCode(address);
  }

  @Override
  public int compareTo(SearcherId other) {
    return Long.compareUnsigned(address, other.address);
  }
}
