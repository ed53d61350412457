package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader for the answers of a mixer. */
final class Json {
  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  static Object parse(String text) {
    Json json = new Json(text);
    Object value = json.value();
    json.space();
    if (json.at != text.length()) {
      throw new IllegalArgumentException("text behind the value");
    }
    return value;
  }

  private void space() {
    while (at < text.length() && " \t\r\n".indexOf(text.charAt(at)) >= 0) {
      at++;
    }
  }

  private char next() {
    space();
    if (at >= text.length()) {
      throw new IllegalArgumentException("ends early");
    }
    return text.charAt(at);
  }

  private Object value() {
    switch (next()) {
      case '{':
        Map<String, Object> map = new LinkedHashMap<>();
        at++;
        while (next() != '}') {
          String key = string();
          if (next() != ':') {
            throw new IllegalArgumentException("no colon");
          }
          at++;
          map.put(key, value());
          if (next() == ',') {
            at++;
          }
        }
        at++;
        return map;
      case '[':
        List<Object> list = new ArrayList<>();
        at++;
        while (next() != ']') {
          list.add(value());
          if (next() == ',') {
            at++;
          }
        }
        at++;
        return list;
      case '"':
        return string();
      default:
        int start = at;
        while (at < text.length() && ",]} \t\r\n".indexOf(text.charAt(at)) < 0) {
          at++;
        }
        String word = text.substring(start, at);
        return switch (word) {
          case "true" -> Boolean.TRUE;
          case "false" -> Boolean.FALSE;
          case "null" -> null;
          default -> Double.valueOf(word);
        };
    }
  }

  private String string() {
    if (next() != '"') {
      throw new IllegalArgumentException("no string");
    }
    StringBuilder out = new StringBuilder();
    for (at++; text.charAt(at) != '"'; at++) {
      char c = text.charAt(at);
      if (c == '\\') {
        c = text.charAt(++at);
        if (c == 'u') {
          c = (char) Integer.parseInt(text.substring(at + 1, at + 5), 16);
          at += 4;
        } else {
          int known = "nrtbf".indexOf(c);
          c = known >= 0 ? "\n\r\t\b\f".charAt(known) : c;
        }
      }
      out.append(c);
    }
    at++;
    return out.toString();
  }
}
