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

/** Reads a capture file from start to end, in one pass and bounded memory. */
public final class RecordingReader {
  /**
   * Totals of a capture. {@code skippedCounts} is by cause; {@code endReason} is empty if the file
   * was complete.
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

  /**
   * Passes each scan to {@code scanConsumer} when it has ended; {@code segmentFilter} selects the
   * segments to read.
   */
  public static Summary read(
      Path file,
      ReassemblyLimits bounds,
      Predicate<Segment> segmentFilter,
      Consumer<ObservedScan> scanConsumer)
      throws IOException {
    try (CaptureReader capture = CaptureReader.open(file)) {
      return read(capture, bounds, segmentFilter, scanConsumer);
    }
  }

  public static Summary read(
      CaptureReader capture,
      ReassemblyLimits bounds,
      Predicate<Segment> segmentFilter,
      Consumer<ObservedScan> scanConsumer) {
    return readExchanges(
        capture, bounds, segmentFilter, exchange -> scanConsumer.accept(exchange.toObservedScan()));
  }

  /** Reads the capture without parsing each scan completely. */
  public static Summary readExchanges(
      CaptureReader capture,
      ReassemblyLimits bounds,
      Predicate<Segment> segmentFilter,
      Consumer<ScanExchange> exchangeConsumer) {
    long[] scanCount = {0};
    ScanReader reader =
        new ScanReader(
            exchange -> {
              scanCount[0]++;
              exchangeConsumer.accept(exchange);
            });
    FlowTable flowTable = new FlowTable(bounds, reader);
    PacketDecoder packetDecoder = new PacketDecoder();
    Packet packet = new Packet();
    Segment segment = new Segment();
    long packets = 0;
    long capturedBytes = 0;
    long segments = 0;
    long firstNanos = 0;
    long lastNanos = 0;
    while (capture.next(packet)) {
      firstNanos = packets == 0 ? packet.timestampNanos : firstNanos;
      lastNanos = Math.max(lastNanos, packet.timestampNanos);
      packets++;
      capturedBytes += packet.length;
      if (packetDecoder.decode(packet, segment) && segmentFilter.test(segment)) {
        segments++;
        flowTable.process(segment);
      }
    }
    flowTable.endAllFlows();
    Map<String, Long> skippedCounts = new TreeMap<>(packetDecoder.counts());
    skippedCounts.putAll(flowTable.counts());
    return new Summary(
        packets,
        capturedBytes,
        segments,
        flowTable.totalFlows(),
        scanCount[0],
        firstNanos,
        lastNanos,
        capture.droppedPackets(),
        capture.endState(),
        capture.endReason(),
        reader.counts(),
        skippedCounts,
        reader.searcherTraffic());
  }
}
