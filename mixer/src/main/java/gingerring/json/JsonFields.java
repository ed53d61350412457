package gingerring.json;

import java.util.List;
import java.util.Map;

/** Takes values of a kind out of what was read; what is missing or of another kind is named. */
public final class JsonFields {
  private static final double MAX_EXACT_INTEGER = 9007199254740992.0;

  private JsonFields() {}

  @SuppressWarnings("unchecked") // Json makes maps with strings for names only
  public static Map<String, Object> object(Object value, String name) throws Json.JsonException {
    if (value instanceof Map<?, ?> map) {
      return (Map<String, Object>) map;
    }
    throw new Json.JsonException(name + " is no object");
  }

  @SuppressWarnings("unchecked")
  public static List<Object> list(Map<String, Object> object, String name)
      throws Json.JsonException {
    if (object.get(name) instanceof List<?> list) {
      return (List<Object>) list;
    }
    throw new Json.JsonException(name + " is no list");
  }

  public static String string(Map<String, Object> object, String name) throws Json.JsonException {
    if (object.get(name) instanceof String text) {
      return text;
    }
    throw new Json.JsonException(name + " is no text");
  }

  public static double number(Map<String, Object> object, String name) throws Json.JsonException {
    if (object.get(name) instanceof Double number && Double.isFinite(number)) {
      return number;
    }
    throw new Json.JsonException(name + " is no number");
  }

  /** A whole number from 0 on. */
  public static long nonNegativeInteger(Map<String, Object> object, String name)
      throws Json.JsonException {
    double number = number(object, name);
    if (number < 0 || number != Math.rint(number) || number > MAX_EXACT_INTEGER) {
      throw new Json.JsonException(name + " is no whole number");
    }
    return (long) number;
  }

  public static boolean booleanValue(Map<String, Object> object, String name)
      throws Json.JsonException {
    if (object.get(name) instanceof Boolean flag) {
      return flag;
    }
    throw new Json.JsonException(name + " is neither true nor false");
  }
}
