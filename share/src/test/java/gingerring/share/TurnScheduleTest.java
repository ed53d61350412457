package gingerring.share;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class TurnScheduleTest {
  private static final Duration STEP = Duration.ofMillis(100);
  private static final Duration EVERY = Duration.ofMillis(400);
  private static final long MATTER = 11;

  private static List<MixerId> members(int count) {
    List<MixerId> members = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      members.add(new MixerId(i + 1));
    }
    return members;
  }

  private static TurnSchedule rota(int mixer) {
    return new TurnSchedule(new MixerId(mixer + 1), MATTER, EVERY, STEP);
  }

  /**
   * Three mixers in ticks of a step, every order of what can happen: each word takes a tick, but
   * two are lost or take one more, one mixer stops for five ticks and goes on, one starts anew. No
   * state is looked at twice.
   */
  private static final class World {
    static final int TICKS = 15;
    static final int STOP = 5;
    final Set<String> seen = new HashSet<>();
    final Set<String> wrong = new HashSet<>();

    /** Whether a mixer listens at all: false is a fault planted on purpose. */
    final boolean listens;

    World(boolean listens) {
      this.listens = listens;
    }

    /** What is the same from here on, whatever came before. */
    record State(
        int tick,
        List<Long> done,
        List<Integer> stoppedUntil,
        List<long[]> words,
        int losses,
        int stops,
        int restarts,
        int acts,
        int excuses,
        int quiet) {
      String key() {
        StringBuilder key = new StringBuilder();
        key.append(tick)
            .append(done)
            .append(stoppedUntil)
            .append(losses)
            .append(stops)
            .append(restarts)
            .append(' ')
            .append(acts)
            .append(' ')
            .append(excuses)
            .append(' ')
            .append(quiet);
        words.stream().map(Arrays::toString).sorted().forEach(key::append);
        return key.toString();
      }
    }

    static TurnSchedule at(int mixer, long done, List<MixerId> members) {
      TurnSchedule rota = rota(mixer);
      if (done >= 0) {
        rota.claimRound(EVERY.multipliedBy(done)); // the same state, reached by itself
      }
      return rota;
    }

    void explore() {
      tick(new State(0, List.of(-1L, -1L, -1L), List.of(0, 0, 0), List.of(), 2, 1, 1, 0, 0, 0));
    }

    private void tick(State state) {
      if (state.tick == TICKS || !seen.add(state.key())) {
        return;
      }
      for (int stop = -1; stop < (state.stops > 0 ? 3 : 0); stop++) {
        for (int restart = -1; restart < (state.restarts > 0 ? 3 : 0); restart++) {
          if (stop >= 0 && stop == restart) {
            continue;
          }
          List<Integer> stopped = new ArrayList<>(state.stoppedUntil);
          List<Long> done = new ArrayList<>(state.done);
          if (stop >= 0) {
            stopped.set(stop, state.tick + STOP);
          }
          if (restart >= 0) {
            done.set(restart, -1L);
          }
          int excuse = (stop >= 0 ? 1 : 0) + (restart >= 0 ? 1 : 0);
          deliver(
              new State(
                  state.tick,
                  done,
                  stopped,
                  state.words,
                  state.losses,
                  state.stops - (stop >= 0 ? 1 : 0),
                  state.restarts - (restart >= 0 ? 1 : 0),
                  state.acts,
                  state.excuses + excuse,
                  state.quiet),
              0);
        }
      }
    }

    /**
     * Words on their way: those from the last tick arrive now or are lost; the stopped hear later.
     */
    private void deliver(State state, int from) {
      if (from == state.words.size()) {
        act(state);
        return;
      }
      long[] word = state.words.get(from);
      int to = (int) word[1];
      boolean stopped = state.stoppedUntil.get(to) > state.tick;
      if (stopped) {
        deliver(state, from + 1); // it waits in the socket
        return;
      }
      List<long[]> fewer = new ArrayList<>(state.words);
      fewer.remove(from);
      List<Long> done = new ArrayList<>(state.done);
      TurnSchedule rota = at(to, state.done.get(to), members(3));
      if (listens
          && rota.receiveClaim(
              new MixerId(word[0] + 1), word[2], members(3), STEP.multipliedBy(state.tick))) {
        done.set(to, word[2]);
      }
      deliver(
          new State(
              state.tick,
              done,
              state.stoppedUntil,
              fewer,
              state.losses,
              state.stops,
              state.restarts,
              state.acts,
              state.excuses,
              state.quiet),
          from);
      if (state.losses > 0) {
        deliver(
            new State(
                state.tick,
                state.done,
                state.stoppedUntil,
                fewer,
                state.losses - 1,
                state.stops,
                state.restarts,
                state.acts,
                state.excuses + 1,
                state.quiet),
            from);
        deliver(
            new State(
                state.tick,
                state.done,
                state.stoppedUntil,
                state.words,
                state.losses - 1,
                state.stops,
                state.restarts,
                state.acts,
                state.excuses + 1,
                state.quiet),
            from + 1);
      }
    }

    private void act(State state) {
      Duration now = STEP.multipliedBy(state.tick);
      List<Long> done = new ArrayList<>(state.done);
      List<long[]> words = new ArrayList<>(state.words);
      int acts = state.tick % 4 == 0 ? 0 : state.acts; // counted by round
      int excuses = state.tick % 4 == 0 && state.tick > 0 ? carried(state) : state.excuses;
      int acted = 0;
      for (int m = 0; m < 3; m++) {
        TurnSchedule rota = at(m, state.done.get(m), members(3));
        if (state.stoppedUntil.get(m) <= state.tick
            && rota.nextTurn(members(3), now).compareTo(now) <= 0) {
          long round = rota.claimRound(now);
          done.set(m, round);
          acted++;
          for (int to = 0; to < 3; to++) {
            if (to != m) {
              words.add(new long[] {m, to, round});
            }
          }
        }
      }
      acts += acted;
      int quiet = acted > 0 ? 0 : state.quiet + 1;
      if (acts > 1 + excuses) {
        wrong.add(
            acts + " act in the round of tick " + state.tick + " with " + excuses + " excuses");
      }
      if (quiet > 4 + 3) { // a whole round, and a step for each who may be missing
        wrong.add("nobody acts for " + quiet + " ticks");
      }
      tick(
          new State(
              state.tick + 1,
              done,
              state.stoppedUntil,
              words,
              state.losses,
              state.stops,
              state.restarts,
              acts,
              excuses,
              quiet));
    }

    /**
     * A stop, a loss or a new start of a round before may still show in the next, as a stop lasts
     * five ticks.
     */
    private static int carried(State state) {
      return 4 - state.losses - state.stops - state.restarts;
    }
  }

  @Test
  void everyOrderOfASmallWorldKeepsItsTwoBounds() {
    World world = new World(true);
    world.explore();
    assertEquals(Set.of(), world.wrong);
    assertTrue(world.seen.size() > 10_000, () -> world.seen.size() + " states");
    World deaf = new World(false);
    deaf.explore();
    assertFalse(deaf.wrong.isEmpty(), "a fault planted on purpose is found");
  }

  /** A mixer that claims every round at once holds up its own turns alone. */
  @Property(tries = 30, seed = "32")
  void whoClaimsFalselyHoldsUpItsOwnTurnsAlone(@ForAll int start) {
    List<MixerId> members = members(8);
    TurnSchedule honest = rota(0);
    int heldUp = 0;
    for (long round = start; round < start + 200L; round++) {
      Duration begun = EVERY.multipliedBy(round);
      boolean believed = false;
      for (int liar = 5; liar < 8; liar++) { // three together
        believed |= honest.receiveClaim(members.get(liar), round, members, begun);
      }
      boolean theirs = false;
      for (int liar = 5; liar < 8; liar++) {
        // give or take a step
        theirs |= new TurnOrder(members.get(liar), STEP).rank(MATTER, round, members) <= 1;
      }
      assertTrue(!believed || theirs);
      heldUp += believed ? 1 : 0;
    }
    assertTrue(
        honest.rejectedClaims() > 200 && heldUp < 160,
        () -> "disbelieved " + honest.rejectedClaims());
    assertFalse(
        honest.receiveClaim(
            new MixerId(77), start + 200L, members, EVERY.multipliedBy(start + 200L)),
        "a stranger");
    assertFalse(
        honest.receiveClaim(
            members.get(5), Long.MAX_VALUE, members, EVERY.multipliedBy(start + 200L)));
  }

  /** Guards against one that wakes after a stop and does what others have long done. */
  @Test
  void whoWakesKnowsTheRoundByTheClock() {
    List<MixerId> members = members(3);
    TurnSchedule rota = rota(0);
    rota.claimRound(Duration.ZERO);
    Duration woken = EVERY.multipliedBy(25).plus(STEP);
    Duration due = rota.nextTurn(members, woken);
    assertEquals(25, rota.roundAt(due), "no round is made up for");
    rota.claimRound(due);
    assertTrue(rota.roundAt(rota.nextTurn(members, due)) > 25);
  }

  @Test
  void refusesARoundShorterThanAStep() {
    assertThrows(
        IllegalArgumentException.class, () -> new TurnSchedule(new MixerId(1), 1, STEP, EVERY));
  }
}
