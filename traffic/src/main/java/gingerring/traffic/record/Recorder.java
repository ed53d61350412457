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
 * Records a mixer's traffic into a capture file. The mixer's threads only copy and queue; a writer
 * thread synthesizes the packets and writes them. The queue is bounded in events and in bytes.
 * Events that find the queue full are dropped, which leaves a gap in the connection's stream and a
 * drop record in the file. A disk failure ends the recording and affects nothing else.
 */
public final class Recorder implements TrafficListener, Closeable {
  /**
   * The size and age at which a new file is begun, and how many files are kept; the oldest is
   * deleted.
   */
  public record Rotation(long maxFileBytes, Duration maxFileAge, int maxFiles) {
    public static final Rotation DEFAULT = new Rotation(256L << 20, Duration.ofHours(1), 24);
  }

  static final int MAX_QUEUED_EVENTS = 1 << 14;
  static final int MAX_QUEUED_BYTES = 32 << 20;
  private static final Logger LOG = LoggerFactory.getLogger("gingerring.record");
  private static final long CLOSE_TIMEOUT_MS = 5000;

  private enum EventType {
    OPENED,
    DATA,
    CLOSED
  }

  private record Event(
      EventType type,
      long connection,
      long timestampNanos,
      InetSocketAddress opener,
      InetSocketAddress listener,
      int side,
      byte[] bytes,
      long[] droppedBytes) {}

  private final Path firstFile;
  private final Rotation rotation;
  private final long seed;
  private final ArrayBlockingQueue<Event> queue;
  private final AtomicLong queuedBytes = new AtomicLong();
  private final AtomicLong droppedEvents = new AtomicLong();

  /** Bytes dropped since the last queued event, by connection and side. */
  private final Map<Long, long[]> droppedBytesByConnection = new HashMap<>();

  /**
   * Connections whose close event was dropped. Guarded by the lock on {@code
   * droppedBytesByConnection}.
   */
  private final Set<Long> connectionsWithDroppedClose = new HashSet<>();

  private final Map<Long, PacketSynthesizer> synthesizers = new HashMap<>();
  private final Deque<Path> files = new ArrayDeque<>();
  private final Thread writerThread;
  private CaptureWriter writer;
  private long fileStartNanos;
  private long reportedDrops;
  private int nextFileNumber;
  private volatile boolean closing;
  private volatile boolean failed;
  private volatile boolean hasDrops;

  /** {@code firstFile} names the first file; later files have a number before their extension. */
  public Recorder(Path firstFile, Rotation rotation, long seed) throws IOException {
    this(firstFile, rotation, seed, MAX_QUEUED_EVENTS);
  }

  Recorder(Path firstFile, Rotation rotation, long seed, int maxQueuedEvents) throws IOException {
    this.firstFile = firstFile;
    this.rotation = rotation;
    this.seed = seed;
    queue = new ArrayBlockingQueue<>(maxQueuedEvents);
    openNextFile(System.currentTimeMillis() * 1_000_000);
    writerThread = new Thread(this::writeLoop, "record");
    writerThread.setDaemon(true);
  }

  public Recorder start() {
    writerThread.start();
    return this;
  }

  /** The number of events dropped because the queue was full. */
  public long droppedEvents() {
    return droppedEvents.get();
  }

  /** The number of events waiting to be written. */
  int queuedEvents() {
    return queue.size();
  }

  /** The number of connections with state in memory. */
  int trackedConnections() {
    synchronized (droppedBytesByConnection) {
      return Math.max(synthesizers.size(), droppedBytesByConnection.size());
    }
  }

  // ---- called on the mixer's threads ----

  @Override
  public void onOpened(long connection, InetSocketAddress opener, InetSocketAddress listener) {
    enqueue(
        new Event(
            EventType.OPENED,
            connection,
            nowNanos(),
            opener,
            listener,
            0,
            null,
            takeDroppedBytes(connection)));
  }

  @Override
  public void onData(long connection, int side, byte[] bytes) {
    enqueue(
        new Event(
            EventType.DATA,
            connection,
            nowNanos(),
            null,
            null,
            side,
            bytes,
            takeDroppedBytes(connection)));
  }

  @Override
  public void onClosed(long connection, int side) {
    enqueue(
        new Event(
            EventType.CLOSED,
            connection,
            nowNanos(),
            null,
            null,
            side,
            null,
            takeDroppedBytes(connection)));
  }

  private static long nowNanos() {
    Instant now = Instant.now();
    return now.getEpochSecond() * 1_000_000_000L + now.getNano();
  }

