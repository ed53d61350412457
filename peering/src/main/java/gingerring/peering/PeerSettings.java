package gingerring.peering;

import gingerring.json.Json;
import gingerring.json.JsonFields;
import gingerring.peers.Membership;
import gingerring.peers.MessageAuthenticator;
import gingerring.peers.PeerAddress;
import gingerring.peers.PeerNode;
import java.io.IOException;
import java.net.Inet4Address;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Peer settings of a mixer, read from a JSON file and validated as a whole: all errors are reported
 * at once, each with the name of its setting, and a file with any error is rejected.
 *
 * @param listen the address to receive datagrams at; port 0 takes any free port
 * @param advertised the address at which the peers reach this mixer, null for the bound address
 * @param preferredHolders preferred holders of each partition, 0 for no preference
 */
public record PeerSettings(
    InetSocketAddress listen,
    PeerAddress advertised,
    List<PeerAddress> seeds,
    List<byte[]> keys,
    int preferredHolders,
    PeerNode.Settings nodeSettings) {
  /** Thrown for a file that cannot be used; the message has a line for each error. */
  public static final class InvalidPeerSettings extends IOException {
    private static final long serialVersionUID = 1;

    InvalidPeerSettings(Path file, List<String> errors) {
      super(file + ": " + String.join("\n" + file + ": ", errors));
    }
  }

  private static final List<String> KNOWN_NAMES =
      List.of(
          "listen",
          "advertise",
          "seeds",
          "key_files",
          "prefer",
          "zone",
          "period_ms",
          "ack_ms",
          "helpers",
          "reconnect_ms",
          "forget_ms",
          "peers_most",
          "say_ms",
          "say_to",
          "sees_ms",
          "believes_ms",
          "witnesses",
          "round_ms",
          "step_ms",
          "boxes_most",
          "bytes_per_second");

  /** Reads values of one file and collects the errors. */
  private static final class Parser {
    final Path file;
    final Map<String, Object> values;
    final List<String> errors = new ArrayList<>();

    Parser(Path file, Map<String, Object> values) {
      this.file = file;
      this.values = values;
    }

    double number(String name, double defaultValue, double min, double max, boolean integral) {
      if (!values.containsKey(name)) {
        return defaultValue;
      }
      if (!(values.get(name) instanceof Double number)
          || !(number >= min && number <= max)
          || integral && number != Math.rint(number)) {
        errors.add(
            name
                + " is "
                + values.get(name)
                + ", must be a "
                + (integral ? "whole " : "")
                + "number from "
                + format(min)
                + " to "
                + format(max));
        return defaultValue;
      }
      return number;
    }

    private static String format(double number) {
      return number == Math.rint(number) ? String.valueOf((long) number) : String.valueOf(number);
    }

    int integer(String name, int defaultValue, int min, int max) {
      return (int) number(name, defaultValue, min, max, true);
    }

    Duration duration(String name, Duration defaultValue, double minMs) {
      return Duration.ofNanos(
          (long) (number(name, defaultValue.toNanos() / 1e6, minMs, 86_400_000, false) * 1e6));
    }

    InetSocketAddress address(String name, Object value, boolean allowPortZero) {
      if (value instanceof String text) {
        int colon = text.lastIndexOf(':');
        try {
          int port = Integer.parseInt(text.substring(colon + 1));
          // numeric addresses are not looked up in DNS
          if (colon > 0
              && text.substring(0, colon).matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}")
              && port <= 0xFFFF
              && port >= (allowPortZero ? 0 : 1)) {
            return new InetSocketAddress(InetAddress.getByName(text.substring(0, colon)), port);
          }
        } catch (NumberFormatException | UnknownHostException e) {
          // reported below
        }
      }
      errors.add(
          name
              + " is "
              + value
              + ", must be an IPv4 address and a port, for example \"127.0.0.1:7100\"");
      return null;
    }

    List<Object> list(String name) {
      if (!values.containsKey(name)) {
        return List.of();
      }
      if (values.get(name) instanceof List<?> list) {
        return new ArrayList<>(list);
      }
      errors.add(name + " is not a list");
      return List.of();
    }

    byte[] key(String name, Object value) {
      if (!(value instanceof String text)) {
        errors.add(name + " is not a file name");
        return null;
      }
      try {
        byte[] key = Files.readAllBytes(file.toAbsolutePath().resolveSibling(text));
        MessageAuthenticator.of(List.of(key));
        return key;
      } catch (IOException e) {
        errors.add(name + " names a file that cannot be read: " + text);
      } catch (IllegalArgumentException e) {
        errors.add(name + ", " + text + ": " + e.getMessage());
      }
      return null;
    }
  }

  public static PeerSettings read(Path file) throws IOException {
    Map<String, Object> values;
    try {
      values = new LinkedHashMap<>(JsonFields.object(Json.parse(Files.readAllBytes(file)), "it"));
    } catch (Json.JsonException e) {
      throw new InvalidPeerSettings(file, List.of(e.getMessage()));
    }
    Parser parser = new Parser(file, values);
    for (String name : values.keySet()) {
      if (!KNOWN_NAMES.contains(name)) {
        parser.errors.add(name + " is unknown; known are " + String.join(", ", KNOWN_NAMES));
      }
    }
    InetSocketAddress listen = parser.address("listen", values.get("listen"), true);
    InetSocketAddress advertise =
        values.containsKey("advertise")
            ? parser.address("advertise", values.get("advertise"), false)
            : null;
    List<PeerAddress> seeds = new ArrayList<>();
    for (Object value : parser.list("seeds")) {
      InetSocketAddress seed = parser.address("seeds." + seeds.size(), value, false);
      seeds.add(seed == null ? null : toPeerAddress(seed));
    }
    List<byte[]> keys = new ArrayList<>();
    for (Object value : parser.list("key_files")) {
      keys.add(parser.key("key_files." + keys.size(), value));
    }
    if (keys.isEmpty()) {
      parser.errors.add("key_files must name a file with the fleet's key");
    }
    int preferredHolders = parser.integer("prefer", 0, 0, 1000);
    PeerNode.Settings nodeSettings = parseNodeSettings(parser);
    if (!parser.errors.isEmpty()) {
      throw new InvalidPeerSettings(file, parser.errors);
    }
    return new PeerSettings(
        listen,
        advertise == null ? null : toPeerAddress(advertise),
        List.copyOf(seeds),
        List.copyOf(keys),
        preferredHolders,
        nodeSettings);
  }

  private static PeerNode.Settings parseNodeSettings(Parser parser) {
    PeerNode.Settings defaults = PeerNode.Settings.defaults();
    Membership.Settings membershipDefaults = defaults.membership();
    try {
      return new PeerNode.Settings(
          new Membership.Settings(
              parser.duration("period_ms", membershipDefaults.pingPeriod(), 10),
              parser.duration("ack_ms", membershipDefaults.ackTimeout(), 1),
              parser.integer("helpers", membershipDefaults.helperCount(), 0, 100),
              parser.duration("reconnect_ms", membershipDefaults.reconnectPeriod(), 10),
              parser.duration("forget_ms", membershipDefaults.forgetAfter(), 1000),
              parser.integer("peers_most", membershipDefaults.maxPeers(), 1, 10_000)),
          parser.integer("zone", defaults.zone(), -1, 10_000),
          parser.duration("say_ms", defaults.reportPeriod(), 50),
          parser.integer("say_to", defaults.reportFanout(), 0, 1000),
          parser.duration("sees_ms", defaults.observationSpan(), 100),
          parser.duration("believes_ms", defaults.reportLifetime(), 100),
          parser.integer("witnesses", defaults.minWitnesses(), 1, 1000),
          parser.duration("round_ms", defaults.roundPeriod(), 100),
          parser.duration("step_ms", defaults.roundStep(), 10),
          parser.integer("boxes_most", defaults.maxBoxes(), 1, 100_000),
          parser.integer("bytes_per_second", defaults.maxBytesPerSecond(), 1200, 100_000_000));
    } catch (IllegalArgumentException e) {
      parser.errors.add(e.getMessage()); // settings that contradict each other
      return defaults;
    }
  }

  static PeerAddress toPeerAddress(InetSocketAddress address) {
    byte[] bytes = ((Inet4Address) address.getAddress()).getAddress();
    int number = 0;
    for (byte octet : bytes) {
      number = number << 8 | octet & 0xFF;
    }
    return new PeerAddress(number, address.getPort());
  }

  static InetSocketAddress toSocketAddress(PeerAddress peer) {
    int number = peer.address();
    try {
      return new InetSocketAddress(
          InetAddress.getByAddress(
              new byte[] {
                (byte) (number >> 24), (byte) (number >> 16), (byte) (number >> 8), (byte) number
              }),
          peer.port());
    } catch (UnknownHostException e) {
      throw new IllegalStateException("four bytes are always an IPv4 address", e);
    }
  }
}
