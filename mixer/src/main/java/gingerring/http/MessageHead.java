package gingerring.http;

import java.util.Locale;
import java.util.Map;

/**
 * The start line of an HTTP message and its headers, by lower-case names. The start line of a
 * request holds method, target and version; that of a response holds version, status and reason.
 */
public record MessageHead(
    String methodOrVersion,
    String targetOrStatus,
    String versionOrReason,
    Map<String, String> headers) {
  /** The value of a header, or null; {@code name} may be in any case. */
  public String header(String name) {
    return headers.get(name.toLowerCase(Locale.ROOT));
  }

  /** Whether a header with a comma-separated list contains a token, in any case. */
  public boolean hasToken(String name, String token) {
    String value = header(name);
    for (String element : value == null ? new String[0] : value.split(",")) {
      if (element.strip().equalsIgnoreCase(token)) {
        return true;
      }
    }
    return false;
  }
}
