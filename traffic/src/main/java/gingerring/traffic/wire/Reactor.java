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
 * One thread that owns all sockets, timers and state. {@link #run} it on a thread of its own;
 * everything but {@link #post} and {@link #stop} is for that thread, or for before it runs.
 */
public final class Reactor implements Closeable {
  private record Timer(long at, long number, Runnable task) implements Comparable<Timer> {
    @Override
    public int compareTo(Timer other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
    }
  }

  private static final Logger LOG = LoggerFactory.getLogger("gingerring.wire");
  private static final int BACKLOG = 1024;
  static final int READ = 1 << 16;

  final Selector selector;
  private final long start = System.nanoTime();
  private final PriorityQueue<Timer> timers = new PriorityQueue<>();
  private final ConcurrentLinkedQueue<Runnable> posted = new ConcurrentLinkedQueue<>();
  private final ByteBuffer read = ByteBuffer.allocateDirect(READ);
  private final byte[] bytes = new byte[READ];
  private List<ReactorConnection> dirty = new ArrayList<>();
  private long timerNumber;
  private volatile boolean running = true;
  private int wires;
  private int failures;

  public Reactor() {
    try {
      selector = Selector.open();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  public Duration now() {
    return Duration.ofNanos(System.nanoTime() - start);
  }

  /** How many connections there are. */
  public int connections() {
    return wires;
  }

  /** How many tasks and events failed; each is logged. */
  public int failures() {
    return failures;
  }

  public void after(Duration span, Runnable task) {
    timers.add(new Timer(System.nanoTime() - start + span.toNanos(), timerNumber++, task));
  }

  public void post(Runnable task) {
    posted.add(task);
    selector.wakeup();
  }

  public void stop() {
    running = false;
    selector.wakeup();
  }

  /** Takes connections at a loopback address; {@code owner} is asked for whom each is. */
  public Listening listen(
      InetSocketAddress address, Function<ReactorConnection, ReactorConnection.Handler> owner)
      throws IOException {
    loopback(address);
    ServerSocketChannel channel = ServerSocketChannel.open();
    try {
      channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      channel.bind(address, BACKLOG);
      channel.configureBlocking(false);
      SelectionKey key = channel.register(selector, SelectionKey.OP_ACCEPT);
      Listening listening = new Listening(channel, key);
      key.attach((Runnable) () -> accept(channel, owner));
      return listening;
    } catch (IOException e) {
      channel.close();
      throw e;
    }
  }

  /**
   * A datagram socket at a loopback address; {@code received} is told of what comes, on this
   * thread.
   */
  public Datagrams datagrams(
      InetSocketAddress address, BiConsumer<InetSocketAddress, byte[]> received)
      throws IOException {
    loopback(address);
    return new Datagrams(this, address, received);
  }

  private static void loopback(InetSocketAddress address) {
    if (!address.getAddress().isLoopbackAddress()) {
      throw new IllegalArgumentException("not a loopback address: " + address);
    }
  }

  /** A place where connections come in. */
  public record Listening(ServerSocketChannel channel, SelectionKey key) {
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
      ServerSocketChannel server, Function<ReactorConnection, ReactorConnection.Handler> owner) {
    try {
      for (SocketChannel channel = server.accept(); channel != null; channel = server.accept()) {
        ReactorConnection wire = new ReactorConnection(this, channel);
        wires++;
        wire.begin(owner.apply(wire), true);
      }
    } catch (IOException e) {
      LOG.warn("a connection could not be taken: {}", e.toString());
    }
  }

  /** Calls an address. The owner is told once it is up, or that it never came up. */
  public ReactorConnection dial(InetSocketAddress to, ReactorConnection.Handler owner) {
    loopback(to);
    try {
      SocketChannel channel = SocketChannel.open();
      ReactorConnection wire = new ReactorConnection(this, channel);
      wires++;
      try {
        channel.configureBlocking(false);
        boolean up = channel.connect(to);
        wire.begin(owner, up);
      } catch (IOException e) {
        wire.fail(owner);
      }
      return wire;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  void gone() {
    wires--;
  }

  void dirty(ReactorConnection wire) {
    dirty.add(wire);
  }

  /** Turns until it is stopped. */
  public void run() {
    while (running) {
      try {
        long wait =
            timers.isEmpty()
                ? 1000
                : Math.max(
                    0, (timers.peek().at - (System.nanoTime() - start) + 999_999) / 1_000_000);
        if (wait == 0 || !posted.isEmpty() || !dirty.isEmpty()) {
          selector.selectNow();
        } else {
          selector.select(wait);
        }
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
      for (Iterator<SelectionKey> keys = selector.selectedKeys().iterator(); keys.hasNext(); ) {
        SelectionKey key = keys.next();
        keys.remove();
        if (key.attachment() instanceof ReactorConnection wire) {
          guard(() -> wire.ready(key, read, bytes));
        } else if (key.isValid()) {
          guard((Runnable) key.attachment());
        }
      }
      for (Runnable task = posted.poll(); task != null; task = posted.poll()) {
        guard(task);
      }
      long now = System.nanoTime() - start;
      while (!timers.isEmpty() && timers.peek().at <= now) {
        guard(timers.poll().task);
      }
      List<ReactorConnection> flushed = dirty;
      dirty = new ArrayList<>();
      flushed.forEach(wire -> guard(wire::flush));
    }
    close();
  }

  private void guard(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException | Error e) {
      failures++;
      LOG.error("an event failed", e);
    }
  }

  @Override
  public void close() {
    running = false;
    for (SelectionKey key : selector.keys()) {
      try {
        key.channel().close();
      } catch (IOException e) {
        LOG.debug("closing: {}", e.toString());
      }
    }
    try {
      selector.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
