package gingerring.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.polling.AbstractPollingIoConnector;
import org.apache.mina.core.service.IoAcceptor;
import org.apache.mina.core.service.IoConnector;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.SocketSessionConfig;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import org.apache.mina.transport.vmpipe.VmPipeAcceptor;
import org.apache.mina.transport.vmpipe.VmPipeAddress;
import org.apache.mina.transport.vmpipe.VmPipeConnector;

/**
 * Apache MINA: one thread reads and writes for those who come in and those we call. Its handlers
 * pass bytes and events on to the loop and do nothing else.
 */
public final class Network {
  private static final String CONNECTION = "connection";
  private static final int BACKLOG = 512;
  private static final int STACK = 1 << 18;

  /** How long a half-closed connection is read from, and how often the ends are looked after. */
  private static final Duration LINGER = Duration.ofMillis(300);

  private static final Duration ENDS_EVERY = Duration.ofMillis(50);

  /** Of a flood that is dropped, so much is read in each such span. */
  private static final int DROP = 1 << 16;

  private static final Duration DROP_EVERY = Duration.ofMillis(10);

  /** How long a newcomer waits for room before it is closed. */
  private static final Duration ROOM_WAIT = Duration.ofMillis(10);

  /**
   * Of all connections that there may be: those that are dialled at most, and what is kept free for
   * them; and what no newcomer gets, for dials that come at once.
   */
  private static final double DIALLED_MOST = 0.75;

  private static final double KEPT_FREE = 0.25;
  private static final double SPARE = 1 / 16.0;

  final EventQueue inbox;
  final Counters counts;

  /** Null where nothing is recorded. */
  final TrafficListener tap;

