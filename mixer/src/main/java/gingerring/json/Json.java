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
  private int at;

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
    Object value = json.value(0);
    json.space();
    if (json.at < text.length()) {
      throw json.wrong("more after the value");
    }
    return value;
  }

  private JsonException wrong(String what) {
    return new JsonException(what + " at character " + at);
  }

  private void space() {
    while (at < text.length() && " \t\r\n".indexOf(text.charAt(at)) >= 0) {
      at++;
    }
  }

  private char peek() throws JsonException {
    space();
    if (at >= text.length()) {
      throw wrong("it ends early");
    }
    return text.charAt(at);
  }

  private void expect(char c) throws JsonException {
    if (peek() != c) {
      throw wrong("no '" + c + "'");
    }
    at++;
  }

  private Object value(int depth) throws JsonException {
    if (depth > MAX_DEPTH) {
      throw wrong("too deep");
    }
    return switch (peek()) {
      case '{' -> object(depth);
      case '[' -> list(depth);
      case '"' -> string();
      case 't' -> word("true", true);
      case 'f' -> word("false", false);
      case 'n' -> word("null", null);
      default -> number();
    };
  }

  private Object word(String word, Object value) throws JsonException {
    if (!text.startsWith(word, at)) {
      throw wrong("no value");
    }
    at += word.length();
    return value;
  }

  private Map<String, Object> object(int depth) throws JsonException {
    Map<String, Object> object = new LinkedHashMap<>();
    at++;
    if (peek() == '}') {
      at++;
      return object;
    }
    while (true) {
      if (peek() != '"') {
        throw wrong("no name");
      }
      String name = string();
      expect(':');
      Object value = value(depth + 1);
      if (object.containsKey(name)) {
        throw wrong("a name twice");
      }
      object.put(name, value);
      if (peek() == '}') {
        at++;
        return object;
      }
      expect(',');
    }
  }

  private List<Object> list(int depth) throws JsonException {
    List<Object> list = new ArrayList<>();
    at++;
    if (peek() == ']') {
      at++;
      return list;
    }
    while (true) {
      list.add(value(depth + 1));
      if (peek() == ']') {
        at++;
        return list;
      }
      expect(',');
    }
  }

  private String string() throws JsonException {
    StringBuilder string = new StringBuilder();
    for (at++; at < text.length(); at++) {
      char c = text.charAt(at);
      if (c == '"') {
        at++;
        return string.toString();
      }
      if (c < ' ') {
        throw wrong("a control character");
      }
      string.append(c == '\\' ? escape() : c);
    }
    throw wrong("it ends early");
  }

  private char escape() throws JsonException {
    if (++at >= text.length()) {
      throw wrong("it ends early");
    }
    char c = text.charAt(at);
    int plain = "\"\\/bfnrt".indexOf(c);
    if (plain >= 0) {
      return "\"\\/\b\f\n\r\t".charAt(plain);
    }
    String hex = c == 'u' && at + 5 <= text.length() ? text.substring(at + 1, at + 5) : "";
    if (!hex.matches("[0-9a-fA-F]{4}")) {
      throw wrong("no escape");
    }
    at += 4;
    return (char) Integer.parseInt(hex, 16);
  }

  private Double number() throws JsonException {
    int start = at;
    while (at < text.length() && "+-.0123456789eE".indexOf(text.charAt(at)) >= 0) {
      at++;
    }
    String number = text.substring(start, at);
    if (!NUMBER.matcher(number).matches()) {
      throw wrong("no value");
    }
    return Double.valueOf(number);
  }
}
