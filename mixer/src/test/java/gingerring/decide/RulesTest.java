package gingerring.decide;

import static gingerring.decide.FakeHost.millis;
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
 * Compares the mixer with a slow, simple model of the six rules, in random runs with every kind of
 * service class.
 */
class RulesTest {
  private static final double MIN_COVERAGE = 0.5;

  /** Checks the rules directly against the complete history. */
  private static final class Model extends FakeHost {
    record Request(ScanId scan, int serviceClass, Duration deadline) {}

    record Trip(PartId part, int number, int searcher, Duration sentAt, Outcome outcome) {}

    final Map<ScanId, Request> requests = new HashMap<>();
    final Map<PartId, ScanId> scanOf = new HashMap<>();
    final Map<PartId, Double> weights = new HashMap<>();
    final List<Trip> trips = new ArrayList<>();
    final List<Duration> arrivals = new ArrayList<>();
    final List<String> violations = new ArrayList<>();
    final Map<Integer, MemberEntry> members = new HashMap<>();
    final Map<ScanId, List<PartId>> firstStep = new HashMap<>();
    final Map<ScanId, List<PartId>> secondStep = new HashMap<>();
    final Map<ScanId, Boolean> firstStepWhole = new HashMap<>();
    final boolean copiesAllowed;

    /** Whether the second step may be answered partially. */
    boolean partialSecondStep;

    Duration idempotencyWindow = millis(60);

    /**
     * Null if there is no budget; otherwise its window in ms, the free retries, and the percentage
     * of arrivals.
     */
    final int[] retryBudget;

    Model(boolean copiesAllowed, int[] retryBudget, String... settings) {
      super(settings);
      this.copiesAllowed = copiesAllowed;
      this.retryBudget = retryBudget;
    }

    List<Trip> tripsOf(PartId part) {
      return trips.stream().filter(trip -> trip.part.equals(part)).toList();
    }

    boolean isAnswered(PartId part) {
      return tripsOf(part).stream().anyMatch(trip -> trip.outcome == Outcome.SUCCEEDED);
    }

    static boolean mayHaveRun(Trip trip) {
      return trip.outcome == null || !trip.outcome.neverRan;
    }

    void require(boolean satisfied, String rule) {
      if (!satisfied) {
        violations.add(rule + " at " + now);
      }
    }

    @Override
    public void send(PartId part, SearcherId id, Duration timeout, Duration startWithin) {
      int searcher = (int) id.address();
      Request request = requests.get(scanOf.get(part));
      List<Trip> earlierTrips = tripsOf(part);
      require(
          !finalAnswers.containsKey(request.scan) && now.compareTo(request.deadline) < 0,
          "lost: sent after the end");
      require(
          !firstStepWhole.containsKey(request.scan)
              || secondStep.getOrDefault(request.scan, List.of()).contains(part),
          "sent after its step was answered");
      List<Trip> possibleRuns = earlierTrips.stream().filter(Model::mayHaveRun).toList();
      if (request.serviceClass == 1 && !possibleRuns.isEmpty()) {
        require(
            now.minus(possibleRuns.get(0).sentAt).compareTo(idempotencyWindow) <= 0,
            "duplicate: outside the window");
      }
      // The first trip that may run is no retry, so it needs no limit; its host limits it once a
      // retry is sent.
      require(
          request.serviceClass != 1
              || possibleRuns.isEmpty()
              || startWithin != null
                  && now.plus(startWithin)
                          .minus(possibleRuns.get(0).sentAt)
                          .compareTo(idempotencyWindow)
                      <= 0,
          "duplicate: may begin outside the window");
      require(request.serviceClass != 2 || possibleRuns.isEmpty(), "duplicate: at most once");
      long openTrips = earlierTrips.stream().filter(trip -> trip.outcome == null).count();
      require(openTrips == 0 || copiesAllowed && openTrips == 1, "duplicate: copies");
      require(earlierTrips.size() < 3, "too many trips");
      MemberEntry entry = members.get(searcher);
      require(entry.status() == MemberEntry.Status.READY, "drain");
      requireColdLimit(entry, searcher);
      if (retryBudget != null && !earlierTrips.isEmpty()) {
        Duration windowStart = now.minus(millis(retryBudget[0]));
        long retryCount =
            1
                + trips.stream()
                    .filter(other -> other.number > 0 && other.sentAt.compareTo(windowStart) >= 0)
                    .count();
        long recentArrivals =
            arrivals.stream().filter(arrivedAt -> arrivedAt.compareTo(windowStart) > 0).count();
        require(retryCount <= retryBudget[1] + retryBudget[2] / 100.0 * recentArrivals, "budget");
      }
      trips.add(new Trip(part, earlierTrips.size(), searcher, now, null));
      super.send(part, id, timeout, startWithin);
    }

