package gingerring.server;

import gingerring.decide.Settings;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/**
 * Validates the settings at the start. The mixer reads some of them only when it first needs them,
 * long after its start; a value that it could not use then is reported now, with what an operator
 * can do.
 *
 * <p>Values that the documentation leaves open are accepted and read as follows. A drain grace, a
 * window, an idle time, a warm-up or a worth of 0 means: nothing is sent after the drain begins, no
 * retry falls into the window, no connection is kept, a searcher is warm at once, and a scan whose
 * late answer is worth nothing is served like any other. A latency target above the deadline counts
 * as the deadline. If a shard has more holders than there are cells, they wrap around to the first
 * cell. A missing setting with a neutral value has that value; so does the fleet's size.
 *
 * <p>Rejected are settings with which no scan could be served or no rule could be kept: timeouts
 * within which no connection could open, be answered or count, a count of zero where at least one
 * is required, a required completeness of zero, and two service classes of one name.
 */
final class SettingsValidator {
  /** Thrown for a setting that cannot be used. */
  static final class InvalidSettingException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;
    private final String settingPath;
    private final String remedy;

    InvalidSettingException(String settingPath, String fault, String remedy) {
      super("setting " + settingPath + " " + fault + ": " + remedy);
      this.settingPath = settingPath;
      this.remedy = remedy;
    }

    /** Returns the path of the setting, as on the wire. */
    String settingPath() {
      return settingPath;
    }

