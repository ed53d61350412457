package gingerring.traffic.pcap;

import java.util.Map;
import java.util.TreeMap;

/**
 * Decodes a packet down to its TCP segment: Ethernet with VLAN tags, raw IP, Linux cooked capture
 * (versions 1 and 2) and BSD loopback; IPv4 with fragments, IPv6 with extension headers. Checksums
 * are not verified, because a capture on the sending machine sees packets before the network card
 * fills checksums in. Packets without a segment are counted by cause.
 */
public final class PacketDecoder {
  private static final int TCP = 6;
  private static final long IPV4_MAPPED_PREFIX = 0xFFFF00000000L;
  private static final int MAX_EXTENSION_HEADERS = 16;

  private final Map<String, long[]> counts = new TreeMap<>();
  private final FragmentReassembler fragments = new FragmentReassembler();
  private Segment output;

  /** The number of packets that were not decoded, by cause. */
  public Map<String, Long> counts() {
    Map<String, Long> result = new TreeMap<>();
    counts.forEach((cause, count) -> result.put(cause, count[0]));
    if (fragments.incompleteDatagrams() > 0) {
      result.put("datagrams whose fragments did not all come", fragments.incompleteDatagrams());
    }
    return result;
  }

  private boolean skip(String cause) {
    counts.computeIfAbsent(cause, c -> new long[1])[0]++;
    return false;
  }

  /** Decodes the packet into {@code segment}. Returns false if the packet holds no TCP segment. */
  public boolean decode(Packet packet, Segment segment) {
    output = segment;
    output.timestampNanos = packet.timestampNanos;
    byte[] buffer = packet.buffer;
    int offset = packet.offset;
    int end = offset + packet.length;
    int truncatedBytes = packet.originalLength - packet.length;
    if (packet.length == 0) {
      return skip("packets of no bytes");
    }
    switch (packet.linkType) {
      case 1: // Ethernet
        return decodeEthernet(buffer, offset + 12, end, truncatedBytes);
      case 113: // Linux cooked
        return decodeEthernet(buffer, offset + 14, end, truncatedBytes);
      case 276: // Linux cooked, version 2
        if (end - offset < 20) {
          return skip("packets cut in their headers");
        }
        return decodeEtherType(u16(buffer, offset), buffer, offset + 20, end, truncatedBytes);
      case 0: // BSD loopback; the address family is in the capturing machine's byte order
      case 108:
        return decodeIp(buffer, offset + 4, end, truncatedBytes);
      case 12, 14, 101, 228, 229: // raw IP
        return decodeIp(buffer, offset, end, truncatedBytes);
      default:
        return skip("packets of a link type that is not read");
    }
  }

  private boolean decodeEthernet(byte[] buffer, int offset, int end, int truncatedBytes) {
    int typeOffset = offset;
    for (int tags = 0; tags < 4 && typeOffset + 2 <= end; tags++) {
      int value = u16(buffer, typeOffset);
      if (value != 0x8100 && value != 0x88a8 && value != 0x9100) {
        return decodeEtherType(value, buffer, typeOffset + 2, end, truncatedBytes);
      }
      typeOffset += 4;
    }
    return skip("packets cut in their headers");
  }

  private boolean decodeEtherType(
      int type, byte[] buffer, int offset, int end, int truncatedBytes) {
    return type == 0x0800 || type == 0x86dd
        ? decodeIp(buffer, offset, end, truncatedBytes)
        : skip("packets that are not IP");
  }

  private boolean decodeIp(byte[] buffer, int offset, int end, int truncatedBytes) {
    if (offset >= end) {
      return skip("packets cut in their headers");
    }
    return switch (buffer[offset] >> 4 & 15) {
      case 4 -> decodeIpv4(buffer, offset, end, truncatedBytes);
      case 6 -> decodeIpv6(buffer, offset, end, truncatedBytes);
      default -> skip("packets that are not IP");
    };
  }

  private boolean decodeIpv4(byte[] buffer, int offset, int end, int truncatedBytes) {
    if (end - offset < 20) {
      return skip("packets cut in their headers");
    }
    int headerLength = (buffer[offset] & 15) * 4;
    int totalLength = u16(buffer, offset + 2);
    if (totalLength == 0) {
      totalLength =
          end
              - offset
              + truncatedBytes; // segmentation offload: the network card splits the packet later
    }
    if (headerLength < 20 || totalLength < headerLength) {
      return skip("packets whose lengths lie");
    }
    if (end - offset < headerLength) {
      return skip("packets cut in their headers");
    }
    // bytes after the datagram are padding; datagram bytes not in the packet were truncated
    int missingBytes = Math.max(0, totalLength - (end - offset));
    if (missingBytes > truncatedBytes) {
      return skip("packets whose lengths lie");
    }
    int payloadEnd = Math.min(end, offset + totalLength);
    output.sourceHigh = 0;
    output.sourceLow = IPV4_MAPPED_PREFIX | u32(buffer, offset + 12) & 0xFFFFFFFFL;
    output.destinationHigh = 0;
    output.destinationLow = IPV4_MAPPED_PREFIX | u32(buffer, offset + 16) & 0xFFFFFFFFL;
    int fragmentField = u16(buffer, offset + 6);
    if ((fragmentField & 0x3FFF) != 0) {
      return addFragment(
          buffer[offset + 9] & 0xFF,
          u16(buffer, offset + 4),
          (fragmentField & 0x1FFF) * 8,
          (fragmentField & 0x2000) != 0,
          buffer,
          offset + headerLength,
          payloadEnd,
          missingBytes);
    }
    return (buffer[offset + 9] & 0xFF) == TCP
        ? decodeTcp(buffer, offset + headerLength, payloadEnd, missingBytes)
        : skip("packets that are not TCP");
  }

