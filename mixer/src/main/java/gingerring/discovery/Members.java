package gingerring.discovery;

import gingerring.decide.MemberEntry.Status;
import gingerring.json.Fields;
import gingerring.json.Json;
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
public record Members(long revision, boolean complete, List<Member> members) {
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

  private static final int CELL_MOST = 1 << 20;
  private static final int PORT_MOST = 65535;

  /** Times up to then count exactly in nanoseconds from any other. */
  private static final double UP_SINCE_MOST_MS = 9e12;

  public static Members read(Object value) throws Json.Malformed {
    Map<String, Object> list = Fields.object(value, "the list");
    Map<String, Member> members = new LinkedHashMap<>();
    for (Object each : Fields.list(list, "members")) {
      Member member = member(Fields.object(each, "a member"));
      members.put(member.id(), member);
    }
    return new Members(
        Fields.whole(list, "revision"),
        Fields.flag(list, "complete"),
        List.copyOf(members.values()));
  }

  private static Member member(Map<String, Object> from) throws Json.Malformed {
    String id = Fields.text(from, "id");
    Status standing =
        switch (Fields.text(from, "phase")) {
          case "SERVING" -> Status.READY;
          case "DRAINING" -> Status.DRAINING;
          case "DELETED" -> Status.GONE;
          default -> throw new Json.Malformed("phase is unknown");
        };
    if (id.isEmpty()) {
      throw new Json.Malformed("id is empty");
    }
    if (standing == Status.GONE) {
      return new Member(
          id, null, "", "", 0, standing, 1, 0); // whatever else it says, nobody calls it
    }
    long cell = Fields.whole(from, "cell");
    float size = (float) Fields.number(from, "size");
    double upSinceMs = Fields.number(from, "up_since_ms");
    if (cell > CELL_MOST
        || !(size > 0)
        || Float.isInfinite(size)
        || upSinceMs < 0
        || upSinceMs > UP_SINCE_MOST_MS) {
      throw new Json.Malformed("cell, size or up_since_ms cannot be");
    }
    InetSocketAddress address = address(Fields.text(from, "host_port"));
    if (address.getPort() == 0) {
      throw new Json.Malformed("nobody listens at port 0");
    }
    return new Member(
        id,
        address,
        Fields.text(from, "locality"),
        Fields.text(from, "flavor"),
        (int) cell,
        standing,
        size,
        upSinceMs);
  }

  /** An address in figures; names are not looked up. */
  public static InetSocketAddress address(String text) throws Json.Malformed {
    if (!text.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}")) {
      throw new Json.Malformed("no address: " + text);
    }
    int colon = text.indexOf(':');
    int port = Integer.parseInt(text.substring(colon + 1));
    if (port > PORT_MOST) {
      throw new Json.Malformed("no port: " + text);
    }
    byte[] bytes = new byte[4];
    String[] figures = text.substring(0, colon).split("\\.");
    for (int i = 0; i < bytes.length; i++) {
      int figure = Integer.parseInt(figures[i]);
      if (figure > 255) {
        throw new Json.Malformed("no address: " + text);
      }
      bytes[i] = (byte) figure;
    }
    try {
      return new InetSocketAddress(InetAddress.getByAddress(bytes), port);
    } catch (UnknownHostException e) {
      throw new Json.Malformed("no address: " + text);
    }
  }
}
