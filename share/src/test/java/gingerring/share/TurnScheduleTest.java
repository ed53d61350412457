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
  private static final Duration ROUND_PERIOD = Duration.ofMillis(400);
  private static final long TASK_ID = 11;

  private static List<MixerId> members(int count) {
    List<MixerId> members = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      members.add(new MixerId(i + 1));
    }
    return members;
  }

  private static TurnSchedule schedule(int mixer) {
    return new TurnSchedule(new MixerId(mixer + 1), TASK_ID, ROUND_PERIOD, STEP);
  }

  /**
   * Explores three mixers in ticks of one step, through every order of events: each claim takes one
   * tick, up to two claims are lost or take one more, one mixer pauses for five ticks and resumes,
   * and one restarts. No state is visited twice.
   */
  private static final class World {
    static final int TICKS = 15;
    static final int PAUSE_TICKS = 5;
    final Set<String> visitedStates = new HashSet<>();
    final Set<String> violations = new HashSet<>();

    /** Whether mixers receive claims at all; false is a planted fault. */
    final boolean receivesClaims;

    World(boolean receivesClaims) {
      this.receivesClaims = receivesClaims;
    }

    /** The state that determines all further events. */
    record State(
        int tick,
        List<Long> lastDoneRounds,
        List<Integer> pausedUntil,
        List<long[]> claims,
        int lossesLeft,
        int pausesLeft,
        int restartsLeft,
        int actions,
        int faults,
        int idleTicks) {
      String key() {
        StringBuilder key = new StringBuilder();
        key.append(tick)
            .append(lastDoneRounds)
            .append(pausedUntil)
            .append(lossesLeft)
            .append(pausesLeft)
            .append(restartsLeft)
            .append(' ')
            .append(actions)
            .append(' ')
            .append(faults)
            .append(' ')
            .append(idleTicks);
        claims.stream().map(Arrays::toString).sorted().forEach(key::append);
        return key.toString();
      }
    }

    static TurnSchedule scheduleAfter(int mixer, long lastDoneRound, List<MixerId> members) {
      TurnSchedule schedule = schedule(mixer);
      if (lastDoneRound >= 0) {
        // reaches the same state through the public method
        schedule.claimRound(ROUND_PERIOD.multipliedBy(lastDoneRound));
      }
      return schedule;
    }

    void explore() {
      tick(new State(0, List.of(-1L, -1L, -1L), List.of(0, 0, 0), List.of(), 2, 1, 1, 0, 0, 0));
    }

    private void tick(State state) {
      if (state.tick == TICKS || !visitedStates.add(state.key())) {
        return;
      }
      for (int pausedMixer = -1; pausedMixer < (state.pausesLeft > 0 ? 3 : 0); pausedMixer++) {
        for (int restartedMixer = -1;
            restartedMixer < (state.restartsLeft > 0 ? 3 : 0);
            restartedMixer++) {
          if (pausedMixer >= 0 && pausedMixer == restartedMixer) {
            continue;
          }
          List<Integer> pausedUntil = new ArrayList<>(state.pausedUntil);
          List<Long> lastDoneRounds = new ArrayList<>(state.lastDoneRounds);
          if (pausedMixer >= 0) {
            pausedUntil.set(pausedMixer, state.tick + PAUSE_TICKS);
          }
          if (restartedMixer >= 0) {
            lastDoneRounds.set(restartedMixer, -1L);
          }
          int newFaults = (pausedMixer >= 0 ? 1 : 0) + (restartedMixer >= 0 ? 1 : 0);
          deliver(
              new State(
                  state.tick,
                  lastDoneRounds,
                  pausedUntil,
                  state.claims,
                  state.lossesLeft,
                  state.pausesLeft - (pausedMixer >= 0 ? 1 : 0),
                  state.restartsLeft - (restartedMixer >= 0 ? 1 : 0),
                  state.actions,
                  state.faults + newFaults,
                  state.idleTicks),
              0);
        }
      }
    }

    /**
     * Delivers claims in flight: those of the last tick arrive now, are delayed or lost; a paused
     * mixer receives them later.
     */
    private void deliver(State state, int from) {
      if (from == state.claims.size()) {
        act(state);
        return;
      }
      long[] claim = state.claims.get(from);
      int to = (int) claim[1];
      boolean paused = state.pausedUntil.get(to) > state.tick;
      if (paused) {
        deliver(state, from + 1); // the claim waits in the socket
        return;
      }
      List<long[]> remainingClaims = new ArrayList<>(state.claims);
      remainingClaims.remove(from);
      List<Long> lastDoneRounds = new ArrayList<>(state.lastDoneRounds);
      TurnSchedule schedule = scheduleAfter(to, state.lastDoneRounds.get(to), members(3));
      if (receivesClaims
          && schedule.receiveClaim(
              new MixerId(claim[0] + 1), claim[2], members(3), STEP.multipliedBy(state.tick))) {
        lastDoneRounds.set(to, claim[2]);
      }
      deliver(
          new State(
              state.tick,
              lastDoneRounds,
              state.pausedUntil,
              remainingClaims,
              state.lossesLeft,
              state.pausesLeft,
              state.restartsLeft,
              state.actions,
              state.faults,
              state.idleTicks),
          from);
      if (state.lossesLeft > 0) {
        deliver(
            new State(
                state.tick,
                state.lastDoneRounds,
                state.pausedUntil,
                remainingClaims,
                state.lossesLeft - 1,
                state.pausesLeft,
                state.restartsLeft,
                state.actions,
                state.faults + 1,
                state.idleTicks),
            from);
        deliver(
            new State(
                state.tick,
                state.lastDoneRounds,
                state.pausedUntil,
                state.claims,
                state.lossesLeft - 1,
                state.pausesLeft,
                state.restartsLeft,
                state.actions,
                state.faults + 1,
                state.idleTicks),
            from + 1);
      }
    }

    private void act(State state) {
      Duration now = STEP.multipliedBy(state.tick);
      List<Long> lastDoneRounds = new ArrayList<>(state.lastDoneRounds);
      List<long[]> claims = new ArrayList<>(state.claims);
      int actions = state.tick % 4 == 0 ? 0 : state.actions; // counted per round
      int faults = state.tick % 4 == 0 && state.tick > 0 ? possibleFaults(state) : state.faults;
      int newActions = 0;
      for (int m = 0; m < 3; m++) {
        TurnSchedule schedule = scheduleAfter(m, state.lastDoneRounds.get(m), members(3));
        if (state.pausedUntil.get(m) <= state.tick
            && schedule.nextTurn(members(3), now).compareTo(now) <= 0) {
          long round = schedule.claimRound(now);
          lastDoneRounds.set(m, round);
          newActions++;
          for (int to = 0; to < 3; to++) {
            if (to != m) {
              claims.add(new long[] {m, to, round});
            }
          }
        }
      }
      actions += newActions;
      int idleTicks = newActions > 0 ? 0 : state.idleTicks + 1;
      if (actions > 1 + faults) {
        violations.add(
            actions
                + " actions in the round of tick "
                + state.tick
                + " with "
                + faults
                + " faults");
      }
      if (idleTicks > 4 + 3) { // a whole round, and a step for each mixer that may be missing
        violations.add("no mixer acts for " + idleTicks + " ticks");
      }
      tick(
          new State(
              state.tick + 1,
              lastDoneRounds,
              state.pausedUntil,
              claims,
              state.lossesLeft,
              state.pausesLeft,
              state.restartsLeft,
              actions,
              faults,
              idleTicks));
    }

    /**
     * A pause, loss or restart of an earlier round may still show in the next, as a pause lasts
     * five ticks.
     */
    private static int possibleFaults(State state) {
      return 4 - state.lossesLeft - state.pausesLeft - state.restartsLeft;
    }
  }

  @Test
  void everyEventOrderKeepsBothBounds() {
    World world = new World(true);
    world.explore();
    assertEquals(Set.of(), world.violations);
    assertTrue(world.visitedStates.size() > 10_000, () -> world.visitedStates.size() + " states");
    World unreachable = new World(false);
    unreachable.explore();
    assertFalse(unreachable.violations.isEmpty(), "the planted fault is detected");
  }

  /**
   * Mixers that claim every round at once delay only the rounds in which their own turn comes
   * first.
   */
  @Property(tries = 30, seed = "32")
  void falseClaimsDelayOnlyTheClaimantsRounds(@ForAll int start) {
    List<MixerId> members = members(8);
    TurnSchedule honest = schedule(0);
    int delayedRounds = 0;
    for (long round = start; round < start + 200L; round++) {
      Duration roundStart = ROUND_PERIOD.multipliedBy(round);
      boolean accepted = false;
      for (int liar = 5; liar < 8; liar++) { // three liars together
        accepted |= honest.receiveClaim(members.get(liar), round, members, roundStart);
      }
      boolean liarsTurn = false;
      for (int liar = 5; liar < 8; liar++) {
        // one step of tolerance
        liarsTurn |= new TurnOrder(members.get(liar), STEP).rank(TASK_ID, round, members) <= 1;
      }
      assertTrue(!accepted || liarsTurn);
      delayedRounds += accepted ? 1 : 0;
    }
    assertTrue(
        honest.rejectedClaims() > 200 && delayedRounds < 160,
        () -> "rejected claims: " + honest.rejectedClaims());
    assertFalse(
        honest.receiveClaim(
            new MixerId(77), start + 200L, members, ROUND_PERIOD.multipliedBy(start + 200L)),
        "not a member");
    assertFalse(
        honest.receiveClaim(
            members.get(5), Long.MAX_VALUE, members, ROUND_PERIOD.multipliedBy(start + 200L)));
  }

  /** Guards against a mixer that resumes after a pause and repeats what others did long ago. */
  @Test
  void aResumedMixerKnowsTheRoundByTheClock() {
    List<MixerId> members = members(3);
    TurnSchedule schedule = schedule(0);
    schedule.claimRound(Duration.ZERO);
    Duration resumedAt = ROUND_PERIOD.multipliedBy(25).plus(STEP);
    Duration nextTurn = schedule.nextTurn(members, resumedAt);
    assertEquals(25, schedule.roundAt(nextTurn), "missed rounds are not made up");
    schedule.claimRound(nextTurn);
    assertTrue(schedule.roundAt(schedule.nextTurn(members, nextTurn)) > 25);
  }

  @Test
  void rejectsARoundShorterThanAStep() {
    assertThrows(
        IllegalArgumentException.class,
        () -> new TurnSchedule(new MixerId(1), 1, STEP, ROUND_PERIOD));
  }
}
