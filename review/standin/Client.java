package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A client's connection to a mixer. */
final class Client implements AutoCloseable {
  /** An answer that came whole. */
  record Answer(int status, String head, String body) {
    boolean closes() {
      return head.toLowerCase(Locale.ROOT).contains("connection: close");
    }
  }

  final Socket socket = new Socket();

  Client(int port) throws IOException {
    socket.setTcpNoDelay(true);
    socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 3000);
  }

  void write(String text) throws IOException {
    write(text.getBytes(StandardCharsets.UTF_8));
  }

  void write(byte[] bytes) throws IOException {
    socket.getOutputStream().write(bytes);
    socket.getOutputStream().flush();
  }

  /** Reads one answer whole; an exception says why there is none. */
  Answer read(int timeoutMs) throws IOException {
    socket.setSoTimeout(Math.max(1, timeoutMs));
    InputStream in = socket.getInputStream();
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
      int next = in.read();
      if (next < 0) {
        throw new EOFException(head.size() == 0 ? "closed with no answer" : "cut in the head");
      }
      head.write(next);
    }
    String text = head.toString(StandardCharsets.ISO_8859_1);
    int length = 0;
    for (String line : text.split("\r\n")) {
      if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
        length = Integer.parseInt(line.substring(15).strip());
      }
    }
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new EOFException("cut in the body");
    }
    return new Answer(
        Integer.parseInt(text.split(" ")[1]), text, new String(body, StandardCharsets.UTF_8));
  }

  /** A request with equal shares for the given shards. */
  static String request(String txn, String lane, int remainingMs, String query, int... shards) {
    StringBuilder body = new StringBuilder("{\"targets\":[");
    for (int i = 0; i < shards.length; i++) {
      body.append(i == 0 ? "" : ",")
          .append("{\"partition\":" + shards[i] + ",\"share\":" + 1.0 / shards.length + "}");
    }
    body.append("],\"query\":\"" + query + "\"}");
    return "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Txn: " + txn + "\r\nX-Lane: " + lane
        + "\r\nX-Remaining-Ms: " + remainingMs + "\r\nIdempotency-Key: key" + txn
        + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
