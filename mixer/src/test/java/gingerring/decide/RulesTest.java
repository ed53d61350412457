package gingerring.decide;

import static gingerring.decide.FakeHost.ms;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * A slow, plain model of the six rules beside the mixer, on generated days with every kind of
 * grade.
 */
class RulesTest {
  private static final double FLOOR = 0.5;

  /** What the rules say, from the whole history, in the plainest way. */
  private static final class Model extends FakeHost {
    record Asked(ScanId scan, int grade, Duration end) {}

    record Trip(PartId part, int number, int searcher, Duration at, Outcome outcome) {}

    final Map<ScanId, Asked> asked = new HashMap<>();
    final Map<PartId, ScanId> scanOf = new HashMap<>();
    final Map<PartId, Double> weights = new HashMap<>();
    final List<Trip> trips = new ArrayList<>();
    final List<Duration> taken = new ArrayList<>();
    final List<String> broken = new ArrayList<>();
    final Map<Integer, MemberEntry> told = new HashMap<>();
    final Map<ScanId, List<PartId>> firstStep = new HashMap<>();
    final Map<ScanId, List<PartId>> secondStep = new HashMap<>();
    final Map<ScanId, Boolean> firstWhole = new HashMap<>();
    final boolean copies;

    /** The second step may be answered in part. */
    boolean partialFetch;

    Duration window = ms(60);

    /** Null where there is none; else its span, what is free, and the share of what was taken. */
    final int[] budget;

    Model(boolean copies, int[] budget, String... house) {
      super(house);
      this.copies = copies;
      this.budget = budget;
    }

    List<Trip> of(PartId part) {
      return trips.stream().filter(trip -> trip.part.equals(part)).toList();
    }

    boolean in(PartId part) {
      return of(part).stream().anyMatch(trip -> trip.outcome == Outcome.SUCCEEDED);
    }

    static boolean mayHaveRun(Trip trip) {
      return trip.outcome == null || !trip.outcome.neverRan;
    }

    void check(boolean kept, String rule) {
      if (!kept) {
        broken.add(rule + " at " + now);
      }
    }

    @Override
    public void send(PartId part, SearcherId id, Duration timeOut, Duration startWithin) {
      int searcher = (int) id.address();
      Asked scan = asked.get(scanOf.get(part));
      List<Trip> before = of(part);
      check(
          !finals.containsKey(scan.scan) && now.compareTo(scan.end) < 0,
          "lost: sent after the end");
      check(
          !firstWhole.containsKey(scan.scan)
              || secondStep.getOrDefault(scan.scan, List.of()).contains(part),
          "step over");
      List<Trip> ran = before.stream().filter(Model::mayHaveRun).toList();
      if (scan.grade == 1 && !ran.isEmpty()) {
        check(now.minus(ran.get(0).at).compareTo(window) <= 0, "duplicate: outside the window");
      }
      // the first that may run has nothing to be taken for another of; its host bounds it once a
      // copy is sent
      check(
          scan.grade != 1
              || ran.isEmpty()
              || startWithin != null
                  && now.plus(startWithin).minus(ran.get(0).at).compareTo(window) <= 0,
          "duplicate: may begin outside the window");
      check(scan.grade != 2 || ran.isEmpty(), "duplicate: at most once");
      long out = before.stream().filter(trip -> trip.outcome == null).count();
      check(out == 0 || copies && out == 1, "duplicate: copies");
      check(before.size() < 3, "too many trips");
      MemberEntry line = told.get(searcher);
      check(line.status() == MemberEntry.Status.READY, "drain");
      cold(line, searcher);
      if (budget != null && !before.isEmpty()) {
        Duration from = now.minus(ms(budget[0]));
        long extra =
            1 + trips.stream().filter(t -> t.number > 0 && t.at.compareTo(from) >= 0).count();
        long recent = taken.stream().filter(at -> at.compareTo(from) > 0).count();
        check(extra <= budget[1] + budget[2] / 100.0 * recent, "budget");
      }
      trips.add(new Trip(part, before.size(), searcher, now, null));
      super.send(part, id, timeOut, startWithin);
    }

