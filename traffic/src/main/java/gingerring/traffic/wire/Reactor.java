package gingerring.traffic.wire;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Event loop: one thread that owns all sockets, timers and their state. {@link #run} needs a thread
 * of its own; every method except {@link #post} and {@link #stop} must be called on that thread, or
 * before it runs.
 */
public final class Reactor implements Closeable {
  private record Timer(long dueNanos, long number, Runnable task) implements Comparable<Timer> {
    @Override
    public int compareTo(Timer other) {
      return dueNanos != other.dueNanos
          ? Long.compare(dueNanos, other.dueNanos)
          : Long.compare(number, other.number);
    }
  }

  private static final Logger LOG = LoggerFactory.getLogger("gingerring.wire");
  private static final int BACKLOG = 1024;
  static final int READ_BUFFER_BYTES = 1 << 16;

  final Selector selector;
  private final long startNanos = System.nanoTime();
  private final PriorityQueue<Timer> timers = new PriorityQueue<>();
  private final ConcurrentLinkedQueue<Runnable> postedTasks = new ConcurrentLinkedQueue<>();
  private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);
  private final byte[] readBytes = new byte[READ_BUFFER_BYTES];
  private List<ReactorConnection> flushRequests = new ArrayList<>();
  private long nextTimerNumber;
  private volatile boolean running = true;
  private int connectionCount;
  private int failureCount;

  public Reactor() {
    try {
      selector = Selector.open();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  public Duration now() {
    return Duration.ofNanos(System.nanoTime() - startNanos);
  }

  /** The number of open connections. */
  public int connectionCount() {
    return connectionCount;
  }

  /** The number of tasks and events that threw an exception. Each is logged. */
  public int failureCount() {
    return failureCount;
  }

  public void schedule(Duration delay, Runnable task) {
    timers.add(
        new Timer(System.nanoTime() - startNanos + delay.toNanos(), nextTimerNumber++, task));
  }

  public void post(Runnable task) {
    postedTasks.add(task);
    selector.wakeup();
  }

  public void stop() {
    running = false;
    selector.wakeup();
  }

  /**
   * Accepts connections at a loopback address. {@code handlerFactory} supplies the handler of each
   * connection.
   */
  public ListeningSocket listen(
      InetSocketAddress address,
      Function<ReactorConnection, ReactorConnection.Handler> handlerFactory)
      throws IOException {
    requireLoopback(address);
    ServerSocketChannel channel = ServerSocketChannel.open();
    try {
      channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      channel.bind(address, BACKLOG);
      channel.configureBlocking(false);
      SelectionKey key = channel.register(selector, SelectionKey.OP_ACCEPT);
      ListeningSocket listening = new ListeningSocket(channel, key);
      key.attach((Runnable) () -> accept(channel, handlerFactory));
      return listening;
    } catch (IOException e) {
      channel.close();
      throw e;
    }
  }

  /**
   * Opens a datagram socket at a loopback address. {@code consumer} receives each datagram on the
   * reactor's thread.
   */
  public DatagramEndpoint openDatagramEndpoint(
      InetSocketAddress address, BiConsumer<InetSocketAddress, byte[]> consumer)
      throws IOException {
    requireLoopback(address);
    return new DatagramEndpoint(this, address, consumer);
  }

  private static void requireLoopback(InetSocketAddress address) {
    if (!address.getAddress().isLoopbackAddress()) {
      throw new IllegalArgumentException("not a loopback address: " + address);
    }
  }

  /** A listening socket. */
  public record ListeningSocket(ServerSocketChannel channel, SelectionKey key) {
    public InetSocketAddress address() {
      return (InetSocketAddress) channel.socket().getLocalSocketAddress();
    }

    public void close() {
      try {
        channel.close();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }

  private void accept(
      ServerSocketChannel serverChannel,
      Function<ReactorConnection, ReactorConnection.Handler> handlerFactory) {
    try {
      for (SocketChannel channel = serverChannel.accept();
          channel != null;
          channel = serverChannel.accept()) {
        ReactorConnection connection = new ReactorConnection(this, channel);
        connectionCount++;
        connection.register(handlerFactory.apply(connection), true);
      }
    } catch (IOException e) {
      LOG.warn("cannot accept a connection: {}", e.toString());
    }
  }

  /**
   * Connects to a loopback address. The handler is notified when the connection is established or
   * has failed.
   */
  public ReactorConnection connect(InetSocketAddress address, ReactorConnection.Handler handler) {
    requireLoopback(address);
    try {
      SocketChannel channel = SocketChannel.open();
      ReactorConnection connection = new ReactorConnection(this, channel);
      connectionCount++;
      try {
        channel.configureBlocking(false);
        boolean connected = channel.connect(address);
        connection.register(handler, connected);
      } catch (IOException e) {
        connection.failLater(handler);
      }
      return connection;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  void connectionClosed() {
    connectionCount--;
  }

  void requestFlush(ReactorConnection connection) {
    flushRequests.add(connection);
  }

  /** Runs the event loop until {@link #stop}. */
  public void run() {
    while (running) {
      try {
        long waitMillis =
            timers.isEmpty()
                ? 1000
                : Math.max(
                    0,
                    (timers.peek().dueNanos - (System.nanoTime() - startNanos) + 999_999)
                        / 1_000_000);
        if (waitMillis == 0 || !postedTasks.isEmpty() || !flushRequests.isEmpty()) {
          selector.selectNow();
        } else {
          selector.select(waitMillis);
        }
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
      for (Iterator<SelectionKey> keys = selector.selectedKeys().iterator(); keys.hasNext(); ) {
        SelectionKey key = keys.next();
        keys.remove();
        if (key.attachment() instanceof ReactorConnection connection) {
          runGuarded(() -> connection.onReady(key, readBuffer, readBytes));
        } else if (key.isValid()) {
          runGuarded((Runnable) key.attachment());
        }
      }
      for (Runnable task = postedTasks.poll(); task != null; task = postedTasks.poll()) {
        runGuarded(task);
      }
      long nowNanos = System.nanoTime() - startNanos;
      while (!timers.isEmpty() && timers.peek().dueNanos <= nowNanos) {
        runGuarded(timers.poll().task);
      }
      List<ReactorConnection> flushing = flushRequests;
      flushRequests = new ArrayList<>();
      flushing.forEach(connection -> runGuarded(connection::flush));
    }
    close();
  }

  private void runGuarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException | Error e) {
      failureCount++;
      LOG.error("event handler failed", e);
    }
  }

  @Override
  public void close() {
    running = false;
    for (SelectionKey key : selector.keys()) {
      try {
        key.channel().close();
      } catch (IOException e) {
        LOG.debug("closing a channel failed: {}", e.toString());
      }
    }
    try {
      selector.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
