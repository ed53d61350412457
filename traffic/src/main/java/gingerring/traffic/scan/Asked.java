package gingerring.traffic.scan;

import gingerring.http.Head;
import gingerring.json.Fields;
import gingerring.json.Json;
import gingerring.traffic.scan.Seen.Fate;
import gingerring.traffic.scan.Seen.Target;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A request that came whole, and what becomes of it. What is no scan becomes nothing. */
record Asked(long number, long connection, String client, Head head, byte[] body, long firstAt, long wholeAt,
    long taken) {
  private static final long MILLIS_MOST = 86_400_000;

  /** A request of which some came. */
  static Seen begun(long number, long connection, String client, long firstAt, String why) {
    return new Seen(number, connection, client, firstAt, 0, 0, "", "", 0, false, null, List.of(), "",
        new byte[0], Fate.INCOMPLETE, 0, false, Map.of(), 0, why);
  }

  boolean scan() {
    return head.first().equals("POST") && head.second().replaceAll("\\?.*", "").equals("/api");
  }

  Seen left(long at) {
    return seen(Fate.LEFT, 0, at, false, Map.of(), 0, "");
  }

  Seen incomplete(String why) {
    return seen(Fate.INCOMPLETE, 0, 0, false, Map.of(), 0, why);
  }

  Seen answered(Head answer, byte[] json, long at) {
    Answer read = Answer.read(answer, json);
    return seen(read.fate(), read.status(), at, read.whole(), read.values(), read.comeBack().toNanos() / 1e9,
        read.wrong());
  }

  private Seen seen(Fate fate, int status, long answeredAt, boolean whole, Map<Integer, String> values,
      double comeBack, String missing) {
    if (!scan()) {
      return null;
    }
    List<Target> targets = new ArrayList<>();
    String text = "";
    try {
      Map<String, Object> object = Fields.object(Json.read(body), "the body");
      text = Fields.text(object, "query");
      for (Object each : Fields.list(object, "targets")) {
        Map<String, Object> target = Fields.object(each, "a target");
        targets.add(new Target((int) Fields.whole(target, "partition"), Fields.number(target, "share")));
      }
    } catch (Json.Malformed e) {
      missing = missing.isEmpty() ? "no scan's body: " + e.getMessage() : missing;
    }
    String remaining = header("X-Remaining-Ms");
    return new Seen(number, connection, client, firstAt, wholeAt, answeredAt, header("X-Txn"), header("X-Lane"),
        remaining.matches("[0-9]{1,9}") ? Math.min(MILLIS_MOST, Long.parseLong(remaining)) : 0,
        header("X-Resent").equals("1"), head.header("Idempotency-Key"), targets, text, request(), fate, status,
        whole, values, comeBack, missing);
  }

  private String header(String name) {
    String value = head.header(name);
    return value == null ? "" : value;
  }

  /** The request anew, its body framed by its length. */
  private byte[] request() {
    StringBuilder text = new StringBuilder(head.first()).append(' ').append(head.second())
        .append(" HTTP/1.1\r\n");
    head.headers().forEach((name, value) -> {
      if (!name.equals("transfer-encoding") && !name.equals("content-length") && !name.equals("connection")
          && !name.equals("expect")) {
        text.append(name).append(": ").append(value).append("\r\n");
      }
    });
    text.append("content-length: ").append(body.length).append("\r\n\r\n");
    ByteArrayOutputStream out = new ByteArrayOutputStream(text.length() + body.length);
    out.writeBytes(text.toString().getBytes(StandardCharsets.ISO_8859_1));
    out.writeBytes(body);
    return out.toByteArray();
  }
}
