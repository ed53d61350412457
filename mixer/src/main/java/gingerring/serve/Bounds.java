package gingerring.serve;

import gingerring.decide.Terms;
import java.util.List;

/**
 * What the settings must keep to. The mixer reads some of them only when it first needs them, long after its
 * start: what it could not use then is named before it.
 */
final class Bounds {
  /** Each with the least that it may be and the most, if there is one; {@code *} for each service grade. */
  private static final List<String> NUMBERS = List.of("FleetSize 1", "Domain.Batch 1", "Domain.Places 1",
      "Domain.Reach 1", "Domain.Slices 1", "PolicyLimits.ConnIdleMs 0", "PolicyLimits.DialTimeoutMs 0",
      "PolicyLimits.MaxAttempts 1", "PolicyLimits.MaxRetryAfterMs 0", "PolicyLimits.MostHeld 1",
      "PolicyLimits.StreamsPerConn 1", "Safety.ColdFrom 0 1", "Safety.DrainGraceMs 0", "Safety.ExtraFree 0",
      "Safety.ResendRatio 0", "Safety.ResendSpanMs 1", "Safety.TipAfterMs 1", "Safety.TipMultiple 0",
      "Safety.WarmUpMs 0", "Classes.*.AimMs 0", "Classes.*.AimStretch 0", "Classes.*.HardLimitMs 1",
      "Classes.*.LateWorth 0 1", "Classes.*.WindowMs 0");
  private static final List<String> BY_GRADE = List.of("Domain.ClassFetch 0", "Domain.ClassFloor 0 1",
      "Domain.NeedByClass 0 1");
  private static final List<String> FLAGS = List.of("PolicyLimits.Cancel", "PolicyLimits.Probing",
      "PolicyLimits.RetryAfter", "PolicyLimits.SecondCopies");
  private static final List<String> CHOICES = List.of("Discovery automatic subscribe",
      "LoadReport.Source answers probe none");
  private static final List<String> BUDGET = List.of("Safety.ExtraFree", "Safety.ResendRatio",
      "Safety.ResendSpanMs");
  /** The largest time that still counts exactly in nanoseconds, as on the wire. */
  private static final double MOST = 9e12;

  private Bounds() {}

  /** Throws with the name of a setting that cannot be used. */
  static void check(Terms terms) {
    int grades = terms.count("Classes.count");
    for (String line : NUMBERS) {
      String[] bound = line.split(" ");
      for (int i = 0; i < (bound[0].contains("*") ? grades : 1); i++) {
        String key = bound[0].replace("*", String.valueOf(i));
        if (terms.has(key)) {
          within(key, terms.number(key), bound);
        }
      }
    }
    for (String line : BY_GRADE) {
      String[] bound = line.split(" ");
      for (int i = 0; i < grades; i++) {
        within(bound[0], terms.item(bound[0], i, 1), bound);
      }
    }
    for (String key : FLAGS) {
      must(!terms.has(key) || terms.text(key).equals("true") || terms.text(key).equals("false"), key,
          "is neither true nor false");
    }
    for (String line : CHOICES) {
      List<String> choice = List.of(line.split(" "));
      String key = choice.get(0);
      must(!terms.has(key) || choice.lastIndexOf(terms.text(key)) > 0, key, "is unknown");
    }
    long told = BUDGET.stream().filter(terms::has).count();
    for (String key : BUDGET) {
      must(told == 0 || terms.has(key), key, "is missing beside the others of a budget");
    }
    terms.span("Safety.WarmUpMs");
  }

  private static void within(String key, double value, String[] bound) {
    double most = bound.length > 2 ? Double.parseDouble(bound[2]) : MOST;
    must(value >= Double.parseDouble(bound[1]) && value <= most, key, "is out of its range: " + value);
  }

  private static void must(boolean kept, String key, String why) {
    if (!kept) {
      throw new IllegalArgumentException("setting " + key + " " + why);
    }
  }
}
