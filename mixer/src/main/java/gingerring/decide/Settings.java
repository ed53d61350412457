package gingerring.decide;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Reads the settings passed at start; an exception names a required setting that is missing or
 * malformed. Parsed numbers are cached, since every scan reads them.
 */
public final class Settings {
  private final Map<String, String> values;
  private final Map<String, Double> numbers = new HashMap<>();

  public Settings(Map<String, String> values) {
    this.values = values;
  }

  public Map<String, String> values() {
    return values;
  }

  public String text(String key) {
    String value = values.get(key);
    if (value == null) {
      throw new IllegalArgumentException("setting " + key + " is missing");
    }
    return value;
  }

  public double number(String key) {
    Double number = numbers.get(key);
    if (number == null) {
      number = parse(key, text(key));
      numbers.put(key, number);
    }
    return number;
  }

  public double number(String key, double defaultValue) {
    return values.containsKey(key) ? number(key) : defaultValue;
  }

  public int count(String key) {
    return (int) number(key);
  }

  /** Returns a duration given in milliseconds. */
  public Duration duration(String key) {
    return Durations.millis(number(key));
  }

  public Duration duration(String key, Duration defaultValue) {
    return values.containsKey(key) ? duration(key) : defaultValue;
  }

  /** Returns the longest time for which a client of any service class may wait for its answer. */
  public Duration longestDeadline() {
    Duration longest = Duration.ZERO;
    for (int i = 0; i < count("Classes.count"); i++) {
      Duration deadline = duration("Classes." + i + ".HardLimitMs");
      longest = deadline.compareTo(longest) > 0 ? deadline : longest;
    }
    return longest;
  }

  public boolean has(String key) {
    return values.containsKey(key);
  }

  public boolean flag(String key) {
    return Boolean.parseBoolean(values.get(key));
  }

  /**
   * Returns the item of a list at the given index, or {@code defaultValue} if there is no such
   * list.
   */
  public double item(String key, int index, double defaultValue) {
    if (!values.containsKey(key)) {
      return defaultValue;
    }
    String[] items = text(key).split(",");
    if (index >= items.length) {
      throw new IllegalArgumentException("setting " + key + " has no item " + index);
    }
    return parse(key, items[index]);
  }

  private static double parse(String key, String value) {
    double number;
    try {
      number = Double.parseDouble(value);
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("setting " + key + " is not a number: " + value);
    }
    if (!Double.isFinite(number)) {
      throw new IllegalArgumentException("setting " + key + " is not a number: " + value);
    }
    return number;
  }
}
