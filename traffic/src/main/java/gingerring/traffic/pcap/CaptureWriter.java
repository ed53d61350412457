package gingerring.traffic.pcap;

import com.github.luben.zstd.ZstdOutputStream;
import java.io.BufferedOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.zip.GZIPOutputStream;

/**
 * Writes one capture file. The name tells the form: pcapng where it holds {@code .pcapng}, else
 * pcap with nanoseconds; compressed where it ends in {@code .gz} or {@code .zst}. The file stands
 * under its name with {@code .part} behind it until {@link #close}, so that none under its final
 * name is half written.
 */
public final class CaptureWriter implements Closeable {
  private static final int PCAP_NANOS_MAGIC = 0xa1b23c4d;
  private static final int SNAP_LENGTH = CaptureReader.MAX_PACKET_BYTES;

  private final Path file;
  private final Path partialFile;
  private final OutputStream output;
  private final boolean isPcapng;
  private final int linkType;
  private final byte[] head = new byte[64];
  private long bytesWritten;
  private boolean closed;

  /** All packets of the file are of one link type. */
  public CaptureWriter(Path file, int link) throws IOException {
    this.file = file;
    this.linkType = link;
    String name = file.getFileName().toString();
    partialFile = file.resolveSibling(name + ".part");
    OutputStream raw = Files.newOutputStream(partialFile);
    OutputStream packed =
        name.endsWith(".gz")
            ? new GZIPOutputStream(raw, 1 << 16)
            : name.endsWith(".zst") ? new ZstdOutputStream(raw) : raw;
    output = new BufferedOutputStream(packed, 1 << 18);
    isPcapng = name.contains(".pcapng");
    if (isPcapng) {
      int at = putInts(0, 0x0a0d0d0a, 28, 0x1a2b3c4d, 1, -1, -1, 28);
      at = putInts(at, 1, 32, link << 16, SNAP_LENGTH);
      at = putInts(at, 9 << 16 | 1, 9 << 24, 0, 32); // times in nanoseconds; the end of options
      writeHead(at);
    } else {
      writeHead(putInts(0, PCAP_NANOS_MAGIC, 2 << 16 | 4, 0, 0, SNAP_LENGTH, link));
    }
  }

  /** How many bytes the packets so far take, before compression. */
  public long bytesWritten() {
    return bytesWritten;
  }

  public void writePacket(long nanos, byte[] bytes, int at, int length, int original)
      throws IOException {
    if (isPcapng) {
      int padded = length + 3 & ~3;
      writeHead(putInts(0, 6, 32 + padded, 0, (int) (nanos >>> 32), (int) nanos, length, original));
      output.write(bytes, at, length);
      output.write(head, 48, padded - length); // never written to, so zero
      writeHead(putInts(0, 32 + padded));
      bytesWritten += 32 + padded;
    } else {
      writeHead(
          putInts(
              0, (int) (nanos / 1_000_000_000L), (int) (nanos % 1_000_000_000L), length, original));
      output.write(bytes, at, length);
      bytesWritten += 16 + length;
    }
  }

  /**
   * Marks that packets were dropped here; pcap without blocks has no place for that, and says
   * nothing.
   */
  public void writeDropCount(long nanos, long many) throws IOException {
    if (isPcapng && many > 0) {
      byte[] comment = (many + " packets dropped before this").getBytes(StandardCharsets.US_ASCII);
      int padded = comment.length + 3 & ~3;
      int length = 12 + 12 + 12 + 4 + padded + 4;
      int at = putInts(0, 5, length, 0, (int) (nanos >>> 32), (int) nanos);
      at = putInts(at, 5 << 16 | 8, (int) (many >>> 32), (int) many);
      at = putInts(at, 1 << 16 | comment.length);
      writeHead(at);
      output.write(comment);
      output.write(head, 60, padded - comment.length);
      writeHead(putInts(0, 0, length));
      bytesWritten += length;
    }
  }

  private int putInts(int at, int... values) {
    for (int value : values) {
      head[at] = (byte) (value >>> 24);
      head[at + 1] = (byte) (value >>> 16);
      head[at + 2] = (byte) (value >>> 8);
      head[at + 3] = (byte) value;
      at += 4;
    }
    return at;
  }

  private void writeHead(int length) throws IOException {
    output.write(head, 0, length);
  }

  public int linkType() {
    return linkType;
  }

  /** Ends the file and gives it its name. */
  @Override
  public void close() throws IOException {
    if (!closed) {
      closed = true;
      output.close();
      Files.move(partialFile, file, StandardCopyOption.REPLACE_EXISTING);
    }
  }

  /** Ends it without leaving a file. */
  public void abandon() throws IOException {
    if (!closed) {
      closed = true;
      output.close();
      Files.deleteIfExists(partialFile);
    }
  }
}
