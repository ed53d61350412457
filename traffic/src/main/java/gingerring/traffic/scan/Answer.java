package gingerring.traffic.scan;

import gingerring.http.Head;
import gingerring.json.Fields;
import gingerring.json.Json;
import gingerring.traffic.scan.ObservedScan.ScanOutcome;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a mixer answered; {@code comeBack} is zero where it did not say, {@code wrong} empty where
 * all is well.
 */
public record Answer(
    ScanOutcome fate,
    int status,
    boolean whole,
    Map<Integer, String> values,
    Duration comeBack,
    String wrong) {
  public static Answer read(Head head, byte[] body) {
    int status = head.second().matches("[0-9]{3}") ? Integer.parseInt(head.second()) : 0;
    String told = head.header("retry-after");
    Duration comeBack =
        told != null && told.matches("[0-9]{1,6}(\\.[0-9]{1,6})?")
            ? Duration.ofNanos((long) (Double.parseDouble(told) * 1e9))
            : Duration.ZERO;
    if (status != 200) {
      return new Answer(
          status == 429 || status == 503 ? ScanOutcome.NACKED : ScanOutcome.SCRAPPED,
          status,
          false,
          Map.of(),
          comeBack,
          "");
    }
    try {
      Map<String, Object> object = Fields.object(Json.read(body), "the answer");
      Map<Integer, String> values = new TreeMap<>();
      for (Object each : Fields.list(object, "results")) {
        Map<String, Object> result = Fields.object(each, "a result");
        values.put((int) Fields.whole(result, "partition"), Fields.text(result, "value"));
      }
      boolean whole = Fields.flag(object, "whole");
      return new Answer(
          whole ? ScanOutcome.WHOLE : ScanOutcome.PART, status, whole, values, comeBack, "");
    } catch (Json.Malformed e) {
      return new Answer(
          ScanOutcome.SCRAPPED, status, false, Map.of(), comeBack, "an answer without results");
    }
  }
}