    /**
     * If all mixers behave alike, a cold searcher can serve TipMultiple times its warm-up share of
     * the most parts that any searcher has answered in a window.
     */
    private void requireColdLimit(MemberEntry entry, int searcher) {
      Duration window = millis(2000);
      if (entry.startedAt() == null
          || now.minus(entry.startedAt()).compareTo(millis(12_000)) >= 0) {
        return;
      }
      double age = Math.max(0, now.minus(entry.startedAt()).minus(window).toNanos() / 1e9);
      long partCount =
          1
              + trips.stream()
                  .filter(
                      trip ->
                          trip.searcher == searcher && trip.sentAt.compareTo(now.minus(window)) > 0)
                  .count();
      long maxAnswered = 0;
      for (int otherSearcher : members.keySet()) {
        for (Trip windowEnd : trips) {
          maxAnswered =
              Math.max(
                  maxAnswered,
                  trips.stream()
                      .filter(
                          trip ->
                              trip.searcher == otherSearcher
                                  && trip.outcome == Outcome.SUCCEEDED
                                  && trip.sentAt.compareTo(windowEnd.sentAt) <= 0
                                  && trip.sentAt.compareTo(windowEnd.sentAt.minus(window)) > 0)
                      .count());
        }
      }
      require(
          partCount <= Math.max(1, 3 * Math.min(1, 0.2 + 0.8 * age / 10) * maxAnswered), "cold");
    }

    @Override
    public void answer(ScanId scan, boolean whole) {
      Request request = requests.get(scan);
      boolean inSecondStep = firstStepWhole.containsKey(scan);
      double answeredWeight =
          (inSecondStep ? secondStep : firstStep)
              .get(scan).stream().filter(this::isAnswered).mapToDouble(weights::get).sum();
      boolean partialAllowed =
          request.serviceClass == 3 || request.serviceClass == 4 && partialSecondStep;
      require(
          answeredWeight >= (partialAllowed ? MIN_COVERAGE : 1) - 1e-4,
          "answer below minimum coverage");
      require(
          !whole || answeredWeight >= 1 - 1e-4 && (!inSecondStep || firstStepWhole.get(scan)),
          "marked whole");
      if (request.serviceClass == 4 && !inSecondStep) {
        firstStepWhole.put(scan, whole);
        return;
      }
      requireSingleFinalAnswer(scan);
      super.answer(scan, whole);
    }

    @Override
    public void reject(ScanId scan, Duration retryAfter) {
      boolean mayHaveRun =
          trips.stream().anyMatch(trip -> scanOf.get(trip.part).equals(scan) && mayHaveRun(trip));
      require(
          requests.get(scan).serviceClass != 2 || !mayHaveRun, "rejected although it may have run");
      requireSingleFinalAnswer(scan);
      super.reject(scan, retryAfter);
    }

    @Override
    public void fail(ScanId scan) {
      requireSingleFinalAnswer(scan);
      super.fail(scan);
    }

    private void requireSingleFinalAnswer(ScanId scan) {
      require(!finalAnswers.containsKey(scan), "lost: two final answers");
      require(
          now.compareTo(requests.get(scan).deadline.plus(millis(20))) <= 0, "lost: answered late");
    }
  }

