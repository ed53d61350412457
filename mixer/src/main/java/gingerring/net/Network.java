package gingerring.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.time.Duration;
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
 * All connections of the process, over Apache MINA. One MINA thread reads and writes for inbound
 * and dialled connections; its handlers only pass bytes and events on to the event loop.
 */
public final class Network {
  private static final String CONNECTION_ATTRIBUTE = "connection";
  private static final int BACKLOG = 512;
  private static final int THREAD_STACK_BYTES = 1 << 18;

  /**
   * How long at most the input of a connection whose output has been shut down is read before the
   * connection is closed.
   */
  private static final Duration LINGER_TIMEOUT = Duration.ofMillis(300);

  /** How often the deadlines of closing connections are checked. */
  private static final Duration CLOSE_CHECK_INTERVAL = Duration.ofMillis(50);

  /**
   * Most bytes of discarded input that one read takes; paced reads are {@link #DISCARD_INTERVAL}
   * apart.
   */
  private static final int DISCARD_READ_BYTES = 1 << 16;

  private static final Duration DISCARD_INTERVAL = Duration.ofMillis(10);

  /**
   * How long accepting waits for a connection to end when the limit is reached; then the new
   * connection is closed.
   */
  private static final Duration ACCEPT_WAIT = Duration.ofMillis(10);

  /** The largest share of {@link #maxConnections} that dialled connections may take. */
  private static final double MAX_DIALLED_SHARE = 0.75;

  /**
   * The share of {@link #maxConnections} that is kept free, if possible, for dials; see {@link
   * #connectionShortfall}.
   */
  private static final double FREE_SHARE = 0.25;

  /** The share of {@link #maxConnections} that inbound connections never get, for sudden dials. */
  private static final double DIAL_ONLY_SHARE = 1 / 16.0;

  /** One connection may buffer this share of what all connections may. */
  private static final int OUTPUT_SHARES = 4;

  final EventQueue eventQueue;
  final Counters counters;

  /** Receives all traffic for a recording; null if nothing is recorded. */
  final TrafficListener trafficListener;

