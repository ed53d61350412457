package gingerring.traffic.scan;

import gingerring.traffic.flow.FlowTable;
import gingerring.traffic.flow.ReassemblyLimits;
import gingerring.traffic.pcap.CaptureReader;
import gingerring.traffic.pcap.Packet;
import gingerring.traffic.pcap.PacketDecoder;
import gingerring.traffic.pcap.Segment;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** A capture file read from end to end, in one pass and bounded memory. */
public final class RecordingReader {
  /**
   * What there was in it. {@code notRead} is by cause; {@code why} is empty where the file was
   * whole.
   */
  public record Summary(
      long packets,
      long capturedBytes,
      long segments,
      long flows,
      long scans,
      long firstNanos,
      long lastNanos,
      long droppedPackets,
      CaptureReader.EndState endState,
      String endReason,
      Map<String, Long> messageCounts,
      Map<String, Long> skippedCounts,
      SearcherTraffic searcherTraffic) {}

  private RecordingReader() {}

  /** Tells each scan once it has ended; {@code wanted} picks the segments that are looked at. */
  public static Summary read(
      Path file, ReassemblyLimits bounds, Predicate<Segment> wanted, Consumer<ObservedScan> scans)
      throws IOException {
    try (CaptureReader capture = CaptureReader.open(file)) {
      return read(capture, bounds, wanted, scans);
    }
  }

  public static Summary read(
      CaptureReader capture,
      ReassemblyLimits bounds,
      Predicate<Segment> wanted,
      Consumer<ObservedScan> scans) {
    return readExchanges(
        capture, bounds, wanted, exchange -> scans.accept(exchange.toObservedScan()));
  }

  /** The same for those who need not know everything of each scan. */
  public static Summary readExchanges(
      CaptureReader capture,
      ReassemblyLimits bounds,
      Predicate<Segment> wanted,
      Consumer<ScanExchange> scans) {
    long[] told = {0};
    ScanReader reader =
        new ScanReader(
            exchange -> {
              told[0]++;
              scans.accept(exchange);
            });
    FlowTable table = new FlowTable(bounds, reader);
    PacketDecoder layers = new PacketDecoder();
    Packet packet = new Packet();
    Segment segment = new Segment();
    long packets = 0;
    long bytes = 0;
    long segments = 0;
    long first = 0;
    long last = 0;
    while (capture.next(packet)) {
      first = packets == 0 ? packet.timestampNanos : first;
      last = Math.max(last, packet.timestampNanos);
      packets++;
      bytes += packet.length;
      if (layers.decode(packet, segment) && wanted.test(segment)) {
        segments++;
        table.process(segment);
      }
    }
    table.endAllFlows();
    Map<String, Long> notRead = new TreeMap<>(layers.counts());
    notRead.putAll(table.counts());
    return new Summary(
        packets,
        bytes,
        segments,
        table.totalFlows(),
        told[0],
        first,
        last,
        capture.droppedPackets(),
        capture.endState(),
        capture.endReason(),
        reader.counts(),
        notRead,
        reader.searcherTraffic());
  }
}
