package gingerring.http;

import gingerring.net.ByteRing;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Predicate;
import java.util.regex.Pattern;

/**
 * Incremental parser of HTTP/1.1 messages (RFC 9112). Reads from a ring buffer, in pieces of any
 * size, and stops after each message so that the next stays in the buffer. One parser handles one
 * direction of a connection: requests, or responses to GET.
 */
public final class HttpParser {
  /** Receives the parts of a message as they are parsed. */
  public interface Handler {
    /** The start line and all headers were parsed. */
    void onHead(MessageHead head) throws HttpException;

    /** The first {@code length} bytes of {@code bytes} are the next part of the body. */
    void onBody(byte[] bytes, int length) throws HttpException;

    /** The message is complete. */
    void onMessageEnd() throws HttpException;
  }

  private static final int MAX_HEAD_BYTES = 8192;

  /** Most header fields of a message, retained or not. */
  static final int MAX_HEADER_FIELDS = 128;

  private static final int MAX_CHUNK_LINE_BYTES = 256;

  /** What a retained header takes besides its characters: two strings and a map entry. */
  private static final int HEADER_OVERHEAD_BYTES = 160;

  private static final int BODY_BUFFER_BYTES = 4096;
  private static final int MAX_LENGTH_DIGITS = 18;
  private static final int MAX_CHUNK_SIZE_DIGITS = 8;
  private static final String CONTENT_LENGTH = "content-length";
  private static final String TRANSFER_ENCODING = "transfer-encoding";
  private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[01]");

  private enum State {
    START_LINE,
    HEADERS,
    BODY,
    CHUNK_SIZE,
    CHUNK,
    CHUNK_END,
    TRAILERS,
    UNTIL_CLOSE
  }

  private final boolean parsesRequests;
  private final long maxBodyBytes;
  private final Predicate<String> retainsHeader;
  private final Handler handler;

  /** The line that is being read. */
  private ByteArrayOutputStream line = new ByteArrayOutputStream();

  /** The newest byte of {@link #line}, if it has any. */
  private int lastLineByte;

  private State state = State.START_LINE;
  private String[] startLine;

  /** The headers retained so far; null while no head is being read. */
  private Map<String, String> headers;

  private int headerFields;
  private int retainedHeadBytes;
  private int headLength;
  private long bodyLength;
  private long bytesLeft;

  /** Creates a parser that retains all headers; {@code parsesRequests}: not responses. */
  public HttpParser(boolean parsesRequests, long maxBodyBytes, Handler handler) {
    this(parsesRequests, maxBodyBytes, name -> true, handler);
  }

  /**
   * Creates a parser that retains only some headers and those that describe the body. {@code
   * retainsHeader} gets names in lower case. Guards against senders of many short headers, each of
   * which would take many times its size in memory.
   */
  public HttpParser(
      boolean parsesRequests, long maxBodyBytes, Predicate<String> retainsHeader, Handler handler) {
    this.parsesRequests = parsesRequests;
    this.maxBodyBytes = maxBodyBytes;
    this.retainsHeader =
        retainsHeader.or(name -> name.equals(CONTENT_LENGTH) || name.equals(TRANSFER_ENCODING));
    this.handler = handler;
  }

  /** Whether a message has been parsed in part. */
  public boolean isMidMessage() {
    return state != State.START_LINE || line.size() > 0;
  }

  /**
   * Returns the memory that the head of the current message takes, in bytes; what has been passed
   * to the handler is included until the message ends.
   */
  public int heldBytes() {
    return line.size() + retainedHeadBytes;
  }

  /** Parses until a message ends or the buffer is empty; returns whether a message has ended. */
  public boolean parse(ByteRing input) throws HttpException {
    while (input.size() > 0) {
      boolean ended =
          switch (state) {
            case START_LINE, HEADERS, CHUNK_SIZE, TRAILERS, CHUNK_END ->
                readLine(input) && processLine();
            case BODY, CHUNK -> readBody(input);
            case UNTIL_CLOSE -> readUntilClose(input);
          };
      if (ended) {
        startNextMessage();
        handler.onMessageEnd();
        return true;
      }
    }
    return false;
  }

