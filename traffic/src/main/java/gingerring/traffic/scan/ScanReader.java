package gingerring.traffic.scan;

import gingerring.traffic.flow.Flow;
import gingerring.traffic.flow.FlowTable;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.regex.Pattern;

/**
 * Detects the protocol of each flow from its first bytes and decodes it: HTTP/1.1 with scans,
 * searcher frames, or an unknown protocol, which is counted and ignored. Scans are delivered when
 * they end, which is not always the order of their requests; {@link ObservedScan#number} follows
 * the order of the requests.
 */
public final class ScanReader implements FlowTable.FlowListener {
  /** A flow's attachment until its first bytes identify the protocol. */
  private static final class UndetectedProtocol {
    final byte[] head = new byte[8];
    int headSize;
    int headSide = -1;
    long headNanos;
    long headAcknowledgedPeerBytes;

    /**
     * Whether earlier bytes of the stream were skipped, so that the following bytes need not begin
     * a message.
     */
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
        public void onData(
            int side,
            long timestampNanos,
            long acknowledgedPeerBytes,
            byte[] bytes,
            int offset,
            int length) {}

        @Override
        public void onGap(int side, long timestampNanos, long missingBytes) {}

        @Override
        public void onEndOfStream(int side, long timestampNanos) {}

        @Override
        public void onClosed(Flow.CloseReason reason, long timestampNanos) {}
      };

  private static final Pattern REQUEST_START = Pattern.compile("(?s)[A-Z]{3,7} .*");

  private final Consumer<ScanExchange> exchangeConsumer;
  private final SearcherTraffic searcherTraffic = new SearcherTraffic();
  private final Map<String, Long> counts = new TreeMap<>();
  private long exchangesNumbered;

  public ScanReader(Consumer<ScanExchange> exchangeConsumer) {
    this.exchangeConsumer = exchangeConsumer;
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

  void count(String cause) {
    counts.merge(cause, 1L, Long::sum);
  }

  @Override
  public void onFlowOpened(Flow flow) {
    flow.attachment = new UndetectedProtocol();
  }

  @Override
  public void onData(
      Flow flow,
      int side,
      long timestampNanos,
      long acknowledgedPeerBytes,
      byte[] bytes,
      int offset,
      int length) {
    if (flow.attachment instanceof UndetectedProtocol undetected) {
      if (undetected.headSide >= 0 && undetected.headSide != side) {
        undetected.discardHead();
      }
      int headBytes = Math.min(length, undetected.head.length - undetected.headSize);
      System.arraycopy(bytes, offset, undetected.head, undetected.headSize, headBytes);
      if (undetected.headSize == 0) {
        undetected.headNanos = timestampNanos;
        undetected.headAcknowledgedPeerBytes = acknowledgedPeerBytes;
      }
      undetected.headSide = side;
      undetected.headSize += headBytes;
      if (undetected.headSize < undetected.head.length && !holdsWholeFrame(undetected)) {
        return;
      }
      long startOffset = flow.deliveredBytes(side) - (length - headBytes) - undetected.headSize;
      ProtocolDecoder decoder = createDecoder(flow, side, undetected, startOffset);
      if (decoder == null) {
        // the capture begins inside a message: the next segment may begin another
        undetected.discardHead();
        return;
      }
      flow.attachment = decoder;
      decoder.onData(
          side,
          undetected.headNanos,
          undetected.headAcknowledgedPeerBytes,
          undetected.head,
          0,
          undetected.headSize);
      offset += headBytes;
      length -= headBytes;
    }
    if (length > 0) {
      ((ProtocolDecoder) flow.attachment)
          .onData(side, timestampNanos, acknowledgedPeerBytes, bytes, offset, length);
    }
  }

  /**
   * Whether the first bytes hold a whole frame. A probe frame is shorter than the prefix needed to
   * recognise an HTTP request.
   */
  private static boolean holdsWholeFrame(UndetectedProtocol undetected) {
    return undetected.headSize >= 5
        && FrameSplitter.frameLength(undetected.head) >= 1
        && undetected.headSize >= 4 + FrameSplitter.frameLength(undetected.head);
  }

  private ProtocolDecoder createDecoder(
      Flow flow, int side, UndetectedProtocol undetected, long startOffset) {
    String head = new String(undetected.head, 0, undetected.headSize, StandardCharsets.ISO_8859_1);
    if (head.startsWith("HTTP/1.")) {
      return new HttpDecoder(this, flow, 1 - side, side, startOffset);
    }
    if (REQUEST_START.matcher(head).matches()) {
      return new HttpDecoder(this, flow, side, side, startOffset);
    }
    if (FrameSplitter.startsWithFrame(undetected.head, undetected.headSize)) {
      return new FrameDecoder(
          this, flow, undetected.head[4] == 'R' || undetected.head[4] == 'F' ? 1 - side : side);
    }
    if (!flow.openingSeen || undetected.midStream) {
      return null;
    }
    count("connections that speak something else");
    return IGNORING_DECODER;
  }

  @Override
  public void onGap(Flow flow, int side, long timestampNanos, long missingBytes) {
    if (flow.attachment instanceof ProtocolDecoder decoder) {
      decoder.onGap(side, timestampNanos, missingBytes);
    } else {
      ((UndetectedProtocol) flow.attachment).discardHead();
    }
  }

  @Override
  public void onEndOfStream(Flow flow, int side, long timestampNanos) {
    if (flow.attachment instanceof ProtocolDecoder decoder) {
      decoder.onEndOfStream(side, timestampNanos);
    }
  }

  @Override
  public void onFlowClosed(Flow flow, Flow.CloseReason reason, long timestampNanos) {
    if (flow.attachment instanceof ProtocolDecoder decoder) {
      decoder.onClosed(reason, timestampNanos);
    } else if (flow.attachment instanceof UndetectedProtocol undetected
        && (undetected.headSize > 0 || undetected.midStream)) {
      count("connections of which no message was seen to begin");
    }
    flow.attachment = IGNORING_DECODER;
  }
}
