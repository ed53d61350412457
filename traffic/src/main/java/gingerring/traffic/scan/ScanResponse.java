package gingerring.traffic.scan;

import gingerring.http.MessageHead;
import gingerring.json.Json;
import gingerring.json.JsonFields;
import gingerring.traffic.scan.ObservedScan.ScanOutcome;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;

/**
 * A mixer's response to a scan. {@code retryAfter} is zero if the response names no delay; {@code
 * error} is empty if the response could be parsed.
 */
public record ScanResponse(
    ScanOutcome outcome,
    int status,
    boolean whole,
    Map<Integer, String> valuesByPartition,
    Duration retryAfter,
    String error) {
  public static ScanResponse parse(MessageHead head, byte[] body) {
    int status =
        head.targetOrStatus().matches("[0-9]{3}") ? Integer.parseInt(head.targetOrStatus()) : 0;
    String retryAfterHeader = head.header("retry-after");
    Duration retryAfter =
        retryAfterHeader != null && retryAfterHeader.matches("[0-9]{1,6}(\\.[0-9]{1,6})?")
            ? Duration.ofNanos((long) (Double.parseDouble(retryAfterHeader) * 1e9))
            : Duration.ZERO;
    if (status != 200) {
      return new ScanResponse(
          status == 429 || status == 503 ? ScanOutcome.NACKED : ScanOutcome.SCRAPPED,
          status,
          false,
          Map.of(),
          retryAfter,
          "");
    }
    try {
      Map<String, Object> object = JsonFields.object(Json.parse(body), "the answer");
      Map<Integer, String> valuesByPartition = new TreeMap<>();
      for (Object element : JsonFields.list(object, "results")) {
        Map<String, Object> result = JsonFields.object(element, "a result");
        valuesByPartition.put(
            (int) JsonFields.nonNegativeInteger(result, "partition"),
            JsonFields.string(result, "value"));
      }
      boolean whole = JsonFields.booleanValue(object, "whole");
      return new ScanResponse(
          whole ? ScanOutcome.WHOLE : ScanOutcome.PART,
          status,
          whole,
          valuesByPartition,
          retryAfter,
          "");
    } catch (Json.JsonException e) {
      return new ScanResponse(
          ScanOutcome.SCRAPPED, status, false, Map.of(), retryAfter, "an answer without results");
    }
  }
}
