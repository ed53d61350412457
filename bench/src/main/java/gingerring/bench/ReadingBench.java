package gingerring.bench;

import gingerring.traffic.flow.ReassemblyLimits;
import gingerring.traffic.pcap.CaptureReader;
import gingerring.traffic.pcap.Packet;
import gingerring.traffic.pcap.PacketDecoder;
import gingerring.traffic.pcap.Segment;
import gingerring.traffic.scan.ObservedScan;
import gingerring.traffic.scan.RecordingReader;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OperationsPerInvocation;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures packets per second of each parsing stage on the same capture in memory. Each stage
 * includes the stages before it, so the ratios show the cost of each.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.Throughput)
@OutputTimeUnit(TimeUnit.SECONDS)
@Warmup(iterations = 2, time = 2)
@Measurement(iterations = 3, time = 3)
@Fork(1)
public class ReadingBench {
  private static final int PACKET_COUNT = 30_000;

  private byte[] capture;

  @Setup
  public void createCapture() throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(bytes);
    for (int value : new int[] {0xa1b23c4d, 2 << 16 | 4, 0, 0, 1 << 18, 101}) {
      out.writeInt(value);
    }
    int[] writtenPackets = {0};
    new SyntheticTraffic()
        .write(
            500,
            64L << 20,
            (nanos, packet, length) -> {
              if (writtenPackets[0]++ < PACKET_COUNT) {
                out.writeInt((int) (nanos / 1_000_000_000));
                out.writeInt((int) (nanos % 1_000_000_000));
                out.writeInt(length);
                out.writeInt(length);
                out.write(packet, 0, length);
              }
            });
    capture = bytes.toByteArray();
  }

  private CaptureReader reader() throws IOException {
    return CaptureReader.fromStream("capture", new ByteArrayInputStream(capture));
  }

  @Benchmark
  @OperationsPerInvocation(PACKET_COUNT)
  public long packets() throws IOException {
    CaptureReader reader = reader();
    Packet packet = new Packet();
    long bytes = 0;
    while (reader.next(packet)) {
      bytes += packet.length;
    }
    return bytes;
  }

  @Benchmark
  @OperationsPerInvocation(PACKET_COUNT)
  public long segments() throws IOException {
    CaptureReader reader = reader();
    Packet packet = new Packet();
    Segment segment = new Segment();
    PacketDecoder decoder = new PacketDecoder();
    long bytes = 0;
    while (reader.next(packet)) {
      bytes += decoder.decode(packet, segment) ? segment.payloadLength : 0;
    }
    return bytes;
  }

  /** Parses exchanges up to the outcome of each scan. */
  @Benchmark
  @OperationsPerInvocation(PACKET_COUNT)
  public long fates() throws IOException {
    long[] wholeCount = {0};
    RecordingReader.readExchanges(
        reader(),
        ReassemblyLimits.DEFAULT,
        segment -> true,
        exchange -> wholeCount[0] += exchange.outcome() == ObservedScan.ScanOutcome.WHOLE ? 1 : 0);
    return wholeCount[0];
  }

  @Benchmark
  @OperationsPerInvocation(PACKET_COUNT)
  public long scans() throws IOException {
    return RecordingReader.read(reader(), ReassemblyLimits.DEFAULT, segment -> true, scan -> {})
        .scans();
  }
}
