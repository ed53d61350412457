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
public final class RoutingSimulation {
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
      int mixers,
      int boxes,
      int replicas,
      int preferredReplicas,
      double utilization,
      double seconds,
      long seed) {}

  /**
   * What came of it: a box's busy time, the largest over the mean; connections at a box, mean and
   * most; how long parts took, in milliseconds.
   */
  public record Result(
      double maxOverMeanBusyTime,
      double meanConnections,
      int maxConnections,
      double p50Ms,
      double p99Ms,
      long parts) {}

  private static final int ZONES = 3;
  private static final int CORES_PER_BOX = 2;
  private static final double MEAN_WORK_MS = 16;
  private static final double PARTITION_SHARE_PER_SCAN = 0.25;

  private static final class BoxQueue {
    final Deque<Runnable> waiting = new ArrayDeque<>();
    final Set<Integer> connectedMixers = new HashSet<>();
    int running;
    double busyMs;
  }

  private final Setup setup;
  private final Policy policy;
  private final EventScheduler scheduler = new EventScheduler();
  private final SplittableRandom random;
  private final List<BoxQueue> boxQueues = new ArrayList<>();
  private final List<boolean[]> preferredByMixer = new ArrayList<>();
  private final int[][] partsInFlight;
  private final Histogram latencyMicros = new Histogram(3_600_000_000L, 3);
  private long partCount;

  private RoutingSimulation(Setup setup, Policy policy) {
    this.setup = setup;
    this.policy = policy;
    random = new SplittableRandom(setup.seed);
    partsInFlight = new int[setup.mixers][setup.boxes];
    List<Box> boxes = new ArrayList<>();
    List<List<BoxId>> folios = new ArrayList<>();
    for (int i = 0; i < setup.boxes; i++) {
      boxQueues.add(new BoxQueue());
      boxes.add(new Box(new BoxId(i), i % ZONES, 1));
      List<BoxId> holders = new ArrayList<>();
      for (int j = 0; j < setup.replicas; j++) {
        holders.add(new BoxId((i + j) % setup.boxes));
      }
      folios.add(holders);
    }
    SubsetSelector cover = new SubsetSelector(boxes, folios, setup.preferredReplicas);
    for (int m = 0; m < setup.mixers; m++) {
      boolean[] mine = new boolean[setup.boxes];
      if (policy == Policy.COVER) {
        cover.select(new MixerId(m)).forEach(id -> mine[(int) id.number()] = true);
      } else {
        Arrays.fill(mine, true);
      }
      preferredByMixer.add(mine);
    }
  }

  /** Plays it; the same setup and policy give the same result. */
  public static Result run(Setup setup, Policy policy) {
    return new RoutingSimulation(setup, policy).simulate();
  }

  private Result simulate() {
    int busyOnes = Math.max(1, setup.mixers / 10);
    double weights = 10.0 * busyOnes + setup.mixers - busyOnes;
    // a millisecond
    double scans =
        setup.utilization
            * setup.boxes
            * CORES_PER_BOX
            / MEAN_WORK_MS
            / (PARTITION_SHARE_PER_SCAN * setup.boxes);
    for (int m = 0; m < setup.mixers; m++) {
      scheduleScan(m, scans * (m < busyOnes ? 10 : 1) / weights);
    }
    scheduler.runUntil(setup.seconds * 1000);
    double sum = boxQueues.stream().mapToDouble(each -> each.busyMs).sum();
    double most = boxQueues.stream().mapToDouble(each -> each.busyMs).max().orElse(0);
    return new Result(
        most / (sum / setup.boxes),
        boxQueues.stream().mapToInt(each -> each.connectedMixers.size()).average().orElse(0),
        boxQueues.stream().mapToInt(each -> each.connectedMixers.size()).max().orElse(0),
        latencyMicros.getValueAtPercentile(50) / 1e3,
        latencyMicros.getValueAtPercentile(99) / 1e3,
        partCount);
  }

  private double exponential(double mean) {
    return -mean * Math.log(1 - random.nextDouble());
  }

  private void scheduleScan(int mixer, double rate) {
    scheduler.schedule(
        scheduler.now() + exponential(1 / rate),
        () -> {
          int first = random.nextInt(setup.boxes);
          int home = random.nextInt(setup.replicas);
          for (int i = 0; i < Math.max(1, (int) (PARTITION_SHARE_PER_SCAN * setup.boxes)); i++) {
            send(mixer, selectBox(mixer, (first + i) % setup.boxes, home));
          }
          scheduleScan(mixer, rate);
        });
  }

  private int selectBox(int mixer, int folio, int home) {
    if (policy == Policy.RANDOM) {
      return (folio + random.nextInt(setup.replicas)) % setup.boxes;
    }
    if (policy == Policy.TWO) {
      int one = (folio + random.nextInt(setup.replicas)) % setup.boxes;
      int other = (folio + random.nextInt(setup.replicas)) % setup.boxes;
      return partsInFlight[mixer][other] < partsInFlight[mixer][one] ? other : one;
    }
    int best = -1;
    for (int j = 0; j < setup.replicas; j++) {
      int box = (folio + (home + j) % setup.replicas) % setup.boxes;
      if (preferredByMixer.get(mixer)[box]
          && (best < 0 || partsInFlight[mixer][box] < partsInFlight[mixer][best])) {
        best = box;
      }
    }
    return best;
  }

  private void send(int mixer, int box) {
    BoxQueue station = boxQueues.get(box);
    station.connectedMixers.add(mixer);
    partsInFlight[mixer][box]++;
    partCount++;
    double sent = scheduler.now();
    double work = exponential(MEAN_WORK_MS);
    Runnable part =
        () -> {
          station.running++;
          station.busyMs += work;
          scheduler.schedule(
              scheduler.now() + work,
              () -> {
                station.running--;
                partsInFlight[mixer][box]--;
                latencyMicros.recordValue(
                    Math.min(3_600_000_000L, (long) ((scheduler.now() - sent) * 1000)));
                if (!station.waiting.isEmpty()) {
                  station.waiting.poll().run();
                }
              });
        };
    if (station.running < CORES_PER_BOX) {
      part.run();
    } else {
      station.waiting.add(part);
    }
  }
}
