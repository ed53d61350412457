package gingerring.traffic.pcap;

import com.github.luben.zstd.ZstdInputStreamNoFinalizer;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.PushbackInputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.GZIPInputStream;

/**
 * Reads pcap (both byte orders, microseconds and nanoseconds) and pcapng, plain or compressed by
 * gzip or zstd, packet by packet in one buffer of {@link #BUFFER} bytes however long the file is.
 * After the last packet {@link #end} tells whether the file was whole; what stands before a cut or
 * a fault is read all the same.
 *
 * <p>Formats: draft-ietf-opsawg-pcap and draft-ietf-opsawg-pcapng.
 */
public final class CaptureReader implements Closeable {
  /**
   * How the file ended: not yet, whole, in the midst of a record, or where no record can be read.
   */
  public enum End {
    GOING,
    WHOLE,
    CUT,
    BROKEN
  }

  static final int BUFFER = 1 << 20;

  /** The longest packet that tcpdump writes; a length beyond it is taken for a fault. */
  static final int PACKET_MOST = 1 << 18;

  private static final int BLOCK_MOST = PACKET_MOST + (1 << 16);
  private static final int INTERFACES_MOST = 1024;
  private static final int MICROS = 0xa1b2c3d4;
  private static final int NANOS = 0xa1b23c4d;
  private static final int SECTION = 0x0a0d0d0a;
  private static final int ORDER = 0x1a2b3c4d;

  /** What a pcapng file says of an interface: its link, and how its times count. */
  private record Interface(int link, int snap, long unitsPerSecond, long offsetSeconds) {}

  private final String name;
  private final InputStream in;
  private byte[] buffer = new byte[BUFFER];
  private int at;
  private int filled;

  /** Where the buffer's first byte stands in the file once unpacked. */
  private long base;

  private boolean section;
  private boolean swapped;
  private boolean nanos;
  private int link;
  private List<Interface> interfaces = new ArrayList<>();
  private End end = End.GOING;
  private String why = "";
  private long drops;

  private CaptureReader(String name, InputStream in) throws IOException {
    this.name = name;
    this.in = in;
    if (!has(4)) {
      throw new NotReadable(
          name,
          filled,
          end != End.GOING
              ? "it cannot be unpacked"
              : filled == 0 ? "the file is empty" : "too short for a capture file");
    }
    int magic = u32raw(at);
    if (magic == SECTION) {
      section = true;
    } else {
      swapped = magic == Integer.reverseBytes(MICROS) || magic == Integer.reverseBytes(NANOS);
      int told = swapped ? Integer.reverseBytes(magic) : magic;
      if (told != MICROS && told != NANOS) {
        throw new NotReadable(name, 0, "neither pcap nor pcapng");
      }
      if (!has(24)) {
        throw new NotReadable(name, filled, "the file ends in its header");
      }
      nanos = told == NANOS;
      link = u32(at + 20) & 0xFFFF;
      at += 24;
    }
  }

  public static CaptureReader open(Path file) throws IOException {
    InputStream raw = Files.newInputStream(file);
    try {
      return new CaptureReader(file.toString(), unpacked(raw));
    } catch (NotReadable e) {
      raw.close();
      throw e;
    } catch (IOException e) {
      raw.close();
      throw new NotReadable(file.toString(), 0, String.valueOf(e.getMessage()));
    }
  }

  /** Reads from a stream that is not compressed; {@code name} is what complaints call it. */
  public static CaptureReader of(String name, InputStream in) throws IOException {
    return new CaptureReader(name, in);
  }

  private static InputStream unpacked(InputStream raw) throws IOException {
    PushbackInputStream peeked = new PushbackInputStream(raw, 4);
    byte[] head = peeked.readNBytes(4);
    peeked.unread(head);
    if (head.length == 4 && (head[0] & 0xFF) == 0x1f && (head[1] & 0xFF) == 0x8b) {
      return new GZIPInputStream(peeked, 1 << 16);
    }
    if (head.length == 4
        && (head[0] & 0xFF) == 0x28
        && (head[1] & 0xFF) == 0xb5
        && (head[2] & 0xFF) == 0x2f
        && (head[3] & 0xFF) == 0xfd) {
      return new ZstdInputStreamNoFinalizer(peeked);
    }
    return peeked;
  }

