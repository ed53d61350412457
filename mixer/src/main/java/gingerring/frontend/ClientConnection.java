package gingerring.frontend;

import gingerring.http.HttpException;
import gingerring.http.HttpParser;
import gingerring.http.HttpWriter;
import gingerring.http.MessageHead;
import gingerring.net.Connection;
import gingerring.net.ConnectionHandler;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Comparator;
import java.util.Map;
import java.util.Set;

/**
 * Connection to one client. It serves one request at a time; the next request stays in the input
 * ring until the response has been written.
 */
final class ClientConnection implements ConnectionHandler, ScanResponder {
  /** The headers that requests are read for; all others are checked and dropped. */
  private static final Set<String> RETAINED_HEADERS =
      Set.of(
          "host",
          "connection",
          "expect",
          "x-txn",
          "x-lane",
          "x-remaining-ms",
          "x-resent",
          "idempotency-key");

  /** The JSON escape of each control character. */
  private static final byte[][] CONTROL_ESCAPES = new byte[' '][];

  static {
    for (int i = 0; i < CONTROL_ESCAPES.length; i++) {
      CONTROL_ESCAPES[i] = String.format("\\u%04x", i).getBytes(StandardCharsets.US_ASCII);
    }
  }

  /** What a complete request costs the event loop besides its bytes, as a number of bytes. */
  private static final int REQUEST_COST_BYTES = 512;

  /** A client is busy whose input cost more than this within {@link #COST_PERIOD}. */
  private static final int BUSY_COST_BYTES = 64 << 10;

  private static final Duration COST_PERIOD = Duration.ofSeconds(1);

  private final Frontend frontend;
  private final Connection connection;
  private final HttpParser parser;
  private RequestBody body = new RequestBody();

  /** The memory reserved for the current request, from its first byte to its response. */
  private long heldBytes;

  private final boolean overConnectionLimit;
  private MessageHead head;
  private Duration requestStartedAt;
  private Duration idleSince;

  /** What the input of this client has cost since {@link #costPeriodStart}, in bytes. */
  private long recentCost;

  private Duration costPeriodStart;

  /** What the request that was completed last cost besides its bytes. */
  private long requestCost;

  /** Whether a scan of this client is open. */
  private boolean scanOpen;

  /** Whether the connection is closed after the response to the current request. */
  private boolean closeAfterResponse;

  /**
   * Whether the final response has been written; further input is discarded until the client
   * disconnects.
   */
  private boolean finalResponseWritten;

  /** Whether this connection is being closed to make room for another. */
  private boolean evicted;

  /** Whether the client has received a response with status 200 or 503. */
  private boolean requestCompleted;

  ClientConnection(Frontend frontend, Connection connection, boolean overConnectionLimit) {
    this.frontend = frontend;
    this.overConnectionLimit = overConnectionLimit;
    this.connection = connection;
    idleSince = frontend.now();
    costPeriodStart = idleSince;
    parser =
        new HttpParser(
            true,
            Frontend.MAX_BODY_BYTES,
            RETAINED_HEADERS::contains,
            new HttpParser.Handler() {
              @Override
              public void onHead(MessageHead parsedHead) {
                head = parsedHead;
                if (parsedHead.hasToken("expect", "100-continue")) {
                  write(HttpWriter.CONTINUE);
                }
              }

              @Override
              public void onBody(byte[] bytes, int length) throws HttpException {
                holdBytes(parser.heldBytes() + body.capacityWith(length));
                body.append(bytes, length);
              }

              @Override
              public void onMessageEnd() throws HttpException {
                handleRequest();
              }
            });
  }

  /**
   * Changes the memory that is reserved for the current request. Rejects the request if the clients
   * together hold too much.
   */
  private void holdBytes(long bytes) throws HttpException {
    if (!frontend.reserveRequestMemory(this, bytes - heldBytes)) {
      throw new HttpException(503, "the requests of all clients take too much memory");
    }
    heldBytes = bytes;
  }

