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

/** What clients, mixers and boxes may say on a connection. */
class ProtocolDecoderTest {
  private final List<TimedPacket> pieces = new ArrayList<>();
  private final PacketSynthesizer.PacketConsumer out =
      (nanos, bytes, length) -> pieces.add(new TimedPacket(nanos, Arrays.copyOf(bytes, length)));
  private final PacketSynthesizer forge =
      new PacketSynthesizer(Conversations.client(4000), Conversations.mixer(), 3);
  private long now = Conversations.START;

  private void say(int side, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
    forge.writeData(now += 1_000_000, side, bytes, 0, bytes.length, out);
  }

  private List<ObservedScan> read(boolean closes) {
    if (closes) {
      forge.writeClose(now += 1_000_000, false, 0, out);
    }
    return Conversations.read(pieces);
  }

  private static List<String> marks(List<ObservedScan> scans) {
    return scans.stream()
        .map(
            seen ->
                seen.transactionId() + ' ' + seen.outcome() + ' ' + seen.valuesByPartition().get(0))
        .toList();
  }

  @Test
  void pipelinedRequestsHaveTheirAnswersInOrder() {
    forge.writeHandshake(now, out);
    String three =
        Conversations.request("a", "x", "")
            + Conversations.request("b", "x", "")
            + Conversations.request("c", "x", "");
    say(0, three.substring(0, 300));
    say(0, three.substring(300));
    say(1, Conversations.answer("a") + Conversations.answer("b").substring(0, 20));
    say(
        1,
        Conversations.answer("b").substring(20)
            + Conversations.answer(503, "Retry-After: 0.25\r\n", ""));
    List<ObservedScan> scans = read(true);
    assertEquals(List.of("a WHOLE v-a", "b WHOLE v-b", "c NACKED null"), marks(scans));
    assertEquals(0.25, scans.get(2).retryAfterSeconds());
  }

  @Test
  void chunksAndContinueAndOtherPathsAreUnderstood() {
    forge.writeHandshake(now, out);
    String body = Conversations.body("x");
    say(0, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
    say(1, "HTTP/1.1 204 None\r\n\r\n");
    say(
        0,
        "POST /api HTTP/1.1\r\nHost: x\r\nX-Txn: a\r\nExpect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n");
    say(1, "HTTP/1.1 100 Continue\r\n\r\n");
    say(
        0,
        "5\r\n"
            + body.substring(0, 5)
            + "\r\n"
            + Integer.toHexString(body.length() - 5)
            + "\r\n"
            + body.substring(5)
            + "\r\n0\r\n\r\n");
    say(1, Conversations.answer("a"));
    List<ObservedScan> scans = read(true);
    assertEquals(List.of("a WHOLE v-a"), marks(scans));
    String again = new String(scans.get(0).requestBytes(), StandardCharsets.ISO_8859_1);
    assertTrue(again.endsWith("content-length: " + body.length() + "\r\n\r\n" + body), again);
  }

  @Test
  void aClientThatClosedItsSendingSideStillHasItsAnswer() {
    forge.writeHandshake(now, out);
    say(0, Conversations.request("a", "x", ""));
    List<TimedPacket> before = List.copyOf(pieces);
    forge.writeClose(now, false, 0, out);
    TimedPacket fin = pieces.get(before.size());
    pieces.subList(before.size(), pieces.size()).clear();
    pieces.add(fin);
    PacketSynthesizer after =
        new PacketSynthesizer(Conversations.client(4000), Conversations.mixer(), 3);
    after.writeHandshake(now, (nanos, bytes, length) -> {});
    byte[] answer = Conversations.answer("a").getBytes(StandardCharsets.US_ASCII);
    after.writeData(now += 1_000_000, 1, answer, 0, answer.length, out);
    assertEquals(List.of("a WHOLE v-a"), marks(Conversations.read(pieces)));
  }

  @Test
  void aClientThatLeavesIsToldFromAFileThatEnds() {
    forge.writeHandshake(now, out);
    say(0, Conversations.request("a", "x", ""));
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
  void framesOfBoxesAreMatchedByTheirParts() throws Exception {
    forge.writeHandshake(now, out);
    say(0, frame("Sa.0 0 d=100 2\nxya.3 3 d=100,k=k1 0\n") + frame("H").substring(0, 3));
    say(0, frame("H").substring(3));
    say(1, frame("Hdone") + frame("Ra.3 full 0 -\n"));
    say(0, frame("Ca.0"));
    say(1, frame("Rb.0 done 1 -\nv"));
    forge.writeClose(now, false, 0, out);
    SearcherTraffic trips =
        Conversations.read(Conversations.pcap(pieces), new ArrayList<>()).searcherTraffic();
    assertEquals(2, trips.parts);
    assertEquals(1, trips.calls);
    assertEquals(1, trips.probes);
    assertEquals(1, trips.cancellations);
    assertEquals(1, trips.unanswered);
    assertEquals(Map.of("full", 1L, "done", 1L), trips.returnsByStatus);
    assertEquals(Map.of("127.0.0.2:8081", 2L), trips.partsBySearcher);
  }
}