  /** Reads the next packet; false once there is none, and {@link #end} tells why. */
  public boolean next(Packet packet) {
    while (end == End.GOING) {
      if (!has(1)) {
        over(End.WHOLE, "");
      } else if (section ? block(packet) : plain(packet)) {
        return true;
      }
    }
    return false;
  }

  public End end() {
    return end;
  }

  /** Why the file ended as it did: empty where it was whole, else file, offset and cause. */
  public String why() {
    return why;
  }

  /** Where in the file, once unpacked, reading stands. */
  public long offset() {
    return base + at;
  }

  /** How many packets the file itself says its writer dropped; pcapng alone can tell. */
  public long drops() {
    return drops;
  }

  private boolean plain(Packet packet) {
    if (!has(16)) {
      return over(End.CUT, "the file ends in a packet's header");
    }
    long seconds = u32(at) & 0xFFFFFFFFL;
    long fraction = u32(at + 4) & 0xFFFFFFFFL;
    int length = u32(at + 8);
    int original = u32(at + 12);
    if (length < 0 || length > PACKET_MOST) {
      return over(End.BROKEN, "a packet of " + (length & 0xFFFFFFFFL) + " bytes");
    }
    if (!has(16 + length)) {
      return over(End.CUT, "the file ends in a packet");
    }
    packet.nanos = seconds * 1_000_000_000L + fraction * (nanos ? 1 : 1000);
    packet.link = link;
    fill(packet, at + 16, length, original);
    at += 16 + length;
    return true;
  }

  private void fill(Packet packet, int from, int length, int original) {
    packet.bytes = buffer;
    packet.at = from;
    packet.length = length;
    packet.original = Math.max(original, length);
  }

  /** One block; false where it holds no packet. */
  private boolean block(Packet packet) {
    if (!has(12)) {
      return over(End.CUT, "the file ends in a block's header");
    }
    int type = u32raw(at);
    if (type == SECTION) {
      int order = u32raw(at + 8);
      if (order != ORDER && order != Integer.reverseBytes(ORDER)) {
        return over(End.BROKEN, "a section of no byte order");
      }
      swapped = order != ORDER;
      interfaces = new ArrayList<>();
    }
    type = u32(at);
    int length = u32(at + 4);
    if (length < 12 || length % 4 != 0 || length > BLOCK_MOST) {
      return over(End.BROKEN, "a block of " + (length & 0xFFFFFFFFL) + " bytes");
    }
    if (!has(length)) {
      return over(End.CUT, "the file ends in a block");
    }
    if (u32(at + length - 4) != length) {
      return over(End.BROKEN, "a block whose two lengths differ");
    }
    int body = at + 8;
    int most = length - 12;
    at += length;
    return switch (type) {
      case 1 -> described(body, most);
      case 2, 6 -> enhanced(packet, type, body, most);
      case 3 -> simple(packet, body, most);
      case 5 -> statistics(body, most);
      default -> false; // names, decryption secrets, blocks of other makers
    };
  }

  private boolean described(int body, int most) {
    if (most < 8 || interfaces.size() == INTERFACES_MOST) {
      return over(End.BROKEN, "an interface that cannot be");
    }
    long units = 1_000_000;
    long offset = 0;
    for (int option = body + 8; option + 4 <= body + most; ) {
      int code = u16(option);
      int size = u16(option + 2);
      if (code == 0 || option + 4 + size > body + most) {
        break;
      }
      if (code == 9 && size >= 1) {
        int resolution = buffer[option + 4];
        int power = resolution & 0x7F;
        if (resolution < 0 ? power > 62 : power > 18) {
          return over(End.BROKEN, "an interface whose times count in no known unit");
        }
        units = resolution < 0 ? 1L << power : pow10(power);
      } else if (code == 14 && size >= 8) {
        offset = u64(option + 4);
      }
      option += 4 + (size + 3 & ~3);
    }
    interfaces.add(new Interface(u16(body), u32(body + 4), units, offset));
    return false;
  }

