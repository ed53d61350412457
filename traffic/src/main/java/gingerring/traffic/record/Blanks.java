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
 * Hides query texts, values and idempotency keys behind a hash keyed by a secret: equal ones stay
 * equal, so that repeats are recognised, and none can be read or, without the secret, tried out.
 * Everything keeps its length where that is 16 or more; what is shorter becomes 16 hex digits, and
 * the body's length follows.
 */
public final class Blanks {
  private static final int DIGITS = 16;
  private static final Pattern KEY = Pattern.compile("(?im)^(idempotency-key:[ \t]*)([^\r\n]*)");

  private final SecretKeySpec secret;

  public Blanks(String secret) {
    this.secret = new SecretKeySpec(secret.getBytes(StandardCharsets.UTF_8), "HmacSHA256");
  }

  /** What stands for a text. */
  public String hidden(String text) {
    try {
      Mac mac = Mac.getInstance("HmacSHA256");
      mac.init(secret);
      String hash = HexFormat.of().formatHex(mac.doFinal(text.getBytes(StandardCharsets.UTF_8)));
      StringBuilder hidden = new StringBuilder();
      int length = Math.max(DIGITS, text.length());
      while (hidden.length() < length) {
        hidden.append(hash, 0, Math.min(hash.length(), length - hidden.length()));
      }
      return hidden.toString();
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException(e);
    }
  }

  /** The headers of a request, its key hidden. */
  public String headers(String headers) {
    Matcher key = KEY.matcher(headers);
    return key.replaceAll(
        found -> Matcher.quoteReplacement(found.group(1) + hidden(found.group(2))));
  }

  /** The body of a request or of an answer; what is no such body is hidden whole. */
  public String body(String json) {
    try {
      Map<String, Object> object = JsonFields.object(Json.parse(json), "it");
      if (object.get("query") instanceof String) {
        return replaced(json, "query", this::hidden);
      }
      if (object.containsKey("results")) {
        return replaced(json, "value", this::hidden);
      }
      return json;
    } catch (Json.JsonException e) {
      return hidden(json);
    }
  }

  /** Every string under this name, whatever its escapes. */
  private static String replaced(String json, String name, UnaryOperator<String> with) {
    Pattern found =
        Pattern.compile("(\"" + name + "\"\\s*:\\s*\")((?:[^\"\\\\]|\\\\.)*)\"", Pattern.DOTALL);
    return found
        .matcher(json)
        .replaceAll(
            each -> Matcher.quoteReplacement(each.group(1) + with.apply(each.group(2)) + '"'));
  }
}
