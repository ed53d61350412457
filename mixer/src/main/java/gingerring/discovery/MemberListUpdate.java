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
 * A list of searchers, whole or only what changed, in discovery's form. One that holds a member
 * that cannot be is refused whole. Of a member that is named twice the last entry counts, as if it
 * had changed in between.
 */
public record MemberListUpdate(long revision, boolean complete, List<Member> members) {
  /**
   * {@code upSinceMs} is Unix time, 0 for long ago; {@code address} is null where one is gone
   * without.
   */
  public record Member(
      String id,
      InetSocketAddress address,
      String locality,
      String flavor,
      int cell,
      Status standing,
      float size,
      double upSinceMs) {}

  private static final int MAX_CELL = 1 << 20;
  private static final int MAX_PORT = 65535;

  /** Times up to then count exactly in nanoseconds from any other. */
  private static final double MAX_UP_SINCE_MS = 9e12;

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
    Status standing =
        switch (JsonFields.string(object, "phase")) {
          case "SERVING" -> Status.READY;
          case "DRAINING" -> Status.DRAINING;
          case "DELETED" -> Status.GONE;
          default -> throw new Json.JsonException("phase is unknown");
        };
    if (id.isEmpty()) {
      throw new Json.JsonException("id is empty");
    }
    if (standing == Status.GONE) {
      return new Member(
          id, null, "", "", 0, standing, 1, 0); // whatever else it says, nobody calls it
    }
    long cell = JsonFields.nonNegativeInteger(object, "cell");
    float size = (float) JsonFields.number(object, "size");
    double upSinceMs = JsonFields.number(object, "up_since_ms");
    if (cell > MAX_CELL
        || !(size > 0)
        || Float.isInfinite(size)
        || upSinceMs < 0
        || upSinceMs > MAX_UP_SINCE_MS) {
      throw new Json.JsonException("cell, size or up_since_ms cannot be");
    }
    InetSocketAddress address = parseAddress(JsonFields.string(object, "host_port"));
    if (address.getPort() == 0) {
      throw new Json.JsonException("nobody listens at port 0");
    }
    return new Member(
        id,
        address,
        JsonFields.string(object, "locality"),
        JsonFields.string(object, "flavor"),
        (int) cell,
        standing,
        size,
        upSinceMs);
  }

  /** An address in figures; names are not looked up. */
  public static InetSocketAddress parseAddress(String text) throws Json.JsonException {
    if (!text.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}")) {
      throw new Json.JsonException("no address: " + text);
    }
    int colon = text.indexOf(':');
    int port = Integer.parseInt(text.substring(colon + 1));
    if (port > MAX_PORT) {
      throw new Json.JsonException("no port: " + text);
    }
    byte[] bytes = new byte[4];
    String[] octets = text.substring(0, colon).split("\\.");
    for (int i = 0; i < bytes.length; i++) {
      int octet = Integer.parseInt(octets[i]);
      if (octet > 255) {
        throw new Json.JsonException("no address: " + text);
      }
      bytes[i] = (byte) octet;
    }
    try {
      return new InetSocketAddress(InetAddress.getByAddress(bytes), port);
    } catch (UnknownHostException e) {
      throw new Json.JsonException("no address: " + text);
    }
  }
}
