package gingerring.traffic.scan;

import gingerring.traffic.flow.Flow;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Decodes a mixer's connection to a searcher: call frames and return frames, matched by part id.
 */
final class FrameDecoder implements ProtocolDecoder {
  /**
   * Limit on the unanswered parts of one connection. Beyond it the oldest part is dropped and
   * counted as unanswered.
   */
  private static final int MAX_PARTS_IN_FLIGHT = 1 << 16;

  private final ScanReader reader;
  private final SearcherTraffic traffic;
  private final int mixerSide;
  private final String searcher;
  private final FrameSplitter[] splitters = {new FrameSplitter(), new FrameSplitter()};
  private final Map<String, Long> callNanosByPartId = new LinkedHashMap<>();
  private boolean undecodableReported;

  FrameDecoder(ScanReader reader, Flow flow, int mixerSide) {
    this.reader = reader;
    this.mixerSide = mixerSide;
    traffic = reader.searcherTraffic();
    searcher = flow.address(1 - mixerSide).getHostAddress() + ':' + flow.port(1 - mixerSide);
    reader.count("connections to searchers");
  }

  @Override
  public void onData(
      int side,
      long timestampNanos,
      long acknowledgedPeerBytes,
      byte[] bytes,
      int offset,
      int length) {
    if (!splitters[side].append(
        bytes,
        offset,
        length,
        timestampNanos,
        side == mixerSide ? this::onMixerFrame : this::onSearcherFrame)) {
      reportUndecodable();
    }
  }

  private void reportUndecodable() {
    if (!undecodableReported) {
      undecodableReported = true;
      reader.count("connections to searchers that could not be read on");
    }
  }

  private void onMixerFrame(byte[] frame, long timestampNanos) {
    switch (frame[0]) {
      case 'S' -> onCallFrame(frame, timestampNanos);
      case 'C' -> traffic.cancellations++;
      case 'H', 'M' -> traffic.probes++;
      default -> reader.count("frames that are not of the protocol");
    }
  }

  private void onCallFrame(byte[] frame, long timestampNanos) {
    traffic.calls++;
    for (int offset = 1; offset < frame.length; ) {
      int lineEnd = offset;
      while (lineEnd < frame.length && frame[lineEnd] != '\n') {
        lineEnd++;
      }
      String[] fields =
          new String(frame, offset, lineEnd - offset, StandardCharsets.ISO_8859_1).split(" ");
      if (lineEnd == frame.length || fields.length != 4 || !fields[3].matches("[0-9]{1,6}")) {
        reader.count("frames that are not of the protocol");
        return;
      }
      traffic.parts++;
      traffic.partsBySearcher.merge(searcher, 1L, Long::sum);
      callNanosByPartId.put(fields[0], timestampNanos);
      if (callNanosByPartId.size() > MAX_PARTS_IN_FLIGHT) {
        callNanosByPartId.remove(callNanosByPartId.keySet().iterator().next());
        traffic.unanswered++;
      }
      offset = lineEnd + 1 + Integer.parseInt(fields[3]);
    }
  }

  private void onSearcherFrame(byte[] frame, long timestampNanos) {
    if (frame[0] != 'R') {
      if (frame[0] != 'H' && frame[0] != 'M') {
        reader.count("frames that are not of the protocol");
      }
      return;
    }
    int lineEnd = 1;
    while (lineEnd < frame.length && frame[lineEnd] != '\n') {
      lineEnd++;
    }
    String[] fields = new String(frame, 1, lineEnd - 1, StandardCharsets.ISO_8859_1).split(" ");
    if (fields.length != 4) {
      reader.count("frames that are not of the protocol");
      return;
    }
    Long callNanos = callNanosByPartId.remove(fields[0]);
    traffic.returnsByStatus.merge(
        fields[1].matches("done|failed|full") ? fields[1] : "other", 1L, Long::sum);
    if (callNanos != null) {
      traffic.matchedReturns++;
      traffic.totalWaitNanos += timestampNanos - callNanos;
    }
  }

  @Override
  public void onGap(int side, long timestampNanos, long missingBytes) {
    splitters[side].markUndecodable();
    reportUndecodable();
  }

  @Override
  public void onEndOfStream(int side, long timestampNanos) {}

  @Override
  public void onClosed(Flow.CloseReason reason, long timestampNanos) {
    traffic.unanswered += callNanosByPartId.size();
  }
}
