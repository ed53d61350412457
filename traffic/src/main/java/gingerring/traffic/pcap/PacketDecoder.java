package gingerring.traffic.pcap;

import java.util.Map;
import java.util.TreeMap;

/**
 * Takes a packet apart down to its TCP segment: Ethernet with VLAN tags, raw IP, Linux cooked (1
 * and 2) and loopback; IPv4 with fragments, IPv6 with extension headers. Checksums are not judged,
 * since a capture on the sending machine sees them before the card fills them in. What holds no
 * segment is counted by cause.
 */
public final class PacketDecoder {
  private static final int TCP = 6;
  private static final long IPV4_MAPPED_PREFIX = 0xFFFF00000000L;
  private static final int MAX_EXTENSION_HEADERS = 16;

  private final Map<String, long[]> counts = new TreeMap<>();
  private final FragmentReassembler fragments = new FragmentReassembler();
  private Segment output;

  /** What was not read, by cause, with how many packets. */
  public Map<String, Long> counts() {
    Map<String, Long> all = new TreeMap<>();
    counts.forEach((cause, many) -> all.put(cause, many[0]));
    if (fragments.incompleteDatagrams() > 0) {
      all.put("datagrams whose fragments did not all come", fragments.incompleteDatagrams());
    }
    return all;
  }

  private boolean skip(String cause) {
    counts.computeIfAbsent(cause, c -> new long[1])[0]++;
    return false;
  }

  /** Fills the segment; false where the packet holds none. */
  public boolean decode(Packet packet, Segment segment) {
    output = segment;
    output.timestampNanos = packet.timestampNanos;
    byte[] b = packet.buffer;
    int at = packet.offset;
    int end = at + packet.length;
    int beyond = packet.originalLength - packet.length;
    if (packet.length == 0) {
      return skip("packets of no bytes");
    }
    switch (packet.linkType) {
      case 1: // Ethernet
        return decodeEthernet(b, at + 12, end, beyond);
      case 113: // Linux cooked
        return decodeEthernet(b, at + 14, end, beyond);
      case 276: // Linux cooked, version 2
        if (end - at < 20) {
          return skip("packets cut in their headers");
        }
        return decodeEtherType(u16(b, at), b, at + 20, end, beyond);
      case 0: // BSD loopback, the family in the capturing machine's byte order
      case 108:
        return decodeIp(b, at + 4, end, beyond);
      case 12, 14, 101, 228, 229: // raw IP
        return decodeIp(b, at, end, beyond);
      default:
        return skip("packets of a link type that is not read");
    }
  }

  private boolean decodeEthernet(byte[] b, int at, int end, int beyond) {
    int type = at;
    for (int tags = 0; tags < 4 && type + 2 <= end; tags++) {
      int value = u16(b, type);
      if (value != 0x8100 && value != 0x88a8 && value != 0x9100) {
        return decodeEtherType(value, b, type + 2, end, beyond);
      }
      type += 4;
    }
    return skip("packets cut in their headers");
  }

  private boolean decodeEtherType(int type, byte[] b, int at, int end, int beyond) {
    return type == 0x0800 || type == 0x86dd
        ? decodeIp(b, at, end, beyond)
        : skip("packets that are not IP");
  }

  private boolean decodeIp(byte[] b, int at, int end, int beyond) {
    if (at >= end) {
      return skip("packets cut in their headers");
    }
    return switch (b[at] >> 4 & 15) {
      case 4 -> decodeIpv4(b, at, end, beyond);
      case 6 -> decodeIpv6(b, at, end, beyond);
      default -> skip("packets that are not IP");
    };
  }

  private boolean decodeIpv4(byte[] b, int at, int end, int beyond) {
    if (end - at < 20) {
      return skip("packets cut in their headers");
    }
    int head = (b[at] & 15) * 4;
    int total = u16(b, at + 2);
    if (total == 0) {
      total = end - at + beyond; // the card cuts it into segments later
    }
    if (head < 20 || total < head) {
      return skip("packets whose lengths lie");
    }
    if (end - at < head) {
      return skip("packets cut in their headers");
    }
    // what follows the datagram is padding; what it has and the packet lacks was cut
    int cut = Math.max(0, total - (end - at));
    if (cut > beyond) {
      return skip("packets whose lengths lie");
    }
    int stop = Math.min(end, at + total);
    output.sourceHigh = 0;
    output.sourceLow = IPV4_MAPPED_PREFIX | u32(b, at + 12) & 0xFFFFFFFFL;
    output.destinationHigh = 0;
    output.destinationLow = IPV4_MAPPED_PREFIX | u32(b, at + 16) & 0xFFFFFFFFL;
    int placing = u16(b, at + 6);
    if ((placing & 0x3FFF) != 0) {
      return addFragment(
          b[at + 9] & 0xFF,
          u16(b, at + 4),
          (placing & 0x1FFF) * 8,
          (placing & 0x2000) != 0,
          b,
          at + head,
          stop,
          cut);
    }
    return (b[at + 9] & 0xFF) == TCP
        ? decodeTcp(b, at + head, stop, cut)
        : skip("packets that are not TCP");
  }