    /**
     * All mixers alike, a cold searcher bears the multiple of its share of the most that any
     * searcher answered.
     */
    private void cold(MemberEntry line, int searcher) {
      Duration window = ms(2000);
      if (line.startedAt() == null || now.minus(line.startedAt()).compareTo(ms(12_000)) >= 0) {
        return;
      }
      double age = Math.max(0, now.minus(line.startedAt()).minus(window).toNanos() / 1e9);
      long here =
          1
              + trips.stream()
                  .filter(
                      trip -> trip.searcher == searcher && trip.at.compareTo(now.minus(window)) > 0)
                  .count();
      long most = 0;
      for (int other : told.keySet()) {
        for (Trip last : trips) {
          most =
              Math.max(
                  most,
                  trips.stream()
                      .filter(
                          trip ->
                              trip.searcher == other
                                  && trip.outcome == Outcome.SUCCEEDED
                                  && trip.at.compareTo(last.at) <= 0
                                  && trip.at.compareTo(last.at.minus(window)) > 0)
                      .count());
        }
      }
      check(here <= Math.max(1, 3 * Math.min(1, 0.2 + 0.8 * age / 10) * most), "cold");
    }

    @Override
    public void answer(ScanId scan, boolean whole) {
      Asked of = asked.get(scan);
      boolean second = firstWhole.containsKey(scan);
      double in =
          (second ? secondStep : firstStep)
              .get(scan).stream().filter(this::in).mapToDouble(weights::get).sum();
      boolean partial = of.grade == 3 || of.grade == 4 && partialFetch;
      check(in >= (partial ? FLOOR : 1) - 1e-4, "answer under the floor");
      check(!whole || in >= 1 - 1e-4 && (!second || firstWhole.get(scan)), "marked whole");
      if (of.grade == 4 && !second) {
        firstWhole.put(scan, whole);
        return;
      }
      over(scan);
      super.answer(scan, whole);
    }

    @Override
    public void reject(ScanId scan, Duration comeBack) {
      boolean ran =
          trips.stream().anyMatch(trip -> scanOf.get(trip.part).equals(scan) && mayHaveRun(trip));
      check(asked.get(scan).grade != 2 || !ran, "nack of what may have run");
      over(scan);
      super.reject(scan, comeBack);
    }

    @Override
    public void fail(ScanId scan) {
      over(scan);
      super.fail(scan);
    }

    private void over(ScanId scan) {
      check(!finals.containsKey(scan), "lost: two final answers");
      check(now.compareTo(asked.get(scan).end.plus(ms(20))) <= 0, "lost: answered late");
    }
  }

