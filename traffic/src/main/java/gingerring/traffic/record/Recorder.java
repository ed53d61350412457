package gingerring.traffic.record;

import gingerring.net.TrafficListener;
import gingerring.traffic.pcap.CaptureWriter;
import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A mixer's tap that writes a capture. The mixer's threads only copy and queue; one thread of its
 * own forges and writes. The queue is bounded in events and in bytes: what finds it full is
 * dropped, and the hole stands in the connection's stream and as a mark in the file. A disk that
 * fails ends the recording and nothing else.
 */
public final class Recorder implements TrafficListener, Closeable {
  /** When a file is ended and the next begun, and how many are kept; the eldest goes. */
  public record Rotation(long bytes, Duration age, int files) {
    public static final Rotation USUAL = new Rotation(256L << 20, Duration.ofHours(1), 24);
  }

  static final int EVENTS_MOST = 1 << 14;
  static final int BYTES_MOST = 32 << 20;
  private static final Logger LOG = LoggerFactory.getLogger("gingerring.record");
  private static final long END_WAIT_MS = 5000;

  private enum What {
    OPENED,
    DATA,
    CLOSED
  }

  private record Event(
      What what,
      long connection,
      long nanos,
      InetSocketAddress opener,
      InetSocketAddress listener,
      int side,
      byte[] bytes,
      long[] hole) {}

  private final Path file;
  private final Rotation rotation;
  private final long seed;
  private final ArrayBlockingQueue<Event> queue;
  private final AtomicLong queued = new AtomicLong();
  private final AtomicLong dropped = new AtomicLong();

  /** Bytes dropped since the last that were queued, by connection and side. */
  private final Map<Long, long[]> holes = new HashMap<>();

  /** Connections whose end was dropped; under the holes' lock. */
  private final Set<Long> gone = new HashSet<>();

  private final Map<Long, PacketSynthesizer> forges = new HashMap<>();
  private final Deque<Path> files = new ArrayDeque<>();
  private final Thread writer;
  private CaptureWriter out;
  private long began;
  private long marked;
  private int number;
  private volatile boolean ending;
  private volatile boolean failed;
  private volatile boolean holed;

  /** {@code file} names the first; the next ones carry a number before its ending. */
  public Recorder(Path file, Rotation rotation, long seed) throws IOException {
    this(file, rotation, seed, EVENTS_MOST);
  }

  Recorder(Path file, Rotation rotation, long seed, int events) throws IOException {
    this.file = file;
    this.rotation = rotation;
    this.seed = seed;
    queue = new ArrayBlockingQueue<>(events);
    begin(System.currentTimeMillis() * 1_000_000);
    writer = new Thread(this::run, "record");
    writer.setDaemon(true);
  }

  public Recorder start() {
    writer.start();
    return this;
  }

  /** Events that found the queue full. */
  public long dropped() {
    return dropped.get();
  }

  /** Events that wait to be written. */
  int queued() {
    return queue.size();
  }

  /** Connections that something is kept for. */
  int kept() {
    synchronized (holes) {
      return Math.max(forges.size(), holes.size());
    }
  }

  // ---- the mixer's threads ----

  @Override
  public void onOpened(long connection, InetSocketAddress opener, InetSocketAddress listener) {
    offer(new Event(What.OPENED, connection, now(), opener, listener, 0, null, hole(connection)));
  }

  @Override
  public void onData(long connection, int side, byte[] bytes) {
    offer(new Event(What.DATA, connection, now(), null, null, side, bytes, hole(connection)));
  }

  @Override
  public void onClosed(long connection, int side) {
    offer(new Event(What.CLOSED, connection, now(), null, null, side, null, hole(connection)));
  }

  private static long now() {
    Instant now = Instant.now();
    return now.getEpochSecond() * 1_000_000_000L + now.getNano();
  }