  private static Model simulate(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    boolean copiesAllowed = random.nextBoolean();
    boolean partialSecondStep = random.nextBoolean();
    int[] retryBudget =
        random.nextBoolean()
            ? null
            : new int[] {random.nextInt(1000, 4000), random.nextInt(4), random.nextInt(2, 20)};
    List<String> settings =
        new ArrayList<>(
            List.of(
                "Classes.count",
                "5",
                "Domain.ClassFloor",
                "1,1,1," + MIN_COVERAGE + "," + (partialSecondStep ? MIN_COVERAGE : 1),
                "Domain.NeedByClass",
                "1,1,1,1,1",
                "Domain.ClassFetch",
                "0,0,0,0,2",
                "PolicyLimits.SecondCopies",
                "" + copiesAllowed,
                "PolicyLimits.Cancel",
                "" + random.nextBoolean(),
                "PolicyLimits.Probing",
                "" + random.nextBoolean(),
                "Domain.Batch",
                "" + random.nextInt(1, 4)));
    int windowMs = random.nextInt(30, 600);
    String[] idempotency = {
      "idempotent", "deduplicated", "at_most_once", "idempotent", "idempotent"
    };
    for (int i = 0; i < 5; i++) {
      settings.addAll(
          List.of(
              "Classes." + i + ".AimMs",
              "1000",
              "Classes." + i + ".HardLimitMs",
              "8000",
              "Classes." + i + ".Idempotency",
              idempotency[i],
              "Classes." + i + ".WindowMs",
              "" + windowMs,
              "Classes." + i + ".LateWorth",
              random.nextBoolean() ? "0.3" : "0"));
    }
    if (retryBudget != null) {
      settings.addAll(
          List.of(
              "Safety.ResendSpanMs",
              "" + retryBudget[0],
              "Safety.ExtraFree",
              "" + retryBudget[1],
              "Safety.ResendRatio",
              "" + retryBudget[2] / 100.0));
    }
    Model model = new Model(copiesAllowed, retryBudget, settings.toArray(String[]::new));
    model.partialSecondStep = partialSecondStep;
    model.idempotencyWindow = millis(windowMs);
    for (int i = 0; i < 6; i++) {
      Duration started = random.nextInt(4) == 0 ? millis(-500) : null;
      model.members.put(i, FakeHost.memberEntry(i, i % 4, MemberEntry.Status.READY, started));
    }
    model.mixer.memberListUpdated(List.copyOf(model.members.values()), true);
    for (int step = 0; step < 250; step++) {
      applyRandomEvent(model, random, step);
      sendSecondSteps(model);
      model.advance(random.nextInt(8) == 0 ? random.nextInt(600) : random.nextInt(40));
    }
    model.advance(9000);
    return model;
  }

  private static void applyRandomEvent(Model model, SplittableRandom random, int step) {
    switch (random.nextInt(8)) {
      case 0, 1 -> scanArrives(model, random, step);
      case 2 -> {
        int searcher = random.nextInt(6);
        MemberEntry.Status status = MemberEntry.Status.values()[random.nextInt(3)];
        Duration started =
            random.nextBoolean() ? model.now.minus(millis(random.nextInt(300))) : null;
        Duration knownStart = started != null ? started : model.members.get(searcher).startedAt();
        MemberEntry entry = FakeHost.memberEntry(searcher, searcher % 4, status, started);
        model.members.put(
            searcher, FakeHost.memberEntry(searcher, searcher % 4, status, knownStart));
        model.mixer.memberListUpdated(List.of(entry), false);
      }
      default -> {
        for (int count = random.nextInt(6); count > 0; count--) {
          endRandomTrip(model, random);
        }
      }
    }
  }

  private static void scanArrives(Model model, SplittableRandom random, int step) {
    int serviceClass = random.nextInt(5);
    ScanId scan = new ScanId(step);
    Duration deadline =
        model.now.plus(millis(random.nextInt(10) == 0 ? 30 : random.nextInt(800, 8000)));
    List<Part> parts = new ArrayList<>();
    int count = random.nextInt(1, 5);
    for (int i = 0; i < count; i++) {
      addPart(model, scan, parts, 100L * step + i, i, 1.0 / count);
    }
    model.requests.put(scan, new Model.Request(scan, serviceClass, deadline));
    model.arrivals.add(model.now);
    model.firstStep.put(scan, parts.stream().map(part -> part.id).toList());
    model.mixer.scanArrived(
        scan, step, serviceClass, step % 3, step % 2 == 0, Duration.ZERO, deadline, parts);
  }

  private static void addPart(
      Model model, ScanId scan, List<Part> parts, long id, int shard, double weight) {
    Part part = new Part(new PartId(id), shard, weight, 0);
    parts.add(part);
    model.scanOf.put(part.id, scan);
    model.weights.put(part.id, weight);
    model.arrivals.add(model.now);
  }

