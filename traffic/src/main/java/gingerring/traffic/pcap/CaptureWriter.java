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
  private static final int NANOS = 0xa1b23c4d;
  private static final int SNAP = CaptureReader.PACKET_MOST;

  private final Path file;
  private final Path part;
  private final OutputStream out;
  private final boolean blocks;
  private final int link;
  private final byte[] head = new byte[64];
  private long written;
  private boolean closed;

  /** All packets of the file are of one link type. */
  public CaptureWriter(Path file, int link) throws IOException {
    this.file = file;
    this.link = link;
    String name = file.getFileName().toString();
    part = file.resolveSibling(name + ".part");
    OutputStream raw = Files.newOutputStream(part);
    OutputStream packed =
        name.endsWith(".gz")
            ? new GZIPOutputStream(raw, 1 << 16)
            : name.endsWith(".zst") ? new ZstdOutputStream(raw) : raw;
    out = new BufferedOutputStream(packed, 1 << 18);
    blocks = name.contains(".pcapng");
    if (blocks) {
      int at = put(0, 0x0a0d0d0a, 28, 0x1a2b3c4d, 1, -1, -1, 28);
      at = put(at, 1, 32, link << 16, SNAP);
      at = put(at, 9 << 16 | 1, 9 << 24, 0, 32); // times in nanoseconds; the end of options
      flushHead(at);
    } else {
      flushHead(put(0, NANOS, 2 << 16 | 4, 0, 0, SNAP, link));
    }
  }

  /** How many bytes the packets so far take, before compression. */
  public long written() {
    return written;
  }

  public void packet(long nanos, byte[] bytes, int at, int length, int original)
      throws IOException {
    if (blocks) {
      int padded = length + 3 & ~3;
      flushHead(put(0, 6, 32 + padded, 0, (int) (nanos >>> 32), (int) nanos, length, original));
      out.write(bytes, at, length);
      out.write(head, 48, padded - length); // never written to, so zero
      flushHead(put(0, 32 + padded));
      written += 32 + padded;
    } else {
      flushHead(
          put(0, (int) (nanos / 1_000_000_000L), (int) (nanos % 1_000_000_000L), length, original));
      out.write(bytes, at, length);
      written += 16 + length;
    }
  }

  /**
   * Marks that packets were dropped here; pcap without blocks has no place for that, and says
   * nothing.
   */
  public void drops(long nanos, long many) throws IOException {
    if (blocks && many > 0) {
      byte[] comment = (many + " packets dropped before this").getBytes(StandardCharsets.US_ASCII);
      int padded = comment.length + 3 & ~3;
      int length = 12 + 12 + 12 + 4 + padded + 4;
      int at = put(0, 5, length, 0, (int) (nanos >>> 32), (int) nanos);
      at = put(at, 5 << 16 | 8, (int) (many >>> 32), (int) many);
      at = put(at, 1 << 16 | comment.length);
      flushHead(at);
      out.write(comment);
      out.write(head, 60, padded - comment.length);
      flushHead(put(0, 0, length));
      written += length;
    }
  }

  private int put(int at, int... values) {
    for (int value : values) {
      head[at] = (byte) (value >>> 24);
      head[at + 1] = (byte) (value >>> 16);
      head[at + 2] = (byte) (value >>> 8);
      head[at + 3] = (byte) value;
      at += 4;
    }
    return at;
  }

  private void flushHead(int length) throws IOException {
    out.write(head, 0, length);
  }

  public int link() {
    return link;
  }

  /** Ends the file and gives it its name. */
  @Override
  public void close() throws IOException {
    if (!closed) {
      closed = true;
      out.close();
      Files.move(part, file, StandardCopyOption.REPLACE_EXISTING);
    }
  }

  /** Ends it without leaving a file. */
  public void abandon() throws IOException {
    if (!closed) {
      closed = true;
      out.close();
      Files.deleteIfExists(part);
    }
  }
}
