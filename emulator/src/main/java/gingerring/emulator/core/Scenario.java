package gingerring.emulator.core;

import gingerring.json.Json;
import gingerring.json.JsonFields;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * A scenario of an emulated run: the boxes, the service classes, the clients and the scheduled
 * faults. It is read from JSON, where every field has a default; an unknown field, or a value out
 * of range, is rejected by name. Times in JSON are in milliseconds; a pair of numbers is a range
 * from which a value is drawn.
 */
public record Scenario(
    long seed,
    int boxes,
    int partitions,
    int replicas,
    int cores,
    double slowShare,
    int maxQueue,
    double coldCapacityShare,
    Duration warmUp,
    double overloadMultiple,
    Duration overloadDuration,
    Duration drainGrace,
    Duration discoveryLag,
    Duration handshake,
    Duration idleTimeout,
    int maxConnections,
    Range pauseMs,
    Range pauseIntervalMs,
    double failingPartShare,
    Duration duration,
    double requestsPerSecond,
    int clients,
    int maxRetries,
    int maxTrips,
    List<ServiceClass> serviceClasses,
    List<BoxFault> faults) {
  /** A range of a uniform distribution. */
  public record Range(double low, double high) {
    double interpolate(double fraction) {
      return low + (high - low) * fraction;
    }
  }

  /**
   * The effect of executing a request twice: none, none while the idempotency key is stored, or
   * harmful.
   */
  public enum RetrySafety {
    IDEMPOTENT,
    KEYED,
    AT_MOST_ONCE
  }

  /**
   * A service class. {@code partitionShare} is the share of all partitions that a scan requests,
   * {@code lateValueShare} the share of the value that an answer after the latency target still
   * has, and {@code skewed} gives a few parts most of the weight.
   */
  public record ServiceClass(
      String name,
      double trafficShare,
      Duration latencyTarget,
      Duration deadline,
      RetrySafety retrySafety,
      Duration idempotencyWindow,
      double minCoverage,
      double partitionShare,
      Range workMs,
      double value,
      double lateValueShare,
      boolean skewed) {}

  /**
   * A fault at a number of boxes; {@code magnitude} is a share or a factor, depending on the kind.
   */
  public record BoxFault(
      Kind kind, Duration start, Duration duration, int boxCount, double magnitude) {
    /** The kinds of faults. */
    public enum Kind {
      /** The process ends and is restarted cold. */
      CRASH,
      /** The machine stops responding without closing connections and comes back cold. */
      VANISH,
      /** The box accepts parts and answers none. */
      HANG,
      /** The box fails a share of its parts immediately. */
      ERRORS,
      /** The box corrupts a share of its answers. */
      SPOIL,
      /** The box works slower by a factor. */
      SLOW,
      /** The box drains and ends, and a cold replacement starts. */
      DRAIN,
      /** The member list lags behind by an additional factor. */
      STALE,
      /** A share of the connections is reset each second. */
      BREAK
    }

    public boolean isActive(Duration now) {
      return now.compareTo(start) >= 0 && now.compareTo(start.plus(duration)) < 0;
    }
  }

  /** Reports an invalid scenario; the message names the field. */
  public static final class InvalidScenario extends Exception {
    private static final long serialVersionUID = 1;

    public InvalidScenario(String message) {
      super(message);
    }
  }

  public static Scenario read(byte[] json) throws InvalidScenario {
    try {
      return read(JsonFields.object(Json.parse(json), "the scenario"));
    } catch (Json.JsonException e) {
      throw new InvalidScenario(e.getMessage());
    }
  }

  /** Reads a scenario from a parsed JSON object. */
  public static Scenario read(Map<String, Object> json) throws InvalidScenario {
    try {
      return new FieldReader(json, "").scenario();
    } catch (Json.JsonException e) {
      throw new InvalidScenario(e.getMessage());
    }
  }

  /** Returns the default scenario. */
  public static Scenario defaults() {
    try {
      return read("{}".getBytes());
    } catch (InvalidScenario e) {
      throw new IllegalStateException(e);
    }
  }

  /** Reads the fields of one JSON object; {@link #requireNoneLeft} rejects unknown ones. */
  private static final class FieldReader {
    private final Map<String, Object> remaining;
    private final String path;

    FieldReader(Map<String, Object> fields, String place) {
      this.remaining = new LinkedHashMap<>(fields);
      this.path = place;
    }

    Scenario scenario() throws InvalidScenario, Json.JsonException {
      List<ServiceClass> serviceClasses = new ArrayList<>();
      for (Object entry : list("grades")) {
        serviceClasses.add(
            new FieldReader(
                    JsonFields.object(entry, "a service class"),
                    "grades." + serviceClasses.size() + ".")
                .serviceClass());
      }
      int boxes = (int) number("boxes", 12, 1, 2000);
      List<BoxFault> faults = new ArrayList<>();
      for (Object entry : list("troubles")) {
        faults.add(
            new FieldReader(JsonFields.object(entry, "a fault"), "troubles." + faults.size() + ".")
                .fault(boxes));
      }
      Scenario scenario =
          new Scenario(
              (long) number("seed", 1, 0, 1L << 53),
              boxes,
              (int) number("folios", boxes, 1, 1 << 16),
              (int) number("copies", Math.min(3, boxes), 1, boxes),
              (int) number("cores", 2, 1, 64),
              number("slowShare", 0.3, 0, 1),
              (int) number("queueMost", 40, 1, 1 << 20),
              number("coldFrom", 0.19, 0.01, 1),
              duration("warmUpMs", 18_000),
              number("tipMultiple", 4, 1, 1000),
              duration("tipAfterMs", 2000),
              duration("drainGraceMs", 1000),
              duration("listLagMs", 1500),
              duration("handshakeMs", 0),
              duration("idleMs", 30_000),
              (int) number("linesMost", 1000, 1, 1 << 20),
              range("pauseMs", 60, 290),
              range("pauseEveryMs", 3000, 9500),
              number("badParts", 0, 0, 1),
              duration("lengthMs", 20_000),
              number("rate", 10, 0.01, 1e5),
              (int) number("clients", 40, 1, 50_000),
              (int) number("retries", 3, 0, 100),
              (int) number("trips", 3, 1, 100),
              serviceClasses.isEmpty() ? defaultClasses() : serviceClasses,
              faults);
      requireNoneLeft();
      return scenario;
    }

    private static List<ServiceClass> defaultClasses() {
      return List.of(
          new ServiceClass(
              "skill-search",
              0.4,
              Duration.ofSeconds(2),
              Duration.ofSeconds(4),
              RetrySafety.IDEMPOTENT,
              Duration.ZERO,
              0.4,
              1,
              new Range(14, 20),
              5,
              0.3,
              true),
          new ServiceClass(
              "hours-report",
              0.2,
              Duration.ofSeconds(3),
              Duration.ofSeconds(10),
              RetrySafety.IDEMPOTENT,
              Duration.ZERO,
              1,
              0.5,
              new Range(16, 22),
              3,
              0.1,
              false),
          new ServiceClass(
              "signoff-post",
              0.4,
              Duration.ofSeconds(2),
              Duration.ofSeconds(5),
              RetrySafety.KEYED,
              Duration.ofSeconds(5),
              1,
              0.1,
              new Range(12, 16),
              1,
              0,
              false));
    }

    private ServiceClass serviceClass() throws InvalidScenario, Json.JsonException {
      String retrySafetyName = text("repeats", "reissuable");
      RetrySafety retrySafety =
          switch (retrySafetyName) {
            case "reissuable" -> RetrySafety.IDEMPOTENT;
            case "numbered" -> RetrySafety.KEYED;
            case "at-most-once" -> RetrySafety.AT_MOST_ONCE;
            default -> throw new InvalidScenario(path + "repeats is unknown: " + retrySafetyName);
          };
      ServiceClass serviceClass =
          new ServiceClass(
              text("name", null),
              number("share", 1, 0, 1e6),
              duration("quotedMs", 2000),
              duration("patienceMs", 4000),
              retrySafety,
              duration("windowMs", 5000),
              number("floor", 1, 0, 1),
              number("folios", 1, 0, 1),
              range("workMs", 10, 20),
              number("earnings", 1, 0, 1e9),
              number("late", 0, 0, 1),
              flag("skewed"));
      requireNoneLeft();
      return serviceClass;
    }

    private BoxFault fault(int boxes) throws InvalidScenario, Json.JsonException {
      String kind = text("kind", null);
      for (BoxFault.Kind candidate : BoxFault.Kind.values()) {
        if (candidate.name().equalsIgnoreCase(kind)) {
          BoxFault fault =
              new BoxFault(
                  candidate,
                  duration("atMs", 0),
                  duration("forMs", 5000),
                  (int) number("boxes", 1, 0, boxes),
                  number("size", 0.5, 0, 1000));
          requireNoneLeft();
          return fault;
        }
      }
      throw new InvalidScenario(path + "kind is unknown: " + kind);
    }

    private double number(String name, double defaultValue, double min, double max)
        throws InvalidScenario, Json.JsonException {
      if (!remaining.containsKey(name)) {
        return defaultValue;
      }
      double value = JsonFields.number(remaining, name);
      remaining.remove(name);
      if (value < min || value > max) {
        throw new InvalidScenario(
            path + name + " is out of range: " + value + " is not " + min + " to " + max);
      }
      return value;
    }

    private Duration duration(String name, double defaultValue)
        throws InvalidScenario, Json.JsonException {
      return Duration.ofNanos((long) (number(name, defaultValue, 0, 1e9) * 1e6));
    }

    private Range range(String name, double defaultLow, double defaultHigh)
        throws InvalidScenario, Json.JsonException {
      if (!remaining.containsKey(name)) {
        return new Range(defaultLow, defaultHigh);
      }
      List<Object> pair = JsonFields.list(remaining, name);
      remaining.remove(name);
      if (pair.size() != 2
          || !(pair.get(0) instanceof Double low)
          || !(pair.get(1) instanceof Double high)
          || low < 0
          || high < low) {
        throw new InvalidScenario(path + name + " is not a pair of numbers from low to high");
      }
      return new Range(low, high);
    }

    private String text(String name, String defaultValue)
        throws InvalidScenario, Json.JsonException {
      if (!remaining.containsKey(name)) {
        if (defaultValue == null) {
          throw new InvalidScenario(path + name + " is missing");
        }
        return defaultValue;
      }
      String value = JsonFields.string(remaining, name);
      remaining.remove(name);
      return value;
    }

    private boolean flag(String name) throws Json.JsonException {
      boolean value = remaining.containsKey(name) && JsonFields.booleanValue(remaining, name);
      remaining.remove(name);
      return value;
    }

    private List<Object> list(String name) throws Json.JsonException {
      List<Object> value =
          remaining.containsKey(name) ? JsonFields.list(remaining, name) : List.of();
      remaining.remove(name);
      return value;
    }

    private void requireNoneLeft() throws InvalidScenario {
      if (!remaining.isEmpty()) {
        throw new InvalidScenario(path + remaining.keySet().iterator().next() + " is unknown");
      }
    }
  }

  /**
   * Returns the boxes that hold a partition: the box with its number on the ring and those after
   * it.
   */
  public List<Integer> holders(int partition) {
    List<Integer> holders = new ArrayList<>();
    for (int i = 0; i < replicas; i++) {
      holders.add((partition + i) % boxes);
    }
    return holders;
  }

  /** Returns the boxes that a fault affects; they depend on the seed alone. */
  public Set<Integer> affectedBoxes(BoxFault fault) {
    Set<Integer> affected = new TreeSet<>();
    int index = faults.indexOf(fault);
    for (long i = 0; affected.size() < Math.min(boxes, fault.boxCount); i++) {
      affected.add((int) (SeededDraw.draw(seed, "struck", index, i) * boxes));
    }
    return affected;
  }

  public ServiceClass serviceClass(String name) {
    return serviceClasses.stream()
        .filter(serviceClass -> serviceClass.name.equals(name))
        .findFirst()
        .orElse(null);
  }
}