  private static void endRandomTrip(Model model, SplittableRandom random) {
    List<Model.Trip> openTrips = model.trips.stream().filter(trip -> trip.outcome == null).toList();
    if (!openTrips.isEmpty()) {
      Model.Trip trip = openTrips.get(random.nextInt(openTrips.size()));
      Outcome outcome =
          random.nextInt(3) > 0
              ? Outcome.SUCCEEDED
              : Outcome.values()[random.nextInt(Outcome.values().length)];
      model.trips.set(
          model.trips.indexOf(trip),
          new Model.Trip(trip.part, trip.number, trip.searcher, trip.sentAt, outcome));
      model.mixer.tripEnded(trip.part, trip.number, outcome, false, new float[0]);
    }
  }

  private static void sendSecondSteps(Model model) {
    for (ScanId scan : model.firstStepWhole.keySet()) {
      if (!model.finalAnswers.containsKey(scan) && !model.secondStep.containsKey(scan)) {
        List<Part> parts = new ArrayList<>();
        addPart(model, scan, parts, 100 * scan.number() + 50, 0, 0.5);
        addPart(model, scan, parts, 100 * scan.number() + 51, 1, 0.5);
        model.secondStep.put(scan, parts.stream().map(part -> part.id).toList());
        model.mixer.secondStepArrived(scan.number(), parts);
      }
    }
  }

  @Test
  void theMixerFollowsTheModelInRandomRuns() {
    int trips = 0;
    int retries = 0;
    int secondSteps = 0;
    for (long seed = 0; seed < 150; seed++) {
      Model model = simulate(seed);
      assertEquals(List.of(), model.violations, "seed " + seed);
      assertEquals(model.requests.keySet(), model.finalAnswers.keySet(), "seed " + seed);
      trips += model.trips.size();
      retries += model.trips.stream().filter(trip -> trip.number > 0).count();
      secondSteps += model.secondStep.size();
    }
    assertTrue(
        trips > 5000 && retries > 100 && secondSteps > 100,
        trips + ", " + retries + ", " + secondSteps);
  }

  @Test
  void theModelDetectsAViolationOfEachRule() {
    Model model = simulate(3);
    ScanId closed = model.finalAnswers.keySet().iterator().next();
    model.reject(closed, Duration.ZERO);
    assertViolation(model, "two final answers");
    assertViolation(model, "answered late");
    model = simulate(3);
    model.send(new PartId(100 * closed.number()), new SearcherId(0), millis(1), null);
    assertViolation(model, "sent after the end");
    model.firstStepWhole.put(closed, true);
    model.send(new PartId(100 * closed.number()), new SearcherId(0), millis(1), null);
    assertViolation(model, "sent after its step was answered");
    model = new Model(false, new int[] {3000, 1, 3}, "Safety.ResendSpanMs", "3000");
    List<Part> parts = new ArrayList<>();
    ScanId scan = new ScanId(1);
    addPart(model, scan, parts, 100, 0, 1);
    model.requests.put(scan, new Model.Request(scan, 2, millis(9000)));
    model.firstStep.put(scan, List.of(new PartId(100)));
    model.members.put(1, FakeHost.memberEntry(1, 0, MemberEntry.Status.READY, millis(0)));
    model.members.put(2, FakeHost.memberEntry(2, 0, MemberEntry.Status.DRAINING, null));
    for (int i = 0; i < 4; i++) {
      model.send(new PartId(100), new SearcherId(1 + i % 2), millis(1), null);
    }
    model.answer(scan, true);
    model.reject(scan, Duration.ZERO);
    ScanId keyed = new ScanId(2);
    addPart(model, keyed, new ArrayList<>(), 200, 0, 1);
    model.requests.put(keyed, new Model.Request(keyed, 1, millis(9000)));
    model.send(new PartId(200), new SearcherId(1), millis(1), null);
    model.now = model.idempotencyWindow;
    model.send(
        new PartId(200),
        new SearcherId(1),
        millis(1),
        millis(1)); // sent within the window, but may start after its end
    for (String rule :
        List.of(
            "may begin outside the window",
            "at most once",
            "copies",
            "too many trips",
            "drain",
            "cold",
            "budget",
            "below minimum coverage",
            "marked whole",
            "may have run")) {
      assertViolation(model, rule);
    }
  }

  private static void assertViolation(Model model, String rule) {
    assertTrue(
        model.violations.stream().anyMatch(violation -> violation.contains(rule)),
        rule + " in " + model.violations);
  }
}
