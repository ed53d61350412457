import java.io.BufferedReader;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A minimal store for trying out a mixer: a number of searchers and the discovery service that
 * lists them, all on 127.0.0.1.
 *
 * <p>java example/ToyStore.java DISCOVERY_PORT SEARCHERS
 *
 * <p>Port 0 selects a free port; the first line printed is the address of discovery. Searcher I is
 * in cell I.
 *
 * <p>The text of a query consists of words SHARD:BEHAVIOR. BEHAVIOR is one of full, failed, silent
 * and reset; one of junk, noline, words, long, short, stranger, end, bytes and nothing, which
 * violate the protocol; one of report, twice and noise, which give a valid answer with additional
 * content; or a delay in milliseconds. A shard that is not named answers without delay. With the
 * prefix 'once-' (3:once-reset) only the first attempt at that scan's part is treated so.
 *
 * <p>Commands on standard input: drain I, serve I, gone I, crash I, revive I, say TEXT (sends a raw
 * line to all watches), cut (closes all watches), hush (keeps the watches open but sends nothing
 * more on them), seen (prints the cancelled parts). The program exits at the end of its standard
 * input.
 */
public final class ToyStore {
  private static final class Searcher {
    final int number;
    volatile ServerSocket server;
    volatile String phase = "SERVING";
    volatile long upSinceMs;
    final List<Socket> connections = new CopyOnWriteArrayList<>();

    Searcher(int number) {
      this.number = number;
    }

    String memberJson() {
      return "{\"id\":\"s-"
          + number
          + "\",\"host_port\":\"127.0.0.1:"
          + server.getLocalPort()
          + "\",\"locality\":\"a\",\"flavor\":\"toy\",\"cell\":"
          + number
          + ",\"phase\":\""
          + phase
          + "\",\"size\":1.0,\"up_since_ms\":"
          + upSinceMs
          + "}";
    }
  }

  private static final List<Searcher> SEARCHERS = new ArrayList<>();
  private static final List<OutputStream> WATCHES = new CopyOnWriteArrayList<>();
  private static final List<OutputStream> HUSHED_WATCHES = new ArrayList<>();
  private static final Set<String> PARTS_TREATED_ONCE = ConcurrentHashMap.newKeySet();
  private static final Set<String> CANCELLED_PARTS = ConcurrentHashMap.newKeySet();
  private static int revision = 1;

  public static void main(String[] args) throws IOException {
    for (int i = 0; i < Integer.parseInt(args[1]); i++) {
      Searcher searcher = new Searcher(i);
      SEARCHERS.add(searcher);
      startSearcher(searcher, 0);
    }
    ServerSocket discovery = listen(Integer.parseInt(args[0]));
    System.out.println("discovery at 127.0.0.1:" + discovery.getLocalPort());
    startThread(
        () -> {
          while (true) {
            Socket socket = discovery.accept();
            startThread(() -> serveDiscovery(socket));
          }
        });
    startThread(
        () -> {
          while (true) {
            Thread.sleep(2000);
            broadcast("");
          }
        });
    BufferedReader commands = new BufferedReader(new InputStreamReader(System.in));
    for (String line = commands.readLine(); line != null; line = commands.readLine()) {
      runCommand(line.strip());
    }
  }

  private static ServerSocket listen(int port) throws IOException {
    return new ServerSocket(port, 64, InetAddress.getByName("127.0.0.1"));
  }

  private interface Task {
    void run() throws Exception;
  }

