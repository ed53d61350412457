package gingerring.bench;

import gingerring.traffic.record.PacketSynthesizer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;

/**
 * Generates captured traffic for benchmarks: on each connection, requests of twelve parts, answers
 * and the acknowledgement of each. A scan takes five packets of 520 bytes on average, as in
 * captures of real traffic.
 */
final class SyntheticTraffic {
  /** Receives the generated packets. */
  interface PacketSink {
    void write(long nanos, byte[] bytes, int length) throws IOException;
  }

  private static final long START_EPOCH_NANOS = 1_790_000_000_000_000_000L;

  private final byte[] request;
  private final byte[] answer;

  SyntheticTraffic() {
    StringBuilder targets = new StringBuilder();
    StringBuilder results = new StringBuilder();
    for (int i = 0; i < 12; i++) {
      targets
          .append(i == 0 ? "" : ",")
          .append("{\"partition\":")
          .append(i)
          .append(",\"share\":0.0833333,\"est_us\":15000}");
      results
          .append(i == 0 ? "" : ",")
          .append("{\"partition\":")
          .append(i)
          .append(",\"value\":\"5be2a07c19f04d63\"}");
    }
    String body = "{\"targets\":[" + targets + "],\"query\":\"" + "q".repeat(1200) + "\"}";
    request =
        ("POST /api HTTP/1.1\r\nHost: x\r\nX-Txn: 9b1f03aa5c7e2d41\r\nX-Lane: skill-search\r\n"
                + "X-Remaining-Ms: 4000\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body)
            .getBytes(StandardCharsets.US_ASCII);
    String json = "{\"whole\":true,\"results\":[" + results + "]}";
    answer =
        ("HTTP/1.1 200 OK\r\nContent-Length: " + json.length() + "\r\n\r\n" + json)
            .getBytes(StandardCharsets.US_ASCII);
  }

  /**
   * Writes scans to the connections in turn until at least {@code minBytes} have been written.
   * Returns the number of scans.
   */
  long write(int connections, long minBytes, PacketSink sink) throws IOException {
    PacketSynthesizer[] synthesizers = new PacketSynthesizer[connections];
    long[] writtenBytes = {0};
    IOException[] failure = {null};
    PacketSynthesizer.PacketConsumer countingConsumer =
        (nanos, packet, length) -> {
          try {
            sink.write(nanos, packet, length);
            writtenBytes[0] += length;
          } catch (IOException e) {
            failure[0] = e;
          }
        };
    long scans = 0;
    long nowNanos = START_EPOCH_NANOS;
    while (writtenBytes[0] < minBytes && failure[0] == null) {
      int connection = (int) (scans % connections);
      if (synthesizers[connection] == null) {
        synthesizers[connection] =
            new PacketSynthesizer(
                new InetSocketAddress(
                    "127.0.0." + (1 + connection / 50_000), 10_000 + connection % 50_000),
                new InetSocketAddress("127.1.0.1", 8081),
                connection * 77_777_777L);
        synthesizers[connection].writeHandshake(nowNanos, countingConsumer);
      }
      synthesizers[connection].writeData(
          nowNanos += 20_000, 0, request, 0, request.length, countingConsumer);
      synthesizers[connection].writeAcknowledgement(nowNanos += 1000, 1, countingConsumer);
      synthesizers[connection].writeData(
          nowNanos += 20_000, 1, answer, 0, answer.length, countingConsumer);
      synthesizers[connection].writeAcknowledgement(nowNanos += 1000, 0, countingConsumer);
      scans++;
    }
    if (failure[0] != null) {
      throw failure[0];
    }
    return scans;
  }
}
