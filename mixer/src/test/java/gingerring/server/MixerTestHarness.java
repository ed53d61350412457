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
 * Runs a mixer in this process on real sockets. The test plays the discovery agent, the boxes
 * (searchers) and the clients, and controls when each of them sends, half-closes, closes or resets
 * a connection. A {@link LoopGate} blocks the mixer's event loop between two iterations, so that
 * the test decides the order of events: all events posted while the gate is closed are handled in
 * the next iteration, in the order in which they were posted.
 */
final class MixerTestHarness implements Closeable {
  /** Upper limit of every wait in the harness and in its connections. */
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

  /**
   * Starts a mixer with the example configuration. {@code replacements} alternates texts of that
   * configuration and their replacements.
   */
  MixerTestHarness(String... replacements) throws Exception {
    this(true, replacements);
  }

  /**
   * Starts a mixer; {@code discoveryListens} is false if the discovery agent refuses connections
   * from the start.
   */
  MixerTestHarness(boolean discoveryListens, String... replacements) throws Exception {
    this(null, discoveryListens, replacements);
  }

  /**
   * Starts a mixer whose connections report all bytes to {@code tap}, on the threads that carry
   * them; a null {@code tap} reports nothing.
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
    configFile = Files.createTempFile("mixer-test", ".json");
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
            "mixer");
    mixerThread.start();
    listenAddress.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  private static String replaceTexts(String text, String... replacements) {
    for (int i = 0; i < replacements.length; i += 2) {
      if (!text.contains(replacements[i])) {
        throw new IllegalArgumentException(
            "the text to replace is not in the example: " + replacements[i]);
      }
      text = text.replace(replacements[i], replacements[i + 1]);
    }
    return text;
  }

  /** Rewrites the configuration file; the mixer reads it at the next {@link MixerServer#reload}. */
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
    String counters = server.counts.toString();
    if (counters.contains("failures in ") || counters.contains("broken: ")) {
      throw new AssertionError("an invariant was violated: " + counters);
    }
  }

  private static void closeQuietly(Closeable resource) {
    try {
      resource.close();
    } catch (IOException e) {
      // The resource may already be closed.
    }
  }

  // ---- the loop ----

  /**
   * Blocks the loop in an iteration of its own until the returned gate is closed. First waits until
   * the mixer has sent all buffered bytes and has processed the write completions: otherwise the
   * completion of an earlier answer could be posted behind the gate and be mistaken for the event
   * that the test waits for.
   */
  LoopGate pauseLoop() throws InterruptedException {
    AtomicBoolean allSent = new AtomicBoolean();
    for (int attempts = 0; !allSent.get(); attempts++) {
      if (attempts * POLL_INTERVAL_MS > TIMEOUT_MS) {
        throw new AssertionError("buffered bytes were not sent in time");
      }
      runInLoop(() -> allSent.set(server.network().isFlushed()));
      Thread.sleep(allSent.get() ? 0 : POLL_INTERVAL_MS);
    }
    LoopGate gate = new LoopGate();
    server.loop.post(gate::block);
    if (!gate.reached.await(TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
      throw new AssertionError("the loop did not reach the gate in time");
    }
    return gate;
  }

  /**
   * Blocks the loop; events posted meanwhile are handled in order, in the one iteration after the
   * gate is closed.
   */
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

    /** Waits until at least {@code events} events are posted behind the gate. */
    void awaitPosted(int events) throws InterruptedException {
      await("events behind the gate", () -> server.loop.queuedEvents() >= events);
    }

    /** Returns the number of events posted behind the gate. */
    int postedCount() {
      return server.loop.queuedEvents();
    }

    @Override
    public void close() {
      released.countDown();
    }
  }

  /** Runs a task in an iteration of the loop and waits until it has finished. */
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
      throw new AssertionError("the loop did not run a task in time");
    }
  }

  /** Waits for {@code count} complete loop iterations. */
  void runIterations(int count) throws InterruptedException {
    for (int i = 0; i < count; i++) {
      runInLoop(() -> {});
    }
  }

  interface IoTask {
    void run() throws IOException;
  }

  /** Runs a task on a daemon thread until it ends or its connection or listener is closed. */
  static void runInBackground(IoTask task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException e) {
                // The connection has ended, or the test is over.
              }
            },
            "test-peer");
    thread.setDaemon(true);
    thread.start();
  }

  /** Answers every call on this connection with "done" until the connection is closed. */
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

  /** Waits until the mixer has exactly {@code expected} open connections. */
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

  /** Waits until the mixer has stopped and returns its exit code. */
  int awaitExitCode() throws Exception {
    return exitCode.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  boolean hasExited() {
    return exitCode.isDone();
  }

  // ---- connections ----

  /** The test's side of one connection. */
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

    /** Reads exactly {@code length} bytes. */
    byte[] read(int length) throws IOException {
      byte[] bytes = input.readNBytes(length);
      if (bytes.length < length) {
        throw new EOFException(
            "the connection ended after " + bytes.length + " bytes of " + length);
      }
      return bytes;
    }

    /** Reads an HTTP head up to and including its empty line. */
    String readHead() throws IOException {
      ByteArrayOutputStream head = new ByteArrayOutputStream();
      while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
        head.writeBytes(read(1));
      }
      return head.toString(StandardCharsets.ISO_8859_1);
    }

    /**
     * Skips what the other side still sends and returns how it ended the connection: "closed" for
     * an orderly close, else "reset".
     */
    String awaitEnd() throws IOException {
      try {
        while (input.read() >= 0) {
          // The remaining bytes do not matter.
        }
        return "closed";
      } catch (SocketException e) {
        return "reset";
      }
    }

    /** Closes the sending direction: the mixer reads the end of input and can still write. */
    void halfClose() throws IOException {
      socket.shutdownOutput();
    }

    /** Resets the connection, discarding unsent bytes. */
    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  /** A listening socket. The kernel completes connections before the test accepts them. */
  private static class TestListener implements Closeable {
    private static final int BACKLOG = 64;

    private final InetSocketAddress address;

    /** The listening socket; closed while connections are refused. */
    private ServerSocket serverSocket;

    /**
     * Keeps the port while connections are refused: bound and not listening. Guards against a port
     * that another socket, such as a client's own end, has taken when listening resumes.
     */
    private final Socket portHolder;

    private final List<TestConnection> connections = new ArrayList<>();

    TestListener(boolean listens) throws IOException {
      portHolder = new Socket();
      portHolder.setReuseAddress(true);
      portHolder.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      address = (InetSocketAddress) portHolder.getLocalSocketAddress();
      resumeListening();
      if (!listens) {
        stopListening();
      }
    }

    InetSocketAddress address() {
      return address;
    }

    Socket accept() throws IOException {
      return serverSocket.accept();
    }

    /** Returns whether a connection has been accepted. */
    boolean hasAccepted() {
      return !connections.isEmpty();
    }

    /** Returns whether no connection arrives for {@code duration}. */
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

    /** Closes the listening socket, so that connections are refused. */
    void stopListening() throws IOException {
      serverSocket.close();
    }

    /** Listens at the address; the socket that holds its port stays until the end. */
    final void resumeListening() throws IOException {
      serverSocket = new ServerSocket();
      serverSocket.setReuseAddress(true);
      serverSocket.setSoTimeout(TIMEOUT_MS);
      serverSocket.bind(address, BACKLOG);
    }

    @Override
    public void close() throws IOException {
      serverSocket.close();
      portHolder.close();
      connections.forEach(MixerTestHarness::closeQuietly);
    }
  }

  // ---- discovery ----

  /** The discovery agent; answers only what the test makes it answer. */
  static final class DiscoveryAgent extends TestListener {
    DiscoveryAgent(boolean listens) throws IOException {
      super(listens);
    }

    /** Accepts the next connection and reads its request head. */
    DiscoveryConnection acceptRequest() throws IOException {
      return closeAtEnd(new DiscoveryConnection(accept()));
    }

    /** Accepts the next connection and answers its request with the head of a chunked response. */
    DiscoveryConnection acceptWatch() throws IOException {
      DiscoveryConnection connection = acceptRequest();
      connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      return connection;
    }
  }

  /** A connection to the discovery agent whose request head has been read. */
  static final class DiscoveryConnection extends TestConnection {
    final String requestHead;

    DiscoveryConnection(Socket socket) throws IOException {
      super(socket);
      requestHead = readHead();
    }

    /** Sends a line as one chunk. */
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

  /** A searcher; its connections wait in the backlog until the test accepts them. */
  final class Box extends TestListener {
    final String name;
    final int cell;
    long upSinceMs;

    private Box(String name, int cell) throws IOException {
      super(true);
      this.name = name;
      this.cell = cell;
    }

    /** Accepts the mixer's next connection. */
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

  /** A frame of the searcher protocol: its type letter and its payload. */
  record Frame(char type, byte[] payload) {
    String payloadText() {
      return new String(payload, StandardCharsets.ISO_8859_1);
    }

    /** Returns the ids of the parts that a call asks for; empty for other frames. */
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

  /** The box's side of one connection from the mixer. */
  static final class BoxConnection extends TestConnection {
    BoxConnection(Socket socket) throws IOException {
      super(socket);
    }

    Frame readFrame() throws IOException {
      int length = ByteBuffer.wrap(read(4)).order(ByteOrder.LITTLE_ENDIAN).getInt();
      byte[] bytes = read(length);
      return new Frame((char) bytes[0], Arrays.copyOfRange(bytes, 1, length));
    }

    /**
     * Reads frames up to the next call; answers health checks and load queries before it and skips
     * other frames.
     */
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

    /**
     * Answers every part of a call with the same outcome: "done" (with a value), "failed" or
     * "full".
     */
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

  final class Client extends TestConnection {
    private Client(Socket socket) throws IOException {
      super(socket);
    }

    /** Reads the next answer and returns its status and, after a blank, its body. */
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

    /** Requests {@code /ready} and returns whether the mixer reports that it is ready. */
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
   * Returns a scan request for the given partitions, with equal shares and a new transaction id
   * that {@link #lastTransactionId} returns.
   */
  String scanRequest(String serviceClass, int deadlineMs, int... partitions) {
    scanCount++;
    String targets =
        Arrays.stream(partitions)
            .mapToObj(
                partition ->
                    "{\"partition\":" + partition + ",\"share\":" + 1.0 / partitions.length + "}")
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

  // ---- starting up ----

  /**
   * Waits until the mixer reports that it is ready and only its connections to discovery and to the
   * test's clients are open; the connections of its warm-up are closed by then.
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
    // One watch, or up to 8 attempts to open one while discovery does not answer.
    long maxConnections =
        (agent.hasAccepted() ? 1 : 8)
            + resources.stream()
                .filter(
                    resource ->
                        resource instanceof Client && !((Client) resource).socket.isClosed())
                .count();
    for (int attempts = 0; openConnections.get() > maxConnections; attempts++) {
      if (attempts * POLL_INTERVAL_MS > TIMEOUT_MS) {
        throw new AssertionError(openConnections + " connections are still open after the warm-up");
      }
      Thread.sleep(POLL_INTERVAL_MS);
      runInLoop(() -> openConnections.set(server.network().connectionCount()));
    }
  }

  /**
   * Sends a complete member list with these boxes as the watch's first line, waits until the mixer
   * is ready and returns the watch.
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
