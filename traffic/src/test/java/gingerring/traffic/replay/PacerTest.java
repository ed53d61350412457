package gingerring.traffic.replay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/**
 * Compares the pacer with a simple model: on each connection a step is sent when it is due and the
 * step before it has ended.
 */
class PacerTest {
  private static ReplayStep step(int number, int connection, long dueMs) {
    return new ReplayStep(number, connection, Duration.ofMillis(dueMs), null, null, 0, new byte[0]);
  }

  @Property(tries = 500, seed = "7")
  void sendsAsTheReferenceModelDoes(
      @ForAll long seed,
      @ForAll @IntRange(min = 1, max = 40) int count,
      @ForAll @IntRange(min = 1, max = 6) int lanes) {
    SplittableRandom random = new SplittableRandom(seed);
    List<ReplayStep> steps = new ArrayList<>();
    long due = 0;
    Map<Integer, Integer> durations = new HashMap<>();
    for (int i = 0; i < count; i++) {
      due += random.nextInt(30);
      steps.add(step(i, random.nextInt(lanes), due));
      durations.put(i, 1 + random.nextInt(100));
    }
    // reference model: in order on each connection
    Map<Integer, Long> expected = new TreeMap<>();
    Map<Integer, Long> freeAt = new HashMap<>();
    for (ReplayStep step : steps) {
      long sendMillis =
          Math.max(step.dueTime().toMillis(), freeAt.getOrDefault(step.connection(), 0L));
      expected.put(step.number(), sendMillis);
      freeAt.put(step.connection(), sendMillis + durations.get(step.number()));
    }
    // the pacer, driven from event to event
    Map<Integer, Long> sent = new TreeMap<>();
    TreeMap<Long, List<Integer>> ends = new TreeMap<>();
    long[] now = {0};
    Pacer pacer =
        new Pacer(
            steps,
            lanes,
            Duration.ofMillis(5),
            true,
            step -> {
              sent.put(step.number(), now[0]);
              ends.computeIfAbsent(now[0] + durations.get(step.number()), t -> new ArrayList<>())
                  .add(step.connection());
            });
    while (pacer.nextDueTime() != null || !ends.isEmpty()) {
      long next =
          Math.min(
              pacer.nextDueTime() == null ? Long.MAX_VALUE : pacer.nextDueTime().toMillis(),
              ends.isEmpty() ? Long.MAX_VALUE : ends.firstKey());
      now[0] = Math.max(now[0], next);
      List<Integer> ended = ends.remove(now[0]);
      if (ended != null) {
        ended.forEach(connection -> pacer.onCompleted(connection, Duration.ofMillis(now[0])));
      }
      pacer.sendDueSteps(Duration.ofMillis(now[0]));
    }
    assertEquals(expected, sent);
    assertEquals(0, pacer.unsentSteps());
    assertTrue(pacer.report().valid());
    long heldSteps =
        steps.stream().filter(s -> sent.get(s.number()) - s.dueTime().toMillis() > 1).count();
    assertEquals(heldSteps, pacer.report().heldSteps());
  }

  /** Guards against a slow replay tool being mistaken for a slow mixer. */
  @Test
  void aSlowToolMakesTheRunInvalidAndASlowMixerDoesNot() {
    List<ReplayStep> steps = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      steps.add(step(i, i, 10 * i));
    }
    Pacer slow = new Pacer(steps, 100, Duration.ofMillis(20), true, step -> {});
    slow.sendDueSteps(Duration.ofMillis(2000));
    assertFalse(slow.report().valid());
    assertTrue(
        slow.report().invalidReason().startsWith("the tool sent"), slow.report().invalidReason());

    List<ReplayStep> onOneConnection = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      onOneConnection.add(step(i, 0, 10 * i));
    }
    Pacer held = new Pacer(onOneConnection, 1, Duration.ofMillis(20), true, step -> {});
    for (long now = 0; held.unsentSteps() > 0; now += 50) { // every answer takes 50 ms
      held.onCompleted(0, Duration.ofMillis(now));
      held.sendDueSteps(Duration.ofMillis(now));
    }
    assertTrue(held.report().valid());
    assertTrue(held.report().heldSteps() > 90);
  }

  @Test
  void aGeneratedRetryIsSentByItsDueTime() {
    List<Integer> sent = new ArrayList<>();
    Pacer pacer =
        new Pacer(
            List.of(step(0, 0, 0), step(1, 0, 100), step(2, 0, 300)),
            1,
            Duration.ofMillis(5),
            true,
            step -> sent.add(step.number()));
    pacer.sendDueSteps(Duration.ZERO);
    pacer.add(step(3, 0, 50));
    assertNull(pacer.nextDueTime()); // the connection is busy
    pacer.onCompleted(0, Duration.ofMillis(10));
    assertEquals(Duration.ofMillis(50), pacer.nextDueTime());
    for (int ms = 50; ms <= 300; ms += 50) {
      pacer.sendDueSteps(Duration.ofMillis(ms));
      pacer.onCompleted(0, Duration.ofMillis(ms));
    }
    assertEquals(List.of(0, 3, 1, 2), sent);
  }
}