    /** Returns what an operator can do. */
    String remedy() {
      return remedy;
    }
  }

  /** The largest time in milliseconds that is still exact in nanoseconds, as on the wire. */
  private static final double MAX_VALUE = 9e12;

  /**
   * The minimum of each numeric setting and its maximum, if any; {@code *} stands for each service
   * class, {@code !} marks a required setting. Numbers of parts, cells and searchers are limited
   * because the code iterates over them. A scan is closed 10 ms before its client's deadline, so no
   * shorter one could be served; and from ten million seconds on, a wait is printed in Retry-After
   * with an exponent.
   */
  private static final List<String> NUMBER_RANGES =
      List.of(
          "FleetSize 1",
          "Domain.Batch 1 1e9",
          "!Domain.Places 1 1048576",
          "!Domain.Reach 1 1048576",
          "!Domain.Slices 1 1048576",
          "!PolicyLimits.ConnIdleMs 0",
          "!PolicyLimits.DialTimeoutMs 1",
          "PolicyLimits.MaxAttempts 1",
          "PolicyLimits.MaxRetryAfterMs 0 9e9",
          "!PolicyLimits.MostHeld 1",
          "!PolicyLimits.StreamsPerConn 1",
          "Safety.ColdFrom 0 1",
          "Safety.DrainGraceMs 0",
          "Safety.ExtraFree 0",
          "Safety.ResendRatio 0",
          "Safety.ResendSpanMs 1",
          "Safety.TipAfterMs 1",
          "Safety.TipMultiple 0",
          "!Safety.WarmUpMs 0",
          "!Classes.*.AimMs 1",
          "Classes.*.AimStretch 0",
          "!Classes.*.HardLimitMs 11",
          "Classes.*.LateWorth 0 1",
          "Classes.*.WindowMs 0");

  /**
   * Lists with an item for each service class. Second steps are not supported over sockets, so
   * their number is 0; and a class with a required completeness of 0 would be answered without
   * results.
   */
  private static final List<String> PER_CLASS_RANGES =
      List.of("Domain.ClassFetch 0 0", "Domain.ClassFloor 0 1", "Domain.NeedByClass 0.0001 1");

  private static final List<String> FLAGS =
      List.of(
          "PolicyLimits.Cancel",
          "PolicyLimits.Probing",
          "PolicyLimits.RetryAfter",
          "PolicyLimits.SecondCopies");
  private static final List<String> CHOICES =
      List.of(
          "!Discovery automatic subscribe",
          "LoadReport.Source answers probe none",
          "!Classes.*.Idempotency idempotent deduplicated at_most_once");
  private static final List<String> REQUIRED_LISTS = List.of("Zones", "Skus");
  private static final List<String> RETRY_BUDGET =
      List.of("Safety.ExtraFree", "Safety.ResendRatio", "Safety.ResendSpanMs");

  private SettingsValidator() {}

  /** Throws {@link InvalidSettingException} for the first setting that cannot be used. */
  static void check(Settings settings) {
    require(
        settings.has("Classes.count") && number(settings, "Classes.count", "a list") >= 1,
        "Classes",
        "is no list of service classes",
        "give one object for each service class, at least one");
    int classCount = settings.count("Classes.count");
    for (String rule : NUMBER_RANGES) {
      String[] bound = rule.split(" ");
      for (String key : expand(bound[0], classCount)) {
        if (isPresent(settings, bound[0], key, "give " + describeRange(bound))) {
          requireInRange(key, number(settings, key, describeRange(bound)), bound);
        }
      }
    }
    for (String rule : PER_CLASS_RANGES) {
      String[] bound = rule.split(" ");
      for (int i = 0; i < classCount; i++) {
        requireInRange(bound[0], item(settings, bound[0], i, describeRange(bound)), bound);
      }
    }
    for (String key : FLAGS) {
      require(
          !settings.has(key)
              || settings.text(key).equals("true")
              || settings.text(key).equals("false"),
          key,
          "is neither true nor false",
          "give one of them");
    }
    for (String rule : CHOICES) {
      List<String> choice = List.of(rule.split(" "));
      List<String> allowed = choice.subList(1, choice.size());
      for (String key : expand(choice.get(0), classCount)) {
        String remedy = "give one of " + String.join(", ", allowed);
        if (isPresent(settings, choice.get(0), key, remedy)) {
          require(allowed.contains(settings.text(key)), key, "is unknown", remedy);
        }
      }
    }
    for (String key : REQUIRED_LISTS) {
      isPresent(
          settings, "!" + key, key, "give the list of their names, an empty one if there is none");
    }
    long budgetSettings = RETRY_BUDGET.stream().filter(settings::has).count();
    for (String key : RETRY_BUDGET) {
      require(
          budgetSettings == 0 || settings.has(key),
          key,
          "is missing while other settings of the retry budget are present",
          "give " + String.join(", ", RETRY_BUDGET) + ", or none of them");
    }
    checkServiceClasses(settings, classCount);
  }

  /**
   * Checks the rules that service classes have beyond the ranges: a valid and unique name, and a
   * window if keyed.
   */
  private static void checkServiceClasses(Settings settings, int classCount) {
    Map<String, Integer> names = new HashMap<>();
    for (int i = 0; i < classCount; i++) {
      String prefix = "Classes." + i + ".";
      isPresent(settings, "!", prefix + "Name", "give the name that clients send in X-Lane");
      String name = settings.text(prefix + "Name");
      require(
          !name.isEmpty() && name.chars().allMatch(c -> c > ' ' && c < 127),
          prefix + "Name",
          "cannot be sent in a header",
          "give a name of plain ASCII text");
      Integer earlier = names.putIfAbsent(name, i);
      require(
          earlier == null,
          prefix + "Name",
          "is also the name of Classes." + earlier,
          "give each a name of its own");
      require(
          !settings.text(prefix + "Idempotency").equals("deduplicated")
              || settings.has(prefix + "WindowMs"),
          prefix + "WindowMs",
          "is missing",
          "give the time for which retries of the service class are dropped");
    }
  }

  private static List<String> expand(String pattern, int classCount) {
    String key = pattern.replace("!", "");
    return !key.contains("*")
        ? List.of(key)
        : IntStream.range(0, classCount)
            .mapToObj(i -> key.replace("*", String.valueOf(i)))
            .toList();
  }

  private static boolean isPresent(Settings settings, String pattern, String key, String remedy) {
    require(!pattern.startsWith("!") || settings.has(key), key, "is missing", remedy);
    return settings.has(key);
  }

  private static double number(Settings settings, String key, String range) {
    try {
      return settings.number(key);
    } catch (IllegalArgumentException e) {
      throw new InvalidSettingException(
          key, "is no number", "give " + range + " in place of " + settings.text(key));
    }
  }

  private static double item(Settings settings, String key, int index, String range) {
    try {
      return settings.item(key, index, 1);
    } catch (IllegalArgumentException e) {
      throw new InvalidSettingException(
          key, "has no number at index " + index, "give " + range + " for each service class");
    }
  }

  private static String describeRange(String[] bound) {
    return "a number from " + bound[1] + (bound.length > 2 ? " to " + bound[2] : " up");
  }

  private static void requireInRange(String key, double value, String[] bound) {
    double max = bound.length > 2 ? Double.parseDouble(bound[2]) : MAX_VALUE;
    require(
        value >= Double.parseDouble(bound[1]) && value <= max,
        key,
        "is out of its range, " + value,
        "give " + describeRange(bound));
  }

  private static void require(boolean satisfied, String key, String fault, String remedy) {
    if (!satisfied) {
      throw new InvalidSettingException(key, fault, remedy);
    }
  }
}
