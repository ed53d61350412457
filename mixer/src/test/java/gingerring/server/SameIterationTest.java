package gingerring.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests every pair of events that can reach a mixer in one loop iteration while a part of a scan is
 * at a searcher, in both orders. A loop gate fixes the order, and the rules for scans determine the
 * allowed answers. Box b0 has received the part; box b1 holds the same partition and answers every
 * call.
 */
@Timeout(300)
class SameIterationTest {
  private static final Duration QUIET_PERIOD = Duration.ofMillis(150);
  private static final int EXTRA_ANSWER_WAIT_MS = 150;

  private enum Event {
    ANSWER,
    FAILED,
    FULL,
    MALFORMED,
    RESET,
    CLOSE,
    CLIENT_RESETS,
    CLIENT_CLOSES,
    CLIENT_FLOODS,
    OTHER_DRAINS,
    BOX_DRAINS,
    BOX_REMOVED,
    BOX_RESTARTED,
    WATCH_RESET,
    DISCOVERY_MOVES,
    SHUTDOWN
  }

  private static final Set<Event> BOX_CONNECTION_EVENTS =
      EnumSet.of(Event.ANSWER, Event.FAILED, Event.FULL, Event.MALFORMED, Event.RESET, Event.CLOSE);
  private static final Set<Event> BOX_CONNECTION_ENDS =
      EnumSet.of(Event.RESET, Event.CLOSE, Event.MALFORMED);
  private static final Set<Event> CLIENT_LEAVES =
      EnumSet.of(Event.CLIENT_RESETS, Event.CLIENT_CLOSES);
  private static final Set<Event> LIST_UPDATES =
      EnumSet.of(Event.OTHER_DRAINS, Event.BOX_DRAINS, Event.BOX_REMOVED, Event.BOX_RESTARTED);

  private record EventPair(Event first, Event second, String serviceClass) {
    boolean includes(Event event) {
      return first == event || second == event;
    }

    boolean includesAny(Set<Event> events) {
      return events.contains(first) || events.contains(second);
    }

    /**
     * Whether both events arrive over one connection, whose bytes may be posted to the loop as a
     * single event.
     */
    boolean arriveTogether() {
      return BOX_CONNECTION_EVENTS.contains(first) && second == Event.MALFORMED
          || LIST_UPDATES.contains(first) && LIST_UPDATES.contains(second);
    }

    /**
     * Whether the second event can follow the first: nothing arrives over a connection that has
     * ended, and a part is answered once.
     */
    boolean isPossible() {
      boolean afterConnectionEnd =
          BOX_CONNECTION_ENDS.contains(first) && BOX_CONNECTION_EVENTS.contains(second);
      boolean partEndsTwice =
          BOX_CONNECTION_EVENTS.contains(first)
              && BOX_CONNECTION_EVENTS.contains(second)
              && !BOX_CONNECTION_ENDS.contains(second);
      boolean afterClientLeft =
          CLIENT_LEAVES.contains(first)
              && (CLIENT_LEAVES.contains(second) || second == Event.CLIENT_FLOODS);
      boolean listAfterWatchReset = first == Event.WATCH_RESET && LIST_UPDATES.contains(second);
      return first != second
          && !afterConnectionEnd
          && !partEndsTwice
          && !afterClientLeft
          && !listAfterWatchReset;
    }
  }

  static Stream<EventPair> pairs() {
    List<EventPair> pairs = new ArrayList<>();
    for (Event first : Event.values()) {
      for (Event second : Event.values()) {
        // The service classes rotate, so that events are tested with each of the three kinds of
        // retry safety.
        String serviceClass =
            List.of("search", "post", "once").get((first.ordinal() + second.ordinal()) % 3);
        EventPair pair = new EventPair(first, second, serviceClass);
        if (pair.isPossible()) {
          pairs.add(pair);
        }
      }
    }
    return pairs.stream();
  }

  private MixerTestHarness harness;
  private MixerTestHarness.Box b0;
  private MixerTestHarness.Box b1;
  private MixerTestHarness.DiscoveryConnection watch;
  private MixerTestHarness.Client client;
  private MixerTestHarness.BoxConnection connection;
  private MixerTestHarness.Frame call;
  private int revision = 2;
  private final AtomicInteger partsAtOtherBox = new AtomicInteger();

