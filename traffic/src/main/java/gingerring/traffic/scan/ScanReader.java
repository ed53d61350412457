package gingerring.traffic.scan;

import gingerring.traffic.flow.Flow;
import gingerring.traffic.flow.FlowTable;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.regex.Pattern;

/**
 * Tells what each flow speaks by its first bytes, and reads it: HTTP/1.1 with scans, the searchers'
 * frames, or something foreign, which is counted and left. Scans come out when they have ended,
 * which is not always the order in which they were asked: {@link ObservedScan#number} counts by
 * their asking.
 */
public final class ScanReader implements FlowTable.FlowListener {
  /** What a flow's owner is until enough of it was seen to tell. */
  private static final class UndetectedProtocol {
    final byte[] head = new byte[8];
    int headSize;
    int headSide = -1;
    long headNanos;
    long headAcknowledgedPeerBytes;

    /** Some of its bytes were passed over: any that follow may begin a message. */
    boolean midStream;

    void discardHead() {
      headSize = 0;
      headSide = -1;
      midStream = true;
    }
  }

  private static final ProtocolDecoder IGNORING_DECODER =
      new ProtocolDecoder() {
        @Override
        public void onData(int side, long nanos, long taken, byte[] bytes, int at, int length) {}

        @Override
        public void onGap(int side, long nanos, long missing) {}

        @Override
        public void onEndOfStream(int side, long nanos) {}

        @Override
        public void onClosed(Flow.CloseReason how, long nanos) {}
      };

  private static final Pattern REQUEST_START = Pattern.compile("(?s)[A-Z]{3,7} .*");

  private final Consumer<ScanExchange> exchangeConsumer;
  private final SearcherTraffic searcherTraffic = new SearcherTraffic();
  private final Map<String, Long> counts = new TreeMap<>();
  private long exchangesNumbered;

  public ScanReader(Consumer<ScanExchange> scans) {
    this.exchangeConsumer = scans;
  }

  public Map<String, Long> counts() {
    return counts;
  }

  public SearcherTraffic searcherTraffic() {
    return searcherTraffic;
  }

  long nextNumber() {
    return exchangesNumbered++;
  }

  void deliver(ScanExchange exchange) {
    exchangeConsumer.accept(exchange);
  }

  void count(String what) {
    counts.merge(what, 1L, Long::sum);
  }

  @Override
  public void onFlowOpened(Flow flow) {
    flow.attachment = new UndetectedProtocol();
  }

  @Override
  public void onData(
      Flow flow, int side, long nanos, long taken, byte[] bytes, int at, int length) {
    if (flow.attachment instanceof UndetectedProtocol unknown) {
      if (unknown.headSide >= 0 && unknown.headSide != side) {
        unknown.discardHead();
      }
      int used = Math.min(length, unknown.head.length - unknown.headSize);
      System.arraycopy(bytes, at, unknown.head, unknown.headSize, used);
      if (unknown.headSize == 0) {
        unknown.headNanos = nanos;
        unknown.headAcknowledgedPeerBytes = taken;
      }
      unknown.headSide = side;
      unknown.headSize += used;
      if (unknown.headSize < unknown.head.length && !holdsWholeFrame(unknown)) {
        return;
      }
      long begin = flow.deliveredBytes(side) - (length - used) - unknown.headSize;
      ProtocolDecoder talk = createDecoder(flow, side, unknown, begin);
      if (talk == null) {
        // a capture that begins in the midst of a message: the next segment may begin another
        unknown.discardHead();
        return;
      }
      flow.attachment = talk;
      talk.onData(
          side,
          unknown.headNanos,
          unknown.headAcknowledgedPeerBytes,
          unknown.head,
          0,
          unknown.headSize);
      at += used;
      length -= used;
    }
    if (length > 0) {
      ((ProtocolDecoder) flow.attachment).onData(side, nanos, taken, bytes, at, length);
    }
  }

  /** A probe's frame is shorter than what tells an HTTP request. */
  private static boolean holdsWholeFrame(UndetectedProtocol unknown) {
    return unknown.headSize >= 5
        && FrameSplitter.frameLength(unknown.head) >= 1
        && unknown.headSize >= 4 + FrameSplitter.frameLength(unknown.head);
  }

  private ProtocolDecoder createDecoder(
      Flow flow, int side, UndetectedProtocol unknown, long begin) {
    String head = new String(unknown.head, 0, unknown.headSize, StandardCharsets.ISO_8859_1);
    if (head.startsWith("HTTP/1.")) {
      return new HttpDecoder(this, flow, 1 - side, side, begin);
    }
    if (REQUEST_START.matcher(head).matches()) {
      return new HttpDecoder(this, flow, side, side, begin);
    }
    if (FrameSplitter.startsWithFrame(unknown.head, unknown.headSize)) {
      return new FrameDecoder(
          this, flow, unknown.head[4] == 'R' || unknown.head[4] == 'F' ? 1 - side : side);
    }
    if (!flow.openingSeen || unknown.midStream) {
      return null;
    }
    count("connections that speak something else");
    return IGNORING_DECODER;
  }

  @Override
  public void onGap(Flow flow, int side, long nanos, long missing) {
    if (flow.attachment instanceof ProtocolDecoder talk) {
      talk.onGap(side, nanos, missing);
    } else {
      ((UndetectedProtocol) flow.attachment).discardHead();
    }
  }

  @Override
  public void onEndOfStream(Flow flow, int side, long nanos) {
    if (flow.attachment instanceof ProtocolDecoder talk) {
      talk.onEndOfStream(side, nanos);
    }
  }

  @Override
  public void onFlowClosed(Flow flow, Flow.CloseReason how, long nanos) {
    if (flow.attachment instanceof ProtocolDecoder talk) {
      talk.onClosed(how, nanos);
    } else if (flow.attachment instanceof UndetectedProtocol unknown
        && (unknown.headSize > 0 || unknown.midStream)) {
      count("connections of which no message was seen to begin");
    }
    flow.attachment = IGNORING_DECODER;
  }
}
