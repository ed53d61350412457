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
 * Description of a run of several mixer processes: the base scenario and, under the key {@code
 * fleet}, the mixers, their peer settings and the scheduled faults. Every key has a default;
 * unknown keys and values out of range are rejected with their path.
 *
 * @param peersEnabled whether the mixers exchange peer datagrams
 * @param peerSettings key {@code settings}: copied unchanged into each mixer's peers file
 * @param firstMixerWeight key {@code uneven}: the first mixer's number of clients relative to that
 *     of each other mixer
 * @param byzantinePeers key {@code liars}: number of additional peers that have the fleet's key and
 *     send false reports
 * @param failoverDelay key {@code frontMs}: time after which the emulated load balancer sends the
 *     connections of an unavailable mixer to the next one
 * @param completionTimeout key {@code spareMs}: how long after the end of the run's length the
 *     remaining requests may still complete
 */
public record FleetScenario(
    Scenario scenario,
    int mixers,
    List<String> zones,
    boolean peersEnabled,
    Map<String, Object> peerSettings,
    double firstMixerWeight,
    int byzantinePeers,
    Duration failoverDelay,
    Duration completionTimeout,
    List<Fault> faults) {
  /**
   * One scheduled fault.
   *
   * @param magnitude key {@code size}; its meaning depends on the kind
   */
  public record Fault(
      Kind kind,
      Duration start,
      Duration duration,
      Set<Integer> mixers,
      Set<Integer> boxes,
      double magnitude) {
    /** Kind of fault; scenario files name it in lower case. */
    public enum Kind {
      /**
       * Kills the processes of the fault's mixers and starts new ones, without state, after the
       * fault's duration.
       */
      KILL,
      /**
       * Suspends the processes of the fault's mixers (SIGSTOP) and resumes them after the fault's
       * duration.
       */
      STOP,
      /**
       * Restarts the processes of the fault's mixers in order, one at a time, spread over the
       * fault's duration.
       */
      ROLL,
      /** Cuts the links between the fault's mixers and the fault's boxes in both directions. */
      CUT,
      /** Cuts the peer links between the fault's mixers and all other mixers in both directions. */
      CUT_PEERS,
      /** Drops the peer datagrams that the fault's mixers send to the other mixers. */
      CUT_PEERS_ONE_WAY,
      /**
       * Adds a delay of {@code size} ms, in each direction, to the links between the fault's mixers
       * and boxes.
       */
      DELAY,
      /**
       * Limits what the fault's boxes send to the fault's mixers to {@code size} bytes per second.
       */
      DRIP,
      /** Resets the share {@code size} of the connections between mixers and boxes each second. */
      RESET,
      /**
       * Truncates the share {@code size} of the reads from a box to half and closes the connection.
       */
      CUT_BYTES,
      /** Drops the share {@code size} of the peer datagrams of all mixers. */
      LOSE,
      /** Duplicates the share {@code size} of the peer datagrams of all mixers. */
      DOUBLE,
      /**
       * Delays each peer datagram of any mixer by up to {@code size} ms, which reorders the
       * datagrams.
       */
      REORDER,
      /**
       * Discovery sends the fault's mixers no updates during the fault, and all the missed updates
       * afterwards.
       */
      LIST_SILENT
    }
  }

  private static final List<String> FLEET_KEYS =
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
  private static final List<String> FAULT_KEYS =
      List.of("kind", "atMs", "forMs", "mixers", "share", "boxes", "size");

  public static FleetScenario read(byte[] json) throws InvalidScenario {
    try {
      Map<String, Object> root =
          new LinkedHashMap<>(JsonFields.object(Json.parse(json), "the scenario"));
      Object fleet = root.remove("fleet");
      return read(
          Scenario.read(root), fleet == null ? Map.of() : JsonFields.object(fleet, "fleet"));
    } catch (Json.JsonException e) {
      throw new InvalidScenario(e.getMessage());
    }
  }

  private static FleetScenario read(Scenario scenario, Map<String, Object> fleet)
      throws InvalidScenario, Json.JsonException {
    requireKnownKeys(fleet, FLEET_KEYS, "fleet.");
    int mixers = (int) numberInRange(fleet, "mixers", "fleet.", 8, 1, 1000);
    List<String> zones = new ArrayList<>();
    for (Object element :
        fleet.containsKey("zones") ? JsonFields.list(fleet, "zones") : List.of("a")) {
      if (!(element instanceof String zone) || !zone.matches("[a-z0-9-]{1,20}")) {
        throw new InvalidScenario(
            "fleet.zones." + zones.size() + " is not a valid zone name: " + element);
      }
      zones.add(zone);
    }
    if (zones.isEmpty()) {
      throw new InvalidScenario("fleet.zones is empty");
    }
    List<Fault> faults = new ArrayList<>();
    for (Object element :
        fleet.containsKey("faults") ? JsonFields.list(fleet, "faults") : List.of()) {
      String path = "fleet.faults." + faults.size() + '.';
      faults.add(
          readFault(
              scenario,
              mixers,
              JsonFields.object(element, path + " (fault)"),
              path,
              faults.size()));
    }
    return new FleetScenario(
        scenario,
        mixers,
        List.copyOf(zones),
        fleet.containsKey("peers") && JsonFields.booleanValue(fleet, "peers"),
        fleet.containsKey("settings")
            ? JsonFields.object(fleet.get("settings"), "fleet.settings")
            : Map.of(),
        numberInRange(fleet, "uneven", "fleet.", 1, 0.01, 1000),
        (int) numberInRange(fleet, "liars", "fleet.", 0, 0, 100),
        millis(numberInRange(fleet, "frontMs", "fleet.", 1500, 0, 60_000)),
        millis(numberInRange(fleet, "spareMs", "fleet.", 60_000, 0, 600_000)),
        List.copyOf(faults));
  }

  private static Fault readFault(
      Scenario scenario, int mixers, Map<String, Object> fields, String path, int faultIndex)
      throws InvalidScenario, Json.JsonException {
    requireKnownKeys(fields, FAULT_KEYS, path);
    String kindName = JsonFields.string(fields, "kind");
    for (Fault.Kind kind : Fault.Kind.values()) {
      if (kind.name().equalsIgnoreCase(kindName)) {
        Set<Integer> affectedMixers = indexes(fields, "mixers", path, mixers);
        if (fields.containsKey("share")) {
          int count = (int) Math.round(mixers * numberInRange(fields, "share", path, 1, 0, 1));
          for (long i = 0; affectedMixers.size() < count; i++) {
            affectedMixers.add(
                (int) (SeededDraw.draw(scenario.seed(), "mixers", faultIndex, i) * mixers));
          }
        } else if (!fields.containsKey("mixers")) {
          for (int i = 0; i < mixers; i++) {
            affectedMixers.add(i);
          }
        }
        Set<Integer> boxes = indexes(fields, "boxes", path, scenario.boxes());
        if (!fields.containsKey("boxes")) {
          for (int i = 0; i < scenario.boxes(); i++) {
            boxes.add(i);
          }
        }
        return new Fault(
            kind,
            millis(numberInRange(fields, "atMs", path, 0, 0, 1e9)),
            millis(numberInRange(fields, "forMs", path, 5000, 1, 1e9)),
            affectedMixers,
            boxes,
            numberInRange(fields, "size", path, 0.5, 0, 1e6));
      }
    }
    throw new InvalidScenario(path + "kind is unknown: " + kindName);
  }

  private static void requireKnownKeys(
      Map<String, Object> fields, List<String> knownKeys, String path) throws InvalidScenario {
    for (String key : fields.keySet()) {
      if (!knownKeys.contains(key)) {
        throw new InvalidScenario(
            path + key + " is unknown; known are " + String.join(", ", knownKeys));
      }
    }
  }

  private static double numberInRange(
      Map<String, Object> fields,
      String key,
      String path,
      double defaultValue,
      double min,
      double max)
      throws InvalidScenario, Json.JsonException {
    if (!fields.containsKey(key)) {
      return defaultValue;
    }
    double value = JsonFields.number(fields, key);
    if (value < min || value > max) {
      throw new InvalidScenario(
          path + key + " is out of range: " + value + " is not " + min + " to " + max);
    }
    return value;
  }

  private static Set<Integer> indexes(
      Map<String, Object> fields, String key, String path, int limit)
      throws InvalidScenario, Json.JsonException {
    Set<Integer> indexes = new TreeSet<>();
    for (Object element : fields.containsKey(key) ? JsonFields.list(fields, key) : List.of()) {
      if (!(element instanceof Double number)
          || number != Math.rint(number)
          || number < 0
          || number >= limit) {
        throw new InvalidScenario(
            path + key + " has " + element + ", but there are " + limit + " indexes, from 0 on");
      }
      indexes.add(number.intValue());
    }
    return indexes;
  }

  private static Duration millis(double ms) {
    return Duration.ofNanos((long) (ms * 1e6));
  }
}
