package gingerring.json;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Reads JSON (RFC 8259) strictly: one value, UTF-8, no name twice, no deeper than {@link
 * #MAX_DEPTH}. Values come as {@code Map}, {@code List}, {@code String}, {@code Double}, {@code
 * Boolean} and null.
 */
public final class Json {
  /** Input that is not JSON. */
  public static final class JsonException extends Exception {
    private static final long serialVersionUID = 1;

    public JsonException(String message) {
      super(message, null, false, false);
    }
  }

  static final int MAX_DEPTH = 16;
  private static final Pattern NUMBER =
      Pattern.compile("-?(0|[1-9][0-9]*)(\\.[0-9]+)?([eE][+-]?[0-9]+)?");

  private final String text;
  private int position;

  private Json(String text) {
    this.text = text;
  }

  public static Object parse(byte[] bytes) throws JsonException {
    try {
      return parse(StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString());
    } catch (CharacterCodingException e) {
      throw new JsonException("not UTF-8");
    }
  }

  public static Object parse(String text) throws JsonException {
    Json json = new Json(text);
    Object value = json.parseValue(0);
    json.skipWhitespace();
    if (json.position < text.length()) {
      throw json.error("more after the value");
    }
    return value;
  }

  private JsonException error(String problem) {
    return new JsonException(problem + " at character " + position);
  }

  private void skipWhitespace() {
    while (position < text.length() && " \t\r\n".indexOf(text.charAt(position)) >= 0) {
      position++;
    }
  }

  private char peek() throws JsonException {
    skipWhitespace();
    if (position >= text.length()) {
      throw error("it ends early");
    }
    return text.charAt(position);
  }

  private void expect(char expected) throws JsonException {
    if (peek() != expected) {
      throw error("no '" + expected + "'");
    }
    position++;
  }

  private Object parseValue(int depth) throws JsonException {
    if (depth > MAX_DEPTH) {
      throw error("too deep");
    }
    return switch (peek()) {
      case '{' -> parseObject(depth);
      case '[' -> parseArray(depth);
      case '"' -> parseString();
      case 't' -> parseLiteral("true", true);
      case 'f' -> parseLiteral("false", false);
      case 'n' -> parseLiteral("null", null);
      default -> parseNumber();
    };
  }

  private Object parseLiteral(String literal, Object value) throws JsonException {
    if (!text.startsWith(literal, position)) {
      throw error("no value");
    }
    position += literal.length();
    return value;
  }

  private Map<String, Object> parseObject(int depth) throws JsonException {
    Map<String, Object> object = new LinkedHashMap<>();
    position++;
    if (peek() == '}') {
      position++;
      return object;
    }
    while (true) {
      if (peek() != '"') {
        throw error("no name");
      }
      String name = parseString();
      expect(':');
      Object value = parseValue(depth + 1);
      if (object.containsKey(name)) {
        throw error("a name twice");
      }
      object.put(name, value);
      if (peek() == '}') {
        position++;
        return object;
      }
      expect(',');
    }
  }

  private List<Object> parseArray(int depth) throws JsonException {
    List<Object> list = new ArrayList<>();
    position++;
    if (peek() == ']') {
      position++;
      return list;
    }
    while (true) {
      list.add(parseValue(depth + 1));
      if (peek() == ']') {
        position++;
        return list;
      }
      expect(',');
    }
  }

  private String parseString() throws JsonException {
    StringBuilder string = new StringBuilder();
    for (position++; position < text.length(); position++) {
      char c = text.charAt(position);
      if (c == '"') {
        position++;
        return string.toString();
      }
      if (c < ' ') {
        throw error("a control character");
      }
      string.append(c == '\\' ? parseEscape() : c);
    }
    throw error("it ends early");
  }

  private char parseEscape() throws JsonException {
    if (++position >= text.length()) {
      throw error("it ends early");
    }
    char c = text.charAt(position);
    int simpleEscape = "\"\\/bfnrt".indexOf(c);
    if (simpleEscape >= 0) {
      return "\"\\/\b\f\n\r\t".charAt(simpleEscape);
    }
    String hex =
        c == 'u' && position + 5 <= text.length() ? text.substring(position + 1, position + 5) : "";
    if (!hex.matches("[0-9a-fA-F]{4}")) {
      throw error("no escape");
    }
    position += 4;
    return (char) Integer.parseInt(hex, 16);
  }

  private Double parseNumber() throws JsonException {
    int start = position;
    while (position < text.length() && "+-.0123456789eE".indexOf(text.charAt(position)) >= 0) {
      position++;
    }
    String number = text.substring(start, position);
    if (!NUMBER.matcher(number).matches()) {
      throw error("no value");
    }
    return Double.valueOf(number);
  }
}
