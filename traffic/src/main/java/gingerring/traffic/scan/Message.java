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
 * #skim} tells plain messages from a buffer without making anything, and leaves all others to the
 * parser.
 */
final class Message {
  /** What {@link #skim} found. */
  enum Skim {
    WHOLE,
    MORE,
    UNUSUAL
  }

  private static final int HEAD_MOST = 8192;
  private static final byte[] LENGTH = "content-length:".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] CODING = "transfer-encoding:".getBytes(StandardCharsets.US_ASCII);
  private static final boolean[] TOKEN = new boolean[128];
  private static final boolean[] PLAIN = new boolean[256];
  private static final byte[] ANSWER = "{\"whole\":".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] WHOLE = "true,\"results\":[".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] PART = "false,\"results\":[".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] FOLIO = "{\"partition\":".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] VALUE = ",\"value\":\"".getBytes(StandardCharsets.US_ASCII);

  static {
    for (char c = '!'; c < 127; c++) {
      TOKEN[c] =
          c >= 'a' && c <= 'z'
              || c >= 'A' && c <= 'Z'
              || c >= '0' && c <= '9'
              || "!#$%&'*+-.^_`|~".indexOf(c) >= 0;
    }
    Arrays.fill(PLAIN, ' ', 127, true);
    PLAIN['\t'] = true;
  }

  final byte[] bytes;
  final int bodyAt;

  Message(byte[] bytes, int bodyAt) {
    this.bytes = bytes;
    this.bodyAt = bodyAt;
  }

  /** One that the parser read. */
  static Message of(MessageHead head, byte[] body) {
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
    return new Message(out.toByteArray(), bodyAt);
  }

  /** Where a skimmed message ends, and where its body begins. */
  static final class Found {
    int bodyAt;
    int end;
  }

  /**
   * Looks whether a message that is framed by a content length, or has no body, stands whole from
   * {@code at} on. What it takes the parser takes too, with the same ends; whatever it does not
   * know is unusual.
   */
  static Skim skim(byte[] b, int at, int end, boolean request, int bodyMost, Found found) {
    found.end = at; // not known
    int line = at;
    long length = -1;
    boolean first = true;
    for (int i = at; i < end; i++) {
      int c = b[i];
      if (PLAIN[c & 0xFF]) {
        continue;
      }
      if (c == '\r') {
        if (i + 1 < end && b[i + 1] != '\n') {
          return Skim.UNUSUAL;
        }
        continue;
      }
      // other control characters, and all beyond ASCII
      if (c != '\n' || i == line || b[i - 1] != '\r' || i - at > HEAD_MOST) {
        return Skim.UNUSUAL;
      }
      int stop = i - 1;
      if (stop == line) {
        if (first) {
          return Skim.UNUSUAL;
        }
        if (length > bodyMost || length < 0 && !request) {
          return Skim.UNUSUAL; // to the end of the connection, or none: the parser knows
        }
        found.bodyAt = i + 1;
        found.end = (int) (i + 1 + Math.max(0, length));
        return found.end <= end ? Skim.WHOLE : Skim.MORE;
      }
      if (first) {
        if (!firstLine(b, line, stop, request)) {
          return Skim.UNUSUAL;
        }
        first = false;
      } else {
        int colon = line;
        while (colon < stop && b[colon] > 0 && TOKEN[b[colon]]) {
          colon++;
        }
        if (colon == line
            || colon == stop
            || b[colon] != ':'
            || colon - line == CODING.length - 1 && says(b, line, stop, CODING)) {
          return Skim.UNUSUAL;
        }
        if (colon - line == LENGTH.length - 1 && says(b, line, stop, LENGTH)) {
          long told = number(b, line + LENGTH.length, stop);
          if (told < 0 || length >= 0) {
            return Skim.UNUSUAL;
          }
          length = told;
        }
      }
      line = i + 1;
    }
    return end - at > HEAD_MOST ? Skim.UNUSUAL : Skim.MORE;
  }

  private static boolean firstLine(byte[] b, int line, int stop, boolean request) {
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
          && digit(b[line + 9])
          && digit(b[line + 10])
          && digit(b[line + 11])
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

  private static boolean digit(byte b) {
    return b >= '0' && b <= '9';
  }

  private static boolean says(byte[] b, int line, int stop, byte[] name) {
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

  private static long number(byte[] b, int at, int stop) {
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
      if (!digit(b[at])) {
        return -1;
      }
      value = 10 * value + b[at] - '0';
    }
    return value;
  }

  /** The status of an answer. */
  int status() {
    return bytes.length >= 12 && digit(bytes[9]) && digit(bytes[10]) && digit(bytes[11])
        ? (bytes[9] - '0') * 100 + (bytes[10] - '0') * 10 + bytes[11] - '0'
        : 0;
  }

  /** Whether this is a request for a scan. */
  boolean scan() {
    byte[] start = {'P', 'O', 'S', 'T', ' ', '/', 'a', 'p', 'i'};
    return bytes.length > start.length
        && Arrays.equals(bytes, 0, start.length, start, 0, start.length)
        && (bytes[start.length] == ' ' || bytes[start.length] == '?');
  }

  byte[] body() {
    return Arrays.copyOfRange(bytes, bodyAt, bytes.length);
  }

  MessageHead head() {
    String[] lines =
        new String(bytes, 0, Math.max(0, bodyAt - 4), StandardCharsets.ISO_8859_1).split("\r\n");
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
  int skimWhole() {
    int at = after(bodyAt, ANSWER);
    int whole = after(at, WHOLE) >= 0 ? 1 : after(at, PART) >= 0 ? 0 : -1;
    if (at < 0 || whole < 0) {
      return -1;
    }
    at = after(at, whole == 1 ? WHOLE : PART);
    for (boolean first = true; at >= 0 && at < bytes.length && bytes[at] != ']'; first = false) {
      if (!first && bytes[at++] != ',') {
        return -1;
      }
      int digits = after(at, FOLIO);
      for (at = digits; at >= 0 && at < bytes.length && digit(bytes[at]); ) {
        at++;
      }
      if (at <= digits || at - digits > 9 || bytes[digits] == '0' && at - digits > 1) {
        return -1;
      }
      at = after(at, VALUE);
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
  private int after(int at, byte[] text) {
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
