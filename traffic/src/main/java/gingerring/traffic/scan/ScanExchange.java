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
 * A scan request and its response, still as bytes. {@link #outcome} examines the response briefly;
 * {@link #toObservedScan} parses everything. A request that was not captured completely is null.
 */
public final class ScanExchange {
  private static final long MAX_REMAINING_MS = 86_400_000;

  private final long number;
  private final long connectionNumber;
  private final String client;
  private final HttpMessage request;
  private final long requestStartNanos;
  private final long requestEndNanos;

  /** How many response bytes the client had acknowledged when it sent the request. */
  final long acknowledgedResponseBytes;

  private HttpMessage response;
  private long responseEndNanos;
  private ScanOutcome outcome;
  private String problem = "";

  ScanExchange(
      long number,
      long connectionNumber,
      String client,
      HttpMessage request,
      long requestStartNanos,
      long requestEndNanos,
      long acknowledgedResponseBytes) {
    this.number = number;
    this.connectionNumber = connectionNumber;
    this.client = client;
    this.request = request;
    this.requestStartNanos = requestStartNanos;
    this.requestEndNanos = requestEndNanos;
    this.acknowledgedResponseBytes = acknowledgedResponseBytes;
  }

  boolean isScan() {
    return request == null || request.isScanRequest();
  }

  ScanExchange completeWith(HttpMessage completeResponse, long nanos) {
    response = completeResponse;
    responseEndNanos = nanos;
    return this;
  }

  ScanExchange markClientLeft(long nanos) {
    outcome = ScanOutcome.LEFT;
    responseEndNanos = nanos;
    return this;
  }

  ScanExchange markIncomplete(String cause) {
    outcome = ScanOutcome.INCOMPLETE;
    problem = cause;
    return this;
  }

  public ScanOutcome outcome() {
    if (outcome == null) {
      int status = response.status();
      int wholeFlag = status == 200 ? response.parseWholeFlag() : 0;
      outcome =
          status == 429 || status == 503
              ? ScanOutcome.NACKED
              : status != 200
                  ? ScanOutcome.SCRAPPED
                  : wholeFlag > 0
                      ? ScanOutcome.WHOLE
                      : wholeFlag == 0 ? ScanOutcome.PART : parseResponse().outcome();
    }
    return outcome;
  }

  private ScanResponse parseResponse() {
    return ScanResponse.parse(response.head(), response.body());
  }

  /** Parses the request and the response completely. */
  public ObservedScan toObservedScan() {
    if (request == null) {
      return new ObservedScan(
          number,
          connectionNumber,
          client,
          requestStartNanos,
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
          problem);
    }
    ScanResponse parsed =
        response == null
            ? new ScanResponse(outcome, 0, false, Map.of(), Duration.ZERO, problem)
            : parseResponse();
    MessageHead head = request.head();
    byte[] body = request.body();
    List<Target> targets = new ArrayList<>();
    String queryText = "";
    String problem = parsed.error();
    try {
      Map<String, Object> object = JsonFields.object(Json.parse(body), "the body");
      queryText = JsonFields.string(object, "query");
      for (Object element : JsonFields.list(object, "targets")) {
        Map<String, Object> target = JsonFields.object(element, "a target");
        targets.add(
            new Target(
                (int) JsonFields.nonNegativeInteger(target, "partition"),
                JsonFields.number(target, "share")));
      }
    } catch (Json.JsonException e) {
      problem = problem.isEmpty() ? "no scan's body: " + e.getMessage() : problem;
    }
    String remaining = headerOrEmpty(head, "X-Remaining-Ms");
    return new ObservedScan(
        number,
        connectionNumber,
        client,
        requestStartNanos,
        requestEndNanos,
        responseEndNanos,
        headerOrEmpty(head, "X-Txn"),
        headerOrEmpty(head, "X-Lane"),
        remaining.matches("[0-9]{1,9}") ? Math.min(MAX_REMAINING_MS, Long.parseLong(remaining)) : 0,
        headerOrEmpty(head, "X-Resent").equals("1"),
        head.header("Idempotency-Key"),
        targets,
        queryText,
        rebuildRequest(head, body),
        parsed.outcome(),
        parsed.status(),
        parsed.whole(),
        parsed.valuesByPartition(),
        parsed.retryAfter().toNanos() / 1e9,
        problem);
  }

  private static String headerOrEmpty(MessageHead head, String name) {
    String value = head.header(name);
    return value == null ? "" : value;
  }

  /** The request with its body framed by a content length. */
  private static byte[] rebuildRequest(MessageHead head, byte[] body) {
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
    ByteArrayOutputStream message = new ByteArrayOutputStream(text.length() + body.length);
    message.writeBytes(text.toString().getBytes(StandardCharsets.ISO_8859_1));
    message.writeBytes(body);
    return message.toByteArray();
  }
}
