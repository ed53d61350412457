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

/**
 * One client's connection: a request at a time, the next left in the ring until the answer has been
 * put.
 */
final class ClientConnection implements ConnectionHandler, ScanResponder {
  private final Frontend frontend;
  private final Connection connection;
  private final HttpParser parser;
  private ByteArrayOutputStream body = new ByteArrayOutputStream();
  private final boolean overConnectionLimit;
  private MessageHead head;
  private Duration requestStartedAt;
  private Duration idleSince;

  /** A scan of this client is in hand. */
  private boolean scanOpen;

  /** The answer to the request in hand is the last on this connection. */
  private boolean closeAfterResponse;

  /** The last answer has been put: what still comes is dropped until the client has gone. */
  private boolean finalResponseWritten;

  /** Is being ended for another. */
  private boolean evicted;

  /** Has had an answer to a whole request. */
  private boolean requestCompleted;

  ClientConnection(Frontend front, Connection connection, boolean crowded) {
    this.frontend = front;
    this.overConnectionLimit = crowded;
    this.connection = connection;
    idleSince = front.now();
    parser =
        new HttpParser(
            true,
            Frontend.MAX_BODY_BYTES,
            new HttpParser.Handler() {
              @Override
              public void onHead(MessageHead read) {
                head = read;
                if (read.hasToken("expect", "100-continue")) {
                  write(HttpWriter.CONTINUE);
                }
              }

              @Override
              public void onBody(byte[] bytes, int length) throws HttpException {
                front.reserveBodyBytes(length);
                body.write(bytes, 0, length);
              }

              @Override
              public void onMessageEnd() throws HttpException {
                handleRequest();
              }
            });
  }

  /** Between requests, with nothing read of the next. */
  boolean idle() {
    return !scanOpen
        && !finalResponseWritten
        && !evicted
        && !parser.isMidMessage()
        && connection.input.size() == 0
        && connection.output.size() == 0;
  }

  /** A request has begun to come, and is not there after longer than whole ones take. */
  private boolean requestStalled() {
    return !scanOpen
        && !finalResponseWritten
        && !evicted
        && requestStartedAt != null
        && parser.isMidMessage()
        && frontend.now().minus(requestStartedAt).compareTo(Frontend.SWEEP_INTERVAL) > 0;
  }

  /**
   * Whether it may be ended where room is wanted: idle, its last answer gone, or with half a
   * request come.
   */
  boolean evictable() {
    return finalResponseWritten ? connection.isFlushed() && !evicted : idle() || requestStalled();
  }

  /** Those that are spare, in the order in which they are ended. */
  static final Comparator<ClientConnection> EVICTION_ORDER =
      Comparator.<ClientConnection, Boolean>comparing(client -> !client.finalResponseWritten)
          .thenComparing(ClientConnection::requestStalled)
          .thenComparing(client -> client.requestCompleted)
          .thenComparing(
              client ->
                  client.requestStartedAt != null ? client.requestStartedAt : client.idleSince);

