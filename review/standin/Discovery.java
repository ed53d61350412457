package review;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A sound discovery agent: the whole list at once, then an empty line every 2 s. */
final class Discovery {
  private final ServerSocket server;
  private final List<Searcher> searchers;
  private final List<Socket> sockets = new ArrayList<>();

  Discovery(List<Searcher> searchers) throws IOException {
    this.searchers = searchers;
    server = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
    Searcher.daemon(this::acceptAll);
  }

  int port() {
    return server.getLocalPort();
  }

  private void acceptAll() throws IOException {
    while (true) {
      Socket socket = server.accept();
      synchronized (sockets) {
        sockets.add(socket);
      }
      Searcher.daemon(() -> serve(socket));
    }
  }

  private String list() {
    StringBuilder out = new StringBuilder("{\"revision\":1,\"complete\":true,\"members\":[");
    for (int i = 0; i < searchers.size(); i++) {
      Searcher s = searchers.get(i);
      out.append(i == 0 ? "" : ",")
          .append("{\"id\":\"" + s.name + "\",\"host_port\":\"127.0.0.1:" + s.port() + "\"")
          .append(",\"locality\":\"a\",\"flavor\":\"std\",\"cell\":" + s.cell)
          .append(",\"phase\":\"SERVING\",\"size\":1.0,\"up_since_ms\":0}");
    }
    return out.append("]}").toString();
  }

  private void serve(Socket socket) throws Exception {
    BufferedReader in =
        new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
    OutputStream out = socket.getOutputStream();
    String request = in.readLine();
    for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
      // the headers do not matter here
    }
    if (request.contains("stream=1")) {
      out.write(
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
              .getBytes(StandardCharsets.ISO_8859_1));
      chunk(out, list() + "\n");
      while (true) {
        Thread.sleep(2000);
        chunk(out, "\n");
      }
    }
    String body = list();
    out.write(
        ("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
            .getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  private static void chunk(OutputStream out, String text) throws IOException {
    out.write(
        (Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
            .getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }
}
