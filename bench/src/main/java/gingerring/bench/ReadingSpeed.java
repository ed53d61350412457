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
 * How fast whole files are read into scans, beside reading their bare bytes in the same run, and
 * with how much memory: files of 1/8, 1/2 and the whole of so many MB are made in a folder, read,
 * and deleted. Run with {@code -Xmx256m}: {@code ReadingSpeed FOLDER MEGABYTES}.
 */
public final class ReadingSpeed {
  private static final int CONNECTIONS = 2000;

  private ReadingSpeed() {}

  public static void main(String[] args) throws IOException {
    Path folder = Path.of(args[0]);
    long most = Long.parseLong(args[1]) << 20;
    System.out.println("file_mb,packets,scans,bare_mb_s,read_mb_s,packets_s,cpu_s,peak_heap_mb");
    for (long bytes : new long[] {most / 8, most / 2, most}) {
      Path file = folder.resolve("speed.pcap");
      long scans;
      try (CaptureWriter out = new CaptureWriter(file, PacketSynthesizer.LINK_TYPE_RAW)) {
        scans =
            new Traffic()
                .write(
                    CONNECTIONS,
                    bytes,
                    (nanos, packet, length) -> out.writePacket(nanos, packet, 0, length, length));
      }
      double size = Files.size(file) / 1048576.0;
      long start = System.nanoTime();
      try (InputStream in = Files.newInputStream(file)) {
        byte[] buffer = new byte[1 << 20];
        while (in.read(buffer) >= 0) {
          // the bytes alone
        }
      }
      double bare = (System.nanoTime() - start) / 1e9;
      System.gc();
      ManagementFactory.getMemoryPoolMXBeans().forEach(MemoryPoolMXBean::resetPeakUsage);
      long[] whole = {0};
      long cpu = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
      start = System.nanoTime();
      RecordingReader.Summary summary;
      try (CaptureReader capture = CaptureReader.open(file)) {
        summary =
            RecordingReader.readExchanges(
                capture,
                ReassemblyLimits.DEFAULT,
                s -> true,
                exchange ->
                    whole[0] += exchange.outcome() == ObservedScan.ScanOutcome.WHOLE ? 1 : 0);
      }
      double took = (System.nanoTime() - start) / 1e9;
      cpu = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - cpu;
      long peak =
          ManagementFactory.getMemoryPoolMXBeans().stream()
              .filter(pool -> pool.getType() == MemoryType.HEAP)
              .mapToLong(pool -> pool.getPeakUsage().getUsed())
              .sum();
      System.out.printf(
          Locale.ROOT,
          "%.0f,%d,%d,%.0f,%.0f,%.0f,%.2f,%d%n",
          size,
          summary.packets(),
          whole[0],
          size / bare,
          size / took,
          summary.packets() / took,
          cpu / 1e9,
          peak >> 20);
      if (whole[0] != scans) {
        throw new IOException("read " + whole[0] + " scans of " + scans);
      }
      Files.delete(file);
    }
  }
}
