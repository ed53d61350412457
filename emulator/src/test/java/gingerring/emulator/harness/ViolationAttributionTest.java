package gingerring.emulator.harness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gingerring.emulator.core.RuleChecker;
import gingerring.emulator.core.RuleChecker.Rule;
import gingerring.emulator.core.Scenario;
import gingerring.emulator.experiment.EmulatedStore;
import gingerring.traffic.wire.Reactor;
import gingerring.traffic.wire.ReactorConnection;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Mixer 1 violates one rule on purpose while mixers 0 and 2 keep all rules. Each violation must be
 * counted once and attributed to mixer 1, whichever links are cut. The test itself acts as the
 * mixers and their clients, and sends through the harness's relays.
 */
class ViolationAttributionTest {
  private static final int FAULTY_MIXER = 1;
  private static final long PAST_SLACK_MS = 2 * RuleChecker.SLACK.toMillis() + 20;
  private static final Map<Integer, Double> SHARES = Map.of(0, 0.5, 1, 0.5);

  private final Reactor reactor = new Reactor();
  private final TcpRelay.LinkFaults[] linkFaults = {
    new TcpRelay.LinkFaults(), new TcpRelay.LinkFaults(), new TcpRelay.LinkFaults()
  };
  private final TcpRelay[][] relays = new TcpRelay[3][3];
  private final Map<String, TcpRelay> relaysByMixerAndPort = new HashMap<>();
  private final ReactorConnection[][] connections = new ReactorConnection[3][3];
  private RuleChecker ruleChecker;
  private EmulatedStore store;
  private int sentParts;

  @BeforeEach
  void startStore() throws Exception {
    Scenario scenario =
        Scenario.read(
            """
        {"boxes": 3, "copies": 2, "trips": 2, "drainGraceMs": 0, "listLagMs": 0, "tipAfterMs": 250,
         "tipMultiple": 1, "warmUpMs": 1e8, "queueMost": 5000, "pauseMs": [0, 0],
         "troubles": [{"kind": "crash", "atMs": 0, "forMs": 1, "boxes": 3}],
         "grades": [{"name": "search", "floor": 0.4, "patienceMs": 60000},
          {"name": "once", "repeats": "at-most-once", "patienceMs": 60000}]}"""
                .getBytes());
    ruleChecker = new RuleChecker(scenario);
    store = new EmulatedStore(scenario, reactor, ruleChecker, 1);
    for (int i = 0; i < 3; i++) {
      int mixer = i;
      store
          .addView(
              mixer,
              (box, port) -> {
                relays[mixer][box] =
                    relaysByMixerAndPort.computeIfAbsent(
                        mixer + "." + port, p -> openRelay(mixer, port));
                return relays[mixer][box].port();
              })
          .memberList();
    }
    Thread thread = new Thread(reactor::run, "violation-attribution");
    thread.setDaemon(true);
    thread.start();
  }

