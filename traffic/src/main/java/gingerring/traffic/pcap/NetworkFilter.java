package gingerring.traffic.pcap;

import inet.ipaddr.AddressStringException;
import inet.ipaddr.IPAddress;
import inet.ipaddr.IPAddressString;
import inet.ipaddr.ipv4.IPv4Address;
import inet.ipaddr.ipv4.IPv4AddressTrie;
import inet.ipaddr.ipv6.IPv6Address;
import inet.ipaddr.ipv6.IPv6AddressTrie;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.function.Predicate;

/**
 * Selects segments by the networks of their endpoints and by their ports. An empty list selects
 * everything.
 */
public final class NetworkFilter implements Predicate<Segment> {
  private static final long IPV4_MAPPED_PREFIX = 0xFFFF00000000L;

  private final IPv4AddressTrie ipv4Networks = new IPv4AddressTrie();
  private final IPv6AddressTrie ipv6Networks = new IPv6AddressTrie();
  private final boolean matchesAnyNetwork;
  private final List<Integer> ports;

  /**
   * Accepts networks such as {@code 10.0.0.0/8}, {@code 2001:db8::/32} or a single address; any
   * other text is rejected with an error that quotes the text.
   */
  public NetworkFilter(List<String> networks, List<Integer> ports) {
    matchesAnyNetwork = networks.isEmpty();
    this.ports = List.copyOf(ports);
    for (String network : networks) {
      try {
        IPAddress address = new IPAddressString(network).toAddress().toPrefixBlock();
        if (address.isIPv4()) {
          ipv4Networks.add(address.toIPv4());
        } else {
          ipv6Networks.add(address.toIPv6());
        }
      } catch (AddressStringException e) {
        throw new IllegalArgumentException("not a network address: " + network);
      }
    }
  }

  @Override
  public boolean test(Segment segment) {
    return (matchesAnyNetwork
            || isInNetworks(segment.sourceHigh, segment.sourceLow)
            || isInNetworks(segment.destinationHigh, segment.destinationLow))
        && (ports.isEmpty()
            || ports.contains(segment.sourcePort)
            || ports.contains(segment.destinationPort));
  }

  private boolean isInNetworks(long high, long low) {
    if (high == 0 && low >>> 32 == IPV4_MAPPED_PREFIX >>> 32) {
      return ipv4Networks.elementContains(new IPv4Address((int) low));
    }
    byte[] bytes = ByteBuffer.allocate(16).putLong(high).putLong(low).array();
    return ipv6Networks.elementContains(new IPv6Address(bytes));
  }
}
