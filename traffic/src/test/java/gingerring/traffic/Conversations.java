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

/** Builds packets of conversations between clients and a mixer for the tests of this module. */
public final class Conversations {
  public static final long START = 1_790_000_000_000_000_000L;

  /** A packet and its capture time. */
  public record TimedPacket(long timestampNanos, byte[] bytes) {}

  private Conversations() {}

  public static String body(String queryText) {
    return "{\"targets\":[{\"partition\":0,\"share\":0.75},{\"partition\":3,\"share\":0.25}],\"query\":\""
        + queryText
        + "\"}";
  }

  public static String request(String transactionId, String queryText, String extraHeaders) {
    String body = body(queryText);
    return "POST /api HTTP/1.1\r\nHost: x\r\nX-Txn: "
        + transactionId
        + "\r\nX-Lane: search\r\nX-Remaining-Ms: 2000\r\n"
        + extraHeaders
        + "Content-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  public static String response(String transactionId) {
    return response(
        200,
        "",
        "{\"whole\":true,\"results\":[{\"partition\":0,\"value\":\"v-"
            + transactionId
            + "\"},{\"partition\":3,\"value\":\"w\"}]}");
  }

  public static String response(int status, String extraHeaders, String body) {
    return "HTTP/1.1 "
        + status
        + " X\r\n"
        + extraHeaders
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
   * A connection that sends {@code scans} requests, each a millisecond after the response before
   * it, with transaction ids from {@code mark}0 on, and then closes.
   */
  public static List<TimedPacket> ofScans(
      int port, long seed, String transactionId, int scans, boolean includesHandshake) {
    List<TimedPacket> packets = new ArrayList<>();
    PacketSynthesizer synthesizer = new PacketSynthesizer(client(port), mixer(), seed);
    PacketSynthesizer.PacketConsumer consumer =
        (nanos, bytes, length) -> packets.add(new TimedPacket(nanos, Arrays.copyOf(bytes, length)));
    long nowNanos = START;
    synthesizer.writeHandshake(nowNanos, consumer);
    if (!includesHandshake) {
      packets.clear();
    }
    for (int i = 0; i < scans; i++) {
      byte[] request =
          request(transactionId + i, "t" + i + "x".repeat(i * 700 % 4000), "")
              .getBytes(StandardCharsets.US_ASCII);
      synthesizer.writeData(nowNanos += 1_000_000, 0, request, 0, request.length, consumer);
      byte[] response = response(transactionId + i).getBytes(StandardCharsets.US_ASCII);
      synthesizer.writeData(nowNanos += 1_000_000, 1, response, 0, response.length, consumer);
    }
    synthesizer.writeClose(nowNanos + 1_000_000, false, 0, consumer);
    return packets;
  }

  public static byte[] pcap(List<TimedPacket> packets) {
    ByteBuffer file =
        ByteBuffer.allocate(
            24 + packets.stream().mapToInt(packet -> 16 + packet.bytes.length).sum());
    file.putInt(0xa1b23c4d)
        .putInt(2 << 16 | 4)
        .putInt(0)
        .putInt(0)
        .putInt(1 << 18)
        .putInt(PacketSynthesizer.LINK_TYPE_RAW);
    for (TimedPacket packet : packets) {
      file.putInt((int) (packet.timestampNanos / 1_000_000_000))
          .putInt((int) (packet.timestampNanos % 1_000_000_000))
          .putInt(packet.bytes.length)
          .putInt(packet.bytes.length)
          .put(packet.bytes);
    }
    return file.array();
  }

  public static void write(Path file, List<TimedPacket> packets) throws IOException {
    try (CaptureWriter consumer = new CaptureWriter(file, PacketSynthesizer.LINK_TYPE_RAW)) {
      for (TimedPacket packet : packets) {
        consumer.writePacket(
            packet.timestampNanos, packet.bytes, 0, packet.bytes.length, packet.bytes.length);
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

  public static List<ObservedScan> read(List<TimedPacket> packets) {
    List<ObservedScan> scans = new ArrayList<>();
    try {
      read(pcap(packets), scans);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return scans;
  }
}
