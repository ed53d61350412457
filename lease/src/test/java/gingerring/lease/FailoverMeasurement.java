package gingerring.lease;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.LongStream;

/**
 * Measures the figures of docs/lease.md in simulated time: {@code FailoverMeasurement [handovers]}.
 * Messages take 0.5 to 5.5 ms, and one in fifty takes up to 100 ms more; clocks are within 1%;
 * there are five electors.
 */
final class FailoverMeasurement {
  private enum Fault {
    KILL,
    STOP,
    CUT,
    GIVE_UP,
    GIVE_UP_AT_A_TENTH_LOST
  }

  private FailoverMeasurement() {}

  /**
   * Returns the times, in ns, from a fault to the next holder, for all leases of the affected
   * mixers.
   */
  private static List<Long> measureGaps(int mixerCount, Fault fault, long seed) {
    ClusterSimulation simulation =
        new ClusterSimulation(
            seed,
            mixerCount,
            Math.min(5, mixerCount),
            20,
            LeaseSettings.defaults(),
            SafetyChecks.ALL);
    simulation.maxDelay = 5 * ClusterSimulation.MS;
    simulation.lossRate = fault == Fault.GIVE_UP_AT_A_TENTH_LOST ? 0.1 : 0;
    simulation.startAll(0.01);
    simulation.updateMembers = false;
    List<Long> gaps = new ArrayList<>();
    Set<ClusterSimulation.Node> affected = new HashSet<>();
    simulation.runUntil(8_000 * ClusterSimulation.MS);
    for (LeaseName each : simulation.leases) {
      ClusterSimulation.Node holder = simulation.holder(each);
      if (holder == null
          || holder.elector != null
          || affected.size() >= Math.max(1, mixerCount / 10)) {
        continue;
      }
      affected.add(holder);
    }
    Map<LeaseName, Long> faultTimes = new HashMap<>();
    for (ClusterSimulation.Node each : affected) {
      simulation.scheduleAt(
          simulation.now + simulation.random.nextLong(1_000 * ClusterSimulation.MS),
          () -> {
            for (LeaseName lease : simulation.leases) {
              if (each.candidates.get(lease).validToken().isPresent()) {
                faultTimes.put(
                    lease, fault == Fault.CUT || fault.ordinal() >= 3 ? -1 : simulation.now);
              }
            }
            switch (fault) {
              case KILL -> simulation.kill(each);
              case STOP -> {
                simulation.pause(each);
                simulation.scheduleAt(
                    simulation.now + 10_000 * ClusterSimulation.MS, () -> simulation.resume(each));
              }
              case CUT -> simulation.isolate(each, 10_000);
              default -> simulation.leases.forEach(lease -> each.candidates.get(lease).resign());
            }
          });
    }
    simulation.onAcquired =
        (node, lease) -> {
          Long faultTime = faultTimes.get(lease);
          if (faultTime != null && !affected.contains(node)) {
            gaps.add(
                simulation.now
                    - (faultTime >= 0
                        ? faultTime
                        : simulation.lostAt.getOrDefault(lease, simulation.now)));
            faultTimes.remove(lease);
          }
        };
    simulation.runUntil(18_000 * ClusterSimulation.MS);
    faultTimes.forEach((lease, faultTime) -> gaps.add(Long.MAX_VALUE));
    if (!simulation.violations.isEmpty()) {
      throw new AssertionError(simulation.violations.toString());
    }
    return gaps;
  }

  private static String tableRow(List<Long> gaps) {
    long[] sorted = gaps.stream().mapToLong(Long::longValue).sorted().toArray();
    StringBuilder row = new StringBuilder(" | " + sorted.length);
    for (double quantile : new double[] {0.5, 0.9, 0.99, 1}) {
      long gap = sorted.length == 0 ? 0 : sorted[(int) Math.ceil(quantile * sorted.length) - 1];
      row.append(String.format(" | %.3f", gap / 1e9));
    }
    return row.append(" |").toString();
  }

  public static void main(String[] args) {
    System.out.println("| mixers | fault | samples | 50% | 90% | 99% | max |");
    for (int mixerCount : new int[] {10, 32, 100, 1000}) {
      for (Fault fault : Fault.values()) {
        List<Long> gaps =
            LongStream.rangeClosed(1, mixerCount == 1000 ? 6 : mixerCount == 100 ? 40 : 120)
                .parallel()
                .mapToObj(seed -> measureGaps(mixerCount, fault, seed))
                .flatMap(List::stream)
                .toList();
        System.out.println("| " + mixerCount + " | " + fault + tableRow(gaps));
      }
    }
    ClusterSimulation quietRun =
        new ClusterSimulation(1, 100, 5, 20, LeaseSettings.defaults(), SafetyChecks.ALL);
    quietRun.startAll(0.01);
    quietRun.runUntil(20_000 * ClusterSimulation.MS);
    int before = quietRun.messageCount;
    quietRun.runUntil(30_000 * ClusterSimulation.MS);
    double messageRate = (quietRun.messageCount - before) / 10.0 / 20;
    System.out.println(
        "no faults, five electors: " + messageRate + " messages per second and lease");
    long handovers = args.length > 0 ? Long.parseLong(args[0]) : 20_000;
    long[] sums = new long[3];
    LongStream.rangeClosed(1, Math.max(1, handovers / 20_000))
        .parallel()
        .mapToObj(FailoverMeasurement::runHandovers)
        .forEachOrdered(each -> Arrays.setAll(sums, i -> sums[i] + each[i]));
    System.out.println(
        "handovers " + sums[0] + ", pieces of work " + sums[1] + ", violations " + sums[2]);
  }

  /**
   * Hands each lease over about every 300 ms, with 1% of messages lost and 1% duplicated. Returns
   * the numbers of acquisitions, admitted pieces of work and violations.
   */
  private static long[] runHandovers(long seed) {
    ClusterSimulation simulation =
        new ClusterSimulation(seed, 6, 3, 20, LeaseSettings.defaults(), SafetyChecks.ALL);
    simulation.maxDelay = 5 * ClusterSimulation.MS;
    simulation.lossRate = 0.01;
    simulation.duplicateRate = 0.01;
    simulation.startAll(0.01);
    for (LeaseName lease : simulation.leases) {
      scheduleHandover(simulation, lease);
    }
    while (simulation.acquisitionCount < 20_000) {
      simulation.runUntil(simulation.now + 10_000 * ClusterSimulation.MS);
    }
    return new long[] {
      simulation.acquisitionCount, simulation.admittedCount, simulation.violations.size()
    };
  }

  private static void scheduleHandover(ClusterSimulation simulation, LeaseName lease) {
    simulation.scheduleAt(
        simulation.now
            + 200 * ClusterSimulation.MS
            + simulation.random.nextLong(200 * ClusterSimulation.MS),
        () -> {
          simulation.withHolder(
              lease,
              each -> each.handOverTo(simulation.nodes.get(simulation.random.nextInt(6)).id));
          scheduleHandover(simulation, lease);
        });
  }
}
