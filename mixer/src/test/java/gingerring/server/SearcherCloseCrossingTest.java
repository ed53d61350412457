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
 * A searcher that closes its connection just as a part is written to it, is out or is answered, by
 * what a repeat does in the part's class; and a probe that is wanted while two dials are under way:
 * see docs/crossings.md.
 */
@Timeout(120)
class SearcherCloseCrossingTest {
  private enum How {
    /** In order, and it still reads what comes. */
    HALF_CLOSE,
    CLOSE,
    RESET;

    void act(MixerTestHarness.BoxConnection link) throws IOException {
      switch (this) {
        case HALF_CLOSE -> link.halfClose();
        case CLOSE -> link.close();
        case RESET -> link.reset();
      }
    }
  }

  private record Play(String grade, How how, boolean flag) {
    /** May run a second time. */
    boolean repeats() {
      return !grade.equals("once");
    }
  }

  private static Stream<Play> plays() {
    return Stream.of("search", "post", "once")
        .flatMap(
            grade ->
                Arrays.stream(How.values())
                    .flatMap(
                        how -> Stream.of(new Play(grade, how, false), new Play(grade, how, true))));
  }

  private static Stream<Play> playsOnce() {
    return plays().filter(play -> !play.flag);
  }

  /** Holds MINA's thread where it reads a request that is marked for it. */
  private static final class Brake implements TrafficListener {
    private static final String MARK = "X-Brake";
    final CountDownLatch reached = new CountDownLatch(1);
    final CountDownLatch released = new CountDownLatch(1);

    @Override
    public void onOpened(long connection, InetSocketAddress opener, InetSocketAddress listener) {}

    @Override
    public void onData(long connection, int side, byte[] bytes) {
      if (new String(bytes, StandardCharsets.ISO_8859_1).contains(MARK)) {
        reached.countDown();
        await(released);
      }
    }

    @Override
    public void onClosed(long connection, int side) {}
  }

