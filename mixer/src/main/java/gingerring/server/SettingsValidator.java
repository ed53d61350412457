package gingerring.server;

import gingerring.decide.Settings;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/**
 * What the settings must keep to. The mixer reads some of them only when it first needs them, long
 * after its start: what it could not use then is named before it, with what an operator can do.
 *
 * <p>Whatever the pages leave open is served, by these readings. A drain grace, a window, an idle
 * time, a warm-up or a worth of 0 is one: nothing is sent after it, no repeat is in it, no
 * connection is kept, a searcher is warm at once, a scan is served like any other. A quoted time
 * over the patience counts as the patience. A shard may have more holders than there are cells:
 * they begin again at the first. What is left out and has a neutral reading has that one; the
 * fleet's size too.
 *
 * <p>Refused is what no scan could be served by, or no rule kept: times in which nothing comes up,
 * is answered or counts, none of what there must be one of, a need of nothing, two grades of one
 * name.
 */
final class SettingsValidator {
  /** A setting that cannot be used. */
  static final class InvalidSettingException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;
    private final String settingPath;
    private final String remedy;

    InvalidSettingException(String entry, String fault, String remedy) {
      super("setting " + entry + " " + fault + ": " + remedy);
      this.settingPath = entry;
      this.remedy = remedy;
    }

    /** The path of the setting, as on the wire. */
    String settingPath() {
      return settingPath;
    }

    /** What an operator can do. */
    String remedy() {
      return remedy;
    }
  }

  /** The largest time that still counts exactly in nanoseconds, as on the wire. */
  private static final double MAX_VALUE = 9e12;

  /**
   * Each with the least that it may be and the most, if there is one; {@code *} for each service
   * grade, {@code !} where it must be there. Numbers of parts, cells and searchers are counted one
   * by one. A scan is closed 10 ms before its client's patience ends, so that no shorter one could
   * be served; and a wait from ten million seconds on has no plain decimals in Retry-After.
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
   * Lists with an item for each service grade. Second steps have no form on sockets; and a grade
   * that needs nothing would be answered with nothing.
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

  /** Throws {@link Refused} for the first setting that cannot be used. */
  static void check(Settings terms) {
    require(
        terms.has("Classes.count") && number(terms, "Classes.count", "a list") >= 1,
        "Classes",
        "is no list of grades",
        "give one object for each service grade, one at least");
    int grades = terms.count("Classes.count");
    for (String line : NUMBER_RANGES) {
      String[] bound = line.split(" ");
      for (String key : expand(bound[0], grades)) {
        if (isPresent(terms, bound[0], key, "give " + describeRange(bound))) {
          requireInRange(key, number(terms, key, describeRange(bound)), bound);
        }
      }
    }
    for (String line : PER_CLASS_RANGES) {
      String[] bound = line.split(" ");
      for (int i = 0; i < grades; i++) {
        requireInRange(bound[0], item(terms, bound[0], i, describeRange(bound)), bound);
      }
    }
    for (String key : FLAGS) {
      require(
          !terms.has(key) || terms.text(key).equals("true") || terms.text(key).equals("false"),
          key,
          "is neither true nor false",
          "give one of them");
    }
    for (String line : CHOICES) {
      List<String> choice = List.of(line.split(" "));
      List<String> known = choice.subList(1, choice.size());
      for (String key : expand(choice.get(0), grades)) {
        String remedy = "give one of " + String.join(", ", known);
        if (isPresent(terms, choice.get(0), key, remedy)) {
          require(known.contains(terms.text(key)), key, "is unknown", remedy);
        }
      }
    }
    for (String key : REQUIRED_LISTS) {
      isPresent(
          terms, "!" + key, key, "give the list of their names, an empty one if there is none");
    }
    long told = RETRY_BUDGET.stream().filter(terms::has).count();
    for (String key : RETRY_BUDGET) {
      require(
          told == 0 || terms.has(key),
          key,
          "is missing beside the others of a budget",
          "give " + String.join(", ", RETRY_BUDGET) + ", or none of them");
    }
    checkServiceClasses(terms, grades);
  }

  /** What grades must have that others need not, and must have for themselves. */
  private static void checkServiceClasses(Settings terms, int grades) {
    Map<String, Integer> names = new HashMap<>();
    for (int i = 0; i < grades; i++) {
      String at = "Classes." + i + ".";
      isPresent(terms, "!", at + "Name", "give the name that clients send in X-Lane");
      String name = terms.text(at + "Name");
      require(
          !name.isEmpty() && name.chars().allMatch(c -> c > ' ' && c < 127),
          at + "Name",
          "is nothing that a header carries",
          "give a name of plain ASCII text");
      Integer other = names.putIfAbsent(name, i);
      require(
          other == null,
          at + "Name",
          "is that of Classes." + other + " too",
          "give each a name of its own");
      require(
          !terms.text(at + "Idempotency").equals("deduplicated") || terms.has(at + "WindowMs"),
          at + "WindowMs",
          "is missing",
          "give the time for which repeats of the grade are dropped");
    }
  }

  private static List<String> expand(String entry, int grades) {
    String key = entry.replace("!", "");
    return !key.contains("*")
        ? List.of(key)
        : IntStream.range(0, grades).mapToObj(i -> key.replace("*", String.valueOf(i))).toList();
  }

  private static boolean isPresent(Settings terms, String entry, String key, String remedy) {
    require(!entry.startsWith("!") || terms.has(key), key, "is missing", remedy);
    return terms.has(key);
  }

  private static double number(Settings terms, String key, String range) {
    try {
      return terms.number(key);
    } catch (IllegalArgumentException e) {
      throw new InvalidSettingException(
          key, "is no number", "give " + range + " in place of " + terms.text(key));
    }
  }

  private static double item(Settings terms, String key, int place, String range) {
    try {
      return terms.item(key, place, 1);
    } catch (IllegalArgumentException e) {
      throw new InvalidSettingException(
          key, "has no number at place " + place, "give " + range + " for each grade");
    }
  }

  private static String describeRange(String[] bound) {
    return "a number from " + bound[1] + (bound.length > 2 ? " to " + bound[2] : " on");
  }

  private static void requireInRange(String key, double value, String[] bound) {
    double most = bound.length > 2 ? Double.parseDouble(bound[2]) : MAX_VALUE;
    require(
        value >= Double.parseDouble(bound[1]) && value <= most,
        key,
        "is out of its range, " + value,
        "give " + describeRange(bound));
  }

  private static void require(boolean kept, String key, String fault, String remedy) {
    if (!kept) {
      throw new InvalidSettingException(key, fault, remedy);
    }
  }
}
