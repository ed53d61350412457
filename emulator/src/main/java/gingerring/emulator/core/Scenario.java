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
 * A described run: the fleet, the service grades, the clients and the troubles at their times. Read
 * from JSON, where everything has a usual value; what is unknown, or out of its range, is refused
 * with its name. Times stand in milliseconds there, and a pair is a range that a seed draws from.
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
    Duration length,
    double requestsPerSecond,
    int clients,
    int maxRetries,
    int maxTrips,
    List<ServiceClass> serviceClasses,
    List<BoxFault> faults) {
  /** A range that is drawn from evenly. */
  public record Range(double low, double high) {
    double interpolate(double share) {
      return low + (high - low) * share;
    }
  }

  /** What a repeat does: nothing, nothing while its mark is known, or harm. */
  public enum RetrySafety {
    IDEMPOTENT,
    KEYED,
    AT_MOST_ONCE
  }

  /**
   * A service grade; {@code folios} is the share of all folios that a scan asks for, {@code late}
   * what an answer after the quoted time still earns, {@code skewed} that a few parts weigh most.
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

  /** What goes wrong with so many boxes; {@code size} is a share or a factor, by kind. */
  public record BoxFault(
      Kind kind, Duration start, Duration duration, int boxCount, double magnitude) {
    /** What goes wrong. */
    public enum Kind {
      /** The process dies and comes back cold. */
      CRASH,
      /** The machine says nothing more, and comes back cold. */
      VANISH,
      /** It takes parts and answers none. */
      HANG,
      /** It fails a share of its parts at once. */
      ERRORS,
      /** It spoils a share of its answers. */
      SPOIL,
      /** It works slower by a factor. */
      SLOW,
      /** It drains, goes, and a cold successor comes. */
      DRAIN,
      /** The list lags by a factor more. */
      STALE,
      /** Its connections break, a share of them each second. */
      BREAK
    }

    public boolean isActive(Duration now) {
      return now.compareTo(start) >= 0 && now.compareTo(start.plus(duration)) < 0;
    }
  }

  /** A description that cannot be; the message names the place. */
  public static final class InvalidScenario extends Exception {
    private static final long serialVersionUID = 1;

    public InvalidScenario(String message) {
      super(message);
    }
  }

  public static Scenario read(byte[] json) throws InvalidScenario {
    try {
      return read(JsonFields.object(Json.parse(json), "the description"));
    } catch (Json.JsonException e) {
      throw new InvalidScenario(e.getMessage());
    }
  }

  /** The same, of an object that has been read. */
  public static Scenario read(Map<String, Object> told) throws InvalidScenario {
    try {
      return new Reading(told, "").world();
    } catch (Json.JsonException e) {
      throw new InvalidScenario(e.getMessage());
    }
  }

  /** The usual one, with nothing set. */
  public static Scenario defaults() {
    try {
      return read("{}".getBytes());
    } catch (InvalidScenario e) {
      throw new IllegalStateException(e);
    }
  }

  /** Reads one object of the description, and refuses what is left over. */
  private static final class Reading {
    private final Map<String, Object> from;
    private final String place;

    Reading(Map<String, Object> from, String place) {
      this.from = new LinkedHashMap<>(from);
      this.place = place;
    }

    Scenario world() throws InvalidScenario, Json.JsonException {
      List<ServiceClass> grades = new ArrayList<>();
      for (Object each : list("grades")) {
        grades.add(
            new Reading(JsonFields.object(each, "a grade"), "grades." + grades.size() + ".")
                .grade());
      }
      int boxes = (int) number("boxes", 12, 1, 2000);
      List<BoxFault> troubles = new ArrayList<>();
      for (Object each : list("troubles")) {
        troubles.add(
            new Reading(JsonFields.object(each, "a trouble"), "troubles." + troubles.size() + ".")
                .trouble(boxes));
      }
      Scenario world =
          new Scenario(
              (long) number("seed", 1, 0, 1L << 53),
              boxes,
              (int) number("folios", boxes, 1, 1 << 16),
              (int) number("copies", Math.min(3, boxes), 1, boxes),
              (int) number("cores", 2, 1, 64),
              number("slowShare", 0.3, 0, 1),
              (int) number("queueMost", 40, 1, 1 << 20),
              number("coldFrom", 0.19, 0.01, 1),
              span("warmUpMs", 18_000),
              number("tipMultiple", 4, 1, 1000),
              span("tipAfterMs", 2000),
              span("drainGraceMs", 1000),
              span("listLagMs", 1500),
              span("handshakeMs", 0),
              span("idleMs", 30_000),
              (int) number("linesMost", 1000, 1, 1 << 20),
              range("pauseMs", 60, 290),
              range("pauseEveryMs", 3000, 9500),
              number("badParts", 0, 0, 1),
              span("lengthMs", 20_000),
              number("rate", 10, 0.01, 1e5),
              (int) number("clients", 40, 1, 50_000),
              (int) number("retries", 3, 0, 100),
              (int) number("trips", 3, 1, 100),
              grades.isEmpty() ? usualGrades() : grades,
              troubles);
      nothingLeft();
      return world;
    }

    private static List<ServiceClass> usualGrades() {
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

    private ServiceClass grade() throws InvalidScenario, Json.JsonException {
      String repeats = text("repeats", "reissuable");
      RetrySafety kind =
          switch (repeats) {
            case "reissuable" -> RetrySafety.IDEMPOTENT;
            case "numbered" -> RetrySafety.KEYED;
            case "at-most-once" -> RetrySafety.AT_MOST_ONCE;
            default -> throw new InvalidScenario(place + "repeats is unknown: " + repeats);
          };
      ServiceClass grade =
          new ServiceClass(
              text("name", null),
              number("share", 1, 0, 1e6),
              span("quotedMs", 2000),
              span("patienceMs", 4000),
              kind,
              span("windowMs", 5000),
              number("floor", 1, 0, 1),
              number("folios", 1, 0, 1),
              range("workMs", 10, 20),
              number("earnings", 1, 0, 1e9),
              number("late", 0, 0, 1),
              flag("skewed"));
      nothingLeft();
      return grade;
    }

    private BoxFault trouble(int boxes) throws InvalidScenario, Json.JsonException {
      String kind = text("kind", null);
      for (BoxFault.Kind each : BoxFault.Kind.values()) {
        if (each.name().equalsIgnoreCase(kind)) {
          BoxFault trouble =
              new BoxFault(
                  each,
                  span("atMs", 0),
                  span("forMs", 5000),
                  (int) number("boxes", 1, 0, boxes),
                  number("size", 0.5, 0, 1000));
          nothingLeft();
          return trouble;
        }
      }
      throw new InvalidScenario(place + "kind is unknown: " + kind);
    }

    private double number(String name, double usual, double least, double most)
        throws InvalidScenario, Json.JsonException {
      if (!from.containsKey(name)) {
        return usual;
      }
      double value = JsonFields.number(from, name);
      from.remove(name);
      if (value < least || value > most) {
        throw new InvalidScenario(
            place + name + " is out of range: " + value + " is not " + least + " to " + most);
      }
      return value;
    }

    private Duration span(String name, double usual) throws InvalidScenario, Json.JsonException {
      return Duration.ofNanos((long) (number(name, usual, 0, 1e9) * 1e6));
    }

    private Range range(String name, double low, double high)
        throws InvalidScenario, Json.JsonException {
      if (!from.containsKey(name)) {
        return new Range(low, high);
      }
      List<Object> pair = JsonFields.list(from, name);
      from.remove(name);
      if (pair.size() != 2
          || !(pair.get(0) instanceof Double one)
          || !(pair.get(1) instanceof Double other)
          || one < 0
          || other < one) {
        throw new InvalidScenario(place + name + " is no pair of numbers from low to high");
      }
      return new Range(one, other);
    }

    private String text(String name, String usual) throws InvalidScenario, Json.JsonException {
      if (!from.containsKey(name)) {
        if (usual == null) {
          throw new InvalidScenario(place + name + " is missing");
        }
        return usual;
      }
      String value = JsonFields.string(from, name);
      from.remove(name);
      return value;
    }

    private boolean flag(String name) throws Json.JsonException {
      boolean value = from.containsKey(name) && JsonFields.booleanValue(from, name);
      from.remove(name);
      return value;
    }

    private List<Object> list(String name) throws Json.JsonException {
      List<Object> value = from.containsKey(name) ? JsonFields.list(from, name) : List.of();
      from.remove(name);
      return value;
    }

    private void nothingLeft() throws InvalidScenario {
      if (!from.isEmpty()) {
        throw new InvalidScenario(place + from.keySet().iterator().next() + " is unknown");
      }
    }
  }

  /** Which boxes hold a folio: the one at which it begins on the ring, and those after. */
  public List<Integer> holders(int folio) {
    List<Integer> holders = new ArrayList<>();
    for (int i = 0; i < replicas; i++) {
      holders.add((folio + i) % boxes);
    }
    return holders;
  }

  /** Which boxes a trouble strikes; the same whatever the pace. */
  public Set<Integer> affectedBoxes(BoxFault trouble) {
    Set<Integer> struck = new TreeSet<>();
    int number = faults.indexOf(trouble);
    for (long i = 0; struck.size() < Math.min(boxes, trouble.boxCount); i++) {
      struck.add((int) (SeededDraw.draw(seed, "struck", number, i) * boxes));
    }
    return struck;
  }

  public ServiceClass serviceClass(String name) {
    return serviceClasses.stream()
        .filter(grade -> grade.name.equals(name))
        .findFirst()
        .orElse(null);
  }
}