  private static Model day(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    boolean copies = random.nextBoolean();
    boolean partialFetch = random.nextBoolean();
    int[] budget =
        random.nextBoolean()
            ? null
            : new int[] {random.nextInt(1000, 4000), random.nextInt(4), random.nextInt(2, 20)};
    List<String> house =
        new ArrayList<>(
            List.of(
                "Classes.count",
                "5",
                "Domain.ClassFloor",
                "1,1,1," + FLOOR + "," + (partialFetch ? FLOOR : 1),
                "Domain.NeedByClass",
                "1,1,1,1,1",
                "Domain.ClassFetch",
                "0,0,0,0,2",
                "PolicyLimits.SecondCopies",
                "" + copies,
                "PolicyLimits.Cancel",
                "" + random.nextBoolean(),
                "PolicyLimits.Probing",
                "" + random.nextBoolean(),
                "Domain.Batch",
                "" + random.nextInt(1, 4)));
    int window = random.nextInt(30, 600);
    String[] repeats = {"idempotent", "deduplicated", "at_most_once", "idempotent", "idempotent"};
    for (int i = 0; i < 5; i++) {
      house.addAll(
          List.of(
              "Classes." + i + ".AimMs",
              "1000",
              "Classes." + i + ".HardLimitMs",
              "8000",
              "Classes." + i + ".Idempotency",
              repeats[i],
              "Classes." + i + ".WindowMs",
              "" + window,
              "Classes." + i + ".LateWorth",
              random.nextBoolean() ? "0.3" : "0"));
    }
    if (budget != null) {
      house.addAll(
          List.of(
              "Safety.ResendSpanMs",
              "" + budget[0],
              "Safety.ExtraFree",
              "" + budget[1],
              "Safety.ResendRatio",
              "" + budget[2] / 100.0));
    }
    Model day = new Model(copies, budget, house.toArray(String[]::new));
    day.partialFetch = partialFetch;
    day.window = ms(window);
    for (int i = 0; i < 6; i++) {
      Duration started = random.nextInt(4) == 0 ? ms(-500) : null;
      day.told.put(i, FakeHost.line(i, i % 4, MemberEntry.Status.READY, started));
    }
    day.mixer.memberListUpdated(List.copyOf(day.told.values()), true);
    for (int step = 0; step < 250; step++) {
      act(day, random, step);
      bringSecondSteps(day);
      day.pass(random.nextInt(8) == 0 ? random.nextInt(600) : random.nextInt(40));
    }
    day.pass(9000);
    return day;
  }

  private static void act(Model day, SplittableRandom random, int step) {
    switch (random.nextInt(8)) {
      case 0, 1 -> arrive(day, random, step);
      case 2 -> {
        int searcher = random.nextInt(6);
        MemberEntry.Status standing = MemberEntry.Status.values()[random.nextInt(3)];
        Duration started = random.nextBoolean() ? day.now.minus(ms(random.nextInt(300))) : null;
        Duration known = started != null ? started : day.told.get(searcher).startedAt();
        MemberEntry line = FakeHost.line(searcher, searcher % 4, standing, started);
        day.told.put(searcher, FakeHost.line(searcher, searcher % 4, standing, known));
        day.mixer.memberListUpdated(List.of(line), false);
      }
      default -> {
        for (int n = random.nextInt(6); n > 0; n--) {
          end(day, random);
        }
      }
    }
  }

  private static void arrive(Model day, SplittableRandom random, int step) {
    int grade = random.nextInt(5);
    ScanId scan = new ScanId(step);
    Duration end = day.now.plus(ms(random.nextInt(10) == 0 ? 30 : random.nextInt(800, 8000)));
    List<Part> parts = new ArrayList<>();
    int count = random.nextInt(1, 5);
    for (int i = 0; i < count; i++) {
      add(day, scan, parts, 100L * step + i, i, 1.0 / count);
    }
    day.asked.put(scan, new Model.Asked(scan, grade, end));
    day.taken.add(day.now);
    day.firstStep.put(scan, parts.stream().map(part -> part.id).toList());
    day.mixer.scanArrived(scan, step, grade, step % 3, step % 2 == 0, Duration.ZERO, end, parts);
  }

  private static void add(
      Model day, ScanId scan, List<Part> parts, long id, int shard, double weight) {
    Part part = new Part(new PartId(id), shard, weight, 0);
    parts.add(part);
    day.scanOf.put(part.id, scan);
    day.weights.put(part.id, weight);
    day.taken.add(day.now);
  }

  private static void end(Model day, SplittableRandom random) {
    List<Model.Trip> out = day.trips.stream().filter(trip -> trip.outcome == null).toList();
    if (!out.isEmpty()) {
      Model.Trip trip = out.get(random.nextInt(out.size()));
      Outcome outcome =
          random.nextInt(3) > 0
              ? Outcome.SUCCEEDED
              : Outcome.values()[random.nextInt(Outcome.values().length)];
      day.trips.set(
          day.trips.indexOf(trip),
          new Model.Trip(trip.part, trip.number, trip.searcher, trip.at, outcome));
      day.mixer.tripEnded(trip.part, trip.number, outcome, false, new float[0]);
    }
  }