  private final ExecutorService threads =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(null, task, "mina", STACK);
            thread.setDaemon(true);
            return thread;
          });
  private final Processor processor = new Processor();

  /** Tasks of MINA's connector, until the turn that dials is over. */
  private final Queue<Runnable> dialling = new ConcurrentLinkedQueue<>();

  private final IoConnector connector;
  private final boolean within;
  private IoAcceptor acceptor;

  /** Held while a connection is accepted: who holds it keeps those that come in the backlog. */
  final Object accepting = new Object();

  /** Connections that came in and have not ended. */
  private final AtomicInteger taken = new AtomicInteger();

  /**
   * Connections of both kinds that there may be at one time; and those dialled that have not ended.
   */
  private volatile int most = Integer.MAX_VALUE;

  private volatile int dialled;

  /** Dials for which there was no descriptor, by connection. */
  private final Map<Connection, Runnable> waiting = new LinkedHashMap<>();

  private Runnable whenShort = () -> {};
  private final Set<Connection> dirty = new LinkedHashSet<>();
  private final Set<Connection> all = new LinkedHashSet<>();

  /**
   * {@code within}: without sockets, to addresses that this same network listens at, by MINA's
   * pipes.
   */
  public Network(EventQueue inbox, Counters counts, boolean within) {
    this(inbox, counts, within, null);
  }

  /** {@code tap} is told of all that connections carry; null for none. */
  public Network(EventQueue inbox, Counters counts, boolean within, TrafficListener tap) {
    this.inbox = inbox;
    this.counts = counts;
    this.within = within;
    this.tap = tap;
    if (within) {
      connector = new VmPipeConnector(threads);
    } else {
      // its thread ends when no dial is under way; started after the last dial of a turn and not
      // with the
      // first, it is woken once for all of them
      NioSocketConnector sockets = new NioSocketConnector(dialling::add, processor);
      prepare(sockets.getSessionConfig());
      connector = sockets;
    }
    connector.setHandler(new Passing());
  }

  private static void prepare(SocketSessionConfig session) {
    session.setTcpNoDelay(true);
    session.setMaxReadBufferSize(Connection.MAX_READ_BYTES);
  }

  /**
   * Takes connections at an address; each is told to {@code accepted}, which gives it a party.
   * {@code most} counts all connections, those dialled too: where they are many, fewer are taken.
   * Returns the address, with the port that was free where port 0 was asked for.
   */
  public InetSocketAddress listen(
      InetSocketAddress address, int most, int outMost, Consumer<Connection> accepted)
      throws IOException {
    this.most = within ? Integer.MAX_VALUE : most;
    acceptor = within ? new VmPipeAcceptor(threads) : sockets();
    acceptor.setHandler(
        new Passing() {
          /**
           * Its descriptor is free once the selector has let go of its channel, in the next round.
           * Guards against a flood of newcomers for whom there is room by the count, and no
           * descriptor yet: the acceptor would stand still for a second.
           */
          @Override
          public void sessionClosed(IoSession session) {
            if (within) {
              released();
            } else {
              processor.run(this::released);
            }
            super.sessionClosed(session);
          }

          private void released() {
            taken.decrementAndGet();
            roomMade();
          }

          @Override
          public void sessionCreated(IoSession session) {
            Connection connection = new Connection(Network.this, outMost, true);
            session.setAttribute(CONNECTION, connection);
            connection.up(session, true);
            inbox.post(
                () -> {
                  all.add(connection);
                  accepted.accept(connection);
                });
          }
        });
    acceptor.bind(place(address));
    return within ? address : (InetSocketAddress) acceptor.getLocalAddress();
  }

  private NioSocketAcceptor sockets() {
    NioSocketAcceptor sockets = new Acceptor();
    sockets.setReuseAddress(true);
    sockets.setBacklog(BACKLOG);
    prepare(sockets.getSessionConfig());
    return sockets;
  }

  private SocketAddress place(InetSocketAddress address) {
    return within ? new VmPipeAddress(address.getPort()) : address;
  }

  /**
   * Takes no more connections; those there are stay, and those that stand in the backlog are taken.
   */
  public void stopListening() {
    if (acceptor != null && acceptor.isActive()) {
      acceptor.setCloseOnDeactivation(false);
      acceptor.unbind();
    }
  }

  /**
   * Calls an address; its party is told once the connection is up, or that it never came up. Where
   * there is no descriptor for it, it waits for one.
   */
  public Connection dial(InetSocketAddress address, int outMost, ConnectionHandler party) {
    Connection connection = new Connection(this, outMost, false);
    connection.setHandler(party);
    all.add(connection);
    if (dialledOpen() > DIALLED_MOST * most) {
      closeLongestResting();
    }
    if (connectionShortfall() > 0) {
      whenShort.run();
    }
    if (availableConnections() > 0) {
      connect(connection, address);
    } else {
      counts.add("dials that waited for a descriptor", 1);
      waiting.put(connection, () -> connect(connection, address));
    }
    return connection;
  }

  private void connect(Connection connection, InetSocketAddress address) {
    ConnectFuture future =
        connector.connect(
            place(address),
            (session, ignored) -> {
              session.setAttribute(CONNECTION, connection);
              connection.up(session, false);
            });
    dialled++;
    connection.dialled(future);
    future.addListener(
        ignored -> {
          if (!future.isConnected()) {
            inbox.post(connection::tellClosed);
          }
        });
  }

  /**
   * Gives a dial up by closing its channel. Guards against ConnectFuture.cancel: where it crosses
   * the dial's coming up or its refusal, MINA's connector counts the dial as over twice, and ends
   * its thread while another dial is under way, which is then told nothing. A closed channel is
   * counted once, or not at all: then the thread stays.
   */
  void abandon(ConnectFuture dial) {
    if (dial instanceof AbstractPollingIoConnector<?, ?>.ConnectionRequest request) {
      try {
        ((SocketChannel) request.getHandle()).close();
      } catch (IOException e) {
        counts.add("dials that could not be given up", 1);
      }
    } else {
      dial.cancel();
    }
  }

  /** Those dialled, or that wait for it, and are not being ended. */
  private long dialledOpen() {
    return dialled < DIALLED_MOST * most
        ? dialled
        : all.stream().filter(each -> !each.inbound && each.isUsable()).count();
  }

  /**
   * Guards against links that nobody uses just now, and that take the descriptors of all clients.
   */
  private void closeLongestResting() {
    all.stream()
        .filter(each -> !each.inbound && each.isUsable() && each.idleSince() != null)
        .min(Comparator.comparing(Connection::idleSince))
        .ifPresent(
            each -> {
              counts.add("resting links shed", 1);
              each.close();
            });
  }

  /** So many connections more there may be. */
  public int availableConnections() {
    return most == Integer.MAX_VALUE ? most : most - dialled - taken.get();
  }

  /** So much of the room no newcomer gets. */
  private int spare() {
    return (int) Math.ceil(most * SPARE);
  }

  /**
   * Whether there is so little room that one who comes is to be sent away, once so many more have
   * ended.
   */
  public boolean isFull(int ending) {
    return most != Integer.MAX_VALUE && availableConnections() + ending < 2 * spare();
  }

  /** So many connections should end, if they can, for dials to find room at once. */
  public int connectionShortfall() {
    if (most == Integer.MAX_VALUE) {
      return 0;
    }
    double yetToDial = Math.max(0, DIALLED_MOST * most - dialled);
    return (int)
        Math.max(0, Math.min(KEPT_FREE * most, 2 * spare() + yetToDial) - availableConnections());
  }

  /** {@code task} is run on the loop's thread when something is dialled while room is short. */
  public void setShortageHandler(Runnable task) {
    whenShort = task;
  }

  private void roomMade() {
    synchronized (accepting) {
      accepting.notifyAll();
    }
  }

  /** Ends all there is of it. */
  public void dispose() {
    connector.dispose();
    finishDials();
    if (acceptor != null) {
      acceptor.dispose();
    }
    processor.dispose();
    threads.shutdown();
  }

  /** The time since the start, read now: a turn may have stood still since it began. */
  public Duration currentTime() {
    return inbox.currentTime();
  }

  /** Connections in hand, those being opened too. */
  public int connectionCount() {
    return all.size();
  }

  /** Whether all that was put into connections has left, and the loop has heard so. */
  public boolean isFlushed() {
    return all.stream().allMatch(Connection::isFlushed);
  }

  void dirty(Connection connection) {
    dirty.add(connection);
  }

  void forget(Connection connection) {
    all.remove(connection);
    dirty.remove(connection);
    if (!connection.inbound && waiting.remove(connection) == null) {
      dialled--;
      roomMade();
    }
  }

  void resumeRead(IoSession session) {
    if (within) {
      session.resumeRead();
    } else {
      processor.run(session::resumeRead);
    }
  }

  boolean within() {
    return within;
  }

  /** Whatever becomes of it, a connection that is to end does so within this span. */
  void endBy(Connection connection, Duration span) {
    Duration by = inbox.currentTime().plus(span);
    processor.run(() -> processor.ends.put(connection, by));
  }

  /** What was put has left: nothing more follows, and what comes is read for a while. */
  void halfClose(Connection connection) {
    endBy(connection, LINGER);
    processor.run(() -> processor.halfClose(connection));
  }

  private void finishDials() {
    for (Runnable task = dialling.poll(); task != null; task = dialling.poll()) {
      threads.execute(task);
    }
  }

  /** One flush for each connection that something was put into; and what was dialled goes on. */
  public void flush() {
    while (!waiting.isEmpty() && availableConnections() > 0) {
      waiting.remove(waiting.keySet().iterator().next()).run();
    }
    finishDials();
    List<Connection> now = List.copyOf(dirty);
    dirty.clear();
    now.forEach(Connection::flush);
  }

  /**
   * MINA's processor, with its wake-up call within reach: a change of interest waits for the next
   * one. It also ends connections in an orderly way, on its own thread, where their channels are at
   * hand.
   */
  private final class Processor extends NioProcessor {
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();

    /** By when connections that are being ended are closed; this thread's. */
    private final Map<Connection, Duration> ends = new LinkedHashMap<>();

    /** When floods are read from again. */
    private final Map<Connection, Duration> floods = new LinkedHashMap<>();

    private final IoBuffer scrap = IoBuffer.allocate(DROP);

    Processor() {
      super(threads);
    }

    @Override
    protected void wakeup() {
      super.wakeup();
    }

    /** Runs a task on MINA's thread; not at all once no connection is left. */
    void run(Runnable task) {
      tasks.add(task);
      wakeup();
    }

    @Override
    protected int select(long timeOut) throws Exception {
      int selected =
          super.select(
              !floods.isEmpty()
                  ? DROP_EVERY.toMillis()
                  : !ends.isEmpty() ? ENDS_EVERY.toMillis() : timeOut);
      if (!floods.isEmpty() || !ends.isEmpty()) {
        // MINA takes selects that come back early and empty, ten in a row, for a broken selector,
        // and makes
        // a new one
        wakeupCalled.set(true);
      }
      for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
        task.run();
      }
      if (!ends.isEmpty() || !floods.isEmpty()) {
        Duration now = inbox.currentTime();
        floods
            .entrySet()
            .removeIf(
                flood -> {
                  boolean due = flood.getValue().compareTo(now) <= 0;
                  if (due) {
                    flood.getKey().session().resumeRead();
                  }
                  return due;
                });
        ends.entrySet()
            .removeIf(
                end -> {
                  IoSession session = end.getKey().session();
                  if (session.isConnected()
                      && !session.isClosing()
                      && end.getValue().compareTo(now) <= 0) {
                    counts.add("ends cut short", 1);
                    session.closeNow();
                  }
                  return session.isClosing() || !session.isConnected();
                });
      }
      return selected;
    }

    /** MINA keeps a session's channel to itself, but each key of the selector knows both. */
    private void halfClose(Connection connection) {
      for (SelectionKey key : selector.keys()) {
        if (key.attachment() == connection.session()) {
          try {
            ((SocketChannel) key.channel()).shutdownOutput();
          } catch (IOException e) {
            connection.session().closeNow(); // the other side was first
          }
          return;
        }
      }
    }

    /** Large reads, of which nobody is told but of the end. */
    private int drop(Connection connection) throws Exception {
      scrap.clear();
      int count = super.read((NioSession) connection.session(), scrap);
      if (count <= 0) {
        return count;
      }
      if (connection.drop(Arrays.copyOf(scrap.array(), count))) {
        connection.session().suspendRead();
        floods.put(connection, inbox.currentTime().plus(DROP_EVERY));
      }
      return 0;
    }

    @Override
    protected int read(NioSession session, IoBuffer buffer) throws Exception {
      Connection connection = of(session);
      if (connection.dropping()) {
        return drop(connection);
      }
      synchronized (connection) {
        int count = connection.unheeded() ? 0 : super.read(session, buffer);
        connection.wasRead(count > 0);
        return count;
      }
    }
  }

  /**
   * MINA's acceptor, taking no more than there is room for: it gives the loop a moment to make
   * room, and closes at once what comes when there is none. Guards against a crowd that takes the
   * last descriptor: the acceptor would then stand still for a second at a time, and no searcher
   * could be dialled.
   */
  private final class Acceptor extends NioSocketAcceptor {
    /**
     * No room was made for the last newcomer: the next does not wait for any, and holds up none
     * behind it.
     */
    private boolean stayedFull;

    Acceptor() {
      super(threads, processor);
    }

    @Override
    protected NioSession accept(IoProcessor<NioSession> processor, ServerSocketChannel handle)
        throws Exception {
      synchronized (accepting) {
        return acceptOne(processor, handle);
      }
    }

    private NioSession acceptOne(IoProcessor<NioSession> processor, ServerSocketChannel handle)
        throws Exception {
      long until = System.nanoTime() + ROOM_WAIT.toNanos();
      for (long left = 1;
          availableConnections() <= spare() && !stayedFull && left > 0;
          left = until - System.nanoTime()) {
        TimeUnit.NANOSECONDS.timedWait(accepting, Math.max(1_000_000, left));
      }
      stayedFull = availableConnections() <= spare();
      if (stayedFull) {
        SocketChannel channel = handle.accept();
        if (channel != null) {
          channel.close();
          counts.add("connections turned away", 1);
        }
        return null;
      }
      NioSession session = super.accept(processor, handle);
      if (session != null) {
        taken.incrementAndGet();
      }
      return session;
    }

    /**
     * Takes what stands in the backlog before the listening ends. Guards against clients who have
     * connected, and perhaps written their request, and are reset without an answer.
     */
    @Override
    protected void close(ServerSocketChannel handle) throws Exception {
      SelectionKey key = handle.keyFor(selector);
      selector.selectedKeys().remove(key);
      selector.selectNow();
      while (selector.selectedKeys().remove(key)) {
        NioSession session = accept(processor, handle);
        if (session != null) {
          initSession(session, null, null);
          processor.add(session);
        }
        selector.selectNow();
      }
      super.close(handle);
    }
  }

  private static Connection of(IoSession session) {
    return (Connection) session.getAttribute(CONNECTION);
  }

  /** Passes on what MINA tells, from its thread to the loop's. */
  private class Passing extends IoHandlerAdapter {
    @Override
    public void sessionOpened(IoSession session) {
      inbox.post(of(session)::tellOpened);
    }

    @Override
    public void messageReceived(IoSession session, Object message) {
      of(session).received((IoBuffer) message);
    }

    @Override
    public void messageSent(IoSession session, Object message) {
      of(session).sent();
    }

    @Override
    public void sessionClosed(IoSession session) {
      if (within) {
        of(session).finRead(); // pipes know no reset
      }
      inbox.post(of(session)::tellClosed);
    }

    @Override
    public void inputClosed(IoSession session) {
      of(session).finRead();
      session.closeNow();
    }

    @Override
    public void exceptionCaught(IoSession session, Throwable cause) {
      counts.add("connections broken", 1);
      session.closeNow();
    }
  }
}
