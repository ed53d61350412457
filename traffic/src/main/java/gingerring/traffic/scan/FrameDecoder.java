package gingerring.traffic.scan;

import gingerring.traffic.flow.Flow;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** A mixer's connection to a searcher: calls and their returns, matched by the parts' ids. */
final class FrameDecoder implements ProtocolDecoder {
  /**
   * More parts than this are not out on one connection; the eldest is forgotten, and counted
   * unanswered.
   */
  private static final int OUT_MOST = 1 << 16;

  private final ScanReader reader;
  private final SearcherTraffic trips;
  private final int mixer;
  private final String searcher;
  private final FrameSplitter[] frames = {new FrameSplitter(), new FrameSplitter()};
  private final Map<String, Long> out = new LinkedHashMap<>();
  private boolean complained;

  FrameDecoder(ScanReader reader, Flow flow, int mixer) {
    this.reader = reader;
    this.mixer = mixer;
    trips = reader.searcherTraffic();
    searcher = flow.address(1 - mixer).getHostAddress() + ':' + flow.port(1 - mixer);
    reader.count("connections to searchers");
  }

  @Override
  public void onData(int side, long nanos, long taken, byte[] bytes, int at, int length) {
    if (!frames[side].append(bytes, at, length, nanos, side == mixer ? this::said : this::heard)) {
      lost();
    }
  }

  private void lost() {
    if (!complained) {
      complained = true;
      reader.count("connections to searchers that could not be read on");
    }
  }

  private void said(byte[] frame, long nanos) {
    switch (frame[0]) {
      case 'S' -> call(frame, nanos);
      case 'C' -> trips.cancellations++;
      case 'H', 'M' -> trips.probes++;
      default -> reader.count("frames that are not of the protocol");
    }
  }

  private void call(byte[] frame, long nanos) {
    trips.calls++;
    for (int at = 1; at < frame.length; ) {
      int end = at;
      while (end < frame.length && frame[end] != '\n') {
        end++;
      }
      String[] words = new String(frame, at, end - at, StandardCharsets.ISO_8859_1).split(" ");
      if (end == frame.length || words.length != 4 || !words[3].matches("[0-9]{1,6}")) {
        reader.count("frames that are not of the protocol");
        return;
      }
      trips.parts++;
      trips.partsBySearcher.merge(searcher, 1L, Long::sum);
      out.put(words[0], nanos);
      if (out.size() > OUT_MOST) {
        out.remove(out.keySet().iterator().next());
        trips.unanswered++;
      }
      at = end + 1 + Integer.parseInt(words[3]);
    }
  }

  private void heard(byte[] frame, long nanos) {
    if (frame[0] != 'R') {
      if (frame[0] != 'H' && frame[0] != 'M') {
        reader.count("frames that are not of the protocol");
      }
      return;
    }
    int end = 1;
    while (end < frame.length && frame[end] != '\n') {
      end++;
    }
    String[] words = new String(frame, 1, end - 1, StandardCharsets.ISO_8859_1).split(" ");
    if (words.length != 4) {
      reader.count("frames that are not of the protocol");
      return;
    }
    Long since = out.remove(words[0]);
    trips.returnsByStatus.merge(
        words[1].matches("done|failed|full") ? words[1] : "other", 1L, Long::sum);
    if (since != null) {
      trips.matchedReturns++;
      trips.totalWaitNanos += nanos - since;
    }
  }

  @Override
  public void onGap(int side, long nanos, long missing) {
    frames[side].markUndecodable();
    lost();
  }

  @Override
  public void onEndOfStream(int side, long nanos) {}

  @Override
  public void onClosed(Flow.CloseReason how, long nanos) {
    trips.unanswered += out.size();
  }
}
