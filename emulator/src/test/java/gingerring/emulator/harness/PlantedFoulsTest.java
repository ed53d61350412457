package gingerring.emulator.harness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gingerring.emulator.core.Referee;
import gingerring.emulator.core.Referee.Rule;
import gingerring.emulator.core.Scenario;
import gingerring.emulator.experiment.Store;
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
 * Mixer 1 breaks one rule on purpose, 0 and 2 keep them, all through the rig's links to boxes: each
 * foul is booked once and on mixer 1, whichever links are cut between. The test plays the mixers
 * and their clients.
 */
class PlantedFoulsTest {
  private static final int PLANTER = 1;
  private static final long PAST_SLACK_MS = 2 * Referee.SLACK.toMillis() + 20;
  private static final Map<Integer, Double> SHARES = Map.of(0, 0.5, 1, 0.5);

  private final Reactor reactor = new Reactor();
  private final Relay.Faults[] links = {new Relay.Faults(), new Relay.Faults(), new Relay.Faults()};
  private final Relay[][] relays = new Relay[3][3];
  private final Map<String, Relay> made = new HashMap<>();
  private final ReactorConnection[][] wires = new ReactorConnection[3][3];
  private Referee referee;
  private Store store;
  private int parts;

  @BeforeEach
  void boxes() throws Exception {
    Scenario world =
        Scenario.read(
            """
        {"boxes": 3, "copies": 2, "trips": 2, "drainGraceMs": 0, "listLagMs": 0, "tipAfterMs": 250,
         "tipMultiple": 1, "warmUpMs": 1e8, "queueMost": 5000, "pauseMs": [0, 0],
         "troubles": [{"kind": "crash", "atMs": 0, "forMs": 1, "boxes": 3}],
         "grades": [{"name": "search", "floor": 0.4, "patienceMs": 60000},
          {"name": "once", "repeats": "at-most-once", "patienceMs": 60000}]}"""
                .getBytes());
    referee = new Referee(world);
    store = new Store(world, reactor, referee, 1);
    for (int i = 0; i < 3; i++) {
      int mixer = i;
      store
          .view(
              mixer,
              (box, port) -> {
                relays[mixer][box] =
                    made.computeIfAbsent(mixer + "." + port, p -> relay(mixer, port));
                return relays[mixer][box].port();
              })
          .list();
    }
    Thread thread = new Thread(reactor::run, "planted");
    thread.setDaemon(true);
    thread.start();
  }

