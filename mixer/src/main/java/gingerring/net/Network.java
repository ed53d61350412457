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
  private static final String CONNECTION_ATTRIBUTE = "connection";
  private static final int BACKLOG = 512;
  private static final int THREAD_STACK_BYTES = 1 << 18;

  /** How long a half-closed connection is read from, and how often the ends are looked after. */
  private static final Duration LINGER_TIMEOUT = Duration.ofMillis(300);

  private static final Duration CLOSE_CHECK_INTERVAL = Duration.ofMillis(50);

  /** Of a flood that is dropped, so much is read in each such span. */
  private static final int DISCARD_READ_BYTES = 1 << 16;

  private static final Duration DISCARD_INTERVAL = Duration.ofMillis(10);

  /** How long a newcomer waits for room before it is closed. */
  private static final Duration ACCEPT_WAIT = Duration.ofMillis(10);

  /**
   * Of all connections that there may be: those that are dialled at most, and what is kept free for
   * them; and what no newcomer gets, for dials that come at once.
   */
  private static final double MAX_DIALLED_SHARE = 0.75;

  private static final double FREE_SHARE = 0.25;
  private static final double DIAL_ONLY_SHARE = 1 / 16.0;

  final EventQueue eventQueue;
  final Counters counters;

  /** Null where nothing is recorded. */
  final TrafficListener trafficListener;

  private final ExecutorService executor =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(null, task, "mina", THREAD_STACK_BYTES);
            thread.setDaemon(true);
            return thread;
          });
  private final Processor processor = new Processor();

  /** Tasks of MINA's connector, until the turn that dials is over. */
  private final Queue<Runnable> connectorTasks = new ConcurrentLinkedQueue<>();

  private final IoConnector connector;
  private final boolean inMemory;
  private IoAcceptor acceptor;

  /** Held while a connection is accepted: who holds it keeps those that come in the backlog. */
  final Object acceptLock = new Object();

  /** Connections that came in and have not ended. */
  private final AtomicInteger inboundCount = new AtomicInteger();

  /**
   * Connections of both kinds that there may be at one time; and those dialled that have not ended.
   */
  private volatile int maxConnections = Integer.MAX_VALUE;

  private volatile int dialledCount;

  /** Dials for which there was no descriptor, by connection. */
  private final Map<Connection, Runnable> waitingDials = new LinkedHashMap<>();

  private Runnable shortageHandler = () -> {};
  private final Set<Connection> flushRequests = new LinkedHashSet<>();
  private final Set<Connection> connections = new LinkedHashSet<>();

  /**
   * {@code within}: without sockets, to addresses that this same network listens at, by MINA's
   * pipes.
   */
  public Network(EventQueue eventQueue, Counters counters, boolean inMemory) {
    this(eventQueue, counters, inMemory, null);
  }

  /** {@code tap} is told of all that connections carry; null for none. */
  public Network(
      EventQueue eventQueue, Counters counters, boolean inMemory, TrafficListener trafficListener) {
    this.eventQueue = eventQueue;
    this.counters = counters;
    this.inMemory = inMemory;
    this.trafficListener = trafficListener;
    if (inMemory) {
      connector = new VmPipeConnector(executor);
    } else {
      // its thread ends when no dial is under way; started after the last dial of a turn and not
      // with the
      // first, it is woken once for all of them
      NioSocketConnector socketConnector = new NioSocketConnector(connectorTasks::add, processor);
      configure(socketConnector.getSessionConfig());
      connector = socketConnector;
    }
    connector.setHandler(new EventForwarder());
  }

  private static void configure(SocketSessionConfig session) {
    session.setTcpNoDelay(true);
    session.setMaxReadBufferSize(Connection.MAX_READ_BYTES);
  }

  /**
   * Takes connections at an address; each is told to {@code accepted}, which gives it a party.
   * {@code most} counts all connections, those dialled too: where they are many, fewer are taken.
   * Returns the address, with the port that was free where port 0 was asked for.
   */
  public InetSocketAddress listen(
      InetSocketAddress address,
      int maxConnections,
      int maxOutputBytes,
      Consumer<Connection> onAccepted)
      throws IOException {
    this.maxConnections = inMemory ? Integer.MAX_VALUE : maxConnections;
    acceptor = inMemory ? new VmPipeAcceptor(executor) : newSocketAcceptor();
    acceptor.setHandler(
        new EventForwarder() {
          /**
           * Its descriptor is free once the selector has let go of its channel, in the next round.
           * Guards against a flood of newcomers for whom there is room by the count, and no
           * descriptor yet: the acceptor would stand still for a second.
           */
          @Override
          public void sessionClosed(IoSession session) {
            if (inMemory) {
              released();
            } else {
              processor.run(this::released);
            }
            super.sessionClosed(session);
          }

          private void released() {
            inboundCount.decrementAndGet();
            notifyConnectionFreed();
          }

          @Override
          public void sessionCreated(IoSession session) {
            Connection connection = new Connection(Network.this, maxOutputBytes, true);
            session.setAttribute(CONNECTION_ATTRIBUTE, connection);
            connection.attach(session, true);
            eventQueue.post(
                () -> {
                  connections.add(connection);
                  onAccepted.accept(connection);
                });
          }
        });
    acceptor.bind(minaAddress(address));
    return inMemory ? address : (InetSocketAddress) acceptor.getLocalAddress();
  }

  private NioSocketAcceptor newSocketAcceptor() {
    NioSocketAcceptor socketAcceptor = new Acceptor();
    socketAcceptor.setReuseAddress(true);
    socketAcceptor.setBacklog(BACKLOG);
    configure(socketAcceptor.getSessionConfig());
    return socketAcceptor;
  }

  private SocketAddress minaAddress(InetSocketAddress address) {
    return inMemory ? new VmPipeAddress(address.getPort()) : address;
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
  public Connection dial(InetSocketAddress address, int maxOutputBytes, ConnectionHandler handler) {
    Connection connection = new Connection(this, maxOutputBytes, false);
    connection.setHandler(handler);
    connections.add(connection);
    if (openDialledCount() > MAX_DIALLED_SHARE * maxConnections) {
      closeLongestIdle();
    }
    if (connectionShortfall() > 0) {
      shortageHandler.run();
    }
    if (availableConnections() > 0) {
      connect(connection, address);
    } else {
      counters.add("dials that waited for a descriptor", 1);
      waitingDials.put(connection, () -> connect(connection, address));
    }
    return connection;
  }

  private void connect(Connection connection, InetSocketAddress address) {
    ConnectFuture future =
        connector.connect(
            minaAddress(address),
            (session, ignored) -> {
              session.setAttribute(CONNECTION_ATTRIBUTE, connection);
              connection.attach(session, false);
            });
    dialledCount++;
    connection.setConnectFuture(future);
    future.addListener(
        ignored -> {
          if (!future.isConnected()) {
            eventQueue.post(connection::handleClosed);
          }
        });
  }

  /**
   * Gives a dial up by closing its channel. Guards against ConnectFuture.cancel: where it crosses
   * the dial's coming up or its refusal, MINA's connector counts the dial as over twice, and ends
   * its thread while another dial is under way, which is then told nothing. A closed channel is
   * counted once, or not at all: then the thread stays.
   */
  void abandonDial(ConnectFuture connectFuture) {
    if (connectFuture instanceof AbstractPollingIoConnector<?, ?>.ConnectionRequest request) {
      try {
        ((SocketChannel) request.getHandle()).close();
      } catch (IOException e) {
        counters.add("dials that could not be given up", 1);
      }
    } else {
      connectFuture.cancel();
    }
  }

  /** Those dialled, or that wait for it, and are not being ended. */
  private long openDialledCount() {
    return dialledCount < MAX_DIALLED_SHARE * maxConnections
        ? dialledCount
        : connections.stream()
            .filter(connection -> !connection.inbound && connection.isUsable())
            .count();
  }

  /**
   * Guards against links that nobody uses just now, and that take the descriptors of all clients.
   */
  private void closeLongestIdle() {
    connections.stream()
        .filter(
            connection ->
                !connection.inbound && connection.isUsable() && connection.idleSince() != null)
        .min(Comparator.comparing(Connection::idleSince))
        .ifPresent(
            connection -> {
              counters.add("resting links shed", 1);
              connection.close();
            });
  }

  /** So many connections more there may be. */
  public int availableConnections() {
    return maxConnections == Integer.MAX_VALUE
        ? maxConnections
        : maxConnections - dialledCount - inboundCount.get();
  }

  /** So much of the room no newcomer gets. */
  private int dialOnlyConnections() {
    return (int) Math.ceil(maxConnections * DIAL_ONLY_SHARE);
  }

  /**
   * Whether there is so little room that one who comes is to be sent away, once so many more have
   * ended.
   */
  public boolean isFull(int closing) {
    return maxConnections != Integer.MAX_VALUE
        && availableConnections() + closing < 2 * dialOnlyConnections();
  }

  /** So many connections should end, if they can, for dials to find room at once. */
  public int connectionShortfall() {
    if (maxConnections == Integer.MAX_VALUE) {
      return 0;
    }
    double undialled = Math.max(0, MAX_DIALLED_SHARE * maxConnections - dialledCount);
    return (int)
        Math.max(
            0,
            Math.min(FREE_SHARE * maxConnections, 2 * dialOnlyConnections() + undialled)
                - availableConnections());
  }

  /** {@code task} is run on the loop's thread when something is dialled while room is short. */
  public void setShortageHandler(Runnable task) {
    shortageHandler = task;
  }

  private void notifyConnectionFreed() {
    synchronized (acceptLock) {
      acceptLock.notifyAll();
    }
  }

  /** Ends all there is of it. */
  public void dispose() {
    connector.dispose();
    runConnectorTasks();
    if (acceptor != null) {
      acceptor.dispose();
    }
    processor.dispose();
    executor.shutdown();
  }

  /** The time since the start, read now: a turn may have stood still since it began. */
  public Duration currentTime() {
    return eventQueue.currentTime();
  }

  /** Connections in hand, those being opened too. */
  public int connectionCount() {
    return connections.size();
  }

  /** Whether all that was put into connections has left, and the loop has heard so. */
  public boolean isFlushed() {
    return connections.stream().allMatch(Connection::isFlushed);
  }

  void requestFlush(Connection connection) {
    flushRequests.add(connection);
  }

  void forget(Connection connection) {
    connections.remove(connection);
    flushRequests.remove(connection);
    if (!connection.inbound && waitingDials.remove(connection) == null) {
      dialledCount--;
      notifyConnectionFreed();
    }
  }

  void resumeReading(IoSession session) {
    if (inMemory) {
      session.resumeRead();
    } else {
      processor.run(session::resumeRead);
    }
  }

  boolean isInMemory() {
    return inMemory;
  }

  /** Whatever becomes of it, a connection that is to end does so within this span. */
  void closeWithin(Connection connection, Duration timeout) {
    Duration deadline = eventQueue.currentTime().plus(timeout);
    processor.run(() -> processor.closeDeadlines.put(connection, deadline));
  }

  /** What was put has left: nothing more follows, and what comes is read for a while. */
  void halfClose(Connection connection) {
    closeWithin(connection, LINGER_TIMEOUT);
    processor.run(() -> processor.shutdownOutput(connection));
  }

  private void runConnectorTasks() {
    for (Runnable task = connectorTasks.poll(); task != null; task = connectorTasks.poll()) {
      executor.execute(task);
    }
  }

  /** One flush for each connection that something was put into; and what was dialled goes on. */
  public void flush() {
    while (!waitingDials.isEmpty() && availableConnections() > 0) {
      waitingDials.remove(waitingDials.keySet().iterator().next()).run();
    }
    runConnectorTasks();
    List<Connection> toFlush = List.copyOf(flushRequests);
    flushRequests.clear();
    toFlush.forEach(Connection::flush);
  }

  /**
   * MINA's processor, with its wake-up call within reach: a change of interest waits for the next
   * one. It also ends connections in an orderly way, on its own thread, where their channels are at
   * hand.
   */
  private final class Processor extends NioProcessor {
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();

    /** By when connections that are being ended are closed; this thread's. */
    private final Map<Connection, Duration> closeDeadlines = new LinkedHashMap<>();

    /** When floods are read from again. */
    private final Map<Connection, Duration> discardResumeTimes = new LinkedHashMap<>();

    private final IoBuffer discardBuffer = IoBuffer.allocate(DISCARD_READ_BYTES);

    Processor() {
      super(executor);
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
    protected int select(long timeoutMs) throws Exception {
      int selected =
          super.select(
              !discardResumeTimes.isEmpty()
                  ? DISCARD_INTERVAL.toMillis()
                  : !closeDeadlines.isEmpty() ? CLOSE_CHECK_INTERVAL.toMillis() : timeoutMs);
      if (!discardResumeTimes.isEmpty() || !closeDeadlines.isEmpty()) {
        // MINA takes selects that come back early and empty, ten in a row, for a broken selector,
        // and makes
        // a new one
        wakeupCalled.set(true);
      }
      for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
        task.run();
      }
      if (!closeDeadlines.isEmpty() || !discardResumeTimes.isEmpty()) {
        Duration now = eventQueue.currentTime();
        discardResumeTimes
            .entrySet()
            .removeIf(
                entry -> {
                  boolean due = entry.getValue().compareTo(now) <= 0;
                  if (due) {
                    entry.getKey().session().resumeRead();
                  }
                  return due;
                });
        closeDeadlines
            .entrySet()
            .removeIf(
                entry -> {
                  IoSession session = entry.getKey().session();
                  if (session.isConnected()
                      && !session.isClosing()
                      && entry.getValue().compareTo(now) <= 0) {
                    counters.add("ends cut short", 1);
                    session.closeNow();
                  }
                  return session.isClosing() || !session.isConnected();
                });
      }
      return selected;
    }

    /** MINA keeps a session's channel to itself, but each key of the selector knows both. */
    private void shutdownOutput(Connection connection) {
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
    private int discardRead(Connection connection) throws Exception {
      discardBuffer.clear();
      int count = super.read((NioSession) connection.session(), discardBuffer);
      if (count <= 0) {
        return count;
      }
      if (connection.discard(Arrays.copyOf(discardBuffer.array(), count))) {
        connection.session().suspendRead();
        discardResumeTimes.put(connection, eventQueue.currentTime().plus(DISCARD_INTERVAL));
      }
      return 0;
    }

    @Override
    protected int read(NioSession session, IoBuffer buffer) throws Exception {
      Connection connection = connectionOf(session);
      if (connection.isDiscarding()) {
        return discardRead(connection);
      }
      synchronized (connection) {
        int count = connection.areReadsBlocked() ? 0 : super.read(session, buffer);
        connection.markRead(count > 0);
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
    private boolean lastWaitFailed;

    Acceptor() {
      super(executor, processor);
    }

    @Override
    protected NioSession accept(IoProcessor<NioSession> processor, ServerSocketChannel handle)
        throws Exception {
      synchronized (acceptLock) {
        return acceptWithinLimit(processor, handle);
      }
    }

    private NioSession acceptWithinLimit(
        IoProcessor<NioSession> processor, ServerSocketChannel handle) throws Exception {
      long deadlineNanos = System.nanoTime() + ACCEPT_WAIT.toNanos();
      for (long remainingNanos = 1;
          availableConnections() <= dialOnlyConnections() && !lastWaitFailed && remainingNanos > 0;
          remainingNanos = deadlineNanos - System.nanoTime()) {
        TimeUnit.NANOSECONDS.timedWait(acceptLock, Math.max(1_000_000, remainingNanos));
      }
      lastWaitFailed = availableConnections() <= dialOnlyConnections();
      if (lastWaitFailed) {
        SocketChannel channel = handle.accept();
        if (channel != null) {
          channel.close();
          counters.add("connections turned away", 1);
        }
        return null;
      }
      NioSession session = super.accept(processor, handle);
      if (session != null) {
        inboundCount.incrementAndGet();
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

  private static Connection connectionOf(IoSession session) {
    return (Connection) session.getAttribute(CONNECTION_ATTRIBUTE);
  }

  /** Passes on what MINA tells, from its thread to the loop's. */
  private class EventForwarder extends IoHandlerAdapter {
    @Override
    public void sessionOpened(IoSession session) {
      eventQueue.post(connectionOf(session)::handleOpened);
    }

    @Override
    public void messageReceived(IoSession session, Object message) {
      connectionOf(session).onReceived((IoBuffer) message);
    }

    @Override
    public void messageSent(IoSession session, Object message) {
      connectionOf(session).onSent();
    }

    @Override
    public void sessionClosed(IoSession session) {
      if (inMemory) {
        connectionOf(session).markPeerClosed(); // pipes know no reset
      }
      eventQueue.post(connectionOf(session)::handleClosed);
    }

    @Override
    public void inputClosed(IoSession session) {
      connectionOf(session).markPeerClosed();
      session.closeNow();
    }

    @Override
    public void exceptionCaught(IoSession session, Throwable cause) {
      counters.add("connections broken", 1);
      session.closeNow();
    }
  }
}
