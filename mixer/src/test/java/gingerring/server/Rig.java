package gingerring.server;

import gingerring.net.TrafficListener;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;

/**
 * A mixer in this process on real sockets, among parties that the test plays: discovery's agent,
 * boxes (searchers) and clients, each of which holds, resets, half-closes and releases bytes as it
 * is told to. A {@link Gate} stops the mixer's loop between two turns, so that the test forces the
 * order in which events reach it: what arrives behind a gate is taken in one turn, in the order in
 * which it arrived.
 */
final class Rig implements Closeable {
  /** No wait of a party is longer. */
  static final int WAIT_MS = 15_000;

  private static final int NAP_MS = 2;

  final Agent agent;
  final MixerServer serve;
  private final Path file;
  private final String config;
  private final Thread thread;
  private final CompletableFuture<InetSocketAddress> listening = new CompletableFuture<>();
  private final CompletableFuture<Integer> code = new CompletableFuture<>();
  private final List<Closeable> parties = new ArrayList<>();
  private int marks;

  /** {@code swaps}: pairs of a text in the example's configuration and what stands in its place. */
  Rig(String... swaps) throws Exception {
    this(true, swaps);
  }

  /** {@code discovery}: whether it can be called from the start. */
  Rig(boolean discovery, String... swaps) throws Exception {
    this(null, discovery, swaps);
  }

  /**
   * {@code tap} is told of all that the mixer's connections carry, on the threads that do; null for
   * none.
   */
  Rig(TrafficListener tap, boolean discovery, String... swaps) throws Exception {
    agent = keep(new Agent(discovery));
    Path example = Files.exists(Path.of("example")) ? Path.of("example") : Path.of("../example");
    config =
        swap(
            Files.readString(example.resolve("config.json"))
                .replace("127.0.0.1:8081", "127.0.0.1:0"),
            swaps);
    file = Files.createTempFile("rig", ".json");
    configure(agent.address());
    Map<String, String> env = Map.of("LB_CONFIG", file.toString());
    serve = new MixerServer(env, tap, null);
    MixerConfig orders = MixerConfig.read(env);
    thread =
        new Thread(
            () -> {
              try {
                code.complete(serve.serve(orders, System.err, listening::complete));
              } catch (Throwable e) {
                listening.completeExceptionally(e);
                code.completeExceptionally(e);
              }
            },
            "rig");
    thread.start();
    listening.get(WAIT_MS, TimeUnit.MILLISECONDS);
  }

  private static String swap(String text, String... swaps) {
    for (int i = 0; i < swaps.length; i += 2) {
      if (!text.contains(swaps[i])) {
        throw new IllegalArgumentException("the example has no " + swaps[i]);
      }
      text = text.replace(swaps[i], swaps[i + 1]);
    }
    return text;
  }

  /** Writes the configuration anew; it counts from the next {@link MixerServer#reload}. */
  void configure(InetSocketAddress discovery, String... swaps) throws IOException {
    Files.writeString(
        file, swap(config, swaps).replace("127.0.0.1:8500", "127.0.0.1:" + discovery.getPort()));
  }

  <T extends Closeable> T keep(T party) {
    parties.add(party);
    return party;
  }