  /** Releases what is kept of the current request. */
  private void releaseRequest() {
    frontend.releaseRequestMemory(heldBytes);
    heldBytes = 0;
    head = null;
    body = new RequestBody();
  }

  /** Returns the memory reserved for the current request. */
  long heldBytes() {
    return heldBytes;
  }

  /** Returns whether part of a request has been read, and the rest has not. */
  boolean requestIncomplete() {
    return !scanOpen && !finalResponseWritten && !evicted && parser.isMidMessage();
  }

  /** Rejects an incomplete request and closes the connection, to free memory for others. */
  void shedIncompleteRequest() {
    closeAfterResponse = true;
    reject(Duration.ZERO);
  }

  /**
   * Returns whether the connection is between requests and nothing of the next request has been
   * read.
   */
  boolean idle() {
    return !scanOpen
        && !finalResponseWritten
        && !evicted
        && !parser.isMidMessage()
        && connection.input.size() == 0
        && connection.output.size() == 0;
  }

  /**
   * Returns whether a request has begun but has been incomplete for longer than a normal request
   * takes.
   */
  private boolean requestStalled() {
    return requestIncomplete()
        && requestStartedAt != null
        && frontend.now().minus(requestStartedAt).compareTo(Frontend.SWEEP_INTERVAL) > 0;
  }

  /**
   * Returns whether the connection may be closed to make room for another: it is idle, its final
   * response has been sent, or its request is stalled.
   */
  boolean evictable() {
    return finalResponseWritten ? connection.isFlushed() && !evicted : idle() || requestStalled();
  }

  /** Orders evictable connections; the first is closed first. */
  static final Comparator<ClientConnection> EVICTION_ORDER =
      Comparator.<ClientConnection, Boolean>comparing(client -> !client.finalResponseWritten)
          .thenComparing(ClientConnection::requestStalled)
          .thenComparing(client -> client.requestCompleted)
          .thenComparing(
              client ->
                  client.requestStartedAt != null ? client.requestStartedAt : client.idleSince);

  /**
   * Closes this connection to make room for another, unless a request has just arrived. A stalled
   * request is rejected first. Returns whether the connection is being closed.
   */
  boolean evict() {
    if (requestStalled()) {
      frontend.counts().add("half requests shed", 1);
      shedIncompleteRequest();
      evicted = true;
      return true;
    }
    if (finalResponseWritten) {
      frontend.counts().add("ends cut short", 1);
      connection.close();
      evicted = true;
      return true;
    }
    if (closeIfIdle()) {
      evicted = true;
      frontend.counts().add("idle connections shed", 1);
      return true;
    }
    return false;
  }

  /** Closes the connection if it has exceeded a timeout; called periodically. */
  void enforceTimeouts() {
    Duration idleTime = frontend.now().minus(idleSince);
    if (scanOpen || finalResponseWritten) {
      return;
    }
    if (connection.output.size() > 0) {
      if (idleTime.compareTo(Frontend.RESPONSE_TIMEOUT) > 0) {
        connection.close();
      }
    } else if (requestStartedAt != null
        && frontend.now().minus(requestStartedAt).compareTo(Frontend.REQUEST_TIMEOUT) > 0) {
      refuseAndClose(408);
    } else if (requestStartedAt == null
        && idleTime.compareTo(requestCompleted ? Frontend.IDLE_TIMEOUT : Frontend.REQUEST_TIMEOUT)
            > 0) {
      closeIfIdle();
    }
  }

  @Override
  public void onReadable() {
    if (mayParse()) {
      frontend.inputScheduler().schedule(this);
    } else {
      finishReading();
    }
  }

  /**
   * Returns whether the next bytes can be parsed. The next request waits until the previous
   * response has been sent, so that a slow reader delays only itself.
   */
  private boolean mayParse() {
    return !connection.isClosed()
        && !scanOpen
        && !finalResponseWritten
        && connection.output.size() == 0
        && connection.input.size() > 0;
  }

