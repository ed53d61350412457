package gingerring.traffic.scan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gingerring.traffic.Conversations;
import gingerring.traffic.Conversations.TimedPacket;
import gingerring.traffic.record.PacketSynthesizer;
import gingerring.traffic.scan.ObservedScan.ScanOutcome;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Decodes the messages and frames that clients, mixers and searchers may send on a connection. */
class ProtocolDecoderTest {
  private final List<TimedPacket> packets = new ArrayList<>();
  private final PacketSynthesizer.PacketConsumer packetConsumer =
      (nanos, bytes, length) -> packets.add(new TimedPacket(nanos, Arrays.copyOf(bytes, length)));
  private final PacketSynthesizer synthesizer =
      new PacketSynthesizer(Conversations.client(4000), Conversations.mixer(), 3);
  private long nowNanos = Conversations.START;

  private void send(int side, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
    synthesizer.writeData(nowNanos += 1_000_000, side, bytes, 0, bytes.length, packetConsumer);
  }

  private List<ObservedScan> read(boolean closes) {
    if (closes) {
      synthesizer.writeClose(nowNanos += 1_000_000, false, 0, packetConsumer);
    }
    return Conversations.read(packets);
  }

  private static List<String> describe(List<ObservedScan> scans) {
    return scans.stream()
        .map(
            scan ->
                scan.transactionId() + ' ' + scan.outcome() + ' ' + scan.valuesByPartition().get(0))
        .toList();
  }

  @Test
  void pipelinedRequestsAreMatchedWithTheirResponsesInOrder() {
    synthesizer.writeHandshake(nowNanos, packetConsumer);
    String requests =
        Conversations.request("a", "x", "")
            + Conversations.request("b", "x", "")
            + Conversations.request("c", "x", "");
    send(0, requests.substring(0, 300));
    send(0, requests.substring(300));
    send(1, Conversations.response("a") + Conversations.response("b").substring(0, 20));
    send(
        1,
        Conversations.response("b").substring(20)
            + Conversations.response(503, "Retry-After: 0.25\r\n", ""));
    List<ObservedScan> scans = read(true);
    assertEquals(List.of("a WHOLE v-a", "b WHOLE v-b", "c NACKED null"), describe(scans));
    assertEquals(0.25, scans.get(2).retryAfterSeconds());
  }

  @Test
  void chunkedBodiesContinueResponsesAndOtherPathsAreDecoded() {
    synthesizer.writeHandshake(nowNanos, packetConsumer);
    String body = Conversations.body("x");
    send(0, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
    send(1, "HTTP/1.1 204 None\r\n\r\n");
    send(
        0,
        "POST /api HTTP/1.1\r\nHost: x\r\nX-Txn: a\r\nExpect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n");
    send(1, "HTTP/1.1 100 Continue\r\n\r\n");
    send(
        0,
        "5\r\n"
            + body.substring(0, 5)
            + "\r\n"
            + Integer.toHexString(body.length() - 5)
            + "\r\n"
            + body.substring(5)
            + "\r\n0\r\n\r\n");
    send(1, Conversations.response("a"));
    List<ObservedScan> scans = read(true);
    assertEquals(List.of("a WHOLE v-a"), describe(scans));
    String rebuilt = new String(scans.get(0).requestBytes(), StandardCharsets.ISO_8859_1);
    assertTrue(rebuilt.endsWith("content-length: " + body.length() + "\r\n\r\n" + body), rebuilt);
  }

  @Test
  void aHalfClosedClientStillGetsItsResponse() {
    synthesizer.writeHandshake(nowNanos, packetConsumer);
    send(0, Conversations.request("a", "x", ""));
    List<TimedPacket> packetsBeforeFin = List.copyOf(packets);
    synthesizer.writeClose(nowNanos, false, 0, packetConsumer);
    TimedPacket fin = packets.get(packetsBeforeFin.size());
    packets.subList(packetsBeforeFin.size(), packets.size()).clear();
    packets.add(fin);
    PacketSynthesizer mixerSide =
        new PacketSynthesizer(Conversations.client(4000), Conversations.mixer(), 3);
    mixerSide.writeHandshake(nowNanos, (nanos, bytes, length) -> {});
    byte[] response = Conversations.response("a").getBytes(StandardCharsets.US_ASCII);
    mixerSide.writeData(nowNanos += 1_000_000, 1, response, 0, response.length, packetConsumer);
    assertEquals(List.of("a WHOLE v-a"), describe(Conversations.read(packets)));
  }

  @Test
  void aClientThatDisconnectsIsDistinguishedFromAFileThatEnds() {
    synthesizer.writeHandshake(nowNanos, packetConsumer);
    send(0, Conversations.request("a", "x", ""));
    assertEquals(ScanOutcome.INCOMPLETE, read(false).get(0).outcome());
    assertEquals(ScanOutcome.LEFT, read(true).get(0).outcome());
  }

  private static String frame(String text) {
    return new String(
        ByteBuffer.allocate(4 + text.length())
            .order(ByteOrder.LITTLE_ENDIAN)
            .putInt(text.length())
            .put(text.getBytes(StandardCharsets.ISO_8859_1))
            .array(),
        StandardCharsets.ISO_8859_1);
  }

  @Test
  void searcherFramesAreMatchedByPartId() throws Exception {
    synthesizer.writeHandshake(nowNanos, packetConsumer);
    send(0, frame("Sa.0 0 d=100 2\nxya.3 3 d=100,k=k1 0\n") + frame("H").substring(0, 3));
    send(0, frame("H").substring(3));
    send(1, frame("Hdone") + frame("Ra.3 full 0 -\n"));
    send(0, frame("Ca.0"));
    send(1, frame("Rb.0 done 1 -\nv"));
    synthesizer.writeClose(nowNanos, false, 0, packetConsumer);
    SearcherTraffic traffic =
        Conversations.read(Conversations.pcap(packets), new ArrayList<>()).searcherTraffic();
    assertEquals(2, traffic.parts);
    assertEquals(1, traffic.calls);
    assertEquals(1, traffic.probes);
    assertEquals(1, traffic.cancellations);
    assertEquals(1, traffic.unanswered);
    assertEquals(Map.of("full", 1L, "done", 1L), traffic.returnsByStatus);
    assertEquals(Map.of("127.0.0.2:8081", 2L), traffic.partsBySearcher);
  }
}
