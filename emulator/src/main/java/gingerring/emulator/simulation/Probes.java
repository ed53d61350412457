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
public final class Probes {
  /** How a mixer decides that it is to probe. */
  public enum Way {
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
  public record Setup(int mixers, double stopped, double lost, double back, long seed) {}

  /**
   * Probes a second until the box was back, the most in any one second, and how late the first
   * found it back.
   */
  public record Result(double perSecond, int most, double foundAfter) {}

  private static final Duration STEP = Duration.ofMillis(250);
  private static final double HEARD_AFTER_MS = 60;
  private static final double ROUND_MS = 2000;
  private static final double[] BENCH_MS = {2000, 4000, 8000};
  private static final long MATTER = 0x70726F6265L;

  private final Setup setup;
  private final Way way;
  private final Agenda agenda = new Agenda();
  private final SplittableRandom chance;
  private final List<MixerId> members = new ArrayList<>();
  private final List<TurnSchedule> rotas = new ArrayList<>();
  private final List<Double> probes = new ArrayList<>();
  private double found = Double.NaN;

  private Probes(Setup setup, Way way) {
    this.setup = setup;
    this.way = way;
    chance = new SplittableRandom(setup.seed);
    for (int i = 0; i < setup.mixers; i++) {
      members.add(new MixerId(chance.nextLong()));
      rotas.add(new TurnSchedule(members.get(i), MATTER, Duration.ofMillis((long) ROUND_MS), STEP));
    }
  }

  public static Result of(Setup setup, Way way) {
    return new Probes(setup, way).play();
  }

  private Result play() {
    int there = (int) Math.max(1, setup.mixers * (1 - setup.stopped));
    for (int m = 0; m < there; m++) {
      int mixer = m;
      double benched = chance.nextDouble() * 500; // each finds out by its own parts
      switch (way) {
        case ALONE -> agenda.at(benched + BENCH_MS[0], () -> alone(mixer, 1));
        case TURNS -> agenda.at(benched, () -> turn(mixer));
        default -> agenda.at(benched, () -> spread(mixer, 1));
      }
    }
    double end = setup.back * 1000;
    while (Double.isNaN(found) && agenda.now() < end + 600_000) {
      agenda.until(agenda.now() + 1000);
    }
    int[] bySecond = new int[(int) setup.back + 1];
    long before = 0;
    for (double at : probes) {
      if (at < end) {
        before++;
        bySecond[(int) (at / 1000)]++;
      }
    }
    return new Result(
        before / setup.back, Arrays.stream(bySecond).max().orElse(0), (found - end) / 1000);
  }

  private void probe() {
    probes.add(agenda.now());
    if (agenda.now() >= setup.back * 1000 && Double.isNaN(found)) {
      found = agenda.now();
    }
  }

  private void alone(int mixer, int times) {
    probe();
    agenda.at(
        agenda.now() + BENCH_MS[Math.min(times, BENCH_MS.length - 1)],
        () -> alone(mixer, times + 1));
  }

  /** The rota of each decides; what one tells arrives after a while at the others, or is lost. */
  private void turn(int mixer) {
    Duration due = rotas.get(mixer).nextTurn(members, time());
    agenda.at(
        due.toNanos() / 1e6,
        () -> {
          TurnSchedule rota = rotas.get(mixer);
          if (rota.nextTurn(members, time()).compareTo(time()) <= 0) {
            long round = rota.claimRound(time());
            probe();
            for (int other = 0; other < setup.mixers; other++) {
              int told = other;
              if (other != mixer && chance.nextDouble() >= setup.lost) {
                agenda.at(
                    agenda.now() + HEARD_AFTER_MS,
                    () -> rotas.get(told).receiveClaim(members.get(mixer), round, members, time()));
              }
            }
          }
          turn(mixer);
        });
  }

  private Duration time() {
    return Duration.ofNanos((long) Math.ceil(agenda.now() * 1e6));
  }

  private void spread(int mixer, long which) {
    TurnOrder turns = new TurnOrder(members.get(mixer), Duration.ofMillis((long) ROUND_MS));
    double length = ROUND_MS * setup.mixers;
    double begun = agenda.now();
    agenda.at(begun + turns.randomDelay(MATTER, which, setup.mixers).toMillis(), this::probe);
    agenda.at(begun + length, () -> spread(mixer, which + 1));
  }
}
