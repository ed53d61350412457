package gingerring.peers;

/** The IPv4 address and port at which a mixer receives messages of its peers. */
public record PeerAddress(int address, int port) {
  public PeerAddress {
    if (port < 1 || port > 0xFFFF) {
      throw new IllegalArgumentException("invalid port: " + port);
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
