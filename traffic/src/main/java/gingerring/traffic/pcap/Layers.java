package gingerring.traffic.pcap;

import java.util.Map;
import java.util.TreeMap;

/**
 * Takes a packet apart down to its TCP segment: Ethernet with VLAN tags, raw IP, Linux cooked (1
 * and 2) and loopback; IPv4 with fragments, IPv6 with extension headers. Checksums are not judged,
 * since a capture on the sending machine sees them before the card fills them in. What holds no
 * segment is counted by cause.
 */
public final class Layers {
  private static final int TCP = 6;
  private static final long MAPPED = 0xFFFF00000000L;
  private static final int HEADERS_MOST = 16;

  private final Map<String, long[]> counts = new TreeMap<>();
  private final Fragments fragments = new Fragments();
  private Segment into;

  /** What was not read, by cause, with how many packets. */
  public Map<String, Long> counts() {
    Map<String, Long> all = new TreeMap<>();
    counts.forEach((cause, many) -> all.put(cause, many[0]));
    if (fragments.lost() > 0) {
      all.put("datagrams whose fragments did not all come", fragments.lost());
    }
    return all;
  }

  private boolean no(String cause) {
    counts.computeIfAbsent(cause, c -> new long[1])[0]++;
    return false;
  }

  /** Fills the segment; false where the packet holds none. */
  public boolean read(Packet packet, Segment segment) {
    into = segment;
    into.nanos = packet.nanos;
    byte[] b = packet.bytes;
    int at = packet.at;
    int end = at + packet.length;
    int beyond = packet.original - packet.length;
    if (packet.length == 0) {
      return no("packets of no bytes");
    }
    switch (packet.link) {
      case 1: // Ethernet
        return ether(b, at + 12, end, beyond);
      case 113: // Linux cooked
        return ether(b, at + 14, end, beyond);
      case 276: // Linux cooked, version 2
        if (end - at < 20) {
          return no("packets cut in their headers");
        }
        return typed(u16(b, at), b, at + 20, end, beyond);
      case 0: // BSD loopback, the family in the capturing machine's byte order
      case 108:
        return ip(b, at + 4, end, beyond);
      case 12, 14, 101, 228, 229: // raw IP
        return ip(b, at, end, beyond);
      default:
        return no("packets of a link type that is not read");
    }
  }

  private boolean ether(byte[] b, int at, int end, int beyond) {
    int type = at;
    for (int tags = 0; tags < 4 && type + 2 <= end; tags++) {
      int value = u16(b, type);
      if (value != 0x8100 && value != 0x88a8 && value != 0x9100) {
        return typed(value, b, type + 2, end, beyond);
      }
      type += 4;
    }
    return no("packets cut in their headers");
  }

  private boolean typed(int type, byte[] b, int at, int end, int beyond) {
    return type == 0x0800 || type == 0x86dd
        ? ip(b, at, end, beyond)
        : no("packets that are not IP");
  }

  private boolean ip(byte[] b, int at, int end, int beyond) {
    if (at >= end) {
      return no("packets cut in their headers");
    }
    return switch (b[at] >> 4 & 15) {
      case 4 -> four(b, at, end, beyond);
      case 6 -> six(b, at, end, beyond);
      default -> no("packets that are not IP");
    };
  }

  private boolean four(byte[] b, int at, int end, int beyond) {
    if (end - at < 20) {
      return no("packets cut in their headers");
    }
    int head = (b[at] & 15) * 4;
    int total = u16(b, at + 2);
    if (total == 0) {
      total = end - at + beyond; // the card cuts it into segments later
    }
    if (head < 20 || total < head) {
      return no("packets whose lengths lie");
    }
    if (end - at < head) {
      return no("packets cut in their headers");
    }
    // what follows the datagram is padding; what it has and the packet lacks was cut
    int cut = Math.max(0, total - (end - at));
    if (cut > beyond) {
      return no("packets whose lengths lie");
    }
    int stop = Math.min(end, at + total);
    into.fromHigh = 0;
    into.fromLow = MAPPED | u32(b, at + 12) & 0xFFFFFFFFL;
    into.toHigh = 0;
    into.toLow = MAPPED | u32(b, at + 16) & 0xFFFFFFFFL;
    int placing = u16(b, at + 6);
    if ((placing & 0x3FFF) != 0) {
      return fragment(
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
        ? tcp(b, at + head, stop, cut)
        : no("packets that are not TCP");
  }

  private boolean six(byte[] b, int at, int end, int beyond) {
    if (end - at < 40) {
      return no("packets cut in their headers");
    }
    int payload = u16(b, at + 4);
    int total = payload == 0 ? end - at + beyond : 40 + payload;
    int cut = Math.max(0, total - (end - at));
    if (cut > beyond) {
      return no("packets whose lengths lie");
    }
    int stop = Math.min(end, at + total);
    into.fromHigh = u64(b, at + 8);
    into.fromLow = u64(b, at + 16);
    into.toHigh = u64(b, at + 24);
    into.toLow = u64(b, at + 32);
    int next = b[at + 6] & 0xFF;
    at += 40;
    for (int headers = 0; headers < HEADERS_MOST; headers++) {
      switch (next) {
        case TCP:
          return tcp(b, at, stop, cut);
        case 0, 43, 60, 135: // hop by hop, routing, destination, mobility
        case 51: // authentication, which counts in units of four
          if (stop - at < 8) {
            return no("packets cut in their headers");
          }
          int length = next == 51 ? ((b[at + 1] & 0xFF) + 2) * 4 : ((b[at + 1] & 0xFF) + 1) * 8;
          next = b[at] & 0xFF;
          at += length;
          break;
        case 44:
          if (stop - at < 8) {
            return no("packets cut in their headers");
          }
          int placing = u16(b, at + 2);
          if ((placing & 0xFFF9) != 0) {
            return fragment(
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
          return no("packets that are not TCP");
      }
      if (at > stop) {
        return no("packets whose lengths lie");
      }
    }
    return no("packets of too many headers");
  }

  private boolean fragment(
      int protocol, int id, int offset, boolean more, byte[] b, int at, int stop, int cut) {
    if (protocol != TCP) {
      return no("packets that are not TCP");
    }
    if (cut > 0) {
      return no("fragments cut short");
    }
    byte[] whole = fragments.add(into, id, offset, more, b, at, stop - at);
    return whole != null && tcp(whole, 0, whole.length, 0);
  }

  private boolean tcp(byte[] b, int at, int stop, int cut) {
    if (stop - at < 20) {
      return no("packets cut in their headers");
    }
    int head = (b[at + 12] >> 4 & 15) * 4;
    if (head < 20 || head > stop - at + cut) {
      return no("packets whose lengths lie");
    }
    if (head > stop - at) {
      return no("packets cut in their headers");
    }
    into.fromPort = u16(b, at);
    into.toPort = u16(b, at + 2);
    into.sequence = u32(b, at + 4);
    into.acknowledged = u32(b, at + 8);
    into.flags = b[at + 13] & 0xFF;
    into.bytes = b;
    into.at = at + head;
    into.length = stop - at - head;
    into.missing = cut;
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
