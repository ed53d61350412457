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
 * What a mixer is told of its peers, from a JSON file, checked as a whole: all that is wrong with
 * it is said at once, with the name of each place, and then nothing of it is taken.
 *
 * @param listen where datagrams come in; port 0 takes any
 * @param advertised where the others reach it, null for the place listened at
 * @param preferredHolders holders preferred of each folio, 0 to prefer none
 */
public record PeerSettings(
    InetSocketAddress listen,
    PeerAddress advertised,
    List<PeerAddress> seeds,
    List<byte[]> keys,
    int preferredHolders,
    PeerNode.Settings nodeSettings) {
  /** A file that cannot be used; a line for each thing that is wrong. */
  public static final class InvalidPeerSettings extends IOException {
    private static final long serialVersionUID = 1;

    InvalidPeerSettings(Path file, List<String> complaints) {
      super(file + ": " + String.join("\n" + file + ": ", complaints));
    }
  }

  private static final List<String> NAMES =
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

  /** One reading, with what it complains of. */
  private static final class Reading {
    final Path file;
    final Map<String, Object> told;
    final List<String> complaints = new ArrayList<>();

    Reading(Path file, Map<String, Object> told) {
      this.file = file;
      this.told = told;
    }

    double number(String name, double usual, double least, double most, boolean whole) {
      if (!told.containsKey(name)) {
        return usual;
      }
      if (!(told.get(name) instanceof Double number)
          || !(number >= least && number <= most)
          || whole && number != Math.rint(number)) {
        complaints.add(
            name
                + " is "
                + told.get(name)
                + ", and has to be a "
                + (whole ? "whole " : "")
                + "number from "
                + plain(least)
                + " to "
                + plain(most));
        return usual;
      }
      return number;
    }

    private static String plain(double number) {
      return number == Math.rint(number) ? String.valueOf((long) number) : String.valueOf(number);
    }

    int count(String name, int usual, int least, int most) {
      return (int) number(name, usual, least, most, true);
    }

    Duration span(String name, Duration usual, double leastMs) {
      return Duration.ofNanos(
          (long) (number(name, usual.toNanos() / 1e6, leastMs, 86_400_000, false) * 1e6));
    }

    InetSocketAddress address(String name, Object value, boolean anyPort) {
      if (value instanceof String text) {
        int colon = text.lastIndexOf(':');
        try {
          int port = Integer.parseInt(text.substring(colon + 1));
          // an address as digits is not looked up
          if (colon > 0
              && text.substring(0, colon).matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}")
              && port <= 0xFFFF
              && port >= (anyPort ? 0 : 1)) {
            return new InetSocketAddress(InetAddress.getByName(text.substring(0, colon)), port);
          }
        } catch (NumberFormatException | UnknownHostException e) {
          // said below
        }
      }
      complaints.add(
          name
              + " is "
              + value
              + ", and has to be an IPv4 address and a port, as \"127.0.0.1:7100\"");
      return null;
    }

    List<Object> list(String name) {
      if (!told.containsKey(name)) {
        return List.of();
      }
      if (told.get(name) instanceof List<?> list) {
        return new ArrayList<>(list);
      }
      complaints.add(name + " is no list");
      return List.of();
    }

    byte[] key(String name, Object value) {
      if (!(value instanceof String text)) {
        complaints.add(name + " is no file name");
        return null;
      }
      try {
        byte[] key = Files.readAllBytes(file.toAbsolutePath().resolveSibling(text));
        MessageAuthenticator.of(List.of(key));
        return key;
      } catch (IOException e) {
        complaints.add(name + " names a file that cannot be read: " + text);
      } catch (IllegalArgumentException e) {
        complaints.add(name + ", " + text + ": " + e.getMessage());
      }
      return null;
    }
  }

  public static PeerSettings read(Path file) throws IOException {
    Map<String, Object> told;
    try {
      told = new LinkedHashMap<>(JsonFields.object(Json.parse(Files.readAllBytes(file)), "it"));
    } catch (Json.JsonException e) {
      throw new InvalidPeerSettings(file, List.of(e.getMessage()));
    }
    Reading reading = new Reading(file, told);
    for (String name : told.keySet()) {
      if (!NAMES.contains(name)) {
        reading.complaints.add(name + " is unknown; known are " + String.join(", ", NAMES));
      }
    }
    InetSocketAddress listen = reading.address("listen", told.get("listen"), true);
    InetSocketAddress advertise =
        told.containsKey("advertise")
            ? reading.address("advertise", told.get("advertise"), false)
            : null;
    List<PeerAddress> seeds = new ArrayList<>();
    for (Object each : reading.list("seeds")) {
      InetSocketAddress seed = reading.address("seeds." + seeds.size(), each, false);
      seeds.add(seed == null ? null : toPeerAddress(seed));
    }
    List<byte[]> keys = new ArrayList<>();
    for (Object each : reading.list("key_files")) {
      keys.add(reading.key("key_files." + keys.size(), each));
    }
    if (keys.isEmpty()) {
      reading.complaints.add("key_files has to name a file with the fleet's key");
    }
    int prefer = reading.count("prefer", 0, 0, 1000);
    PeerNode.Settings rules = rules(reading);
    if (!reading.complaints.isEmpty()) {
      throw new InvalidPeerSettings(file, reading.complaints);
    }
    return new PeerSettings(
        listen,
        advertise == null ? null : toPeerAddress(advertise),
        List.copyOf(seeds),
        List.copyOf(keys),
        prefer,
        rules);
  }

  private static PeerNode.Settings rules(Reading reading) {
    PeerNode.Settings usual = PeerNode.Settings.defaults();
    Membership.Settings known = usual.membership();
    try {
      return new PeerNode.Settings(
          new Membership.Settings(
              reading.span("period_ms", known.pingPeriod(), 10),
              reading.span("ack_ms", known.ackTimeout(), 1),
              reading.count("helpers", known.helperCount(), 0, 100),
              reading.span("reconnect_ms", known.reconnectPeriod(), 10),
              reading.span("forget_ms", known.forgetAfter(), 1000),
              reading.count("peers_most", known.maxPeers(), 1, 10_000)),
          reading.count("zone", usual.zone(), -1, 10_000),
          reading.span("say_ms", usual.reportPeriod(), 50),
          reading.count("say_to", usual.reportFanout(), 0, 1000),
          reading.span("sees_ms", usual.observationSpan(), 100),
          reading.span("believes_ms", usual.reportLifetime(), 100),
          reading.count("witnesses", usual.minWitnesses(), 1, 1000),
          reading.span("round_ms", usual.roundPeriod(), 100),
          reading.span("step_ms", usual.roundStep(), 10),
          reading.count("boxes_most", usual.maxBoxes(), 1, 100_000),
          reading.count("bytes_per_second", usual.maxBytesPerSecond(), 1200, 100_000_000));
    } catch (IllegalArgumentException e) {
      reading.complaints.add(e.getMessage()); // what does not go together
      return usual;
    }
  }

  static PeerAddress toPeerAddress(InetSocketAddress address) {
    byte[] bytes = ((Inet4Address) address.getAddress()).getAddress();
    int number = 0;
    for (byte each : bytes) {
      number = number << 8 | each & 0xFF;
    }
    return new PeerAddress(number, address.getPort());
  }

  static InetSocketAddress toSocketAddress(PeerAddress place) {
    int number = place.address();
    try {
      return new InetSocketAddress(
          InetAddress.getByAddress(
              new byte[] {
                (byte) (number >> 24), (byte) (number >> 16), (byte) (number >> 8), (byte) number
              }),
          place.port());
    } catch (UnknownHostException e) {
      throw new IllegalStateException("four bytes are an address", e);
    }
  }
}
