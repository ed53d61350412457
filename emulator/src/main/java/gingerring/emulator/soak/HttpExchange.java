package gingerring.emulator.soak;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** The client's side of HTTP on a socket: writes whole requests and reads whole responses. */
final class HttpExchange {
  static final int OK = 200;
  private static final int STATUS_START = 9;
  private static final int STATUS_END = 12;

  private final Socket socket;
  private final InputStream input;

  HttpExchange(Socket socket) throws IOException {
    this.socket = socket;
    socket.setTcpNoDelay(true);
    input = socket.getInputStream();
  }

  void write(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Reads a response and returns its status. */
  int readStatus() throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
      int next = input.read();
      if (next < 0) {
        throw new EOFException("the connection ended within a response");
      }
      head.append((char) next);
    }
    String lengthName = "Content-Length: ";
    int lengthStart = head.indexOf(lengthName) + lengthName.length();
    input.readNBytes(
        Integer.parseInt(head.substring(lengthStart, head.indexOf("\r\n", lengthStart))));
    return Integer.parseInt(head.substring(STATUS_START, STATUS_END));
  }

  /** Returns a scan request for one shard of the toy store. */
  static String scanRequest(String transactionId, String serviceClass, int shard, String query) {
    return scanRequest(transactionId, serviceClass, shard, query, "");
  }

  /** The same with further header lines, each ended by CRLF. */
  static String scanRequest(
      String transactionId, String serviceClass, int shard, String query, String headers) {
    String body =
        "{\"targets\":[{\"partition\":" + shard + ",\"share\":1}],\"query\":\"" + query + "\"}";
    return "POST /api HTTP/1.1\r\nHost: x\r\nX-Txn: "
        + transactionId
        + "\r\nX-Lane: "
        + serviceClass
        + "\r\nX-Remaining-Ms: "
        + UsualClient.PATIENCE_MS
        + "\r\n"
        + headers
        + "Content-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }
}
