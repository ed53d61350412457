package gingerring.traffic.scan;

import gingerring.http.MessageHead;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * The bytes of a complete HTTP/1.1 message, parsed on demand. {@link #parseFast} recognises common
 * messages in a buffer without allocating and leaves all others to the full parser.
 */
final class HttpMessage {
  /** Result of {@link #parseFast}. */
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

  HttpMessage(byte[] bytes, int bodyOffset) {
    this.bytes = bytes;
    this.bodyOffset = bodyOffset;
  }

  /** A message read by the full parser. */
  static HttpMessage fromParsed(MessageHead head, byte[] body) {
    ByteArrayOutputStream message = new ByteArrayOutputStream();
    StringBuilder text =
        new StringBuilder(head.methodOrVersion()).append(' ').append(head.targetOrStatus());
    text.append(head.versionOrReason().isEmpty() ? "" : " " + head.versionOrReason())
        .append("\r\n");
    head.headers()
        .forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
    message.writeBytes(text.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
    int bodyOffset = message.size();
    message.writeBytes(body);
    return new HttpMessage(message.toByteArray(), bodyOffset);
  }

  /** Where a message found by the fast parser ends, and where its body begins. */
  static final class MessageExtent {
    int bodyOffset;
    int endOffset;
  }

  /**
   * Whether a complete message, framed by a content length or without a body, begins at {@code
   * start}. The full parser accepts every message accepted here, with the same end; any construct
   * not handled here is reported as unsupported.
   */
  static FastParseResult parseFast(
      byte[] buffer, int start, int end, boolean request, int maxBodyBytes, MessageExtent extent) {
    extent.endOffset = start; // unknown so far
    int lineStart = start;
    long contentLength = -1;
    boolean isStartLine = true;
    for (int i = start; i < end; i++) {
      int c = buffer[i];
      if (IS_FIELD_CHARACTER[c & 0xFF]) {
        continue;
      }
      if (c == '\r') {
        if (i + 1 < end && buffer[i + 1] != '\n') {
          return FastParseResult.UNSUPPORTED;
        }
        continue;
      }
      // other control characters, and all non-ASCII bytes
      if (c != '\n' || i == lineStart || buffer[i - 1] != '\r' || i - start > MAX_HEAD_BYTES) {
        return FastParseResult.UNSUPPORTED;
      }
      int lineEnd = i - 1;
      if (lineEnd == lineStart) {
        if (isStartLine) {
          return FastParseResult.UNSUPPORTED;
        }
        if (contentLength > maxBodyBytes || contentLength < 0 && !request) {
          // the body may end with the connection, or be absent: left to the full parser
          return FastParseResult.UNSUPPORTED;
        }
        extent.bodyOffset = i + 1;
        extent.endOffset = (int) (i + 1 + Math.max(0, contentLength));
        return extent.endOffset <= end ? FastParseResult.COMPLETE : FastParseResult.NEEDS_MORE;
      }
      if (isStartLine) {
        if (!isSupportedStartLine(buffer, lineStart, lineEnd, request)) {
          return FastParseResult.UNSUPPORTED;
        }
        isStartLine = false;
      } else {
        int colon = lineStart;
        while (colon < lineEnd && buffer[colon] > 0 && IS_TOKEN_CHARACTER[buffer[colon]]) {
          colon++;
        }
        if (colon == lineStart
            || colon == lineEnd
            || buffer[colon] != ':'
            || colon - lineStart == TRANSFER_ENCODING.length - 1
                && startsWithIgnoringCase(buffer, lineStart, lineEnd, TRANSFER_ENCODING)) {
          return FastParseResult.UNSUPPORTED;
        }
        if (colon - lineStart == CONTENT_LENGTH.length - 1
            && startsWithIgnoringCase(buffer, lineStart, lineEnd, CONTENT_LENGTH)) {
          long declaredLength =
              parseContentLength(buffer, lineStart + CONTENT_LENGTH.length, lineEnd);
          if (declaredLength < 0 || contentLength >= 0) {
            return FastParseResult.UNSUPPORTED;
          }
          contentLength = declaredLength;
        }
      }
      lineStart = i + 1;
    }
    return end - start > MAX_HEAD_BYTES ? FastParseResult.UNSUPPORTED : FastParseResult.NEEDS_MORE;
  }

  private static boolean isSupportedStartLine(
      byte[] buffer, int lineStart, int lineEnd, boolean request) {
    int versionStart = request ? lineEnd - 8 : lineStart;
    if (versionStart < lineStart
        || lineEnd - versionStart < 8
        || buffer[versionStart] != 'H'
        || buffer[versionStart + 1] != 'T'
        || buffer[versionStart + 2] != 'T'
        || buffer[versionStart + 3] != 'P'
        || buffer[versionStart + 4] != '/'
        || buffer[versionStart + 5] != '1'
        || buffer[versionStart + 6] != '.'
        || buffer[versionStart + 7] != '0' && buffer[versionStart + 7] != '1') {
      return false;
    }
    if (!request) {
      return lineEnd - lineStart >= 12
          && buffer[lineStart + 8] == ' '
          && isDigit(buffer[lineStart + 9])
          && isDigit(buffer[lineStart + 10])
          && isDigit(buffer[lineStart + 11])
          && (lineEnd - lineStart == 12 || buffer[lineStart + 12] == ' ')
          && buffer[lineStart + 9] != '1'
          && !(buffer[lineStart + 9] == '2'
              && buffer[lineStart + 10] == '0'
              && buffer[lineStart + 11] == '4')
          && !(buffer[lineStart + 9] == '3'
              && buffer[lineStart + 10] == '0'
              && buffer[lineStart + 11] == '4');
    }
    int spaces = 0;
    for (int i = lineStart; i < lineEnd; i++) {
      spaces += buffer[i] == ' ' ? 1 : 0;
    }
    return spaces == 2
        && buffer[lineStart] != ' '
        && buffer[versionStart - 1] == ' '
        && buffer[versionStart - 2] != ' ';
  }

  private static boolean isDigit(byte b) {
    return b >= '0' && b <= '9';
  }

  private static boolean startsWithIgnoringCase(
      byte[] buffer, int lineStart, int lineEnd, byte[] name) {
    if (lineEnd - lineStart < name.length) {
      return false;
    }
    for (int i = 0; i < name.length; i++) {
      int c = buffer[lineStart + i];
      if ((c >= 'A' && c <= 'Z' ? c + 32 : c) != name[i]) {
        return false;
      }
    }
    return true;
  }

  private static long parseContentLength(byte[] buffer, int start, int end) {
    while (start < end && (buffer[start] == ' ' || buffer[start] == '\t')) {
      start++;
    }
    while (end > start && (buffer[end - 1] == ' ' || buffer[end - 1] == '\t')) {
      end--;
    }
    if (start == end || end - start > 9) {
      return -1;
    }
    long value = 0;
    for (; start < end; start++) {
      if (!isDigit(buffer[start])) {
        return -1;
      }
      value = 10 * value + buffer[start] - '0';
    }
    return value;
  }

  /** The status code of a response, or 0. */
  int status() {
    return bytes.length >= 12 && isDigit(bytes[9]) && isDigit(bytes[10]) && isDigit(bytes[11])
        ? (bytes[9] - '0') * 100 + (bytes[10] - '0') * 10 + bytes[11] - '0'
        : 0;
  }

  /** Whether the message is a scan request. */
  boolean isScanRequest() {
    byte[] prefix = {'P', 'O', 'S', 'T', ' ', '/', 'a', 'p', 'i'};
    return bytes.length > prefix.length
        && Arrays.equals(bytes, 0, prefix.length, prefix, 0, prefix.length)
        && (bytes[prefix.length] == ' ' || bytes[prefix.length] == '?');
  }

  byte[] body() {
    return Arrays.copyOfRange(bytes, bodyOffset, bytes.length);
  }

  MessageHead head() {
    String[] lines =
        new String(bytes, 0, Math.max(0, bodyOffset - 4), StandardCharsets.ISO_8859_1)
            .split("\r\n");
    String[] startLine = lines[0].split(" ", 3);
    Map<String, String> headers = new LinkedHashMap<>();
    for (int i = 1; i < lines.length; i++) {
      int colon = lines[i].indexOf(':');
      headers.merge(
          lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
          lines[i].substring(colon + 1).strip(),
          (one, other) -> one + ", " + other);
    }
    return new MessageHead(
        startLine[0], startLine[1], startLine.length > 2 ? startLine[2] : "", headers);
  }

  /**
   * The flag {@code whole} of a response body in the form that the mixer writes: 1 if true, 0 if
   * false, -1 if the body has another form and must be parsed as JSON.
   */
  int parseWholeFlag() {
    int offset = endOfMatch(bodyOffset, WHOLE_KEY);
    int whole =
        endOfMatch(offset, WHOLE_RESULTS) >= 0
            ? 1
            : endOfMatch(offset, PARTIAL_RESULTS) >= 0 ? 0 : -1;
    if (offset < 0 || whole < 0) {
      return -1;
    }
    offset = endOfMatch(offset, whole == 1 ? WHOLE_RESULTS : PARTIAL_RESULTS);
    for (boolean isFirstResult = true;
        offset >= 0 && offset < bytes.length && bytes[offset] != ']';
        isFirstResult = false) {
      if (!isFirstResult && bytes[offset++] != ',') {
        return -1;
      }
      int digitsStart = endOfMatch(offset, PARTITION_KEY);
      for (offset = digitsStart; offset >= 0 && offset < bytes.length && isDigit(bytes[offset]); ) {
        offset++;
      }
      if (offset <= digitsStart
          || offset - digitsStart > 9
          || bytes[digitsStart] == '0' && offset - digitsStart > 1) {
        return -1;
      }
      offset = endOfMatch(offset, VALUE_KEY);
      while (offset >= 0
          && offset < bytes.length
          && bytes[offset] >= ' '
          && bytes[offset] != '"'
          && bytes[offset] != '\\') {
        offset++;
      }
      if (offset < 0
          || offset + 1 >= bytes.length
          || bytes[offset] != '"'
          || bytes[offset + 1] != '}') {
        return -1;
      }
      offset += 2;
    }
    return offset >= 0
            && offset + 2 == bytes.length
            && bytes[offset] == ']'
            && bytes[offset + 1] == '}'
        ? whole
        : -1;
  }

  /** The offset after {@code text} if the message contains it at {@code offset}, else -1. */
  private int endOfMatch(int offset, byte[] text) {
    if (offset < 0 || offset + text.length > bytes.length) {
      return -1;
    }
    for (int i = 0; i < text.length; i++) {
      if (bytes[offset + i] != text[i]) {
        return -1;
      }
    }
    return offset + text.length;
  }
}
