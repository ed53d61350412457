package gingerring.traffic.record;

import gingerring.json.Json;
import gingerring.json.JsonFields;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.util.HexFormat;
import java.util.Map;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Replaces query texts, values and idempotency keys by a keyed hash (HMAC-SHA256). Equal texts stay
 * equal, so that repeats can be recognised; no text can be read or, without the secret, found by
 * trying candidates. Texts of 16 or more characters keep their length; shorter ones become 16 hex
 * digits, and the body's length changes accordingly.
 */
public final class Pseudonymizer {
  private static final int MIN_DIGITS = 16;
  private static final Pattern IDEMPOTENCY_KEY_HEADER =
      Pattern.compile("(?im)^(idempotency-key:[ \t]*)([^\r\n]*)");

  private final SecretKeySpec secret;

  public Pseudonymizer(String secret) {
    this.secret = new SecretKeySpec(secret.getBytes(StandardCharsets.UTF_8), "HmacSHA256");
  }

  /** The replacement of a text. */
  public String pseudonym(String text) {
    try {
      Mac mac = Mac.getInstance("HmacSHA256");
      mac.init(secret);
      String hash = HexFormat.of().formatHex(mac.doFinal(text.getBytes(StandardCharsets.UTF_8)));
      StringBuilder result = new StringBuilder();
      int length = Math.max(MIN_DIGITS, text.length());
      while (result.length() < length) {
        result.append(hash, 0, Math.min(hash.length(), length - result.length()));
      }
      return result.toString();
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException(e);
    }
  }

  /** The headers of a request with the idempotency key replaced. */
  public String pseudonymizeHeaders(String headers) {
    Matcher matcher = IDEMPOTENCY_KEY_HEADER.matcher(headers);
    return matcher.replaceAll(
        match -> Matcher.quoteReplacement(match.group(1) + pseudonym(match.group(2))));
  }

  /**
   * The body of a request or response with its private strings replaced. A body that is not JSON is
   * replaced as a whole.
   */
  public String pseudonymizeBody(String json) {
    try {
      Map<String, Object> object = JsonFields.object(Json.parse(json), "it");
      if (object.get("query") instanceof String) {
        return replaceStrings(json, "query", this::pseudonym);
      }
      if (object.containsKey("results")) {
        return replaceStrings(json, "value", this::pseudonym);
      }
      return json;
    } catch (Json.JsonException e) {
      return pseudonym(json);
    }
  }

  /** Replaces every string value under this name, with or without escape sequences. */
  private static String replaceStrings(
      String json, String name, UnaryOperator<String> replacement) {
    Pattern pattern =
        Pattern.compile("(\"" + name + "\"\\s*:\\s*\")((?:[^\"\\\\]|\\\\.)*)\"", Pattern.DOTALL);
    return pattern
        .matcher(json)
        .replaceAll(
            match ->
                Matcher.quoteReplacement(match.group(1) + replacement.apply(match.group(2)) + '"'));
  }
}