  @ParameterizedTest
  @MethodSource("pairs")
  void answersOnceForBothOrders(EventPair pair) throws Exception {
    try (MixerTestHarness harness =
        new MixerTestHarness(
            "{\"Name\": \"post\"",
            "{\"Name\": \"once\", \"AimMs\": 600.0, \"HardLimitMs\": 2000.0, "
                + "\"Idempotency\": \"at_most_once\", \"LateWorth\": 0.0, \"WindowMs\": 5000.0, \"Worth\": 1.0}, "
                + "{\"Name\": \"post\"",
            "\"ClassFetch\": [0, 0]",
            "\"ClassFetch\": [0, 0, 0]",
            "\"ClassFloor\": [0.4, 1.0]",
            "\"ClassFloor\": [0.4, 1.0, 1.0]",
            "\"ClassPartial\": [0.9, 0.9]",
            "\"ClassPartial\": [0.9, 0.9, 0.9]",
            "\"NeedByClass\": [1.0, 1.0]",
            "\"NeedByClass\": [1.0, 1.0, 1.0]",
            // No hedging and long limits: else a pause of the test machine before the iteration
            // could make the mixer hedge the late part or give it up.
            "\"SecondCopies\": true",
            "\"SecondCopies\": false",
            "\"AimMs\": 600.0",
            "\"AimMs\": 30000.0",
            "\"HardLimitMs\": 2000.0",
            "\"HardLimitMs\": 40000.0")) {
      this.harness = harness;
      startScan(pair.serviceClass);
      try (MixerTestHarness.LoopGate gate = harness.pauseLoop()) {
        trigger(pair.first);
        gate.awaitPosted(1);
        int postedBefore = gate.postedCount();
        trigger(pair.second);
        if (!pair.arriveTogether()) {
          gate.awaitPosted(postedBefore + 1);
        }
      }
      harness.runIterations(2);
      if (pair.includesAny(CLIENT_LEAVES)) {
        assertNoNewTrips(pair);
      } else {
        assertAnsweredOnce(pair);
      }
      assertStillReady(pair);
    }
  }

  private void startScan(String serviceClass) throws Exception {
    b0 = harness.box("b0", 0);
    b1 = harness.box("b1", 1);
    watch = harness.announceAndAwaitReady(b0);
    client = harness.connectClient();
    client.write(harness.scanRequest(serviceClass, 40_000, 0));
    connection = b0.acceptConnection();
    call = connection.readCall();
    watch.sendLine(MixerTestHarness.memberListLine(revision, false, b1.memberJson("SERVING")));
    harness.awaitCount("lists told", 2);
    Thread otherBox = new Thread(this::serveOtherBox, "b1");
    otherBox.setDaemon(true);
    otherBox.start();
  }

  /** Answers every call to the other box until the box is closed. */
  private void serveOtherBox() {
    try {
      while (true) {
        MixerTestHarness.BoxConnection otherConnection = b1.acceptConnection();
        Thread connectionThread =
            new Thread(
                () -> {
                  try {
                    while (true) {
                      MixerTestHarness.Frame frame = otherConnection.readCall();
                      partsAtOtherBox.addAndGet(frame.partIds().size());
                      otherConnection.answer(frame, "done");
                    }
                  } catch (IOException e) {
                    // The test is over, or the mixer has closed the connection.
                  }
                },
                "b1 link");
        connectionThread.setDaemon(true);
        connectionThread.start();
      }
    } catch (IOException e) {
      // The test is over.
    }
  }

  private void trigger(Event event) throws Exception {
    revision++;
    switch (event) {
      case ANSWER -> connection.answer(call, "done");
      case FAILED -> connection.answer(call, "failed");
      case FULL -> connection.answer(call, "full");
      case MALFORMED ->
          connection.write(MixerTestHarness.BoxConnection.encodeFrame('R', "nonsense"));
      case RESET -> connection.reset();
      case CLOSE -> connection.close();
      case CLIENT_RESETS -> client.reset();
      case CLIENT_CLOSES -> client.close();
      case CLIENT_FLOODS -> client.write(new byte[3000]);
      case OTHER_DRAINS ->
          watch.sendLine(
              MixerTestHarness.memberListLine(revision, false, b1.memberJson("DRAINING")));
      case BOX_DRAINS ->
          watch.sendLine(
              MixerTestHarness.memberListLine(revision, false, b0.memberJson("DRAINING")));
      case BOX_REMOVED ->
          watch.sendLine(
              MixerTestHarness.memberListLine(revision, false, b0.memberJson("DELETED")));
      case BOX_RESTARTED -> {
        b0.upSinceMs = System.currentTimeMillis() + 1;
        watch.sendLine(MixerTestHarness.memberListLine(revision, false, b0.memberJson("SERVING")));
      }
      case WATCH_RESET -> watch.reset();
      case DISCOVERY_MOVES -> {
        harness.writeConfig(
            harness.closeAtEnd(new MixerTestHarness.DiscoveryAgent(true)).address());
        harness.server.reload();
      }
      case SHUTDOWN -> harness.server.loop.post(harness.server::beginShutdown);
    }
  }

