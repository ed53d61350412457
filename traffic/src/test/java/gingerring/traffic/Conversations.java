package gingerring.traffic;

import gingerring.traffic.flow.ReassemblyLimits;
import gingerring.traffic.pcap.CaptureReader;
import gingerring.traffic.pcap.CaptureWriter;
import gingerring.traffic.record.PacketSynthesizer;
import gingerring.traffic.scan.ObservedScan;
import gingerring.traffic.scan.RecordingReader;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Conversations of clients with a mixer as packets, for the tests of this module. */
public final class Conversations {
  public static final long START = 1_790_000_000_000_000_000L;

  /** A packet in hand. */
  public record TimedPacket(long timestampNanos, byte[] bytes) {}

  private Conversations() {}

  public static String body(String text) {
    return "{\"targets\":[{\"partition\":0,\"share\":0.75},{\"partition\":3,\"share\":0.25}],\"query\":\""
        + text
        + "\"}";
  }

  public static String request(String mark, String text, String more) {
    String body = body(text);
    return "POST /api HTTP/1.1\r\nHost: x\r\nX-Txn: "
        + mark
        + "\r\nX-Lane: search\r\nX-Remaining-Ms: 2000\r\n"
        + more
        + "Content-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  public static String answer(String mark) {
    return answer(
        200,
        "",
        "{\"whole\":true,\"results\":[{\"partition\":0,\"value\":\"v-"
            + mark
            + "\"},{\"partition\":3,\"value\":\"w\"}]}");
  }

  public static String answer(int status, String more, String body) {
    return "HTTP/1.1 "
        + status
        + " X\r\n"
        + more
        + "Content-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  public static InetSocketAddress client(int port) {
    return new InetSocketAddress("127.0.0.1", port);
  }

  public static InetSocketAddress mixer() {
    return new InetSocketAddress("127.0.0.2", 8081);
  }

  /**
   * A connection that asks so many scans a millisecond apart, marks from {@code mark}0 on, and
   * ends.
   */
  public static List<TimedPacket> ofScans(
      int port, long seed, String mark, int scans, boolean opens) {
    List<TimedPacket> pieces = new ArrayList<>();
    PacketSynthesizer forge = new PacketSynthesizer(client(port), mixer(), seed);
    PacketSynthesizer.PacketConsumer out =
        (nanos, bytes, length) -> pieces.add(new TimedPacket(nanos, Arrays.copyOf(bytes, length)));
    long now = START;
    forge.writeHandshake(now, out);
    if (!opens) {
      pieces.clear();
    }
    for (int i = 0; i < scans; i++) {
      byte[] request =
          request(mark + i, "t" + i + "x".repeat(i * 700 % 4000), "")
              .getBytes(StandardCharsets.US_ASCII);
      forge.writeData(now += 1_000_000, 0, request, 0, request.length, out);
      byte[] answer = answer(mark + i).getBytes(StandardCharsets.US_ASCII);
      forge.writeData(now += 1_000_000, 1, answer, 0, answer.length, out);
    }
    forge.writeClose(now + 1_000_000, false, 0, out);
    return pieces;
  }

  public static byte[] pcap(List<TimedPacket> pieces) {
    ByteBuffer file =
        ByteBuffer.allocate(24 + pieces.stream().mapToInt(piece -> 16 + piece.bytes.length).sum());
    file.putInt(0xa1b23c4d)
        .putInt(2 << 16 | 4)
        .putInt(0)
        .putInt(0)
        .putInt(1 << 18)
        .putInt(PacketSynthesizer.LINK_TYPE_RAW);
    for (TimedPacket piece : pieces) {
      file.putInt((int) (piece.timestampNanos / 1_000_000_000))
          .putInt((int) (piece.timestampNanos % 1_000_000_000))
          .putInt(piece.bytes.length)
          .putInt(piece.bytes.length)
          .put(piece.bytes);
    }
    return file.array();
  }

  public static void write(Path file, List<TimedPacket> pieces) throws IOException {
    try (CaptureWriter out = new CaptureWriter(file, PacketSynthesizer.LINK_TYPE_RAW)) {
      for (TimedPacket piece : pieces) {
        out.writePacket(
            piece.timestampNanos, piece.bytes, 0, piece.bytes.length, piece.bytes.length);
      }
    }
  }

  public static RecordingReader.Summary read(byte[] file, List<ObservedScan> scans)
      throws IOException {
    return RecordingReader.read(
        CaptureReader.fromStream("it", new ByteArrayInputStream(file)),
        ReassemblyLimits.DEFAULT,
        s -> true,
        scans::add);
  }

  public static List<ObservedScan> read(List<TimedPacket> pieces) {
    List<ObservedScan> scans = new ArrayList<>();
    try {
      read(pcap(pieces), scans);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return scans;
  }
}
