package gingerring.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Serializes complete HTTP/1.1 messages. */
public final class HttpWriter {
  private static final Map<Integer, String> REASONS =
      Map.of(
          200,
          "OK",
          400,
          "Bad Request",
          404,
          "Not Found",
          405,
          "Method Not Allowed",
          408,
          "Request Timeout",
          413,
          "Content Too Large",
          431,
          "Request Header Fields Too Large",
          500,
          "Internal Server Error",
          503,
          "Service Unavailable");

  /** The interim response to {@code Expect: 100-continue}. */
  public static final byte[] CONTINUE = ascii("HTTP/1.1 100 Continue\r\n\r\n");

  private HttpWriter() {}

  /**
   * A response. {@code close}: the connection is closed after it; {@code extraHeaders}: complete
   * header lines, each ended by CRLF.
   */
  public static byte[] response(int status, boolean close, String extraHeaders, byte[] body) {
    ByteArrayOutputStream out = new ByteArrayOutputStream(body.length + 128);
    out.writeBytes(
        ascii(
            "HTTP/1.1 "
                + status
                + ' '
                + REASONS.getOrDefault(status, "Error")
                + "\r\n"
                + (body.length > 0 ? "Content-Type: application/json\r\n" : "")
                + extraHeaders
                + (close ? "Connection: close\r\n" : "")
                + "Content-Length: "
                + body.length
                + "\r\n\r\n"));
    out.writeBytes(body);
    return out.toByteArray();
  }

  /** A GET request. {@code close}: asks for the connection to be closed after the response. */
  public static byte[] getRequest(String target, String host, boolean close) {
    return ascii(
        "GET "
            + target
            + " HTTP/1.1\r\nHost: "
            + host
            + "\r\n"
            + (close ? "Connection: close\r\n" : "")
            + "\r\n");
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }
}
