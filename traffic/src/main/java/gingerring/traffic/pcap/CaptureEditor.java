package gingerring.traffic.pcap;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Predicate;

/** Capture files made from others, packet by packet; the new one has its name once it is whole. */
public final class CaptureEditor {
  /** How many packets were taken, of how many; {@code notes} tell of files that ended early. */
  public record EditResult(long packetsWritten, long packetsRead, List<String> warnings) {}

  /** Files open at a time. */
  public static final int MAX_FILES = 256;

  private CaptureEditor() {}

  /**
   * The packets of {@code from} that are wanted; times in Unix nanoseconds, {@code before} not
   * included.
   */
  public static EditResult cut(
      Path from, Path to, long since, long before, Predicate<Segment> wanted, boolean rest)
      throws IOException {
    return merge(
        List.of(from),
        to,
        packet -> packet.timestampNanos >= since && packet.timestampNanos < before,
        wanted,
        rest);
  }

  /** The packets of all files in the order of their times; each file is taken to be in order. */
  public static EditResult merge(List<Path> from, Path to) throws IOException {
    return merge(from, to, packet -> true, segment -> true, true);
  }

  private record NextPacket(CaptureReader reader, Packet packet, int fileNumber) {}

  /** {@code rest}: packets that hold no TCP segment go along too. */
  private static EditResult merge(
      List<Path> from, Path to, Predicate<Packet> when, Predicate<Segment> wanted, boolean rest)
      throws IOException {
    if (from.size() > MAX_FILES) {
      throw new IOException("more than " + MAX_FILES + " files");
    }
    PriorityQueue<NextPacket> heads =
        new PriorityQueue<>(
            (one, other) -> {
              int byTime = Long.compare(one.packet.timestampNanos, other.packet.timestampNanos);
              return byTime != 0 ? byTime : Integer.compare(one.fileNumber, other.fileNumber);
            });
    List<CaptureReader> readers = new ArrayList<>();
    CaptureWriter out = null;
    try {
      for (Path file : from) {
        CaptureReader reader = CaptureReader.open(file);
        readers.add(reader);
        Packet packet = new Packet();
        if (reader.next(packet)) {
          heads.add(new NextPacket(reader, packet, readers.size()));
        }
      }
      int link = heads.isEmpty() ? 101 : heads.peek().packet.linkType;
      out = new CaptureWriter(to, link);
      PacketDecoder layers = new PacketDecoder();
      Segment segment = new Segment();
      long taken = 0;
      long all = 0;
      while (!heads.isEmpty()) {
        NextPacket head = heads.poll();
        Packet packet = head.packet;
        all++;
        if (packet.linkType != link) {
          throw new IOException(
              from.get(head.fileNumber - 1)
                  + ": offset "
                  + head.reader.offset()
                  + ": link type "
                  + packet.linkType
                  + " beside "
                  + link
                  + ": one file holds one");
        }
        boolean tcp = layers.decode(packet, segment);
        if (when.test(packet) && (tcp ? wanted.test(segment) : rest)) {
          out.writePacket(
              packet.timestampNanos,
              packet.buffer,
              packet.offset,
              packet.length,
              packet.originalLength);
          taken++;
        }
        if (head.reader.next(packet)) {
          heads.add(head);
        }
      }
      out.close();
      out = null;
      return new EditResult(
          taken,
          all,
          readers.stream().map(CaptureReader::endReason).filter(why -> !why.isEmpty()).toList());
    } finally {
      if (out != null) {
        out.abandon();
      }
      for (CaptureReader reader : readers) {
        reader.close();
      }
    }
  }
}
