package gingerring.traffic.pcap;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Predicate;

/**
 * Cuts and merges capture files packet by packet. The output gets its final name only when it is
 * complete.
 */
public final class CaptureEditor {
  /**
   * How many of the packets read were written. {@code warnings} names the input files that ended
   * early and why.
   */
  public record EditResult(long packetsWritten, long packetsRead, List<String> warnings) {}

  /** How many input files one merge may open at a time. */
  public static final int MAX_FILES = 256;

  private CaptureEditor() {}

  /**
   * Copies the selected packets of {@code input} whose times lie from {@code fromNanos} up to but
   * not including {@code untilNanos}, both in Unix nanoseconds. {@code keepsOtherPackets} also
   * copies packets that hold no TCP segment.
   */
  public static EditResult cut(
      Path input,
      Path output,
      long fromNanos,
      long untilNanos,
      Predicate<Segment> segmentFilter,
      boolean keepsOtherPackets)
      throws IOException {
    return merge(
        List.of(input),
        output,
        packet -> packet.timestampNanos >= fromNanos && packet.timestampNanos < untilNanos,
        segmentFilter,
        keepsOtherPackets);
  }

  /** Merges all packets of the files by time. Each input file is assumed to be in time order. */
  public static EditResult merge(List<Path> inputs, Path output) throws IOException {
    return merge(inputs, output, packet -> true, segment -> true, true);
  }

  private record NextPacket(CaptureReader reader, Packet packet, int fileNumber) {}

  /** {@code keepsOtherPackets}: packets that hold no TCP segment are copied too. */
  private static EditResult merge(
      List<Path> inputs,
      Path output,
      Predicate<Packet> packetFilter,
      Predicate<Segment> segmentFilter,
      boolean keepsOtherPackets)
      throws IOException {
    if (inputs.size() > MAX_FILES) {
      throw new IOException("more than " + MAX_FILES + " input files");
    }
    PriorityQueue<NextPacket> nextPackets =
        new PriorityQueue<>(
            (one, other) -> {
              int byTime = Long.compare(one.packet.timestampNanos, other.packet.timestampNanos);
              return byTime != 0 ? byTime : Integer.compare(one.fileNumber, other.fileNumber);
            });
    List<CaptureReader> readers = new ArrayList<>();
    CaptureWriter writer = null;
    try {
      for (Path file : inputs) {
        CaptureReader reader = CaptureReader.open(file);
        readers.add(reader);
        Packet packet = new Packet();
        if (reader.next(packet)) {
          nextPackets.add(new NextPacket(reader, packet, readers.size()));
        }
      }
      int linkType = nextPackets.isEmpty() ? 101 : nextPackets.peek().packet.linkType;
      writer = new CaptureWriter(output, linkType);
      PacketDecoder decoder = new PacketDecoder();
      Segment segment = new Segment();
      long packetsWritten = 0;
      long packetsRead = 0;
      while (!nextPackets.isEmpty()) {
        NextPacket next = nextPackets.poll();
        Packet packet = next.packet;
        packetsRead++;
        if (packet.linkType != linkType) {
          throw new IOException(
              inputs.get(next.fileNumber - 1)
                  + ": offset "
                  + next.reader.offset()
                  + ": link type "
                  + packet.linkType
                  + " differs from link type "
                  + linkType
                  + " of the output: a file has one link type");
        }
        boolean holdsSegment = decoder.decode(packet, segment);
        if (packetFilter.test(packet)
            && (holdsSegment ? segmentFilter.test(segment) : keepsOtherPackets)) {
          writer.writePacket(
              packet.timestampNanos,
              packet.buffer,
              packet.offset,
              packet.length,
              packet.originalLength);
          packetsWritten++;
        }
        if (next.reader.next(packet)) {
          nextPackets.add(next);
        }
      }
      writer.close();
      writer = null;
      return new EditResult(
          packetsWritten,
          packetsRead,
          readers.stream()
              .map(CaptureReader::endReason)
              .filter(reason -> !reason.isEmpty())
              .toList());
    } finally {
      if (writer != null) {
        writer.abandon();
      }
      for (CaptureReader reader : readers) {
        reader.close();
      }
    }
  }
}
