package gingerring.traffic.scan;

import gingerring.http.MessageHead;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * An HTTP/1.1 message that came whole, as its bytes; taken apart when it is asked for. {@link
 * #parseFast} tells plain messages from a buffer without making anything, and leaves all others to
 * the parser.
 */
final class HttpMessage {
  /** What {@link #parseFast} found. */
  enum FastParseResult {
    COMPLETE,
    NEEDS_MORE,
    UNSUPPORTED
  }

  private static final int MAX_HEAD_BYTES = 8192;
  private static final byte[] CONTENT_LENGTH =
      "content-length:".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] TRANSFER_ENCODING =
      "transfer-encoding:".getBytes(StandardCharsets.US_ASCII);
  private static final boolean[] IS_TOKEN_CHARACTER = new boolean[128];
  private static final boolean[] IS_FIELD_CHARACTER = new boolean[256];
  private static final byte[] WHOLE_KEY = "{\"whole\":".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] WHOLE_RESULTS =
      "true,\"results\":[".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] PARTIAL_RESULTS =
      "false,\"results\":[".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] PARTITION_KEY = "{\"partition\":".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] VALUE_KEY = ",\"value\":\"".getBytes(StandardCharsets.US_ASCII);

  static {
    for (char c = '!'; c < 127; c++) {
      IS_TOKEN_CHARACTER[c] =
          c >= 'a' && c <= 'z'
              || c >= 'A' && c <= 'Z'
              || c >= '0' && c <= '9'
              || "!#$%&'*+-.^_`|~".indexOf(c) >= 0;
    }
    Arrays.fill(IS_FIELD_CHARACTER, ' ', 127, true);
    IS_FIELD_CHARACTER['\t'] = true;
  }

  final byte[] bytes;
  final int bodyOffset;

  HttpMessage(byte[] bytes, int bodyAt) {
    this.bytes = bytes;
    this.bodyOffset = bodyAt;
  }

  /** One that the parser read. */
  static HttpMessage fromParsed(MessageHead head, byte[] body) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    StringBuilder text =
        new StringBuilder(head.methodOrVersion()).append(' ').append(head.targetOrStatus());
    text.append(head.versionOrReason().isEmpty() ? "" : " " + head.versionOrReason())
        .append("\r\n");
    head.headers()
        .forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
    out.writeBytes(text.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
    int bodyAt = out.size();
    out.writeBytes(body);
    return new HttpMessage(out.toByteArray(), bodyAt);
  }

  /** Where a skimmed message ends, and where its body begins. */
  static final class MessageExtent {
    int bodyOffset;
    int endOffset;
  }

  /**
   * Looks whether a message that is framed by a content length, or has no body, stands whole from
   * {@code at} on. What it takes the parser takes too, with the same ends; whatever it does not
   * know is unusual.
   */
  static FastParseResult parseFast(
      byte[] b, int at, int end, boolean request, int bodyMost, MessageExtent found) {
    found.endOffset = at; // not known
    int line = at;
    long length = -1;
    boolean first = true;
    for (int i = at; i < end; i++) {
      int c = b[i];
      if (IS_FIELD_CHARACTER[c & 0xFF]) {
        continue;
      }
      if (c == '\r') {
        if (i + 1 < end && b[i + 1] != '\n') {
          return FastParseResult.UNSUPPORTED;
        }
        continue;
      }
      // other control characters, and all beyond ASCII
      if (c != '\n' || i == line || b[i - 1] != '\r' || i - at > MAX_HEAD_BYTES) {
        return FastParseResult.UNSUPPORTED;
      }
      int stop = i - 1;
      if (stop == line) {
        if (first) {
          return FastParseResult.UNSUPPORTED;
        }
        if (length > bodyMost || length < 0 && !request) {
          return FastParseResult
              .UNSUPPORTED; // to the end of the connection, or none: the parser knows
        }
        found.bodyOffset = i + 1;
        found.endOffset = (int) (i + 1 + Math.max(0, length));
        return found.endOffset <= end ? FastParseResult.COMPLETE : FastParseResult.NEEDS_MORE;
      }
      if (first) {
        if (!isSupportedStartLine(b, line, stop, request)) {
          return FastParseResult.UNSUPPORTED;
        }
        first = false;
      } else {
        int colon = line;
        while (colon < stop && b[colon] > 0 && IS_TOKEN_CHARACTER[b[colon]]) {
          colon++;
        }
        if (colon == line
            || colon == stop
            || b[colon] != ':'
            || colon - line == TRANSFER_ENCODING.length - 1
                && startsWithIgnoringCase(b, line, stop, TRANSFER_ENCODING)) {
          return FastParseResult.UNSUPPORTED;
        }
        if (colon - line == CONTENT_LENGTH.length - 1
            && startsWithIgnoringCase(b, line, stop, CONTENT_LENGTH)) {
          long told = parseContentLength(b, line + CONTENT_LENGTH.length, stop);
          if (told < 0 || length >= 0) {
            return FastParseResult.UNSUPPORTED;
          }
          length = told;
        }
      }
      line = i + 1;
    }
    return end - at > MAX_HEAD_BYTES ? FastParseResult.UNSUPPORTED : FastParseResult.NEEDS_MORE;
  }

  private static boolean isSupportedStartLine(byte[] b, int line, int stop, boolean request) {
    int version = request ? stop - 8 : line;
    if (version < line
        || stop - version < 8
        || b[version] != 'H'
        || b[version + 1] != 'T'
        || b[version + 2] != 'T'
        || b[version + 3] != 'P'
        || b[version + 4] != '/'
        || b[version + 5] != '1'
        || b[version + 6] != '.'
        || b[version + 7] != '0' && b[version + 7] != '1') {
      return false;
    }
    if (!request) {
      return stop - line >= 12
          && b[line + 8] == ' '
          && isDigit(b[line + 9])
          && isDigit(b[line + 10])
          && isDigit(b[line + 11])
          && (stop - line == 12 || b[line + 12] == ' ')
          && b[line + 9] != '1'
          && !(b[line + 9] == '2' && b[line + 10] == '0' && b[line + 11] == '4')
          && !(b[line + 9] == '3' && b[line + 10] == '0' && b[line + 11] == '4');
    }
    int spaces = 0;
    for (int i = line; i < stop; i++) {
      spaces += b[i] == ' ' ? 1 : 0;
    }
    return spaces == 2 && b[line] != ' ' && b[version - 1] == ' ' && b[version - 2] != ' ';
  }

  private static boolean isDigit(byte b) {
    return b >= '0' && b <= '9';
  }

  private static boolean startsWithIgnoringCase(byte[] b, int line, int stop, byte[] name) {
    if (stop - line < name.length) {
      return false;
    }
    for (int i = 0; i < name.length; i++) {
      int c = b[line + i];
      if ((c >= 'A' && c <= 'Z' ? c + 32 : c) != name[i]) {
        return false;
      }
    }
    return true;
  }

  private static long parseContentLength(byte[] b, int at, int stop) {
    while (at < stop && (b[at] == ' ' || b[at] == '\t')) {
      at++;
    }
    while (stop > at && (b[stop - 1] == ' ' || b[stop - 1] == '\t')) {
      stop--;
    }
    if (at == stop || stop - at > 9) {
      return -1;
    }
    long value = 0;
    for (; at < stop; at++) {
      if (!isDigit(b[at])) {
        return -1;
      }
      value = 10 * value + b[at] - '0';
    }
    return value;
  }

  /** The status of an answer. */
  int status() {
    return bytes.length >= 12 && isDigit(bytes[9]) && isDigit(bytes[10]) && isDigit(bytes[11])
        ? (bytes[9] - '0') * 100 + (bytes[10] - '0') * 10 + bytes[11] - '0'
        : 0;
  }

  /** Whether this is a request for a scan. */
  boolean isScanRequest() {
    byte[] start = {'P', 'O', 'S', 'T', ' ', '/', 'a', 'p', 'i'};
    return bytes.length > start.length
        && Arrays.equals(bytes, 0, start.length, start, 0, start.length)
        && (bytes[start.length] == ' ' || bytes[start.length] == '?');
  }

  byte[] body() {
    return Arrays.copyOfRange(bytes, bodyOffset, bytes.length);
  }

  MessageHead head() {
    String[] lines =
        new String(bytes, 0, Math.max(0, bodyOffset - 4), StandardCharsets.ISO_8859_1)
            .split("\r\n");
    String[] words = lines[0].split(" ", 3);
    Map<String, String> headers = new LinkedHashMap<>();
    for (int i = 1; i < lines.length; i++) {
      int colon = lines[i].indexOf(':');
      headers.merge(
          lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
          lines[i].substring(colon + 1).strip(),
          (one, other) -> one + ", " + other);
    }
    return new MessageHead(words[0], words[1], words.length > 2 ? words[2] : "", headers);
  }

  /**
   * Whether the body is an answer in the form in which the mixer writes it: 1 where it is marked
   * whole, 0 where not, -1 where the form is another and has to be read.
   */
  int parseWholeFlag() {
    int at = endOfMatch(bodyOffset, WHOLE_KEY);
    int whole =
        endOfMatch(at, WHOLE_RESULTS) >= 0 ? 1 : endOfMatch(at, PARTIAL_RESULTS) >= 0 ? 0 : -1;
    if (at < 0 || whole < 0) {
      return -1;
    }
    at = endOfMatch(at, whole == 1 ? WHOLE_RESULTS : PARTIAL_RESULTS);
    for (boolean first = true; at >= 0 && at < bytes.length && bytes[at] != ']'; first = false) {
      if (!first && bytes[at++] != ',') {
        return -1;
      }
      int digits = endOfMatch(at, PARTITION_KEY);
      for (at = digits; at >= 0 && at < bytes.length && isDigit(bytes[at]); ) {
        at++;
      }
      if (at <= digits || at - digits > 9 || bytes[digits] == '0' && at - digits > 1) {
        return -1;
      }
      at = endOfMatch(at, VALUE_KEY);
      while (at >= 0
          && at < bytes.length
          && bytes[at] >= ' '
          && bytes[at] != '"'
          && bytes[at] != '\\') {
        at++;
      }
      if (at < 0 || at + 1 >= bytes.length || bytes[at] != '"' || bytes[at + 1] != '}') {
        return -1;
      }
      at += 2;
    }
    return at >= 0 && at + 2 == bytes.length && bytes[at] == ']' && bytes[at + 1] == '}'
        ? whole
        : -1;
  }

  /** Where what follows this text begins, or -1 where it does not stand here. */
  private int endOfMatch(int at, byte[] text) {
    if (at < 0 || at + text.length > bytes.length) {
      return -1;
    }
    for (int i = 0; i < text.length; i++) {
      if (bytes[at + i] != text[i]) {
        return -1;
      }
    }
    return at + text.length;
  }
}