  @Override
  public void close() {
    if (!code.isDone()) {
      serve.loop.post(serve.loop::stop);
    }
    try {
      thread.join(WAIT_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    serve.dispose();
    parties.forEach(Rig::end);
    file.toFile().delete();
    String counts = serve.counts.toString();
    if (counts.contains("failures in ") || counts.contains("broken: ")) {
      throw new AssertionError("what must hold did not: " + counts);
    }
  }

  private static void end(Closeable party) {
    try {
      party.close();
    } catch (IOException e) {
      // it had ended
    }
  }

  // ---- the loop ----

  /**
   * Stops the loop in a turn of its own, until it is closed. Before that all that the mixer put
   * into connections has left, and it has heard so: else the word of an earlier answer's leaving
   * could come behind the gate, and stand for the event that the test waits for.
   */
  Gate hold() throws InterruptedException {
    AtomicBoolean settled = new AtomicBoolean();
    for (int i = 0; !settled.get(); i++) {
      if (i * NAP_MS > WAIT_MS) {
        throw new AssertionError("something put into a connection does not leave");
      }
      inLoop(() -> settled.set(serve.network().isFlushed()));
      Thread.sleep(settled.get() ? 0 : NAP_MS);
    }
    Gate gate = new Gate();
    serve.loop.post(gate::stand);
    if (!gate.reached.await(WAIT_MS, TimeUnit.MILLISECONDS)) {
      throw new AssertionError("the loop did not come to the gate");
    }
    return gate;
  }

  /** What is posted behind it waits, in its order, for the one turn after it is closed. */
  final class Gate implements AutoCloseable {
    private final CountDownLatch reached = new CountDownLatch(1);
    private final CountDownLatch released = new CountDownLatch(1);

    private void stand() {
      reached.countDown();
      try {
        released.await(WAIT_MS, TimeUnit.MILLISECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    /** Waits until so many events stand behind the gate. */
    void posted(int events) throws InterruptedException {
      await("events behind the gate", () -> serve.loop.posted() >= events);
    }

    /** How many events stand behind the gate. */
    int posted() {
      return serve.loop.posted();
    }

    @Override
    public void close() {
      released.countDown();
    }
  }

  /** Runs a task in a turn of the loop, and waits for its end. */
  void inLoop(Runnable task) throws InterruptedException {
    CountDownLatch done = new CountDownLatch(1);
    serve.loop.post(
        () -> {
          try {
            task.run();
          } finally {
            done.countDown();
          }
        });
    if (!done.await(WAIT_MS, TimeUnit.MILLISECONDS)) {
      throw new AssertionError("the loop did not run a task");
    }
  }

  /** So many whole turns have been since. */
  void turns(int count) throws InterruptedException {
    for (int i = 0; i < count; i++) {
      inLoop(() -> {});
    }
  }

  interface Play {
    void run() throws IOException;
  }

  /** Plays a party until its connection or its door is closed. */
  static void aside(Play play) {
    Thread thread =
        new Thread(
            () -> {
              try {
                play.run();
              } catch (IOException e) {
                // the test is over, or the connection is
              }
            },
            "party");
    thread.setDaemon(true);
    thread.start();
  }

  /** Its searcher does whatever comes by it, until it is closed. */
  static void answers(Link link) {
    aside(
        () -> {
          while (true) {
            link.answer(link.call(), "done");
          }
        });
  }

  static void await(String what, BooleanSupplier is) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MS);
    while (!is.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new AssertionError("not within " + WAIT_MS + " ms: " + what);
      }
      Thread.sleep(NAP_MS);
    }
  }

  /** Waits until the mixer holds so many connections. */
  void awaitConnections(int many) throws InterruptedException {
    AtomicInteger open = new AtomicInteger();
    await(
        many + " connections",
        () -> {
          try {
            inLoop(() -> open.set(serve.network().connectionCount()));
          } catch (InterruptedException e) {
            throw new AssertionError(e);
          }
          return open.get() == many;
        });
  }

  long count(String name) {
    return serve.counts.get(name);
  }

  void awaitCount(String name, long least) throws InterruptedException {
    await(name + " at " + least, () -> count(name) >= least);
  }

  /** Waits for the end of the mixer, and returns its exit code. */
  int ended() throws Exception {
    return code.get(WAIT_MS, TimeUnit.MILLISECONDS);
  }

  boolean isOver() {
    return code.isDone();
  }

  // ---- connections ----

  /** One connection as a party has it. */
  static class Talk implements Closeable {
    final Socket socket;
    private final InputStream in;

    Talk(Socket socket) throws IOException {
      this.socket = socket;
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(WAIT_MS);
      in = socket.getInputStream();
    }

    void write(byte[] bytes) throws IOException {
      socket.getOutputStream().write(bytes);
    }

    void write(String text) throws IOException {
      write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Exactly so many bytes. */
    byte[] read(int length) throws IOException {
      byte[] bytes = in.readNBytes(length);
      if (bytes.length < length) {
        throw new EOFException(
            "the connection ended after " + bytes.length + " bytes of " + length);
      }
      return bytes;
    }

    /** A head, as far as its empty line. */
    String head() throws IOException {
      ByteArrayOutputStream head = new ByteArrayOutputStream();
      while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
        head.writeBytes(read(1));
      }
      return head.toString(StandardCharsets.ISO_8859_1);
    }

    /** How the other side ended it, after whatever it still sent: "closed" in order, or "reset". */
    String end() throws IOException {
      try {
        while (in.read() >= 0) {
          // what it still says is not asked for
        }
        return "closed";
      } catch (SocketException e) {
        return "reset";
      }
    }

    /** Ends this side: the other reads an end and may still write. */
    void halfClose() throws IOException {
      socket.shutdownOutput();
    }

    /** Ends it by a reset, whatever is under way. */
    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  /**
   * A party that listens; connections come up in the kernel, and are taken when they are asked for.
   */
  private static class Door implements Closeable {
    private ServerSocket door;
    private final List<Talk> talks = new ArrayList<>();

    Door(boolean open) throws IOException {
      door = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
      door.setSoTimeout(WAIT_MS);
      if (!open) {
        door.close();
      }
    }

    InetSocketAddress address() {
      return new InetSocketAddress(InetAddress.getLoopbackAddress(), door.getLocalPort());
    }

    Socket accept() throws IOException {
      return door.accept();
    }

    /** Whether somebody has come, and been let in. */
    boolean talked() {
      return !talks.isEmpty();
    }

    /** Whether nobody comes for so long. */
    boolean quiet(Duration span) throws IOException {
      door.setSoTimeout((int) span.toMillis());
      try {
        talks.add(new Talk(door.accept()));
        return false;
      } catch (java.net.SocketTimeoutException e) {
        return true;
      } finally {
        door.setSoTimeout(WAIT_MS);
      }
    }

    <T extends Talk> T keep(T talk) {
      talks.add(talk);
      return talk;
    }

    /** From now on nobody can connect. */
    void refuse() throws IOException {
      door.close();
    }

    /** It can be connected to again, at the same address. */
    void admit() throws IOException {
      int port = door.getLocalPort();
      door = new ServerSocket();
      door.setReuseAddress(true);
      door.setSoTimeout(WAIT_MS);
      door.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 64);
    }

    @Override
    public void close() throws IOException {
      door.close();
      talks.forEach(Rig::end);
    }
  }

  // ---- discovery ----

  /** Discovery's agent: it answers nothing by itself. */
  static final class Agent extends Door {
    Agent(boolean up) throws IOException {
      super(up);
    }

    /** The next call, its request read. */
    Call call() throws IOException {
      return keep(new Call(accept()));
    }

    /** The same, with the head of an answer in chunks. */
    Call watch() throws IOException {
      Call call = call();
      call.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      return call;
    }
  }

  static final class Call extends Talk {
    /** The request's head. */
    final String request;

    Call(Socket socket) throws IOException {
      super(socket);
      request = head();
    }

    /** One line as a chunk of its own. */
    void say(String line) throws IOException {
      write(Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n");
    }
  }

  static String list(int revision, boolean complete, String... members) {
    return "{\"revision\":"
        + revision
        + ",\"complete\":"
        + complete
        + ",\"members\":["
        + String.join(",", members)
        + "]}";
  }

  // ---- boxes ----

  /** A searcher; what comes to it waits until the test takes it. */
  final class Box extends Door {
    final String name;
    final int cell;
    long upSinceMs;

    private Box(String name, int cell) throws IOException {
      super(true);
      this.name = name;
      this.cell = cell;
    }

    /** The next connection of the mixer. */
    Link link() throws IOException {
      return keep(new Link(accept()));
    }

    String member(String phase) {
      return "{\"id\":\""
          + name
          + "\",\"host_port\":\"127.0.0.1:"
          + address().getPort()
          + "\",\"locality\":\"a\",\"flavor\":\"toy\",\"cell\":"
          + cell
          + ",\"phase\":\""
          + phase
          + "\",\"size\":1.0,\"up_since_ms\":"
          + upSinceMs
          + "}";
    }
  }

  Box box(String name, int cell) throws IOException {
    return keep(new Box(name, cell));
  }

  /** A frame's letter and what follows it. */
  record Frame(char letter, byte[] rest) {
    String text() {
      return new String(rest, StandardCharsets.ISO_8859_1);
    }

    /** The parts that a call asks for, by their ids. */
    List<String> parts() {
      List<String> parts = new ArrayList<>();
      int at = 0;
      while (letter == 'S' && at < rest.length) {
        int end = at;
        while (rest[end] != '\n') {
          end++;
        }
        String[] words = new String(rest, at, end - at, StandardCharsets.ISO_8859_1).split(" ");
        parts.add(words[0]);
        at = end + 1 + Integer.parseInt(words[3]);
      }
      return parts;
    }
  }

  /** One connection of the mixer's to a box. */
  static final class Link extends Talk {
    Link(Socket socket) throws IOException {
      super(socket);
    }

    Frame frame() throws IOException {
      int length = ByteBuffer.wrap(read(4)).order(ByteOrder.LITTLE_ENDIAN).getInt();
      byte[] bytes = read(length);
      return new Frame((char) bytes[0], Arrays.copyOfRange(bytes, 1, length));
    }

    /** The next call, with probes before it answered and other frames passed over. */
    Frame call() throws IOException {
      Frame frame = frame();
      while (frame.letter != 'S') {
        if (frame.letter == 'H') {
          write(framed('H', "done"));
        } else if (frame.letter == 'M') {
          write(framed('M', "depth=1,concurrent=1"));
        }
        frame = frame();
      }
      return frame;
    }

    /** Answers every part of a call: "done" with a value, "failed" or "full". */
    void answer(Frame call, String end) throws IOException {
      for (String part : call.parts()) {
        write(result(part, end));
      }
    }

    static byte[] result(String part, String end) {
      return framed('R', part + ' ' + end + " 7 -\n" + (end.equals("done") ? "v" + part : ""));
    }

    static byte[] framed(char letter, String rest) {
      byte[] bytes = rest.getBytes(StandardCharsets.ISO_8859_1);
      return ByteBuffer.allocate(5 + bytes.length)
          .order(ByteOrder.LITTLE_ENDIAN)
          .putInt(1 + bytes.length)
          .put((byte) letter)
          .put(bytes)
          .array();
    }
  }

  // ---- clients ----

  /** A client's connection. */
  final class Client extends Talk {
    private Client(Socket socket) throws IOException {
      super(socket);
    }

    /** The next answer: its status and, after a blank, its body. */
    String answer() throws IOException {
      String head = head();
      String length =
          Arrays.stream(head.split("\r\n"))
              .filter(line -> line.toLowerCase().startsWith("content-length:"))
              .findFirst()
              .orElse("content-length: 0");
      String body =
          new String(
              read(Integer.parseInt(length.substring(length.indexOf(':') + 1).strip())),
              StandardCharsets.UTF_8);
      return (head.substring(9, 12) + ' ' + body).strip();
    }

    /** Asks whether the mixer is ready. */
    boolean ready() throws IOException {
      write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
      return answer().startsWith("200");
    }
  }

  Client client() throws Exception {
    InetSocketAddress at = listening.get(WAIT_MS, TimeUnit.MILLISECONDS);
    return keep(new Client(new Socket(at.getAddress(), at.getPort())));
  }

  /**
   * A request for some shards, of equal shares, with a mark of its own; {@link #lastMark} tells
   * which.
   */
  String scan(String grade, int patienceMs, int... shards) {
    marks++;
    String targets =
        Arrays.stream(shards)
            .mapToObj(
                shard -> "{\"partition\":" + shard + ",\"share\":" + 1.0 / shards.length + "}")
            .collect(Collectors.joining(","));
    String body = "{\"targets\":[" + targets + "],\"query\":\"q\"}";
    return "POST /api HTTP/1.1\r\nHost: x\r\nX-Txn: "
        + lastMark()
        + "\r\nX-Lane: "
        + grade
        + "\r\nX-Remaining-Ms: "
        + patienceMs
        + "\r\n"
        + (grade.equals("post") ? "Idempotency-Key: " + String.format("%032x", marks) + "\r\n" : "")
        + "Content-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  String lastMark() {
    return String.format("%016x", marks);
  }

  // ---- a usual beginning ----

  /**
   * Waits until the mixer says that it is ready, and has no connection left but those to discovery
   * and to the parties: what it practised on has ended.
   */
  void ready() throws Exception {
    Client asks = client();
    await(
        "ready",
        () -> {
          try {
            return asks.ready();
          } catch (IOException e) {
            throw new AssertionError(e);
          }
        });
    asks.close();
    AtomicInteger open = new AtomicInteger(Integer.MAX_VALUE);
    // a watch, or as many calls for one as may be under way while discovery does not speak
    long most =
        (agent.talked() ? 1 : 8)
            + parties.stream()
                .filter(each -> each instanceof Client && !((Client) each).socket.isClosed())
                .count();
    for (int i = 0; open.get() > most; i++) {
      if (i * NAP_MS > WAIT_MS) {
        throw new AssertionError(open + " connections are left after practice");
      }
      Thread.sleep(NAP_MS);
      inLoop(() -> open.set(serve.network().connectionCount()));
    }
  }

  /**
   * Discovery tells of these boxes by its first line, and the mixer is ready. Returns the watch.
   */
  Call begin(Box... boxes) throws Exception {
    Call watch = agent.watch();
    watch.say(
        list(
            1,
            true,
            Arrays.stream(boxes).map(box -> box.member("SERVING")).toArray(String[]::new)));
    ready();
    return watch;
  }
}