  private static void bringSecondSteps(Model day) {
    for (ScanId scan : day.firstWhole.keySet()) {
      if (!day.finals.containsKey(scan) && !day.secondStep.containsKey(scan)) {
        List<Part> parts = new ArrayList<>();
        add(day, scan, parts, 100 * scan.number() + 50, 0, 0.5);
        add(day, scan, parts, 100 * scan.number() + 51, 1, 0.5);
        day.secondStep.put(scan, parts.stream().map(part -> part.id).toList());
        day.mixer.secondStepArrived(scan.number(), parts);
      }
    }
  }

  @Test
  void theMixerKeepsToTheModelOnGeneratedDays() {
    int trips = 0;
    int extra = 0;
    int seconds = 0;
    for (long seed = 0; seed < 150; seed++) {
      Model day = day(seed);
      assertEquals(List.of(), day.broken, "seed " + seed);
      assertEquals(day.asked.keySet(), day.finals.keySet(), "seed " + seed);
      trips += day.trips.size();
      extra += day.trips.stream().filter(trip -> trip.number > 0).count();
      seconds += day.secondStep.size();
    }
    assertTrue(trips > 5000 && extra > 100 && seconds > 100, trips + ", " + extra + ", " + seconds);
  }

  @Test
  void theModelCatchesEachRuleBrokenOnPurpose() {
    Model day = day(3);
    ScanId closed = day.finals.keySet().iterator().next();
    day.reject(closed, Duration.ZERO);
    assertCaught(day, "two final answers");
    assertCaught(day, "answered late");
    day = day(3);
    day.send(new PartId(100 * closed.number()), new SearcherId(0), ms(1), null);
    assertCaught(day, "sent after the end");
    day.firstWhole.put(closed, true);
    day.send(new PartId(100 * closed.number()), new SearcherId(0), ms(1), null);
    assertCaught(day, "step over");
    day = new Model(false, new int[] {3000, 1, 3}, "Safety.ResendSpanMs", "3000");
    List<Part> parts = new ArrayList<>();
    ScanId scan = new ScanId(1);
    add(day, scan, parts, 100, 0, 1);
    day.asked.put(scan, new Model.Asked(scan, 2, ms(9000)));
    day.firstStep.put(scan, List.of(new PartId(100)));
    day.told.put(1, FakeHost.line(1, 0, MemberEntry.Status.READY, ms(0)));
    day.told.put(2, FakeHost.line(2, 0, MemberEntry.Status.DRAINING, null));
    for (int i = 0; i < 4; i++) {
      day.send(new PartId(100), new SearcherId(1 + i % 2), ms(1), null);
    }
    day.answer(scan, true);
    day.reject(scan, Duration.ZERO);
    ScanId numbered = new ScanId(2);
    add(day, numbered, new ArrayList<>(), 200, 0, 1);
    day.asked.put(numbered, new Model.Asked(numbered, 1, ms(9000)));
    day.send(new PartId(200), new SearcherId(1), ms(1), null);
    day.now = day.window;
    day.send(
        new PartId(200),
        new SearcherId(1),
        ms(1),
        ms(1)); // in the window, and begun behind its end
    for (String rule :
        List.of(
            "may begin outside the window",
            "at most once",
            "copies",
            "too many trips",
            "drain",
            "cold",
            "budget",
            "under the floor",
            "marked whole",
            "may have run")) {
      assertCaught(day, rule);
    }
  }

  private static void assertCaught(Model day, String rule) {
    assertTrue(
        day.broken.stream().anyMatch(each -> each.contains(rule)), rule + " in " + day.broken);
  }
}
