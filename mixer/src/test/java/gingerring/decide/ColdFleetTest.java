package gingerring.decide;

import static gingerring.decide.FakeHost.line;
import static gingerring.decide.FakeHost.ms;
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

/** Many mixers over one searcher that returns cold, each by itself, in simulated time. */
class ColdFleetTest {
  /** So many searchers, so many parts to a scan, and the rule's multiple. */
  private record Shape(int searchers, int parts, int multiple) {}

  private static final Shape NARROW = new Shape(12, 4, 3);
  private static final Shape WIDE = new Shape(24, 12, 4);
  private static final long STEP = 50;
  private static final long SEEN = 30_000;
  private static final long DOWN = 8_000;
  private static final long RAMP = 12_000;
  private static final long WINDOW = 2_000;
  private static final long QUIET = 5_000;
  private static final int BURST = 12;
  private static final double LOAD = 0.7;
  private static final int THIN_LEAST = 20;
  private static final int WIDE_LEAST = 85;

  /** One mixer, and the answers on their way to it. */
  private static final class Process extends FakeHost {
    record Answer(long at, int number) {}

    final PriorityQueue<Answer> answers = new PriorityQueue<>(Comparator.comparingLong(Answer::at));
    final List<Long> toCold = new ArrayList<>();
    final SplittableRandom work;
    final Shape shape;
    int scans;

    /**
     * By when each searcher has done what all mixers sent it, and how long it takes for a part, in
     * ms.
     */
    final double[] done;

    final double each;

    Process(Shape shape, int size, int number, long seed, double[] done, double each) {
      super(
          "FleetSize",
          "" + size,
          "Seed",
          "" + (seed * 1000 + number),
          "Domain.Places",
          "" + shape.searchers,
          "Domain.Reach",
          "3",
          "Classes.0.AimMs",
          "5000",
          "Classes.0.HardLimitMs",
          "10000",
          "Safety.TipMultiple",
          "" + shape.multiple);
      this.shape = shape;
      this.done = done;
      this.each = each;
      work = new SplittableRandom(seed * 1000 + number);
    }

    @Override
    public void send(PartId part, SearcherId searcher, Duration timeOut, Duration startWithin) {
      super.send(part, searcher, timeOut, startWithin);
      int at = (int) searcher.address();
      done[at] = Math.max(done[at], now.toMillis()) + each;
      answers.add(new Answer((long) Math.max(done[at], now.toMillis() + 50), sent.size() - 1));
      if (searcher.address() == 0) {
        toCold.add(now.toMillis());
      }
    }

    void until(long at) {
      while (!answers.isEmpty() && answers.peek().at <= at) {
        Answer answer = answers.poll();
        pass(answer.at - now.toMillis());
        end(answer.number, Outcome.SUCCEEDED);
      }
      pass(at - now.toMillis());
    }

    void ask() {
      List<Part> parts = new ArrayList<>();
      int at = work.nextInt(shape.searchers);
      for (int i = 0; i < shape.parts; i++) {
        int shard = (at + shape.searchers / shape.parts * i) % shape.searchers;
        parts.add(new Part(new PartId(100L * scans + i), shard, 1.0 / shape.parts, 0));
      }
      mixer.scanArrived(
          new ScanId(scans), scans, 0, 0, false, Duration.ZERO, now.plus(ms(10_000)), parts);
      scans++;
    }
  }

  /**
   * Thinly all the time, or nothing for a while and then much to all mixers at so many ms after the
   * return.
   */
  private enum Traffic {
    THIN(-DOWN),
    AT_RETURN(0),
    AFTER_QUIET(7_000),
    AFTER_LONG_QUIET(9_000),
    TO_NEWCOMERS(9_000);

    final long from;

    Traffic(long from) {
      this.from = from;
    }
  }

