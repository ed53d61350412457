package gingerring.http;

import java.util.Locale;
import java.util.Map;

/** The first line of a message in its three words, and its headers by names in small letters. */
public record MessageHead(
    String methodOrVersion,
    String targetOrStatus,
    String versionOrReason,
    Map<String, String> headers) {
  public String header(String name) {
    return headers.get(name.toLowerCase(Locale.ROOT));
  }

  /** Whether a header that lists words has this one. */
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
