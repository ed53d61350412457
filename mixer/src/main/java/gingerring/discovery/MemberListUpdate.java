package gingerring.discovery;

import gingerring.decide.MemberEntry.Status;
import gingerring.json.Json;
import gingerring.json.JsonFields;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A list of searchers in the format of the discovery service: the complete list, or only the
 * members that changed. A list with an invalid member is rejected as a whole. If a member occurs
 * twice, the last entry counts, as if the member had changed in between.
 */
public record MemberListUpdate(long revision, boolean complete, List<Member> members) {
  /**
   * One searcher. {@code upSinceMs} is Unix time, 0 for long ago; {@code address} is null for a
   * deleted member.
   */
  public record Member(
      String id,
      InetSocketAddress address,
      String locality,
      String flavor,
      int cell,
      Status status,
      float size,
      double upSinceMs) {}

  private static final int MAX_CELL = 1 << 20;
  private static final int MAX_PORT = 65535;

  /** Unix times up to here, and their differences, fit a long in nanoseconds. */
  private static final double MAX_UP_SINCE_MS = 9e12;

  /** Reads a list from parsed JSON. */
  public static MemberListUpdate parse(Object value) throws Json.JsonException {
    Map<String, Object> object = JsonFields.object(value, "the list");
    Map<String, Member> members = new LinkedHashMap<>();
    for (Object entry : JsonFields.list(object, "members")) {
      Member member = parseMember(JsonFields.object(entry, "a member"));
      members.put(member.id(), member);
    }
    return new MemberListUpdate(
        JsonFields.nonNegativeInteger(object, "revision"),
        JsonFields.booleanValue(object, "complete"),
        List.copyOf(members.values()));
  }

  private static Member parseMember(Map<String, Object> object) throws Json.JsonException {
    String id = JsonFields.string(object, "id");
    Status status =
        switch (JsonFields.string(object, "phase")) {
          case "SERVING" -> Status.READY;
          case "DRAINING" -> Status.DRAINING;
          case "DELETED" -> Status.GONE;
          default -> throw new Json.JsonException("phase is unknown");
        };
    if (id.isEmpty()) {
      throw new Json.JsonException("id is empty");
    }
    if (status == Status.GONE) {
      // other fields are ignored: a deleted member is never dialled
      return new Member(id, null, "", "", 0, status, 1, 0);
    }
    long cell = JsonFields.nonNegativeInteger(object, "cell");
    float size = (float) JsonFields.number(object, "size");
    double upSinceMs = JsonFields.number(object, "up_since_ms");
    if (cell > MAX_CELL
        || !(size > 0)
        || Float.isInfinite(size)
        || upSinceMs < 0
        || upSinceMs > MAX_UP_SINCE_MS) {
      throw new Json.JsonException("cell, size or up_since_ms is out of range");
    }
    InetSocketAddress address = parseAddress(JsonFields.string(object, "host_port"));
    if (address.getPort() == 0) {
      throw new Json.JsonException("host_port has port 0");
    }
    return new Member(
        id,
        address,
        JsonFields.string(object, "locality"),
        JsonFields.string(object, "flavor"),
        (int) cell,
        status,
        size,
        upSinceMs);
  }

  /** Parses a numeric IPv4 address and port; host names are not resolved. */
  public static InetSocketAddress parseAddress(String text) throws Json.JsonException {
    if (!text.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}")) {
      throw new Json.JsonException("not an IPv4 address and port: " + text);
    }
    int colon = text.indexOf(':');
    int port = Integer.parseInt(text.substring(colon + 1));
    if (port > MAX_PORT) {
      throw new Json.JsonException("port is out of range: " + text);
    }
    byte[] bytes = new byte[4];
    String[] octets = text.substring(0, colon).split("\\.");
    for (int i = 0; i < bytes.length; i++) {
      int octet = Integer.parseInt(octets[i]);
      if (octet > 255) {
        throw new Json.JsonException("not an IPv4 address and port: " + text);
      }
      bytes[i] = (byte) octet;
    }
    try {
      return new InetSocketAddress(InetAddress.getByAddress(bytes), port);
    } catch (UnknownHostException e) {
      throw new Json.JsonException("not an IPv4 address and port: " + text);
    }
  }
}
