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
public final class ScanReader implements FlowTable.Sink {
  /** What a flow's owner is until enough of it was seen to tell. */
  private static final class Unknown {
    final byte[] head = new byte[8];
    int size;
    int side = -1;
    long nanos;
    long taken;

    /** Some of its bytes were passed over: any that follow may begin a message. */
    boolean amidst;

    void forget() {
      size = 0;
      side = -1;
      amidst = true;
    }
  }

  private static final Talk FOREIGN =
      new Talk() {
        @Override
        public void bytes(int side, long nanos, long taken, byte[] bytes, int at, int length) {}

        @Override
        public void gap(int side, long nanos, long missing) {}

        @Override
        public void finished(int side, long nanos) {}

        @Override
        public void closed(Flow.How how, long nanos) {}
      };

  private static final Pattern REQUEST = Pattern.compile("(?s)[A-Z]{3,7} .*");

  private final Consumer<Exchange> scans;
  private final Trips trips = new Trips();
  private final Map<String, Long> counts = new TreeMap<>();
  private long numbers;

  public ScanReader(Consumer<Exchange> scans) {
    this.scans = scans;
  }

  public Map<String, Long> counts() {
    return counts;
  }

  public Trips trips() {
    return trips;
  }

  long number() {
    return numbers++;
  }

  void scan(Exchange exchange) {
    scans.accept(exchange);
  }

  void count(String what) {
    counts.merge(what, 1L, Long::sum);
  }

  @Override
  public void opened(Flow flow) {
    flow.owner = new Unknown();
  }

  @Override
  public void bytes(Flow flow, int side, long nanos, long taken, byte[] bytes, int at, int length) {
    if (flow.owner instanceof Unknown unknown) {
      if (unknown.side >= 0 && unknown.side != side) {
        unknown.forget();
      }
      int used = Math.min(length, unknown.head.length - unknown.size);
      System.arraycopy(bytes, at, unknown.head, unknown.size, used);
      if (unknown.size == 0) {
        unknown.nanos = nanos;
        unknown.taken = taken;
      }
      unknown.side = side;
      unknown.size += used;
      if (unknown.size < unknown.head.length && !ended(unknown)) {
        return;
      }
      long begin = flow.position(side) - (length - used) - unknown.size;
      Talk talk = talk(flow, side, unknown, begin);
      if (talk == null) {
        // a capture that begins in the midst of a message: the next segment may begin another
        unknown.forget();
        return;
      }
      flow.owner = talk;
      talk.bytes(side, unknown.nanos, unknown.taken, unknown.head, 0, unknown.size);
      at += used;
      length -= used;
    }
    if (length > 0) {
      ((Talk) flow.owner).bytes(side, nanos, taken, bytes, at, length);
    }
  }

  /** A probe's frame is shorter than what tells an HTTP request. */
  private static boolean ended(Unknown unknown) {
    return unknown.size >= 5
        && Frames.length(unknown.head) >= 1
        && unknown.size >= 4 + Frames.length(unknown.head);
  }

  private Talk talk(Flow flow, int side, Unknown unknown, long begin) {
    String head = new String(unknown.head, 0, unknown.size, StandardCharsets.ISO_8859_1);
    if (head.startsWith("HTTP/1.")) {
      return new HttpTalk(this, flow, 1 - side, side, begin);
    }
    if (REQUEST.matcher(head).matches()) {
      return new HttpTalk(this, flow, side, side, begin);
    }
    if (Frames.looksLike(unknown.head, unknown.size)) {
      return new FrameTalk(
          this, flow, unknown.head[4] == 'R' || unknown.head[4] == 'F' ? 1 - side : side);
    }
    if (!flow.whole || unknown.amidst) {
      return null;
    }
    count("connections that speak something else");
    return FOREIGN;
  }

  @Override
  public void gap(Flow flow, int side, long nanos, long missing) {
    if (flow.owner instanceof Talk talk) {
      talk.gap(side, nanos, missing);
    } else {
      ((Unknown) flow.owner).forget();
    }
  }

  @Override
  public void finished(Flow flow, int side, long nanos) {
    if (flow.owner instanceof Talk talk) {
      talk.finished(side, nanos);
    }
  }

  @Override
  public void closed(Flow flow, Flow.How how, long nanos) {
    if (flow.owner instanceof Talk talk) {
      talk.closed(how, nanos);
    } else if (flow.owner instanceof Unknown unknown && (unknown.size > 0 || unknown.amidst)) {
      count("connections of which no message was seen to begin");
    }
    flow.owner = FOREIGN;
  }
}