  /** Asserts that after the client has left no trip starts and nothing is answered. */
  private void assertNoNewTrips(EventPair pair) throws Exception {
    harness.awaitCount(
        "clients that left",
        pair.includes(Event.ANSWER) || pair.includesAny(BOX_CONNECTION_EVENTS) ? 0 : 1);
    int sentToOther = partsAtOtherBox.get();
    assertTrue(b0.noConnectionWithin(QUIET_PERIOD), pair + ": no further trips");
    assertEquals(sentToOther, partsAtOtherBox.get(), pair + ": no further trips");
    // No trip may have started when the client's departure was read, unless the end of the first
    // trip was read before it.
    boolean mayHaveStarted =
        BOX_CONNECTION_EVENTS.contains(pair.first) || pair.first == Event.BOX_RESTARTED;
    assertTrue(mayHaveStarted || sentToOther == 0, pair + ": no trip started earlier");
    client = harness.connectClient();
  }

  /**
   * Asserts that the client gets exactly the answer that the rules allow and that the other box
   * gets the part at most once, and only if needed.
   */
  private void assertAnsweredOnce(EventPair pair) throws Exception {
    boolean firstTripFailed =
        pair.includes(Event.FAILED)
            || pair.includes(Event.FULL)
            || pair.includesAny(BOX_CONNECTION_ENDS)
            || pair.includes(Event.BOX_RESTARTED);
    if (!pair.includesAny(BOX_CONNECTION_EVENTS) && !pair.includes(Event.BOX_RESTARTED)) {
      connection.answer(call, "done"); // Neither event has ended the trip, so it succeeds now.
    }
    String answer = client.readAnswer();
    // If the list reports the box's restart before its last answer is read, that answer is ignored.
    boolean partNeverRan =
        pair.first == Event.FULL
            || pair.second == Event.FULL
                && !BOX_CONNECTION_ENDS.contains(pair.first)
                && pair.first != Event.BOX_RESTARTED;
    // In either order, a trip assigned by the older list is still unsent at the end of the
    // iteration and is dropped.
    boolean otherBoxUnavailable = pair.includes(Event.OTHER_DRAINS);
    String expectedStatus;
    if (!firstTripFailed
        || pair.includes(Event.ANSWER)
            && !(pair.first == Event.BOX_RESTARTED)
            && !BOX_CONNECTION_ENDS.contains(pair.first)) {
      expectedStatus = "200";
    } else if (pair.serviceClass.equals("once") && !partNeverRan) {
      expectedStatus = "500"; // The part may have been executed and must not be executed again.
    } else if (otherBoxUnavailable) {
      // No other box holds the partition.
      expectedStatus = pair.serviceClass.equals("search") || partNeverRan ? "503" : "500";
    } else {
      expectedStatus = "200"; // The other box answers.
    }
    assertEquals(expectedStatus, answer.substring(0, 3), pair + ": " + answer);
    int maxPartsAtOther = expectedStatus.equals("200") && firstTripFailed ? 1 : 0;
    assertTrue(
        partsAtOtherBox.get() <= maxPartsAtOther,
        pair + ": " + partsAtOtherBox.get() + " parts at the other box");
    client.socket.setSoTimeout(EXTRA_ANSWER_WAIT_MS);
    try {
      assertEquals(-1, client.socket.getInputStream().read(), pair + ": exactly one answer");
    } catch (SocketTimeoutException e) {
      // The connection stays open without a further answer.
    }
    client.socket.setSoTimeout(MixerTestHarness.TIMEOUT_MS);
  }

  /** Asserts that the mixer is still ready, except after a shutdown. */
  private void assertStillReady(EventPair pair) throws Exception {
    if (!pair.includes(Event.SHUTDOWN)) {
      MixerTestHarness.Client newClient = harness.connectClient();
      newClient.write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
      assertTrue(newClient.readAnswer().startsWith("200"), pair + ": still ready");
    }
  }
}
