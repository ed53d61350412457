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
 * The figures of docs/duty.md, in simulated time: {@code DutyFigures [hand-overs]}. Words take 0.5
 * to 5.5 ms, one in fifty up to 100 ms more; clocks within 1%; five electors.
 */
final class DutyFigures {
  private enum Fault {
    KILL,
    STOP,
    CUT,
    GIVE_UP,
    GIVE_UP_AT_A_TENTH_LOST
  }

  private DutyFigures() {}

  /** Seconds from a fault to the next holder, of all duties of the mixers that it strikes. */
  private static List<Long> gaps(int mixers, Fault fault, long seed) {
    World world = new World(seed, mixers, Math.min(5, mixers), 20, Rules.usual(), Checks.ALL);
    world.delay = 5 * World.MS;
    world.loss = fault == Fault.GIVE_UP_AT_A_TENTH_LOST ? 0.1 : 0;
    world.begin(0.01);
    world.tell = false;
    List<Long> gaps = new ArrayList<>();
    Set<World.Node> struck = new HashSet<>();
    world.until(8_000 * World.MS);
    for (DutyName each : world.duties) {
      World.Node holder = world.holder(each);
      if (holder == null || holder.elector != null || struck.size() >= Math.max(1, mixers / 10)) {
        continue;
      }
      struck.add(holder);
    }
    Map<DutyName, Long> from = new HashMap<>();
    for (World.Node each : struck) {
      world.at(
          world.now + world.chance.nextLong(1_000 * World.MS),
          () -> {
            for (DutyName duty : world.duties) {
              if (each.candidates.get(duty).holds().isPresent()) {
                from.put(duty, fault == Fault.CUT || fault.ordinal() >= 3 ? -1 : world.now);
              }
            }
            switch (fault) {
              case KILL -> world.kill(each);
              case STOP -> {
                world.stop(each);
                world.at(world.now + 10_000 * World.MS, () -> world.wake(each));
              }
              case CUT -> world.aside(each, 10_000);
              default -> world.duties.forEach(duty -> each.candidates.get(duty).giveUp());
            }
          });
    }
    world.taking =
        (node, duty) -> {
          Long since = from.get(duty);
          if (since != null && !struck.contains(node)) {
            gaps.add(world.now - (since >= 0 ? since : world.leftAt.getOrDefault(duty, world.now)));
            from.remove(duty);
          }
        };
    world.until(18_000 * World.MS);
    from.forEach((duty, since) -> gaps.add(Long.MAX_VALUE));
    if (!world.fouls.isEmpty()) {
      throw new AssertionError(world.fouls.toString());
    }
    return gaps;
  }

  private static String line(List<Long> gaps) {
    long[] sorted = gaps.stream().mapToLong(Long::longValue).sorted().toArray();
    StringBuilder out = new StringBuilder(" | " + sorted.length);
    for (double share : new double[] {0.5, 0.9, 0.99, 1}) {
      long found = sorted.length == 0 ? 0 : sorted[(int) Math.ceil(share * sorted.length) - 1];
      out.append(String.format(" | %.3f", found / 1e9));
    }
    return out.append(" |").toString();
  }

  public static void main(String[] args) {
    System.out.println("| mixers | fault | samples | 50% | 90% | 99% | most |");
    for (int mixers : new int[] {10, 32, 100, 1000}) {
      for (Fault fault : Fault.values()) {
        List<Long> gaps =
            LongStream.rangeClosed(1, mixers == 1000 ? 6 : mixers == 100 ? 40 : 120)
                .parallel()
                .mapToObj(seed -> gaps(mixers, fault, seed))
                .flatMap(List::stream)
                .toList();
        System.out.println("| " + mixers + " | " + fault + line(gaps));
      }
    }
    World calm = new World(1, 100, 5, 20, Rules.usual(), Checks.ALL);
    calm.begin(0.01);
    calm.until(20_000 * World.MS);
    int before = calm.letters;
    calm.until(30_000 * World.MS);
    double letters = (calm.letters - before) / 10.0 / 20;
    System.out.println("calm, five electors: " + letters + " letters a second and duty");
    long most = args.length > 0 ? Long.parseLong(args[0]) : 20_000;
    long[] sums = new long[3];
    LongStream.rangeClosed(1, Math.max(1, most / 20_000))
        .parallel()
        .mapToObj(DutyFigures::handOvers)
        .forEachOrdered(each -> Arrays.setAll(sums, i -> sums[i] + each[i]));
    System.out.println("hand-overs " + sums[0] + ", works " + sums[1] + ", fouls " + sums[2]);
  }

  /** Duties handed on about every 300 ms, a hundredth of words lost and doubled. */
  private static long[] handOvers(long seed) {
    World world = new World(seed, 6, 3, 20, Rules.usual(), Checks.ALL);
    world.delay = 5 * World.MS;
    world.loss = 0.01;
    world.twice = 0.01;
    world.begin(0.01);
    for (DutyName each : world.duties) {
      hand(world, each);
    }
    while (world.took < 20_000) {
      world.until(world.now + 10_000 * World.MS);
    }
    return new long[] {world.took, world.works, world.fouls.size()};
  }

  private static void hand(World world, DutyName duty) {
    world.at(
        world.now + 200 * World.MS + world.chance.nextLong(200 * World.MS),
        () -> {
          world.holderDo(duty, each -> each.hand(world.nodes.get(world.chance.nextInt(6)).id));
          hand(world, duty);
        });
  }
}
