package gingerring.traffic.flow;

import gingerring.traffic.pcap.Segment;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Groups segments into flows and reassembles their streams. Call {@link #process} for each segment
 * in file order, then {@link #endAllFlows}. Bytes in order go to the {@link FlowListener} at once.
 * The same segments always produce the same calls.
 *
 * <p>A flow whose SYN was not captured begins with the lowest byte among its first segments, or at
 * the first acknowledged byte; segments are buffered until the start is certain. A SYN with a
 * different sequence number on the ports of a known flow ends that flow and begins a new one.
 */
public final class FlowTable {
  /**
   * Receives the events of flows. Side 0 opened the connection or was seen first; side 1 is its
   * peer.
   */
  public interface FlowListener {
    void onFlowOpened(Flow flow);

    /**
     * Delivers the next bytes of one side's stream; copy bytes to be kept. {@code timestampNanos}
     * is their capture time, {@code acknowledgedPeerBytes} how much of the other side's stream
     * their sender had acknowledged by then.
     */
    void onData(
        Flow flow,
        int side,
        long timestampNanos,
        long acknowledgedPeerBytes,
        byte[] bytes,
        int offset,
        int length);

    /** Reports that {@code missingBytes} of the stream were not captured. */
    void onGap(Flow flow, int side, long timestampNanos, long missingBytes);

    /** Reports that the end {@code side} of the flow has ended its stream. */
    void onEndOfStream(Flow flow, int side, long timestampNanos);

    void onFlowClosed(Flow flow, Flow.CloseReason reason, long timestampNanos);
  }

  /** After this many segments a flow is assumed to start at the lowest byte observed so far. */
  private static final int MAX_SEGMENTS_BEFORE_START = 32;

  private final ReassemblyLimits limits;
  private final FlowListener listener;
  private final LinkedHashMap<Flow.Key, Flow> flows = new LinkedHashMap<>(1024, 0.75f, true);
  private final Map<String, Long> counts = new TreeMap<>();
  private long flowsOpened;
  private long bufferedBytes;
  private long nowNanos;
  private final SinkAdapter sinkAdapter = new SinkAdapter();
  private Flow lastFlow;
  private int currentSide;

  public FlowTable(ReassemblyLimits limits, FlowListener listener) {
    this.limits = limits;
    this.listener = listener;
  }

  public void process(Segment segment) {
    nowNanos = Math.max(nowNanos, segment.timestampNanos);
    Flow flow = find(segment);
    if (flow != null && segment.has(Segment.SYN) && opensNewFlow(flow, segment)) {
      close(flow, Flow.CloseReason.PORTS_REUSED);
      flow = null;
    }
    if (flow == null) {
      flow = open(segment);
    }
    flow.lastSeenNanos = nowNanos;
    if (flow.closed) {
      if (segment.payloadLength > 0) {
        count("segments after the end of their flow");
      }
      return;
    }
    StreamReassembler stream = flow.streams[currentSide];
    StreamReassembler peerStream = flow.streams[1 - currentSide];
    if (!stream.hasStart) {
      stream.setProvisionalStart(
          segment.has(Segment.SYN) ? segment.sequenceNumber + 1 : segment.sequenceNumber);
    }
    if (segment.has(Segment.SYN)) {
      stream.setStart(segment.sequenceNumber + 1);
      flow.openingSeen = true;
    }
    if (segment.has(Segment.ACK)) {
      if (!peerStream.hasStart) {
        peerStream.setProvisionalStart(segment.ackNumber);
      }
      peerStream.onAcknowledged(segment.ackNumber);
    }
    if (!stream.delivering) {
      startDelivery(flow, ++flow.segmentsBeforeStart >= MAX_SEGMENTS_BEFORE_START);
    }
    long offset =
        stream.offsetOf(
            segment.has(Segment.SYN) ? segment.sequenceNumber + 1 : segment.sequenceNumber);
    if (stream.isOutsideWindow(offset)) {
      count("segments far outside their window");
      return;
    }
    acceptPayload(flow, stream, offset, segment);
    if (segment.has(Segment.FIN) && stream.finOffset < 0) {
      stream.finOffset = offset + segment.payloadLength + segment.truncatedBytes;
    }
    for (int eachSide = 0; eachSide < 2; eachSide++) {
      if (flow.streams[eachSide].isComplete() && !flow.streams[eachSide].finReported) {
        flow.streams[eachSide].finReported = true;
        listener.onEndOfStream(flow, eachSide, nowNanos);
      }
    }
    if (segment.has(Segment.RST)) {
      endFlow(flow, Flow.CloseReason.RESET);
    } else if (stream.finReported && peerStream.finReported) {
      endFlow(flow, Flow.CloseReason.FINISHED);
    }
  }

  /**
   * Starts delivery in both directions once both starts are certain, or at once if {@code force} is
   * set.
   */
  private void startDelivery(Flow flow, boolean force) {
    StreamReassembler firstStream = flow.streams[0];
    StreamReassembler secondStream = flow.streams[1];
    if (force) {
      firstStream.settleStart();
      secondStream.settleStart();
    }
    if (firstStream.startSettled && secondStream.startSettled && !firstStream.delivering) {
      firstStream.delivering = true;
      secondStream.delivering = true;
      deliverContiguous(flow, 0);
      deliverContiguous(flow, 1);
    }
  }

  private void deliverContiguous(Flow flow, int streamSide) {
    StreamReassembler stream = flow.streams[streamSide];
    int bufferedBefore = stream.bufferedBytes;
    stream.deliverContiguous(sinkAdapter.forStream(flow, streamSide));
    bufferedBytes += stream.bufferedBytes - bufferedBefore;
  }

  private void acceptPayload(Flow flow, StreamReassembler stream, long offset, Segment segment) {
    int bufferedBefore = stream.bufferedBytes;
    long conflictsBefore = stream.conflictingBlocks;
    if (segment.payloadLength > 0) {
      stream.accept(
          offset,
          segment.buffer,
          segment.payloadOffset,
          segment.payloadLength,
          segment.timestampNanos,
          segment.ackNumber,
          sinkAdapter.forStream(flow, currentSide));
    }
    if (stream.conflictingBlocks > conflictsBefore) {
      count("segments that contradict what came before");
    }
    bufferedBytes += stream.bufferedBytes - bufferedBefore;
    while (stream.hasGap()
        && (stream.bufferedBytes > limits.maxBufferedPerDirection()
            || bufferedBytes > limits.maxBufferedTotal()
            || nowNanos - stream.gapSinceNanos > limits.gapTimeout().toNanos())) {
      if (stream.delivering) {
        skipGap(flow, currentSide);
      } else {
        startDelivery(flow, true);
      }
    }
  }

  private void skipGap(Flow flow, int streamSide) {
    StreamReassembler stream = flow.streams[streamSide];
    int bufferedBefore = stream.bufferedBytes;
    stream.skipGap(nowNanos, sinkAdapter.forStream(flow, streamSide));
    bufferedBytes += stream.bufferedBytes - bufferedBefore;
  }

  /**
   * Passes a stream's events to the listener. One instance serves all streams, because no caller
   * keeps a reference to the instance.
   */
  private final class SinkAdapter implements StreamReassembler.StreamSink {
    private Flow flow;
    private int side;

    SinkAdapter forStream(Flow streamFlow, int streamSide) {
      flow = streamFlow;
      side = streamSide;
      return this;
    }

    @Override
    public void onData(byte[] bytes, int offset, int length, long timestampNanos, int ackNumber) {
      listener.onData(
          flow,
          side,
          timestampNanos,
          flow.streams[1 - side].offsetOf(ackNumber),
          bytes,
          offset,
          length);
    }

    @Override
    public void onGap(long missingBytes) {
      count("gaps that never filled");
      listener.onGap(flow, side, nowNanos, missingBytes);
    }
  }

  /** Whether the segment is a SYN other than a retransmission of the one that opened the flow. */
  private boolean opensNewFlow(Flow flow, Segment segment) {
    return !segment.has(Segment.ACK)
        && (flow.closed
            || !flow.streams[currentSide].canStartAt(segment.sequenceNumber + 1, flow.openingSeen));
  }

  private Flow find(Segment segment) {
    if (lastFlow != null && matches(lastFlow.key, segment)) {
      return lastFlow;
    }
    Flow flow =
        flows.get(
            new Flow.Key(
                segment.sourceHigh,
                segment.sourceLow,
                segment.sourcePort,
                segment.destinationHigh,
                segment.destinationLow,
                segment.destinationPort));
    currentSide = 0;
    if (flow == null) {
      flow =
          flows.get(
              new Flow.Key(
                  segment.destinationHigh,
                  segment.destinationLow,
                  segment.destinationPort,
                  segment.sourceHigh,
                  segment.sourceLow,
                  segment.sourcePort));
      currentSide = 1;
    }
    lastFlow = flow;
    return flow;
  }

  private boolean matches(Flow.Key key, Segment segment) {
    if (key.port0() == segment.sourcePort
        && key.port1() == segment.destinationPort
        && key.addressLow0() == segment.sourceLow
        && key.addressLow1() == segment.destinationLow
        && key.addressHigh0() == segment.sourceHigh
        && key.addressHigh1() == segment.destinationHigh) {
      currentSide = 0;
      return true;
    }
    if (key.port1() == segment.sourcePort
        && key.port0() == segment.destinationPort
        && key.addressLow1() == segment.sourceLow
        && key.addressLow0() == segment.destinationLow
        && key.addressHigh1() == segment.sourceHigh
        && key.addressHigh0() == segment.destinationHigh) {
      currentSide = 1;
      return true;
    }
    return false;
  }

  private Flow open(Segment segment) {
    for (Iterator<Flow> leastRecentlyUsed = flows.values().iterator();
        leastRecentlyUsed.hasNext(); ) {
      Flow flow = leastRecentlyUsed.next();
      boolean idle = nowNanos - flow.lastSeenNanos > limits.idleTimeout().toNanos();
      if (!idle && flows.size() < limits.maxFlows()) {
        break;
      }
      leastRecentlyUsed.remove();
      remove(flow, idle ? Flow.CloseReason.IDLE : Flow.CloseReason.EVICTED);
    }
    // the sender of a SYN-ACK did not open the flow
    boolean isSynAck = segment.has(Segment.SYN) && segment.has(Segment.ACK);
    currentSide = isSynAck ? 1 : 0;
    Flow flow =
        new Flow(
            flowsOpened++,
            isSynAck
                ? new Flow.Key(
                    segment.destinationHigh,
                    segment.destinationLow,
                    segment.destinationPort,
                    segment.sourceHigh,
                    segment.sourceLow,
                    segment.sourcePort)
                : new Flow.Key(
                    segment.sourceHigh,
                    segment.sourceLow,
                    segment.sourcePort,
                    segment.destinationHigh,
                    segment.destinationLow,
                    segment.destinationPort),
            nowNanos);
    flow.openingSeen = segment.has(Segment.SYN);
    flows.put(flow.key, flow);
    lastFlow = flow;
    listener.onFlowOpened(flow);
    return flow;
  }

  /**
   * Reports the flow's end. The flow stays in the table for some time, so that late segments do not
   * open a new flow.
   */
  private void endFlow(Flow flow, Flow.CloseReason reason) {
    if (!flow.closed) {
      startDelivery(flow, true);
      for (int streamSide = 0; streamSide < 2; streamSide++) {
        while (flow.streams[streamSide].hasGap()) {
          skipGap(flow, streamSide);
        }
        long missingBytes = flow.streams[streamSide].undeliveredBytes();
        if (missingBytes > 0) {
          flow.streams[streamSide].nextOffset += missingBytes;
          count("gaps that never filled");
          listener.onGap(flow, streamSide, nowNanos, missingBytes);
        }
      }
      flow.closed = true;
      listener.onFlowClosed(flow, reason, nowNanos);
    }
  }

  private void remove(Flow flow, Flow.CloseReason reason) {
    endFlow(flow, reason);
    if (lastFlow == flow) {
      lastFlow = null;
    }
    for (StreamReassembler stream : flow.streams) {
      bufferedBytes -= stream.bufferedBytes;
      if (stream.repeatedBytes > 0) {
        counts.merge("bytes that came again", stream.repeatedBytes, Long::sum);
      }
    }
    if (reason == Flow.CloseReason.EVICTED) {
      count("flows pushed out by newer ones");
    }
  }

  private void close(Flow flow, Flow.CloseReason reason) {
    flows.remove(flow.key);
    remove(flow, reason);
  }

  /** Ends every flow at the end of the file. */
  public void endAllFlows() {
    for (Flow flow : List.copyOf(flows.values())) {
      close(flow, Flow.CloseReason.END_OF_FILE);
    }
  }

  public int activeFlows() {
    return flows.size();
  }

  /** Bytes buffered behind gaps, over all flows. */
  public long bufferedBytes() {
    return bufferedBytes;
  }

  public long totalFlows() {
    return flowsOpened;
  }

  public Map<String, Long> counts() {
    return counts;
  }

  private void count(String cause) {
    counts.merge(cause, 1L, Long::sum);
  }
}
