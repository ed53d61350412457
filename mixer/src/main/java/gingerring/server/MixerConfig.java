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

/** The configuration that a mixer reads when it starts. */
record MixerConfig(
    String name,
    InetSocketAddress listenAddress,
    InetSocketAddress discoveryAddress,
    long seed,
    int socketLimit,
    int memoryLimitMb,
    double cores,
    MemberListUpdate knownMembers,
    Settings settings) {
  /** Thrown if a required entry is missing or cannot be read; the one-line message names it. */
  static final class InvalidConfig extends Exception {
    private static final long serialVersionUID = 1;

    /** Replaces control characters, since text from the file may contain any. */
    InvalidConfig(String message) {
      super(message.replaceAll("\\p{Cntrl}", "?"));
    }
  }

  private static final int DEFAULT_SOCKET_LIMIT = 1024;

  /** Enough for the process itself, discovery, a few searchers and a few clients. */
  private static final int MIN_SOCKET_LIMIT = 64;

  private static final int DEFAULT_MEMORY_LIMIT_MB = 192;

  /** Below this the heap has no room for requests. */
  private static final int MIN_MEMORY_LIMIT_MB = 16;

  private static final double DEFAULT_CORES = 1;
  private static final double MIN_CORES = 0.01;

  static MixerConfig read(Map<String, String> env) throws InvalidConfig {
    String file = env.get("LB_CONFIG");
    if (file == null) {
      throw new InvalidConfig("LB_CONFIG is missing");
    }
    Map<String, Object> config;
    try {
      config = JsonFields.object(Json.parse(Files.readAllBytes(Path.of(file))), "it");
    } catch (IOException | InvalidPathException e) {
      throw new InvalidConfig("LB_CONFIG names a file that cannot be read: " + file);
    } catch (Json.JsonException e) {
      throw new InvalidConfig("LB_CONFIG: " + e.getMessage());
    }
    Map<String, String> flat = new HashMap<>();
    if (!(config.get("settings") instanceof Map<?, ?> settings) || settings.isEmpty()) {
      throw new InvalidConfig(
          "settings is missing or not an object: give the deployment's settings");
    }
    flatten("", settings, flat);
    Settings settingsRead = new Settings(flat);
    try {
      SettingsValidator.check(settingsRead);
    } catch (IllegalArgumentException e) {
      throw new InvalidConfig(e.getMessage());
    }
    InetSocketAddress discoveryRead = address(config, "discovery", env.get("LB_DISCOVERY"));
    if (discoveryRead.getPort() == 0) {
      throw new InvalidConfig("discovery has no port: give the address of discovery's agent");
    }
    return new MixerConfig(
        text(config, "name", env.get("LB_NAME")),
        address(config, "listen", env.get("LB_LISTEN")),
        discoveryRead,
        seed(config),
        socketLimit(config),
        memoryLimitMb(config),
        cores(config),
        knownMembers(config),
        settingsRead);
  }

  /**
   * Returns whether all that a running mixer cannot change is the same. Seed and known members are
   * used only at the start and are not compared.
   */
  boolean differsOnlyInDiscovery(MixerConfig other) {
    return name.equals(other.name)
        && listenAddress.equals(other.listenAddress)
        && socketLimit == other.socketLimit
        && memoryLimitMb == other.memoryLimitMb
        && cores == other.cores
        && settings.values().equals(other.settings.values());
  }

  /**
   * Flattens nested values to paths, as WIRE describes: a list of objects gets a count, and its
   * items are numbered.
   */
  static void flatten(String path, Object value, Map<String, String> flat) {
    if (value instanceof Map<?, ?> map) {
      map.forEach(
          (name, member) ->
              flatten(path.isEmpty() ? name.toString() : path + '.' + name, member, flat));
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

  private static String text(Map<String, Object> config, String name, String defaultValue)
      throws InvalidConfig {
    Object value = config.getOrDefault(name, defaultValue);
    if (value instanceof String text && !text.isEmpty()) {
      return text;
    }
    throw new InvalidConfig(name + " is missing");
  }

  private static InetSocketAddress address(
      Map<String, Object> config, String name, String defaultValue) throws InvalidConfig {
    try {
      return MemberListUpdate.parseAddress(text(config, name, defaultValue));
    } catch (Json.JsonException e) {
      throw new InvalidConfig(name + ": " + e.getMessage());
    }
  }

  private static long seed(Map<String, Object> config) throws InvalidConfig {
    try {
      return Long.parseUnsignedLong(text(config, "seed", null), 16);
    } catch (NumberFormatException e) {
      throw new InvalidConfig("seed is not a number in hex digits");
    }
  }

  private static int socketLimit(Map<String, Object> config) throws InvalidConfig {
    return (int)
        limit(
            config,
            "sockets",
            DEFAULT_SOCKET_LIMIT,
            MIN_SOCKET_LIMIT,
            "at least three for each searcher");
  }

  private static int memoryLimitMb(Map<String, Object> config) throws InvalidConfig {
    return (int)
        limit(
            config,
            "memory_mb",
            DEFAULT_MEMORY_LIMIT_MB,
            MIN_MEMORY_LIMIT_MB,
            "what the process may take");
  }

  private static double cores(Map<String, Object> config) throws InvalidConfig {
    return limit(config, "cores", DEFAULT_CORES, MIN_CORES, "what the process may take of a core");
  }

  /** Reads a number of "limits"; {@code advice} says what it has to be besides its minimum. */
  private static double limit(
      Map<String, Object> config, String name, double defaultValue, double minimum, String advice)
      throws InvalidConfig {
    double value = defaultValue;
    try {
      Map<String, Object> limits =
          JsonFields.object(config.getOrDefault("limits", Map.of()), "limits");
      if (limits.containsKey(name)) {
        value = JsonFields.number(limits, name);
      }
    } catch (Json.JsonException e) {
      throw new InvalidConfig(
          "limits." + name + " cannot be read (" + e.getMessage() + "): give a number");
    }
    if (value < minimum) {
      throw new InvalidConfig(
          "limits."
              + name
              + " is out of its range, "
              + value
              + ": give a number from "
              + minimum
              + " up, and "
              + advice);
    }
    return value;
  }

  private static MemberListUpdate knownMembers(Map<String, Object> config) throws InvalidConfig {
    try {
      return config.containsKey("known")
          ? MemberListUpdate.parse(config.get("known"))
          : new MemberListUpdate(0, true, List.of());
    } catch (Json.JsonException e) {
      throw new InvalidConfig("known: " + e.getMessage());
    }
  }
}
