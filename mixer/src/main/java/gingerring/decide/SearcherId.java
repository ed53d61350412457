package gingerring.decide;

/**
 * Identifies a searcher by its address: the bytes of the IP address and the port, in network byte
 * order.
 */
public record SearcherId(long address) implements Comparable<SearcherId> {
  // Written out: the methods generated for a record are linked through method handles, which adds
  // about 0.1 s to the start of the process.
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
