package gingerring.frontend;

import gingerring.decide.Settings;
import gingerring.http.HttpException;
import gingerring.net.Connection;
import gingerring.net.ConnectionHandler;
import gingerring.net.Counters;
import gingerring.net.LoopTimer;
import gingerring.net.Network;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/** The clients' side: takes their connections, reads their scans, hands them on. */
public final class Frontend {
  static final int MAX_BODY_BYTES = 64 * 1024;
  private static final int OUTPUT_BUFFER_BYTES = 1 << 20;

  /**
   * How long a request may take to come, and an answer to leave; and how long a client may say
   * nothing.
   */
  static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);

  static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(10);
  static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);
  static final Duration SWEEP_INTERVAL = Duration.ofMillis(250);
  private static final int MAX_BUFFERED_BODY_BYTES = 16 << 20;

  private final Network network;
  private final ScanHandler handler;
  private final ScanRequestParser requestParser;
  private final Counters counts;
  private final LoopTimer clock;
  private final Consumer<Runnable> nextTurn;
  private final int maxConnections;
  private int bufferedBodyBytes;
  private boolean closed;

  /** Connections being ended for others. */
  private int evictionsPending;

  private final Set<ClientConnection> clients = new LinkedHashSet<>();

  /**
   * {@code again} runs a task in the next turn; the network is to hold so many connections at one
   * time, those dialled too.
   */
  public Frontend(
      Network network,
      ScanHandler intake,
      Settings terms,
      Counters counts,
      LoopTimer clock,
      Consumer<Runnable> again,
      int connectionsMost) {
    this.network = network;
    this.handler = intake;
    this.counts = counts;
    this.clock = clock;
    this.nextTurn = again;
    this.maxConnections = connectionsMost;
    requestParser = new ScanRequestParser(terms);
    clock.schedule(SWEEP_INTERVAL, this::enforceTimeouts);
  }

  public InetSocketAddress listen(InetSocketAddress address) throws IOException {
    network.setShortageHandler(this::evictClients);
    return network.listen(address, maxConnections, OUTPUT_BUFFER_BYTES, this::clientConnected);
  }

  private void clientConnected(Connection connection) {
    if (closed) {
      connection.setHandler(ConnectionHandler.NO_OP);
      connection.close(); // never read: its client may come again
      return;
    }
    // guards against newcomers of one turn that are sent away while enough others are being ended
    // for them
    boolean crowded = !evictClients() && network.isFull(evictionsPending);
    ClientConnection client = new ClientConnection(this, connection, crowded);
    connection.setHandler(client);
    clients.add(client);
  }

  /**
   * Guards against running out of descriptors, where dials are to find some: first go those that
   * have had their last answer, then who never asked for anything, then the longest idle, then who
   * began a request and does not end it: a flood of such holds all room otherwise, until their time
   * is over. Where all are busy a newcomer's scan is nacked. Returns whether any went.
   */
  private boolean evictClients() {
    int shortBy = network.connectionShortfall() - evictionsPending;
    if (shortBy <= 0) {
      return false;
    }
    int before = evictionsPending;
    for (ClientConnection each :
        clients.stream()
            .filter(ClientConnection::evictable)
            .sorted(ClientConnection.EVICTION_ORDER)
            .toList()) {
      if (evictionsPending - before < shortBy && each.evict()) {
        evictionsPending++;
      }
    }
    return evictionsPending > before;
  }

  /**
   * Ends connections that a request or an answer has been on for too long, or nothing. Guards
   * against clients that send half a request or none: they are owed an end, and hold descriptors
   * and memory.
   */
  private void enforceTimeouts() {
    List.copyOf(clients).forEach(ClientConnection::enforceTimeouts);
    evictClients();
    clock.schedule(SWEEP_INTERVAL, this::enforceTimeouts);
  }

  /**
   * The end is near: connections between requests are closed, the others end with their answers.
   */
  public void closeIdleClients() {
    List.copyOf(clients).stream()
        .filter(ClientConnection::idle)
        .forEach(ClientConnection::closeIfIdle);
  }

  /**
   * The end is here, and no scan is in hand: every connection ends, and no request is read any
   * more.
   */
  public void closeAllClients() {
    closed = true;
    List.copyOf(clients).forEach(ClientConnection::closeForShutdown);
  }

  public int clientCount() {
    return clients.size();
  }

  void clientClosed(ClientConnection client, boolean gaveWay) {
    clients.remove(client);
    evictionsPending -= gaveWay ? 1 : 0;
  }

  Duration now() {
    return clock.now();
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

  boolean accept(ScanRequest ask, Duration since, ScanResponder reply) {
    return handler.accept(ask, since, reply);
  }

  void clientDisconnected(ScanResponder reply) {
    handler.clientDisconnected(reply);
  }

  void runNextTurn(Runnable task) {
    nextTurn.accept(task);
  }

  /** Guards against many slow senders that together hold more than the memory there is. */
  void reserveBodyBytes(int length) throws HttpException {
    if (bufferedBodyBytes + length > MAX_BUFFERED_BODY_BYTES) {
      throw new HttpException(503, "too many bodies half sent");
    }
    bufferedBodyBytes += length;
  }

  void releaseBodyBytes(int length) {
    bufferedBodyBytes -= length;
  }
}