  /**
   * Parses what has arrived, up to the end of a request; returns what that cost, in bytes. Called
   * by the {@link InputScheduler}.
   */
  long parseInput() {
    long takenBefore = connection.input.totalBytesTaken();
    requestCost = 0;
    try {
      while (mayParse()) {
        if (requestStartedAt == null) {
          requestStartedAt = connection.inputArrivedAt();
        }
        if (!parser.parse(connection.input)) {
          holdBytes(parser.heldBytes() + body.capacity());
        }
      }
    } catch (HttpException e) {
      refuseAndClose(e.status);
    }
    long cost = requestCost + connection.input.totalBytesTaken() - takenBefore;
    addRecentCost(cost);
    finishReading();
    return cost;
  }

  private void addRecentCost(long cost) {
    if (frontend.now().minus(costPeriodStart).compareTo(COST_PERIOD) >= 0) {
      costPeriodStart = frontend.now();
      recentCost = 0;
    }
    recentCost += cost;
  }

  /** Returns whether this client's input has cost much lately, so that others go before it. */
  boolean isBusy() {
    return recentCost > BUSY_COST_BYTES
        && frontend.now().minus(costPeriodStart).compareTo(COST_PERIOD) < 0;
  }

  /** Discards what is not going to be parsed, and lets the network read on. */
  private void finishReading() {
    if (scanOpen && connection.isInputFull()) {
      // The client sent much data behind the current request. Left unread, it would hide that the
      // client disconnects. Dropping it loses the start of the next request, so the connection is
      // closed after this response.
      frontend.counts().add("clients that sent too much", 1);
      closeAfterResponse = true;
      connection.discardInput();
    }
    if (finalResponseWritten) {
      connection.input.clear();
    }
    connection.resumeReading();
  }

  /**
   * Fails the open scan of a client that floods behind its request. From here on its input is read
   * so slowly that the client may have gone long before its end is read, and no attempt for it may
   * begin then.
   */
  @Override
  public void onDiscardPaced() {
    if (scanOpen) {
      frontend.counts().add("scans of flooding clients failed", 1);
      closeAfterResponse = true;
      frontend.clientDisconnected(this);
      fail();
    }
  }

  /**
   * Responds with an error and closes the connection: after malformed input, the start of the next
   * request is unknown.
   */
  private void refuseAndClose(int status) {
    frontend.counts().add("bad requests", 1);
    closeAfterResponse = true;
    respond(status, "", new byte[0]);
  }

  /**
   * Stops reading because the process ends. A partly received request is rejected, which promises
   * that nothing of it was sent to searchers.
   */
  void closeForShutdown() {
    if (scanOpen || finalResponseWritten || closeIfIdle()) {
      return;
    }
    closeAfterResponse = true;
    // a response is being sent, and the client sends no request before it has arrived
    if (connection.output.size() > 0) {
      finalResponseWritten = true;
      connection.closeGracefully();
    } else {
      reject(Duration.ZERO);
    }
  }

  @Override
  public void onFlushed() {
    onReadable();
  }

  private void handleRequest() throws HttpException {
    requestCost = REQUEST_COST_BYTES + body.capacity();
    closeAfterResponse =
        head.hasToken("connection", "close") || head.versionOrReason().equals("HTTP/1.0");
    if (head.versionOrReason().equals("HTTP/1.1") && head.header("host") == null) {
      throw new HttpException(400, "Host is missing");
    }
    int queryStart = head.targetOrStatus().indexOf('?');
    String path =
        queryStart < 0 ? head.targetOrStatus() : head.targetOrStatus().substring(0, queryStart);
    switch (path) {
      case "/ready" ->
          respond(
              !head.methodOrVersion().equals("GET") ? 405 : frontend.ready() ? 200 : 503,
              "",
              new byte[0]);
      case "/api" -> {
        if (!head.methodOrVersion().equals("POST")) {
          respond(405, "", new byte[0]);
        } else {
          handleScan();
        }
      }
      default -> respond(404, "", new byte[0]);
    }
  }