  private boolean enhanced(Packet packet, int type, int body, int most) {
    if (most < 20) {
      return over(End.BROKEN, "a packet's block too short for one");
    }
    int number = type == 2 ? u16(body) : u32(body);
    int length = u32(body + 12);
    if (number < 0 || number >= interfaces.size()) {
      return over(End.BROKEN, "a packet of an interface that is not described");
    }
    if (length < 0 || length > most - 20) {
      return over(End.BROKEN, "a packet longer than its block");
    }
    Interface from = interfaces.get(number);
    long time = (u32(body + 4) & 0xFFFFFFFFL) << 32 | u32(body + 8) & 0xFFFFFFFFL;
    long seconds = Long.divideUnsigned(time, from.unitsPerSecond);
    long rest = Long.remainderUnsigned(time, from.unitsPerSecond);
    packet.nanos =
        (seconds + from.offsetSeconds) * 1_000_000_000L
            + (long) (rest * (1e9 / from.unitsPerSecond) + 0.5);
    packet.link = from.link;
    fill(packet, body + 20, length, u32(body + 16));
    return true;
  }

  /** A simple block has no time of its own: it keeps that of the packet before. */
  private boolean simple(Packet packet, int body, int most) {
    if (interfaces.isEmpty() || most < 4) {
      return over(End.BROKEN, "a packet of an interface that is not described");
    }
    int original = u32(body);
    int snap = interfaces.get(0).snap;
    int length =
        (int)
            Math.min(
                Math.min(original & 0xFFFFFFFFL, most - 4), snap > 0 ? snap : Integer.MAX_VALUE);
    packet.link = interfaces.get(0).link;
    fill(packet, body + 4, length, original);
    return true;
  }

  private boolean statistics(int body, int most) {
    for (int option = body + 12; option + 4 <= body + most; ) {
      int code = u16(option);
      int size = u16(option + 2);
      if (code == 0 || option + 4 + size > body + most) {
        break;
      }
      if (code == 5 && size == 8) {
        drops += u64(option + 4);
      }
      option += 4 + (size + 3 & ~3);
    }
    return false;
  }

  private static long pow10(int power) {
    long value = 1;
    for (int i = 0; i < power; i++) {
      value *= 10;
    }
    return value;
  }

  private boolean over(End how, String cause) {
    if (end != End.GOING) {
      return false; // the first cause is the true one
    }
    end = how;
    why = how == End.WHOLE ? "" : name + ": offset " + offset() + ": " + cause;
    return false;
  }

  /**
   * Whether so many bytes stand in the buffer from {@code at} on, once more have been read if need
   * be.
   */
  private boolean has(int count) {
    if (filled - at >= count) {
      return true;
    }
    System.arraycopy(buffer, at, buffer, 0, filled - at);
    base += at;
    filled -= at;
    at = 0;
    try {
      while (filled < count) {
        int read = in.read(buffer, filled, buffer.length - filled);
        if (read < 0) {
          return false;
        }
        filled += read;
      }
      return true;
    } catch (EOFException e) {
      over(End.CUT, "the compressed file ends early");
    } catch (IOException e) {
      over(End.CUT, "the file cannot be read on: " + e.getMessage());
    }
    return false;
  }

  /** In the file's own byte order, which is big endian unless {@code swapped}. */
  private int u32(int from) {
    int raw = u32raw(from);
    return swapped ? Integer.reverseBytes(raw) : raw;
  }

  private int u32raw(int from) {
    return (buffer[from] & 0xFF) << 24
        | (buffer[from + 1] & 0xFF) << 16
        | (buffer[from + 2] & 0xFF) << 8
        | buffer[from + 3] & 0xFF;
  }

  private int u16(int from) {
    int one = buffer[from] & 0xFF;
    int other = buffer[from + 1] & 0xFF;
    return swapped ? other << 8 | one : one << 8 | other;
  }

  private long u64(int from) {
    long one = u32(from) & 0xFFFFFFFFL;
    long other = u32(from + 4) & 0xFFFFFFFFL;
    return swapped ? other << 32 | one : one << 32 | other;
  }

  @Override
  public void close() throws IOException {
    in.close();
  }
}