  /**
   * A day of so many mixers, for a searcher that can do so many parts in a window once it is warm.
   * Where it is the last holder of its shards, all that come for them want to go there. Returns
   * when parts began there, in ms from its return.
   */
  private static List<Long> day(
      Shape shape, int size, double calls, Traffic traffic, boolean last, long seed) {
    long start = (traffic == Traffic.TO_NEWCOMERS ? 0 : SEEN) + DOWN;
    double[] done = new double[shape.searchers];
    List<Process> fleet =
        IntStream.range(0, size)
            .mapToObj(i -> new Process(shape, size, i, seed, done, WINDOW / calls))
            .toList();
    fleet.forEach(each -> each.fleet(shape.searchers));
    double rate = calls * LOAD * shape.searchers / shape.parts / size * STEP / WINDOW;
    List<MemberEntry> lost =
        IntStream.of(last ? new int[] {0, 1, 2, 10, 11} : new int[] {0})
            .mapToObj(i -> line(i, i, MemberEntry.Status.GONE, null))
            .toList();
    for (long at = STEP; at <= start + RAMP; at += STEP) {
      long since = at - start;
      boolean quiet = since < traffic.from && (since > -QUIET || traffic == Traffic.TO_NEWCOMERS);
      for (Process each : fleet) {
        each.until(at);
        if (since == -DOWN + STEP) {
          each.mixer.memberListUpdated(lost, false);
        } else if (since == 0) {
          each.mixer.memberListUpdated(
              List.of(line(0, 0, MemberEntry.Status.READY, each.now)), false);
        }
        int come =
            since == traffic.from && traffic != Traffic.THIN
                ? BURST
                : each.work.nextDouble() < rate ? 1 : 0;
        for (int i = 0; i < come && !quiet; i++) {
          each.ask();
        }
      }
    }
    return fleet.stream()
        .flatMap(each -> each.toCold.stream())
        .filter(at -> at >= start)
        .map(at -> at - start)
        .sorted()
        .toList();
  }

  /** The windows in which more began than the budget and chance allow. */
  private static List<String> over(Shape shape, double calls, List<Long> begun, String what) {
    List<String> over = new ArrayList<>();
    for (int i = 0, from = 0; i < begun.size(); i++) {
      while (begun.get(from) <= begun.get(i) - WINDOW) {
        from++;
      }
      // what it may get by the settings, if it grows no faster than they say: as its window begins
      double share = 0.2 + 0.8 * Math.max(0, begun.get(i) - WINDOW) / 10_000;
      double budget = shape.multiple * Math.min(1, share) * calls;
      int got = i - from + 1;
      if (got > budget + 2 * Math.sqrt(budget) + 2) {
        over.add(what + ": " + got + " at " + begun.get(i) + " ms, budget " + budget);
      }
    }
    return over;
  }

  @Test
  void aColdSearcherGetsNoMoreFromAllMixersThanItsBudgetAndChance() {
    List<String> over = new ArrayList<>();
    int thin = 0;
    for (int size : new int[] {20, 30}) {
      for (double calls : new double[] {3, 10}) {
        for (Traffic traffic : Traffic.values()) {
          for (boolean last : new boolean[] {false, true}) {
            List<Long> begun = day(NARROW, size, calls, traffic, last, size + (last ? 1 : 0));
            thin += traffic == Traffic.THIN && !last ? begun.size() : 0;
            over.addAll(
                over(
                    NARROW,
                    calls,
                    begun,
                    size
                        + " mixers, "
                        + calls
                        + " calls, "
                        + traffic
                        + (last ? ", last holder" : "")));
          }
        }
      }
    }
    assertEquals(List.of(), over);
    assertTrue(
        thin > THIN_LEAST, thin + " in all where parts come thinly: the guard idles a searcher");
  }

  /**
   * Guards against a bound on turns by what comes to a mixer in one window: where scans have many
   * parts, and come less often than that, most parts of most scans would leave turns alone, on an
   * ordinary day.
   */
  @Test
  void scansOfManyPartsTakeTheirTurnsOnAnOrdinaryDay() {
    int begun =
        IntStream.range(0, 4)
            .map(seed -> day(WIDE, 40, 16, Traffic.THIN, false, seed).size())
            .sum();
    assertTrue(begun > WIDE_LEAST, begun + " parts in four days");
  }

  @Test
  void scansOfManyPartsKeepTheBudgetTooWhenTheyComeToAllMixersTogether() {
    List<String> over = new ArrayList<>();
    for (Traffic traffic : Traffic.values()) {
      for (boolean last : new boolean[] {false, true}) {
        over.addAll(
            over(
                WIDE,
                16,
                day(WIDE, 80, 16, traffic, last, 9),
                traffic + (last ? ", last holder" : "")));
      }
    }
    assertEquals(List.of(), over);
  }
}
