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

/** Parses a scan request from HTTP headers and body. Invalid input gets status 400. */
final class ScanRequestParser {
  private static final int MAX_ID_LENGTH = 128;
  private static final Pattern MILLIS = Pattern.compile("[0-9]{1,9}");
  private static final Pattern ROUTE = Pattern.compile("[0-9a-fA-F]{16}");

  /** A target and its fields, with room for some that are not known here. */
  private static final int VALUES_PER_TARGET = 12;

  private static final int VALUES_BESIDE_TARGETS = 64;
  private static final long MAX_WORK_MICROS = 86_400_000_000L;

  /**
   * How far the sum of the shares may differ from 1, since clients round them. An answer is
   * complete by the sum of its shares.
   */
  private static final double SHARE_SUM_TOLERANCE = 0.01;

  private final Map<String, Integer> serviceClasses = new HashMap<>();
  private final List<Boolean> keyed = new ArrayList<>();
  private final List<Duration> maxDeadlines = new ArrayList<>();
  private final int shardCount;

  /** Most JSON values of a body. */
  private final int maxValues;

  ScanRequestParser(Settings settings) {
    for (int i = 0; i < settings.count("Classes.count"); i++) {
      serviceClasses.put(settings.text("Classes." + i + ".Name"), i);
      maxDeadlines.add(settings.duration("Classes." + i + ".HardLimitMs"));
      keyed.add(settings.text("Classes." + i + ".Idempotency").equals("deduplicated"));
    }
    shardCount = settings.count("Domain.Slices");
    maxValues = VALUES_BESIDE_TARGETS + VALUES_PER_TARGET * shardCount;
  }

  ScanRequest parse(MessageHead head, byte[] body) throws HttpException {
    String transactionId = idHeader(head, "X-Txn");
    Integer serviceClass =
        serviceClasses.get(
            String.valueOf(head.header("X-Lane")).replace(' ', '_').replace(',', '_'));
    if (serviceClass == null) {
      throw new HttpException(400, "X-Lane is missing or unknown");
    }
    String remaining = head.header("X-Remaining-Ms");
    if (remaining == null || !MILLIS.matcher(remaining).matches()) {
      throw new HttpException(400, "X-Remaining-Ms is missing or not a number");
    }
    String idempotencyKey = keyed.get(serviceClass) ? idHeader(head, "Idempotency-Key") : null;
    try {
      Map<String, Object> object = JsonFields.object(Json.parse(body, maxValues), "the body");
      return new ScanRequest(
          transactionId,
          serviceClass,
          "1".equals(head.header("X-Resent")),
          idempotencyKey,
          deadline(serviceClass, Long.parseLong(remaining)),
          parseTargets(JsonFields.list(object, "targets")),
          encodeUtf8(JsonFields.string(object, "query")));
    } catch (Json.JsonException e) {
      throw new HttpException(400, e.getMessage());
    }
  }

  /**
   * Limits the deadline that a client asks for to that of its service class, so that a client
   * cannot keep a scan open for longer than the settings allow.
   */
  private Duration deadline(int serviceClass, long millis) {
    Duration maxDeadline = maxDeadlines.get(serviceClass);
    return Duration.ofMillis(millis).compareTo(maxDeadline) < 0
        ? Duration.ofMillis(millis)
        : maxDeadline;
  }

  /**
   * Encodes the query text. Searchers have to receive it unchanged, so a lone surrogate, which has
   * no UTF-8 encoding, is rejected.
   */
  private static byte[] encodeUtf8(String text) throws Json.JsonException {
    try {
      ByteBuffer bytes = StandardCharsets.UTF_8.newEncoder().encode(CharBuffer.wrap(text));
      return Arrays.copyOf(bytes.array(), bytes.limit());
    } catch (CharacterCodingException e) {
      throw new Json.JsonException("query is not valid text");
    }
  }

  /**
   * Reads a header with an id. The id is copied into the frames to searchers, so it may not contain
   * the characters that separate fields there.
   */
  private static String idHeader(MessageHead head, String name) throws HttpException {
    String value = head.header(name);
    if (value == null
        || value.isEmpty()
        || value.length() > MAX_ID_LENGTH
        || !value.chars().allMatch(c -> c > ' ' && c < 127 && c != ',')) {
      throw new HttpException(400, name + " is missing or invalid");
    }
    return value;
  }

  private List<ScanRequest.Target> parseTargets(List<Object> items) throws Json.JsonException {
    double shareSum = 0;
    List<ScanRequest.Target> targets = new ArrayList<>();
    Set<Integer> seenShards = new HashSet<>();
    for (Object item : items) {
      Map<String, Object> target = JsonFields.object(item, "a target");
      long shard = JsonFields.nonNegativeInteger(target, "partition");
      double share = JsonFields.number(target, "share");
      if (shard >= shardCount || !seenShards.add((int) shard)) {
        throw new Json.JsonException("partition " + shard + " is out of range or listed twice");
      }
      if (share <= 0) {
        throw new Json.JsonException("share is not positive");
      }
      shareSum += share;
      long micros =
          target.containsKey("est_us") ? JsonFields.nonNegativeInteger(target, "est_us") : 0;
      targets.add(
          new ScanRequest.Target(
              (int) shard,
              share,
              Duration.ofNanos(Math.min(micros, MAX_WORK_MICROS) * 1000),
              target.containsKey("route") ? parseRoute(JsonFields.string(target, "route")) : 0));
    }
    if (Math.abs(shareSum - 1) > SHARE_SUM_TOLERANCE) {
      throw new Json.JsonException("the shares do not sum to 1");
    }
    return targets;
  }

  private static long parseRoute(String text) throws Json.JsonException {
    if (!ROUTE.matcher(text).matches()) {
      throw new Json.JsonException("route is not 16 hex digits");
    }
    return Long.parseUnsignedLong(text, 16);
  }
}
