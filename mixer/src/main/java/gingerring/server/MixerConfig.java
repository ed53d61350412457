package gingerring.server;

import gingerring.decide.Settings;
import gingerring.discovery.MemberListUpdate;
import gingerring.json.Json;
import gingerring.json.JsonFields;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** All that a mixer is told at its start. */
record MixerConfig(
    String name,
    InetSocketAddress listenAddress,
    InetSocketAddress discoveryAddress,
    long seed,
    int socketLimit,
    MemberListUpdate knownMembers,
    Settings settings) {
  /** Something needed is missing or cannot be read; the message names it, in one line. */
  static final class InvalidConfig extends Exception {
    private static final long serialVersionUID = 1;

    /** What came from the file may hold anything. */
    InvalidConfig(String message) {
      super(message.replaceAll("\\p{Cntrl}", "?"));
    }
  }

  private static final int DEFAULT_SOCKET_LIMIT = 1024;

  /** What the process holds by itself, discovery, a few searchers and a few clients. */
  private static final int MIN_SOCKET_LIMIT = 64;

  static MixerConfig read(Map<String, String> env) throws InvalidConfig {
    String file = env.get("LB_CONFIG");
    if (file == null) {
      throw new InvalidConfig("LB_CONFIG is missing");
    }
    Map<String, Object> told;
    try {
      told = JsonFields.object(Json.parse(Files.readAllBytes(Path.of(file))), "it");
    } catch (IOException | InvalidPathException e) {
      throw new InvalidConfig("LB_CONFIG names a file that cannot be read: " + file);
    } catch (Json.JsonException e) {
      throw new InvalidConfig("LB_CONFIG: " + e.getMessage());
    }
    Map<String, String> flat = new HashMap<>();
    if (!(told.get("settings") instanceof Map<?, ?> settings) || settings.isEmpty()) {
      throw new InvalidConfig("settings is missing or no object: give the deployment's settings");
    }
    flatten("", settings, flat);
    Settings terms = new Settings(flat);
    try {
      SettingsValidator.check(terms);
    } catch (IllegalArgumentException e) {
      throw new InvalidConfig(e.getMessage());
    }
    InetSocketAddress discovery = address(told, "discovery", env.get("LB_DISCOVERY"));
    if (discovery.getPort() == 0) {
      throw new InvalidConfig("discovery has no port: give the address of discovery's agent");
    }
    return new MixerConfig(
        text(told, "name", env.get("LB_NAME")),
        address(told, "listen", env.get("LB_LISTEN")),
        discovery,
        seed(told),
        socketLimit(told),
        knownMembers(told),
        terms);
  }

  /**
   * Whether what a running mixer cannot take over is the same; seed and known list are for a start
   * alone.
   */
  boolean differsOnlyInDiscovery(MixerConfig other) {
    return name.equals(other.name)
        && listenAddress.equals(other.listenAddress)
        && socketLimit == other.socketLimit
        && settings.values().equals(other.settings.values());
  }

  /**
   * Nested values as paths to plain ones, lists of objects counted and numbered, as WIRE has them.
   */
  static void flatten(String path, Object value, Map<String, String> flat) {
    if (value instanceof Map<?, ?> map) {
      map.forEach(
          (name, each) ->
              flatten(path.isEmpty() ? name.toString() : path + '.' + name, each, flat));
    } else if (value instanceof List<?> list && !list.isEmpty() && list.get(0) instanceof Map) {
      flat.put(path + ".count", String.valueOf(list.size()));
      for (int i = 0; i < list.size(); i++) {
        flatten(path + '.' + i, list.get(i), flat);
      }
    } else if (value instanceof List<?> list) {
      flat.put(path, String.join(",", list.stream().map(MixerConfig::scalarText).toList()));
    } else {
      flat.put(path, scalarText(value));
    }
  }

  private static String scalarText(Object value) {
    if (value instanceof Double number) {
      return number == Math.rint(number) && Math.abs(number) < Long.MAX_VALUE
          ? String.valueOf(number.longValue())
          : number.toString();
    }
    return value == null ? "" : value.toString().replace(' ', '_').replace(',', '_');
  }

  private static String text(Map<String, Object> told, String name, String otherwise)
      throws InvalidConfig {
    Object value = told.getOrDefault(name, otherwise);
    if (value instanceof String text && !text.isEmpty()) {
      return text;
    }
    throw new InvalidConfig(name + " is missing");
  }

  private static InetSocketAddress address(Map<String, Object> told, String name, String otherwise)
      throws InvalidConfig {
    try {
      return MemberListUpdate.parseAddress(text(told, name, otherwise));
    } catch (Json.JsonException e) {
      throw new InvalidConfig(name + ": " + e.getMessage());
    }
  }

  private static long seed(Map<String, Object> told) throws InvalidConfig {
    try {
      return Long.parseUnsignedLong(text(told, "seed", null), 16);
    } catch (NumberFormatException e) {
      throw new InvalidConfig("seed is no number in hex digits");
    }
  }

  private static int socketLimit(Map<String, Object> told) throws InvalidConfig {
    double sockets = DEFAULT_SOCKET_LIMIT;
    try {
      Map<String, Object> limits =
          JsonFields.object(told.getOrDefault("limits", Map.of()), "limits");
      if (limits.containsKey("sockets")) {
        sockets = JsonFields.number(limits, "sockets");
      }
    } catch (Json.JsonException e) {
      throw new InvalidConfig(
          "limits.sockets cannot be read (" + e.getMessage() + "): give a number");
    }
    if (sockets < MIN_SOCKET_LIMIT) {
      throw new InvalidConfig(
          "limits.sockets is out of its range, "
              + sockets
              + ": give a number from "
              + MIN_SOCKET_LIMIT
              + " on, and three for each searcher if there are so many");
    }
    return (int) sockets;
  }

  private static MemberListUpdate knownMembers(Map<String, Object> told) throws InvalidConfig {
    try {
      return told.containsKey("known")
          ? MemberListUpdate.parse(told.get("known"))
          : new MemberListUpdate(0, true, List.of());
    } catch (Json.JsonException e) {
      throw new InvalidConfig("known: " + e.getMessage());
    }
  }
}
