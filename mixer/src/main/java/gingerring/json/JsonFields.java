package gingerring.json;

import java.util.List;
import java.util.Map;

/**
 * Typed access to the values that {@link Json} has parsed. A value that is missing or of another
 * type is named in the exception.
 */
public final class JsonFields {
  /** 2^53: up to here a double represents every integer. */
  private static final double MAX_EXACT_INTEGER = 9007199254740992.0;

  private JsonFields() {}

  @SuppressWarnings("unchecked") // Json creates maps with string keys only
  public static Map<String, Object> object(Object value, String name) throws Json.JsonException {
    if (value instanceof Map<?, ?> map) {
      return (Map<String, Object>) map;
    }
    throw new Json.JsonException(name + " is not an object");
  }

  @SuppressWarnings("unchecked")
  public static List<Object> list(Map<String, Object> object, String name)
      throws Json.JsonException {
    if (object.get(name) instanceof List<?> list) {
      return (List<Object>) list;
    }
    throw new Json.JsonException(name + " is not a list");
  }

  public static String string(Map<String, Object> object, String name) throws Json.JsonException {
    if (object.get(name) instanceof String text) {
      return text;
    }
    throw new Json.JsonException(name + " is not a string");
  }

  public static double number(Map<String, Object> object, String name) throws Json.JsonException {
    if (object.get(name) instanceof Double number && Double.isFinite(number)) {
      return number;
    }
    throw new Json.JsonException(name + " is not a number");
  }

  /** An integer that is not negative and that a double represents exactly. */
  public static long nonNegativeInteger(Map<String, Object> object, String name)
      throws Json.JsonException {
    double number = number(object, name);
    if (number < 0 || number != Math.rint(number) || number > MAX_EXACT_INTEGER) {
      throw new Json.JsonException(name + " is not a non-negative integer");
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
