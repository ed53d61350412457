package gingerring.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gingerring.net.Connection;
import gingerring.net.ConnectionHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Calls to discovery that are established, answered and ended in one loop iteration, with another
 * event at each point of that iteration: see docs/crossings.md.
 */
@Timeout(120)
class WatchDialRaceTest {
  private static final int DRAIN_GRACE_MS = 500;
  private static final int CALL_INTERVAL_MS = 250;
  private static final int MAX_CALL_INTERVAL_MS = 1167;

  /** Time after which a call without any response is abandoned. */
  private static final int LINE_TIMEOUT_MS = 1000;

  /** Limit of connections of the harness's network. */
  private static final int MAX_CONNECTIONS = 64;

  /** Actions of the agent in the loop iteration in which a connection is established. */
  private enum Step {
    ESTABLISHED,
    ANSWERS,
    CLOSES,
    RESETS
  }

  private static final List<List<Step>> SILENT_SEQUENCES =
      List.of(
          List.of(Step.ESTABLISHED),
          List.of(Step.ESTABLISHED, Step.CLOSES),
          List.of(Step.ESTABLISHED, Step.RESETS));
  private static final List<List<Step>> SEQUENCES =
      List.of(
          List.of(Step.ESTABLISHED),
          List.of(Step.ESTABLISHED, Step.CLOSES),
          List.of(Step.ESTABLISHED, Step.RESETS),
          List.of(Step.ESTABLISHED, Step.ANSWERS),
          List.of(Step.ESTABLISHED, Step.ANSWERS, Step.CLOSES),
          List.of(Step.ESTABLISHED, Step.ANSWERS, Step.RESETS));

  private interface InterleavedScenario {
    void run(List<Step> steps, int eventIndex, String description) throws Exception;
  }

  /**
   * Runs the scenario for each sequence, with the other event at each point of the iteration: 0 is
   * before the dial is established.
   */
  private static void forEachInterleaving(List<List<Step>> sequences, InterleavedScenario scenario)
      throws Exception {
    for (List<Step> steps : sequences) {
      for (int eventIndex = 0; eventIndex <= steps.size(); eventIndex++) {
        String description = steps + " with the other event at " + eventIndex;
        try {
          scenario.run(steps, eventIndex, description);
        } catch (Exception | AssertionError e) {
          throw new AssertionError(description + ": " + e.getMessage(), e);
        }
      }
    }
  }

  /** Returns whether a step of the sequence was processed before the other event. */
  private static boolean happenedBefore(List<Step> steps, int eventIndex, Step step) {
    return steps.subList(0, eventIndex).contains(step);
  }

  private static boolean ends(List<Step> steps) {
    return steps.contains(Step.CLOSES) || steps.contains(Step.RESETS);
  }

  private static boolean endedBefore(List<Step> steps, int eventIndex) {
    return ends(steps.subList(0, eventIndex));
  }

  private static WatchHarness newHarness(String discoveryMode) throws Exception {
    WatchHarness harness = new WatchHarness(true, discoveryMode, DRAIN_GRACE_MS);
    harness.runInLoop(
        () -> {
          try { // so that connections count against a limit
            harness.network.listen(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                MAX_CONNECTIONS,
                1024,
                accepted -> {});
          } catch (IOException e) {
            throw new AssertionError(e);
          }
        });
    return harness;
  }

  /**
   * Blocks the loop in the iteration that dials until all events that follow from the dial, and the
   * other event, are posted: the next iteration takes them all, in that order. Returns the agent's
   * end of the connection.
   *
   * @param otherEvent posts one event to the loop
   */
  private static Socket runInterleaved(
      WatchHarness harness,
      Runnable dial,
      List<Step> steps,
      String responseText,
      int eventIndex,
      WatchHarness.BlockedLoopAction otherEvent)
      throws Exception {
    // otherwise the event that an earlier request was sent would be counted
    boolean[] flushed = new boolean[1];
    MixerTestHarness.await(
        "all queued bytes to be sent",
        () -> {
          try {
            harness.runInLoop(() -> flushed[0] = harness.network.isFlushed());
          } catch (InterruptedException e) {
            throw new AssertionError(e);
          }
          return flushed[0];
        });
    CountDownLatch reached = new CountDownLatch(1);
    CountDownLatch dialAllowed = new CountDownLatch(1);
    CountDownLatch released = new CountDownLatch(1);
    harness.loop.post(
        () -> {
          reached.countDown();
          awaitLatch(dialAllowed);
          dial.run();
          harness.network.flush(); // starts the dial
          awaitLatch(released);
        });
    awaitLatch(reached);
    Socket agentSocket = null;
    try {
      int eventCount = 0;
      for (int i = 0; i <= steps.size(); i++) {
        if (i == eventIndex) {
          otherEvent.run();
          harness.awaitPosted(++eventCount);
        }
        if (i < steps.size()) {
          switch (steps.get(i)) {
            case ESTABLISHED -> {
              dialAllowed.countDown();
              agentSocket = harness.agent.accept();
              agentSocket.setSoTimeout(MixerTestHarness.TIMEOUT_MS);
            }
            case ANSWERS -> agentSocket.getOutputStream().write(responseText.getBytes());
            case CLOSES -> agentSocket.close();
            case RESETS -> {
              agentSocket.setSoLinger(true, 0);
              agentSocket.close();
            }
          }
          harness.awaitPosted(++eventCount);
        }
      }
      assertEquals(eventCount, harness.loop.queuedEvents());
    } finally {
      dialAllowed.countDown();
      released.countDown();
    }
    harness.runInLoop(() -> {});
    return agentSocket;
  }

