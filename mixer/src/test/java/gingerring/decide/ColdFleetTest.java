package gingerring.decide;

import static gingerring.decide.FakeHost.memberEntry;
import static gingerring.decide.FakeHost.millis;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Many independent mixers and one searcher that returns cold, in simulated time. */
class ColdFleetTest {
  /** The number of searchers, the parts per scan and Safety.TipMultiple. */
  private record FleetShape(int searcherCount, int partsPerScan, int tipMultiple) {}

  private static final FleetShape NARROW = new FleetShape(12, 4, 3);
  private static final FleetShape WIDE = new FleetShape(24, 12, 4);
  private static final long STEP_MS = 50;
  private static final long WARM_UP_MS = 30_000;
  private static final long DOWN_MS = 8_000;
  private static final long RAMP_MS = 12_000;
  private static final long WINDOW_MS = 2_000;
  private static final long QUIET_MS = 5_000;
  private static final int BURST_SCANS = 12;
  private static final double UTILIZATION = 0.7;
  private static final int MIN_STEADY_COLD_PARTS = 20;
  private static final int MIN_WIDE_COLD_PARTS = 85;

  /** One mixer and the answers that are on their way to it. */
  private static final class SimulatedMixer extends FakeHost {
    record PendingAnswer(long atMs, int tripIndex) {}

    final PriorityQueue<PendingAnswer> answers =
        new PriorityQueue<>(Comparator.comparingLong(PendingAnswer::atMs));
    final List<Long> coldSendTimes = new ArrayList<>();
    final SplittableRandom random;
    final FleetShape shape;
    int scanCount;

    /**
     * For each searcher the time at which it will have finished all parts sent by all mixers, and
     * the time that it takes for a part, both in ms.
     */
    final double[] busyUntil;

    final double msPerPart;

    SimulatedMixer(
        FleetShape shape,
        int mixerCount,
        int mixerIndex,
        long seed,
        double[] busyUntil,
        double msPerPart) {
      super(
          "FleetSize",
          "" + mixerCount,
          "Seed",
          "" + (seed * 1000 + mixerIndex),
          "Domain.Places",
          "" + shape.searcherCount,
          "Domain.Reach",
          "3",
          "Classes.0.AimMs",
          "5000",
          "Classes.0.HardLimitMs",
          "10000",
          "Safety.TipMultiple",
          "" + shape.tipMultiple);
      this.shape = shape;
      this.busyUntil = busyUntil;
      this.msPerPart = msPerPart;
      random = new SplittableRandom(seed * 1000 + mixerIndex);
    }

    @Override
    public void send(PartId part, SearcherId searcher, Duration timeout, Duration startWithin) {
      super.send(part, searcher, timeout, startWithin);
      int index = (int) searcher.address();
      busyUntil[index] = Math.max(busyUntil[index], now.toMillis()) + msPerPart;
      answers.add(
          new PendingAnswer(
              (long) Math.max(busyUntil[index], now.toMillis() + 50), sentTrips.size() - 1));
      if (searcher.address() == 0) {
        coldSendTimes.add(now.toMillis());
      }
    }

    void runUntil(long timeMs) {
      while (!answers.isEmpty() && answers.peek().atMs <= timeMs) {
        PendingAnswer answer = answers.poll();
        advance(answer.atMs - now.toMillis());
        endTrip(answer.tripIndex, Outcome.SUCCEEDED);
      }
      advance(timeMs - now.toMillis());
    }

    void sendScan() {
      List<Part> parts = new ArrayList<>();
      int firstShard = random.nextInt(shape.searcherCount);
      for (int i = 0; i < shape.partsPerScan; i++) {
        int shard =
            (firstShard + shape.searcherCount / shape.partsPerScan * i) % shape.searcherCount;
        parts.add(new Part(new PartId(100L * scanCount + i), shard, 1.0 / shape.partsPerScan, 0));
      }
      mixer.scanArrived(
          new ScanId(scanCount),
          scanCount,
          0,
          0,
          false,
          Duration.ZERO,
          now.plus(millis(10_000)),
          parts);
      scanCount++;
    }
  }

  /**
   * A steady low load, or no load for a while and then a burst at all mixers, at this many ms after
   * the return of the searcher.
   */
  private enum Traffic {
    STEADY(-DOWN_MS),
    AT_RETURN(0),
    AFTER_QUIET(7_000),
    AFTER_LONG_QUIET(9_000),
    TO_NEW_MIXERS(9_000);

    final long burstAtMs;

    Traffic(long burstAtMs) {
      this.burstAtMs = burstAtMs;
    }
  }