  private boolean decodeIpv6(byte[] buffer, int offset, int end, int truncatedBytes) {
    if (end - offset < 40) {
      return skip("packets cut in their headers");
    }
    int payloadLength = u16(buffer, offset + 4);
    int totalLength = payloadLength == 0 ? end - offset + truncatedBytes : 40 + payloadLength;
    int missingBytes = Math.max(0, totalLength - (end - offset));
    if (missingBytes > truncatedBytes) {
      return skip("packets whose lengths lie");
    }
    int payloadEnd = Math.min(end, offset + totalLength);
    output.sourceHigh = u64(buffer, offset + 8);
    output.sourceLow = u64(buffer, offset + 16);
    output.destinationHigh = u64(buffer, offset + 24);
    output.destinationLow = u64(buffer, offset + 32);
    int nextHeader = buffer[offset + 6] & 0xFF;
    offset += 40;
    for (int headers = 0; headers < MAX_EXTENSION_HEADERS; headers++) {
      switch (nextHeader) {
        case TCP:
          return decodeTcp(buffer, offset, payloadEnd, missingBytes);
        case 0, 43, 60, 135: // hop-by-hop, routing, destination, mobility
        case 51: // authentication header: its length field counts units of four bytes
          if (payloadEnd - offset < 8) {
            return skip("packets cut in their headers");
          }
          int length =
              nextHeader == 51
                  ? ((buffer[offset + 1] & 0xFF) + 2) * 4
                  : ((buffer[offset + 1] & 0xFF) + 1) * 8;
          nextHeader = buffer[offset] & 0xFF;
          offset += length;
          break;
        case 44:
          if (payloadEnd - offset < 8) {
            return skip("packets cut in their headers");
          }
          int fragmentField = u16(buffer, offset + 2);
          if ((fragmentField & 0xFFF9) != 0) {
            return addFragment(
                buffer[offset] & 0xFF,
                u32(buffer, offset + 4),
                fragmentField & 0xFFF8,
                (fragmentField & 1) != 0,
                buffer,
                offset + 8,
                payloadEnd,
                missingBytes);
          }
          nextHeader = buffer[offset] & 0xFF;
          offset += 8;
          break;
        default:
          return skip("packets that are not TCP");
      }
      if (offset > payloadEnd) {
        return skip("packets whose lengths lie");
      }
    }
    return skip("packets of too many headers");
  }

  private boolean addFragment(
      int protocol,
      int datagramId,
      int fragmentOffset,
      boolean moreFragments,
      byte[] buffer,
      int payloadOffset,
      int payloadEnd,
      int missingBytes) {
    if (protocol != TCP) {
      return skip("packets that are not TCP");
    }
    if (missingBytes > 0) {
      return skip("fragments cut short");
    }
    byte[] datagram =
        fragments.add(
            output,
            datagramId,
            fragmentOffset,
            moreFragments,
            buffer,
            payloadOffset,
            payloadEnd - payloadOffset);
    return datagram != null && decodeTcp(datagram, 0, datagram.length, 0);
  }

  private boolean decodeTcp(byte[] buffer, int offset, int payloadEnd, int missingBytes) {
    if (payloadEnd - offset < 20) {
      return skip("packets cut in their headers");
    }
    int headerLength = (buffer[offset + 12] >> 4 & 15) * 4;
    if (headerLength < 20 || headerLength > payloadEnd - offset + missingBytes) {
      return skip("packets whose lengths lie");
    }
    if (headerLength > payloadEnd - offset) {
      return skip("packets cut in their headers");
    }
    output.sourcePort = u16(buffer, offset);
    output.destinationPort = u16(buffer, offset + 2);
    output.sequenceNumber = u32(buffer, offset + 4);
    output.ackNumber = u32(buffer, offset + 8);
    output.flags = buffer[offset + 13] & 0xFF;
    output.buffer = buffer;
    output.payloadOffset = offset + headerLength;
    output.payloadLength = payloadEnd - offset - headerLength;
    output.truncatedBytes = missingBytes;
    if (missingBytes > 0) {
      counts.computeIfAbsent("segments cut short by the capture", c -> new long[1])[0]++;
    }
    return true;
  }

  static int u16(byte[] buffer, int offset) {
    return (buffer[offset] & 0xFF) << 8 | buffer[offset + 1] & 0xFF;
  }

  static int u32(byte[] buffer, int offset) {
    return u16(buffer, offset) << 16 | u16(buffer, offset + 2);
  }

  static long u64(byte[] buffer, int offset) {
    return (long) u32(buffer, offset) << 32 | u32(buffer, offset + 4) & 0xFFFFFFFFL;
  }
}