  /** Ends it for another, unless a request has just come; half a request is refused first. */
  boolean evict() {
    if (requestStalled()) {
      frontend.counts().add("half requests shed", 1);
      closeAfterResponse = true;
      reject(Duration.ZERO);
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

  /** Called now and then: ends what takes too long. */
  void enforceTimeouts() {
    Duration idle = frontend.now().minus(idleSince);
    if (scanOpen || finalResponseWritten) {
      return;
    }
    if (connection.output.size() > 0) {
      if (idle.compareTo(Frontend.RESPONSE_TIMEOUT) > 0) {
        connection.close();
      }
    } else if (requestStartedAt != null
        && frontend.now().minus(requestStartedAt).compareTo(Frontend.REQUEST_TIMEOUT) > 0) {
      refuseAndClose(408);
    } else if (requestStartedAt == null
        && idle.compareTo(requestCompleted ? Frontend.IDLE_TIMEOUT : Frontend.REQUEST_TIMEOUT)
            > 0) {
      closeIfIdle();
    }
  }

  @Override
  public void onReadable() {
    try {
      // the next request waits until the last answer has left: a slow reader holds up no one but
      // itself
      while (!scanOpen
          && !finalResponseWritten
          && connection.output.size() == 0
          && connection.input.size() > 0) {
        if (requestStartedAt == null) {
          requestStartedAt = connection.inputArrivedAt();
        }
        parser.parse(connection.input);
      }
    } catch (HttpException e) {
      refuseAndClose(e.status);
    }
    if (scanOpen && connection.isInputFull()) {
      // much came behind the request in hand: unread, it would hide that the client goes. Where the
      // next
      // request begins is lost by it, so that the answer will be the last
      frontend.counts().add("clients that sent too much", 1);
      closeAfterResponse = true;
      connection.discardInput();
    }
    if (finalResponseWritten) {
      connection.input.clear();
    }
    connection.resumeReading();
  }

  /** Nothing that follows can be told from what was wrong: an error, and the end. */
  private void refuseAndClose(int status) {
    frontend.counts().add("bad requests", 1);
    closeAfterResponse = true;
    respond(status, "", new byte[0]);
  }

  /**
   * The process ends now: nothing more is read, and whatever has come of a request is refused,
   * which promises that nothing was sent on.
   */
  void closeForShutdown() {
    if (scanOpen || finalResponseWritten || closeIfIdle()) {
      return;
    }
    closeAfterResponse = true;
    // an answer is on its way, and the client sends no request before it has it
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
    closeAfterResponse =
        head.hasToken("connection", "close") || head.versionOrReason().equals("HTTP/1.0");
    if (head.versionOrReason().equals("HTTP/1.1") && head.header("host") == null) {
      throw new HttpException(400, "no Host");
    }
    int query = head.targetOrStatus().indexOf('?');
    String path = query < 0 ? head.targetOrStatus() : head.targetOrStatus().substring(0, query);
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
    ScanRequest ask;
    try {
      ask = frontend.requestParser().parse(head, body.toByteArray());
    } catch (HttpException e) {
      // the framing holds, so that the connection can go on
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
    scanOpen = true;
    if (!frontend.accept(ask, requestStartedAt, this)) {
      frontend.counts().add("bad requests", 1);
      respond(400, "", new byte[0]);
    }
  }

  @Override
  public void answer(boolean whole, Map<Integer, byte[]> values) {
    ByteArrayOutputStream json = new ByteArrayOutputStream();
    json.writeBytes(("{\"whole\":" + whole + ",\"results\":[").getBytes(StandardCharsets.US_ASCII));
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
        json.writeBytes(String.format("\\u%04x", b).getBytes(StandardCharsets.US_ASCII));
      } else {
        json.write(b);
      }
    }
  }

  @Override
  public void reject(Duration comeBack) {
    respond(
        503,
        comeBack.isZero() ? "" : "Retry-After: " + comeBack.toMillis() / 1000.0 + "\r\n",
        new byte[0]);
  }

  @Override
  public void fail() {
    respond(500, "", new byte[0]);
  }

  private void respond(int status, String extra, byte[] json) {
    scanOpen = false;
    requestStartedAt = null;
    requestCompleted |= status == 200 || status == 503;
    idleSince = frontend.now();
    frontend.releaseBodyBytes(body.size());
    body = new ByteArrayOutputStream();
    closeAfterResponse |= frontend.closeAfterResponse();
    if (!write(HttpWriter.response(status, closeAfterResponse, extra, json))) {
      frontend.counts().add("answers too large", 1);
      closeAfterResponse = true;
      write(HttpWriter.response(500, true, "", new byte[0]));
    }
    if (closeAfterResponse) {
      finalResponseWritten = true;
      // to close on unread bytes, a next request say, would reset the answer away
      connection.closeGracefully();
    } else {
      frontend.runNextTurn(this::onReadable);
    }
  }

  private boolean write(byte[] bytes) {
    connection.requestFlush();
    return connection.isClosed() || connection.output.put(bytes);
  }

  /** Ends it, unless a request has just come. */
  boolean closeIfIdle() {
    return idle() && connection.closeIfUnread();
  }

  @Override
  public void onClosed() {
    frontend.clientClosed(this, evicted);
    frontend.releaseBodyBytes(body.size());
    body = new ByteArrayOutputStream();
    if (scanOpen) {
      scanOpen = false;
      frontend.clientDisconnected(this);
    }
  }
}