  private static void awaitLatch(CountDownLatch latch) {
    try {
      if (!latch.await(MixerTestHarness.TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
        throw new AssertionError("the latch was not released in time");
      }
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  /**
   * Asserts that {@code expectedCount} connections are open, and that each of them and nothing else
   * counts once against the limit.
   */
  private static void assertOpenConnections(WatchHarness harness, int expectedCount)
      throws Exception {
    int[] actual = new int[2];
    MixerTestHarness.await(
        expectedCount + " open connections",
        () -> {
          try {
            harness.runInLoop(() -> actual[0] = harness.network.connectionCount());
          } catch (InterruptedException e) {
            throw new AssertionError(e);
          }
          return actual[0] == expectedCount;
        });
    harness.runInLoop(() -> actual[1] = harness.network.availableConnections());
    assertEquals(MAX_CONNECTIONS - expectedCount, actual[1], "available connections");
  }

  /** Asserts the notifications since the last check. */
  private static void assertNotifications(WatchHarness harness, List<String> expected)
      throws Exception {
    harness.runInLoop(() -> {});
    List<String> notifications = new ArrayList<>();
    harness.notifications.drainTo(notifications);
    assertEquals(expected, notifications);
  }

  /** Returns the response to a watch call up to its first line. */
  private static String watchResponse(int revision) {
    return "HTTP/1.1 200 OK\r\n\r\n" + MixerTestHarness.memberListLine(revision, true) + "\n";
  }

  private static void sendList(
      WatchHarness harness, MixerTestHarness.DiscoveryConnection call, int revision)
      throws Exception {
    call.write(watchResponse(revision));
    assertEquals("list " + revision, harness.nextNotification());
  }

  /** Asserts that the connection ends at the agent too, and that no request was sent on it. */
  private static void assertClosedWithoutRequest(Socket agentSocket) throws IOException {
    assertEquals(-1, agentSocket.getInputStream().read());
    agentSocket.close();
  }

  private static String fetchResponse(int revision) {
    String list = MixerTestHarness.memberListLine(revision, true);
    return "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list;
  }

  /** Guards against a call that ends as it begins and is neither reported nor retried. */
  @Test
  void callThatEndsInIterationOfItsDialIsRetriedAtCallInterval() throws Exception {
    for (List<Step> steps : SEQUENCES) {
      if (ends(steps)) {
        try (WatchHarness harness = newHarness("automatic")) {
          runInterleaved(
              harness,
              harness.watch::open,
              steps,
              watchResponse(42),
              0,
              () -> harness.loop.post(() -> {}));
          assertNotifications(
              harness,
              steps.contains(Step.ANSWERS) ? List.of("list 42", "failed") : List.of("failed"));
          assertOpenConnections(harness, 0);
          harness.advanceClock(CALL_INTERVAL_MS - 1);
          assertEquals(1, harness.discoveryCalls(), steps.toString());
          harness.advanceClock(1);
          assertEquals(2, harness.discoveryCalls(), steps.toString());
          sendList(harness, harness.agent.acceptRequest(), 43);
          assertNotifications(harness, List.of());
          assertOpenConnections(harness, 1);
        }
      }
    }
  }

  /**
   * Guards against a callback that reports a connection as established after the owner closed it,
   * or as closed twice.
   */
  @Test
  void connectionClosedInIterationOfItsDialReportsItsEndOnce() throws Exception {
    forEachInterleaving(
        SEQUENCES,
        (steps, eventIndex, description) -> {
          try (WatchHarness harness = newHarness("automatic")) {
            List<String> callbacks = new CopyOnWriteArrayList<>();
            Connection[] dialledConnection = new Connection[1];
            ConnectionHandler handler =
                new ConnectionHandler() {
                  @Override
                  public void onOpened() {
                    callbacks.add("opened");
                  }

                  @Override
                  public void onReadable() {
                    callbacks.add("readable");
                    dialledConnection[0].input.clear();
                  }

                  @Override
                  public void onClosed() {
                    callbacks.add("closed");
                  }
                };
            Socket agentSocket =
                runInterleaved(
                    harness,
                    () ->
                        dialledConnection[0] =
                            harness.network.dial(harness.agent.address(), 1024, handler),
                    steps,
                    watchResponse(42),
                    eventIndex,
                    () -> harness.loop.post(() -> dialledConnection[0].close()));
            assertOpenConnections(harness, 0);
            harness.runInLoop(() -> {});
            assertEquals("closed", callbacks.get(callbacks.size() - 1));
            assertEquals(
                1, callbacks.stream().filter("closed"::equals).count(), callbacks.toString());
            assertEquals(eventIndex > 0, callbacks.contains("opened"), callbacks.toString());
            if (!ends(steps) && !steps.contains(Step.ANSWERS)) {
              assertClosedWithoutRequest(agentSocket);
            }
          }
        });
  }

  /**
   * (a) Guards against a list or a failure of the former address that is reported after the address
   * change.
   */
  @Test
  void callEstablishedInIterationOfAddressChangeReportsNothingOfFormerAddress() throws Exception {
    forEachInterleaving(
        SEQUENCES,
        (steps, eventIndex, description) -> {
          try (WatchHarness harness = newHarness("automatic");
              MixerTestHarness.DiscoveryAgent newAgent =
                  new MixerTestHarness.DiscoveryAgent(true)) {
            Socket formerSocket =
                runInterleaved(
                    harness,
                    harness.watch::open,
                    steps,
                    watchResponse(42),
                    eventIndex,
                    () -> harness.loop.post(() -> harness.watch.changeAddress(newAgent.address())));
            boolean listReceived = happenedBefore(steps, eventIndex, Step.ANSWERS);
            List<String> expected = new ArrayList<>(listReceived ? List.of("list 42") : List.of());
            if (endedBefore(steps, eventIndex)) {
              expected.add("failed");
            }
            assertNotifications(harness, expected);
            MixerTestHarness.DiscoveryConnection watch = newAgent.acceptRequest();
            assertEquals(2, harness.discoveryCalls());
            if (!listReceived && !ends(steps) && !steps.contains(Step.ANSWERS)) {
              assertClosedWithoutRequest(formerSocket);
            }
            assertOpenConnections(
                harness,
                listReceived && !ends(steps)
                    ? 2
                    : 1); // the former watch stays open until the new address sends a list
            sendList(harness, watch, 7);
            assertOpenConnections(harness, 1);
            harness.advanceClock(2 * CALL_INTERVAL_MS);
            assertEquals(2, harness.discoveryCalls());
            assertNotifications(harness, List.of());
            assertEquals(
                0,
                harness.counts.get("connections broken") - (steps.contains(Step.RESETS) ? 1 : 0),
                description);
          }
        });
  }

  /** (a) The same for the fetch of a full list: it is repeated once at the new address. */
  @Test
  void fetchEstablishedInIterationOfAddressChangeIsRepeatedAtNewAddress() throws Exception {
    forEachInterleaving(
        SEQUENCES,
        (steps, eventIndex, description) -> {
          try (WatchHarness harness = newHarness("automatic");
              MixerTestHarness.DiscoveryAgent newAgent =
                  new MixerTestHarness.DiscoveryAgent(true)) {
            harness.openWatch();
            MixerTestHarness.DiscoveryConnection formerWatch = harness.agent.acceptRequest();
            sendList(harness, formerWatch, 42);
            Socket fetchSocket =
                runInterleaved(
                    harness,
                    harness.watch::fetchFullList,
                    steps,
                    fetchResponse(43),
                    eventIndex,
                    () -> harness.loop.post(() -> harness.watch.changeAddress(newAgent.address())));
            boolean answered = happenedBefore(steps, eventIndex, Step.ANSWERS);
            boolean failed = !answered && endedBefore(steps, eventIndex);
            assertNotifications(
                harness, answered ? List.of("list 43") : failed ? List.of("failed") : List.of());
            int repeatedFetches = answered || failed ? 0 : 1;
            assertEquals(3 + repeatedFetches, harness.discoveryCalls());
            if (!ends(steps) && !steps.contains(Step.ANSWERS)) {
              assertClosedWithoutRequest(fetchSocket);
            }
            assertOpenConnections(
                harness,
                2 + repeatedFetches); // the former watch, the new watch and the repeated fetch
            MixerTestHarness.DiscoveryConnection watch = null;
            for (int i = 0; i <= repeatedFetches; i++) {
              MixerTestHarness.DiscoveryConnection call = newAgent.acceptRequest();
              watch = call.requestHead.contains("stream=1") ? call : watch;
            }
            sendList(harness, watch, 7);
            assertEquals("closed", formerWatch.awaitEnd());
            assertOpenConnections(harness, 1 + repeatedFetches);
            assertNotifications(harness, List.of());
            assertEquals(3 + repeatedFetches, harness.discoveryCalls());
          }
        });
  }

  /**
   * (b) Guards against a call that is abandoned as silent and reported as failed twice, or kept
   * open.
   */
  @Test
  void callEstablishedInIterationOfItsSilenceTimeoutFailsOnce() throws Exception {
    forEachInterleaving(
        SILENT_SEQUENCES,
        (steps, eventIndex, description) -> {
          try (WatchHarness harness = newHarness("subscribe")) {
            Socket agentSocket =
                runInterleaved(
                    harness,
                    harness.watch::open,
                    steps,
                    "",
                    eventIndex,
                    () -> harness.loop.post(() -> harness.advanceClockOnLoop(LINE_TIMEOUT_MS)));
            assertNotifications(harness, List.of("failed"));
            assertEquals(1, harness.counts.get("discovery failures"));
            if (!ends(steps)) {
              assertClosedWithoutRequest(agentSocket);
            }
            assertOpenConnections(harness, 0);
            harness.advanceClock(MAX_CALL_INTERVAL_MS - LINE_TIMEOUT_MS - 1);
            assertEquals(1, harness.discoveryCalls());
            harness.advanceClock(1);
            assertEquals(2, harness.discoveryCalls());
            sendList(harness, harness.agent.acceptRequest(), 43);
            assertOpenConnections(harness, 1);
            assertNotifications(harness, List.of());
          }
        });
  }

  /**
   * (c) Guards against a closed watch that goes on through a call that was just being established.
   */
  @Test
  void callEstablishedInIterationOfWatchCloseReportsNothing() throws Exception {
    forEachInterleaving(
        SEQUENCES,
        (steps, eventIndex, description) -> {
          try (WatchHarness harness = newHarness("automatic")) {
            Socket agentSocket =
                runInterleaved(
                    harness,
                    harness.watch::open,
                    steps,
                    watchResponse(42),
                    eventIndex,
                    () -> harness.loop.post(harness.watch::close));
            boolean listReceived = happenedBefore(steps, eventIndex, Step.ANSWERS);
            List<String> expected = new ArrayList<>(listReceived ? List.of("list 42") : List.of());
            if (endedBefore(steps, eventIndex)) {
              expected.add("failed");
            }
            assertNotifications(harness, expected);
            if (!ends(steps) && !steps.contains(Step.ANSWERS)) {
              assertClosedWithoutRequest(agentSocket);
            }
            assertOpenConnections(harness, 0);
            harness.advanceClock(10_000);
            assertEquals(1, harness.discoveryCalls());
            assertNotifications(harness, List.of());
            harness.openWatch(); // the watch can be opened again
            sendList(harness, harness.agent.acceptRequest(), 43);
            assertOpenConnections(harness, 1);
          }
        });
  }

  /**
   * (d) Guards against two watches, or none, if one call is answered in the loop iteration in which
   * another is established.
   */
  @Test
  void callEstablishedInIterationOfAnothersAnswerLeavesOneWatch() throws Exception {
    forEachInterleaving(
        SEQUENCES,
        (steps, eventIndex, description) -> {
          try (WatchHarness harness = newHarness("automatic")) {
            harness.openWatch();
            MixerTestHarness.DiscoveryConnection olderCall = harness.agent.acceptRequest();
            Socket newerSocket =
                runInterleaved(
                    harness,
                    () -> harness.advanceClockOnLoop(CALL_INTERVAL_MS),
                    steps,
                    watchResponse(43),
                    eventIndex,
                    () -> olderCall.write(watchResponse(42)));
            boolean newerAnswered = happenedBefore(steps, eventIndex, Step.ANSWERS);
            assertNotifications(harness, List.of(newerAnswered ? "list 43" : "list 42"));
            assertEquals(2, harness.discoveryCalls());
            if (newerAnswered) {
              olderCall.awaitEnd();
            } else if (!ends(steps) && !steps.contains(Step.ANSWERS)) {
              assertClosedWithoutRequest(newerSocket);
            }
            boolean noWatchLeft = newerAnswered && ends(steps);
            assertOpenConnections(harness, noWatchLeft ? 0 : 1);
            assertEquals(
                !noWatchLeft && !endedBefore(steps, eventIndex) ? 0 : 1,
                harness.counts.get("discovery failures"));
            harness.advanceClock(CALL_INTERVAL_MS - 1);
            assertEquals(2, harness.discoveryCalls());
            harness.advanceClock(1);
            assertEquals(noWatchLeft ? 3 : 2, harness.discoveryCalls());
            if (noWatchLeft) {
              sendList(harness, harness.agent.acceptRequest(), 44);
            } else if (!newerAnswered) {
              olderCall.write(MixerTestHarness.memberListLine(44, false) + "\n");
              assertEquals("list 44", harness.nextNotification());
            } else {
              newerSocket
                  .getOutputStream()
                  .write((MixerTestHarness.memberListLine(44, false) + "\n").getBytes());
              assertEquals("list 44", harness.nextNotification());
            }
            assertOpenConnections(harness, 1);
            assertNotifications(harness, List.of());
          }
        });
  }

  /**
   * (c) The process begins its shutdown, or its loop stops, in the loop iteration in which the dial
   * of an address change is established.
   */
  @Test
  void callEstablishedInIterationOfShutdownDoesNotDelayShutdown() throws Exception {
    for (boolean stopAtOnce : new boolean[] {true, false}) {
      forEachInterleaving(
          SILENT_SEQUENCES,
          (steps, eventIndex, description) -> {
            try (MixerTestHarness harness =
                    new MixerTestHarness(
                        "\"HardLimitMs\": 2000.0",
                        "\"HardLimitMs\": 100.0",
                        "\"AimMs\": 600.0",
                        "\"AimMs\": 60.0");
                MixerTestHarness.DiscoveryAgent newAgent =
                    new MixerTestHarness.DiscoveryAgent(true)) {
              MixerTestHarness.DiscoveryConnection formerWatch =
                  harness.announceAndAwaitReady(harness.box("b0", 0));
              harness.writeConfig(newAgent.address());
              CountDownLatch reached = new CountDownLatch(1);
              CountDownLatch dialAllowed = new CountDownLatch(1);
              CountDownLatch released = new CountDownLatch(1);
              Runnable endProcess =
                  stopAtOnce ? harness.server.loop::stop : harness.server::beginShutdown;
              Socket agentSocket = null;
              try (MixerTestHarness.LoopGate gate =
                  harness.pauseLoop()) { // events posted behind the gate form one iteration
                harness.server.loop.post(
                    () -> {
                      reached.countDown();
                      awaitLatch(dialAllowed);
                    });
                harness.server.reload();
                harness.server.loop.post(
                    () -> {
                      harness.server.network().flush(); // starts the dial of the address change
                      awaitLatch(released);
                    });
              }
              awaitLatch(reached);
              int eventCount = harness.server.loop.queuedEvents();
              for (int i = 0; i <= steps.size(); i++) {
                if (i == eventIndex) {
                  harness.server.loop.post(endProcess);
                  eventCount++;
                }
                if (i < steps.size()) {
                  switch (steps.get(i)) {
                    case ESTABLISHED -> {
                      dialAllowed.countDown();
                      agentSocket = newAgent.accept();
                    }
                    case CLOSES -> agentSocket.close();
                    default -> {
                      agentSocket.setSoLinger(true, 0);
                      agentSocket.close();
                    }
                  }
                  int minimum = ++eventCount;
                  MixerTestHarness.await(
                      "posted events", () -> harness.server.loop.queuedEvents() >= minimum);
                }
              }
              released.countDown();
              assertEquals(0, harness.awaitExitCode(), description);
              agentSocket.close();
              formerWatch.close();
              assertEquals(stopAtOnce ? 0 : 1, harness.count("ends announced"));
              assertEquals(1, harness.count("lists told"));
            }
          });
    }
  }
}
