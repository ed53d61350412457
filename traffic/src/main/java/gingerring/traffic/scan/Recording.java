package gingerring.traffic.scan;

import gingerring.traffic.flow.Bounds;
import gingerring.traffic.flow.FlowTable;
import gingerring.traffic.pcap.CaptureReader;
import gingerring.traffic.pcap.Layers;
import gingerring.traffic.pcap.Packet;
import gingerring.traffic.pcap.Segment;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** A capture file read from end to end, in one pass and bounded memory. */
public final class Recording {
  /**
   * What there was in it. {@code notRead} is by cause; {@code why} is empty where the file was
   * whole.
   */
  public record Summary(
      long packets,
      long bytes,
      long segments,
      long flows,
      long scans,
      long firstNanos,
      long lastNanos,
      long drops,
      CaptureReader.End end,
      String why,
      Map<String, Long> read,
      Map<String, Long> notRead,
      Trips trips) {}

  private Recording() {}

  /** Tells each scan once it has ended; {@code wanted} picks the segments that are looked at. */
  public static Summary read(
      Path file, Bounds bounds, Predicate<Segment> wanted, Consumer<ObservedScan> scans)
      throws IOException {
    try (CaptureReader capture = CaptureReader.open(file)) {
      return read(capture, bounds, wanted, scans);
    }
  }

  public static Summary read(
      CaptureReader capture,
      Bounds bounds,
      Predicate<Segment> wanted,
      Consumer<ObservedScan> scans) {
    return skim(capture, bounds, wanted, exchange -> scans.accept(exchange.seen()));
  }

  /** The same for those who need not know everything of each scan. */
  public static Summary skim(
      CaptureReader capture, Bounds bounds, Predicate<Segment> wanted, Consumer<Exchange> scans) {
    long[] told = {0};
    ScanReader reader =
        new ScanReader(
            exchange -> {
              told[0]++;
              scans.accept(exchange);
            });
    FlowTable table = new FlowTable(bounds, reader);
    Layers layers = new Layers();
    Packet packet = new Packet();
    Segment segment = new Segment();
    long packets = 0;
    long bytes = 0;
    long segments = 0;
    long first = 0;
    long last = 0;
    while (capture.next(packet)) {
      first = packets == 0 ? packet.nanos : first;
      last = Math.max(last, packet.nanos);
      packets++;
      bytes += packet.length;
      if (layers.read(packet, segment) && wanted.test(segment)) {
        segments++;
        table.segment(segment);
      }
    }
    table.end();
    Map<String, Long> notRead = new TreeMap<>(layers.counts());
    notRead.putAll(table.counts());
    return new Summary(
        packets,
        bytes,
        segments,
        table.flowsSeen(),
        told[0],
        first,
        last,
        capture.drops(),
        capture.end(),
        capture.why(),
        reader.counts(),
        notRead,
        reader.trips());
  }
}
