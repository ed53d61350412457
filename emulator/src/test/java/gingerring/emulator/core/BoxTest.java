package gingerring.emulator.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Boxes in a time of their own. */
class BoxTest {
  /** A host whose time moves from wake to wake. */
  private static final class Time implements Box.Host {
    private record Wake(Duration at, long number, Runnable task) {}

    final PriorityQueue<Wake> wakes =
        new PriorityQueue<>(
            (one, other) ->
                one.at.equals(other.at)
                    ? Long.compare(one.number, other.number)
                    : one.at.compareTo(other.at));
    final Map<String, String> ends = new TreeMap<>();
    final List<Integer> fell = new ArrayList<>();
    Duration now = Duration.ZERO;
    long wakeNumber;

    @Override
    public Duration now() {
      return now;
    }

    @Override
    public void schedule(Duration span, Runnable task) {
      wakes.add(new Wake(now.plus(span), wakeNumber++, task));
    }

    @Override
    public void answer(Box.Part part, String end) {
      ends.put(part.id(), end);
    }

    @Override
    public boolean beginExecution(Box.Part part) {
      return true;
    }

    @Override
    public void overloaded(Box box) {
      fell.add(box.number);
    }

    void run(Duration until) {
      while (!wakes.isEmpty() && wakes.peek().at.compareTo(until) <= 0) {
        Wake wake = wakes.poll();
        now = wake.at;
        wake.task.run();
      }
      now = until;
    }
  }

  private static Scenario world(String json) throws Scenario.InvalidScenario {
    return Scenario.read(json.getBytes());
  }

  private static Box.Part part(int number) {
    return new Box.Part(null, "p" + number, number % 3, null, "skill-search:" + number);
  }

  @Test
  void workTakesItsTimeAndTheQueueHasAnEnd() throws Exception {
    Scenario world = world("{\"boxes\": 3, \"cores\": 1, \"queueMost\": 3, \"pauseMs\": [0, 0]}");
    Time time = new Time();
    Box box = new Box(world, 0, time);
    box.start(false);
    for (int i = 0; i < 6; i++) {
      box.receive(part(i));
    }
    assertEquals(Map.of("p4", "full", "p5", "full"), time.ends);
    box.cancel("p3");
    time.run(Duration.ofSeconds(1));
    assertEquals("done", time.ends.get("p2"));
    assertFalse(time.ends.containsKey("p3"));
    assertEquals(3, box.partsDone());
  }

  @Test
  void aColdBoxSentTooMuchFallsAndOneSentLittleGetsWarm() throws Exception {
    Scenario world =
        world(
            "{\"boxes\": 3, \"warmUpMs\": 10000, \"tipMultiple\": 3, \"tipAfterMs\": 1000, "
                + "\"queueMost\": 100000, \"slowShare\": 0}");
    for (int perSecond : new int[] {15, 400}) {
      Time time = new Time();
      Box box = new Box(world, 0, time);
      box.start(true);
      assertEquals(0.19, box.capacityShare(), 1e-9);
      for (int i = 0; i < perSecond * 3; i++) {
        time.run(Duration.ofMillis(1000L * i / perSecond));
        box.receive(part(i));
      }
      time.run(Duration.ofSeconds(11));
      assertEquals(perSecond > 100, box.isOverloaded(), perSecond + " a second");
      assertEquals(perSecond > 100 ? List.of(0) : List.of(), time.fell);
      assertTrue(perSecond > 100 || box.capacityShare() == 1);
    }
  }

  /**
   * The same part meets the same at the same box, in whatever order and at whatever time it comes.
   */
  @Test
  void fatesDoNotDependOnOrderOrTime() throws Exception {
    Scenario world =
        world(
            "{\"boxes\": 3, \"seed\": 5, \"queueMost\": 100000, \"badParts\": 0.1, \"troubles\": ["
                + "{\"kind\": \"errors\", \"atMs\": 0, \"forMs\": 1000000, \"boxes\": 3, \"size\": 0.2},"
                + "{\"kind\": \"spoil\", \"atMs\": 0, \"forMs\": 1000000, \"boxes\": 3, \"size\": 0.2}]}");
    List<Map<String, String>> runs = new ArrayList<>();
    for (int gap : new int[] {1, 50}) {
      Time time = new Time();
      Box box = new Box(world, 1, time);
      box.start(false);
      for (int i = 0; i < 200; i++) {
        time.run(Duration.ofMillis((long) i * gap));
        box.receive(part(gap == 1 ? i : 199 - i));
      }
      time.run(Duration.ofSeconds(100));
      runs.add(time.ends);
    }
    assertEquals(runs.get(0), runs.get(1));
    assertEquals(3, runs.get(0).values().stream().distinct().count());
    assertEquals(200, runs.get(0).size());
  }

  @Test
  void aBoxThatDiesForgetsWhatItHad() throws Exception {
    Time time = new Time();
    Box box = new Box(world("{\"boxes\": 3}"), 0, time);
    box.start(false);
    box.receive(part(1));
    box.stop();
    box.start(true);
    time.run(Duration.ofSeconds(5));
    assertEquals(Map.of(), time.ends);
    assertEquals(0, box.inFlight());
  }

  @Test
  void aDescriptionThatCannotBeIsRefusedByName() {
    Map<String, String> wrong =
        Map.of(
            "{\"boxes\": 0}",
            "boxes is out of range: 0.0 is not 1.0 to 2000.0",
            "{\"boxen\": 3}",
            "boxen is unknown",
            "{\"pauseMs\": [5, 2]}",
            "pauseMs is no pair",
            "{\"troubles\": [{\"kind\": \"flood\"}]}",
            "troubles.0.kind is unknown: flood",
            "{\"grades\": [{\"share\": 1}]}",
            "grades.0.name is missing",
            "[",
            "unexpected end of input");
    wrong.forEach(
        (json, why) -> {
          Scenario.InvalidScenario unfit =
              assertThrows(Scenario.InvalidScenario.class, () -> world(json));
          assertTrue(unfit.getMessage().contains(why), unfit.getMessage());
        });
  }

  @Test
  void theScriptIsTheSameEveryTimeAndItsWeightsSumToOne() {
    Scenario world = Scenario.defaults();
    List<Workload.ClientRequest> wishes = Workload.generate(world);
    assertEquals(wishes, Workload.generate(world));
    assertTrue(wishes.size() > 120 && wishes.size() < 280, "wishes: " + wishes.size());
    for (Workload.ClientRequest wish : wishes) {
      assertEquals(1, wish.shares().values().stream().mapToDouble(Double::doubleValue).sum(), 1e-3);
    }
  }
}