  private static void await(CountDownLatch latch) {
    try {
      assertTrue(latch.await(MixerTestHarness.TIMEOUT_MS, TimeUnit.MILLISECONDS));
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  /**
   * A mixer and three boxes: b0 has a connection that rests, and holds shards 0 and 3; b1 holds 0,
   * and b2 holds 3, but two calls are out at each, so that whatever either shard is asked for goes
   * to b0 first.
   */
  private static final class Stage implements Closeable {
    final Brake brake = new Brake();
    final MixerTestHarness rig;
    final MixerTestHarness.Box b0;
    final MixerTestHarness.BoxConnection link;
    final MixerTestHarness.BoxConnection[] others = new MixerTestHarness.BoxConnection[2];
    final MixerTestHarness.Client client;

    /** {@code windowMs}: of the class that may run again in it. */
    Stage(int windowMs) throws Exception {
      rig =
          new MixerTestHarness(
              brake,
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
              // no part is copied or moved for being late, and no probe comes between
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
      b0 = rig.box("b0", 0);
      MixerTestHarness.Box b1 = rig.box("b1", 1);
      MixerTestHarness.Box b2 = rig.box("b2", 3);
      rig.announceAndAwaitReady(b0, b1, b2);
      MixerTestHarness.Box[] boxes = {b1, b2};
      for (int i = 0; i < 2; i++) {
        for (int calls = 0; calls < 2; calls++) {
          rig.connectClient().write(scan("search", i + 1));
          others[i] = calls == 0 ? boxes[i].acceptConnection() : others[i];
          others[i].readCall();
        }
      }
      client = rig.connectClient();
      client.write(scan("search", 0));
      link = b0.acceptConnection();
      link.answer(link.readCall(), "done");
      assertTrue(client.readAnswer().startsWith("200"));
    }

    String scan(String grade, int... shards) {
      return rig.scanRequest(grade, 40_000, shards);
    }

    /** The part comes to another box, by itself, and is done there. */
    void goesElsewhere(int shard) throws IOException {
      MixerTestHarness.BoxConnection other = others[shard == 0 ? 0 : 1];
      MixerTestHarness.Frame call = other.readCall();
      assertEquals(List.of(rig.lastTransactionId() + '.' + shard), call.partIds());
      other.answer(call, "done");
    }

    /**
     * The next that each of the other boxes hears of is what is sent to it now: nothing else was.
     */
    void nothingElseIsSent() throws Exception {
      for (int i = 0; i < others.length; i++) {
        int shard = i + 1;
        rig.connectClient().write(scan("search", shard));
        assertEquals(
            List.of(rig.lastTransactionId() + '.' + shard), others[i].readCall().partIds());
      }
    }

    /** The client's answer, after which it is told nothing more. */
    String onlyAnswer() throws IOException {
      String answer = client.readAnswer();
      client.halfClose();
      assertEquals(0, rest(client), "one answer");
      return answer;
    }

    void counted(int brokenTrips, int unreachable) {
      assertEquals(brokenTrips, rig.count("trips BROKEN"));
      assertEquals(unreachable, rig.count("trips UNREACHABLE"));
    }

    @Override
    public void close() {
      brake.released.countDown();
      rig.close();
    }
  }

  /** How many bytes come until the mixer ends the connection in order. */
  private static int rest(MixerTestHarness.TestConnection talk) throws IOException {
    return talk.socket.getInputStream().readAllBytes().length;
  }

  /**
   * Guards against a part that is put into a connection of which the end was heard in the same
   * turn.
   */
  @ParameterizedTest
  @MethodSource("plays")
  void aCloseHeardInTheTurnOfAScanCostsItNothing(Play play) throws Exception {
    try (Stage stage = new Stage(5000)) {
      boolean closeFirst = play.flag;
      try (MixerTestHarness.LoopGate gate = stage.rig.pauseLoop()) {
        if (closeFirst) {
          play.how.act(stage.link);
          gate.awaitPosted(1);
        }
        int before = gate.postedCount();
        stage.client.write(stage.scan(play.grade, 0));
        gate.awaitPosted(before + 1);
        if (!closeFirst) {
          play.how.act(stage.link);
          gate.awaitPosted(before + 2);
        }
      }
      MixerTestHarness.BoxConnection next = stage.b0.acceptConnection();
      MixerTestHarness.Frame call = next.readCall();
      assertEquals(List.of(stage.rig.lastTransactionId() + ".0"), call.partIds());
      next.answer(call, "done");
      assertTrue(stage.onlyAnswer().startsWith("200 {\"whole\":true"));
      if (play.how == How.HALF_CLOSE) {
        assertEquals(0, rest(stage.link));
      }
      stage.nothingElseIsSent();
      stage.counted(0, 0);
    }
  }

  /**
   * The end is known to MINA, and its word behind the turn that puts the part: nothing of it
   * leaves. Guards against a part of any class that is given up as if it might have run.
   */
  @ParameterizedTest
  @MethodSource("playsOnce")
  void aPartThatWasPutAndNeverWrittenGoesElsewhere(Play play) throws Exception {
    try (Stage stage = new Stage(5000)) {
      CountDownLatch inTurn = new CountDownLatch(1);
      CountDownLatch goOn = new CountDownLatch(1);
      try (MixerTestHarness.LoopGate gate = stage.rig.pauseLoop()) {
        stage.client.write(stage.scan(play.grade, 0));
        gate.awaitPosted(1);
        stage.rig.server.loop.post(
            () -> {
              inTurn.countDown();
              await(goOn);
            });
      }
      await(inTurn); // the scan is in this turn, and what is posted from now on is not
      play.how.act(stage.link);
      MixerTestHarness.await(
          "the word of the close", () -> stage.rig.server.loop.queuedEvents() >= 1);
      goOn.countDown();
      stage.goesElsewhere(0);
      assertTrue(stage.onlyAnswer().startsWith("200 {\"whole\":true"));
      if (play.how == How.HALF_CLOSE) {
        assertEquals(0, rest(stage.link));
      }
      stage.nothingElseIsSent();
      stage.counted(0, 1);
    }
  }

  /**
   * The end stands unread in the kernel while the part is written. After an orderly close the write
   * goes well, and the searcher may still read it: the part may have run. After a reset nothing can
   * be written. Guards against a second effect, and against a part that is given up though it never
   * left.
   */
  @ParameterizedTest
  @MethodSource("playsOnce")
  void aPartWrittenOverAnUnreadCloseMayHaveRun(Play play) throws Exception {
    try (Stage stage = new Stage(5000)) {
      MixerTestHarness.Client braking = stage.rig.connectClient();
      braking.write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
      assertTrue(braking.readAnswer().startsWith("200"));
      try (MixerTestHarness.LoopGate gate = stage.rig.pauseLoop()) {
        stage.client.write(stage.scan(play.grade, 0));
        gate.awaitPosted(1);
        braking.write("GET /ready HTTP/1.1\r\nHost: x\r\n" + Brake.MARK + ": 1\r\n\r\n");
        await(stage.brake.reached);
        play.how.act(stage.link);
      }
      stage.rig.runIterations(2); // the part is MINA's, which writes before it reads again
      stage.brake.released.countDown();
      boolean mayHaveRun = play.how != How.RESET;
      if (play.how == How.HALF_CLOSE) {
        assertEquals(
            List.of(stage.rig.lastTransactionId() + ".0"), stage.link.readCall().partIds());
        assertEquals(0, rest(stage.link));
      }
      endsByClass(stage, play, mayHaveRun);
      stage.counted(mayHaveRun ? 1 : 0, mayHaveRun ? 0 : 1);
    }
  }

  /** The one answer to a scan of shard 0, and what is sent for it to another. */
  private static void endsByClass(Stage stage, Play play, boolean mayHaveRun) throws Exception {
    if (play.repeats() || !mayHaveRun) {
      stage.goesElsewhere(0);
      assertTrue(stage.onlyAnswer().startsWith("200 {\"whole\":true"));
    } else {
      assertTrue(stage.onlyAnswer().startsWith("500"));
    }
    stage.nothingElseIsSent();
  }

  /**
   * Guards against a second effect of a part that its searcher had read, and against one given up
   * for nothing.
   */
  @ParameterizedTest
  @MethodSource("playsOnce")
  void aPartThatWasReadIsSentAgainWhereItsClassAllowsIt(Play play) throws Exception {
    try (Stage stage = new Stage(5000)) {
      stage.client.write(stage.scan(play.grade, 0));
      assertEquals(List.of(stage.rig.lastTransactionId() + ".0"), stage.link.readCall().partIds());
      try (MixerTestHarness.LoopGate gate = stage.rig.pauseLoop()) {
        play.how.act(stage.link);
        gate.awaitPosted(1);
      }
      endsByClass(stage, play, true);
      stage.counted(1, 0);
    }
  }

  /** Guards against a repeat that its searcher no longer knows for one. */
  @ParameterizedTest
  @EnumSource(How.class)
  void aNumberedPartIsNotSentAgainOnceItsWindowIsOver(How how) throws Exception {
    int windowMs = 100;
    try (Stage stage = new Stage(windowMs)) {
      stage.client.write(stage.scan("post", 0));
      assertEquals(List.of(stage.rig.lastTransactionId() + ".0"), stage.link.readCall().partIds());
      long read = System.nanoTime();
      try (MixerTestHarness.LoopGate gate = stage.rig.pauseLoop()) {
        MixerTestHarness.await(
            "the end of the window", () -> System.nanoTime() - read > windowMs * 1_000_000L);
        how.act(stage.link);
        gate.awaitPosted(1);
      }
      assertTrue(stage.onlyAnswer().startsWith("500"));
      stage.nothingElseIsSent();
      stage.counted(1, 0);
    }
  }

  /**
   * Of two parts of a call one is answered, and perhaps the half of the other's answer has come.
   * Guards against an answer that its connection's end takes along, and against the answered one
   * being sent again with the other.
   */
  @ParameterizedTest
  @MethodSource("plays")
  void ofTwoPartsTheOneNotAnsweredEndsByItsClass(Play play) throws Exception {
    for (int answered : new int[] {0, 3}) {
      try (Stage stage = new Stage(5000)) {
        int open = 3 - answered;
        stage.client.write(stage.scan(play.grade, 0, 3));
        String mark = stage.rig.lastTransactionId();
        assertEquals(2, stage.link.readCall().partIds().size());
        try (MixerTestHarness.LoopGate gate = stage.rig.pauseLoop()) {
          byte[] half = MixerTestHarness.BoxConnection.resultFrame(mark + '.' + open, "done");
          stage.link.write(
              MixerTestHarness.BoxConnection.resultFrame(mark + '.' + answered, "done"));
          stage.link.write(play.flag ? Arrays.copyOf(half, half.length - 1) : new byte[0]);
          gate.awaitPosted(1);
          play.how.act(stage.link);
          gate.awaitPosted(2);
        }
        if (play.repeats()) {
          stage.goesElsewhere(open);
          String answer = stage.onlyAnswer();
          assertTrue(
              answer.startsWith("200 {\"whole\":true")
                  && answer.contains("v" + mark + ".0")
                  && answer.contains("v" + mark + ".3"),
              answer);
        } else {
          assertTrue(stage.onlyAnswer().startsWith("500"));
        }
        stage.nothingElseIsSent();
        stage.counted(1, 0);
      }
    }
  }

  // ---- probes on each of two dials ----

  /**
   * Turns that the test makes one by one, at its own time: an event is heard when the test hands it
   * on.
   */
  private static final class Turns implements EventQueue, LoopTimer {
    private record Wake(Duration at, int number, Runnable task) {}

    private final BlockingQueue<Runnable> posted = new LinkedBlockingQueue<>();
    private final PriorityQueue<Wake> wakes =
        new PriorityQueue<>(Comparator.comparing(Wake::at).thenComparing(Wake::number));
    private volatile Duration now = Duration.ZERO;
    private int wakeCount;

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
    public void schedule(Duration span, Runnable task) {
      wakes.add(new Wake(now.plus(span), wakeCount++, task));
    }
  }

  /**
   * A searcher's side of the mixer by itself, and the searcher: its dials come up, and are heard of
   * when told.
   */
  private static final class Dials implements BackendListener, Closeable {
    private static final SearcherId ID = new SearcherId(1);

    final Turns turns = new Turns();
    final Counters counts = new Counters();
    final Network network = new Network(turns, counts, false);
    final Backend back;
    final Duration dialTimeOut;
    ServerSocket door = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
    final List<MixerTestHarness.BoxConnection> links = new ArrayList<>();

    /** The words that the dials are up, or refused. */
    final List<Runnable> words = new ArrayList<>();

    final List<Outcome> told = new ArrayList<>();

    Dials() throws IOException, Json.JsonException {
      Map<String, String> flat = new HashMap<>();
      Path example = Files.exists(Path.of("example")) ? Path.of("example") : Path.of("../example");
      MixerConfig.flatten(
          "",
          ((Map<?, ?>) Json.parse(Files.readAllBytes(example.resolve("config.json"))))
              .get("settings"),
          flat);
      Settings terms = new Settings(flat);
      back = new Backend(network, this, terms, counts, turns);
      dialTimeOut = terms.duration("PolicyLimits.DialTimeoutMs");
      door.setSoTimeout(MixerTestHarness.TIMEOUT_MS);
      back.addOrUpdate(ID, (InetSocketAddress) door.getLocalSocketAddress(), null);
    }

    /** The first dial is late and a second under way for a probe, neither heard of. */
    static Dials two() throws Exception {
      Dials dials = new Dials();
      dials.dialForAProbe();
      dials.dialsTimePasses();
      assertEquals(List.of(Outcome.UNREACHABLE), dials.told); // the probe of the first dial
      dials.told.clear();
      dials.dialForAProbe();
      return dials;
    }

    private void dialForAProbe() throws Exception {
      back.probe(ID);
      turn();
      assertEquals(words.size() + 1, counts.get("links dialled"));
      links.add(new MixerTestHarness.BoxConnection(door.accept()));
      words.add(next());
    }

    /** From now on who dials is refused. */
    void refuse() throws IOException {
      door.close();
    }

    /** It can be dialled again, at the same address. */
    void admit() throws IOException {
      int port = door.getLocalPort();
      door = new ServerSocket();
      door.setReuseAddress(true);
      door.setSoTimeout(MixerTestHarness.TIMEOUT_MS);
      door.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 8);
    }

    void dialsTimePasses() {
      turns.now = turns.now.plus(dialTimeOut);
      turn();
    }

    Runnable next() throws InterruptedException {
      Runnable event = turns.posted.poll(MixerTestHarness.TIMEOUT_MS, TimeUnit.MILLISECONDS);
      assertTrue(
          event != null, "nothing is heard of within " + MixerTestHarness.TIMEOUT_MS + " ms");
      return event;
    }

    /** A turn as the loop makes it. */
    void turn(Runnable... events) {
      Arrays.stream(events).forEach(Runnable::run);
      while (!turns.wakes.isEmpty() && turns.wakes.peek().at.compareTo(turns.now) <= 0) {
        turns.wakes.poll().task.run();
      }
      back.dispatch();
      network.flush();
    }

    /** Turns with what is heard of, but for the words kept back, until it is so. */
    void until(BooleanSupplier is) throws InterruptedException {
      while (!is.getAsBoolean()) {
        turn(next());
      }
    }

    void probeComesBy(int link) throws IOException {
      assertEquals('H', links.get(link).readFrame().type());
    }

    void answer(int link) throws Exception {
      links.get(link).write(MixerTestHarness.BoxConnection.encodeFrame('H', "done"));
      until(() -> told.size() == 1);
      assertEquals(List.of(Outcome.SUCCEEDED), told);
    }

    /**
     * Nothing more goes by any connection, and nothing more is told, also once all times are over.
     */
    void overWith(Outcome outcome) throws Exception {
      turn();
      dialsTimePasses();
      back.closeIdle(ID);
      until(() -> network.connectionCount() == 0);
      for (MixerTestHarness.BoxConnection link : links) {
        if (!link.socket.isClosed()) {
          assertEquals(0, rest(link));
        }
      }
      assertEquals(List.of(outcome), told);
    }

    @Override
    public void tripEnded(OutboundTrip errand, Outcome outcome, float[] load, byte[] value) {}

    @Override
    public void probeEnded(SearcherId searcher, Outcome outcome, Duration taken, float[] load) {
      told.add(outcome);
    }

    @Override
    public void close() throws IOException {
      network.dispose();
      for (MixerTestHarness.BoxConnection link : links) {
        link.close();
      }
      door.close();
    }
  }

  private enum Other {
    UP_IN_THE_SAME_TURN,
    UP_BEFORE_THE_ANSWER,
    UP_AFTER_THE_ANSWER
  }

  private static Stream<List<Object>> ups() {
    return Stream.of(0, 1)
        .flatMap(first -> Arrays.stream(Other.values()).map(other -> List.of(first, other)));
  }

  /**
   * Guards against a probe that goes by both of two dials, or by none, whichever is heard of first.
   */
  @ParameterizedTest
  @MethodSource("ups")
  void aProbeGoesByTheFirstOfTwoDialsToComeUp(List<Object> play) throws Exception {
    int first = (int) play.get(0);
    Other other = (Other) play.get(1);
    try (Dials dials = Dials.two()) {
      Runnable upFirst = dials.words.get(first);
      Runnable upThen = dials.words.get(1 - first);
      if (other == Other.UP_IN_THE_SAME_TURN) {
        dials.turn(upFirst, upThen);
      } else {
        dials.turn(upFirst);
      }
      dials.probeComesBy(first);
      if (other == Other.UP_BEFORE_THE_ANSWER) {
        dials.turn(upThen);
      }
      dials.answer(first);
      if (other == Other.UP_AFTER_THE_ANSWER) {
        dials.turn(upThen);
      }
      dials.overWith(Outcome.SUCCEEDED);
      assertEquals(2, dials.counts.get("links dialled"));
    }
  }

  /**
   * Guards against a second dial, or a probe that waits, where the late dial is heard of in the
   * probe's own turn.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aProbeGoesByALateDialThatComesUpInItsTurn(boolean upFirst) throws Exception {
    try (Dials dials = new Dials()) {
      dials.dialForAProbe();
      dials.dialsTimePasses();
      dials.told.clear();
      Runnable wanted = () -> dials.back.probe(Dials.ID);
      Runnable up = dials.words.get(0);
      dials.turn(upFirst ? up : wanted, upFirst ? wanted : up);
      dials.probeComesBy(0);
      dials.answer(0);
      dials.overWith(Outcome.SUCCEEDED);
      assertEquals(1, dials.counts.get("links dialled"));
    }
  }

  /** Guards against a probe that leaves after it was told as unreachable, by either dial. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void aProbeThatNoDialCameUpForIsNotSentByALaterOne(int first) throws Exception {
    try (Dials dials = Dials.two()) {
      dials.dialsTimePasses();
      assertEquals(List.of(Outcome.UNREACHABLE), dials.told);
      dials.turn(dials.words.get(first));
      dials.turn(dials.words.get(1 - first));
      dials.overWith(Outcome.UNREACHABLE);
    }
  }

  /**
   * What came in the turn is heard before its timers. Guards against a probe that is sent, and told
   * as not sent.
   */
  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void aDialComesUpInTheTurnInWhichItsProbeIsDue(int first) throws Exception {
    try (Dials dials = Dials.two()) {
      dials.turns.now = dials.turns.now.plus(dials.dialTimeOut);
      dials.turn(dials.words.get(first));
      dials.probeComesBy(first);
      dials.turn(dials.words.get(1 - first));
      dials.answer(first);
      dials.overWith(Outcome.SUCCEEDED);
    }
  }

  /**
   * Guards against a probe that is repeated by the other dial once its own time is over, against a
   * late answer that is taken for the next probe's, and against a next probe that finds nobody as
   * the first did.
   */
  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void aProbeThatTimesOutByOneDialLeavesTheOtherToTheNext(int first) throws Exception {
    try (Dials dials = Dials.two()) {
      dials.turn(dials.words.get(first));
      dials.probeComesBy(first);
      dials.turn(dials.words.get(1 - first));
      dials.dialsTimePasses();
      assertEquals(List.of(Outcome.TIMED_OUT), dials.told);
      dials.told.clear();
      dials.links.get(first).write(MixerTestHarness.BoxConnection.encodeFrame('H', "failed"));
      dials.back.probe(Dials.ID);
      dials.turn();
      dials.probeComesBy(1 - first);
      dials.answer(1 - first);
      dials.overWith(Outcome.SUCCEEDED);
      assertEquals(2, dials.counts.get("links dialled"));
    }
  }

  /**
   * Guards against a probe that is told as timed out and then as answered, or the other way round.
   */
  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void aProbesAnswerIsHeardInTheTurnInWhichItIsDue(int first) throws Exception {
    try (Dials dials = Dials.two()) {
      dials.turn(dials.words.get(first), dials.words.get(1 - first));
      dials.probeComesBy(first);
      dials.until(dials.network::isFlushed);
      dials.links.get(first).write(MixerTestHarness.BoxConnection.encodeFrame('H', "done"));
      dials.turns.now = dials.turns.now.plus(dials.dialTimeOut);
      dials.turn(dials.next());
      dials.overWith(Outcome.SUCCEEDED);
    }
  }

  /**
   * Guards against a probe that is repeated by the other dial, or told twice, as the connection it
   * is out on ends.
   */
  @ParameterizedTest
  @EnumSource(How.class)
  void aProbeWhoseConnectionEndsIsBrokenOnce(How how) throws Exception {
    for (int first : new int[] {0, 1}) {
      for (boolean otherUpBefore : new boolean[] {true, false}) {
        try (Dials dials = Dials.two()) {
          Runnable otherUp = dials.words.get(1 - first);
          dials.turn(dials.words.get(first));
          dials.probeComesBy(first);
          dials.until(dials.network::isFlushed);
          how.act(dials.links.get(first));
          Runnable end = dials.next();
          dials.turn(otherUpBefore ? otherUp : end, otherUpBefore ? end : otherUp);
          dials.overWith(Outcome.BROKEN);
        }
      }
    }
  }

  private enum Refusal {
    FIRST,
    FIRST_IN_ONE_TURN,
    LAST,
    LAST_IN_ONE_TURN
  }

  /**
   * Guards against a probe that is told as unreachable and is sent by the late dial too, or sent
   * and not heard.
   */
  @ParameterizedTest
  @EnumSource(Refusal.class)
  void theSecondDialIsRefusedAsTheLateOneComesUp(Refusal refusal) throws Exception {
    try (Dials dials = new Dials()) {
      dials.dialForAProbe();
      dials.dialsTimePasses();
      dials.told.clear();
      dials.refuse();
      dials.back.probe(Dials.ID);
      dials.turn();
      Runnable up = dials.words.get(0);
      Runnable refused = dials.next();
      boolean upFirst = refusal == Refusal.LAST || refusal == Refusal.LAST_IN_ONE_TURN;
      if (refusal == Refusal.FIRST || refusal == Refusal.LAST) {
        dials.turn(upFirst ? up : refused);
        dials.turn(upFirst ? refused : up);
      } else {
        dials.turn(upFirst ? up : refused, upFirst ? refused : up);
      }
      if (upFirst) {
        dials.probeComesBy(0);
        dials.answer(0);
      }
      dials.overWith(upFirst ? Outcome.SUCCEEDED : Outcome.UNREACHABLE);
      assertEquals(2, dials.counts.get("links dialled"));
    }
  }

  private enum Order {
    REFUSED_FIRST,
    IN_ONE_TURN,
    UP_FIRST,
    UP_FIRST_IN_ONE_TURN
  }

  /**
   * Guards against a probe that is told as unreachable by the end of one dial while another is
   * under way.
   */
  @ParameterizedTest
  @EnumSource(Order.class)
  void theLateDialIsRefusedAsTheSecondComesUp(Order order) throws Exception {
    try (Dials dials = new Dials()) {
      dials.refuse();
      dials.back.probe(Dials.ID);
      dials.turn();
      Runnable refused = dials.next();
      dials.dialsTimePasses();
      assertEquals(List.of(Outcome.UNREACHABLE), dials.told);
      dials.told.clear();
      dials.admit();
      dials.back.probe(Dials.ID);
      dials.turn();
      assertEquals(2, dials.counts.get("links dialled"));
      dials.links.add(new MixerTestHarness.BoxConnection(dials.door.accept()));
      Runnable up = dials.next();
      switch (order) {
        case REFUSED_FIRST -> {
          dials.turn(refused);
          dials.turn(up);
        }
        case IN_ONE_TURN -> dials.turn(refused, up);
        case UP_FIRST -> {
          dials.turn(up);
          dials.turn(refused);
        }
        case UP_FIRST_IN_ONE_TURN -> dials.turn(up, refused);
      }
      dials.probeComesBy(0);
      dials.answer(0);
      dials.overWith(Outcome.SUCCEEDED);
      assertEquals(2, dials.counts.get("links dialled"));
    }
  }

  /**
   * The older of two late dials makes room for a third. Guards against a probe that goes by the one
   * given up.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aDialGivenUpForTheThirdComesUpAfterAll(boolean secondUpFirst) throws Exception {
    try (Dials dials = Dials.two()) {
      dials.dialsTimePasses();
      dials.told.clear();
      dials.back.probe(Dials.ID);
      dials.turn();
      assertEquals(3, dials.counts.get("links dialled"));
      dials.links.add(new MixerTestHarness.BoxConnection(dials.door.accept()));
      if (secondUpFirst) {
        dials.turn(dials.words.get(0), dials.words.get(1));
      } else {
        dials.turn(dials.words.get(0));
        dials.until(() -> !dials.network.isFlushed()); // the third is up, and the probe on its way
        dials.turn(dials.words.get(1));
      }
      int by = secondUpFirst ? 1 : 2;
      dials.probeComesBy(by);
      dials.answer(by);
      dials.overWith(Outcome.SUCCEEDED);
    }
  }
}