  private static void startThread(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (Exception e) {
                // the other end has closed the connection, or this searcher has crashed
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  private static void runCommand(String line) throws IOException {
    String[] words = line.split(" ", 2);
    if (words[0].equals("say")) {
      broadcast(words[1]);
    } else if (words[0].equals("cut")) {
      for (OutputStream watch : WATCHES) {
        watch.close();
      }
      WATCHES.clear();
    } else if (words[0].equals("hush")) {
      broadcast("");
      HUSHED_WATCHES.addAll(
          WATCHES); // an unreferenced connection would be garbage-collected and closed
      WATCHES.clear();
    } else if (words[0].equals("seen")) {
      System.out.println("recalled " + CANCELLED_PARTS);
    } else if (words.length == 2) {
      Searcher searcher = SEARCHERS.get(Integer.parseInt(words[1]));
      switch (words[0]) {
        case "drain" -> searcher.phase = "DRAINING";
        case "serve" -> searcher.phase = "SERVING";
        case "gone" -> searcher.phase = "DELETED";
        case "crash" -> {
          searcher.server.close();
          for (Socket socket : searcher.connections) {
            socket.setSoLinger(true, 0);
            socket.close();
          }
          return; // discovery keeps listing the searcher as it was
        }
        case "revive" -> {
          searcher.upSinceMs = System.currentTimeMillis();
          startSearcher(searcher, 0);
        }
        default -> {
          System.out.println("unknown: " + line);
          return;
        }
      }
      revision++;
      broadcast(
          "{\"revision\":"
              + revision
              + ",\"complete\":false,\"members\":["
              + searcher.memberJson()
              + "]}");
    }
  }

  // ---- discovery ----

  private static void broadcast(String line) {
    byte[] text = (line + "\n").getBytes(StandardCharsets.UTF_8);
    byte[] chunk =
        (Integer.toHexString(text.length) + "\r\n" + line + "\n\r\n")
            .getBytes(StandardCharsets.UTF_8);
    for (OutputStream watch : WATCHES) {
      try {
        watch.write(chunk);
        watch.flush();
      } catch (IOException e) {
        WATCHES.remove(watch);
      }
    }
  }

  private static void serveDiscovery(Socket socket) throws IOException {
    BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream()));
    String request = in.readLine();
    for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {}
    List<String> members = new ArrayList<>();
    for (Searcher searcher : SEARCHERS) {
      if (!searcher.phase.equals("DELETED")) {
        members.add(searcher.memberJson());
      }
    }
    String memberList =
        "{\"revision\":"
            + revision
            + ",\"complete\":true,\"members\":["
            + String.join(",", members)
            + "]}";
    OutputStream out = socket.getOutputStream();
    if (request.contains("stream=1")) {
      out.write(
          ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                  + Integer.toHexString(memberList.length() + 1)
                  + "\r\n"
                  + memberList
                  + "\n\r\n")
              .getBytes(StandardCharsets.UTF_8));
      out.flush();
      WATCHES.add(out);
    } else {
      out.write(
          ("HTTP/1.1 200 OK\r\nContent-Length: "
                  + memberList.length()
                  + "\r\nConnection: close\r\n\r\n"
                  + memberList)
              .getBytes(StandardCharsets.UTF_8));
      socket.close();
    }
  }

  // ---- searchers ----

  private static void startSearcher(Searcher searcher, int port) throws IOException {
    ServerSocket server = listen(port);
    searcher.server = server;
    startThread(
        () -> {
          while (true) {
            Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            searcher.connections.add(socket);
            startThread(() -> serveConnection(searcher, socket));
          }
        });
  }

  private static void serveConnection(Searcher searcher, Socket socket) throws IOException {
    DataInputStream in = new DataInputStream(socket.getInputStream());
    while (true) {
      byte[] frame = new byte[Integer.reverseBytes(in.readInt())];
      in.readFully(frame);
      switch (frame[0]) {
        case 'S' -> startParts(searcher, socket, frame);
        case 'C' ->
            CANCELLED_PARTS.add(new String(frame, 1, frame.length - 1, StandardCharsets.US_ASCII));
        case 'H' -> sendFrame(socket, "Hdone");
        case 'M' -> sendFrame(socket, "Minflight=0,util=0.1");
        default -> {
          sendFrame(socket, "Funknown letter");
          socket.close();
        }
      }
    }
  }

  private static void startParts(Searcher searcher, Socket socket, byte[] frame) {
    int offset = 1;
    while (offset < frame.length) {
      int lineEnd = offset;
      while (frame[lineEnd] != '\n') {
        lineEnd++;
      }
      String[] header =
          new String(frame, offset, lineEnd - offset, StandardCharsets.US_ASCII).split(" ");
      int length = Integer.parseInt(header[3]);
      String query = new String(frame, lineEnd + 1, length, StandardCharsets.UTF_8);
      offset = lineEnd + 1 + length;
      startThread(() -> answerPart(searcher, socket, header[0], header[1], query));
    }
  }

  private static void answerPart(
      Searcher searcher, Socket socket, String partId, String shard, String query)
      throws Exception {
    String behavior = "0";
    for (String word : query.split(" ")) {
      if (word.startsWith(shard + ":")) {
        behavior = word.substring(shard.length() + 1);
        if (behavior.startsWith("once-")) {
          behavior = PARTS_TREATED_ONCE.add(partId) ? behavior.substring(5) : "0";
        }
      }
    }
    switch (behavior) {
      case "silent" -> {}
      case "full", "failed" -> sendFrame(socket, "R" + partId + " " + behavior + " 0 -\n");
      case "junk" -> sendFrame(socket, "Xjunk");
      case "noline" -> sendFrame(socket, "R" + partId);
      case "words" -> sendFrame(socket, "Fwhat was that");
      case "long" -> socket.getOutputStream().write(new byte[] {-1, -1, -1, 127, 'R'});
      case "short" -> socket.getOutputStream().write(new byte[] {99, 0, 0, 0, 'R', 'x'});
      case "stranger" -> sendFrame(socket, "Rno-one.1 done 7 -\nvalue-of-no-one");
      case "end" -> sendFrame(socket, "R" + partId + " gone 7 -\nvalue");
      case "bytes" -> sendFrame(socket, "R" + partId + " done 7 -\n", (byte) 0xC3, (byte) 0x28);
      case "nothing" -> sendFrame(socket, "R" + partId + " done 7 -\n");
      case "report" -> sendFrame(socket, "R" + partId + " done 7 in=x,flight\nvalue-" + shard);
      case "twice", "noise" -> {
        sendFrame(socket, "R" + partId + " done 7 -\nvalue-" + shard);
        sendFrame(
            socket, behavior.equals("twice") ? "R" + partId + " done 7 -\nvalue-again" : "noise");
      }
      case "reset" -> {
        socket.setSoLinger(true, 0);
        socket.close();
      }
      default -> {
        Thread.sleep(Long.parseLong(behavior));
        sendFrame(
            socket,
            "R"
                + partId
                + " done 7 queue=0,inflight=1\nvalue-"
                + shard
                + "-from-"
                + searcher.number);
      }
    }
  }

  private static void sendFrame(Socket socket, String text, byte... suffix) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    byte[] message =
        ByteBuffer.allocate(4 + bytes.length + suffix.length)
            .order(ByteOrder.LITTLE_ENDIAN)
            .putInt(bytes.length + suffix.length)
            .put(bytes)
            .put(suffix)
            .array();
    synchronized (socket) {
      socket.getOutputStream().write(message);
    }
  }
}