  private final ExecutorService executor =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(null, task, "mina", THREAD_STACK_BYTES);
            thread.setDaemon(true);
            thread.setUncaughtExceptionHandler(this::onThreadLost);
            return thread;
          });
  private final Processor processor = new Processor();

  /**
   * Tasks that MINA's connector has submitted; they are started at the end of the loop iteration.
   */
  private final Queue<Runnable> connectorTasks = new ConcurrentLinkedQueue<>();

  private final IoConnector connector;
  private final boolean inMemory;
  private IoAcceptor acceptor;

  /**
   * Held while a connection is accepted; a thread that holds it keeps new connections in the
   * backlog.
   */
  final Object acceptLock = new Object();

  /** Number of inbound connections whose file descriptor is not free yet. */
  private final AtomicInteger inboundCount = new AtomicInteger();

  /** Limit on the number of inbound and dialled connections together. */
  private volatile int maxConnections = Integer.MAX_VALUE;

  /** Number of dialled connections that have not ended. */
  private volatile int dialledCount;

  /** Dials that wait for a free file descriptor, in the order in which they were requested. */
  private final Map<Connection, Runnable> waitingDials = new LinkedHashMap<>();

  /** Limits what all connections have read and not passed on yet, beyond a small buffer each. */
  private volatile MemoryBudget inputBudget = MemoryBudget.UNLIMITED;

  /** Limits what all connections buffer for sending, beyond a small buffer each. */
  private volatile MemoryBudget outputBudget = MemoryBudget.UNLIMITED;

  private Runnable shortageHandler = () -> {};
  private volatile Consumer<Throwable> threadLostHandler;
  private final Set<Connection> flushRequests = new LinkedHashSet<>();
  private final Set<Connection> connections = new LinkedHashSet<>();

  /**
   * Creates a network. {@code inMemory}: uses MINA's in-memory pipes in place of sockets; only
   * addresses that this network listens at can be dialled.
   */
  public Network(EventQueue eventQueue, Counters counters, boolean inMemory) {
    this(eventQueue, counters, inMemory, null);
  }

  /** Creates a network whose traffic is passed to {@code trafficListener}, or to none if null. */
  public Network(
      EventQueue eventQueue, Counters counters, boolean inMemory, TrafficListener trafficListener) {
    this.eventQueue = eventQueue;
    this.counters = counters;
    this.inMemory = inMemory;
    this.trafficListener = trafficListener;
    if (inMemory) {
      connector = new VmPipeConnector(executor);
    } else {
      // The connector's thread ends when no dial is under way. Starting it after the last dial of a
      // loop iteration, not with the first, wakes it once for all of them.
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
   * Accepts connections at an address; {@code onAccepted} gets each and has to set its handler.
   * {@code maxConnections} limits inbound and dialled connections together: the more are dialled,
   * the fewer are accepted.
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
           * Counts the connection as ended only after the next select, when its channel is
           * deregistered and its descriptor free. Guards against a burst of connections that fit
           * the count while no descriptor is free yet: the acceptor would stall for a second.
           */
          @Override
          public void sessionClosed(IoSession session) {
            if (inMemory) {
              onDescriptorFreed();
            } else {
              processor.run(this::onDescriptorFreed);
            }
            super.sessionClosed(session);
          }

          private void onDescriptorFreed() {
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

  /** Stops listening. Established connections stay, and those in the backlog are accepted. */
  public void stopListening() {
    if (acceptor != null && acceptor.isActive()) {
      acceptor.setCloseOnDeactivation(false);
      acceptor.unbind();
    }
  }

  /**
   * Dials an address; the handler is notified when the connection is established or has failed. If
   * no descriptor is free, the dial waits for one.
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
   * Aborts a dial by closing its channel. Guards against ConnectFuture.cancel: if it races with the
   * success or refusal of the dial, MINA's connector counts the dial as finished twice and ends its
   * thread while another dial is under way, whose outcome is then never reported. A closed channel
   * is counted once or not at all; in the second case the thread stays.
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

  /**
   * Dialled connections, waiting dials included, that are not being closed. Counted one by one only
   * near the limit.
   */
  private long openDialledCount() {
    return dialledCount < MAX_DIALLED_SHARE * maxConnections
        ? dialledCount
        : connections.stream()
            .filter(connection -> !connection.inbound && connection.isUsable())
            .count();
  }

  /**
   * Closes the dialled connection that has been idle the longest. Guards against unused connections
   * to searchers that take the descriptors of all clients.
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

  /** How many more connections there may be. */
  public int availableConnections() {
    return maxConnections == Integer.MAX_VALUE
        ? maxConnections
        : maxConnections - dialledCount - inboundCount.get();
  }

  /** How many connections are reserved for dials. */
  private int dialOnlyConnections() {
    return (int) Math.ceil(maxConnections * DIAL_ONLY_SHARE);
  }

  /**
   * Whether an inbound connection is to be turned away, even after {@code closing} connections have
   * ended.
   */
  public boolean isFull(int closing) {
    return maxConnections != Integer.MAX_VALUE
        && availableConnections() + closing < 2 * dialOnlyConnections();
  }

  /** How many connections should be closed, if possible, for further dials to succeed at once. */
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

  /**
   * Sets a task that runs on the loop's thread when something is dialled while {@link
   * #connectionShortfall} is positive.
   */
  public void setShortageHandler(Runnable task) {
    shortageHandler = task;
  }

  /** Limits what connections may buffer in each direction; called before any connection opens. */
  public void setBudgets(MemoryBudget input, MemoryBudget output) {
    inputBudget = input;
    outputBudget = output;
  }

  /**
   * Returns how much one connection may buffer for sending: {@code wanted}, or less if that would
   * be a large part of what all may.
   */
  public int limitOutput(int wanted) {
    return (int) Math.min(wanted, outputBudget.capacity() / OUTPUT_SHARES);
  }

  MemoryBudget inputBudget() {
    return inputBudget;
  }

  MemoryBudget outputBudget() {
    return outputBudget;
  }

  /**
   * Sets a handler that is called if one of MINA's threads ends by an exception or error. MINA does
   * not replace such a thread, so that connections stay open and nothing is read or written any
   * more. The handler runs on the thread that ends.
   */
  public void setThreadLostHandler(Consumer<Throwable> handler) {
    threadLostHandler = handler;
  }

  private void onThreadLost(Thread thread, Throwable cause) {
    Consumer<Throwable> handler = threadLostHandler;
    if (handler != null) {
      handler.accept(cause);
    } else {
      thread.getThreadGroup().uncaughtException(thread, cause);
    }
  }

  private void notifyConnectionFreed() {
    synchronized (acceptLock) {
      acceptLock.notifyAll();
    }
  }

  /** Stops MINA and closes all connections. */
  public void dispose() {
    connector.dispose();
    runConnectorTasks();
    if (acceptor != null) {
      acceptor.dispose();
    }
    processor.dispose();
    executor.shutdown();
  }

  /**
   * Returns the current time since the event loop was created; {@link LoopTimer#now} returns the
   * start of the loop iteration instead.
   */
  public Duration currentTime() {
    return eventQueue.currentTime();
  }

  /** Number of connections, those being established included. */
  public int connectionCount() {
    return connections.size();
  }

  /** Whether no connection has output that is buffered or being written. */
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

  /** Closes a connection after {@code timeout} unless it has ended before. */
  void closeWithin(Connection connection, Duration timeout) {
    Duration deadline = eventQueue.currentTime().plus(timeout);
    processor.run(() -> processor.closeDeadlines.put(connection, deadline));
  }

  /**
   * Shuts down the output, all of which was sent; input is read for {@link #LINGER_TIMEOUT} at
   * most.
   */
  void halfClose(Connection connection) {
    closeWithin(connection, LINGER_TIMEOUT);
    processor.run(() -> processor.shutdownOutput(connection));
  }

  /** Starts the submitted tasks of MINA's connector. */
  private void runConnectorTasks() {
    for (Runnable task = connectorTasks.poll(); task != null; task = connectorTasks.poll()) {
      executor.execute(task);
    }
  }

  /** Starts waiting dials that now fit the limit, and flushes each connection with new output. */
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
   * MINA's processor with its protected wake-up made callable: a change of interest, such as
   * resumed reading, takes effect only at the next wake-up. It also closes connections gracefully,
   * on its own thread, which may access their channels.
   */
  private final class Processor extends NioProcessor {
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();

    /** When connections that are being closed are closed at once. Used on this thread only. */
    private final Map<Connection, Duration> closeDeadlines = new LinkedHashMap<>();

    /** When reading is resumed for connections whose discarded input is paced. */
    private final Map<Connection, Duration> discardResumeTimes = new LinkedHashMap<>();

    private final IoBuffer discardBuffer = IoBuffer.allocate(DISCARD_READ_BYTES);

    Processor() {
      super(executor);
    }

    @Override
    protected void wakeup() {
      super.wakeup();
    }

    /** Runs a task on MINA's thread; tasks do not run while no connection is left. */
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
        // MINA takes ten early and empty selects in a row for a broken selector and replaces it;
        // marking them as woken up prevents that
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

    /**
     * Shuts down the output of a connection. MINA does not expose the channel of a session, but the
     * selector's key refers to both.
     */
    private void shutdownOutput(Connection connection) {
      for (SelectionKey key : selector.keys()) {
        if (key.attachment() == connection.session()) {
          try {
            ((SocketChannel) key.channel()).shutdownOutput();
          } catch (IOException e) {
            connection.session().closeNow(); // the peer closed before
          }
          return;
        }
      }
    }

    /** Reads a large piece of discarded input; only the end of the input is reported to MINA. */
    private int discardRead(Connection connection) throws Exception {
      discardBuffer.clear();
      int count = super.read((NioSession) connection.session(), discardBuffer);
      if (count <= 0) {
        return count;
      }
      if (connection.discard(discardBuffer.array(), count)) {
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
        int count = connection.areReadsBlocked() ? 0 : readWithinMemory(connection, buffer);
        connection.markRead(count > 0);
        return count;
      }
    }

    /** Reads no more than the connection's input has memory for, with what the buffer has. */
    private int readWithinMemory(Connection connection, IoBuffer buffer) throws Exception {
      int limit = Math.min(buffer.capacity(), connection.prepareRead());
      if (limit <= buffer.position()) {
        return 0;
      }
      buffer.limit(limit);
      int count = super.read((NioSession) connection.session(), buffer);
      if (count <= 0 && buffer.position() == 0) {
        connection.abandonRead();
      }
      return count;
    }
  }

  /**
   * MINA's acceptor with a connection limit: at the limit it waits briefly for the loop to close
   * other connections, and otherwise closes the new one at once. Guards against many clients that
   * take the last descriptor: the acceptor would then stall for a second at a time, and no searcher
   * could be dialled.
   */
  private final class Acceptor extends NioSocketAcceptor {
    /**
     * Whether no connection ended during the last wait at the limit. Accepting then does not wait
     * again while the limit is reached, so that one connection does not delay those behind it.
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
     * Accepts the connections in the backlog before listening ends. Guards against clients that
     * have connected, and perhaps sent their request, and are reset without a response.
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

  /** Forwards MINA's events from its thread to the event loop. */
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
        connectionOf(session).markPeerClosed(); // an in-memory pipe cannot be reset
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