  /**
   * Simulates a fleet of mixers and a searcher that can serve {@code partsPerWindow} parts in a
   * window once it is warm. If it is the last holder of its shards, all their parts need it.
   * Returns the times at which parts were sent to it, in ms since its return.
   */
  private static List<Long> simulate(
      FleetShape shape,
      int mixerCount,
      double partsPerWindow,
      Traffic traffic,
      boolean lastHolder,
      long seed) {
    long start = (traffic == Traffic.TO_NEW_MIXERS ? 0 : WARM_UP_MS) + DOWN_MS;
    double[] busyUntil = new double[shape.searcherCount];
    List<SimulatedMixer> mixers =
        IntStream.range(0, mixerCount)
            .mapToObj(
                i ->
                    new SimulatedMixer(
                        shape, mixerCount, i, seed, busyUntil, WINDOW_MS / partsPerWindow))
            .toList();
    mixers.forEach(mixer -> mixer.withFleet(shape.searcherCount));
    double rate =
        partsPerWindow
            * UTILIZATION
            * shape.searcherCount
            / shape.partsPerScan
            / mixerCount
            * STEP_MS
            / WINDOW_MS;
    List<MemberEntry> goneEntries =
        IntStream.of(lastHolder ? new int[] {0, 1, 2, 10, 11} : new int[] {0})
            .mapToObj(i -> memberEntry(i, i, MemberEntry.Status.GONE, null))
            .toList();
    for (long timeMs = STEP_MS; timeMs <= start + RAMP_MS; timeMs += STEP_MS) {
      long sinceReturnMs = timeMs - start;
      boolean quiet =
          sinceReturnMs < traffic.burstAtMs
              && (sinceReturnMs > -QUIET_MS || traffic == Traffic.TO_NEW_MIXERS);
      for (SimulatedMixer mixer : mixers) {
        mixer.runUntil(timeMs);
        if (sinceReturnMs == -DOWN_MS + STEP_MS) {
          mixer.mixer.memberListUpdated(goneEntries, false);
        } else if (sinceReturnMs == 0) {
          mixer.mixer.memberListUpdated(
              List.of(memberEntry(0, 0, MemberEntry.Status.READY, mixer.now)), false);
        }
        int arrivals =
            sinceReturnMs == traffic.burstAtMs && traffic != Traffic.STEADY
                ? BURST_SCANS
                : mixer.random.nextDouble() < rate ? 1 : 0;
        for (int i = 0; i < arrivals && !quiet; i++) {
          mixer.sendScan();
        }
      }
    }
    return mixers.stream()
        .flatMap(mixer -> mixer.coldSendTimes.stream())
        .filter(timeMs -> timeMs >= start)
        .map(timeMs -> timeMs - start)
        .sorted()
        .toList();
  }

  /**
   * Returns the windows in which more parts were sent than the budget plus a random deviation
   * allows.
   */
  private static List<String> findViolations(
      FleetShape shape, double partsPerWindow, List<Long> sendTimes, String label) {
    List<String> violations = new ArrayList<>();
    for (int i = 0, windowStart = 0; i < sendTimes.size(); i++) {
      while (sendTimes.get(windowStart) <= sendTimes.get(i) - WINDOW_MS) {
        windowStart++;
      }
      // the capacity at the start of the window, if it grows no faster than the settings say
      double capacityShare = 0.2 + 0.8 * Math.max(0, sendTimes.get(i) - WINDOW_MS) / 10_000;
      double budget = shape.tipMultiple * Math.min(1, capacityShare) * partsPerWindow;
      int count = i - windowStart + 1;
      if (count > budget + 2 * Math.sqrt(budget) + 2) {
        violations.add(label + ": " + count + " at " + sendTimes.get(i) + " ms, budget " + budget);
      }
    }
    return violations;
  }

  @Test
  void aColdSearcherStaysWithinItsBudgetFromAllMixers() {
    List<String> violations = new ArrayList<>();
    int steadyParts = 0;
    for (int mixerCount : new int[] {20, 30}) {
      for (double partsPerWindow : new double[] {3, 10}) {
        for (Traffic traffic : Traffic.values()) {
          for (boolean lastHolder : new boolean[] {false, true}) {
            List<Long> sendTimes =
                simulate(
                    NARROW,
                    mixerCount,
                    partsPerWindow,
                    traffic,
                    lastHolder,
                    mixerCount + (lastHolder ? 1 : 0));
            steadyParts += traffic == Traffic.STEADY && !lastHolder ? sendTimes.size() : 0;
            violations.addAll(
                findViolations(
                    NARROW,
                    partsPerWindow,
                    sendTimes,
                    mixerCount
                        + " mixers, "
                        + partsPerWindow
                        + " parts per window, "
                        + traffic
                        + (lastHolder ? ", last holder" : "")));
          }
        }
      }
    }
    assertEquals(List.of(), violations);
    assertTrue(
        steadyParts > MIN_STEADY_COLD_PARTS,
        steadyParts + " parts at low load: the cold-start limit leaves the searcher idle");
  }

  /**
   * Guards against a limit on turns that depends on the parts of a single window: scans that have
   * many parts and arrive less often than once per window would then take hardly any turns under
   * normal load.
   */
  @Test
  void scansOfManyPartsTakeTurnsUnderNormalLoad() {
    int sentParts =
        IntStream.range(0, 4)
            .map(seed -> simulate(WIDE, 40, 16, Traffic.STEADY, false, seed).size())
            .sum();
    assertTrue(sentParts > MIN_WIDE_COLD_PARTS, sentParts + " parts in four runs");
  }

  @Test
  void burstsOfScansWithManyPartsStayWithinTheBudget() {
    List<String> violations = new ArrayList<>();
    for (Traffic traffic : Traffic.values()) {
      for (boolean lastHolder : new boolean[] {false, true}) {
        violations.addAll(
            findViolations(
                WIDE,
                16,
                simulate(WIDE, 80, 16, traffic, lastHolder, 9),
                traffic + (lastHolder ? ", last holder" : "")));
      }
    }
    assertEquals(List.of(), violations);
  }
}
