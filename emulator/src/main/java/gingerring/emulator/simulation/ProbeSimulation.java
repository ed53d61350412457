package gingerring.emulator.simulation;

import gingerring.share.MixerId;
import gingerring.share.TurnOrder;
import gingerring.share.TurnSchedule;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/** A box that all mixers have benched, and who asks whether it is back. */
public final class ProbeSimulation {
  /** How a mixer decides that it is to probe. */
  public enum Strategy {
    /** Each for itself, after 2 s, then 4, then every 8: what a mixer does today. */
    ALONE,
    /** In turns, each hearing of others' probes after a while, or not. */
    TURNS,
    /** At moments of its own drawn by the size of the fleet; nobody hears of others'. */
    SPREAD
  }

  /**
   * {@code stopped}: the share of the mixers that are gone and that the others still count on;
   * {@code lost}: the share of words that do not arrive; {@code back}: when the box answers again,
   * in seconds from its bench.
   */
  public record Setup(
      int mixers, double stoppedShare, double lossShare, double recoverySeconds, long seed) {}

  /**
   * Probes a second until the box was back, the most in any one second, and how late the first
   * found it back.
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

  private ProbeSimulation(Setup setup, Strategy way) {
    this.setup = setup;
    this.strategy = way;
    random = new SplittableRandom(setup.seed);
    for (int i = 0; i < setup.mixers; i++) {
      members.add(new MixerId(random.nextLong()));
      schedules.add(
          new TurnSchedule(members.get(i), TURN_KEY, Duration.ofMillis((long) ROUND_MS), STEP));
    }
  }

  public static Result run(Setup setup, Strategy way) {
    return new ProbeSimulation(setup, way).simulate();
  }

  private Result simulate() {
    int there = (int) Math.max(1, setup.mixers * (1 - setup.stoppedShare));
    for (int m = 0; m < there; m++) {
      int mixer = m;
      double benched = random.nextDouble() * 500; // each finds out by its own parts
      switch (strategy) {
        case ALONE -> scheduler.schedule(benched + EJECTION_MS[0], () -> probeAlone(mixer, 1));
        case TURNS -> scheduler.schedule(benched, () -> scheduleTurn(mixer));
        default -> scheduler.schedule(benched, () -> scheduleSpread(mixer, 1));
      }
    }
    double end = setup.recoverySeconds * 1000;
    while (Double.isNaN(detectedAt) && scheduler.now() < end + 600_000) {
      scheduler.runUntil(scheduler.now() + 1000);
    }
    int[] bySecond = new int[(int) setup.recoverySeconds + 1];
    long before = 0;
    for (double at : probeTimes) {
      if (at < end) {
        before++;
        bySecond[(int) (at / 1000)]++;
      }
    }
    return new Result(
        before / setup.recoverySeconds,
        Arrays.stream(bySecond).max().orElse(0),
        (detectedAt - end) / 1000);
  }

  private void probe() {
    probeTimes.add(scheduler.now());
    if (scheduler.now() >= setup.recoverySeconds * 1000 && Double.isNaN(detectedAt)) {
      detectedAt = scheduler.now();
    }
  }

  private void probeAlone(int mixer, int times) {
    probe();
    scheduler.schedule(
        scheduler.now() + EJECTION_MS[Math.min(times, EJECTION_MS.length - 1)],
        () -> probeAlone(mixer, times + 1));
  }

  /** The rota of each decides; what one tells arrives after a while at the others, or is lost. */
  private void scheduleTurn(int mixer) {
    Duration due = schedules.get(mixer).nextTurn(members, time());
    scheduler.schedule(
        due.toNanos() / 1e6,
        () -> {
          TurnSchedule rota = schedules.get(mixer);
          if (rota.nextTurn(members, time()).compareTo(time()) <= 0) {
            long round = rota.claimRound(time());
            probe();
            for (int other = 0; other < setup.mixers; other++) {
              int told = other;
              if (other != mixer && random.nextDouble() >= setup.lossShare) {
                scheduler.schedule(
                    scheduler.now() + MESSAGE_DELAY_MS,
                    () ->
                        schedules
                            .get(told)
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

  private void scheduleSpread(int mixer, long which) {
    TurnOrder turns = new TurnOrder(members.get(mixer), Duration.ofMillis((long) ROUND_MS));
    double length = ROUND_MS * setup.mixers;
    double begun = scheduler.now();
    scheduler.schedule(
        begun + turns.randomDelay(TURN_KEY, which, setup.mixers).toMillis(), this::probe);
    scheduler.schedule(begun + length, () -> scheduleSpread(mixer, which + 1));
  }
}