  private void offer(Event event) {
    int size = event.bytes == null ? 0 : event.bytes.length;
    if (failed) {
      return;
    }
    boolean fits = queued.addAndGet(size) <= BYTES_MOST;
    if (!fits || !queue.offer(event)) {
      queued.addAndGet(-size);
      dropped.incrementAndGet();
      synchronized (holes) {
        if (event.what == What.CLOSED) {
          // nothing follows that could carry the hole, or end the forge
          holes.remove(event.connection);
          gone.add(event.connection);
          holed = true;
          return;
        }
        long[] hole = holes.computeIfAbsent(event.connection, c -> new long[2]);
        hole[event.side] += size;
        if (event.hole != null) {
          hole[0] += event.hole[0];
          hole[1] += event.hole[1];
        }
        holed = true;
      }
    }
  }

  /** What was dropped of a connection before the event at hand: that event carries it along. */
  private long[] hole(long connection) {
    if (!holed) {
      return null;
    }
    synchronized (holes) {
      long[] hole = holes.remove(connection);
      holed = !holes.isEmpty() || !gone.isEmpty();
      return hole;
    }
  }

  // ---- the writer's thread ----

  private void run() {
    try {
      while (!ending || !queue.isEmpty()) {
        Event event = queue.poll(100, TimeUnit.MILLISECONDS);
        if (event != null) {
          take(event);
        }
        if (holed
            && queue.isEmpty()) { // whatever came before an end that was dropped has been taken
          synchronized (holes) {
            gone.forEach(forges::remove);
            gone.clear();
          }
        }
      }
      out.drops(now(), dropped.get() - marked);
      out.close();
    } catch (IOException | RuntimeException e) {
      failed = true;
      queue.clear();
      LOG.atError()
          .addKeyValue("file", file)
          .addKeyValue("cause", e.toString())
          .log("recording ended");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void take(Event event) throws IOException {
    queued.addAndGet(event.bytes == null ? 0 : -event.bytes.length);
    rotate(event.nanos);
    if (dropped.get() > marked) {
      long many = dropped.get();
      out.drops(event.nanos, many - marked);
      marked = many;
    }
    PacketSynthesizer.Out into = (nanos, bytes, length) -> write(nanos, bytes, length);
    if (event.what == What.OPENED) {
      PacketSynthesizer forge =
          new PacketSynthesizer(event.opener, event.listener, mix(seed + event.connection));
      forges.put(event.connection, forge);
      forge.open(event.nanos, into);
      return;
    }
    PacketSynthesizer forge = forges.get(event.connection);
    if (forge == null) {
      return;
    }
    if (event.hole != null) {
      forge.skip(0, event.hole[0]);
      forge.skip(1, event.hole[1]);
    }
    if (event.what == What.DATA) {
      forge.data(event.nanos, event.side, event.bytes, 0, event.bytes.length, into);
    } else {
      forge.close(event.nanos, false, event.side, into);
      forges.remove(event.connection);
    }
  }

  private void write(long nanos, byte[] bytes, int length) {
    try {
      out.packet(nanos, bytes, 0, length, length);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void rotate(long nanos) throws IOException {
    if (out.written() >= rotation.bytes || nanos - began >= rotation.age.toNanos()) {
      out.close();
      begin(nanos);
      while (files.size() > rotation.files) {
        Files.deleteIfExists(files.poll());
      }
    }
  }

  private void begin(long nanos) throws IOException {
    Path next = file;
    if (number > 0) {
      String name = file.getFileName().toString();
      int dot = name.indexOf('.');
      next =
          file.resolveSibling(
              (dot < 0 ? name : name.substring(0, dot))
                  + '-'
                  + number
                  + (dot < 0 ? "" : name.substring(dot)));
    }
    number++;
    out = new CaptureWriter(next, PacketSynthesizer.LINK);
    files.add(next);
    began = nanos;
  }

  private static long mix(long z) {
    z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
    z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
    return z ^ z >>> 31;
  }

  @Override
  public void onShutdown() {
    close();
  }

  /** Writes what is queued and ends the file; waits some seconds at most. */
  @Override
  public void close() {
    ending = true;
    try {
      writer.join(END_WAIT_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