  private boolean decodeIpv6(byte[] b, int at, int end, int beyond) {
    if (end - at < 40) {
      return skip("packets cut in their headers");
    }
    int payload = u16(b, at + 4);
    int total = payload == 0 ? end - at + beyond : 40 + payload;
    int cut = Math.max(0, total - (end - at));
    if (cut > beyond) {
      return skip("packets whose lengths lie");
    }
    int stop = Math.min(end, at + total);
    output.sourceHigh = u64(b, at + 8);
    output.sourceLow = u64(b, at + 16);
    output.destinationHigh = u64(b, at + 24);
    output.destinationLow = u64(b, at + 32);
    int next = b[at + 6] & 0xFF;
    at += 40;
    for (int headers = 0; headers < MAX_EXTENSION_HEADERS; headers++) {
      switch (next) {
        case TCP:
          return decodeTcp(b, at, stop, cut);
        case 0, 43, 60, 135: // hop by hop, routing, destination, mobility
        case 51: // authentication, which counts in units of four
          if (stop - at < 8) {
            return skip("packets cut in their headers");
          }
          int length = next == 51 ? ((b[at + 1] & 0xFF) + 2) * 4 : ((b[at + 1] & 0xFF) + 1) * 8;
          next = b[at] & 0xFF;
          at += length;
          break;
        case 44:
          if (stop - at < 8) {
            return skip("packets cut in their headers");
          }
          int placing = u16(b, at + 2);
          if ((placing & 0xFFF9) != 0) {
            return addFragment(
                b[at] & 0xFF,
                u32(b, at + 4),
                placing & 0xFFF8,
                (placing & 1) != 0,
                b,
                at + 8,
                stop,
                cut);
          }
          next = b[at] & 0xFF;
          at += 8;
          break;
        default:
          return skip("packets that are not TCP");
      }
      if (at > stop) {
        return skip("packets whose lengths lie");
      }
    }
    return skip("packets of too many headers");
  }

  private boolean addFragment(
      int protocol, int id, int offset, boolean more, byte[] b, int at, int stop, int cut) {
    if (protocol != TCP) {
      return skip("packets that are not TCP");
    }
    if (cut > 0) {
      return skip("fragments cut short");
    }
    byte[] whole = fragments.add(output, id, offset, more, b, at, stop - at);
    return whole != null && decodeTcp(whole, 0, whole.length, 0);
  }

  private boolean decodeTcp(byte[] b, int at, int stop, int cut) {
    if (stop - at < 20) {
      return skip("packets cut in their headers");
    }
    int head = (b[at + 12] >> 4 & 15) * 4;
    if (head < 20 || head > stop - at + cut) {
      return skip("packets whose lengths lie");
    }
    if (head > stop - at) {
      return skip("packets cut in their headers");
    }
    output.sourcePort = u16(b, at);
    output.destinationPort = u16(b, at + 2);
    output.sequenceNumber = u32(b, at + 4);
    output.ackNumber = u32(b, at + 8);
    output.flags = b[at + 13] & 0xFF;
    output.buffer = b;
    output.payloadOffset = at + head;
    output.payloadLength = stop - at - head;
    output.truncatedBytes = cut;
    if (cut > 0) {
      counts.computeIfAbsent("segments cut short by the capture", c -> new long[1])[0]++;
    }
    return true;
  }

  static int u16(byte[] b, int at) {
    return (b[at] & 0xFF) << 8 | b[at + 1] & 0xFF;
  }

  static int u32(byte[] b, int at) {
    return u16(b, at) << 16 | u16(b, at + 2);
  }

  static long u64(byte[] b, int at) {
    return (long) u32(b, at) << 32 | u32(b, at + 4) & 0xFFFFFFFFL;
  }
}
