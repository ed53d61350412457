package gingerring.emulator.harness;

import gingerring.emulator.core.Scenario;
import gingerring.emulator.core.Scenario.InvalidScenario;
import gingerring.emulator.core.SeededDraw;
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
 * A described run of a fleet: the world, and in {@code fleet} the mixers, their talk and the faults
 * at their times. Everything has a usual value; what is unknown or out of range is refused with its
 * place.
 *
 * @param peers whether mixers talk; {@code settings} goes into the file of their peers as it is
 * @param uneven how many times the others' clients the first mixer has
 * @param spare how long after the run's time its last wishes may have their ends
 * @param liars so many further peers that hold the key and say what is false
 */
public record FleetScenario(
    Scenario world,
    int mixers,
    List<String> zones,
    boolean peers,
    Map<String, Object> settings,
    double uneven,
    int liars,
    Duration front,
    Duration spare,
    List<Fault> faults) {
  /** One thing that goes wrong; {@code size} by kind. */
  public record Fault(
      Kind kind, Duration at, Duration span, Set<Integer> mixers, Set<Integer> boxes, double size) {
    /** What goes wrong. */
    public enum Kind {
      /** Processes are killed, and new ones start empty after the span. */
      KILL,
      /** Processes are stopped, and go on after the span. */
      STOP,
      /** Processes are ended and started anew by turns over the span. */
      ROLL,
      /** Mixers and boxes hear nothing of each other. */
      CUT,
      /** The mixers hear nothing of the other mixers, nor those of them. */
      CUT_PEERS,
      /** The other mixers hear nothing of these. */
      CUT_PEERS_ONE_WAY,
      /** What goes between mixers and boxes takes so many ms more, each way. */
      DELAY,
      /** What boxes send to mixers comes at so many bytes a second. */
      DRIP,
      /** Connections between mixers and boxes are reset, such a share of them each second. */
      RESET,
      /** Of such a share of what boxes send to mixers half is cut out, and the connection ends. */
      CUT_BYTES,
      /** Such a share of datagrams is lost. */
      LOSE,
      /** Such a share of datagrams comes twice. */
      DOUBLE,
      /** Datagrams come up to so many ms late, and so in another order. */
      REORDER,
      /** Discovery says nothing to the mixers, and then all. */
      LIST_SILENT
    }
  }

  private static final List<String> FLEET =
      List.of(
          "mixers",
          "zones",
          "peers",
          "settings",
          "uneven",
          "liars",
          "frontMs",
          "spareMs",
          "faults");
  private static final List<String> FAULT =
      List.of("kind", "atMs", "forMs", "mixers", "share", "boxes", "size");

  public static FleetScenario read(byte[] json) throws InvalidScenario {
    try {
      Map<String, Object> all =
          new LinkedHashMap<>(JsonFields.object(Json.parse(json), "the description"));
      Object fleet = all.remove("fleet");
      return read(Scenario.read(all), fleet == null ? Map.of() : JsonFields.object(fleet, "fleet"));
    } catch (Json.JsonException e) {
      throw new InvalidScenario(e.getMessage());
    }
  }

  private static FleetScenario read(Scenario world, Map<String, Object> fleet)
      throws InvalidScenario, Json.JsonException {
    known(fleet, FLEET, "fleet.");
    int mixers = (int) number(fleet, "mixers", "fleet.", 8, 1, 1000);
    List<String> zones = new ArrayList<>();
    for (Object each :
        fleet.containsKey("zones") ? JsonFields.list(fleet, "zones") : List.of("a")) {
      if (!(each instanceof String zone) || !zone.matches("[a-z0-9-]{1,20}")) {
        throw new InvalidScenario("fleet.zones." + zones.size() + " is no name of a zone: " + each);
      }
      zones.add(zone);
    }
    if (zones.isEmpty()) {
      throw new InvalidScenario("fleet.zones names none");
    }
    List<Fault> faults = new ArrayList<>();
    for (Object each : fleet.containsKey("faults") ? JsonFields.list(fleet, "faults") : List.of()) {
      String place = "fleet.faults." + faults.size() + '.';
      faults.add(
          fault(world, mixers, JsonFields.object(each, place + " here"), place, faults.size()));
    }
    return new FleetScenario(
        world,
        mixers,
        List.copyOf(zones),
        fleet.containsKey("peers") && JsonFields.booleanValue(fleet, "peers"),
        fleet.containsKey("settings")
            ? JsonFields.object(fleet.get("settings"), "fleet.settings")
            : Map.of(),
        number(fleet, "uneven", "fleet.", 1, 0.01, 1000),
        (int) number(fleet, "liars", "fleet.", 0, 0, 100),
        millis(number(fleet, "frontMs", "fleet.", 1500, 0, 60_000)),
        millis(number(fleet, "spareMs", "fleet.", 60_000, 0, 600_000)),
        List.copyOf(faults));
  }

  private static Fault fault(
      Scenario world, int mixers, Map<String, Object> told, String place, int number)
      throws InvalidScenario, Json.JsonException {
    known(told, FAULT, place);
    String name = JsonFields.string(told, "kind");
    for (Fault.Kind kind : Fault.Kind.values()) {
      if (kind.name().equalsIgnoreCase(name)) {
        Set<Integer> some = numbers(told, "mixers", place, mixers);
        if (told.containsKey("share")) {
          int count = (int) Math.round(mixers * number(told, "share", place, 1, 0, 1));
          for (long i = 0; some.size() < count; i++) {
            some.add((int) (SeededDraw.draw(world.seed(), "mixers", number, i) * mixers));
          }
        } else if (!told.containsKey("mixers")) {
          for (int i = 0; i < mixers; i++) {
            some.add(i);
          }
        }
        Set<Integer> boxes = numbers(told, "boxes", place, world.boxes());
        if (!told.containsKey("boxes")) {
          for (int i = 0; i < world.boxes(); i++) {
            boxes.add(i);
          }
        }
        return new Fault(
            kind,
            millis(number(told, "atMs", place, 0, 0, 1e9)),
            millis(number(told, "forMs", place, 5000, 1, 1e9)),
            some,
            boxes,
            number(told, "size", place, 0.5, 0, 1e6));
      }
    }
    throw new InvalidScenario(place + "kind is unknown: " + name);
  }

  private static void known(Map<String, Object> told, List<String> names, String place)
      throws InvalidScenario {
    for (String name : told.keySet()) {
      if (!names.contains(name)) {
        throw new InvalidScenario(
            place + name + " is unknown; known are " + String.join(", ", names));
      }
    }
  }

  private static double number(
      Map<String, Object> told, String name, String place, double usual, double least, double most)
      throws InvalidScenario, Json.JsonException {
    if (!told.containsKey(name)) {
      return usual;
    }
    double value = JsonFields.number(told, name);
    if (value < least || value > most) {
      throw new InvalidScenario(
          place + name + " is out of range: " + value + " is not " + least + " to " + most);
    }
    return value;
  }

  private static Set<Integer> numbers(
      Map<String, Object> told, String name, String place, int count)
      throws InvalidScenario, Json.JsonException {
    Set<Integer> numbers = new TreeSet<>();
    for (Object each : told.containsKey(name) ? JsonFields.list(told, name) : List.of()) {
      if (!(each instanceof Double number)
          || number != Math.rint(number)
          || number < 0
          || number >= count) {
        throw new InvalidScenario(
            place + name + " has " + each + ", and there are " + count + " from 0 on");
      }
      numbers.add(number.intValue());
    }
    return numbers;
  }

  private static Duration millis(double ms) {
    return Duration.ofNanos((long) (ms * 1e6));
  }
}
