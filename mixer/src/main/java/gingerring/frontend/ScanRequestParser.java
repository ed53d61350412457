package gingerring.frontend;

import gingerring.decide.Settings;
import gingerring.http.HttpException;
import gingerring.http.MessageHead;
import gingerring.json.Json;
import gingerring.json.JsonFields;
import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/** Reads a scan out of a request's headers and body; whatever is off is a 400. */
final class ScanRequestParser {
  private static final int MAX_ID_LENGTH = 128;
  private static final Pattern MILLIS = Pattern.compile("[0-9]{1,9}");
  private static final Pattern ROUTE = Pattern.compile("[0-9a-fA-F]{16}");
  private static final long MAX_WORK_MICROS = 86_400_000_000L;

  /** How far from 1 shares may sum up for their rounding. An answer is whole by their sum. */
  private static final double SHARE_SUM_TOLERANCE = 0.01;

  private final Map<String, Integer> serviceClasses = new HashMap<>();
  private final List<Boolean> keyed = new ArrayList<>();
  private final List<Duration> maxDeadlines = new ArrayList<>();
  private final int shardCount;

  ScanRequestParser(Settings terms) {
    for (int i = 0; i < terms.count("Classes.count"); i++) {
      serviceClasses.put(terms.text("Classes." + i + ".Name"), i);
      maxDeadlines.add(terms.duration("Classes." + i + ".HardLimitMs"));
      keyed.add(terms.text("Classes." + i + ".Idempotency").equals("deduplicated"));
    }
    shardCount = terms.count("Domain.Slices");
  }

  ScanRequest parse(MessageHead head, byte[] body) throws HttpException {
    String mark = idHeader(head, "X-Txn");
    Integer grade =
        serviceClasses.get(
            String.valueOf(head.header("X-Lane")).replace(' ', '_').replace(',', '_'));
    if (grade == null) {
      throw new HttpException(400, "no known X-Lane");
    }
    String remaining = head.header("X-Remaining-Ms");
    if (remaining == null || !MILLIS.matcher(remaining).matches()) {
      throw new HttpException(400, "no X-Remaining-Ms");
    }
    String key = keyed.get(grade) ? idHeader(head, "Idempotency-Key") : null;
    try {
      Map<String, Object> object = JsonFields.object(Json.parse(body), "the body");
      return new ScanRequest(
          mark,
          grade,
          "1".equals(head.header("X-Resent")),
          key,
          deadline(grade, Long.parseLong(remaining)),
          parseTargets(JsonFields.list(object, "targets")),
          encodeUtf8(JsonFields.string(object, "query")));
    } catch (Json.JsonException e) {
      throw new HttpException(400, e.getMessage());
    }
  }

  /**
   * No client of a grade waits longer than the settings say. Guards against a figure that keeps it
   * here.
   */
  private Duration deadline(int grade, long millis) {
    Duration most = maxDeadlines.get(grade);
    return Duration.ofMillis(millis).compareTo(most) < 0 ? Duration.ofMillis(millis) : most;
  }

  /** A searcher is to get the text unchanged: half of a surrogate pair has no bytes. */
  private static byte[] encodeUtf8(String text) throws Json.JsonException {
    try {
      ByteBuffer bytes = StandardCharsets.UTF_8.newEncoder().encode(CharBuffer.wrap(text));
      return Arrays.copyOf(bytes.array(), bytes.limit());
    } catch (CharacterCodingException e) {
      throw new Json.JsonException("query is no text");
    }
  }

  /**
   * A mark goes into the searchers' frames as it is, so nothing that frames are cut by may stand in
   * it.
   */
  private static String idHeader(MessageHead head, String name) throws HttpException {
    String mark = head.header(name);
    if (mark == null
        || mark.isEmpty()
        || mark.length() > MAX_ID_LENGTH
        || !mark.chars().allMatch(c -> c > ' ' && c < 127 && c != ',')) {
      throw new HttpException(400, "no " + name);
    }
    return mark;
  }

  private List<ScanRequest.Target> parseTargets(List<Object> targets) throws Json.JsonException {
    double sum = 0;
    List<ScanRequest.Target> pieces = new ArrayList<>();
    Set<Integer> seen = new HashSet<>();
    for (Object each : targets) {
      Map<String, Object> target = JsonFields.object(each, "a target");
      long shard = JsonFields.nonNegativeInteger(target, "partition");
      double share = JsonFields.number(target, "share");
      if (shard >= shardCount || !seen.add((int) shard)) {
        throw new Json.JsonException("partition " + shard + " is out of range, or there twice");
      }
      if (share <= 0) {
        throw new Json.JsonException("share is not positive");
      }
      sum += share;
      long micros =
          target.containsKey("est_us") ? JsonFields.nonNegativeInteger(target, "est_us") : 0;
      pieces.add(
          new ScanRequest.Target(
              (int) shard,
              share,
              Duration.ofNanos(Math.min(micros, MAX_WORK_MICROS) * 1000),
              target.containsKey("route") ? parseRoute(JsonFields.string(target, "route")) : 0));
    }
    if (Math.abs(sum - 1) > SHARE_SUM_TOLERANCE) {
      throw new Json.JsonException("the shares do not sum to 1");
    }
    return pieces;
  }

  private static long parseRoute(String text) throws Json.JsonException {
    if (!ROUTE.matcher(text).matches()) {
      throw new Json.JsonException("route is no 16 hex digits");
    }
    return Long.parseUnsignedLong(text, 16);
  }
}
