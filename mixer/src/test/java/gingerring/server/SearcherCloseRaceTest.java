package gingerring.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gingerring.backend.Backend;
import gingerring.backend.BackendListener;
import gingerring.backend.OutboundTrip;
import gingerring.decide.Outcome;
import gingerring.decide.SearcherId;
import gingerring.decide.Settings;
import gingerring.json.Json;
import gingerring.net.Counters;
import gingerring.net.EventQueue;
import gingerring.net.LoopTimer;
import gingerring.net.Network;
import gingerring.net.ScheduledTask;
import gingerring.net.TrafficListener;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Races of a searcher's connection close with a part that is being written, is in flight or is
 * answered, for each retry safety; and a probe that is requested while two dials are in progress:
 * see docs/crossings.md.
 */
@Timeout(120)
class SearcherCloseRaceTest {
  private enum CloseMode {
    /** Closes its sending side in order and still reads. */
    HALF_CLOSE,
    CLOSE,
    RESET;

    void apply(MixerTestHarness.BoxConnection connection) throws IOException {
      switch (this) {
        case HALF_CLOSE -> connection.halfClose();
        case CLOSE -> connection.close();
        case RESET -> connection.reset();
      }
    }
  }

  /**
   * One parameter set. {@code variant} selects between two orders or contents of events, as the
   * test defines them.
   */
  private record CloseCase(String serviceClass, CloseMode closeMode, boolean variant) {
    /** Returns whether a part of the class may run a second time. */
    boolean retryable() {
      return !serviceClass.equals("once");
    }
  }

  private static Stream<CloseCase> closeCases() {
    return Stream.of("search", "post", "once")
        .flatMap(
            serviceClass ->
                Arrays.stream(CloseMode.values())
                    .flatMap(
                        closeMode ->
                            Stream.of(
                                new CloseCase(serviceClass, closeMode, false),
                                new CloseCase(serviceClass, closeMode, true))));
  }

  private static Stream<CloseCase> closeCasesWithoutVariant() {
    return closeCases().filter(closeCase -> !closeCase.variant);
  }

  /** Blocks MINA's thread while it reads a request with the marker header. */
  private static final class ReadBlocker implements TrafficListener {
    private static final String MARKER_HEADER = "X-Brake";
    final CountDownLatch reached = new CountDownLatch(1);
    final CountDownLatch released = new CountDownLatch(1);

    @Override
    public void onOpened(long connection, InetSocketAddress opener, InetSocketAddress listener) {}

    @Override
    public void onData(long connection, int side, byte[] bytes) {
      if (new String(bytes, StandardCharsets.ISO_8859_1).contains(MARKER_HEADER)) {
        reached.countDown();
        awaitLatch(released);
      }
    }

    @Override
    public void onClosed(long connection, int side) {}
  }

