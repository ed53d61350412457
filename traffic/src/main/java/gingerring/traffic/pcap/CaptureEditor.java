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
  public record Done(long taken, long of, List<String> notes) {}

  /** Files open at a time. */
  public static final int FILES_MOST = 256;

  private CaptureEditor() {}

  /**
   * The packets of {@code from} that are wanted; times in Unix nanoseconds, {@code before} not
   * included.
   */
  public static Done cut(
      Path from, Path to, long since, long before, Predicate<Segment> wanted, boolean rest)
      throws IOException {
    return merge(
        List.of(from), to, packet -> packet.nanos >= since && packet.nanos < before, wanted, rest);
  }

  /** The packets of all files in the order of their times; each file is taken to be in order. */
  public static Done merge(List<Path> from, Path to) throws IOException {
    return merge(from, to, packet -> true, segment -> true, true);
  }

  private record Head(CaptureReader reader, Packet packet, int number) {}

  /** {@code rest}: packets that hold no TCP segment go along too. */
  private static Done merge(
      List<Path> from, Path to, Predicate<Packet> when, Predicate<Segment> wanted, boolean rest)
      throws IOException {
    if (from.size() > FILES_MOST) {
      throw new IOException("more than " + FILES_MOST + " files");
    }
    PriorityQueue<Head> heads =
        new PriorityQueue<>(
            (one, other) -> {
              int byTime = Long.compare(one.packet.nanos, other.packet.nanos);
              return byTime != 0 ? byTime : Integer.compare(one.number, other.number);
            });
    List<CaptureReader> readers = new ArrayList<>();
    CaptureWriter out = null;
    try {
      for (Path file : from) {
        CaptureReader reader = CaptureReader.open(file);
        readers.add(reader);
        Packet packet = new Packet();
        if (reader.next(packet)) {
          heads.add(new Head(reader, packet, readers.size()));
        }
      }
      int link = heads.isEmpty() ? 101 : heads.peek().packet.link;
      out = new CaptureWriter(to, link);
      Layers layers = new Layers();
      Segment segment = new Segment();
      long taken = 0;
      long all = 0;
      while (!heads.isEmpty()) {
        Head head = heads.poll();
        Packet packet = head.packet;
        all++;
        if (packet.link != link) {
          throw new IOException(
              from.get(head.number - 1)
                  + ": offset "
                  + head.reader.offset()
                  + ": link type "
                  + packet.link
                  + " beside "
                  + link
                  + ": one file holds one");
        }
        boolean tcp = layers.read(packet, segment);
        if (when.test(packet) && (tcp ? wanted.test(segment) : rest)) {
          out.packet(packet.nanos, packet.bytes, packet.at, packet.length, packet.original);
          taken++;
        }
        if (head.reader.next(packet)) {
          heads.add(head);
        }
      }
      out.close();
      out = null;
      return new Done(
          taken,
          all,
          readers.stream().map(CaptureReader::why).filter(why -> !why.isEmpty()).toList());
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
