package gingerring.traffic.scan;

import gingerring.http.MessageHead;
import gingerring.json.Json;
import gingerring.json.JsonFields;
import gingerring.traffic.scan.ObservedScan.ScanOutcome;
import gingerring.traffic.scan.ObservedScan.Target;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A request for a scan and what became of it, still as bytes. {@link #fate} costs a look over them,
 * {@link #seen} reads them whole. A request that did not come whole has none.
 */
public final class Exchange {
  private static final long MILLIS_MOST = 86_400_000;

  private final long number;
  private final long connection;
  private final String client;
  private final Message request;
  private final long firstAt;
  private final long wholeAt;

  /** How much of the answers the client had taken when it asked. */
  final long taken;

  private Message answer;
  private long answeredAt;
  private ScanOutcome fate;
  private String missing = "";

  Exchange(
      long number,
      long connection,
      String client,
      Message request,
      long firstAt,
      long wholeAt,
      long taken) {
    this.number = number;
    this.connection = connection;
    this.client = client;
    this.request = request;
    this.firstAt = firstAt;
    this.wholeAt = wholeAt;
    this.taken = taken;
  }

  boolean scan() {
    return request == null || request.scan();
  }

  Exchange answered(Message whole, long at) {
    answer = whole;
    answeredAt = at;
    return this;
  }

  Exchange left(long at) {
    fate = ScanOutcome.LEFT;
    answeredAt = at;
    return this;
  }

  Exchange incomplete(String why) {
    fate = ScanOutcome.INCOMPLETE;
    missing = why;
    return this;
  }

  public ScanOutcome fate() {
    if (fate == null) {
      int status = answer.status();
      int whole = status == 200 ? answer.skimWhole() : 0;
      fate =
          status == 429 || status == 503
              ? ScanOutcome.NACKED
              : status != 200
                  ? ScanOutcome.SCRAPPED
                  : whole > 0 ? ScanOutcome.WHOLE : whole == 0 ? ScanOutcome.PART : read().fate();
    }
    return fate;
  }

  private Answer read() {
    return Answer.read(answer.head(), answer.body());
  }

  /** Everything there is to know of it. */
  public ObservedScan seen() {
    if (request == null) {
      return new ObservedScan(
          number,
          connection,
          client,
          firstAt,
          0,
          0,
          "",
          "",
          0,
          false,
          null,
          List.of(),
          "",
          new byte[0],
          ScanOutcome.INCOMPLETE,
          0,
          false,
          Map.of(),
          0,
          missing);
    }
    Answer read =
        answer == null ? new Answer(fate, 0, false, Map.of(), Duration.ZERO, missing) : read();
    MessageHead head = request.head();
    byte[] body = request.body();
    List<Target> targets = new ArrayList<>();
    String text = "";
    String wrong = read.wrong();
    try {
      Map<String, Object> object = JsonFields.object(Json.parse(body), "the body");
      text = JsonFields.string(object, "query");
      for (Object each : JsonFields.list(object, "targets")) {
        Map<String, Object> target = JsonFields.object(each, "a target");
        targets.add(
            new Target(
                (int) JsonFields.nonNegativeInteger(target, "partition"),
                JsonFields.number(target, "share")));
      }
    } catch (Json.JsonException e) {
      wrong = wrong.isEmpty() ? "no scan's body: " + e.getMessage() : wrong;
    }
    String remaining = header(head, "X-Remaining-Ms");
    return new ObservedScan(
        number,
        connection,
        client,
        firstAt,
        wholeAt,
        answeredAt,
        header(head, "X-Txn"),
        header(head, "X-Lane"),
        remaining.matches("[0-9]{1,9}") ? Math.min(MILLIS_MOST, Long.parseLong(remaining)) : 0,
        header(head, "X-Resent").equals("1"),
        head.header("Idempotency-Key"),
        targets,
        text,
        again(head, body),
        read.fate(),
        read.status(),
        read.whole(),
        read.values(),
        read.comeBack().toNanos() / 1e9,
        wrong);
  }

  private static String header(MessageHead head, String name) {
    String value = head.header(name);
    return value == null ? "" : value;
  }

  /** The request anew, its body framed by its length. */
  private static byte[] again(MessageHead head, byte[] body) {
    StringBuilder text =
        new StringBuilder(head.methodOrVersion())
            .append(' ')
            .append(head.targetOrStatus())
            .append(" HTTP/1.1\r\n");
    head.headers()
        .forEach(
            (name, value) -> {
              if (!name.equals("transfer-encoding")
                  && !name.equals("content-length")
                  && !name.equals("connection")
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
