package gingerring.emulator.simulation;

import gingerring.share.MixerId;
import gingerring.share.TurnOrder;
import gingerring.share.TurnSchedule;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Simulates a box that all mixers have ejected, and the probes by which they detect its recovery.
 */
public final class ProbeSimulation {
  /** The strategy by which a mixer decides when to probe. */
  public enum Strategy {
    /**
     * Each mixer probes independently: after 2 s, then 4 s, then every 8 s, as a mixer does today.
     */
    ALONE,
    /**
     * The mixers take turns; each mixer learns of another mixer's probe after a delay, or not at
     * all.
     */
    TURNS,
    /**
     * Each mixer probes at random times scaled to the fleet size and does not learn of the others'
     * probes.
     */
    SPREAD
  }

  /**
   * Parameters. {@code stoppedShare} is the share of the mixers that have stopped but are still
   * counted as members; {@code lossShare} the share of messages that are lost; {@code
   * recoverySeconds} the time from the ejection until the box answers again.
   */
  public record Setup(
      int mixers, double stoppedShare, double lossShare, double recoverySeconds, long seed) {}

  /**
   * The result: probes a second until the recovery, the most in any one second, and the seconds
   * from the recovery to the first probe that detected it.
   */
  public record Result(double probesPerSecond, int maxInOneSecond, double detectionSeconds) {}

  private static final Duration STEP = Duration.ofMillis(250);
  private static final double MESSAGE_DELAY_MS = 60;
  private static final double ROUND_MS = 2000;
  private static final double[] EJECTION_MS = {2000, 4000, 8000};
  private static final long TURN_KEY = 0x70726F6265L;

  private final Setup setup;
  private final Strategy strategy;
  private final EventScheduler scheduler = new EventScheduler();
  private final SplittableRandom random;
  private final List<MixerId> members = new ArrayList<>();
  private final List<TurnSchedule> schedules = new ArrayList<>();
  private final List<Double> probeTimes = new ArrayList<>();
  private double detectedAt = Double.NaN;

  private ProbeSimulation(Setup setup, Strategy strategy) {
    this.setup = setup;
    this.strategy = strategy;
    random = new SplittableRandom(setup.seed);
    for (int i = 0; i < setup.mixers; i++) {
      members.add(new MixerId(random.nextLong()));
      schedules.add(
          new TurnSchedule(members.get(i), TURN_KEY, Duration.ofMillis((long) ROUND_MS), STEP));
    }
  }

  public static Result run(Setup setup, Strategy strategy) {
    return new ProbeSimulation(setup, strategy).simulate();
  }

  private Result simulate() {
    int runningMixers = (int) Math.max(1, setup.mixers * (1 - setup.stoppedShare));
    for (int index = 0; index < runningMixers; index++) {
      int mixer = index;
      // each mixer detects the failure by its own parts
      double ejectedAt = random.nextDouble() * 500;
      switch (strategy) {
        case ALONE -> scheduler.schedule(ejectedAt + EJECTION_MS[0], () -> probeAlone(mixer, 1));
        case TURNS -> scheduler.schedule(ejectedAt, () -> scheduleTurn(mixer));
        default -> scheduler.schedule(ejectedAt, () -> scheduleSpread(mixer, 1));
      }
    }
    double recoveryMs = setup.recoverySeconds * 1000;
    while (Double.isNaN(detectedAt) && scheduler.now() < recoveryMs + 600_000) {
      scheduler.runUntil(scheduler.now() + 1000);
    }
    int[] bySecond = new int[(int) setup.recoverySeconds + 1];
    long probesBeforeRecovery = 0;
    for (double probeTime : probeTimes) {
      if (probeTime < recoveryMs) {
        probesBeforeRecovery++;
        bySecond[(int) (probeTime / 1000)]++;
      }
    }
    return new Result(
        probesBeforeRecovery / setup.recoverySeconds,
        Arrays.stream(bySecond).max().orElse(0),
        (detectedAt - recoveryMs) / 1000);
  }

  private void probe() {
    probeTimes.add(scheduler.now());
    if (scheduler.now() >= setup.recoverySeconds * 1000 && Double.isNaN(detectedAt)) {
      detectedAt = scheduler.now();
    }
  }

  private void probeAlone(int mixer, int probeCount) {
    probe();
    scheduler.schedule(
        scheduler.now() + EJECTION_MS[Math.min(probeCount, EJECTION_MS.length - 1)],
        () -> probeAlone(mixer, probeCount + 1));
  }

  /**
   * Probes at the mixer's next turn; the claim of the turn reaches the others after a delay, or is
   * lost.
   */
  private void scheduleTurn(int mixer) {
    Duration turnAt = schedules.get(mixer).nextTurn(members, time());
    scheduler.schedule(
        turnAt.toNanos() / 1e6,
        () -> {
          TurnSchedule schedule = schedules.get(mixer);
          if (schedule.nextTurn(members, time()).compareTo(time()) <= 0) {
            long round = schedule.claimRound(time());
            probe();
            for (int other = 0; other < setup.mixers; other++) {
              int receiver = other;
              if (other != mixer && random.nextDouble() >= setup.lossShare) {
                scheduler.schedule(
                    scheduler.now() + MESSAGE_DELAY_MS,
                    () ->
                        schedules
                            .get(receiver)
                            .receiveClaim(members.get(mixer), round, members, time()));
              }
            }
          }
          scheduleTurn(mixer);
        });
  }

  private Duration time() {
    return Duration.ofNanos((long) Math.ceil(scheduler.now() * 1e6));
  }

  private void scheduleSpread(int mixer, long roundNumber) {
    TurnOrder turnOrder = new TurnOrder(members.get(mixer), Duration.ofMillis((long) ROUND_MS));
    double roundMs = ROUND_MS * setup.mixers;
    double startedAt = scheduler.now();
    scheduler.schedule(
        startedAt + turnOrder.randomDelay(TURN_KEY, roundNumber, setup.mixers).toMillis(),
        this::probe);
    scheduler.schedule(startedAt + roundMs, () -> scheduleSpread(mixer, roundNumber + 1));
  }
}
