package gingerring.share;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class TurnOrderTest {
  private static final Duration STEP = Duration.ofMillis(100);

  private static List<MixerId> fleet(int size) {
    List<MixerId> fleet = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      fleet.add(new MixerId(i * 31L + 7));
    }
    return fleet;
  }

  /** Mixers with the same member list have distinct ranks, and no mixer keeps a task for good. */
  @Property(tries = 50, seed = "28")
  void eachMemberHasAUniqueRank(@ForAll long taskId, @ForAll int round) {
    List<MixerId> fleet = fleet(40);
    Set<Integer> ranks = new TreeSet<>();
    fleet.forEach(mixer -> ranks.add(new TurnOrder(mixer, STEP).rank(taskId, round, fleet)));
    assertEquals(40, ranks.size());
    assertEquals(39, ((TreeSet<Integer>) ranks).last());
    Set<MixerId> firsts = new HashSet<>();
    for (long later = round; later < round + 40L; later++) {
      for (MixerId mixer : fleet) {
        if (new TurnOrder(mixer, STEP).rank(taskId, later, fleet) == 0) {
          firsts.add(mixer);
        }
      }
    }
    assertTrue(firsts.size() > 15, () -> firsts.size() + " of 40 mixers had rank 0 in 40 rounds");
  }

  /**
   * Bounds both ways in which the order degrades: with member lists that differ by d members at
   * most d + 1 mixers have the same rank, and r absent members delay the task by at most r steps.
   */
  @Property(tries = 200, seed = "29")
  void boundsDuplicateAndDelayedActions(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<MixerId> fleet = fleet(12);
    int difference = random.nextInt(5);
    int firstRankCount = 0;
    for (MixerId mixer : fleet) {
      List<MixerId> view = new ArrayList<>(fleet);
      // each list lacks some of the same d members, never the mixer itself
      for (int i = 0; i < difference; i++) {
        MixerId missed = fleet.get(i);
        if (random.nextBoolean() && !missed.equals(mixer)) {
          view.remove(missed);
        }
      }
      firstRankCount += new TurnOrder(mixer, STEP).rank(seed, 1, view) == 0 ? 1 : 0;
    }
    int holders = firstRankCount;
    assertTrue(
        holders >= 1 && holders <= difference + 1,
        () -> holders + " mixers have rank 0, member lists differ by " + difference);
    List<MixerId> present = fleet.subList(difference, 12);
    Duration soonest =
        present.stream()
            .map(mixer -> new TurnOrder(mixer, STEP).delay(seed, 1, fleet))
            .min(Duration::compareTo)
            .orElseThrow();
    assertTrue(
        soonest.compareTo(STEP.multipliedBy(difference)) <= 0,
        () -> difference + " members are gone, the next acts after " + soonest);
  }

  /** Without messages the rate of actions over the fleet does not grow with its size. */
  @Test
  void randomDelaysScaleWithTheFleetSize() {
    for (int size : new int[] {10, 100, 1000, 10_000}) {
      long within = 0;
      for (long taskId = 0; taskId < 20; taskId++) {
        for (MixerId mixer : fleet(size)) {
          Duration delay = new TurnOrder(mixer, STEP).randomDelay(taskId, 1, size);
          assertTrue(delay.compareTo(STEP.multipliedBy(size)) <= 0);
          within += delay.compareTo(STEP.multipliedBy(5)) < 0 ? 1 : 0;
        }
      }
      long actions = within;
      assertEquals(
          100,
          actions,
          40,
          () -> actions + " actions in 5 steps over 20 tasks at fleet size " + size);
    }
  }

  @Test
  void rejectsAZeroStep() {
    assertThrows(
        IllegalArgumentException.class, () -> new TurnOrder(new MixerId(1), Duration.ZERO));
  }
}
