package gingerring.discovery;

import gingerring.decide.Listing.Standing;
import gingerring.json.Fields;
import gingerring.json.Json;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A list of searchers, whole or only what changed, in discovery's form. */
public record Members(long revision, boolean complete, List<Member> members) {
  /** {@code upSinceMs} is Unix time, 0 for long ago; {@code address} is null where one is gone without. */
  public record Member(String id, InetSocketAddress address, String locality, String flavor, int cell,
      Standing standing, float size, double upSinceMs) {}

  private static final int CELL_MOST = 1 << 20;
  private static final int PORT_MOST = 65535;

  public static Members read(Object value) throws Json.Malformed {
    Map<String, Object> list = Fields.object(value, "the list");
    List<Member> members = new ArrayList<>();
    for (Object each : Fields.list(list, "members")) {
      members.add(member(Fields.object(each, "a member")));
    }
    return new Members(Fields.whole(list, "revision"), Fields.flag(list, "complete"), members);
  }

  private static Member member(Map<String, Object> from) throws Json.Malformed {
    String id = Fields.text(from, "id");
    Standing standing = switch (Fields.text(from, "phase")) {
      case "SERVING" -> Standing.READY;
      case "DRAINING" -> Standing.DRAINING;
      case "DELETED" -> Standing.GONE;
      default -> throw new Json.Malformed("phase is unknown");
    };
    if (standing == Standing.GONE && !from.containsKey("host_port")) {
      return new Member(id, null, "", "", 0, standing, 1, 0);
    }
    long cell = Fields.whole(from, "cell");
    if (id.isEmpty() || cell > CELL_MOST) {
      throw new Json.Malformed("id or cell cannot be");
    }
    return new Member(id, address(Fields.text(from, "host_port")), Fields.text(from, "locality"),
        Fields.text(from, "flavor"), (int) cell, standing, (float) Fields.number(from, "size"),
        Fields.number(from, "up_since_ms"));
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
