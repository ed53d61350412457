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

/** Tests a box in simulated time. */
class BoxTest {
  /** A host whose clock advances from task to task. */
  private static final class SimulatedHost implements Box.Host {
    private record ScheduledTask(Duration time, long number, Runnable task) {}

    final PriorityQueue<ScheduledTask> tasks =
        new PriorityQueue<>(
            (first, second) ->
                first.time.equals(second.time)
                    ? Long.compare(first.number, second.number)
                    : first.time.compareTo(second.time));
    final Map<String, String> outcomes = new TreeMap<>();
    final List<Integer> overloadedBoxes = new ArrayList<>();
    Duration now = Duration.ZERO;
    long taskNumber;

    @Override
    public Duration now() {
      return now;
    }

    @Override
    public void schedule(Duration delay, Runnable task) {
      tasks.add(new ScheduledTask(now.plus(delay), taskNumber++, task));
    }

    @Override
    public void answer(Box.Part part, String outcome) {
      outcomes.put(part.id(), outcome);
    }

    @Override
    public boolean beginExecution(Box.Part part) {
      return true;
    }

    @Override
    public void overloaded(Box box) {
      overloadedBoxes.add(box.number);
    }

    void runUntil(Duration end) {
      while (!tasks.isEmpty() && tasks.peek().time.compareTo(end) <= 0) {
        ScheduledTask task = tasks.poll();
        now = task.time;
        task.task.run();
      }
      now = end;
    }
  }

  private static Scenario scenario(String json) throws Scenario.InvalidScenario {
    return Scenario.read(json.getBytes());
  }

  private static Box.Part part(int number) {
    return new Box.Part(null, "p" + number, number % 3, null, "skill-search:" + number);
  }

  @Test
  void partsTakeTheirWorkTimeAndAFullQueueRejects() throws Exception {
    Scenario scenario =
        scenario("{\"boxes\": 3, \"cores\": 1, \"queueMost\": 3, \"pauseMs\": [0, 0]}");
    SimulatedHost host = new SimulatedHost();
    Box box = new Box(scenario, 0, host);
    box.start(false);
    for (int i = 0; i < 6; i++) {
      box.receive(part(i));
    }
    assertEquals(Map.of("p4", "full", "p5", "full"), host.outcomes);
    box.cancel("p3");
    host.runUntil(Duration.ofSeconds(1));
    assertEquals("done", host.outcomes.get("p2"));
    assertFalse(host.outcomes.containsKey("p3"));
    assertEquals(3, box.partsDone());
  }

  @Test
  void coldBoxFailsUnderOverloadAndWarmsUpUnderLightLoad() throws Exception {
    Scenario scenario =
        scenario(
            "{\"boxes\": 3, \"warmUpMs\": 10000, \"tipMultiple\": 3, \"tipAfterMs\": 1000, "
                + "\"queueMost\": 100000, \"slowShare\": 0}");
    for (int perSecond : new int[] {15, 400}) {
      SimulatedHost host = new SimulatedHost();
      Box box = new Box(scenario, 0, host);
      box.start(true);
      assertEquals(0.19, box.capacityShare(), 1e-9);
      for (int i = 0; i < perSecond * 3; i++) {
        host.runUntil(Duration.ofMillis(1000L * i / perSecond));
        box.receive(part(i));
      }
      host.runUntil(Duration.ofSeconds(11));
      assertEquals(perSecond > 100, box.isOverloaded(), perSecond + " a second");
      assertEquals(perSecond > 100 ? List.of(0) : List.of(), host.overloadedBoxes);
      assertTrue(perSecond > 100 || box.capacityShare() == 1);
    }
  }

  /** The outcome of a part at a box depends neither on the order nor on the time of its arrival. */
  @Test
  void outcomesDoNotDependOnOrderOrTime() throws Exception {
    Scenario scenario =
        scenario(
            "{\"boxes\": 3, \"seed\": 5, \"queueMost\": 100000, \"badParts\": 0.1, \"troubles\": ["
                + "{\"kind\": \"errors\", \"atMs\": 0, \"forMs\": 1000000, \"boxes\": 3, \"size\": 0.2},"
                + "{\"kind\": \"spoil\", \"atMs\": 0, \"forMs\": 1000000, \"boxes\": 3, \"size\": 0.2}]}");
    List<Map<String, String>> outcomesByRun = new ArrayList<>();
    for (int gapMs : new int[] {1, 50}) {
      SimulatedHost host = new SimulatedHost();
      Box box = new Box(scenario, 1, host);
      box.start(false);
      for (int i = 0; i < 200; i++) {
        host.runUntil(Duration.ofMillis((long) i * gapMs));
        box.receive(part(gapMs == 1 ? i : 199 - i));
      }
      host.runUntil(Duration.ofSeconds(100));
      outcomesByRun.add(host.outcomes);
    }
    assertEquals(outcomesByRun.get(0), outcomesByRun.get(1));
    assertEquals(3, outcomesByRun.get(0).values().stream().distinct().count());
    assertEquals(200, outcomesByRun.get(0).size());
  }

  @Test
  void restartedBoxAnswersNoEarlierPart() throws Exception {
    SimulatedHost host = new SimulatedHost();
    Box box = new Box(scenario("{\"boxes\": 3}"), 0, host);
    box.start(false);
    box.receive(part(1));
    box.stop();
    box.start(true);
    host.runUntil(Duration.ofSeconds(5));
    assertEquals(Map.of(), host.outcomes);
    assertEquals(0, box.inFlight());
  }

  @Test
  void invalidScenarioIsRejectedWithTheFieldName() {
    Map<String, String> messageByJson =
        Map.of(
            "{\"boxes\": 0}",
            "boxes is out of range: 0.0 is not 1.0 to 2000.0",
            "{\"boxen\": 3}",
            "boxen is unknown",
            "{\"pauseMs\": [5, 2]}",
            "pauseMs is not a pair",
            "{\"troubles\": [{\"kind\": \"flood\"}]}",
            "troubles.0.kind is unknown: flood",
            "{\"grades\": [{\"share\": 1}]}",
            "grades.0.name is missing",
            "[",
            "unexpected end of input");
    messageByJson.forEach(
        (json, expectedMessage) -> {
          Scenario.InvalidScenario exception =
              assertThrows(Scenario.InvalidScenario.class, () -> scenario(json));
          assertTrue(exception.getMessage().contains(expectedMessage), exception.getMessage());
        });
  }

  @Test
  void workloadIsReproducibleAndSharesSumToOne() {
    Scenario scenario = Scenario.defaults();
    List<Workload.ClientRequest> requests = Workload.generate(scenario);
    assertEquals(requests, Workload.generate(scenario));
    assertTrue(requests.size() > 120 && requests.size() < 280, "requests: " + requests.size());
    for (Workload.ClientRequest request : requests) {
      assertEquals(
          1, request.shares().values().stream().mapToDouble(Double::doubleValue).sum(), 1e-3);
    }
  }
}
