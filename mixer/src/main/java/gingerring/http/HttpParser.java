package gingerring.http;

import gingerring.net.ByteRing;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Reads HTTP/1.1 messages (RFC 9112) from a ring, in whatever pieces they come, and stops after
 * each so that the next stays in the ring. One direction a parser: requests, or answers to a GET.
 */
public final class HttpParser {
  /** What is read is told here as it comes. */
  public interface Handler {
    void onHead(MessageHead head) throws HttpException;

    void onBody(byte[] bytes, int length) throws HttpException;

    void onMessageEnd() throws HttpException;
  }

  private static final int HEAD_MOST = 8192;
  private static final int SIZE_LINE_MOST = 256;
  private static final int PIECE = 4096;
  private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[01]");
  private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");
  private static final Pattern CHUNK_SIZE = Pattern.compile("[0-9a-fA-F]{1,8}");

  private enum At {
    FIRST_LINE,
    HEADERS,
    BODY,
    CHUNK_SIZE,
    CHUNK,
    CHUNK_END,
    TRAILERS,
    TO_END
  }

  private final boolean requests;
  private final long bodyMost;
  private final Handler sink;
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private final byte[] piece = new byte[PIECE];
  private At at = At.FIRST_LINE;
  private String[] words;
  private Map<String, String> headers;
  private int headLength;
  private long bodyLength;
  private long left;

  public HttpParser(boolean requests, long bodyMost, Handler sink) {
    this.requests = requests;
    this.bodyMost = bodyMost;
    this.sink = sink;
  }

  /** Whether part of a message has been read and the rest has not. */
  public boolean isMidMessage() {
    return at != At.FIRST_LINE || line.size() > 0;
  }

  /** Reads on to the end of a message, or of the bytes there are; true once a message has ended. */
  public boolean parse(ByteRing in) throws HttpException {
    while (in.size() > 0) {
      boolean ended =
          switch (at) {
            case FIRST_LINE, HEADERS, CHUNK_SIZE, TRAILERS, CHUNK_END ->
                lineRead(in) && lineEnded();
            case BODY, CHUNK -> piece(in);
            case TO_END -> rest(in);
          };
      if (ended) {
        at = At.FIRST_LINE;
        headLength = 0;
        sink.onMessageEnd();
        return true;
      }
    }
    return false;
  }

  private boolean lineRead(ByteRing in) throws HttpException {
    int next;
    while ((next = in.take()) >= 0) {
      if (next == '\n') {
        byte[] bytes = line.toByteArray();
        if (bytes.length == 0 || bytes[bytes.length - 1] != '\r') {
          throw new HttpException(400, "a line ends without CR");
        }
        return true;
      }
      line.write(next);
      boolean head = at != At.CHUNK_SIZE && at != At.CHUNK_END;
      if (head && ++headLength > HEAD_MOST) {
        throw new HttpException(431, "headers too large");
      }
      if (!head && line.size() > SIZE_LINE_MOST) {
        throw new HttpException(400, "a chunk's line is too long");
      }
    }
    return false;
  }

  private boolean lineEnded() throws HttpException {
    String text = line.toString(StandardCharsets.ISO_8859_1);
    line.reset();
    text = text.substring(0, text.length() - 1);
    for (int i = 0; i < text.length(); i++) {
      if (text.charAt(i) < ' ' && text.charAt(i) != '\t' || text.charAt(i) == 127) {
        throw new HttpException(400, "a control character in a line");
      }
    }
    return switch (at) {
      case FIRST_LINE -> firstLine(text);
      case HEADERS -> text.isEmpty() ? headEnded() : header(text);
      case CHUNK_SIZE -> chunkSize(text);
      case CHUNK_END -> chunkEnded(text);
      default -> text.isEmpty();
    };
  }

  private boolean firstLine(String text) throws HttpException {
    if (text.isEmpty() && requests) {
      return false; // an empty line before a request is left out, as RFC 9112 2.2 asks
    }
    words = text.split(" ", requests ? -1 : 3);
    String version = words.length < 2 ? "" : words[requests ? words.length - 1 : 0];
    if (words.length < 2
        || requests && words.length != 3
        || !VERSION.matcher(version).matches()
        || words[0].isEmpty()
        || words[1].isEmpty()) {
      throw new HttpException(400, "no first line of HTTP/1");
    }
    headers = new LinkedHashMap<>();
    at = At.HEADERS;
    return false;
  }

  private boolean header(String text) throws HttpException {
    int colon = text.indexOf(':');
    if (colon < 1 || !token(text, colon)) {
      throw new HttpException(400, "no header line");
    }
    headers.merge(
        text.substring(0, colon).toLowerCase(Locale.ROOT),
        text.substring(colon + 1).strip(),
        (one, other) -> one + ", " + other);
    return false;
  }

  private static boolean token(String text, int length) {
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

  private boolean headEnded() throws HttpException {
    MessageHead head =
        new MessageHead(words[0], words[1], words.length > 2 ? words[2] : "", headers);
    String length = head.header("content-length");
    String coding = head.header("transfer-encoding");
    bodyLength = 0;
    if (coding != null && (length != null || !coding.equalsIgnoreCase("chunked"))) {
      throw new HttpException(400, "a body framed in two ways, or in one that is not known");
    }
    if (coding != null) {
      at = At.CHUNK_SIZE;
    } else if (length != null) {
      if (!LENGTH.matcher(length).matches()) {
        throw new HttpException(400, "no content length");
      }
      left = Long.parseLong(length);
      grow(left);
      at = At.BODY;
    } else {
      left = 0;
      // 1xx, 204 and 304 have no body (RFC 9112 6.3)
      boolean bare =
          requests || words[1].startsWith("1") || words[1].equals("204") || words[1].equals("304");
      at = bare ? At.BODY : At.TO_END;
    }
    sink.onHead(head);
    return at == At.BODY && left == 0;
  }

  private void grow(long length) throws HttpException {
    bodyLength += length;
    if (bodyLength > bodyMost) {
      throw new HttpException(413, "body too large");
    }
  }

  private boolean chunkSize(String text) throws HttpException {
    int end = text.indexOf(';');
    String size = (end < 0 ? text : text.substring(0, end)).strip();
    if (!CHUNK_SIZE.matcher(size).matches()) {
      throw new HttpException(400, "no chunk size");
    }
    left = Long.parseLong(size, 16);
    grow(left);
    at = left == 0 ? At.TRAILERS : At.CHUNK;
    return false;
  }

  private boolean chunkEnded(String text) throws HttpException {
    if (!text.isEmpty()) {
      throw new HttpException(400, "a chunk is longer than its size");
    }
    at = At.CHUNK_SIZE;
    return false;
  }

  private boolean piece(ByteRing in) throws HttpException {
    int count = in.take(piece, 0, (int) Math.min(left, piece.length));
    left -= count;
    sink.onBody(piece, count);
    if (left == 0 && at == At.CHUNK) {
      at = At.CHUNK_END;
    }
    return left == 0 && at == At.BODY;
  }

  private boolean rest(ByteRing in) throws HttpException {
    int count = in.take(piece, 0, piece.length);
    grow(count);
    sink.onBody(piece, count);
    return false;
  }
}