  /** Releases all that was kept of the message that has ended. */
  private void startNextMessage() {
    state = State.START_LINE;
    line = new ByteArrayOutputStream();
    startLine = null;
    headers = null;
    headerFields = 0;
    retainedHeadBytes = 0;
    headLength = 0;
  }

  private boolean readLine(ByteRing input) throws HttpException {
    int next;
    while ((next = input.take()) >= 0) {
      if (next == '\n') {
        if (line.size() == 0 || lastLineByte != '\r') {
          throw new HttpException(400, "line does not end with CRLF");
        }
        return true;
      }
      line.write(next);
      lastLineByte = next;
      boolean inHead = state != State.CHUNK_SIZE && state != State.CHUNK_END;
      if (inHead && ++headLength > MAX_HEAD_BYTES) {
        throw new HttpException(
            431, "start line and headers are larger than " + MAX_HEAD_BYTES + " bytes");
      }
      if (!inHead && line.size() > MAX_CHUNK_LINE_BYTES) {
        throw new HttpException(
            400, "line of the chunk framing is longer than " + MAX_CHUNK_LINE_BYTES + " bytes");
      }
    }
    return false;
  }

  private boolean processLine() throws HttpException {
    String text = line.toString(StandardCharsets.ISO_8859_1);
    line = new ByteArrayOutputStream(); // a reset would keep the capacity of the longest line
    text = text.substring(0, text.length() - 1);
    for (int i = 0; i < text.length(); i++) {
      if (text.charAt(i) < ' ' && text.charAt(i) != '\t' || text.charAt(i) == 127) {
        throw new HttpException(400, "control character in a line");
      }
    }
    return switch (state) {
      case START_LINE -> processStartLine(text);
      case HEADERS -> text.isEmpty() ? finishHead() : processHeader(text);
      case CHUNK_SIZE -> processChunkSize(text);
      case CHUNK_END -> processChunkEnd(text);
      default -> text.isEmpty();
    };
  }

  private boolean processStartLine(String text) throws HttpException {
    if (text.isEmpty() && parsesRequests) {
      return false; // RFC 9112 section 2.2: ignore an empty line before a request
    }
    startLine = text.split(" ", parsesRequests ? -1 : 3);
    String version =
        startLine.length < 2 ? "" : startLine[parsesRequests ? startLine.length - 1 : 0];
    if (startLine.length < 2
        || parsesRequests && startLine.length != 3
        || !VERSION.matcher(version).matches()
        || startLine[0].isEmpty()
        || startLine[1].isEmpty()) {
      throw new HttpException(400, "invalid HTTP/1 start line");
    }
    headers = new LinkedHashMap<>();
    retainedHeadBytes = text.length();
    state = State.HEADERS;
    return false;
  }

  private boolean processHeader(String text) throws HttpException {
    int colon = text.indexOf(':');
    if (colon < 1 || !isToken(text, colon)) {
      throw new HttpException(400, "invalid header line");
    }
    if (++headerFields > MAX_HEADER_FIELDS) {
      throw new HttpException(431, "more than " + MAX_HEADER_FIELDS + " header fields");
    }
    String name = text.substring(0, colon).toLowerCase(Locale.ROOT);
    if (retainsHeader.test(name)) {
      headers.merge(
          name, text.substring(colon + 1).strip(), (first, second) -> first + ", " + second);
      retainedHeadBytes += HEADER_OVERHEAD_BYTES + text.length();
    }
    return false;
  }

