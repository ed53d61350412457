package review;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A searcher that speaks the frames of the protocol page and runs each part by a given rule. */
final class Searcher {
  interface Task {
    void run() throws Exception;
  }

  /** A part that has arrived whole. */
  record Part(Searcher searcher, Socket socket, String id, int shard, String list, String query) {
    /** The value that this searcher makes for this part; each part has a value of its own. */
    String value() {
      return valueOf(id);
    }
  }

  /** Runs a part: answers it, late, wrongly or not at all. */
  interface Work {
    void run(Part part) throws Exception;
  }

  final String name;
  final int cell;
  private final ServerSocket server;
  private final Record record;
  private final Work work;

  /** How often each part has arrived, over all searchers that share this map. */
  private final Map<String, Integer> arrivals;

  Searcher(String name, int cell, Record record, Map<String, Integer> arrivals, Work work)
      throws IOException {
    this.name = name;
    this.cell = cell;
    this.record = record;
    this.arrivals = arrivals;
    this.work = work;
    server = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
    daemon(
        () -> {
          while (true) {
            Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            daemon(() -> serve(socket));
          }
        });
  }

  int port() {
    return server.getLocalPort();
  }

  static Map<String, Integer> newArrivals() {
    return new ConcurrentHashMap<>();
  }

  /** 16 hex digits that belong to one part of one request. */
  static String valueOf(String id) {
    long hash = 0x9E3779B97F4A7C15L;
    for (int i = 0; i < id.length(); i++) {
      hash = (hash ^ id.charAt(i)) * 0xD6E8FEB86659FD93L;
      hash ^= hash >>> 29;
    }
    return String.format("%016x", hash);
  }

  static void daemon(Task task) {
    Thread thread =
        new Thread(
            null,
            () -> {
              try {
                task.run();
              } catch (Exception e) {
                // the other side has gone, or the test has ended
              }
            },
            "stand-in",
            1 << 18);
    thread.setDaemon(true);
    thread.start();
  }

  private void serve(Socket socket) throws Exception {
    DataInputStream in = new DataInputStream(socket.getInputStream());
    while (true) {
      byte[] frame = new byte[Integer.reverseBytes(in.readInt())];
      in.readFully(frame);
      switch (frame[0]) {
        case 'S' -> startParts(socket, frame);
        case 'C' -> record.line("%s: C %s", name, text(frame, 1, frame.length));
        case 'H' -> send(socket, "Hdone");
        case 'M' -> send(socket, "M-");
        default -> {
          send(socket, "Funknown letter");
          socket.close();
        }
      }
    }
  }

  private static String text(byte[] bytes, int from, int to) {
    return new String(bytes, from, to - from, StandardCharsets.UTF_8);
  }

  private void startParts(Socket socket, byte[] frame) {
    for (int at = 1; at < frame.length; ) {
      int end = at;
      while (frame[end] != '\n') {
        end++;
      }
      String[] words = text(frame, at, end).split(" ");
      int length = Integer.parseInt(words[3]);
      Part part =
          new Part(
              this,
              socket,
              words[0],
              Integer.parseInt(words[1]),
              words[2],
              text(frame, end + 1, end + 1 + length));
      at = end + 1 + length;
      arrivals.merge(part.id, 1, Integer::sum);
      record.line("%s: part %s arrives, %s", name, part.id, part.list);
      daemon(() -> work.run(part));
    }
  }

  /** Answers a part as a sound searcher does. */
  static void answer(Part part) throws IOException {
    part.searcher.record.line("%s: part %s done, value %s", part.searcher.name, part.id, part.value());
    send(part.socket, "R" + part.id + " done 7 queue=0\n" + part.value());
  }

  static void send(Socket socket, String text) throws IOException {
    send(socket, text, 0);
  }

  /** Sends a frame in one write; its length field is wrong by the given number. */
  static void send(Socket socket, String text, int wrongBy) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    byte[] message =
        ByteBuffer.allocate(4 + bytes.length)
            .order(ByteOrder.LITTLE_ENDIAN)
            .putInt(bytes.length + wrongBy)
            .put(bytes)
            .array();
    synchronized (socket) {
      socket.getOutputStream().write(message);
    }
  }
}
