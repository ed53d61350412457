package gingerring.emulator.simulation;

import gingerring.share.Box;
import gingerring.share.BoxId;
import gingerring.share.MixerId;
import gingerring.share.SubsetSelector;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;

/** Which box each of many mixers gives its parts to, and what that adds up to at the boxes. */
public final class Choices {
  /** How a mixer picks among a folio's holders. */
  public enum Policy {
    /** Any. */
    RANDOM,
    /** Fewest own parts out, ties from the scan's home on: what a mixer does today. */
    LEAST_OWN,
    /** The one of two with fewer own parts out. */
    TWO,
    /** Fewest own parts out among those that its cover prefers. */
    COVER
  }

  /**
   * {@code use}: the share of the boxes' capacity that is asked for; {@code copies}: holders of a
   * folio, next to each other on the ring; {@code keep}: how many of them a cover prefers; {@code
   * seconds} of simulated time. Demand is uneven: one mixer in ten asks for ten times what each
   * other one does.
   */
  public record Setup(
      int mixers, int boxes, int copies, int keep, double use, double seconds, long seed) {}

  /**
   * What came of it: a box's busy time, the largest over the mean; connections at a box, mean and
   * most; how long parts took, in milliseconds.
   */
  public record Result(
      double largestOverMean,
      double linesMean,
      int linesMost,
      double p50,
      double p99,
      long parts) {}

  private static final int ZONES = 3;
  private static final int SERVERS = 2;
  private static final double WORK_MS = 16;
  private static final double FOLIOS_ASKED = 0.25;

  private static final class Station {
    final Deque<Runnable> waiting = new ArrayDeque<>();
    final Set<Integer> lines = new HashSet<>();
    int running;
    double busy;
  }

  private final Setup setup;
  private final Policy policy;
  private final Agenda agenda = new Agenda();
  private final SplittableRandom chance;
  private final List<Station> stations = new ArrayList<>();
  private final List<boolean[]> preferred = new ArrayList<>();
  private final int[][] out;
  private final Histogram micros = new Histogram(3_600_000_000L, 3);
  private long parts;

  private Choices(Setup setup, Policy policy) {
    this.setup = setup;
    this.policy = policy;
    chance = new SplittableRandom(setup.seed);
    out = new int[setup.mixers][setup.boxes];
    List<Box> boxes = new ArrayList<>();
    List<List<BoxId>> folios = new ArrayList<>();
    for (int i = 0; i < setup.boxes; i++) {
      stations.add(new Station());
      boxes.add(new Box(new BoxId(i), i % ZONES, 1));
      List<BoxId> holders = new ArrayList<>();
      for (int j = 0; j < setup.copies; j++) {
        holders.add(new BoxId((i + j) % setup.boxes));
      }
      folios.add(holders);
    }
    SubsetSelector cover = new SubsetSelector(boxes, folios, setup.keep);
    for (int m = 0; m < setup.mixers; m++) {
      boolean[] mine = new boolean[setup.boxes];
      if (policy == Policy.COVER) {
        cover.select(new MixerId(m)).forEach(id -> mine[(int) id.number()] = true);
      } else {
        Arrays.fill(mine, true);
      }
      preferred.add(mine);
    }
  }

  /** Plays it; the same setup and policy give the same result. */
  public static Result of(Setup setup, Policy policy) {
    return new Choices(setup, policy).play();
  }

  private Result play() {
    int busyOnes = Math.max(1, setup.mixers / 10);
    double weights = 10.0 * busyOnes + setup.mixers - busyOnes;
    // a millisecond
    double scans = setup.use * setup.boxes * SERVERS / WORK_MS / (FOLIOS_ASKED * setup.boxes);
    for (int m = 0; m < setup.mixers; m++) {
      next(m, scans * (m < busyOnes ? 10 : 1) / weights);
    }
    agenda.until(setup.seconds * 1000);
    double sum = stations.stream().mapToDouble(each -> each.busy).sum();
    double most = stations.stream().mapToDouble(each -> each.busy).max().orElse(0);
    return new Result(
        most / (sum / setup.boxes),
        stations.stream().mapToInt(each -> each.lines.size()).average().orElse(0),
        stations.stream().mapToInt(each -> each.lines.size()).max().orElse(0),
        micros.getValueAtPercentile(50) / 1e3,
        micros.getValueAtPercentile(99) / 1e3,
        parts);
  }

  private double exponential(double mean) {
    return -mean * Math.log(1 - chance.nextDouble());
  }

  private void next(int mixer, double rate) {
    agenda.at(
        agenda.now() + exponential(1 / rate),
        () -> {
          int first = chance.nextInt(setup.boxes);
          int home = chance.nextInt(setup.copies);
          for (int i = 0; i < Math.max(1, (int) (FOLIOS_ASKED * setup.boxes)); i++) {
            send(mixer, pick(mixer, (first + i) % setup.boxes, home));
          }
          next(mixer, rate);
        });
  }

  private int pick(int mixer, int folio, int home) {
    if (policy == Policy.RANDOM) {
      return (folio + chance.nextInt(setup.copies)) % setup.boxes;
    }
    if (policy == Policy.TWO) {
      int one = (folio + chance.nextInt(setup.copies)) % setup.boxes;
      int other = (folio + chance.nextInt(setup.copies)) % setup.boxes;
      return out[mixer][other] < out[mixer][one] ? other : one;
    }
    int best = -1;
    for (int j = 0; j < setup.copies; j++) {
      int box = (folio + (home + j) % setup.copies) % setup.boxes;
      if (preferred.get(mixer)[box] && (best < 0 || out[mixer][box] < out[mixer][best])) {
        best = box;
      }
    }
    return best;
  }

  private void send(int mixer, int box) {
    Station station = stations.get(box);
    station.lines.add(mixer);
    out[mixer][box]++;
    parts++;
    double sent = agenda.now();
    double work = exponential(WORK_MS);
    Runnable part =
        () -> {
          station.running++;
          station.busy += work;
          agenda.at(
              agenda.now() + work,
              () -> {
                station.running--;
                out[mixer][box]--;
                micros.recordValue(Math.min(3_600_000_000L, (long) ((agenda.now() - sent) * 1000)));
                if (!station.waiting.isEmpty()) {
                  station.waiting.poll().run();
                }
              });
        };
    if (station.running < SERVERS) {
      part.run();
    } else {
      station.waiting.add(part);
    }
  }
}
