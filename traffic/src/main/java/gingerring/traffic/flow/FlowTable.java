package gingerring.traffic.flow;

import gingerring.traffic.pcap.Segment;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Call {@link #process} for each segment in the order of the file, then {@link #endAllFlows}. What
 * is in order goes to the {@link Sink} at once. The same segments give the same calls.
 *
 * <p>A flow that was not seen to open begins with the lowest byte among its first segments, or
 * where its peer waited for more; until that is sure they are held. A SYN with another number on
 * the ports of a known flow ends that and begins a new one.
 */
public final class FlowTable {
  /** Who is told of flows. Sides are 0, which opened it or was seen first, and 1. */
  public interface FlowListener {
    void onFlowOpened(Flow flow);

    /**
     * Bytes next in the stream of a side; they are to be copied if kept. {@code nanos} is when they
     * were captured, {@code taken} how much of the other side's stream their sender had
     * acknowledged by then.
     */
    void onData(Flow flow, int side, long nanos, long taken, byte[] bytes, int at, int length);

    /** So many bytes of the stream never came. */
    void onGap(Flow flow, int side, long nanos, long missing);

    /** This side ended its stream. */
    void onEndOfStream(Flow flow, int side, long nanos);

    void onFlowClosed(Flow flow, Flow.CloseReason how, long nanos);
  }

  /** After so many segments of a flow it is taken to begin with what was seen of it by then. */
  private static final int MAX_SEGMENTS_BEFORE_START = 32;

  private final ReassemblyLimits limits;
  private final FlowListener sink;
  private final LinkedHashMap<Flow.Key, Flow> flows = new LinkedHashMap<>(1024, 0.75f, true);
  private final Map<String, Long> counts = new TreeMap<>();
  private long flowsOpened;
  private long bufferedBytes;
  private long nowNanos;
  private final SinkAdapter sinkAdapter = new SinkAdapter();
  private Flow lastFlow;
  private int currentSide;

  public FlowTable(ReassemblyLimits bounds, FlowListener sink) {
    this.limits = bounds;
    this.sink = sink;
  }

  public void process(Segment s) {
    nowNanos = Math.max(nowNanos, s.timestampNanos);
    Flow flow = find(s);
    if (flow != null && s.has(Segment.SYN) && opensNewFlow(flow, s)) {
      close(flow, Flow.CloseReason.PORTS_REUSED);
      flow = null;
    }
    if (flow == null) {
      flow = open(s);
    }
    flow.lastSeenNanos = nowNanos;
    if (flow.closed) {
      if (s.payloadLength > 0) {
        count("segments after the end of their flow");
      }
      return;
    }
    StreamReassembler mine = flow.streams[currentSide];
    StreamReassembler peers = flow.streams[1 - currentSide];
    if (!mine.hasStart) {
      mine.setProvisionalStart(s.has(Segment.SYN) ? s.sequenceNumber + 1 : s.sequenceNumber);
    }
    if (s.has(Segment.SYN)) {
      mine.setStart(s.sequenceNumber + 1);
      flow.openingSeen = true;
    }
    if (s.has(Segment.ACK)) {
      if (!peers.hasStart) {
        peers.setProvisionalStart(s.ackNumber);
      }
      peers.onAcknowledged(s.ackNumber);
    }
    if (!mine.delivering) {
      startDelivery(flow, ++flow.segmentsBeforeStart >= MAX_SEGMENTS_BEFORE_START);
    }
    long offset = mine.offsetOf(s.has(Segment.SYN) ? s.sequenceNumber + 1 : s.sequenceNumber);
    if (mine.isOutsideWindow(offset)) {
      count("segments far outside their window");
      return;
    }
    acceptPayload(flow, mine, offset, s);
    if (s.has(Segment.FIN) && mine.finOffset < 0) {
      mine.finOffset = offset + s.payloadLength + s.truncatedBytes;
    }
    for (int which = 0; which < 2; which++) {
      if (flow.streams[which].isComplete() && !flow.streams[which].finReported) {
        flow.streams[which].finReported = true;
        sink.onEndOfStream(flow, which, nowNanos);
      }
    }
    if (s.has(Segment.RST)) {
      endFlow(flow, Flow.CloseReason.RESET);
    } else if (mine.finReported && peers.finReported) {
      endFlow(flow, Flow.CloseReason.FINISHED);
    }
  }

  /** Both directions flow once it is sure where they begin, or {@code at once}. */
  private void startDelivery(Flow flow, boolean atOnce) {
    StreamReassembler one = flow.streams[0];
    StreamReassembler other = flow.streams[1];
    if (atOnce) {
      one.settleStart();
      other.settleStart();
    }
    if (one.startSettled && other.startSettled && !one.delivering) {
      one.delivering = true;
      other.delivering = true;
      deliverContiguous(flow, 0);
      deliverContiguous(flow, 1);
    }
  }

  private void deliverContiguous(Flow flow, int which) {
    StreamReassembler direction = flow.streams[which];
    int before = direction.bufferedBytes;
    direction.deliverContiguous(sinkAdapter.forStream(flow, which));
    bufferedBytes += direction.bufferedBytes - before;
  }

  private void acceptPayload(Flow flow, StreamReassembler mine, long offset, Segment s) {
    int before = mine.bufferedBytes;
    long conflicts = mine.conflictingBlocks;
    if (s.payloadLength > 0) {
      mine.accept(
          offset,
          s.buffer,
          s.payloadOffset,
          s.payloadLength,
          s.timestampNanos,
          s.ackNumber,
          sinkAdapter.forStream(flow, currentSide));
    }
    if (mine.conflictingBlocks > conflicts) {
      count("segments that contradict what came before");
    }
    bufferedBytes += mine.bufferedBytes - before;
    while (mine.hasGap()
        && (mine.bufferedBytes > limits.maxBufferedPerDirection()
            || bufferedBytes > limits.maxBufferedTotal()
            || nowNanos - mine.gapSinceNanos > limits.gapTimeout().toNanos())) {
      if (mine.delivering) {
        skipGap(flow, currentSide);
      } else {
        startDelivery(flow, true);
      }
    }
  }

  private void skipGap(Flow flow, int which) {
    StreamReassembler direction = flow.streams[which];
    int before = direction.bufferedBytes;
    direction.skipGap(nowNanos, sinkAdapter.forStream(flow, which));
    bufferedBytes += direction.bufferedBytes - before;
  }

  /** Passes on to the sink; one is enough, as nothing keeps it. */
  private final class SinkAdapter implements StreamReassembler.StreamSink {
    private Flow flow;
    private int side;

    SinkAdapter forStream(Flow whose, int which) {
      flow = whose;
      side = which;
      return this;
    }

    @Override
    public void onData(byte[] bytes, int at, int length, long nanos, int acknowledged) {
      sink.onData(
          flow, side, nanos, flow.streams[1 - side].offsetOf(acknowledged), bytes, at, length);
    }

    @Override
    public void onGap(long missing) {
      count("gaps that never filled");
      sink.onGap(flow, side, nowNanos, missing);
    }
  }

  /** A SYN that is no repeat of the one that opened this flow. */
  private boolean opensNewFlow(Flow flow, Segment s) {
    return !s.has(Segment.ACK)
        && (flow.closed
            || !flow.streams[currentSide].canStartAt(s.sequenceNumber + 1, flow.openingSeen));
  }

  private Flow find(Segment s) {
    if (lastFlow != null && matches(lastFlow.key, s)) {
      return lastFlow;
    }
    Flow flow =
        flows.get(
            new Flow.Key(
                s.sourceHigh,
                s.sourceLow,
                s.sourcePort,
                s.destinationHigh,
                s.destinationLow,
                s.destinationPort));
    currentSide = 0;
    if (flow == null) {
      flow =
          flows.get(
              new Flow.Key(
                  s.destinationHigh,
                  s.destinationLow,
                  s.destinationPort,
                  s.sourceHigh,
                  s.sourceLow,
                  s.sourcePort));
      currentSide = 1;
    }
    lastFlow = flow;
    return flow;
  }

  private boolean matches(Flow.Key key, Segment s) {
    if (key.port0() == s.sourcePort
        && key.port1() == s.destinationPort
        && key.addressLow0() == s.sourceLow
        && key.addressLow1() == s.destinationLow
        && key.addressHigh0() == s.sourceHigh
        && key.addressHigh1() == s.destinationHigh) {
      currentSide = 0;
      return true;
    }
    if (key.port1() == s.sourcePort
        && key.port0() == s.destinationPort
        && key.addressLow1() == s.sourceLow
        && key.addressLow0() == s.destinationLow
        && key.addressHigh1() == s.sourceHigh
        && key.addressHigh0() == s.destinationHigh) {
      currentSide = 1;
      return true;
    }
    return false;
  }

  private Flow open(Segment s) {
    for (Iterator<Flow> eldest = flows.values().iterator(); eldest.hasNext(); ) {
      Flow flow = eldest.next();
      boolean idle = nowNanos - flow.lastSeenNanos > limits.idleTimeout().toNanos();
      if (!idle && flows.size() < limits.maxFlows()) {
        break;
      }
      eldest.remove();
      remove(flow, idle ? Flow.CloseReason.IDLE : Flow.CloseReason.EVICTED);
    }
    // who answers a SYN did not open the flow
    boolean answers = s.has(Segment.SYN) && s.has(Segment.ACK);
    currentSide = answers ? 1 : 0;
    Flow flow =
        new Flow(
            flowsOpened++,
            answers
                ? new Flow.Key(
                    s.destinationHigh,
                    s.destinationLow,
                    s.destinationPort,
                    s.sourceHigh,
                    s.sourceLow,
                    s.sourcePort)
                : new Flow.Key(
                    s.sourceHigh,
                    s.sourceLow,
                    s.sourcePort,
                    s.destinationHigh,
                    s.destinationLow,
                    s.destinationPort),
            nowNanos);
    flow.openingSeen = s.has(Segment.SYN);
    flows.put(flow.key, flow);
    lastFlow = flow;
    sink.onFlowOpened(flow);
    return flow;
  }

  /** It has ended, and stays a while so that late segments of it open no new one. */
  private void endFlow(Flow flow, Flow.CloseReason how) {
    if (!flow.closed) {
      startDelivery(flow, true);
      for (int which = 0; which < 2; which++) {
        while (flow.streams[which].hasGap()) {
          skipGap(flow, which);
        }
        long missing = flow.streams[which].undeliveredBytes();
        if (missing > 0) {
          flow.streams[which].nextOffset += missing;
          count("gaps that never filled");
          sink.onGap(flow, which, nowNanos, missing);
        }
      }
      flow.closed = true;
      sink.onFlowClosed(flow, how, nowNanos);
    }
  }

  private void remove(Flow flow, Flow.CloseReason how) {
    endFlow(flow, how);
    if (lastFlow == flow) {
      lastFlow = null;
    }
    for (StreamReassembler direction : flow.streams) {
      bufferedBytes -= direction.bufferedBytes;
      if (direction.repeatedBytes > 0) {
        counts.merge("bytes that came again", direction.repeatedBytes, Long::sum);
      }
    }
    if (how == Flow.CloseReason.EVICTED) {
      count("flows pushed out by newer ones");
    }
  }

  private void close(Flow flow, Flow.CloseReason how) {
    flows.remove(flow.key);
    remove(flow, how);
  }

  /** The file has ended: so has every flow. */
  public void endAllFlows() {
    for (Flow flow : List.copyOf(flows.values())) {
      close(flow, Flow.CloseReason.END_OF_FILE);
    }
  }

  public int activeFlows() {
    return flows.size();
  }

  /** Bytes held for gaps to fill, over all flows. */
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
