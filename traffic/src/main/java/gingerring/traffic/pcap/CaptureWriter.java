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
 * Writes one capture file. The file name selects the format: pcapng if the name contains {@code
 * .pcapng}, else pcap with nanosecond timestamps; compressed if the name ends in {@code .gz} or
 * {@code .zst}. Until {@link #close} the file carries the suffix {@code .part}, so that no file
 * under its final name is incomplete.
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

  /** Creates the file. All packets of one file have the same link type. */
  public CaptureWriter(Path file, int linkType) throws IOException {
    this.file = file;
    this.linkType = linkType;
    String name = file.getFileName().toString();
    partialFile = file.resolveSibling(name + ".part");
    OutputStream fileOutput = Files.newOutputStream(partialFile);
    OutputStream compressedOutput =
        name.endsWith(".gz")
            ? new GZIPOutputStream(fileOutput, 1 << 16)
            : name.endsWith(".zst") ? new ZstdOutputStream(fileOutput) : fileOutput;
    output = new BufferedOutputStream(compressedOutput, 1 << 18);
    isPcapng = name.contains(".pcapng");
    if (isPcapng) {
      int offset = putInts(0, 0x0a0d0d0a, 28, 0x1a2b3c4d, 1, -1, -1, 28);
      offset = putInts(offset, 1, 32, linkType << 16, SNAP_LENGTH);
      offset =
          putInts(offset, 9 << 16 | 1, 9 << 24, 0, 32); // if_tsresol: nanoseconds; end of options
      writeHead(offset);
    } else {
      writeHead(putInts(0, PCAP_NANOS_MAGIC, 2 << 16 | 4, 0, 0, SNAP_LENGTH, linkType));
    }
  }

  /** Bytes of the packet records written so far, before compression. */
  public long bytesWritten() {
    return bytesWritten;
  }

  public void writePacket(
      long timestampNanos, byte[] bytes, int offset, int length, int originalLength)
      throws IOException {
    if (isPcapng) {
      int paddedLength = length + 3 & ~3;
      writeHead(
          putInts(
              0,
              6,
              32 + paddedLength,
              0,
              (int) (timestampNanos >>> 32),
              (int) timestampNanos,
              length,
              originalLength));
      output.write(bytes, offset, length);
      output.write(
          head,
          48,
          paddedLength - length); // padding: this part of the array is never written, so it is zero
      writeHead(putInts(0, 32 + paddedLength));
      bytesWritten += 32 + paddedLength;
    } else {
      writeHead(
          putInts(
              0,
              (int) (timestampNanos / 1_000_000_000L),
              (int) (timestampNanos % 1_000_000_000L),
              length,
              originalLength));
      output.write(bytes, offset, length);
      bytesWritten += 16 + length;
    }
  }

  /**
   * Records that packets were dropped at this point. Only pcapng has a record for this; in a pcap
   * file the call does nothing.
   */
  public void writeDropCount(long timestampNanos, long droppedPackets) throws IOException {
    if (isPcapng && droppedPackets > 0) {
      byte[] comment =
          (droppedPackets + " packets dropped before this").getBytes(StandardCharsets.US_ASCII);
      int paddedLength = comment.length + 3 & ~3;
      int length = 12 + 12 + 12 + 4 + paddedLength + 4;
      int offset = putInts(0, 5, length, 0, (int) (timestampNanos >>> 32), (int) timestampNanos);
      offset = putInts(offset, 5 << 16 | 8, (int) (droppedPackets >>> 32), (int) droppedPackets);
      offset = putInts(offset, 1 << 16 | comment.length);
      writeHead(offset);
      output.write(comment);
      output.write(head, 60, paddedLength - comment.length);
      writeHead(putInts(0, 0, length));
      bytesWritten += length;
    }
  }

  private int putInts(int offset, int... values) {
    for (int value : values) {
      head[offset] = (byte) (value >>> 24);
      head[offset + 1] = (byte) (value >>> 16);
      head[offset + 2] = (byte) (value >>> 8);
      head[offset + 3] = (byte) value;
      offset += 4;
    }
    return offset;
  }

  private void writeHead(int length) throws IOException {
    output.write(head, 0, length);
  }

  public int linkType() {
    return linkType;
  }

  /** Completes the file and moves it to its final name. */
  @Override
  public void close() throws IOException {
    if (!closed) {
      closed = true;
      output.close();
      Files.move(partialFile, file, StandardCopyOption.REPLACE_EXISTING);
    }
  }

  /** Closes the output and deletes the partial file. */
  public void abandon() throws IOException {
    if (!closed) {
      closed = true;
      output.close();
      Files.deleteIfExists(partialFile);
    }
  }
}