  private TcpRelay openRelay(int mixer, int port) {
    try {
      return new TcpRelay(
          reactor,
          EmulatedStore.loopback(port),
          linkFaults[mixer],
          () -> 1,
          mixer,
          store::registerSendTimes);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @AfterEach
  void stopReactor() {
    reactor.stop();
  }

  private <T> T onReactor(Callable<T> task) throws Exception {
    CompletableFuture<T> done = new CompletableFuture<>();
    reactor.post(
        () -> {
          try {
            done.complete(task.call());
          } catch (Exception | Error e) {
            done.completeExceptionally(e);
          }
        });
    return done.get(20, TimeUnit.SECONDS);
  }

  private void awaitCondition(Callable<Boolean> condition) throws Exception {
    long deadlineNanos = System.nanoTime() + 20_000_000_000L;
    while (!onReactor(condition)) {
      assertTrue(
          System.nanoTime() < deadlineNanos,
          "condition not met in time; parts " + onReactor(ruleChecker::tripCount));
      Thread.sleep(5);
    }
  }

  private void recordRequest(int mixer, String requestId, String serviceClass) throws Exception {
    onReactor(
        () -> {
          ruleChecker.requestSent(
              mixer, requestId, serviceClass, SHARES, null, reactor.now(), Duration.ofMinutes(1));
          return null;
        });
  }

  private void recordAnswer(String requestId, boolean rejected, Map<Integer, String> values)
      throws Exception {
    onReactor(
        () -> {
          ruleChecker.requestAnswered(requestId, reactor.now(), rejected, false, values);
          return null;
        });
  }

  /**
   * Sends a part of each scan as a mixer does, and waits until the relay has buffered it or the box
   * has received it.
   */
  private void sendParts(int mixer, int partition, int box, String... requestIds) throws Exception {
    sentParts += requestIds.length;
    long expectedTrips =
        onReactor(
            () -> {
              if (connections[mixer][box] == null || !connections[mixer][box].isOpen()) {
                connections[mixer][box] =
                    reactor.connect(
                        EmulatedStore.loopback(relays[mixer][box].port()),
                        new ReactorConnection.Handler() {
                          @Override
                          public void onData(byte[] bytes, int length) {}

                          @Override
                          public void onClosed() {}
                        });
              }
              for (String requestId : requestIds) {
                byte[] frame = ("S" + requestId + ".1 " + partition + " - 8\nsearch:x").getBytes();
                connections[mixer][box].send(
                    ByteBuffer.allocate(4 + frame.length)
                        .order(ByteOrder.LITTLE_ENDIAN)
                        .putInt(frame.length)
                        .put(frame)
                        .array());
              }
              return ruleChecker.tripCount() + requestIds.length;
            });
    awaitCondition(
        () ->
            linkFaults[mixer].cut
                ? relays[mixer][box].bufferedBytes() > 0
                : ruleChecker.tripCount() == expectedTrips || ruleChecker.violationCount() > 0);
  }

  private void setCut(String mixers, boolean isCut) throws Exception {
    onReactor(
        () -> {
          for (int mixer = 0; mixer < 3; mixer++) {
            if (mixers.contains("" + mixer)) {
              linkFaults[mixer].cut = isCut;
              for (TcpRelay relay : relays[mixer]) {
                relay.resume();
              }
            }
          }
          return null;
        });
  }

  private void violate(String violation) throws Exception {
    String serviceClass = violation.startsWith("EFFECT") ? "once" : "search";
    recordRequest(FAULTY_MIXER, "bad", serviceClass);
    switch (violation) {
      case "SCAN_LOST" -> {
        // a part sent in time precedes the late one on the same connection
        sendParts(FAULTY_MIXER, 0, 0, "bad");
        recordAnswer("bad", true, null);
        Thread.sleep(PAST_SLACK_MS);
        sendParts(FAULTY_MIXER, 0, 0, "bad");
      }
      case "EFFECT_TWICE" -> {
        sendParts(FAULTY_MIXER, 0, 0, "bad");
        sendParts(FAULTY_MIXER, 0, 1, "bad");
      }
      case "EFFECT_NACKED" -> {
        sendParts(FAULTY_MIXER, 0, 0, "bad");
        recordAnswer("bad", true, null);
      }
      case "DRAIN" -> {
        onReactor(
            () -> {
              for (int mixer = 0; mixer < 3; mixer++) {
                ruleChecker.boxStateNotified(mixer, 0, reactor.now());
              }
              return null;
            });
        Thread.sleep(PAST_SLACK_MS);
        sendParts(FAULTY_MIXER, 0, 0, "bad");
      }
      case "HONEST_ANSWER" -> recordAnswer("bad", false, Map.of(0, "not from a box"));
      case "TRIPS" -> sendParts(FAULTY_MIXER, 0, 0, "bad", "bad", "bad");
      case "STRANGE_PART" -> sendParts(FAULTY_MIXER, 1, 1, "good0");
      default -> throw new IllegalArgumentException(violation);
    }
  }

  /**
   * Mixers 0 and 2 send parts in time and complete their scans; parts buffered at a cut link arrive
   * long afterwards.
   */
  @ParameterizedTest
  @CsvSource({
    "SCAN_LOST",
    "EFFECT_TWICE",
    "EFFECT_NACKED",
    "DRAIN",
    "HONEST_ANSWER",
    "TRIPS",
    "STRANGE_PART"
  })
  void violationIsAttributedToItsMixer(String violation) throws Exception {
    for (String cutMixers : new String[] {"", "02", "1", "012"}) {
      stopReactor();
      ViolationAttributionTest run = new ViolationAttributionTest();
      run.startStore();
      run.setCut(cutMixers, true);
      for (int mixer : new int[] {0, 2}) {
        run.recordRequest(mixer, "good" + mixer, "search");
        run.sendParts(mixer, 0, 0, "good" + mixer);
      }
      run.violate(violation);
      run.recordAnswer("good0", true, null);
      run.recordAnswer("good2", true, null);
      Thread.sleep(PAST_SLACK_MS);
      run.setCut(cutMixers, false);
      run.awaitCondition(() -> run.ruleChecker.tripCount() == run.sentParts);
      String context =
          violation + ", cut off: " + cutMixers + ": " + run.onReactor(run.ruleChecker::violations);
      Rule rule = Rule.valueOf(violation.replace("NACKED", "TWICE"));
      assertEquals(Map.of(rule, 1), run.onReactor(run.ruleChecker::countsByRule), context);
      assertEquals(Map.of(FAULTY_MIXER, 1), run.onReactor(run.ruleChecker::countsByMixer), context);
      assertTrue(
          cutMixers.isEmpty()
              || run.onReactor(run.ruleChecker::delayedCount) > 0
              || run.sentParts == 2,
          context);
      run.stopReactor();
    }
  }

  /** A cold box fails because of the load from one mixer, although others sent it parts as well. */
  @ParameterizedTest
  @CsvSource({"''", "02", "1"})
  void coldBoxFailureIsAttributedToTheHeaviestSender(String cutMixers) throws Exception {
    TcpRelay relayBeforeCrash = relays[0][0];
    onReactor(
        () -> {
          store.start();
          return null;
        });
    awaitCondition(() -> relays[0][0] != relayBeforeCrash);
    setCut(cutMixers, true);
    recordRequest(0, "m0", "search");
    recordRequest(2, "m2", "search");
    sendParts(0, 0, 0, "m0");
    sendParts(2, 0, 0, "m2");
    recordRequest(FAULTY_MIXER, "bad", "search");
    String[] requestIds = IntStream.range(0, 400).mapToObj(i -> "bad" + i).toArray(String[]::new);
    for (String requestId : requestIds) {
      recordRequest(FAULTY_MIXER, requestId, "search");
    }
    sendParts(FAULTY_MIXER, 0, 0, requestIds);
    setCut(cutMixers, false);
    awaitCondition(() -> ruleChecker.tripCount() == sentParts || ruleChecker.violationCount() > 0);
    // longer than the box's load interval, so that the next part triggers the check if none has yet
    Thread.sleep(300);
    if (onReactor(ruleChecker::violationCount) == 0) {
      sendParts(FAULTY_MIXER, 0, 0, "bad");
    }
    awaitCondition(() -> ruleChecker.violationCount() > 0);
    assertEquals(
        Map.of(Rule.COLD_BOX, 1),
        onReactor(ruleChecker::countsByRule),
        onReactor(ruleChecker::violations).toString());
    assertEquals(Map.of(FAULTY_MIXER, 1), onReactor(ruleChecker::countsByMixer));
  }
}