  private static boolean isToken(String text, int length) {
    for (int i = 0; i < length; i++) {
      char c = text.charAt(i);
      if (!(c >= 'a' && c <= 'z'
          || c >= 'A' && c <= 'Z'
          || c >= '0' && c <= '9'
          || "!#$%&'*+-.^_`|~".indexOf(c) >= 0)) {
        return false;
      }
    }
    return true;
  }

  private boolean finishHead() throws HttpException {
    MessageHead head =
        new MessageHead(
            startLine[0], startLine[1], startLine.length > 2 ? startLine[2] : "", headers);
    String contentLength = head.header(CONTENT_LENGTH);
    String transferEncoding = head.header(TRANSFER_ENCODING);
    bodyLength = 0;
    if (transferEncoding != null
        && (contentLength != null
            || !transferEncoding.equalsIgnoreCase("chunked")
            || parsesRequests && startLine[2].equals("HTTP/1.0"))) {
      throw new HttpException(400, "conflicting or unsupported body framing");
    }
    if (transferEncoding != null) {
      state = State.CHUNK_SIZE;
    } else if (contentLength != null) {
      if (!isNumber(contentLength, 10, MAX_LENGTH_DIGITS)) {
        throw new HttpException(400, "invalid Content-Length");
      }
      bytesLeft = Long.parseLong(contentLength);
      addBodyLength(bytesLeft);
      state = State.BODY;
    } else {
      bytesLeft = 0;
      // 1xx, 204 and 304 have no body (RFC 9112 section 6.3)
      boolean hasNoBody =
          parsesRequests
              || startLine[1].startsWith("1")
              || startLine[1].equals("204")
              || startLine[1].equals("304");
      state = hasNoBody ? State.BODY : State.UNTIL_CLOSE;
    }
    handler.onHead(head);
    return state == State.BODY && bytesLeft == 0;
  }

  /** Returns whether a text has nothing but ASCII digits, at least one and not too many. */
  private static boolean isNumber(String text, int radix, int maxDigits) {
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      if (c > 127 || Character.digit(c, radix) < 0) {
        return false;
      }
    }
    return !text.isEmpty() && text.length() <= maxDigits;
  }

  private void addBodyLength(long length) throws HttpException {
    bodyLength += length;
    if (bodyLength > maxBodyBytes) {
      throw new HttpException(413, "body exceeds the size limit");
    }
  }

  private boolean processChunkSize(String text) throws HttpException {
    int sizeEnd = text.indexOf(';');
    String size = (sizeEnd < 0 ? text : text.substring(0, sizeEnd)).strip();
    if (!isNumber(size, 16, MAX_CHUNK_SIZE_DIGITS)) {
      throw new HttpException(400, "invalid chunk size");
    }
    bytesLeft = Long.parseLong(size, 16);
    addBodyLength(bytesLeft);
    state = bytesLeft == 0 ? State.TRAILERS : State.CHUNK;
    return false;
  }

  private boolean processChunkEnd(String text) throws HttpException {
    if (!text.isEmpty()) {
      throw new HttpException(400, "chunk data is longer than the chunk size");
    }
    state = State.CHUNK_SIZE;
    return false;
  }

  private boolean readBody(ByteRing input) throws HttpException {
    int available = Math.min(input.size(), BODY_BUFFER_BYTES);
    byte[] bodyBuffer = new byte[(int) Math.min(bytesLeft, available)];
    int count = input.take(bodyBuffer, 0, bodyBuffer.length);
    bytesLeft -= count;
    handler.onBody(bodyBuffer, count);
    if (bytesLeft == 0 && state == State.CHUNK) {
      state = State.CHUNK_END;
    }
    return bytesLeft == 0 && state == State.BODY;
  }

  private boolean readUntilClose(ByteRing input) throws HttpException {
    byte[] bodyBuffer = new byte[Math.min(input.size(), BODY_BUFFER_BYTES)];
    int count = input.take(bodyBuffer, 0, bodyBuffer.length);
    addBodyLength(count);
    handler.onBody(bodyBuffer, count);
    return false;
  }
}
