package gingerring.peers;

/** Where a mixer hears the others: an IPv4 address and a port. */
public record PeerAddress(int address, int port) {
  public PeerAddress {
    if (port < 1 || port > 0xFFFF) {
      throw new IllegalArgumentException("port " + port);
    }
  }

  @Override
  public String toString() {
    return (address >>> 24)
        + "."
        + (address >>> 16 & 0xFF)
        + '.'
        + (address >>> 8 & 0xFF)
        + '.'
        + (address & 0xFF)
        + ':'
        + port;
  }
}
