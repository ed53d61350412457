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

/** Simulates how many mixers choose boxes for their parts, and the resulting load of the boxes. */
public final class RoutingSimulation {
  /** The policy by which a mixer selects among the holders of a partition. */
  public enum Policy {
    /** The mixer selects a holder at random. */
    RANDOM,
    /**
     * The holder with the fewest parts in flight from this mixer; ties go to the first one in ring
     * order from the scan's home holder. This is the mixer's current policy.
     */
    LEAST_OWN,
    /**
     * The mixer draws two holders at random and selects the one with fewer parts in flight from
     * this mixer.
     */
    TWO,
    /**
     * The holder with the fewest parts in flight from this mixer among the mixer's preferred subset
     * of boxes.
     */
    COVER
  }

  /**
   * Parameters. {@code utilization} is the share of the boxes' capacity that is requested; {@code
   * replicas} the number of holders of a partition, next to each other on the ring; {@code
   * preferredReplicas} how many of them the subset of a mixer contains; {@code seconds} the
   * simulated time. Demand is uneven: one mixer in ten requests ten times as much as each of the
   * others.
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
   * The result: the largest busy time of a box over the mean; the mean and the largest number of
   * mixers connected to a box; percentiles of the parts' response times.
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
    List<List<BoxId>> holdersByPartition = new ArrayList<>();
    for (int i = 0; i < setup.boxes; i++) {
      boxQueues.add(new BoxQueue());
      boxes.add(new Box(new BoxId(i), i % ZONES, 1));
      List<BoxId> holders = new ArrayList<>();
      for (int j = 0; j < setup.replicas; j++) {
        holders.add(new BoxId((i + j) % setup.boxes));
      }
      holdersByPartition.add(holders);
    }
    SubsetSelector subsetSelector =
        new SubsetSelector(boxes, holdersByPartition, setup.preferredReplicas);
    for (int mixer = 0; mixer < setup.mixers; mixer++) {
      boolean[] preferredBoxes = new boolean[setup.boxes];
      if (policy == Policy.COVER) {
        subsetSelector
            .select(new MixerId(mixer))
            .forEach(id -> preferredBoxes[(int) id.number()] = true);
      } else {
        Arrays.fill(preferredBoxes, true);
      }
      preferredByMixer.add(preferredBoxes);
    }
  }

  /** Runs the simulation; the same parameters and policy give the same result. */
  public static Result run(Setup setup, Policy policy) {
    return new RoutingSimulation(setup, policy).simulate();
  }

  private Result simulate() {
    int highDemandMixers = Math.max(1, setup.mixers / 10);
    double totalWeight = 10.0 * highDemandMixers + setup.mixers - highDemandMixers;
    double scansPerMs =
        setup.utilization
            * setup.boxes
            * CORES_PER_BOX
            / MEAN_WORK_MS
            / (PARTITION_SHARE_PER_SCAN * setup.boxes);
    for (int mixer = 0; mixer < setup.mixers; mixer++) {
      scheduleScan(mixer, scansPerMs * (mixer < highDemandMixers ? 10 : 1) / totalWeight);
    }
    scheduler.runUntil(setup.seconds * 1000);
    double totalBusyMs = boxQueues.stream().mapToDouble(queue -> queue.busyMs).sum();
    double maxBusyMs = boxQueues.stream().mapToDouble(queue -> queue.busyMs).max().orElse(0);
    return new Result(
        maxBusyMs / (totalBusyMs / setup.boxes),
        boxQueues.stream().mapToInt(queue -> queue.connectedMixers.size()).average().orElse(0),
        boxQueues.stream().mapToInt(queue -> queue.connectedMixers.size()).max().orElse(0),
        latencyMicros.getValueAtPercentile(50) / 1e3,
        latencyMicros.getValueAtPercentile(99) / 1e3,
        partCount);
  }

  private double exponential(double mean) {
    return -mean * Math.log(1 - random.nextDouble());
  }

  private void scheduleScan(int mixer, double scansPerMs) {
    scheduler.schedule(
        scheduler.now() + exponential(1 / scansPerMs),
        () -> {
          int firstPartition = random.nextInt(setup.boxes);
          int firstHolder = random.nextInt(setup.replicas);
          for (int i = 0; i < Math.max(1, (int) (PARTITION_SHARE_PER_SCAN * setup.boxes)); i++) {
            send(mixer, selectBox(mixer, (firstPartition + i) % setup.boxes, firstHolder));
          }
          scheduleScan(mixer, scansPerMs);
        });
  }

  private int selectBox(int mixer, int partition, int firstHolder) {
    if (policy == Policy.RANDOM) {
      return (partition + random.nextInt(setup.replicas)) % setup.boxes;
    }
    if (policy == Policy.TWO) {
      int first = (partition + random.nextInt(setup.replicas)) % setup.boxes;
      int second = (partition + random.nextInt(setup.replicas)) % setup.boxes;
      return partsInFlight[mixer][second] < partsInFlight[mixer][first] ? second : first;
    }
    int bestBox = -1;
    for (int j = 0; j < setup.replicas; j++) {
      int box = (partition + (firstHolder + j) % setup.replicas) % setup.boxes;
      if (preferredByMixer.get(mixer)[box]
          && (bestBox < 0 || partsInFlight[mixer][box] < partsInFlight[mixer][bestBox])) {
        bestBox = box;
      }
    }
    return bestBox;
  }

  private void send(int mixer, int box) {
    BoxQueue queue = boxQueues.get(box);
    queue.connectedMixers.add(mixer);
    partsInFlight[mixer][box]++;
    partCount++;
    double sentAt = scheduler.now();
    double workMs = exponential(MEAN_WORK_MS);
    Runnable execution =
        () -> {
          queue.running++;
          queue.busyMs += workMs;
          scheduler.schedule(
              scheduler.now() + workMs,
              () -> {
                queue.running--;
                partsInFlight[mixer][box]--;
                latencyMicros.recordValue(
                    Math.min(3_600_000_000L, (long) ((scheduler.now() - sentAt) * 1000)));
                if (!queue.waiting.isEmpty()) {
                  queue.waiting.poll().run();
                }
              });
        };
    if (queue.running < CORES_PER_BOX) {
      execution.run();
    } else {
      queue.waiting.add(execution);
    }
  }
}
