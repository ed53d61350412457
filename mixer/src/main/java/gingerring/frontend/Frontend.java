package gingerring.frontend;

import gingerring.decide.Settings;
import gingerring.net.Connection;
import gingerring.net.ConnectionHandler;
import gingerring.net.Counters;
import gingerring.net.LoopTimer;
import gingerring.net.MemoryBudget;
import gingerring.net.Network;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/** Accepts client connections, reads scan requests and passes them to the {@link ScanHandler}. */
public final class Frontend {
  static final int MAX_BODY_BYTES = 64 * 1024;
  private static final int OUTPUT_BUFFER_BYTES = 1 << 20;

  /** Longest time from the first byte of a request to its last. */
  static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);

  /** Longest time to send a response. */
  static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(10);

  /** Longest time between requests. */
  static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

  static final Duration SWEEP_INTERVAL = Duration.ofMillis(250);

  private final Network network;
  private final ScanHandler handler;
  private final ScanRequestParser requestParser;
  private final InputScheduler inputScheduler;
  private final Counters counts;
  private final LoopTimer clock;
  private final Consumer<Runnable> nextTurn;
  private final int maxConnections;

  /**
   * Limits the memory that the requests of all clients take, from their first byte to their end.
   */
  private final MemoryBudget requestMemory;

  private boolean closed;

  /** Number of connections that are being closed to make room for others. */
  private int evictionsPending;

  private final Set<ClientConnection> clients = new LinkedHashSet<>();

  /**
   * Creates the frontend. {@code nextTurn} runs a task in the next turn of the event loop; {@code
   * maxConnections} limits the connections of the network, dialled ones included; {@code
   * requestMemory} limits the memory that all requests take together; {@code cores} is the share of
   * a core that the process may take.
   */
  public Frontend(
      Network network,
      ScanHandler handler,
      Settings settings,
      Counters counts,
      LoopTimer clock,
      Consumer<Runnable> nextTurn,
      int maxConnections,
      MemoryBudget requestMemory,
      double cores) {
    this.network = network;
    this.handler = handler;
    this.counts = counts;
    this.clock = clock;
    this.nextTurn = nextTurn;
    this.maxConnections = maxConnections;
    this.requestMemory = requestMemory;
    inputScheduler = new InputScheduler(clock, nextTurn, counts, cores);
    requestParser = new ScanRequestParser(settings);
    clock.schedule(SWEEP_INTERVAL, this::enforceTimeouts);
  }

  public InetSocketAddress listen(InetSocketAddress address) throws IOException {
    network.setShortageHandler(this::evictClients);
    return network.listen(address, maxConnections, maxResponseBytes(), this::clientConnected);
  }

  /** Returns the size of the largest response. */
  int maxResponseBytes() {
    return network.limitOutput(OUTPUT_BUFFER_BYTES);
  }

  private void clientConnected(Connection connection) {
    if (closed) {
      connection.setHandler(ConnectionHandler.NO_OP);
      connection.close(); // nothing was read from it, so the client can safely retry
      return;
    }
    // Evicts first: connections being closed for new ones of the same turn count as free, so that
    // these are not turned away.
    boolean overConnectionLimit = !evictClients() && network.isFull(evictionsPending);
    ClientConnection client = new ClientConnection(this, connection, overConnectionLimit);
    connection.setHandler(client);
    clients.add(client);
  }

  /**
   * Closes connections when file descriptors run short, so that dials still find one. The order is:
   * connections whose final response has been written, clients that never completed a request, the
   * clients idle for longest, and clients that began a request and do not finish it. Without the
   * last group, a flood of half-sent requests would occupy all connections until their timeout. If
   * all clients are busy, the scan of a new client is rejected. Returns whether any connection was
   * closed.
   */
  private boolean evictClients() {
    int needed = network.connectionShortfall() - evictionsPending;
    if (needed <= 0) {
      return false;
    }
    int pendingBefore = evictionsPending;
    for (ClientConnection client :
        clients.stream()
            .filter(ClientConnection::evictable)
            .sorted(ClientConnection.EVICTION_ORDER)
            .toList()) {
      if (evictionsPending - pendingBefore < needed && client.evict()) {
        evictionsPending++;
      }
    }
    return evictionsPending > pendingBefore;
  }

  /**
   * Closes connections that exceed the time for a request, a response or idling. Such clients hold
   * descriptors and memory.
   */
  private void enforceTimeouts() {
    List.copyOf(clients).forEach(ClientConnection::enforceTimeouts);
    evictClients();
    clock.schedule(SWEEP_INTERVAL, this::enforceTimeouts);
  }

  /** Closes idle connections before the shutdown; the others are closed after their responses. */
  public void closeIdleClients() {
    List.copyOf(clients).stream()
        .filter(ClientConnection::idle)
        .forEach(ClientConnection::closeIfIdle);
  }

  /**
   * Closes all connections at the end of the shutdown, when no scan is open. No further request is
   * read.
   */
  public void closeAllClients() {
    closed = true;
    List.copyOf(clients).forEach(ClientConnection::closeForShutdown);
  }

  public int clientCount() {
    return clients.size();
  }

  void clientClosed(ClientConnection client, boolean evicted) {
    clients.remove(client);
    evictionsPending -= evicted ? 1 : 0;
  }

  Duration now() {
    return clock.now();
  }

  InputScheduler inputScheduler() {
    return inputScheduler;
  }

  ScanRequestParser requestParser() {
    return requestParser;
  }

  Counters counts() {
    return counts;
  }

  boolean ready() {
    return handler.ready();
  }

  boolean closeAfterResponse() {
    return handler.closeAfterResponse();
  }

  boolean accept(ScanRequest request, Duration requestStartedAt, ScanResponder responder) {
    return handler.accept(request, requestStartedAt, responder);
  }

  void clientDisconnected(ScanResponder responder) {
    handler.clientDisconnected(responder);
  }

  void runNextTurn(Runnable task) {
    nextTurn.accept(task);
  }

  /**
   * Reserves memory for a client's request. Where it runs short, the incomplete requests that hold
   * the most are rejected first, so that clients which stop in the middle of large requests keep
   * out neither small ones nor each other for long. Returns false if none of them holds more than
   * this client.
   */
  boolean reserveRequestMemory(ClientConnection client, long bytes) {
    while (!requestMemory.tryReserve(bytes)) {
      ClientConnection largest =
          clients.stream()
              .filter(other -> other != client && other.requestIncomplete())
              .max(Comparator.comparingLong(ClientConnection::heldBytes))
              .orElse(null);
      if (largest == null || largest.heldBytes() <= client.heldBytes()) {
        return false;
      }
      counts.add("half requests shed", 1);
      largest.shedIncompleteRequest();
    }
    return true;
  }

  void releaseRequestMemory(long bytes) {
    requestMemory.release(bytes);
  }
}