  private Relay relay(int mixer, int port) {
    try {
      return new Relay(reactor, Store.loopback(port), links[mixer], () -> 1, mixer, store::passes);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @AfterEach
  void over() {
    reactor.stop();
  }

  private <T> T on(Callable<T> task) throws Exception {
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

  private void until(Callable<Boolean> holds) throws Exception {
    long end = System.nanoTime() + 20_000_000_000L;
    while (!on(holds)) {
      assertTrue(System.nanoTime() < end, "in time; parts " + on(referee::trips));
      Thread.sleep(5);
    }
  }

  private void ask(int mixer, String mark, String grade) throws Exception {
    on(
        () -> {
          referee.asked(mixer, mark, grade, SHARES, null, reactor.now(), Duration.ofMinutes(1));
          return null;
        });
  }

  private void answer(String mark, boolean nacked, Map<Integer, String> values) throws Exception {
    on(
        () -> {
          referee.answered(mark, reactor.now(), nacked, false, values);
          return null;
        });
  }

  /**
   * Sends a part of each scan as a mixer does, and waits until the link holds it or the box has it.
   */
  private void send(int mixer, int folio, int box, String... marks) throws Exception {
    parts += marks.length;
    long due =
        on(
            () -> {
              if (wires[mixer][box] == null || !wires[mixer][box].isOpen()) {
                wires[mixer][box] =
                    reactor.connect(
                        Store.loopback(relays[mixer][box].port()),
                        new ReactorConnection.Handler() {
                          @Override
                          public void onData(byte[] bytes, int length) {}

                          @Override
                          public void onClosed() {}
                        });
              }
              for (String mark : marks) {
                byte[] frame = ("S" + mark + ".1 " + folio + " - 8\nsearch:x").getBytes();
                wires[mixer][box].send(
                    ByteBuffer.allocate(4 + frame.length)
                        .order(ByteOrder.LITTLE_ENDIAN)
                        .putInt(frame.length)
                        .put(frame)
                        .array());
              }
              return referee.trips() + marks.length;
            });
    until(
        () ->
            links[mixer].cut
                ? relays[mixer][box].held() > 0
                : referee.trips() == due || referee.fouls() > 0);
  }

  private void cut(String mixers, boolean on) throws Exception {
    on(
        () -> {
          for (int mixer = 0; mixer < 3; mixer++) {
            if (mixers.contains("" + mixer)) {
              links[mixer].cut = on;
              for (Relay each : relays[mixer]) {
                each.healed();
              }
            }
          }
          return null;
        });
  }

  private void plant(String foul) throws Exception {
    String grade = foul.startsWith("EFFECT") ? "once" : "search";
    ask(PLANTER, "bad", grade);
    switch (foul) {
      case "SCAN_LOST" -> {
        send(PLANTER, 0, 0, "bad"); // one in time goes before it on the same way
        answer("bad", true, null);
        Thread.sleep(PAST_SLACK_MS);
        send(PLANTER, 0, 0, "bad");
      }
      case "EFFECT_TWICE" -> {
        send(PLANTER, 0, 0, "bad");
        send(PLANTER, 0, 1, "bad");
      }
      case "EFFECT_NACKED" -> {
        send(PLANTER, 0, 0, "bad");
        answer("bad", true, null);
      }
      case "DRAIN" -> {
        on(
            () -> {
              for (int mixer = 0; mixer < 3; mixer++) {
                referee.told(mixer, 0, reactor.now());
              }
              return null;
            });
        Thread.sleep(PAST_SLACK_MS);
        send(PLANTER, 0, 0, "bad");
      }
      case "HONEST_ANSWER" -> answer("bad", false, Map.of(0, "made up"));
      case "TRIPS" -> send(PLANTER, 0, 0, "bad", "bad", "bad");
      case "STRANGE_PART" -> send(PLANTER, 1, 1, "good0");
      default -> throw new IllegalArgumentException(foul);
    }
  }

  /**
   * Mixers 0 and 2 send parts in time and end their scans; what a cut link holds arrives long
   * after.
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
  void aFoulIsBookedOnWhoDidIt(String foul) throws Exception {
    for (String cut : new String[] {"", "02", "1", "012"}) {
      over();
      PlantedFoulsTest each = new PlantedFoulsTest();
      each.boxes();
      each.cut(cut, true);
      for (int mixer : new int[] {0, 2}) {
        each.ask(mixer, "good" + mixer, "search");
        each.send(mixer, 0, 0, "good" + mixer);
      }
      each.plant(foul);
      each.answer("good0", true, null);
      each.answer("good2", true, null);
      Thread.sleep(PAST_SLACK_MS);
      each.cut(cut, false);
      each.until(() -> each.referee.trips() == each.parts);
      String where = foul + ", cut off: " + cut + ": " + each.on(each.referee::shown);
      Rule rule = Rule.valueOf(foul.replace("NACKED", "TWICE"));
      assertEquals(Map.of(rule, 1), each.on(each.referee::counts), where);
      assertEquals(Map.of(PLANTER, 1), each.on(each.referee::blamed), where);
      assertTrue(cut.isEmpty() || each.on(each.referee::held) > 0 || each.parts == 2, where);
      each.over();
    }
  }

  /** A cold box falls by what one mixer sends it, though others sent it parts as well. */
  @ParameterizedTest
  @CsvSource({"''", "02", "1"})
  void aFallIsBookedOnWhoSentMost(String cut) throws Exception {
    Relay warm = relays[0][0];
    on(
        () -> {
          store.begin();
          return null;
        });
    until(() -> relays[0][0] != warm);
    cut(cut, true);
    ask(0, "m0", "search");
    ask(2, "m2", "search");
    send(0, 0, 0, "m0");
    send(2, 0, 0, "m2");
    ask(PLANTER, "bad", "search");
    String[] many = IntStream.range(0, 400).mapToObj(i -> "bad" + i).toArray(String[]::new);
    for (String mark : many) {
      ask(PLANTER, mark, "search");
    }
    send(PLANTER, 0, 0, many);
    cut(cut, false);
    until(() -> referee.trips() == parts || referee.fouls() > 0);
    Thread.sleep(
        300); // longer than a box's bucket: the next part has it judged, if that was not done
    // before
    if (on(referee::fouls) == 0) {
      send(PLANTER, 0, 0, "bad");
    }
    until(() -> referee.fouls() > 0);
    assertEquals(Map.of(Rule.COLD_BOX, 1), on(referee::counts), on(referee::shown).toString());
    assertEquals(Map.of(PLANTER, 1), on(referee::blamed));
  }
}
