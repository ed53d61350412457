package gingerring.traffic.flow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gingerring.traffic.pcap.Segment;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A flow table stays within its limits for any input. */
class ReassemblyLimitsTest {
  private static class RecordingListener implements FlowTable.FlowListener {
    final List<String> closedFlows = new ArrayList<>();
    long deliveredBytes;
    long missingBytes;
    int openFlows;
    int maxOpenFlows;

    @Override
    public void onFlowOpened(Flow flow) {
      maxOpenFlows = Math.max(maxOpenFlows, ++openFlows);
    }

    @Override
    public void onData(
        Flow flow,
        int side,
        long nanos,
        long acknowledgedPeerBytes,
        byte[] bytes,
        int offset,
        int length) {
      this.deliveredBytes += length;
    }

    @Override
    public void onGap(Flow flow, int side, long nanos, long missing) {
      this.missingBytes += missing;
    }

    @Override
    public void onEndOfStream(Flow flow, int side, long nanos) {}

    @Override
    public void onFlowClosed(Flow flow, Flow.CloseReason reason, long nanos) {
      openFlows--;
      closedFlows.add(flow.number + " " + reason);
    }
  }

  private static Segment segment(int port, int sequence, int flags, int length, long ms) {
    Segment segment = new Segment();
    segment.timestampNanos = ms * 1_000_000;
    segment.sourceLow = 1;
    segment.destinationLow = 2;
    segment.sourcePort = port;
    segment.destinationPort = 80;
    segment.sequenceNumber = sequence;
    segment.flags = flags;
    segment.buffer = new byte[length];
    segment.payloadLength = length;
    return segment;
  }

  private static Segment synAck(int port) {
    Segment segment = segment(port, 900, Segment.SYN | Segment.ACK, 0, 0);
    segment.sourceLow = 2;
    segment.destinationLow = 1;
    segment.sourcePort = 80;
    segment.destinationPort = port;
    segment.ackNumber = 101;
    return segment;
  }

  @Test
  void flowsBeyondTheLimitEvictTheLongestIdle() {
    RecordingListener listener = new RecordingListener();
    FlowTable table =
        new FlowTable(
            new ReassemblyLimits(10, 1000, 10_000, Duration.ofSeconds(1), Duration.ofSeconds(60)),
            listener);
    for (int port = 1; port <= 1000; port++) {
      table.process(segment(port, 100, Segment.SYN, 0, port));
      if (port > 1) {
        table.process(segment(1, 101, 0, 1, port)); // the first flow stays active
      }
    }
    assertTrue(listener.maxOpenFlows <= 10, "open: " + listener.maxOpenFlows);
    assertEquals(990, listener.closedFlows.size());
    assertTrue(listener.closedFlows.stream().noneMatch(closedFlow -> closedFlow.startsWith("0 ")));
    assertEquals(990L, table.counts().get("flows pushed out by newer ones"));
  }

  @Test
  void bytesBufferedBehindGapsStayWithinTheLimits() {
    RecordingListener listener = new RecordingListener();
    ReassemblyLimits limits =
        new ReassemblyLimits(1000, 5000, 20_000, Duration.ofHours(1), Duration.ofHours(1));
    FlowTable table = new FlowTable(limits, listener);
    long sent = 0;
    for (int port = 1; port <= 50; port++) {
      table.process(segment(port, 100, Segment.SYN, 0, 0));
      table.process(synAck(port));
      for (int i = 0; i < 20; i++) {
        table.process(
            segment(
                port, 102 + i * 400, 0, 400, 1)); // the byte at sequence number 101 is never sent
        sent += 400;
        assertTrue(
            table.bufferedBytes() <= limits.maxBufferedTotal() + 400,
            "held: " + table.bufferedBytes());
      }
    }
    table.endAllFlows();
    assertEquals(0, table.bufferedBytes());
    assertEquals(sent, listener.deliveredBytes);
    assertEquals(50, listener.missingBytes);
  }

  @Test
  void gapsAreSkippedAndFlowsEndedAfterTheirTimeouts() {
    RecordingListener listener = new RecordingListener();
    FlowTable table =
        new FlowTable(
            new ReassemblyLimits(10, 5000, 20_000, Duration.ofSeconds(2), Duration.ofSeconds(60)),
            listener);
    table.process(segment(1, 100, Segment.SYN, 0, 0));
    table.process(synAck(1));
    table.process(segment(1, 111, 0, 10, 0));
    table.process(segment(1, 121, 0, 10, 1900));
    assertEquals(0, listener.deliveredBytes);
    table.process(segment(1, 131, 0, 10, 2100));
    assertEquals(30, listener.deliveredBytes);
    assertEquals(10, listener.missingBytes);
    table.process(segment(2, 100, Segment.SYN, 0, 70_000));
    assertEquals(List.of("0 IDLE"), listener.closedFlows);
  }

  @Test
  void conflictingBytesAreCountedAndTheFirstAreKept() {
    List<String> delivered = new ArrayList<>();
    FlowTable table =
        new FlowTable(
            ReassemblyLimits.DEFAULT,
            new RecordingListener() {
              @Override
              public void onData(
                  Flow flow, int side, long nanos, long taken, byte[] bytes, int at, int length) {
                delivered.add(new String(bytes, at, length));
              }
            });
    table.process(segment(1, 100, Segment.SYN, 0, 0));
    table.process(synAck(1));
    for (String text : List.of("bcd", "xcde", "a")) {
      Segment segment = segment(1, text.equals("a") ? 101 : 102, 0, 0, 1);
      segment.buffer = text.getBytes();
      segment.payloadLength = segment.buffer.length;
      table.process(segment);
    }
    assertEquals("abcde", String.join("", delivered));
    assertEquals(1L, table.counts().get("segments that contradict what came before"));
  }
}
