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
 * Strict JSON parser (RFC 8259): a single value in UTF-8, no duplicate names in an object, nested
 * no deeper than {@link #MAX_DEPTH}. Values are returned as {@code Map}, {@code List}, {@code
 * String}, {@code Double}, {@code Boolean} and null.
 */
public final class Json {
  /** Input that is not valid JSON, or has not the expected content. */
  public static final class JsonException extends Exception {
    private static final long serialVersionUID = 1;

    public JsonException(String message) {
      super(message, null, false, false);
    }
  }

  static final int MAX_DEPTH = 16;
  private static final int UNICODE_ESCAPE_DIGITS = 4;
  private static final Pattern NUMBER =
      Pattern.compile("-?(0|[1-9][0-9]*)(\\.[0-9]+)?([eE][+-]?[0-9]+)?");

  private final String text;
  private final int maxValues;
  private int position;
  private int values;

  private Json(String text, int maxValues) {
    this.text = text;
    this.maxValues = maxValues;
  }

  /** Parses a JSON text in UTF-8. */
  public static Object parse(byte[] bytes) throws JsonException {
    return parse(bytes, Integer.MAX_VALUE);
  }

  /**
   * Parses a JSON text in UTF-8 that has at most {@code maxValues} values, nested ones included.
   * Guards against texts of many tiny values, which take many times their size in memory.
   */
  public static Object parse(byte[] bytes, int maxValues) throws JsonException {
    try {
      return parse(
          StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString(), maxValues);
    } catch (CharacterCodingException e) {
      throw new JsonException("invalid UTF-8");
    }
  }

  /** Parses a JSON text. */
  public static Object parse(String text) throws JsonException {
    return parse(text, Integer.MAX_VALUE);
  }

  private static Object parse(String text, int maxValues) throws JsonException {
    Json json = new Json(text, maxValues);
    Object value = json.parseValue(0);
    json.skipWhitespace();
    if (json.position < text.length()) {
      throw json.error("unexpected text after the value");
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
      throw error("unexpected end of input");
    }
    return text.charAt(position);
  }

  private void expect(char expected) throws JsonException {
    if (peek() != expected) {
      throw error("expected '" + expected + "'");
    }
    position++;
  }

  private Object parseValue(int depth) throws JsonException {
    if (depth > MAX_DEPTH) {
      throw error("nested deeper than " + MAX_DEPTH + " levels");
    }
    if (++values > maxValues) {
      throw error("more than " + maxValues + " values");
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
      throw error("invalid value");
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
        throw error("expected a name in quotes");
      }
      String name = parseString();
      expect(':');
      Object value = parseValue(depth + 1);
      if (object.containsKey(name)) {
        throw error("duplicate name");
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
        throw error("control character in a string");
      }
      string.append(c == '\\' ? parseEscape() : c);
    }
    throw error("unexpected end of input");
  }

  private char parseEscape() throws JsonException {
    if (++position >= text.length()) {
      throw error("unexpected end of input");
    }
    char c = text.charAt(position);
    int simpleEscape = "\"\\/bfnrt".indexOf(c);
    if (simpleEscape >= 0) {
      return "\"\\/\b\f\n\r\t".charAt(simpleEscape);
    }
    if (c != 'u' || position + UNICODE_ESCAPE_DIGITS >= text.length()) {
      throw error("invalid escape sequence");
    }
    int codeUnit = 0;
    for (int i = 0; i < UNICODE_ESCAPE_DIGITS; i++) {
      int digit = hexDigit(text.charAt(++position));
      if (digit < 0) {
        throw error("invalid escape sequence");
      }
      codeUnit = 16 * codeUnit + digit;
    }
    return (char) codeUnit;
  }

  /** Returns the value of an ASCII hex digit, or -1. */
  private static int hexDigit(char c) {
    return c < 128 ? Character.digit(c, 16) : -1;
  }

  private Double parseNumber() throws JsonException {
    int start = position;
    while (position < text.length() && "+-.0123456789eE".indexOf(text.charAt(position)) >= 0) {
      position++;
    }
    String number = text.substring(start, position);
    if (!NUMBER.matcher(number).matches()) {
      throw error("invalid value");
    }
    return Double.valueOf(number);
  }
}