  private static void awaitLatch(CountDownLatch latch) {
    try {
      assertTrue(latch.await(MixerTestHarness.TIMEOUT_MS, TimeUnit.MILLISECONDS));
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  /**
   * A mixer and three boxes. Box b0 has an idle connection and serves partitions 0 and 3; b1 serves
   * 0 and b2 serves 3, but each of these two has two calls in flight, so that every request for
   * either partition goes to b0 first.
   */
  private static final class ThreeBoxFixture implements Closeable {
    final ReadBlocker readBlocker = new ReadBlocker();
    final MixerTestHarness harness;
    final MixerTestHarness.Box b0;
    final MixerTestHarness.BoxConnection b0Connection;
    final MixerTestHarness.BoxConnection[] otherConnections = new MixerTestHarness.BoxConnection[2];
    final MixerTestHarness.Client client;

    /**
     * Starts the mixer and the boxes. {@code windowMs} is the idempotency window of the keyed
     * class.
     */
    ThreeBoxFixture(int windowMs) throws Exception {
      harness =
          new MixerTestHarness(
              readBlocker,
              true,
              "{\"Name\": \"post\"",
              "{\"Name\": \"once\", \"AimMs\": 600.0, "
                  + "\"HardLimitMs\": 2000.0, \"Idempotency\": \"at_most_once\", \"LateWorth\": 0.0, "
                  + "\"WindowMs\": 5000.0, \"Worth\": 1.0}, {\"Name\": \"post\"",
              "\"ClassFetch\": [0, 0]",
              "\"ClassFetch\": [0, 0, 0]",
              "\"ClassFloor\": [0.4, 1.0]",
              "\"ClassFloor\": [0.4, 1.0, 1.0]",
              "\"ClassPartial\": [0.9, 0.9]",
              "\"ClassPartial\": [0.9, 0.9, 0.9]",
              "\"NeedByClass\": [1.0, 1.0]",
              "\"NeedByClass\": [1.0, 1.0, 1.0]",
              // late parts are neither copied nor moved, and no probe interferes
              "\"Probing\": true",
              "\"Probing\": false",
              "\"SecondCopies\": true",
              "\"SecondCopies\": false",
              "\"AimMs\": 600.0",
              "\"AimMs\": 30000.0",
              "\"HardLimitMs\": 2000.0",
              "\"HardLimitMs\": 40000.0",
              "\"WindowMs\": 5000.0",
              "\"WindowMs\": " + windowMs + ".0");
      b0 = harness.box("b0", 0);
      MixerTestHarness.Box b1 = harness.box("b1", 1);
      MixerTestHarness.Box b2 = harness.box("b2", 3);
      harness.announceAndAwaitReady(b0, b1, b2);
      MixerTestHarness.Box[] boxes = {b1, b2};
      for (int i = 0; i < 2; i++) {
        for (int requestIndex = 0; requestIndex < 2; requestIndex++) {
          harness.connectClient().write(scan("search", i + 1));
          otherConnections[i] =
              requestIndex == 0 ? boxes[i].acceptConnection() : otherConnections[i];
          otherConnections[i].readCall();
        }
      }
      client = harness.connectClient();
      client.write(scan("search", 0));
      b0Connection = b0.acceptConnection();
      b0Connection.answer(b0Connection.readCall(), "done");
      assertTrue(client.readAnswer().startsWith("200"));
    }

    String scan(String serviceClass, int... partitions) {
      return harness.scanRequest(serviceClass, 40_000, partitions);
    }

    /** Asserts that the part is sent to another box, in a call of its own, and answers it there. */
    void assertAnsweredByOtherBox(int partition) throws IOException {
      MixerTestHarness.BoxConnection otherConnection = otherConnections[partition == 0 ? 0 : 1];
      MixerTestHarness.Frame request = otherConnection.readCall();
      assertEquals(List.of(harness.lastTransactionId() + '.' + partition), request.partIds());
      otherConnection.answer(request, "done");
    }

    /**
     * Asserts that the next call that each of the other boxes receives is the one sent now, so that
     * none was sent before.
     */
    void assertNothingElseSent() throws Exception {
      for (int i = 0; i < otherConnections.length; i++) {
        int partition = i + 1;
        harness.connectClient().write(scan("search", partition));
        assertEquals(
            List.of(harness.lastTransactionId() + '.' + partition),
            otherConnections[i].readCall().partIds());
      }
    }

    /** Reads the client's answer and asserts that nothing follows. */
    String readOnlyAnswer() throws IOException {
      String answer = client.readAnswer();
      client.halfClose();
      assertEquals(0, countRemainingBytes(client), "more than one answer");
      return answer;
    }

    void assertTripCounts(int brokenTrips, int unreachableTrips) {
      assertEquals(brokenTrips, harness.count("trips BROKEN"));
      assertEquals(unreachableTrips, harness.count("trips UNREACHABLE"));
    }

    @Override
    public void close() {
      readBlocker.released.countDown();
      harness.close();
    }
  }

  /** Counts the bytes that arrive until the mixer closes the connection in order. */
  private static int countRemainingBytes(MixerTestHarness.TestConnection peer) throws IOException {
    return peer.socket.getInputStream().readAllBytes().length;
  }

  /**
   * Guards against a part that is written to a connection whose close was read in the same loop
   * iteration.
   */
  @ParameterizedTest
  @MethodSource("closeCases")
  void closeReadInIterationOfScanDoesNotFailIt(CloseCase closeCase) throws Exception {
    try (ThreeBoxFixture fixture = new ThreeBoxFixture(5000)) {
      boolean closeFirst = closeCase.variant;
      try (MixerTestHarness.LoopGate gate = fixture.harness.pauseLoop()) {
        if (closeFirst) {
          closeCase.closeMode.apply(fixture.b0Connection);
          gate.awaitPosted(1);
        }
        int postedBefore = gate.postedCount();
        fixture.client.write(fixture.scan(closeCase.serviceClass, 0));
        gate.awaitPosted(postedBefore + 1);
        if (!closeFirst) {
          closeCase.closeMode.apply(fixture.b0Connection);
          gate.awaitPosted(postedBefore + 2);
        }
      }
      MixerTestHarness.BoxConnection newConnection = fixture.b0.acceptConnection();
      MixerTestHarness.Frame request = newConnection.readCall();
      assertEquals(List.of(fixture.harness.lastTransactionId() + ".0"), request.partIds());
      newConnection.answer(request, "done");
      assertTrue(fixture.readOnlyAnswer().startsWith("200 {\"whole\":true"));
      if (closeCase.closeMode == CloseMode.HALF_CLOSE) {
        assertEquals(0, countRemainingBytes(fixture.b0Connection));
      }
      fixture.assertNothingElseSent();
      fixture.assertTripCounts(0, 0);
    }
  }

  /**
   * MINA has read the close, but the close event waits behind the loop iteration that queues the
   * part, so nothing of the part is written. Guards against a part of any class that is failed as
   * if it might have run.
   */
  @ParameterizedTest
  @MethodSource("closeCasesWithoutVariant")
  void partQueuedButNeverWrittenIsSentToAnotherBox(CloseCase closeCase) throws Exception {
    try (ThreeBoxFixture fixture = new ThreeBoxFixture(5000)) {
      CountDownLatch iterationStarted = new CountDownLatch(1);
      CountDownLatch resume = new CountDownLatch(1);
      try (MixerTestHarness.LoopGate gate = fixture.harness.pauseLoop()) {
        fixture.client.write(fixture.scan(closeCase.serviceClass, 0));
        gate.awaitPosted(1);
        fixture.harness.server.loop.post(
            () -> {
              iterationStarted.countDown();
              awaitLatch(resume);
            });
      }
      // the scan is in this iteration; events posted from now on are in the next
      awaitLatch(iterationStarted);
      closeCase.closeMode.apply(fixture.b0Connection);
      MixerTestHarness.await(
          "the close event", () -> fixture.harness.server.loop.queuedEvents() >= 1);
      resume.countDown();
      fixture.assertAnsweredByOtherBox(0);
      assertTrue(fixture.readOnlyAnswer().startsWith("200 {\"whole\":true"));
      if (closeCase.closeMode == CloseMode.HALF_CLOSE) {
        assertEquals(0, countRemainingBytes(fixture.b0Connection));
      }
      fixture.assertNothingElseSent();
      fixture.assertTripCounts(0, 1);
    }
  }

  /**
   * The close is unread in the kernel while the part is written. After an orderly close the write
   * succeeds and the searcher may still read the part, so the part may have run. After a reset
   * nothing can be written. Guards against a second effect, and against a part that is failed
   * although it was never sent.
   */
  @ParameterizedTest
  @MethodSource("closeCasesWithoutVariant")
  void partWrittenBeforeCloseIsReadMayHaveRun(CloseCase closeCase) throws Exception {
    try (ThreeBoxFixture fixture = new ThreeBoxFixture(5000)) {
      MixerTestHarness.Client blockedClient = fixture.harness.connectClient();
      blockedClient.write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
      assertTrue(blockedClient.readAnswer().startsWith("200"));
      try (MixerTestHarness.LoopGate gate = fixture.harness.pauseLoop()) {
        fixture.client.write(fixture.scan(closeCase.serviceClass, 0));
        gate.awaitPosted(1);
        blockedClient.write(
            "GET /ready HTTP/1.1\r\nHost: x\r\n" + ReadBlocker.MARKER_HEADER + ": 1\r\n\r\n");
        awaitLatch(fixture.readBlocker.reached);
        closeCase.closeMode.apply(fixture.b0Connection);
      }
      // the part is queued at MINA, which writes before it reads again
      fixture.harness.runIterations(2);
      fixture.readBlocker.released.countDown();
      boolean mayHaveRun = closeCase.closeMode != CloseMode.RESET;
      if (closeCase.closeMode == CloseMode.HALF_CLOSE) {
        assertEquals(
            List.of(fixture.harness.lastTransactionId() + ".0"),
            fixture.b0Connection.readCall().partIds());
        assertEquals(0, countRemainingBytes(fixture.b0Connection));
      }
      assertOutcomeOfClass(fixture, closeCase, mayHaveRun);
      fixture.assertTripCounts(mayHaveRun ? 1 : 0, mayHaveRun ? 0 : 1);
    }
  }

  /**
   * Asserts the only answer to a scan of partition 0, and the retry at another box if the class
   * allows one.
   */
  private static void assertOutcomeOfClass(
      ThreeBoxFixture fixture, CloseCase closeCase, boolean mayHaveRun) throws Exception {
    if (closeCase.retryable() || !mayHaveRun) {
      fixture.assertAnsweredByOtherBox(0);
      assertTrue(fixture.readOnlyAnswer().startsWith("200 {\"whole\":true"));
    } else {
      assertTrue(fixture.readOnlyAnswer().startsWith("500"));
    }
    fixture.assertNothingElseSent();
  }

  /**
   * Guards against a second effect of a part that its searcher had read, and against a part that is
   * failed although its class allows a retry.
   */
  @ParameterizedTest
  @MethodSource("closeCasesWithoutVariant")
  void partReadBySearcherIsRetriedIfItsClassAllows(CloseCase closeCase) throws Exception {
    try (ThreeBoxFixture fixture = new ThreeBoxFixture(5000)) {
      fixture.client.write(fixture.scan(closeCase.serviceClass, 0));
      assertEquals(
          List.of(fixture.harness.lastTransactionId() + ".0"),
          fixture.b0Connection.readCall().partIds());
      try (MixerTestHarness.LoopGate gate = fixture.harness.pauseLoop()) {
        closeCase.closeMode.apply(fixture.b0Connection);
        gate.awaitPosted(1);
      }
      assertOutcomeOfClass(fixture, closeCase, true);
      fixture.assertTripCounts(1, 0);
    }
  }

  /** Guards against a retry that its searcher no longer recognises as a repeat. */
  @ParameterizedTest
  @EnumSource(CloseMode.class)
  void keyedPartIsNotRetriedAfterIdempotencyWindow(CloseMode closeMode) throws Exception {
    int windowMs = 100;
    try (ThreeBoxFixture fixture = new ThreeBoxFixture(windowMs)) {
      fixture.client.write(fixture.scan("post", 0));
      assertEquals(
          List.of(fixture.harness.lastTransactionId() + ".0"),
          fixture.b0Connection.readCall().partIds());
      long readAtNanos = System.nanoTime();
      try (MixerTestHarness.LoopGate gate = fixture.harness.pauseLoop()) {
        MixerTestHarness.await(
            "the end of the window", () -> System.nanoTime() - readAtNanos > windowMs * 1_000_000L);
        closeMode.apply(fixture.b0Connection);
        gate.awaitPosted(1);
      }
      assertTrue(fixture.readOnlyAnswer().startsWith("500"));
      fixture.assertNothingElseSent();
      fixture.assertTripCounts(1, 0);
    }
  }

  /**
   * Of two parts of a call one is answered, and in one variant half of the other's answer has
   * arrived. Guards against an answer that is lost with its connection, and against the answered
   * part being retried with the other.
   */
  @ParameterizedTest
  @MethodSource("closeCases")
  void unansweredPartOfTwoEndsAsItsClassAllows(CloseCase closeCase) throws Exception {
    for (int answered : new int[] {0, 3}) {
      try (ThreeBoxFixture fixture = new ThreeBoxFixture(5000)) {
        int unanswered = 3 - answered;
        fixture.client.write(fixture.scan(closeCase.serviceClass, 0, 3));
        String transactionId = fixture.harness.lastTransactionId();
        assertEquals(2, fixture.b0Connection.readCall().partIds().size());
        try (MixerTestHarness.LoopGate gate = fixture.harness.pauseLoop()) {
          byte[] unansweredResult =
              MixerTestHarness.BoxConnection.resultFrame(transactionId + '.' + unanswered, "done");
          fixture.b0Connection.write(
              MixerTestHarness.BoxConnection.resultFrame(transactionId + '.' + answered, "done"));
          fixture.b0Connection.write(
              closeCase.variant
                  ? Arrays.copyOf(unansweredResult, unansweredResult.length - 1)
                  : new byte[0]);
          gate.awaitPosted(1);
          closeCase.closeMode.apply(fixture.b0Connection);
          gate.awaitPosted(2);
        }
        if (closeCase.retryable()) {
          fixture.assertAnsweredByOtherBox(unanswered);
          String answer = fixture.readOnlyAnswer();
          assertTrue(
              answer.startsWith("200 {\"whole\":true")
                  && answer.contains("v" + transactionId + ".0")
                  && answer.contains("v" + transactionId + ".3"),
              answer);
        } else {
          assertTrue(fixture.readOnlyAnswer().startsWith("500"));
        }
        fixture.assertNothingElseSent();
        fixture.assertTripCounts(1, 0);
      }
    }
  }

  // ---- probes while two dials are in progress ----

  /**
   * A loop whose iterations the test runs one by one on a manual clock: an event is processed when
   * the test runs it.
   */
  private static final class ManualLoop implements EventQueue, LoopTimer {
    private record Timer(Duration dueAt, int sequence, Runnable task) {}

    private final BlockingQueue<Runnable> posted = new LinkedBlockingQueue<>();
    private final PriorityQueue<Timer> timers =
        new PriorityQueue<>(Comparator.comparing(Timer::dueAt).thenComparing(Timer::sequence));
    private volatile Duration now = Duration.ZERO;
    private int timerCount;

    @Override
    public void post(Runnable event) {
      posted.add(event);
    }

    @Override
    public Duration currentTime() {
      return now;
    }

    @Override
    public Duration now() {
      return now;
    }

    @Override
    public ScheduledTask schedule(Duration delay, Runnable task) {
      Timer timer = new Timer(now.plus(delay), timerCount++, task);
      timers.add(timer);
      return () -> timers.remove(timer);
    }
  }

  /**
   * The mixer's backend on its own, and one searcher: its dials are established, but the backend is
   * notified only when the test runs the event.
   */
  private static final class DialFixture implements BackendListener, Closeable {
    private static final SearcherId SEARCHER = new SearcherId(1);

    final ManualLoop loop = new ManualLoop();
    final Counters counts = new Counters();
    final Network network = new Network(loop, counts, false);
    final Backend backend;
    final Duration dialTimeout;
    ServerSocket listener = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
    final List<MixerTestHarness.BoxConnection> connections = new ArrayList<>();

    /** The events that report a dial as established or refused. */
    final List<Runnable> dialResults = new ArrayList<>();

    final List<Outcome> probeOutcomes = new ArrayList<>();

    DialFixture() throws IOException, Json.JsonException {
      Map<String, String> flatSettings = new HashMap<>();
      Path example = Files.exists(Path.of("example")) ? Path.of("example") : Path.of("../example");
      MixerConfig.flatten(
          "",
          ((Map<?, ?>) Json.parse(Files.readAllBytes(example.resolve("config.json"))))
              .get("settings"),
          flatSettings);
      Settings settings = new Settings(flatSettings);
      backend = new Backend(network, this, settings, counts, loop);
      dialTimeout = settings.duration("PolicyLimits.DialTimeoutMs");
      listener.setSoTimeout(MixerTestHarness.TIMEOUT_MS);
      backend.addOrUpdate(SEARCHER, (InetSocketAddress) listener.getLocalSocketAddress(), null);
    }

    /**
     * Returns a fixture whose first dial is late and whose second dial is in progress for a probe;
     * neither result has been processed.
     */
    static DialFixture withTwoDials() throws Exception {
      DialFixture fixture = new DialFixture();
      fixture.dialForProbe();
      fixture.passDialTimeout();
      // outcome of the probe that started the first dial
      assertEquals(List.of(Outcome.UNREACHABLE), fixture.probeOutcomes);
      fixture.probeOutcomes.clear();
      fixture.dialForProbe();
      return fixture;
    }

    private void dialForProbe() throws Exception {
      backend.probe(SEARCHER);
      runIteration();
      assertEquals(dialResults.size() + 1, counts.get("links dialled"));
      connections.add(new MixerTestHarness.BoxConnection(listener.accept()));
      dialResults.add(nextEvent());
    }

    /** Refuses connections from now on. */
    void refuseConnections() throws IOException {
      listener.close();
    }

    /** Accepts connections again at the same address. */
    void admitConnections() throws IOException {
      int port = listener.getLocalPort();
      listener = new ServerSocket();
      listener.setReuseAddress(true);
      listener.setSoTimeout(MixerTestHarness.TIMEOUT_MS);
      listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 8);
    }

    void passDialTimeout() {
      loop.now = loop.now.plus(dialTimeout);
      runIteration();
    }

    Runnable nextEvent() throws InterruptedException {
      Runnable event = loop.posted.poll(MixerTestHarness.TIMEOUT_MS, TimeUnit.MILLISECONDS);
      assertTrue(event != null, "no event within " + MixerTestHarness.TIMEOUT_MS + " ms");
      return event;
    }

    /** Runs one iteration as the loop does: events, due timers, dispatch, flush. */
    void runIteration(Runnable... events) {
      Arrays.stream(events).forEach(Runnable::run);
      while (!loop.timers.isEmpty() && loop.timers.peek().dueAt.compareTo(loop.now) <= 0) {
        loop.timers.poll().task.run();
      }
      backend.dispatch();
      network.flush();
    }

    /**
     * Runs iterations with the next events, except the dial results held back, until the condition
     * holds.
     */
    void runIterationsUntil(BooleanSupplier condition) throws InterruptedException {
      while (!condition.getAsBoolean()) {
        runIteration(nextEvent());
      }
    }

    void assertProbeReceivedOn(int connectionIndex) throws IOException {
      assertEquals('H', connections.get(connectionIndex).readFrame().type());
    }

    void answerProbe(int connectionIndex) throws Exception {
      connections
          .get(connectionIndex)
          .write(MixerTestHarness.BoxConnection.encodeFrame('H', "done"));
      runIterationsUntil(() -> probeOutcomes.size() == 1);
      assertEquals(List.of(Outcome.SUCCEEDED), probeOutcomes);
    }

    /**
     * Asserts that nothing more is sent on any connection and no other outcome is reported, even
     * after all timeouts.
     */
    void assertFinalOutcome(Outcome outcome) throws Exception {
      runIteration();
      passDialTimeout();
      backend.closeIdle(SEARCHER);
      runIterationsUntil(() -> network.connectionCount() == 0);
      for (MixerTestHarness.BoxConnection connection : connections) {
        if (!connection.socket.isClosed()) {
          assertEquals(0, countRemainingBytes(connection));
        }
      }
      assertEquals(List.of(outcome), probeOutcomes);
    }

    @Override
    public void tripEnded(OutboundTrip trip, Outcome outcome, float[] load, byte[] value) {}

    @Override
    public void probeEnded(
        SearcherId searcher, Outcome outcome, Duration responseTime, float[] load) {
      probeOutcomes.add(outcome);
    }

    @Override
    public void close() throws IOException {
      network.dispose();
      for (MixerTestHarness.BoxConnection connection : connections) {
        connection.close();
      }
      listener.close();
    }
  }

  private enum OtherDialOrder {
    ESTABLISHED_IN_SAME_ITERATION,
    ESTABLISHED_BEFORE_ANSWER,
    ESTABLISHED_AFTER_ANSWER
  }

  private static Stream<List<Object>> dialOrders() {
    return Stream.of(0, 1)
        .flatMap(
            first -> Arrays.stream(OtherDialOrder.values()).map(other -> List.of(first, other)));
  }

  /**
   * Guards against a probe that is sent on both of two connections, or on none, in either order of
   * the dial results.
   */
  @ParameterizedTest
  @MethodSource("dialOrders")
  void probeUsesFirstOfTwoDialsToBeEstablished(List<Object> closeCase) throws Exception {
    int first = (int) closeCase.get(0);
    OtherDialOrder other = (OtherDialOrder) closeCase.get(1);
    try (DialFixture fixture = DialFixture.withTwoDials()) {
      Runnable establishedFirst = fixture.dialResults.get(first);
      Runnable establishedSecond = fixture.dialResults.get(1 - first);
      if (other == OtherDialOrder.ESTABLISHED_IN_SAME_ITERATION) {
        fixture.runIteration(establishedFirst, establishedSecond);
      } else {
        fixture.runIteration(establishedFirst);
      }
      fixture.assertProbeReceivedOn(first);
      if (other == OtherDialOrder.ESTABLISHED_BEFORE_ANSWER) {
        fixture.runIteration(establishedSecond);
      }
      fixture.answerProbe(first);
      if (other == OtherDialOrder.ESTABLISHED_AFTER_ANSWER) {
        fixture.runIteration(establishedSecond);
      }
      fixture.assertFinalOutcome(Outcome.SUCCEEDED);
      assertEquals(2, fixture.counts.get("links dialled"));
    }
  }

  /**
   * Guards against a second dial, or a probe that keeps waiting, if the late dial is established in
   * the loop iteration of the probe.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void probeUsesLateDialEstablishedInItsIteration(boolean dialFirst) throws Exception {
    try (DialFixture fixture = new DialFixture()) {
      fixture.dialForProbe();
      fixture.passDialTimeout();
      fixture.probeOutcomes.clear();
      Runnable probeRequest = () -> fixture.backend.probe(DialFixture.SEARCHER);
      Runnable established = fixture.dialResults.get(0);
      fixture.runIteration(
          dialFirst ? established : probeRequest, dialFirst ? probeRequest : established);
      fixture.assertProbeReceivedOn(0);
      fixture.answerProbe(0);
      fixture.assertFinalOutcome(Outcome.SUCCEEDED);
      assertEquals(1, fixture.counts.get("links dialled"));
    }
  }

  /**
   * Guards against a probe that is sent, on either connection, after it was reported as
   * unreachable.
   */
  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void unreachableProbeIsNotSentOnLaterConnection(int first) throws Exception {
    try (DialFixture fixture = DialFixture.withTwoDials()) {
      fixture.passDialTimeout();
      assertEquals(List.of(Outcome.UNREACHABLE), fixture.probeOutcomes);
      fixture.runIteration(fixture.dialResults.get(first));
      fixture.runIteration(fixture.dialResults.get(1 - first));
      fixture.assertFinalOutcome(Outcome.UNREACHABLE);
    }
  }

  /**
   * Events of a loop iteration are processed before its timers. Guards against a probe that is sent
   * and also reported as not sent.
   */
  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void probeIsSentOnDialEstablishedInIterationOfItsTimeout(int first) throws Exception {
    try (DialFixture fixture = DialFixture.withTwoDials()) {
      fixture.loop.now = fixture.loop.now.plus(fixture.dialTimeout);
      fixture.runIteration(fixture.dialResults.get(first));
      fixture.assertProbeReceivedOn(first);
      fixture.runIteration(fixture.dialResults.get(1 - first));
      fixture.answerProbe(first);
      fixture.assertFinalOutcome(Outcome.SUCCEEDED);
    }
  }

  /**
   * Guards against a probe that is repeated on the other connection after its timeout, against a
   * late answer that is taken for the next probe's, and against a next probe that fails on the
   * connection of the first.
   */
  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void probeTimedOutOnOneConnectionLeavesOtherToNextProbe(int first) throws Exception {
    try (DialFixture fixture = DialFixture.withTwoDials()) {
      fixture.runIteration(fixture.dialResults.get(first));
      fixture.assertProbeReceivedOn(first);
      fixture.runIteration(fixture.dialResults.get(1 - first));
      fixture.passDialTimeout();
      assertEquals(List.of(Outcome.TIMED_OUT), fixture.probeOutcomes);
      fixture.probeOutcomes.clear();
      fixture
          .connections
          .get(first)
          .write(MixerTestHarness.BoxConnection.encodeFrame('H', "failed"));
      fixture.backend.probe(DialFixture.SEARCHER);
      fixture.runIteration();
      fixture.assertProbeReceivedOn(1 - first);
      fixture.answerProbe(1 - first);
      fixture.assertFinalOutcome(Outcome.SUCCEEDED);
      assertEquals(2, fixture.counts.get("links dialled"));
    }
  }

  /** Guards against a probe that is reported both as timed out and as answered, in either order. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void probeAnswerReadInIterationOfItsTimeoutCounts(int first) throws Exception {
    try (DialFixture fixture = DialFixture.withTwoDials()) {
      fixture.runIteration(fixture.dialResults.get(first), fixture.dialResults.get(1 - first));
      fixture.assertProbeReceivedOn(first);
      fixture.runIterationsUntil(fixture.network::isFlushed);
      fixture.connections.get(first).write(MixerTestHarness.BoxConnection.encodeFrame('H', "done"));
      fixture.loop.now = fixture.loop.now.plus(fixture.dialTimeout);
      fixture.runIteration(fixture.nextEvent());
      fixture.assertFinalOutcome(Outcome.SUCCEEDED);
    }
  }

  /**
   * Guards against a probe that is repeated on the other connection, or reported twice, when its
   * own connection ends.
   */
  @ParameterizedTest
  @EnumSource(CloseMode.class)
  void probeWhoseConnectionEndsIsReportedBrokenOnce(CloseMode closeMode) throws Exception {
    for (int first : new int[] {0, 1}) {
      for (boolean otherEstablishedFirst : new boolean[] {true, false}) {
        try (DialFixture fixture = DialFixture.withTwoDials()) {
          Runnable otherEstablished = fixture.dialResults.get(1 - first);
          fixture.runIteration(fixture.dialResults.get(first));
          fixture.assertProbeReceivedOn(first);
          fixture.runIterationsUntil(fixture.network::isFlushed);
          closeMode.apply(fixture.connections.get(first));
          Runnable closeEvent = fixture.nextEvent();
          fixture.runIteration(
              otherEstablishedFirst ? otherEstablished : closeEvent,
              otherEstablishedFirst ? closeEvent : otherEstablished);
          fixture.assertFinalOutcome(Outcome.BROKEN);
        }
      }
    }
  }

  private enum RefusalOrder {
    REFUSED_FIRST,
    REFUSED_FIRST_IN_ONE_ITERATION,
    REFUSED_LAST,
    REFUSED_LAST_IN_ONE_ITERATION
  }

  /**
   * Guards against a probe that is reported as unreachable and also sent on the late connection, or
   * sent without its answer being processed.
   */
  @ParameterizedTest
  @EnumSource(RefusalOrder.class)
  void secondDialRefusedWhileLateDialIsEstablished(RefusalOrder refusal) throws Exception {
    try (DialFixture fixture = new DialFixture()) {
      fixture.dialForProbe();
      fixture.passDialTimeout();
      fixture.probeOutcomes.clear();
      fixture.refuseConnections();
      fixture.backend.probe(DialFixture.SEARCHER);
      fixture.runIteration();
      Runnable established = fixture.dialResults.get(0);
      Runnable refused = fixture.nextEvent();
      boolean establishedFirst =
          refusal == RefusalOrder.REFUSED_LAST
              || refusal == RefusalOrder.REFUSED_LAST_IN_ONE_ITERATION;
      if (refusal == RefusalOrder.REFUSED_FIRST || refusal == RefusalOrder.REFUSED_LAST) {
        fixture.runIteration(establishedFirst ? established : refused);
        fixture.runIteration(establishedFirst ? refused : established);
      } else {
        fixture.runIteration(
            establishedFirst ? established : refused, establishedFirst ? refused : established);
      }
      if (establishedFirst) {
        fixture.assertProbeReceivedOn(0);
        fixture.answerProbe(0);
      }
      fixture.assertFinalOutcome(establishedFirst ? Outcome.SUCCEEDED : Outcome.UNREACHABLE);
      assertEquals(2, fixture.counts.get("links dialled"));
    }
  }

  private enum EventOrder {
    REFUSED_FIRST,
    REFUSED_FIRST_IN_ONE_ITERATION,
    ESTABLISHED_FIRST,
    ESTABLISHED_FIRST_IN_ONE_ITERATION
  }

  /**
   * Guards against a probe that is reported as unreachable because one dial failed while another is
   * in progress.
   */
  @ParameterizedTest
  @EnumSource(EventOrder.class)
  void lateDialRefusedWhileSecondDialIsEstablished(EventOrder order) throws Exception {
    try (DialFixture fixture = new DialFixture()) {
      fixture.refuseConnections();
      fixture.backend.probe(DialFixture.SEARCHER);
      fixture.runIteration();
      Runnable refused = fixture.nextEvent();
      fixture.passDialTimeout();
      assertEquals(List.of(Outcome.UNREACHABLE), fixture.probeOutcomes);
      fixture.probeOutcomes.clear();
      fixture.admitConnections();
      fixture.backend.probe(DialFixture.SEARCHER);
      fixture.runIteration();
      assertEquals(2, fixture.counts.get("links dialled"));
      fixture.connections.add(new MixerTestHarness.BoxConnection(fixture.listener.accept()));
      Runnable established = fixture.nextEvent();
      switch (order) {
        case REFUSED_FIRST -> {
          fixture.runIteration(refused);
          fixture.runIteration(established);
        }
        case REFUSED_FIRST_IN_ONE_ITERATION -> fixture.runIteration(refused, established);
        case ESTABLISHED_FIRST -> {
          fixture.runIteration(established);
          fixture.runIteration(refused);
        }
        case ESTABLISHED_FIRST_IN_ONE_ITERATION -> fixture.runIteration(established, refused);
      }
      fixture.assertProbeReceivedOn(0);
      fixture.answerProbe(0);
      fixture.assertFinalOutcome(Outcome.SUCCEEDED);
      assertEquals(2, fixture.counts.get("links dialled"));
    }
  }

  /**
   * The older of two late dials is abandoned for a third. Guards against a probe that is sent on
   * the abandoned connection.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void abandonedDialIsNotUsedWhenEstablishedAfterThirdDial(boolean secondEstablishedFirst)
      throws Exception {
    try (DialFixture fixture = DialFixture.withTwoDials()) {
      fixture.passDialTimeout();
      fixture.probeOutcomes.clear();
      fixture.backend.probe(DialFixture.SEARCHER);
      fixture.runIteration();
      assertEquals(3, fixture.counts.get("links dialled"));
      fixture.connections.add(new MixerTestHarness.BoxConnection(fixture.listener.accept()));
      if (secondEstablishedFirst) {
        fixture.runIteration(fixture.dialResults.get(0), fixture.dialResults.get(1));
      } else {
        fixture.runIteration(fixture.dialResults.get(0));
        fixture.runIterationsUntil(
            () ->
                !fixture.network
                    .isFlushed()); // the third dial is established and the probe is queued
        fixture.runIteration(fixture.dialResults.get(1));
      }
      int expectedConnection = secondEstablishedFirst ? 1 : 2;
      fixture.assertProbeReceivedOn(expectedConnection);
      fixture.answerProbe(expectedConnection);
      fixture.assertFinalOutcome(Outcome.SUCCEEDED);
    }
  }
}
