package gingerring.traffic.flow;

import gingerring.traffic.pcap.Segment;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Call {@link #segment} for each segment in the order of the file, then {@link #end}. What is in
 * order goes to the {@link Sink} at once. The same segments give the same calls.
 *
 * <p>A flow that was not seen to open begins with the lowest byte among its first segments, or
 * where its peer waited for more; until that is sure they are held. A SYN with another number on
 * the ports of a known flow ends that and begins a new one.
 */
public final class FlowTable {
  /** Who is told of flows. Sides are 0, which opened it or was seen first, and 1. */
  public interface Sink {
    void opened(Flow flow);

    /**
     * Bytes next in the stream of a side; they are to be copied if kept. {@code nanos} is when they
     * were captured, {@code taken} how much of the other side's stream their sender had
     * acknowledged by then.
     */
    void bytes(Flow flow, int side, long nanos, long taken, byte[] bytes, int at, int length);

    /** So many bytes of the stream never came. */
    void gap(Flow flow, int side, long nanos, long missing);

    /** This side ended its stream. */
    void finished(Flow flow, int side, long nanos);

    void closed(Flow flow, Flow.How how, long nanos);
  }

  /** After so many segments of a flow it is taken to begin with what was seen of it by then. */
  private static final int UNSETTLED_MOST = 32;

  private final Bounds bounds;
  private final Sink sink;
  private final LinkedHashMap<Flow.Key, Flow> flows = new LinkedHashMap<>(1024, 0.75f, true);
  private final Map<String, Long> counts = new TreeMap<>();
  private long numbers;
  private long held;
  private long now;
  private final Out out = new Out();
  private Flow last;
  private int side;

  public FlowTable(Bounds bounds, Sink sink) {
    this.bounds = bounds;
    this.sink = sink;
  }

  public void segment(Segment s) {
    now = Math.max(now, s.nanos);
    Flow flow = find(s);
    if (flow != null && s.has(Segment.SYN) && opensAnew(flow, s)) {
      close(flow, Flow.How.REUSED);
      flow = null;
    }
    if (flow == null) {
      flow = open(s);
    }
    flow.seen = now;
    if (flow.over) {
      if (s.length > 0) {
        count("segments after the end of their flow");
      }
      return;
    }
    Direction mine = flow.directions[side];
    Direction peers = flow.directions[1 - side];
    if (!mine.known) {
      mine.begin(s.has(Segment.SYN) ? s.sequence + 1 : s.sequence);
    }
    if (s.has(Segment.SYN)) {
      mine.settleAt(s.sequence + 1);
      flow.whole = true;
    }
    if (s.has(Segment.ACK)) {
      if (!peers.known) {
        peers.begin(s.acknowledged);
      }
      peers.taken(s.acknowledged);
    }
    if (!mine.flowing) {
      begin(flow, ++flow.unsettled >= UNSETTLED_MOST);
    }
    long offset = mine.offset(s.has(Segment.SYN) ? s.sequence + 1 : s.sequence);
    if (mine.far(offset)) {
      count("segments far outside their window");
      return;
    }
    data(flow, mine, offset, s);
    if (s.has(Segment.FIN) && mine.finAt < 0) {
      mine.finAt = offset + s.length + s.missing;
    }
    for (int which = 0; which < 2; which++) {
      if (flow.directions[which].finished() && !flow.directions[which].finTold) {
        flow.directions[which].finTold = true;
        sink.finished(flow, which, now);
      }
    }
    if (s.has(Segment.RST)) {
      end(flow, Flow.How.RESET);
    } else if (mine.finTold && peers.finTold) {
      end(flow, Flow.How.FINISHED);
    }
  }

  /** Both directions flow once it is sure where they begin, or {@code at once}. */
  private void begin(Flow flow, boolean atOnce) {
    Direction one = flow.directions[0];
    Direction other = flow.directions[1];
    if (atOnce) {
      one.settle();
      other.settle();
    }
    if (one.settled && other.settled && !one.flowing) {
      one.flowing = true;
      other.flowing = true;
      drain(flow, 0);
      drain(flow, 1);
    }
  }

  private void drain(Flow flow, int which) {
    Direction direction = flow.directions[which];
    int before = direction.held;
    direction.drain(out.of(flow, which));
    held += direction.held - before;
  }

  private void data(Flow flow, Direction mine, long offset, Segment s) {
    int before = mine.held;
    long conflicts = mine.conflicting;
    if (s.length > 0) {
      mine.add(offset, s.bytes, s.at, s.length, s.nanos, s.acknowledged, out.of(flow, side));
    }
    if (mine.conflicting > conflicts) {
      count("segments that contradict what came before");
    }
    held += mine.held - before;
    while (mine.gapped()
        && (mine.held > bounds.heldPerDirection()
            || held > bounds.heldInAll()
            || now - mine.gapSince > bounds.patience().toNanos())) {
      if (mine.flowing) {
        giveUp(flow, side);
      } else {
        begin(flow, true);
      }
    }
  }

  private void giveUp(Flow flow, int which) {
    Direction direction = flow.directions[which];
    int before = direction.held;
    direction.giveUp(now, out.of(flow, which));
    held += direction.held - before;
  }

  /** Passes on to the sink; one is enough, as nothing keeps it. */
  private final class Out implements Direction.Out {
    private Flow flow;
    private int side;

    Out of(Flow whose, int which) {
      flow = whose;
      side = which;
      return this;
    }

    @Override
    public void bytes(byte[] bytes, int at, int length, long nanos, int acknowledged) {
      sink.bytes(
          flow, side, nanos, flow.directions[1 - side].offset(acknowledged), bytes, at, length);
    }

    @Override
    public void gap(long missing) {
      count("gaps that never filled");
      sink.gap(flow, side, now, missing);
    }
  }

  /** A SYN that is no repeat of the one that opened this flow. */
  private boolean opensAnew(Flow flow, Segment s) {
    return !s.has(Segment.ACK)
        && (flow.over || !flow.directions[side].mayBeginAt(s.sequence + 1, flow.whole));
  }

  private Flow find(Segment s) {
    if (last != null && matches(last.key, s)) {
      return last;
    }
    Flow flow =
        flows.get(new Flow.Key(s.fromHigh, s.fromLow, s.fromPort, s.toHigh, s.toLow, s.toPort));
    side = 0;
    if (flow == null) {
      flow =
          flows.get(new Flow.Key(s.toHigh, s.toLow, s.toPort, s.fromHigh, s.fromLow, s.fromPort));
      side = 1;
    }
    last = flow;
    return flow;
  }

  private boolean matches(Flow.Key key, Segment s) {
    if (key.portA() == s.fromPort
        && key.portB() == s.toPort
        && key.lowA() == s.fromLow
        && key.lowB() == s.toLow
        && key.highA() == s.fromHigh
        && key.highB() == s.toHigh) {
      side = 0;
      return true;
    }
    if (key.portB() == s.fromPort
        && key.portA() == s.toPort
        && key.lowB() == s.fromLow
        && key.lowA() == s.toLow
        && key.highB() == s.fromHigh
        && key.highA() == s.toHigh) {
      side = 1;
      return true;
    }
    return false;
  }

  private Flow open(Segment s) {
    for (Iterator<Flow> eldest = flows.values().iterator(); eldest.hasNext(); ) {
      Flow flow = eldest.next();
      boolean idle = now - flow.seen > bounds.idle().toNanos();
      if (!idle && flows.size() < bounds.flows()) {
        break;
      }
      eldest.remove();
      finish(flow, idle ? Flow.How.IDLE : Flow.How.PUSHED_OUT);
    }
    // who answers a SYN did not open the flow
    boolean answers = s.has(Segment.SYN) && s.has(Segment.ACK);
    side = answers ? 1 : 0;
    Flow flow =
        new Flow(
            numbers++,
            answers
                ? new Flow.Key(s.toHigh, s.toLow, s.toPort, s.fromHigh, s.fromLow, s.fromPort)
                : new Flow.Key(s.fromHigh, s.fromLow, s.fromPort, s.toHigh, s.toLow, s.toPort),
            now);
    flow.whole = s.has(Segment.SYN);
    flows.put(flow.key, flow);
    last = flow;
    sink.opened(flow);
    return flow;
  }

  /** It has ended, and stays a while so that late segments of it open no new one. */
  private void end(Flow flow, Flow.How how) {
    if (!flow.over) {
      begin(flow, true);
      for (int which = 0; which < 2; which++) {
        while (flow.directions[which].gapped()) {
          giveUp(flow, which);
        }
        long missing = flow.directions[which].missingAtEnd();
        if (missing > 0) {
          flow.directions[which].next += missing;
          count("gaps that never filled");
          sink.gap(flow, which, now, missing);
        }
      }
      flow.over = true;
      sink.closed(flow, how, now);
    }
  }

  private void finish(Flow flow, Flow.How how) {
    end(flow, how);
    if (last == flow) {
      last = null;
    }
    for (Direction direction : flow.directions) {
      held -= direction.held;
      if (direction.repeated > 0) {
        counts.merge("bytes that came again", direction.repeated, Long::sum);
      }
    }
    if (how == Flow.How.PUSHED_OUT) {
      count("flows pushed out by newer ones");
    }
  }

  private void close(Flow flow, Flow.How how) {
    flows.remove(flow.key);
    finish(flow, how);
  }

  /** The file has ended: so has every flow. */
  public void end() {
    for (Flow flow : List.copyOf(flows.values())) {
      close(flow, Flow.How.FILE_ENDED);
    }
  }

  public int flows() {
    return flows.size();
  }

  /** Bytes held for gaps to fill, over all flows. */
  public long held() {
    return held;
  }

  public long flowsSeen() {
    return numbers;
  }

  public Map<String, Long> counts() {
    return counts;
  }

  private void count(String cause) {
    counts.merge(cause, 1L, Long::sum);
  }
}