  private void enqueue(Event event) {
    int size = event.bytes == null ? 0 : event.bytes.length;
    if (failed) {
      return;
    }
    boolean fits = queuedBytes.addAndGet(size) <= MAX_QUEUED_BYTES;
    if (!fits || !queue.offer(event)) {
      queuedBytes.addAndGet(-size);
      droppedEvents.incrementAndGet();
      synchronized (droppedBytesByConnection) {
        if (event.type == EventType.CLOSED) {
          // no later event could carry the dropped bytes or remove the synthesizer
          droppedBytesByConnection.remove(event.connection);
          connectionsWithDroppedClose.add(event.connection);
          hasDrops = true;
          return;
        }
        long[] droppedBytes =
            droppedBytesByConnection.computeIfAbsent(event.connection, c -> new long[2]);
        droppedBytes[event.side] += size;
        if (event.droppedBytes != null) {
          droppedBytes[0] += event.droppedBytes[0];
          droppedBytes[1] += event.droppedBytes[1];
        }
        hasDrops = true;
      }
    }
  }

  /**
   * Removes and returns the bytes dropped of a connection before the current event, which carries
   * them to the writer.
   */
  private long[] takeDroppedBytes(long connection) {
    if (!hasDrops) {
      return null;
    }
    synchronized (droppedBytesByConnection) {
      long[] droppedBytes = droppedBytesByConnection.remove(connection);
      hasDrops = !droppedBytesByConnection.isEmpty() || !connectionsWithDroppedClose.isEmpty();
      return droppedBytes;
    }
  }

  // ---- called on the writer thread ----

  private void writeLoop() {
    try {
      while (!closing || !queue.isEmpty()) {
        Event event = queue.poll(100, TimeUnit.MILLISECONDS);
        if (event != null) {
          process(event);
        }
        if (hasDrops
            && queue.isEmpty()) { // every event queued before a dropped close has been processed
          synchronized (droppedBytesByConnection) {
            connectionsWithDroppedClose.forEach(synthesizers::remove);
            connectionsWithDroppedClose.clear();
          }
        }
      }
      writer.writeDropCount(nowNanos(), droppedEvents.get() - reportedDrops);
      writer.close();
    } catch (IOException | RuntimeException e) {
      failed = true;
      queue.clear();
      LOG.atError()
          .addKeyValue("file", firstFile)
          .addKeyValue("cause", e.toString())
          .log("recording ended");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void process(Event event) throws IOException {
    queuedBytes.addAndGet(event.bytes == null ? 0 : -event.bytes.length);
    rotateIfDue(event.timestampNanos);
    if (droppedEvents.get() > reportedDrops) {
      long drops = droppedEvents.get();
      writer.writeDropCount(event.timestampNanos, drops - reportedDrops);
      reportedDrops = drops;
    }
    PacketSynthesizer.PacketConsumer consumer =
        (nanos, bytes, length) -> writePacket(nanos, bytes, length);
    if (event.type == EventType.OPENED) {
      PacketSynthesizer synthesizer =
          new PacketSynthesizer(event.opener, event.listener, mix(seed + event.connection));
      synthesizers.put(event.connection, synthesizer);
      synthesizer.writeHandshake(event.timestampNanos, consumer);
      return;
    }
    PacketSynthesizer synthesizer = synthesizers.get(event.connection);
    if (synthesizer == null) {
      return;
    }
    if (event.droppedBytes != null) {
      synthesizer.skipBytes(0, event.droppedBytes[0]);
      synthesizer.skipBytes(1, event.droppedBytes[1]);
    }
    if (event.type == EventType.DATA) {
      synthesizer.writeData(
          event.timestampNanos, event.side, event.bytes, 0, event.bytes.length, consumer);
    } else {
      synthesizer.writeClose(event.timestampNanos, false, event.side, consumer);
      synthesizers.remove(event.connection);
    }
  }

  private void writePacket(long timestampNanos, byte[] bytes, int length) {
    try {
      writer.writePacket(timestampNanos, bytes, 0, length, length);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void rotateIfDue(long nowNanos) throws IOException {
    if (writer.bytesWritten() >= rotation.maxFileBytes
        || nowNanos - fileStartNanos >= rotation.maxFileAge.toNanos()) {
      writer.close();
      openNextFile(nowNanos);
      while (files.size() > rotation.maxFiles) {
        Files.deleteIfExists(files.poll());
      }
    }
  }

  private void openNextFile(long startNanos) throws IOException {
    Path nextFile = firstFile;
    if (nextFileNumber > 0) {
      String name = firstFile.getFileName().toString();
      int dot = name.indexOf('.');
      nextFile =
          firstFile.resolveSibling(
              (dot < 0 ? name : name.substring(0, dot))
                  + '-'
                  + nextFileNumber
                  + (dot < 0 ? "" : name.substring(dot)));
    }
    nextFileNumber++;
    writer = new CaptureWriter(nextFile, PacketSynthesizer.LINK_TYPE_RAW);
    files.add(nextFile);
    fileStartNanos = startNanos;
  }

  private static long mix(long value) {
    value = (value ^ value >>> 30) * 0xbf58476d1ce4e5b9L;
    value = (value ^ value >>> 27) * 0x94d049bb133111ebL;
    return value ^ value >>> 31;
  }

  @Override
  public void onShutdown() {
    close();
  }

  /** Writes the queued events and completes the file; waits a few seconds at most. */
  @Override
  public void close() {
    closing = true;
    try {
      writerThread.join(CLOSE_TIMEOUT_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