  private void handleScan() throws HttpException {
    ScanRequest request;
    try {
      request = frontend.requestParser().parse(head, body.toByteArray());
    } catch (HttpException e) {
      // the HTTP framing is intact, so the connection can serve further requests
      frontend.counts().add("bad requests", 1);
      respond(e.status, "", new byte[0]);
      return;
    }
    if (overConnectionLimit) {
      frontend.counts().add("nacks for want of connections", 1);
      closeAfterResponse = true;
      reject(Duration.ZERO);
      return;
    }
    head = null;
    body = new RequestBody();
    holdBytes(request.retainedBytes());
    scanOpen = true;
    if (!frontend.accept(request, requestStartedAt, this)) {
      frontend.counts().add("bad requests", 1);
      respond(400, "", new byte[0]);
    }
  }

  @Override
  public void answer(boolean complete, Map<Integer, byte[]> values) {
    long valueBytes = values.values().stream().mapToLong(value -> value.length).sum();
    if (valueBytes > frontend.maxResponseBytes()) {
      failTooLarge(); // not even built, which takes several times its size
      return;
    }
    ByteArrayOutputStream json = new ByteArrayOutputStream();
    json.writeBytes(
        ("{\"whole\":" + complete + ",\"results\":[").getBytes(StandardCharsets.US_ASCII));
    boolean first = true;
    for (Map.Entry<Integer, byte[]> value : values.entrySet()) {
      json.writeBytes(
          ((first ? "" : ",") + "{\"partition\":" + value.getKey() + ",\"value\":\"")
              .getBytes(StandardCharsets.US_ASCII));
      writeJsonEscaped(value.getValue(), json);
      json.writeBytes("\"}".getBytes(StandardCharsets.US_ASCII));
      first = false;
    }
    json.writeBytes("]}".getBytes(StandardCharsets.US_ASCII));
    respond(200, "", json.toByteArray());
  }

  private static void writeJsonEscaped(byte[] value, ByteArrayOutputStream json) {
    for (byte b : value) {
      if (b == '"' || b == '\\') {
        json.write('\\');
        json.write(b);
      } else if (b >= 0 && b < ' ') {
        json.writeBytes(CONTROL_ESCAPES[b]);
      } else {
        json.write(b);
      }
    }
  }

  @Override
  public void reject(Duration retryAfter) {
    respond(
        503,
        retryAfter.isZero() ? "" : "Retry-After: " + retryAfter.toMillis() / 1000.0 + "\r\n",
        new byte[0]);
  }

  @Override
  public void fail() {
    respond(500, "", new byte[0]);
  }

  private void respond(int status, String extraHeaders, byte[] responseBody) {
    scanOpen = false;
    requestStartedAt = null;
    requestCompleted |= status == 200 || status == 503;
    idleSince = frontend.now();
    releaseRequest();
    closeAfterResponse |= frontend.closeAfterResponse();
    boolean written =
        write(HttpWriter.response(status, closeAfterResponse, extraHeaders, responseBody));
    if (!written && responseBody.length > 0) {
      failTooLarge();
      return;
    }
    frontend.counts().checkInvariant(written, "a response without a body is written");
    if (closeAfterResponse) {
      finalResponseWritten = true;
      // closing with unread bytes, such as a further request, would reset the connection and lose
      // the response
      connection.closeGracefully();
    } else {
      frontend.runNextTurn(this::onReadable);
    }
  }

  /** Fails the scan because its answer exceeds what may wait to be sent. */
  private void failTooLarge() {
    frontend.counts().add("answers too large", 1);
    closeAfterResponse = true;
    fail();
  }

  private boolean write(byte[] bytes) {
    connection.requestFlush();
    return connection.isClosed() || connection.output.put(bytes);
  }

  /**
   * Closes the connection if it is idle and no request has just arrived. Returns whether it was
   * closed.
   */
  boolean closeIfIdle() {
    return idle() && connection.closeIfUnread();
  }

  @Override
  public void onClosed() {
    frontend.inputScheduler().remove(this);
    connection.input.clear();
    connection.input.releaseIfEmpty();
    frontend.clientClosed(this, evicted);
    releaseRequest();
    if (scanOpen) {
      scanOpen = false;
      frontend.clientDisconnected(this);
    }
  }
}
