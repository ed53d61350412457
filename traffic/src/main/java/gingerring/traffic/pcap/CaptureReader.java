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
 * gzip or zstd, packet by packet in one buffer of {@link #BUFFER_BYTES} bytes, however long the
 * file is. After the last packet {@link #endState} gives whether the file was complete. Packets
 * before a truncation or a fault are read all the same.
 *
 * <p>Formats: draft-ietf-opsawg-pcap and draft-ietf-opsawg-pcapng.
 */
public final class CaptureReader implements Closeable {
  /**
   * How reading ended: not yet ({@code GOING}), at a record boundary ({@code WHOLE}), inside a
   * record ({@code CUT}), or at bytes that are no valid record ({@code BROKEN}).
   */
  public enum EndState {
    GOING,
    WHOLE,
    CUT,
    BROKEN
  }

  static final int BUFFER_BYTES = 1 << 20;

  /** The longest packet that tcpdump writes. A greater length is treated as file corruption. */
  static final int MAX_PACKET_BYTES = 1 << 18;

  private static final int MAX_BLOCK_BYTES = MAX_PACKET_BYTES + (1 << 16);
  private static final int MAX_INTERFACES = 1024;
  private static final int PCAP_MICROS_MAGIC = 0xa1b2c3d4;
  private static final int PCAP_NANOS_MAGIC = 0xa1b23c4d;
  private static final int SECTION_HEADER_BLOCK = 0x0a0d0d0a;
  private static final int BYTE_ORDER_MAGIC = 0x1a2b3c4d;

  /**
   * A pcapng interface description: its link type, snap length, and the unit and offset of its
   * timestamps.
   */
  private record Interface(int linkType, int snapLength, long unitsPerSecond, long offsetSeconds) {}

  private final String fileName;
  private final InputStream input;
  private byte[] buffer = new byte[BUFFER_BYTES];
  private int position;
  private int limit;

  /** Offset of the buffer's first byte in the decompressed file. */
  private long bufferOffset;

  private boolean isPcapng;
  private boolean littleEndian;
  private boolean nanosecondFractions;
  private int linkType;
  private List<Interface> interfaces = new ArrayList<>();
  private EndState endState = EndState.GOING;
  private String endReason = "";
  private long droppedPackets;

  private CaptureReader(String fileName, InputStream input) throws IOException {
    this.fileName = fileName;
    this.input = input;
    if (!ensureBuffered(4)) {
      throw new UnreadableCaptureException(
          fileName,
          limit,
          endState != EndState.GOING
              ? "the file cannot be decompressed"
              : limit == 0 ? "the file is empty" : "the file is too short for a capture file");
    }
    int magic = u32BigEndian(position);
    if (magic == SECTION_HEADER_BLOCK) {
      isPcapng = true;
    } else {
      littleEndian =
          magic == Integer.reverseBytes(PCAP_MICROS_MAGIC)
              || magic == Integer.reverseBytes(PCAP_NANOS_MAGIC);
      int normalizedMagic = littleEndian ? Integer.reverseBytes(magic) : magic;
      if (normalizedMagic != PCAP_MICROS_MAGIC && normalizedMagic != PCAP_NANOS_MAGIC) {
        throw new UnreadableCaptureException(fileName, 0, "neither pcap nor pcapng");
      }
      if (!ensureBuffered(24)) {
        throw new UnreadableCaptureException(fileName, limit, "the file ends inside its header");
      }
      nanosecondFractions = normalizedMagic == PCAP_NANOS_MAGIC;
      linkType = u32(position + 20) & 0xFFFF;
      position += 24;
    }
  }

  public static CaptureReader open(Path file) throws IOException {
    InputStream fileInput = Files.newInputStream(file);
    try {
      return new CaptureReader(file.toString(), decompress(fileInput));
    } catch (UnreadableCaptureException e) {
      fileInput.close();
      throw e;
    } catch (IOException e) {
      fileInput.close();
      throw new UnreadableCaptureException(file.toString(), 0, String.valueOf(e.getMessage()));
    }
  }

  /** Reads from an uncompressed stream. {@code fileName} names the stream in error messages. */
  public static CaptureReader fromStream(String fileName, InputStream input) throws IOException {
    return new CaptureReader(fileName, input);
  }

  private static InputStream decompress(InputStream fileInput) throws IOException {
    PushbackInputStream pushback = new PushbackInputStream(fileInput, 4);
    byte[] magic = pushback.readNBytes(4);
    pushback.unread(magic);
    if (magic.length == 4 && (magic[0] & 0xFF) == 0x1f && (magic[1] & 0xFF) == 0x8b) {
      return new GZIPInputStream(pushback, 1 << 16);
    }
    if (magic.length == 4
        && (magic[0] & 0xFF) == 0x28
        && (magic[1] & 0xFF) == 0xb5
        && (magic[2] & 0xFF) == 0x2f
        && (magic[3] & 0xFF) == 0xfd) {
      return new ZstdInputStreamNoFinalizer(pushback);
    }
    return pushback;
  }

  /**
   * Reads the next packet. Returns false after the last one; {@link #endState} then gives the
   * reason.
   */
  public boolean next(Packet packet) {
    while (endState == EndState.GOING) {
      if (!ensureBuffered(1)) {
        endAs(EndState.WHOLE, "");
      } else if (isPcapng ? readBlock(packet) : readPcapRecord(packet)) {
        return true;
      }
    }
    return false;
  }

  public EndState endState() {
    return endState;
  }

  /** Why reading ended: empty for a complete file, else file name, offset and cause. */
  public String endReason() {
    return endReason;
  }

  /** The current offset in the decompressed file. */
  public long offset() {
    return bufferOffset + position;
  }

  /**
   * How many packets the capturing program dropped, as recorded in the file. Only pcapng records
   * this.
   */
  public long droppedPackets() {
    return droppedPackets;
  }

  private boolean readPcapRecord(Packet packet) {
    if (!ensureBuffered(16)) {
      return endAs(EndState.CUT, "the file ends inside a packet header");
    }
    long seconds = u32(position) & 0xFFFFFFFFL;
    long fraction = u32(position + 4) & 0xFFFFFFFFL;
    int length = u32(position + 8);
    int originalLength = u32(position + 12);
    if (length < 0 || length > MAX_PACKET_BYTES) {
      return endAs(EndState.BROKEN, "packet length " + (length & 0xFFFFFFFFL) + " is out of range");
    }
    if (!ensureBuffered(16 + length)) {
      return endAs(EndState.CUT, "the file ends inside a packet");
    }
    packet.timestampNanos = seconds * 1_000_000_000L + fraction * (nanosecondFractions ? 1 : 1000);
    packet.linkType = linkType;
    setData(packet, position + 16, length, originalLength);
    position += 16 + length;
    return true;
  }

  private void setData(Packet packet, int dataOffset, int length, int originalLength) {
    packet.buffer = buffer;
    packet.offset = dataOffset;
    packet.length = length;
    packet.originalLength = Math.max(originalLength, length);
  }

  /** Reads one pcapng block. Returns false if the block holds no packet. */
  private boolean readBlock(Packet packet) {
    if (!ensureBuffered(12)) {
      return endAs(EndState.CUT, "the file ends inside a block header");
    }
    int type = u32BigEndian(position);
    if (type == SECTION_HEADER_BLOCK) {
      int byteOrderMagic = u32BigEndian(position + 8);
      if (byteOrderMagic != BYTE_ORDER_MAGIC
          && byteOrderMagic != Integer.reverseBytes(BYTE_ORDER_MAGIC)) {
        return endAs(EndState.BROKEN, "section header without a valid byte-order magic");
      }
      littleEndian = byteOrderMagic != BYTE_ORDER_MAGIC;
      interfaces = new ArrayList<>();
    }
    type = u32(position);
    int length = u32(position + 4);
    if (length < 12 || length % 4 != 0 || length > MAX_BLOCK_BYTES) {
      return endAs(EndState.BROKEN, "block length " + (length & 0xFFFFFFFFL) + " is invalid");
    }
    if (!ensureBuffered(length)) {
      return endAs(EndState.CUT, "the file ends inside a block");
    }
    if (u32(position + length - 4) != length) {
      return endAs(EndState.BROKEN, "the two length fields of a block differ");
    }
    int bodyOffset = position + 8;
    int bodyLength = length - 12;
    position += length;
    return switch (type) {
      case 1 -> readInterfaceBlock(bodyOffset, bodyLength);
      case 2, 6 -> readPacketBlock(packet, type, bodyOffset, bodyLength);
      case 3 -> readSimplePacketBlock(packet, bodyOffset, bodyLength);
      case 5 -> readStatisticsBlock(bodyOffset, bodyLength);
      default -> false; // name resolution, decryption secrets, vendor blocks
    };
  }

  private boolean readInterfaceBlock(int bodyOffset, int bodyLength) {
    if (bodyLength < 8 || interfaces.size() == MAX_INTERFACES) {
      return endAs(
          EndState.BROKEN, "interface block is too short, or there are too many interfaces");
    }
    long unitsPerSecond = 1_000_000;
    long offsetSeconds = 0;
    for (int option = bodyOffset + 8; option + 4 <= bodyOffset + bodyLength; ) {
      int code = u16(option);
      int size = u16(option + 2);
      if (code == 0 || option + 4 + size > bodyOffset + bodyLength) {
        break;
      }
      if (code == 9 && size >= 1) {
        int resolution = buffer[option + 4];
        int power = resolution & 0x7F;
        if (resolution < 0 ? power > 62 : power > 18) {
          return endAs(EndState.BROKEN, "interface with an unsupported timestamp resolution");
        }
        unitsPerSecond = resolution < 0 ? 1L << power : powerOfTen(power);
      } else if (code == 14 && size >= 8) {
        offsetSeconds = u64(option + 4);
      }
      option += 4 + (size + 3 & ~3);
    }
    interfaces.add(
        new Interface(u16(bodyOffset), u32(bodyOffset + 4), unitsPerSecond, offsetSeconds));
    return false;
  }

  private boolean readPacketBlock(Packet packet, int type, int bodyOffset, int bodyLength) {
    if (bodyLength < 20) {
      return endAs(EndState.BROKEN, "packet block is too short");
    }
    int interfaceId = type == 2 ? u16(bodyOffset) : u32(bodyOffset);
    int length = u32(bodyOffset + 12);
    if (interfaceId < 0 || interfaceId >= interfaces.size()) {
      return endAs(EndState.BROKEN, "packet of an interface without a description");
    }
    if (length < 0 || length > bodyLength - 20) {
      return endAs(EndState.BROKEN, "packet is longer than its block");
    }
    Interface source = interfaces.get(interfaceId);
    long timestamp = (u32(bodyOffset + 4) & 0xFFFFFFFFL) << 32 | u32(bodyOffset + 8) & 0xFFFFFFFFL;
    long seconds = Long.divideUnsigned(timestamp, source.unitsPerSecond);
    long fraction = Long.remainderUnsigned(timestamp, source.unitsPerSecond);
    packet.timestampNanos =
        (seconds + source.offsetSeconds) * 1_000_000_000L
            + (long) (fraction * (1e9 / source.unitsPerSecond) + 0.5);
    packet.linkType = source.linkType;
    setData(packet, bodyOffset + 20, length, u32(bodyOffset + 16));
    return true;
  }

  /**
   * Reads a simple packet block, which carries no timestamp: the packet keeps the time of the
   * packet before it.
   */
  private boolean readSimplePacketBlock(Packet packet, int bodyOffset, int bodyLength) {
    if (interfaces.isEmpty() || bodyLength < 4) {
      return endAs(EndState.BROKEN, "packet of an interface without a description");
    }
    int originalLength = u32(bodyOffset);
    int snapLength = interfaces.get(0).snapLength;
    int length =
        (int)
            Math.min(
                Math.min(originalLength & 0xFFFFFFFFL, bodyLength - 4),
                snapLength > 0 ? snapLength : Integer.MAX_VALUE);
    packet.linkType = interfaces.get(0).linkType;
    setData(packet, bodyOffset + 4, length, originalLength);
    return true;
  }

  private boolean readStatisticsBlock(int bodyOffset, int bodyLength) {
    for (int option = bodyOffset + 12; option + 4 <= bodyOffset + bodyLength; ) {
      int code = u16(option);
      int size = u16(option + 2);
      if (code == 0 || option + 4 + size > bodyOffset + bodyLength) {
        break;
      }
      if (code == 5 && size == 8) {
        droppedPackets += u64(option + 4);
      }
      option += 4 + (size + 3 & ~3);
    }
    return false;
  }

  private static long powerOfTen(int power) {
    long value = 1;
    for (int i = 0; i < power; i++) {
      value *= 10;
    }
    return value;
  }

  private boolean endAs(EndState state, String cause) {
    if (endState != EndState.GOING) {
      return false; // the first cause is the actual one
    }
    endState = state;
    endReason = state == EndState.WHOLE ? "" : fileName + ": offset " + offset() + ": " + cause;
    return false;
  }

  /**
   * Whether {@code count} bytes are buffered from {@code position} on, after reading more input if
   * necessary.
   */
  private boolean ensureBuffered(int count) {
    if (limit - position >= count) {
      return true;
    }
    System.arraycopy(buffer, position, buffer, 0, limit - position);
    bufferOffset += position;
    limit -= position;
    position = 0;
    try {
      while (limit < count) {
        int read = input.read(buffer, limit, buffer.length - limit);
        if (read < 0) {
          return false;
        }
        limit += read;
      }
      return true;
    } catch (EOFException e) {
      endAs(EndState.CUT, "the compressed data ends early");
    } catch (IOException e) {
      endAs(EndState.CUT, "the file cannot be read further: " + e.getMessage());
    }
    return false;
  }

  /** An unsigned 32-bit value in the file's byte order: big endian unless {@code littleEndian}. */
  private int u32(int offset) {
    int raw = u32BigEndian(offset);
    return littleEndian ? Integer.reverseBytes(raw) : raw;
  }

  private int u32BigEndian(int offset) {
    return (buffer[offset] & 0xFF) << 24
        | (buffer[offset + 1] & 0xFF) << 16
        | (buffer[offset + 2] & 0xFF) << 8
        | buffer[offset + 3] & 0xFF;
  }

  private int u16(int offset) {
    int firstByte = buffer[offset] & 0xFF;
    int secondByte = buffer[offset + 1] & 0xFF;
    return littleEndian ? secondByte << 8 | firstByte : firstByte << 8 | secondByte;
  }

  private long u64(int offset) {
    long firstWord = u32(offset) & 0xFFFFFFFFL;
    long secondWord = u32(offset + 4) & 0xFFFFFFFFL;
    return littleEndian ? secondWord << 32 | firstWord : firstWord << 32 | secondWord;
  }

  @Override
  public void close() throws IOException {
    input.close();
  }
}
