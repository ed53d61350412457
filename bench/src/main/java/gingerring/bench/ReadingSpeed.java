package gingerring.bench;

import gingerring.traffic.flow.ReassemblyLimits;
import gingerring.traffic.pcap.CaptureReader;
import gingerring.traffic.pcap.CaptureWriter;
import gingerring.traffic.record.PacketSynthesizer;
import gingerring.traffic.scan.ObservedScan;
import gingerring.traffic.scan.RecordingReader;
import java.io.IOException;
import java.io.InputStream;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryPoolMXBean;
import java.lang.management.MemoryType;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/**
 * Measures how fast whole capture files are parsed into scans and how much memory that takes,
 * compared with reading only the bytes in the same run. {@code ReadingSpeed FOLDER MEGABYTES}
 * writes files of 1/8, 1/2 and all of the given size to the folder, reads them and deletes them.
 * Run it with {@code -Xmx256m}.
 */
public final class ReadingSpeed {
  private static final int CONNECTIONS = 2000;

  private ReadingSpeed() {}

  public static void main(String[] args) throws IOException {
    Path folder = Path.of(args[0]);
    long maxBytes = Long.parseLong(args[1]) << 20;
    System.out.println("file_mb,packets,scans,bare_mb_s,read_mb_s,packets_s,cpu_s,peak_heap_mb");
    for (long bytes : new long[] {maxBytes / 8, maxBytes / 2, maxBytes}) {
      Path file = folder.resolve("speed.pcap");
      long writtenScans;
      try (CaptureWriter out = new CaptureWriter(file, PacketSynthesizer.LINK_TYPE_RAW)) {
        writtenScans =
            new SyntheticTraffic()
                .write(
                    CONNECTIONS,
                    bytes,
                    (nanos, packet, length) -> out.writePacket(nanos, packet, 0, length, length));
      }
      double fileMb = Files.size(file) / 1048576.0;
      long startNanos = System.nanoTime();
      try (InputStream in = Files.newInputStream(file)) {
        byte[] buffer = new byte[1 << 20];
        while (in.read(buffer) >= 0) {
          // read the bytes without parsing them
        }
      }
      double rawSeconds = (System.nanoTime() - startNanos) / 1e9;
      System.gc();
      ManagementFactory.getMemoryPoolMXBeans().forEach(MemoryPoolMXBean::resetPeakUsage);
      long[] wholeScans = {0};
      long cpuNanos = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
      startNanos = System.nanoTime();
      RecordingReader.Summary summary;
      try (CaptureReader capture = CaptureReader.open(file)) {
        summary =
            RecordingReader.readExchanges(
                capture,
                ReassemblyLimits.DEFAULT,
                segment -> true,
                exchange ->
                    wholeScans[0] += exchange.outcome() == ObservedScan.ScanOutcome.WHOLE ? 1 : 0);
      }
      double parseSeconds = (System.nanoTime() - startNanos) / 1e9;
      cpuNanos = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - cpuNanos;
      long peakHeapBytes =
          ManagementFactory.getMemoryPoolMXBeans().stream()
              .filter(pool -> pool.getType() == MemoryType.HEAP)
              .mapToLong(pool -> pool.getPeakUsage().getUsed())
              .sum();
      System.out.printf(
          Locale.ROOT,
          "%.0f,%d,%d,%.0f,%.0f,%.0f,%.2f,%d%n",
          fileMb,
          summary.packets(),
          wholeScans[0],
          fileMb / rawSeconds,
          fileMb / parseSeconds,
          summary.packets() / parseSeconds,
          cpuNanos / 1e9,
          peakHeapBytes >> 20);
      if (wholeScans[0] != writtenScans) {
        throw new IOException("read " + wholeScans[0] + " whole scans of " + writtenScans);
      }
      Files.delete(file);
    }
  }
}
