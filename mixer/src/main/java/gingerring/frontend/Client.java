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
final class Client implements ConnectionHandler, Reply {
  private final Front front;
  private final Connection connection;
  private final HttpParser parser;
  private ByteArrayOutputStream body = new ByteArrayOutputStream();
  private final boolean crowded;
  private MessageHead head;
  private Duration since;
  private Duration idleSince;

  /** A scan of this client is in hand. */
  private boolean waiting;

  /** The answer to the request in hand is the last on this connection. */
  private boolean last;

  /** The last answer has been put: what still comes is dropped until the client has gone. */
  private boolean over;

  /** Is being ended for another. */
  private boolean gaveWay;

  /** Has had an answer to a whole request. */
  private boolean asked;

  Client(Front front, Connection connection, boolean crowded) {
    this.front = front;
    this.crowded = crowded;
    this.connection = connection;
    idleSince = front.now();
    parser =
        new HttpParser(
            true,
            Front.BODY_MOST,
            new HttpParser.Handler() {
              @Override
              public void onHead(MessageHead read) {
                head = read;
                if (read.hasToken("expect", "100-continue")) {
                  put(HttpWriter.CONTINUE);
                }
              }

              @Override
              public void onBody(byte[] bytes, int length) throws HttpException {
                front.holdBody(length);
                body.write(bytes, 0, length);
              }

              @Override
              public void onMessageEnd() throws HttpException {
                asked();
              }
            });
  }

  /** Between requests, with nothing read of the next. */
  boolean idle() {
    return !waiting
        && !over
        && !gaveWay
        && !parser.isMidMessage()
        && connection.input.size() == 0
        && connection.output.size() == 0;
  }

  /** A request has begun to come, and is not there after longer than whole ones take. */
  private boolean half() {
    return !waiting
        && !over
        && !gaveWay
        && since != null
        && parser.isMidMessage()
        && front.now().minus(since).compareTo(Front.SWEEP) > 0;
  }

  /**
   * Whether it may be ended where room is wanted: idle, its last answer gone, or with half a
   * request come.
   */
  boolean spare() {
    return over ? connection.isFlushed() && !gaveWay : idle() || half();
  }

  /** Those that are spare, in the order in which they are ended. */
  static final Comparator<Client> SPARE_FIRST =
      Comparator.<Client, Boolean>comparing(client -> !client.over)
          .thenComparing(Client::half)
          .thenComparing(client -> client.asked)
          .thenComparing(client -> client.since != null ? client.since : client.idleSince);

  /** Ends it for another, unless a request has just come; half a request is refused first. */
  boolean giveWay() {
    if (half()) {
      front.counts().add("half requests shed", 1);
      last = true;
      nack(Duration.ZERO);
      gaveWay = true;
      return true;
    }
    if (over) {
      front.counts().add("ends cut short", 1);
      connection.close();
      gaveWay = true;
      return true;
    }
    if (leave()) {
      gaveWay = true;
      front.counts().add("idle connections shed", 1);
      return true;
    }
    return false;
  }

  /** Called now and then: ends what takes too long. */
  void sweep() {
    Duration idle = front.now().minus(idleSince);
    if (waiting || over) {
      return;
    }
    if (connection.output.size() > 0) {
      if (idle.compareTo(Front.LEAVING) > 0) {
        connection.close();
      }
    } else if (since != null && front.now().minus(since).compareTo(Front.COMING) > 0) {
      refuse(408);
    } else if (since == null && idle.compareTo(asked ? Front.IDLE : Front.COMING) > 0) {
      leave();
    }
  }

  @Override
  public void onReadable() {
    try {
      // the next request waits until the last answer has left: a slow reader holds up no one but
      // itself
      while (!waiting && !over && connection.output.size() == 0 && connection.input.size() > 0) {
        if (since == null) {
          since = connection.inputArrivedAt();
        }
        parser.parse(connection.input);
      }
    } catch (HttpException e) {
      refuse(e.status);
    }
    if (waiting && connection.isInputFull()) {
      // much came behind the request in hand: unread, it would hide that the client goes. Where the
      // next
      // request begins is lost by it, so that the answer will be the last
      front.counts().add("clients that sent too much", 1);
      last = true;
      connection.discardInput();
    }
    if (over) {
      connection.input.clear();
    }
    connection.resumeReading();
  }

