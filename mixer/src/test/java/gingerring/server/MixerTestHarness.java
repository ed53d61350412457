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
final class MixerTestHarness implements Closeable {
  /** No wait of a party is longer. */
  static final int TIMEOUT_MS = 15_000;

  private static final int POLL_INTERVAL_MS = 2;

  final DiscoveryAgent agent;
  final MixerServer server;
  private final Path configFile;
  private final String configTemplate;
  private final Thread mixerThread;
  private final CompletableFuture<InetSocketAddress> listenAddress = new CompletableFuture<>();
  private final CompletableFuture<Integer> exitCode = new CompletableFuture<>();
  private final List<Closeable> resources = new ArrayList<>();
  private int scanCount;

  /** {@code swaps}: pairs of a text in the example's configuration and what stands in its place. */
  MixerTestHarness(String... replacements) throws Exception {
    this(true, replacements);
  }

  /** {@code discovery}: whether it can be called from the start. */
  MixerTestHarness(boolean discoveryListens, String... replacements) throws Exception {
    this(null, discoveryListens, replacements);
  }

  /**
   * {@code tap} is told of all that the mixer's connections carry, on the threads that do; null for
   * none.
   */
  MixerTestHarness(TrafficListener tap, boolean discoveryListens, String... replacements)
      throws Exception {
    agent = closeAtEnd(new DiscoveryAgent(discoveryListens));
    Path example = Files.exists(Path.of("example")) ? Path.of("example") : Path.of("../example");
    configTemplate =
        replaceTexts(
            Files.readString(example.resolve("config.json"))
                .replace("127.0.0.1:8081", "127.0.0.1:0"),
            replacements);
    configFile = Files.createTempFile("rig", ".json");
    writeConfig(agent.address());
    Map<String, String> environment = Map.of("LB_CONFIG", configFile.toString());
    server = new MixerServer(environment, tap, null);
    MixerConfig mixerConfig = MixerConfig.read(environment);
    mixerThread =
        new Thread(
            () -> {
              try {
                exitCode.complete(server.serve(mixerConfig, System.err, listenAddress::complete));
              } catch (Throwable e) {
                listenAddress.completeExceptionally(e);
                exitCode.completeExceptionally(e);
              }
            },
            "rig");
    mixerThread.start();
    listenAddress.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  private static String replaceTexts(String text, String... replacements) {
    for (int i = 0; i < replacements.length; i += 2) {
      if (!text.contains(replacements[i])) {
        throw new IllegalArgumentException("the example has no " + replacements[i]);
      }
      text = text.replace(replacements[i], replacements[i + 1]);
    }
    return text;
  }

  /** Writes the configuration anew; it counts from the next {@link MixerServer#reload}. */
  void writeConfig(InetSocketAddress discoveryAddress, String... replacements) throws IOException {
    Files.writeString(
        configFile,
        replaceTexts(configTemplate, replacements)
            .replace("127.0.0.1:8500", "127.0.0.1:" + discoveryAddress.getPort()));
  }

  <T extends Closeable> T closeAtEnd(T resource) {
    resources.add(resource);
    return resource;
  }

  @Override
  public void close() {
    if (!exitCode.isDone()) {
      server.loop.post(server.loop::stop);
    }
    try {
      mixerThread.join(TIMEOUT_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    server.dispose();
    resources.forEach(MixerTestHarness::closeQuietly);
    configFile.toFile().delete();
    String counts = server.counts.toString();
    if (counts.contains("failures in ") || counts.contains("broken: ")) {
      throw new AssertionError("what must hold did not: " + counts);
    }
  }

  private static void closeQuietly(Closeable resource) {
    try {
      resource.close();
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
  LoopGate pauseLoop() throws InterruptedException {
    AtomicBoolean allSent = new AtomicBoolean();
    for (int i = 0; !allSent.get(); i++) {
      if (i * POLL_INTERVAL_MS > TIMEOUT_MS) {
        throw new AssertionError("something put into a connection does not leave");
      }
      runInLoop(() -> allSent.set(server.network().isFlushed()));
      Thread.sleep(allSent.get() ? 0 : POLL_INTERVAL_MS);
    }
    LoopGate gate = new LoopGate();
    server.loop.post(gate::block);
    if (!gate.reached.await(TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
      throw new AssertionError("the loop did not come to the gate");
    }
    return gate;
  }

  /** What is posted behind it waits, in its order, for the one turn after it is closed. */
  final class LoopGate implements AutoCloseable {
    private final CountDownLatch reached = new CountDownLatch(1);
    private final CountDownLatch released = new CountDownLatch(1);

    private void block() {
      reached.countDown();
      try {
        released.await(TIMEOUT_MS, TimeUnit.MILLISECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    /** Waits until so many events stand behind the gate. */
    void awaitPosted(int events) throws InterruptedException {
      await("events behind the gate", () -> server.loop.queuedEvents() >= events);
    }

    /** How many events stand behind the gate. */
    int postedCount() {
      return server.loop.queuedEvents();
    }

    @Override
    public void close() {
      released.countDown();
    }
  }

  /** Runs a task in a turn of the loop, and waits for its end. */
  void runInLoop(Runnable task) throws InterruptedException {
    CountDownLatch done = new CountDownLatch(1);
    server.loop.post(
        () -> {
          try {
            task.run();
          } finally {
            done.countDown();
          }
        });
    if (!done.await(TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
      throw new AssertionError("the loop did not run a task");
    }
  }

  /** So many whole turns have been since. */
  void runIterations(int count) throws InterruptedException {
    for (int i = 0; i < count; i++) {
      runInLoop(() -> {});
    }
  }

  interface IoTask {
    void run() throws IOException;
  }

  /** Plays a party until its connection or its door is closed. */
  static void runInBackground(IoTask task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException e) {
                // the test is over, or the connection is
              }
            },
            "party");
    thread.setDaemon(true);
    thread.start();
  }

  /** Its searcher does whatever comes by it, until it is closed. */
  static void answerAllCalls(BoxConnection connection) {
    runInBackground(
        () -> {
          while (true) {
            connection.answer(connection.readCall(), "done");
          }
        });
  }

  static void await(String description, BooleanSupplier condition) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadlineNanos) {
        throw new AssertionError("not within " + TIMEOUT_MS + " ms: " + description);
      }
      Thread.sleep(POLL_INTERVAL_MS);
    }
  }

  /** Waits until the mixer holds so many connections. */
  void awaitConnections(int expected) throws InterruptedException {
    AtomicInteger openConnections = new AtomicInteger();
    await(
        expected + " connections",
        () -> {
          try {
            runInLoop(() -> openConnections.set(server.network().connectionCount()));
          } catch (InterruptedException e) {
            throw new AssertionError(e);
          }
          return openConnections.get() == expected;
        });
  }

  long count(String name) {
    return server.counts.get(name);
  }

  void awaitCount(String name, long minimum) throws InterruptedException {
    await(name + " at " + minimum, () -> count(name) >= minimum);
  }

  /** Waits for the end of the mixer, and returns its exit code. */
  int awaitExitCode() throws Exception {
    return exitCode.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  boolean hasExited() {
    return exitCode.isDone();
  }

  // ---- connections ----

  /** One connection as a party has it. */
  static class TestConnection implements Closeable {
    final Socket socket;
    private final InputStream input;

    TestConnection(Socket socket) throws IOException {
      this.socket = socket;
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(TIMEOUT_MS);
      input = socket.getInputStream();
    }

    void write(byte[] bytes) throws IOException {
      socket.getOutputStream().write(bytes);
    }

    void write(String text) throws IOException {
      write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Exactly so many bytes. */
    byte[] read(int length) throws IOException {
      byte[] bytes = input.readNBytes(length);
      if (bytes.length < length) {
        throw new EOFException(
            "the connection ended after " + bytes.length + " bytes of " + length);
      }
      return bytes;
    }

    /** A head, as far as its empty line. */
    String readHead() throws IOException {
      ByteArrayOutputStream head = new ByteArrayOutputStream();
      while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
        head.writeBytes(read(1));
      }
      return head.toString(StandardCharsets.ISO_8859_1);
    }

    /** How the other side ended it, after whatever it still sent: "closed" in order, or "reset". */
    String awaitEnd() throws IOException {
      try {
        while (input.read() >= 0) {
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
  private static class TestListener implements Closeable {
    private ServerSocket serverSocket;
    private final List<TestConnection> connections = new ArrayList<>();

    TestListener(boolean listens) throws IOException {
      serverSocket = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
      serverSocket.setSoTimeout(TIMEOUT_MS);
      if (!listens) {
        serverSocket.close();
      }
    }

    InetSocketAddress address() {
      return new InetSocketAddress(InetAddress.getLoopbackAddress(), serverSocket.getLocalPort());
    }

    Socket accept() throws IOException {
      return serverSocket.accept();
    }

    /** Whether somebody has come, and been let in. */
    boolean hasAccepted() {
      return !connections.isEmpty();
    }

    /** Whether nobody comes for so long. */
    boolean noConnectionWithin(Duration duration) throws IOException {
      serverSocket.setSoTimeout((int) duration.toMillis());
      try {
        connections.add(new TestConnection(serverSocket.accept()));
        return false;
      } catch (java.net.SocketTimeoutException e) {
        return true;
      } finally {
        serverSocket.setSoTimeout(TIMEOUT_MS);
      }
    }

    <T extends TestConnection> T closeAtEnd(T connection) {
      connections.add(connection);
      return connection;
    }

    /** From now on nobody can connect. */
    void stopListening() throws IOException {
      serverSocket.close();
    }

    /** It can be connected to again, at the same address. */
    void resumeListening() throws IOException {
      int port = serverSocket.getLocalPort();
      serverSocket = new ServerSocket();
      serverSocket.setReuseAddress(true);
      serverSocket.setSoTimeout(TIMEOUT_MS);
      serverSocket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 64);
    }

    @Override
    public void close() throws IOException {
      serverSocket.close();
      connections.forEach(MixerTestHarness::closeQuietly);
    }
  }

  // ---- discovery ----

  /** Discovery's agent: it answers nothing by itself. */
  static final class DiscoveryAgent extends TestListener {
    DiscoveryAgent(boolean listens) throws IOException {
      super(listens);
    }

    /** The next call, its request read. */
    DiscoveryConnection acceptRequest() throws IOException {
      return closeAtEnd(new DiscoveryConnection(accept()));
    }

    /** The same, with the head of an answer in chunks. */
    DiscoveryConnection acceptWatch() throws IOException {
      DiscoveryConnection connection = acceptRequest();
      connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      return connection;
    }
  }

  static final class DiscoveryConnection extends TestConnection {
    /** The request's head. */
    final String requestHead;

    DiscoveryConnection(Socket socket) throws IOException {
      super(socket);
      requestHead = readHead();
    }

    /** One line as a chunk of its own. */
    void sendLine(String line) throws IOException {
      write(Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n");
    }
  }

  static String memberListLine(int revision, boolean complete, String... members) {
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
  final class Box extends TestListener {
    final String name;
    final int cell;
    long upSinceMs;

    private Box(String name, int cell) throws IOException {
      super(true);
      this.name = name;
      this.cell = cell;
    }

    /** The next connection of the mixer. */
    BoxConnection acceptConnection() throws IOException {
      return closeAtEnd(new BoxConnection(accept()));
    }

    String memberJson(String phase) {
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
    return closeAtEnd(new Box(name, cell));
  }

  /** A frame's letter and what follows it. */
  record Frame(char type, byte[] payload) {
    String payloadText() {
      return new String(payload, StandardCharsets.ISO_8859_1);
    }

    /** The parts that a call asks for, by their ids. */
    List<String> partIds() {
      List<String> partIds = new ArrayList<>();
      int start = 0;
      while (type == 'S' && start < payload.length) {
        int end = start;
        while (payload[end] != '\n') {
          end++;
        }
        String[] headerFields =
            new String(payload, start, end - start, StandardCharsets.ISO_8859_1).split(" ");
        partIds.add(headerFields[0]);
        start = end + 1 + Integer.parseInt(headerFields[3]);
      }
      return partIds;
    }
  }

  /** One connection of the mixer's to a box. */
  static final class BoxConnection extends TestConnection {
    BoxConnection(Socket socket) throws IOException {
      super(socket);
    }

    Frame readFrame() throws IOException {
      int length = ByteBuffer.wrap(read(4)).order(ByteOrder.LITTLE_ENDIAN).getInt();
      byte[] bytes = read(length);
      return new Frame((char) bytes[0], Arrays.copyOfRange(bytes, 1, length));
    }

    /** The next call, with probes before it answered and other frames passed over. */
    Frame readCall() throws IOException {
      Frame frame = readFrame();
      while (frame.type != 'S') {
        if (frame.type == 'H') {
          write(encodeFrame('H', "done"));
        } else if (frame.type == 'M') {
          write(encodeFrame('M', "depth=1,concurrent=1"));
        }
        frame = readFrame();
      }
      return frame;
    }

    /** Answers every part of a call: "done" with a value, "failed" or "full". */
    void answer(Frame call, String outcome) throws IOException {
      for (String partId : call.partIds()) {
        write(resultFrame(partId, outcome));
      }
    }

    static byte[] resultFrame(String partId, String outcome) {
      return encodeFrame(
          'R', partId + ' ' + outcome + " 7 -\n" + (outcome.equals("done") ? "v" + partId : ""));
    }

    static byte[] encodeFrame(char type, String payload) {
      byte[] bytes = payload.getBytes(StandardCharsets.ISO_8859_1);
      return ByteBuffer.allocate(5 + bytes.length)
          .order(ByteOrder.LITTLE_ENDIAN)
          .putInt(1 + bytes.length)
          .put((byte) type)
          .put(bytes)
          .array();
    }
  }

  // ---- clients ----

  /** A client's connection. */
  final class Client extends TestConnection {
    private Client(Socket socket) throws IOException {
      super(socket);
    }

    /** The next answer: its status and, after a blank, its body. */
    String readAnswer() throws IOException {
      String head = readHead();
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
    boolean isReady() throws IOException {
      write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
      return readAnswer().startsWith("200");
    }
  }

  Client connectClient() throws Exception {
    InetSocketAddress address = listenAddress.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    return closeAtEnd(new Client(new Socket(address.getAddress(), address.getPort())));
  }

  /**
   * A request for some shards, of equal shares, with a mark of its own; {@link #lastTransactionId}
   * tells which.
   */
  String scanRequest(String serviceClass, int deadlineMs, int... shards) {
    scanCount++;
    String targets =
        Arrays.stream(shards)
            .mapToObj(
                shard -> "{\"partition\":" + shard + ",\"share\":" + 1.0 / shards.length + "}")
            .collect(Collectors.joining(","));
    String body = "{\"targets\":[" + targets + "],\"query\":\"q\"}";
    return "POST /api HTTP/1.1\r\nHost: x\r\nX-Txn: "
        + lastTransactionId()
        + "\r\nX-Lane: "
        + serviceClass
        + "\r\nX-Remaining-Ms: "
        + deadlineMs
        + "\r\n"
        + (serviceClass.equals("post")
            ? "Idempotency-Key: " + String.format("%032x", scanCount) + "\r\n"
            : "")
        + "Content-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  String lastTransactionId() {
    return String.format("%016x", scanCount);
  }

  // ---- a usual beginning ----

  /**
   * Waits until the mixer says that it is ready, and has no connection left but those to discovery
   * and to the parties: what it practised on has ended.
   */
  void awaitReady() throws Exception {
    Client client = connectClient();
    await(
        "ready",
        () -> {
          try {
            return client.isReady();
          } catch (IOException e) {
            throw new AssertionError(e);
          }
        });
    client.close();
    AtomicInteger openConnections = new AtomicInteger(Integer.MAX_VALUE);
    // a watch, or as many calls for one as may be under way while discovery does not speak
    long expectedConnections =
        (agent.hasAccepted() ? 1 : 8)
            + resources.stream()
                .filter(
                    resource ->
                        resource instanceof Client && !((Client) resource).socket.isClosed())
                .count();
    for (int i = 0; openConnections.get() > expectedConnections; i++) {
      if (i * POLL_INTERVAL_MS > TIMEOUT_MS) {
        throw new AssertionError(openConnections + " connections are left after practice");
      }
      Thread.sleep(POLL_INTERVAL_MS);
      runInLoop(() -> openConnections.set(server.network().connectionCount()));
    }
  }

  /**
   * Discovery tells of these boxes by its first line, and the mixer is ready. Returns the watch.
   */
  DiscoveryConnection announceAndAwaitReady(Box... boxes) throws Exception {
    DiscoveryConnection watch = agent.acceptWatch();
    watch.sendLine(
        memberListLine(
            1,
            true,
            Arrays.stream(boxes).map(box -> box.memberJson("SERVING")).toArray(String[]::new)));
    awaitReady();
    return watch;
  }
}