  /** Nothing that follows can be told from what was wrong: an error, and the end. */
  private void refuse(int status) {
    front.counts().add("bad requests", 1);
    last = true;
    respond(status, "", new byte[0]);
  }

  /**
   * The process ends now: nothing more is read, and whatever has come of a request is refused,
   * which promises that nothing was sent on.
   */
  void endNow() {
    if (waiting || over || leave()) {
      return;
    }
    last = true;
    // an answer is on its way, and the client sends no request before it has it
    if (connection.output.size() > 0) {
      over = true;
      connection.closeGracefully();
    } else {
      nack(Duration.ZERO);
    }
  }

  @Override
  public void onFlushed() {
    onReadable();
  }

  private void asked() throws HttpException {
    last = head.hasToken("connection", "close") || head.versionOrReason().equals("HTTP/1.0");
    if (head.versionOrReason().equals("HTTP/1.1") && head.header("host") == null) {
      throw new HttpException(400, "no Host");
    }
    int query = head.targetOrStatus().indexOf('?');
    String path = query < 0 ? head.targetOrStatus() : head.targetOrStatus().substring(0, query);
    switch (path) {
      case "/ready" ->
          respond(
              !head.methodOrVersion().equals("GET") ? 405 : front.ready() ? 200 : 503,
              "",
              new byte[0]);
      case "/api" -> {
        if (!head.methodOrVersion().equals("POST")) {
          respond(405, "", new byte[0]);
        } else {
          scan();
        }
      }
      default -> respond(404, "", new byte[0]);
    }
  }

  private void scan() throws HttpException {
    Ask ask;
    try {
      ask = front.asks().read(head, body.toByteArray());
    } catch (HttpException e) {
      // the framing holds, so that the connection can go on
      front.counts().add("bad requests", 1);
      respond(e.status, "", new byte[0]);
      return;
    }
    if (crowded) {
      front.counts().add("nacks for want of connections", 1);
      last = true;
      nack(Duration.ZERO);
      return;
    }
    waiting = true;
    if (!front.take(ask, since, this)) {
      front.counts().add("bad requests", 1);
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
      escape(value.getValue(), json);
      json.writeBytes("\"}".getBytes(StandardCharsets.US_ASCII));
      first = false;
    }
    json.writeBytes("]}".getBytes(StandardCharsets.US_ASCII));
    respond(200, "", json.toByteArray());
  }

  private static void escape(byte[] value, ByteArrayOutputStream json) {
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
  public void nack(Duration comeBack) {
    respond(
        503,
        comeBack.isZero() ? "" : "Retry-After: " + comeBack.toMillis() / 1000.0 + "\r\n",
        new byte[0]);
  }

  @Override
  public void scrap() {
    respond(500, "", new byte[0]);
  }

  private void respond(int status, String extra, byte[] json) {
    waiting = false;
    since = null;
    asked |= status == 200 || status == 503;
    idleSince = front.now();
    front.dropBody(body.size());
    body = new ByteArrayOutputStream();
    last |= front.ending();
    if (!put(HttpWriter.response(status, last, extra, json))) {
      front.counts().add("answers too large", 1);
      last = true;
      put(HttpWriter.response(500, true, "", new byte[0]));
    }
    if (last) {
      over = true;
      // to close on unread bytes, a next request say, would reset the answer away
      connection.closeGracefully();
    } else {
      front.again(this::onReadable);
    }
  }

  private boolean put(byte[] bytes) {
    connection.requestFlush();
    return connection.isClosed() || connection.output.put(bytes);
  }

  /** Ends it, unless a request has just come. */
  boolean leave() {
    return idle() && connection.closeIfUnread();
  }

  @Override
  public void onClosed() {
    front.gone(this, gaveWay);
    front.dropBody(body.size());
    body = new ByteArrayOutputStream();
    if (waiting) {
      waiting = false;
      front.left(this);
    }
  }
}
